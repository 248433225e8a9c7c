// One member's decisions: whatever it is told, in whatever order.
#include "decide/membership.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>

namespace hingelink::decide {
namespace {

MemberRecord Record(const std::string& name, std::uint64_t life, std::uint32_t incarnation = 0,
                    Belief belief = Belief::kAlive) {
  MemberRecord r;
  r.name = name;
  r.address = {static_cast<std::uint32_t>(std::hash<std::string>{}(name)), 7946};
  r.version = {life, incarnation};
  r.phase = MemberPhase::kServing;
  r.belief = belief;
  return r;
}

PeerMessage News(std::vector<MemberRecord> records) {
  PeerMessage message;
  message.records = std::move(records);
  return message;
}

class One {
 public:
  explicit One(MembershipOptions options = {})
      : members(options, Record("self", 100), {}, [this] { return Next(); }) {}
  MembershipActions Tell(double ms, std::vector<MemberRecord> records) {
    return Note(members.Hear(FleetTime(ms), {2, 1}, News(std::move(records))));
  }
  // All that is due up to then.
  void Until(double ms) {
    for (double due = members.NextDue().count(); due <= ms;
         due = std::max(due + 1, members.NextDue().count()))
      Note(members.Tick(FleetTime(due)));
  }
  const MemberRecord* Find(const std::string& name, double ms = 0) {
    looks = members.Others(FleetTime(ms));
    for (const auto& look : looks) {
      if (look.record.name == name) return &look.record;
    }
    return nullptr;
  }
  bool Said(const std::string& code) const { return words.contains(code); }

  Membership members;
  std::map<std::string, int> words;

 private:
  MembershipActions Note(MembershipActions actions) {
    for (const FleetWord& word : actions.words) ++words[word.code];
    return actions;
  }
  std::uint64_t Next() { return drawn_ = drawn_ * 6364136223846793005u + 1442695040888963407u; }
  std::uint64_t drawn_ = 7;
  std::vector<Membership::Look> looks;
};

TEST(Membership, RefutesWhatIsSaidOfItsNewestVersion) {
  One one;
  one.Tell(0, {Record("a", 5), Record("self", 100, 0, Belief::kSuspect)});
  EXPECT_EQ(one.members.self().version, (Version{100, 1}));
  // Said of the version before: known already.
  one.Tell(1, {Record("a", 5), Record("self", 100, 0, Belief::kGone)});
  EXPECT_EQ(one.members.self().version, (Version{100, 1}));
}

TEST(Membership, RaisesItsLifeAboveThatOfAnEarlierProcess) {
  One one;
  one.Tell(0, {Record("a", 5), Record("self", 900, 7)});
  EXPECT_GT(one.members.self().version.life, 900u);
  EXPECT_TRUE(one.Said("life-raised"));
}

TEST(Membership, TwoProcessesOfOneNameAreToldOfAndDoNotOutbidEachOtherWithoutEnd) {
  One one;
  for (int i = 1; i <= 50; ++i)
    one.Tell(i * 100, {Record("a", 5), Record("self", one.members.self().version.life + 1)});
  EXPECT_TRUE(one.Said("name-taken"));
  EXPECT_LE(one.words["life-raised"], 5);
}

TEST(Membership, AWordOfAnOlderLifeChangesNothing) {
  One one;
  one.Tell(0, {Record("a", 5), Record("b", 8)});
  one.Tell(1, {Record("a", 5), Record("b", 7, 9, Belief::kGone)});
  EXPECT_EQ(one.Find("b")->belief, Belief::kAlive);
  EXPECT_EQ(one.Find("b")->version, (Version{8, 0}));
  EXPECT_EQ(one.members.counts().stale, 1u);
}

TEST(Membership, WhoIsForgottenIsNotBroughtBackByAWordFromBefore) {
  MembershipOptions options;
  options.forget = FleetTime(10'000);
  options.mass_share = 1;
  options.mass_heard = 0;
  One one(options);
  one.Tell(0, {Record("a", 5), Record("b", 8, 3)});
  one.Tell(1, {Record("a", 5), Record("b", 8, 3, Belief::kGone)});
  EXPECT_EQ(one.Find("b")->belief, Belief::kGone);
  one.Until(30'000);
  EXPECT_EQ(one.Find("b"), nullptr);
  one.Tell(30'001, {Record("a", 5), Record("b", 8, 3)});
  EXPECT_EQ(one.Find("b"), nullptr);
  one.Tell(30'002, {Record("a", 5), Record("b", 8, 4)});
  EXPECT_NE(one.Find("b"), nullptr);
}

TEST(Membership, HoldsSoManyMembersOnly) {
  MembershipOptions options;
  options.most_members = 20;
  One one(options);
  for (int i = 0; i < 100; ++i) one.Tell(i, {Record("n" + std::to_string(i), 5)});
  EXPECT_EQ(one.members.size(), 21u);
  EXPECT_EQ(one.members.counts().full, 80u);
  EXPECT_LE(one.members.queued(), 20u);
}

TEST(Membership, ANodeThatStoodStillSuspectsItselfFirst) {
  One one;
  one.Tell(0, {Record("a", 5)});
  one.Tell(0, {Record("b", 5)});
  one.Until(900);
  const Version before = one.members.self().version;
  one.Tell(15'000, {Record("a", 5)});
  EXPECT_TRUE(one.Said("thawed"));
  EXPECT_GT(one.members.self().version, before);
  one.Until(16'400);
  EXPECT_EQ(one.members.suspects(), 0u);  // Nobody else is accused yet.
}

TEST(Membership, OneThatHearsNobodyKeepsItsView) {
  One one;
  for (int i = 0; i < 10; ++i) one.Tell(i, {Record("n" + std::to_string(i), 5)});
  one.Until(120'000);
  EXPECT_TRUE(one.members.cut_off());
  EXPECT_EQ(one.members.size(), 11u);
  EXPECT_FALSE(one.Said("member-gone"));
}

TEST(Membership, WhoSaysThatItLeavesIsGoneAtOnceAndAllAtOnceToo) {
  One one;
  for (int i = 0; i < 10; ++i) one.Tell(i, {Record("n" + std::to_string(i), 5)});
  for (int i = 0; i < 10; ++i) {
    MemberRecord left = Record("n" + std::to_string(i), 5, 1);
    left.phase = MemberPhase::kLeft;
    one.Tell(20, {left});
  }
  EXPECT_EQ(one.members.size(), 1u);
  EXPECT_FALSE(one.members.cut_off());
}

// Others may tell of it first, and have it as gone already: announced, it is no loss.
TEST(Membership, ThatManyHaveLeftIsBelievedOfOthersToo) {
  One one;
  for (int i = 0; i < 10; ++i) one.Tell(i, {Record("n" + std::to_string(i), 5)});
  for (int i = 1; i < 10; ++i) {
    MemberRecord left = Record("n" + std::to_string(i), 5, 1, Belief::kGone);
    left.phase = MemberPhase::kLeft;
    one.Tell(20, {Record("n0", 5), left});
  }
  EXPECT_EQ(one.members.size(), 2u);
  EXPECT_FALSE(one.members.cut_off());
}

// Words in any order and number: what is held never falls, the dropped come back by newer words alone, and
// all bounds are kept.
RC_GTEST_PROP(Membership, AnyWordsInAnyOrder, ()) {
  MembershipOptions options;
  options.most_members = 6;
  One one(options);
  std::map<std::string, std::pair<Version, bool>> held;  // And whether it was gone.
  Version own = one.members.self().version;
  double now = 0;
  const int steps = *rc::gen::inRange(1, 120);
  for (int i = 0; i < steps; ++i) {
    now += *rc::gen::element(0, 1, 40, 300, 900, 4'000);
    std::vector<MemberRecord> records;
    const int count = *rc::gen::inRange(1, 5);
    for (int r = 0; r < count; ++r) {
      const auto name = *rc::gen::element<std::string>("a", "b", "c", "d", "e", "f", "g", "h", "self");
      MemberRecord record = Record(name, *rc::gen::inRange<std::uint64_t>(99, 103), *rc::gen::inRange(0u, 4u),
                                   static_cast<Belief>(*rc::gen::inRange(0, 3)));
      record.phase = static_cast<MemberPhase>(*rc::gen::inRange(0, 5));
      if (record.belief == Belief::kSuspect)
        record.by = *rc::gen::element<std::string>("a", "b", "c", "self");
      records.push_back(record);
    }
    PeerMessage message = News(std::move(records));
    message.kind = static_cast<MessageKind>(*rc::gen::inRange(0, 7));
    message.subject = *rc::gen::element<std::string>("a", "b", "self", "");
    message.view = *rc::gen::arbitrary<std::uint64_t>();
    if (message.kind == MessageKind::kCompare)
      message.digests.assign(kBuckets, *rc::gen::arbitrary<std::uint32_t>());
    for (const MembershipActions& actions :
         {one.members.Hear(FleetTime(now), {9, 9}, message), one.members.Tick(FleetTime(now + 1))}) {
      for (const SendMessage& send : actions.sends) {
        RC_ASSERT(MostBytes(send.message) <= options.most_bytes);
        RC_ASSERT(send.message.records.front().name == "self");
      }
    }
    RC_ASSERT(one.members.self().version >= own);
    own = one.members.self().version;
    RC_ASSERT(one.members.size() <= options.most_members + 1);
    RC_ASSERT(one.members.queued() <= options.most_members);
    for (const auto& look : one.members.Others(FleetTime(now))) {
      const MemberRecord& r = look.record;
      auto& [version, gone] = held[r.name];
      RC_ASSERT(r.version >= version);
      if (gone && r.version == version) RC_ASSERT(r.belief == Belief::kGone);
      gone = r.belief == Belief::kGone;
      version = r.version;
    }
  }
}

}  // namespace
}  // namespace hingelink::decide
