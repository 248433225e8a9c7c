#include "decide/membership/view_digest.h"

#include <gtest/gtest.h>

#include "member_records.h"

namespace hingelink::decide::membership {
namespace {

TEST(ViewDigest, IsIndependentOfTheOrderOfMembers) {
  ViewDigest left;
  left.Toggle(MakeRecord("a", 5));
  left.Toggle(MakeRecord("b", 6));
  ViewDigest right;
  right.Toggle(MakeRecord("b", 6));
  right.Toggle(MakeRecord("a", 5));
  EXPECT_EQ(left.value(), right.value());
  EXPECT_EQ(left.buckets(), right.buckets());
}

TEST(ViewDigest, IsEmptyAgainWhenAllMembersAreRemoved) {
  ViewDigest digest;
  digest.Toggle(MakeRecord("a", 5));
  EXPECT_NE(digest.value(), 0U);
  digest.Toggle(MakeRecord("a", 5));
  EXPECT_EQ(digest.value(), 0U);
  EXPECT_EQ(digest.buckets(), ViewDigest::Buckets{});
}

TEST(ViewDigest, CoversEpochAndPhaseButNeitherIncarnationNorSuspicion) {
  const auto digest_of = [](const MemberRecord& record) {
    ViewDigest digest;
    digest.Toggle(record);
    return digest.value();
  };
  const std::uint64_t digest = digest_of(MakeRecord("a", 5));
  EXPECT_NE(digest_of(MakeRecord("a", 6)), digest);
  MemberRecord draining = MakeRecord("a", 5);
  draining.phase = MemberPhase::kDraining;
  EXPECT_NE(digest_of(draining), digest);
  EXPECT_EQ(digest_of(MakeRecord("a", 5, 3, MemberState::kSuspect)), digest);
}

TEST(ViewDigest, ExcludesDeadMembers) {
  ViewDigest digest;
  digest.Toggle(MakeRecord("a", 5, 0, MemberState::kDead));
  EXPECT_EQ(digest.value(), 0U);
}

}  // namespace
}  // namespace hingelink::decide::membership
