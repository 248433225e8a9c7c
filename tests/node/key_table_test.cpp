// Keys of requests that must not run twice: the table against a plain model, its bounds, and what two
// processes tell each other of them.
#include "node/keys/key_table.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <set>

namespace hingelink::node {
namespace {

using namespace std::chrono_literals;
using Millis = KeyTable::Millis;
constexpr IdempotencyKey kKey{0x5c0f6e1a2b3d4c59u, 0xa8b7c6d5e4f30211u};
constexpr Millis kWindow{10'000}, kLate{4'000};

struct Table : KeyTable {
  using KeyTable::KeyTable;
  Table() : KeyTable(Limits{}) {}
  Time now = Time{} + 1h;
  Id Come(Id id, IdempotencyKey key = kKey, std::uint64_t content = 1) {
    return Arrive(key, content, id, now, now);
  }
  bool KeepIt(Id id, IdempotencyKey key = kKey) { return Keep(key, id, kWindow, kLate, now); }
};

TEST(KeyTable, ARepeatNamesTheTryThatHoldsTheKeyWhateverBecameOfIt) {
  Table table;
  EXPECT_EQ(table.Come(1), 0u);
  EXPECT_EQ(table.Come(2), 1u);  // In the same batch, before anything is kept.
  ASSERT_TRUE(table.KeepIt(1));
  ASSERT_TRUE(table.Start(kKey, 1));
  EXPECT_FALSE(table.Start(kKey, 2));
  EXPECT_EQ(table.Come(3), 1u);
  const std::string* result = nullptr;
  EXPECT_EQ(table.Look(kKey, &result), KeyTable::Replay::kWait);
  table.End(kKey, 1, true, "done");
  table.Leave(kKey, 1);
  EXPECT_EQ(table.Look(kKey, &result), KeyTable::Replay::kResult);
  EXPECT_EQ(*result, "done");
  table.now += 9'900ms;
  EXPECT_EQ(table.Come(4), 1u);
}

TEST(KeyTable, AKeyIsFreeBehindItsWindowButNotForWhatCameBeforeAndIsReadLate) {
  Table table;
  table.Come(1);
  table.KeepIt(1);
  table.Start(kKey, 1);
  table.End(kKey, 1, true, "done");
  table.Leave(kKey, 1);
  const KeyTable::Time came = table.now + 9'999ms;
  table.now += 13s;
  EXPECT_EQ(table.Arrive(kKey, 1, 2, came, table.now), 1u);
  table.Leave(kKey, 2);
  EXPECT_EQ(table.Come(3), 0u);
}

TEST(KeyTable, OneThatFailedIsNeverRunAgainWhateverTheModuleSays) {
  Table table;
  table.Come(1);
  table.KeepIt(1);
  table.Start(kKey, 1);
  table.End(kKey, 1, false, "");
  table.Leave(kKey, 1);
  EXPECT_FALSE(table.Drop(1));
  EXPECT_TRUE(table.MayHaveRun(kKey));
  EXPECT_EQ(table.Come(2), 1u);
  EXPECT_FALSE(table.Keep(kKey, 2, kWindow, kLate, table.now));
  EXPECT_FALSE(table.Start(kKey, 2));
  const std::string* result = nullptr;
  EXPECT_EQ(table.Look(kKey, &result), KeyTable::Replay::kFailed);
}

TEST(KeyTable, ATryThatLeftInTheBatchOfTheNextMakesWayForIt) {
  Table table;
  table.Come(1);
  table.KeepIt(1);
  table.Leave(kKey, 1);  // Its caller has gone; the module hears of it only now.
  EXPECT_EQ(table.Come(2), 0u);
  EXPECT_FALSE(table.Drop(1));  // What the module says of it then.
  ASSERT_TRUE(table.KeepIt(2));
  EXPECT_TRUE(table.Start(kKey, 2));
}

TEST(KeyTable, AFollowerTakesTheHoldersPlace) {
  Table table;
  table.Come(1);
  table.KeepIt(1);
  EXPECT_EQ(table.Come(2), 1u);
  table.Leave(kKey, 1);
  EXPECT_EQ(table.Come(3), 1u);  // The module still has it as the first's.
  EXPECT_EQ(table.Drop(1), kKey);
  ASSERT_TRUE(table.KeepIt(2));
  EXPECT_TRUE(table.Start(kKey, 2));
  EXPECT_EQ(table.Come(4), 2u);
}

TEST(KeyTable, ResultsAndKeysKeepTheirBounds) {
  Table table;
  table.SetLimits({.most_keys = 4, .most_bytes = 25});
  for (KeyTable::Id id = 1; id <= 4; ++id) {
    const IdempotencyKey key{id, 0};
    table.Come(id, key);
    ASSERT_TRUE(table.KeepIt(id, key));
    ASSERT_TRUE(table.Start(key, id));
    table.now += 1ms;
    table.End(key, id, true, "0123456789");
    table.Leave(key, id);
    EXPECT_LE(table.result_bytes(), 25u);
  }
  const std::string* result = nullptr;
  // The oldest went first: not there any more, but known to have run.
  EXPECT_EQ(table.Look({1, 0}, &result), KeyTable::Replay::kFailed);
  EXPECT_TRUE(table.MayHaveRun({1, 0}));
  EXPECT_EQ(table.Look({4, 0}, &result), KeyTable::Replay::kResult);
  EXPECT_EQ(table.counts().results_gone, 2u);
  table.Come(5, {5, 0});
  EXPECT_FALSE(table.KeepIt(5, {5, 0}));
  EXPECT_FALSE(table.Start({5, 0}, 5));
  EXPECT_EQ(table.counts().no_room, 1u);
}

TEST(KeyTable, AnotherRequestUnderATakenKeyIsNoTryOfIt) {
  Table table;
  table.Come(1);
  table.KeepIt(1);
  EXPECT_TRUE(table.Fits(kKey, 1, table.now));
  EXPECT_FALSE(table.Fits(kKey, 2, table.now));
  table.Start(kKey, 1);
  table.End(kKey, 1, true, "");
  table.Leave(kKey, 1);
  EXPECT_TRUE(table.Fits(kKey, 2, table.now + 11s));
}

TEST(KeyTable, ASuccessorWaitsForWhatItsPredecessorRunsAndRunsWhatThatLetGo) {
  Table old, fresh;
  old.Come(1);
  old.KeepIt(1);
  old.Start(kKey, 1);
  const IdempotencyKey held{7, 7};
  old.Come(2, held);
  old.KeepIt(2, held);
  old.Tell(old.now, [&](const KeyNews& news) { EXPECT_FALSE(fresh.Hear(news, kLate, fresh.now)); });
  EXPECT_GE(fresh.Come(10), KeyTable::kElsewhere);
  EXPECT_GE(fresh.Come(11, held), KeyTable::kElsewhere);
  const std::string* result = nullptr;
  EXPECT_EQ(fresh.Look(kKey, &result), KeyTable::Replay::kWait);
  EXPECT_EQ(fresh.Look(held, &result), KeyTable::Replay::kWait);
  old.End(kKey, 1, true, "from there");
  EXPECT_TRUE(fresh.Hear(old.Of(kKey, old.now), kLate, fresh.now));
  ASSERT_EQ(fresh.Look(kKey, &result), KeyTable::Replay::kResult);
  EXPECT_EQ(*result, "from there");
  // Refused there, unrun: those that wait here end, and the next may run.
  old.Leave(held, 2);
  old.Drop(2);
  EXPECT_TRUE(fresh.Hear(old.Of(held, old.now), kLate, fresh.now));
  EXPECT_EQ(fresh.Look(held, &result), KeyTable::Replay::kFailed);
  fresh.Leave(held, 11);
  EXPECT_EQ(fresh.Come(12, held), 0u);
  EXPECT_FALSE(fresh.MayHaveRun(held));
}

TEST(KeyTable, WhatAPredecessorHadInHandAsItDiedMayHaveRun) {
  Table fresh;
  fresh.Hear({kKey, 1, KeyFate::kRuns, kWindow, std::nullopt}, kLate, fresh.now);
  fresh.Come(10);
  EXPECT_EQ(fresh.OthersEnded(), std::vector<IdempotencyKey>{kKey});
  const std::string* result = nullptr;
  EXPECT_EQ(fresh.Look(kKey, &result), KeyTable::Replay::kFailed);
  EXPECT_EQ(fresh.Repeats(kKey), std::vector<KeyTable::Id>{10});
}

// Two tables that tell each other as two processes do, and a host that asks for anything in any order: no key
// runs twice within its window, at whichever of the two.
RC_GTEST_PROP(KeyTableProperty, NoKeyRunsTwiceInEitherProcess, ()) {
  Table tables[2];
  bool second_up = false;
  struct Try {
    int at;
    IdempotencyKey key;
    bool running = false, holds = false;
  };
  std::map<KeyTable::Id, Try> tries;
  std::map<IdempotencyKey, KeyTable::Time> ran;
  KeyTable::Id last = 0;
  const int steps = *rc::gen::inRange(20, 200);
  for (int i = 0; i < steps; ++i) {
    const auto tell = [&](const IdempotencyKey& key) {
      if (second_up) tables[1].Hear(tables[0].Of(key, tables[0].now), kLate, tables[1].now);
    };
    const int what = *rc::gen::inRange(0, 12);
    if (what == 0) {
      const auto pass = std::chrono::milliseconds(*rc::gen::inRange(1, 6'000));
      for (Table& table : tables) table.now += pass;
    } else if (what == 1 && !second_up) {
      second_up = true;
      tables[0].Tell(tables[0].now, [&](const KeyNews& news) { tables[1].Hear(news, kLate, tables[1].now); });
    } else if (what < 6) {
      const IdempotencyKey key{static_cast<std::uint64_t>(*rc::gen::inRange(1, 4)), 0};
      const int at = second_up ? 1 : 0;
      const KeyTable::Id id = ++last;
      const KeyTable::Id before = tables[at].Come(id, key);
      RC_ASSERT(before != id);
      tries[id] = {at, key};
      if (before == 0) tries[id].holds = tables[at].KeepIt(id, key);
      tell(key);
    } else if (!tries.empty()) {
      auto it = tries.begin();
      std::advance(it, *rc::gen::inRange<std::size_t>(0, tries.size()));
      auto& [id, t] = *it;
      Table& table = tables[t.at];
      if (what < 9 && !t.running) {
        // Whoever asks, also one that does not hold the key.
        if (table.Start(t.key, id)) {
          const auto before = ran.find(t.key);
          const bool first = before == ran.end() || table.now - before->second > kWindow;
          RC_ASSERT(first);
          ran[t.key] = table.now;
          t.running = true;
        }
        tell(t.key);
      } else if (what == 9 && t.running) {
        table.End(t.key, id, *rc::gen::arbitrary<bool>(), "r");
        table.Leave(t.key, id);
        tell(t.key);
        tries.erase(it);
      } else if (what >= 10 && !t.running) {
        const IdempotencyKey key = t.key;
        table.Leave(key, id);
        const int at = t.at;
        const KeyTable::Id gone = id;
        tries.erase(it);
        if (table.Drop(gone)) {
          for (auto& [other, o] : tries) {
            if (o.at != at || !(o.key == key) || o.running) continue;
            o.holds = table.KeepIt(other, key);
            break;
          }
        }
        tell(key);
      }
    }
  }
}

}  // namespace
}  // namespace hingelink::node
