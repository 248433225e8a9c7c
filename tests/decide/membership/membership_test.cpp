// Checks how one node's view changes when it receives records and when it receives no messages.
#include "decide/membership/membership.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "membership_node.h"

namespace hingelink::decide {
namespace {

MemberRecord LeftRecord(const std::string& name, MemberState state = MemberState::kAlive) {
  MemberRecord record = MakeRecord(name, 5, 1, state);
  record.phase = MemberPhase::kLeft;
  return record;
}

TEST(Membership, RefutesASuspicionOfItsCurrentIncarnation) {
  MembershipNode node;
  node.Receive(0, {MakeRecord("a", 5), MakeRecord("self", 100, 0, MemberState::kSuspect)});
  EXPECT_EQ(node.membership.self().version, (MemberVersion{100, 1}));
  // This record is about the previous incarnation, so it is refuted already.
  node.Receive(1, {MakeRecord("a", 5), MakeRecord("self", 100, 0, MemberState::kDead)});
  EXPECT_EQ(node.membership.self().version, (MemberVersion{100, 1}));
}

TEST(Membership, RaisesItsProcessEpochAboveThatOfAnEarlierProcess) {
  MembershipNode node;
  node.Receive(0, {MakeRecord("a", 5), MakeRecord("self", 900, 7)});
  EXPECT_GT(node.membership.self().version.process_epoch, 900U);
  EXPECT_EQ(node.CountReported(MembershipEventKind::kProcessEpochRaised), 1);
}

TEST(Membership, ReportsNameConflictAndLimitsProcessEpochRaises) {
  MembershipNode node;
  for (int i = 1; i <= 50; ++i) {
    const std::uint64_t greater_epoch = node.membership.self().version.process_epoch + 1;
    node.Receive(i * 100, {MakeRecord("a", 5), MakeRecord("self", greater_epoch)});
  }
  EXPECT_GE(node.CountReported(MembershipEventKind::kNameConflict), 1);
  EXPECT_LE(node.CountReported(MembershipEventKind::kProcessEpochRaised), 5);
}

TEST(Membership, IgnoresARecordOfAnOlderProcessEpoch) {
  MembershipNode node;
  node.Receive(0, {MakeRecord("a", 5), MakeRecord("b", 8)});
  node.Receive(1, {MakeRecord("a", 5), MakeRecord("b", 7, 9, MemberState::kDead)});
  EXPECT_EQ(node.Find("b")->state, MemberState::kAlive);
  EXPECT_EQ(node.Find("b")->version, (MemberVersion{8, 0}));
  EXPECT_EQ(node.membership.counters().stale_records, 1U);
}

TEST(Membership, AddsEvictedMemberOnlyWithNewerVersion) {
  MembershipOptions options;
  options.dead_member_retention = Milliseconds(10'000);
  options.mass_failure_fraction = 1;
  options.min_recent_senders = 0;
  MembershipNode node(options);
  node.Receive(0, {MakeRecord("a", 5), MakeRecord("b", 8, 3)});
  node.Receive(1, {MakeRecord("a", 5), MakeRecord("b", 8, 3, MemberState::kDead)});
  EXPECT_EQ(node.Find("b")->state, MemberState::kDead);
  node.RunUntil(30'000);
  EXPECT_EQ(node.Find("b"), std::nullopt);
  node.Receive(30'001, {MakeRecord("a", 5), MakeRecord("b", 8, 3)});
  EXPECT_EQ(node.Find("b"), std::nullopt);
  node.Receive(30'002, {MakeRecord("a", 5), MakeRecord("b", 8, 4)});
  EXPECT_NE(node.Find("b"), std::nullopt);
}

TEST(Membership, KeepsAtMostMaxMembers) {
  MembershipOptions options;
  options.max_members = 20;
  MembershipNode node(options);
  node.ReceiveFromMembers(100);
  EXPECT_EQ(node.membership.live_members(), 21U);
  EXPECT_EQ(node.membership.counters().table_full, 80U);
  EXPECT_LE(node.membership.queued_broadcasts(), 20U);
}

TEST(Membership, RaisesIncarnationAndSuspectsNoMemberAfterAPause) {
  MembershipNode node;
  node.Receive(0, {MakeRecord("a", 5)});
  node.Receive(0, {MakeRecord("b", 5)});
  node.RunUntil(900);
  const MemberVersion before = node.membership.self().version;
  node.Receive(15'000, {MakeRecord("a", 5)});
  EXPECT_EQ(node.CountReported(MembershipEventKind::kPaused), 1);
  EXPECT_GT(node.membership.self().version, before);
  node.RunUntil(16'400);
  EXPECT_EQ(node.membership.suspects(), 0U);
}

TEST(Membership, DefersRemovalsWhenItReceivesNoMessages) {
  MembershipNode node;
  node.ReceiveFromMembers(10);
  node.RunUntil(120'000);
  EXPECT_TRUE(node.membership.defers_removals());
  EXPECT_EQ(node.membership.live_members(), 11U);
  EXPECT_EQ(node.CountReported(MembershipEventKind::kMemberDead), 0);
}

TEST(Membership, RemovesAllMembersThatAnnounceTheirDeparture) {
  MembershipNode node;
  node.ReceiveFromMembers(10);
  for (int i = 0; i < 10; ++i) node.Receive(20, {LeftRecord("n" + std::to_string(i))});
  EXPECT_EQ(node.membership.live_members(), 1U);
  EXPECT_FALSE(node.membership.defers_removals());
}

// A member that announced that it left has not failed, even if another member sends its record as dead. The
// mass failure guard must not defer its removal.
TEST(Membership, RemovesLeftMembersReportedDeadByAnotherMember) {
  MembershipNode node;
  node.ReceiveFromMembers(10);
  for (int i = 1; i < 10; ++i) {
    node.Receive(20, {MakeRecord("n0", 5), LeftRecord("n" + std::to_string(i), MemberState::kDead)});
  }
  EXPECT_EQ(node.membership.live_members(), 2U);
  EXPECT_FALSE(node.membership.defers_removals());
}

}  // namespace
}  // namespace hingelink::decide
