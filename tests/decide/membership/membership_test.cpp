// One member's decisions: whatever it is told, in whatever order.
#include "decide/membership/membership.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>

namespace hingelink::decide {
namespace {

MemberRecord Record(const std::string& name, std::uint64_t life, std::uint32_t incarnation = 0,
                    MemberState belief = MemberState::kAlive) {
  MemberRecord r;
  r.name = name;
  r.address = {static_cast<std::uint32_t>(std::hash<std::string>{}(name)), 7946};
  r.version = {life, incarnation};
  r.phase = MemberPhase::kServing;
  r.state = belief;
  return r;
}

GossipMessage News(std::vector<MemberRecord> records) {
  GossipMessage message;
  message.records = std::move(records);
  return message;
}

class One {
 public:
  explicit One(MembershipOptions options = {})
      : members(options, Record("self", 100), {}, [this] { return Next(); }) {}
  MembershipActions Tell(double ms, std::vector<MemberRecord> records) {
    return Note(members.OnMessage(Milliseconds(ms), {2, 1}, News(std::move(records))));
  }
  // All that is due up to then.
  void Until(double ms) {
    for (double due = members.NextDue().count(); due <= ms;
         due = std::max(due + 1, members.NextDue().count()))
      Note(members.Tick(Milliseconds(due)));
  }
  const MemberRecord* Find(const std::string& name, double ms = 0) {
    looks = members.Members(Milliseconds(ms));
    for (const auto& look : looks) {
      if (look.record.name == name) return &look.record;
    }
    return nullptr;
  }
  bool Reported(MembershipEventKind kind) const { return events.contains(kind); }

  Membership members;
  std::map<MembershipEventKind, int> events;

 private:
  MembershipActions Note(MembershipActions actions) {
    for (const MembershipEvent& event : actions.events) ++events[event.kind];
    return actions;
  }
  std::uint64_t Next() { return drawn_ = drawn_ * 6364136223846793005u + 1442695040888963407u; }
  std::uint64_t drawn_ = 7;
  std::vector<MemberView> looks;
};

TEST(Membership, RefutesWhatIsSaidOfItsNewestVersion) {
  One one;
  one.Tell(0, {Record("a", 5), Record("self", 100, 0, MemberState::kSuspect)});
  EXPECT_EQ(one.members.self().version, (MemberVersion{100, 1}));
  // Said of the version before: known already.
  one.Tell(1, {Record("a", 5), Record("self", 100, 0, MemberState::kDead)});
  EXPECT_EQ(one.members.self().version, (MemberVersion{100, 1}));
}

TEST(Membership, RaisesItsLifeAboveThatOfAnEarlierProcess) {
  One one;
  one.Tell(0, {Record("a", 5), Record("self", 900, 7)});
  EXPECT_GT(one.members.self().version.process_epoch, 900u);
  EXPECT_TRUE(one.Reported(MembershipEventKind::kProcessEpochRaised));
}

TEST(Membership, TwoProcessesOfOneNameAreToldOfAndDoNotOutbidEachOtherWithoutEnd) {
  One one;
  for (int i = 1; i <= 50; ++i)
    one.Tell(i * 100, {Record("a", 5), Record("self", one.members.self().version.process_epoch + 1)});
  EXPECT_TRUE(one.Reported(MembershipEventKind::kNameConflict));
  EXPECT_LE(one.events[MembershipEventKind::kProcessEpochRaised], 5);
}

TEST(Membership, AWordOfAnOlderLifeChangesNothing) {
  One one;
  one.Tell(0, {Record("a", 5), Record("b", 8)});
  one.Tell(1, {Record("a", 5), Record("b", 7, 9, MemberState::kDead)});
  EXPECT_EQ(one.Find("b")->state, MemberState::kAlive);
  EXPECT_EQ(one.Find("b")->version, (MemberVersion{8, 0}));
  EXPECT_EQ(one.members.counters().stale_records, 1u);
}

TEST(Membership, WhoIsForgottenIsNotBroughtBackByAWordFromBefore) {
  MembershipOptions options;
  options.dead_member_retention = Milliseconds(10'000);
  options.mass_failure_fraction = 1;
  options.min_recently_heard = 0;
  One one(options);
  one.Tell(0, {Record("a", 5), Record("b", 8, 3)});
  one.Tell(1, {Record("a", 5), Record("b", 8, 3, MemberState::kDead)});
  EXPECT_EQ(one.Find("b")->state, MemberState::kDead);
  one.Until(30'000);
  EXPECT_EQ(one.Find("b"), nullptr);
  one.Tell(30'001, {Record("a", 5), Record("b", 8, 3)});
  EXPECT_EQ(one.Find("b"), nullptr);
  one.Tell(30'002, {Record("a", 5), Record("b", 8, 4)});
  EXPECT_NE(one.Find("b"), nullptr);
}

TEST(Membership, HoldsSoManyMembersOnly) {
  MembershipOptions options;
  options.max_members = 20;
  One one(options);
  for (int i = 0; i < 100; ++i) one.Tell(i, {Record("n" + std::to_string(i), 5)});
  EXPECT_EQ(one.members.live_members(), 21u);
  EXPECT_EQ(one.members.counters().table_full, 80u);
  EXPECT_LE(one.members.queued_broadcasts(), 20u);
}

TEST(Membership, ANodeThatStoodStillSuspectsItselfFirst) {
  One one;
  one.Tell(0, {Record("a", 5)});
  one.Tell(0, {Record("b", 5)});
  one.Until(900);
  const MemberVersion before = one.members.self().version;
  one.Tell(15'000, {Record("a", 5)});
  EXPECT_TRUE(one.Reported(MembershipEventKind::kPaused));
  EXPECT_GT(one.members.self().version, before);
  one.Until(16'400);
  EXPECT_EQ(one.members.suspects(), 0u);  // Nobody else is accused yet.
}

TEST(Membership, OneThatHearsNobodyKeepsItsView) {
  One one;
  for (int i = 0; i < 10; ++i) one.Tell(i, {Record("n" + std::to_string(i), 5)});
  one.Until(120'000);
  EXPECT_TRUE(one.members.holds_removals());
  EXPECT_EQ(one.members.live_members(), 11u);
  EXPECT_FALSE(one.Reported(MembershipEventKind::kMemberDead));
}

TEST(Membership, WhoSaysThatItLeavesIsGoneAtOnceAndAllAtOnceToo) {
  One one;
  for (int i = 0; i < 10; ++i) one.Tell(i, {Record("n" + std::to_string(i), 5)});
  for (int i = 0; i < 10; ++i) {
    MemberRecord left = Record("n" + std::to_string(i), 5, 1);
    left.phase = MemberPhase::kLeft;
    one.Tell(20, {left});
  }
  EXPECT_EQ(one.members.live_members(), 1u);
  EXPECT_FALSE(one.members.holds_removals());
}

// Others may tell of it first, and have it as gone already: announced, it is no loss.
TEST(Membership, ThatManyHaveLeftIsBelievedOfOthersToo) {
  One one;
  for (int i = 0; i < 10; ++i) one.Tell(i, {Record("n" + std::to_string(i), 5)});
  for (int i = 1; i < 10; ++i) {
    MemberRecord left = Record("n" + std::to_string(i), 5, 1, MemberState::kDead);
    left.phase = MemberPhase::kLeft;
    one.Tell(20, {Record("n0", 5), left});
  }
  EXPECT_EQ(one.members.live_members(), 2u);
  EXPECT_FALSE(one.members.holds_removals());
}

// Words in any order and number: what is held never falls, the dropped come back by newer words alone, and
// all bounds are kept.
RC_GTEST_PROP(Membership, AnyWordsInAnyOrder, ()) {
  MembershipOptions options;
  options.max_members = 6;
  One one(options);
  std::map<std::string, std::pair<MemberVersion, bool>> held;  // And whether it was gone.
  MemberVersion own = one.members.self().version;
  double now = 0;
  const int steps = *rc::gen::inRange(1, 120);
  for (int i = 0; i < steps; ++i) {
    now += *rc::gen::element(0, 1, 40, 300, 900, 4'000);
    std::vector<MemberRecord> records;
    const int count = *rc::gen::inRange(1, 5);
    for (int r = 0; r < count; ++r) {
      const auto name = *rc::gen::element<std::string>("a", "b", "c", "d", "e", "f", "g", "h", "self");
      MemberRecord record = Record(name, *rc::gen::inRange<std::uint64_t>(99, 103), *rc::gen::inRange(0u, 4u),
                                   static_cast<MemberState>(*rc::gen::inRange(0, 3)));
      record.phase = static_cast<MemberPhase>(*rc::gen::inRange(0, 5));
      if (record.state == MemberState::kSuspect)
        record.accuser = *rc::gen::element<std::string>("a", "b", "c", "self");
      records.push_back(record);
    }
    GossipMessage message = News(std::move(records));
    message.kind = static_cast<GossipMessageKind>(*rc::gen::inRange(0, 7));
    message.target = *rc::gen::element<std::string>("a", "b", "self", "");
    message.view_digest = *rc::gen::arbitrary<std::uint64_t>();
    if (message.kind == GossipMessageKind::kSyncRequest)
      message.bucket_digests.assign(kDigestBuckets, *rc::gen::arbitrary<std::uint32_t>());
    for (const MembershipActions& actions : {one.members.OnMessage(Milliseconds(now), {9, 9}, message),
                                             one.members.Tick(Milliseconds(now + 1))}) {
      for (const OutgoingMessage& send : actions.messages) {
        RC_ASSERT(MaxEncodedSize(send.message) <= options.max_message_bytes);
        RC_ASSERT(send.message.records.front().name == "self");
      }
    }
    RC_ASSERT(one.members.self().version >= own);
    own = one.members.self().version;
    RC_ASSERT(one.members.live_members() <= options.max_members + 1);
    RC_ASSERT(one.members.queued_broadcasts() <= options.max_members);
    for (const auto& look : one.members.Members(Milliseconds(now))) {
      const MemberRecord& r = look.record;
      auto& [version, gone] = held[r.name];
      RC_ASSERT(r.version >= version);
      if (gone && r.version == version) RC_ASSERT(r.state == MemberState::kDead);
      gone = r.state == MemberState::kDead;
      version = r.version;
    }
  }
}

}  // namespace
}  // namespace hingelink::decide
