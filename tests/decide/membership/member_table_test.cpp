#include "decide/membership/member_table.h"

#include <gtest/gtest.h>

#include <set>
#include <string>

#include "member_records.h"

namespace hingelink::decide::membership {
namespace {

class MemberTableTest : public testing::Test {
 protected:
  Member& Add(const std::string& name, MemberState state = MemberState::kAlive) {
    return table_.Add(Milliseconds(0), MakeRecord(name, 5, 0, state));
  }

  RandomSource random_ = MakeRandomSource();
  ViewDigest digest_;
  MemberTable table_{random_, digest_};
};

TEST_F(MemberTableTest, CountsMembersByState) {
  Add("a");
  Member& suspect = Add("b", MemberState::kSuspect);
  Add("c", MemberState::kDead);
  EXPECT_EQ(table_.alive(), 1U);
  EXPECT_EQ(table_.suspects(), 1U);
  EXPECT_EQ(table_.live_members(), 3U);
  table_.Update(Milliseconds(7), suspect, MakeRecord("b", 5, 1));
  EXPECT_EQ(table_.alive(), 2U);
  EXPECT_EQ(table_.suspects(), 0U);
  EXPECT_EQ(suspect.state_since, Milliseconds(7));
}

TEST_F(MemberTableTest, ProbesEachLiveMemberOncePerRound) {
  std::set<std::string> expected;
  for (int i = 0; i < 20; ++i) {
    const std::string name = "n" + std::to_string(i);
    Add(name);
    expected.insert(name);
  }
  Add("dead", MemberState::kDead);
  // The members were added in the middle of a round. Advances to its last member, so that complete rounds
  // follow.
  while (table_.NextProbeTarget() != table_.members().back()) {
  }
  for (int round = 0; round < 3; ++round) {
    std::set<std::string> probed;
    for (std::size_t i = 0; i < expected.size(); ++i) probed.insert(table_.NextProbeTarget()->record.name);
    EXPECT_EQ(probed, expected);
  }
}

TEST_F(MemberTableTest, HasNoProbeTargetWithoutLiveMembers) {
  EXPECT_EQ(table_.NextProbeTarget(), nullptr);
  Add("dead", MemberState::kDead);
  EXPECT_EQ(table_.NextProbeTarget(), nullptr);
}

TEST_F(MemberTableTest, NeverPicksTheExcludedMember) {
  Add("a");
  Add("b");
  for (int i = 0; i < 50; ++i) {
    const Member* picked = table_.PickRandom([](const Member&) { return true; }, "a");
    // All draws of this call may have been the excluded member.
    if (picked == nullptr) continue;
    EXPECT_EQ(picked->record.name, "b");
  }
}

TEST_F(MemberTableTest, RemovesMemberFromDigestAndProbeOrder) {
  Add("a");
  Add("b");
  const std::uint64_t with_both = digest_.value();
  table_.Remove(*table_.Find("a"));
  EXPECT_EQ(table_.Find("a"), nullptr);
  EXPECT_EQ(table_.size(), 1U);
  EXPECT_EQ(table_.NextProbeTarget()->record.name, "b");
  EXPECT_NE(digest_.value(), with_both);
}

}  // namespace
}  // namespace hingelink::decide::membership
