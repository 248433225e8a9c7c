#include "decide/membership/mass_failure_guard.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "member_records.h"

namespace hingelink::decide::membership {
namespace {

using Verdict = MassFailureGuard::Verdict;

// A table of ten other members. Suspicions begin at kSuspectedAt.
class MassFailureGuardTest : public testing::Test {
 protected:
  static constexpr Milliseconds kSuspectedAt{1'000};
  static constexpr Milliseconds kNow{5'000};

  MassFailureGuardTest() {
    for (int i = 0; i < 10; ++i) {
      members_.push_back(&table_.Add(Milliseconds(0), MakeRecord("n" + std::to_string(i), 5)));
    }
  }
  // Makes the first `count` members suspects.
  void Suspect(std::size_t count) {
    for (std::size_t i = 0; i < count; ++i) {
      table_.Update(kSuspectedAt, *members_[i],
                    MakeRecord(members_[i]->record.name, 5, 0, MemberState::kSuspect));
    }
  }
  // Reports the arrival of a message of each of the last `count` members.
  void ReceiveFrom(std::size_t count, Milliseconds now) {
    for (std::size_t i = 0; i < count; ++i) guard_.OnMessage(now, members_[9 - i]->record.name);
  }

  MembershipOptions options_;
  RandomSource random_ = MakeRandomSource();
  ViewDigest digest_;
  MemberTable table_{random_, digest_};
  std::vector<Member*> members_;
  MassFailureGuard guard_{options_, table_};
};

TEST_F(MassFailureGuardTest, RemovesASingleSuspect) {
  Suspect(1);
  ReceiveFrom(3, Milliseconds(2'000));
  EXPECT_EQ(guard_.Decide(kNow, *members_[0]), Verdict::kRemove);
}

TEST_F(MassFailureGuardTest, DefersWhileTooFewOtherMembersSentMessages) {
  Suspect(1);
  ReceiveFrom(5, kSuspectedAt);  // Does not count: not after the suspicion began.
  EXPECT_EQ(guard_.Decide(kNow, *members_[0]), Verdict::kDefer);
  ReceiveFrom(2, Milliseconds(2'000));
  EXPECT_EQ(guard_.Decide(kNow, *members_[0]), Verdict::kDefer);
}

TEST_F(MassFailureGuardTest, DefersWhileMoreThanMassFailureFractionIsSuspect) {
  ReceiveFrom(3, Milliseconds(2'000));
  Suspect(4);
  EXPECT_EQ(guard_.Decide(kNow, *members_[0]), Verdict::kRemove);
  Suspect(5);
  EXPECT_EQ(guard_.Decide(kNow, *members_[0]), Verdict::kDefer);
}

TEST_F(MassFailureGuardTest, CountsRecentRemovalsAsFailed) {
  ReceiveFrom(3, Milliseconds(2'000));
  Suspect(4);
  for (int i = 0; i < 4; ++i) guard_.OnRemoved(Milliseconds(3'000));
  EXPECT_EQ(guard_.Decide(kNow, *members_[0]), Verdict::kDefer);
  const Milliseconds later = Milliseconds(3'001) + options_.mass_failure_window;
  guard_.ExpireRemovals(later);
  EXPECT_EQ(guard_.Decide(later, *members_[0]), Verdict::kRemove);
}

TEST_F(MassFailureGuardTest, GrantsAGracePeriodAfterADeferral) {
  ReceiveFrom(3, Milliseconds(2'000));
  Suspect(1);
  EXPECT_TRUE(guard_.Defer(kNow, *members_[0]));
  EXPECT_TRUE(guard_.is_deferring());
  EXPECT_EQ(guard_.Decide(kNow + Milliseconds(1), *members_[0]), Verdict::kGracePeriod);
  EXPECT_TRUE(guard_.EndDeferral(*members_[0]));
  EXPECT_EQ(guard_.Decide(guard_.GracePeriodEnd(), *members_[0]), Verdict::kRemove);
}

TEST_F(MassFailureGuardTest, RemovesAfterMaxRemovalDeferral) {
  Suspect(6);
  EXPECT_TRUE(guard_.Defer(kNow, *members_[0]));
  EXPECT_FALSE(guard_.Defer(kNow, *members_[1]));
  const Milliseconds later = kNow + options_.max_removal_deferral + Milliseconds(1);
  ReceiveFrom(3, later);
  EXPECT_EQ(guard_.Decide(later, *members_[0]), Verdict::kRemove);
}

TEST_F(MassFailureGuardTest, ReportsTimeSinceLastMessage) {
  EXPECT_EQ(guard_.TimeSinceLastMessage(kNow), std::nullopt);
  ReceiveFrom(2, Milliseconds(2'000));
  EXPECT_EQ(guard_.TimeSinceLastMessage(kNow), Milliseconds(3'000));
}

}  // namespace
}  // namespace hingelink::decide::membership
