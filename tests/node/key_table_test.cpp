// Idempotency keys: the table against a plain model, its bounds, and the updates between two processes.
#include "node/keys/key_table.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>

namespace hingelink::node {
namespace {

using namespace std::chrono_literals;
using Millis = KeyTable::Millis;
using Status = KeyTable::Replay::Status;
constexpr IdempotencyKey kKey{0x5c0f6e1a2b3d4c59u, 0xa8b7c6d5e4f30211u};
constexpr Millis kWindow{10'000}, kMaxDelay{4'000};

struct Table : KeyTable {
  using KeyTable::KeyTable;
  Table() : KeyTable(Limits{}) {}
  Time now = Time{} + 1h;
  Id Add(Id id, IdempotencyKey key = kKey, std::uint64_t content = 1) {
    return AddAttempt(key, content, id, now, now);
  }
  bool RetainFor(Id id, IdempotencyKey key = kKey) { return Retain(key, id, kWindow, kMaxDelay, now); }
};

TEST(KeyTable, ARetryNamesTheHolderOfTheKeyInEveryState) {
  Table table;
  EXPECT_EQ(table.Add(1), 0u);
  EXPECT_EQ(table.Add(2), 1u);  // In the same step, before anything is retained.
  ASSERT_TRUE(table.RetainFor(1));
  ASSERT_TRUE(table.Start(kKey, 1));
  EXPECT_FALSE(table.Start(kKey, 2));
  EXPECT_EQ(table.Add(3), 1u);
  EXPECT_EQ(table.FindReplay(kKey).status, Status::kPending);
  table.Finish(kKey, 1, true, "done");
  table.RemoveAttempt(kKey, 1);
  EXPECT_EQ(table.FindReplay(kKey).status, Status::kResult);
  EXPECT_EQ(*table.FindReplay(kKey).result, "done");
  table.now += 9'900ms;
  EXPECT_EQ(table.Add(4), 1u);
}

TEST(KeyTable, AKeyIsFreeAfterItsWindowExceptForAttemptsThatArrivedWithin) {
  Table table;
  table.Add(1);
  table.RetainFor(1);
  ASSERT_TRUE(table.Start(kKey, 1));
  table.Finish(kKey, 1, true, "done");
  table.RemoveAttempt(kKey, 1);
  const KeyTable::Time came = table.now + 9'999ms;
  table.now += 13s;
  EXPECT_EQ(table.AddAttempt(kKey, 1, 2, came, table.now), 1u);
  table.RemoveAttempt(kKey, 2);
  EXPECT_EQ(table.Add(3), 0u);
}

TEST(KeyTable, AFailedKeyNeverRunsAgainWhateverThePolicySays) {
  Table table;
  table.Add(1);
  table.RetainFor(1);
  ASSERT_TRUE(table.Start(kKey, 1));
  table.Finish(kKey, 1, false, "");
  table.RemoveAttempt(kKey, 1);
  EXPECT_FALSE(table.Release(1));
  EXPECT_TRUE(table.MayHaveRun(kKey));
  EXPECT_EQ(table.Add(2), 1u);
  EXPECT_FALSE(table.Retain(kKey, 2, kWindow, kMaxDelay, table.now));
  EXPECT_FALSE(table.Start(kKey, 2));
  EXPECT_EQ(table.FindReplay(kKey).status, Status::kFailed);
}

TEST(KeyTable, AnAttemptRemovedInTheStepOfTheNextFreesTheKey) {
  Table table;
  table.Add(1);
  table.RetainFor(1);
  table.RemoveAttempt(kKey, 1);  // Its caller has disconnected; the policy learns it in the next step.
  EXPECT_EQ(table.Add(2), 0u);
  EXPECT_FALSE(table.Release(1));  // The policy's action of that step.
  ASSERT_TRUE(table.RetainFor(2));
  EXPECT_TRUE(table.Start(kKey, 2));
}

TEST(KeyTable, AWaitingAttemptTakesTheHoldersPlace) {
  Table table;
  table.Add(1);
  table.RetainFor(1);
  EXPECT_EQ(table.Add(2), 1u);
  table.RemoveAttempt(kKey, 1);
  EXPECT_EQ(table.Add(3), 1u);  // The policy still counts it to the first.
  EXPECT_EQ(table.Release(1), kKey);
  ASSERT_TRUE(table.RetainFor(2));
  EXPECT_TRUE(table.Start(kKey, 2));
  EXPECT_EQ(table.Add(4), 2u);
}

TEST(KeyTable, BoundsKeysAndResults) {
  Table table;
  table.SetLimits({.max_keys = 4, .max_result_bytes = 25});
  for (KeyTable::Id id = 1; id <= 4; ++id) {
    const IdempotencyKey key{id, 0};
    table.Add(id, key);
    ASSERT_TRUE(table.RetainFor(id, key));
    ASSERT_TRUE(table.Start(key, id));
    table.now += 1ms;
    table.Finish(key, id, true, "0123456789");
    table.RemoveAttempt(key, id);
    EXPECT_LE(table.result_bytes(), 25u);
  }
  // The oldest was dropped first, and is still known to have run.
  EXPECT_EQ(table.FindReplay({1, 0}).status, Status::kFailed);
  EXPECT_TRUE(table.MayHaveRun({1, 0}));
  EXPECT_EQ(table.FindReplay({4, 0}).status, Status::kResult);
  EXPECT_EQ(table.counters().results_dropped, 2u);
  table.Add(5, {5, 0});
  EXPECT_FALSE(table.RetainFor(5, {5, 0}));
  EXPECT_FALSE(table.Start({5, 0}, 5));
  EXPECT_EQ(table.counters().rejected_at_capacity, 1u);
}

TEST(KeyTable, OtherContentWithTheSameKeyDoesNotMatch) {
  Table table;
  table.Add(1);
  table.RetainFor(1);
  EXPECT_TRUE(table.MatchesContent(kKey, 1, table.now));
  EXPECT_FALSE(table.MatchesContent(kKey, 2, table.now));
  ASSERT_TRUE(table.Start(kKey, 1));
  table.Finish(kKey, 1, true, "");
  table.RemoveAttempt(kKey, 1);
  EXPECT_TRUE(table.MatchesContent(kKey, 2, table.now + 11s));
}

TEST(KeyTable, ASuccessorWaitsForRunningKeysOfItsPredecessorAndRunsReleasedOnes) {
  Table old, fresh;
  old.Add(1);
  old.RetainFor(1);
  ASSERT_TRUE(old.Start(kKey, 1));
  const IdempotencyKey held{7, 7};
  old.Add(2, held);
  old.RetainFor(2, held);
  old.ForEachRetained(old.now, [&](const KeyUpdate& update) {
    EXPECT_FALSE(fresh.ApplyUpdate(update, kMaxDelay, fresh.now));
  });
  EXPECT_GE(fresh.Add(10), KeyTable::kFirstRemoteId);
  EXPECT_GE(fresh.Add(11, held), KeyTable::kFirstRemoteId);
  EXPECT_EQ(fresh.FindReplay(kKey).status, Status::kPending);
  EXPECT_EQ(fresh.FindReplay(held).status, Status::kPending);
  old.Finish(kKey, 1, true, "from there");
  EXPECT_TRUE(fresh.ApplyUpdate(old.UpdateOf(kKey, old.now), kMaxDelay, fresh.now));
  ASSERT_EQ(fresh.FindReplay(kKey).status, Status::kResult);
  EXPECT_EQ(*fresh.FindReplay(kKey).result, "from there");
  // Rejected there without a run: attempts that wait here fail, and the next may run.
  old.RemoveAttempt(held, 2);
  old.Release(2);
  EXPECT_TRUE(fresh.ApplyUpdate(old.UpdateOf(held, old.now), kMaxDelay, fresh.now));
  EXPECT_EQ(fresh.FindReplay(held).status, Status::kFailed);
  fresh.RemoveAttempt(held, 11);
  EXPECT_EQ(fresh.Add(12, held), 0u);
  EXPECT_FALSE(fresh.MayHaveRun(held));
}

TEST(KeyTable, KeysInFlightInAPredecessorThatExitedFail) {
  Table fresh;
  fresh.ApplyUpdate({kKey, 1, KeyState::kRunning, kWindow, std::nullopt}, kMaxDelay, fresh.now);
  fresh.Add(10);
  EXPECT_EQ(fresh.OnSiblingsExited(), std::vector<IdempotencyKey>{kKey});
  EXPECT_EQ(fresh.FindReplay(kKey).status, Status::kFailed);
  EXPECT_EQ(fresh.WaitingAttempts(kKey), std::vector<KeyTable::Id>{10});
}

// Two tables that exchange updates as two processes do, and callers in any order: no key runs twice within
// its window, in either process.
class TwoProcesses {
 public:
  void Step() {
    const int choice = *rc::gen::inRange(0, 12);
    if (choice == 0) {
      PassTime();
    } else if (choice == 1 && !successor_started_) {
      StartSuccessor();
    } else if (choice < 6) {
      AddAttempt();
    } else if (!attempts_.empty()) {
      auto at = attempts_.begin();
      std::advance(at, *rc::gen::inRange<std::size_t>(0, attempts_.size()));
      if (choice < 9 && !at->second.running) {
        TryStart(at);
      } else if (choice == 9 && at->second.running) {
        Finish(at);
      } else if (choice >= 10 && !at->second.running) {
        Disconnect(at);
      }
    }
  }

 private:
  struct Attempt {
    int process = 0;
    IdempotencyKey key;
    bool running = false;
    bool retained = false;
  };
  using Attempts = std::map<KeyTable::Id, Attempt>;

  void PassTime() {
    const auto span = std::chrono::milliseconds(*rc::gen::inRange(1, 6'000));
    for (Table& table : tables_) table.now += span;
  }
  void StartSuccessor() {
    successor_started_ = true;
    tables_[0].ForEachRetained(tables_[0].now, [this](const KeyUpdate& update) {
      tables_[1].ApplyUpdate(update, kMaxDelay, tables_[1].now);
    });
  }
  void SendUpdate(const IdempotencyKey& key) {
    if (!successor_started_) return;
    tables_[1].ApplyUpdate(tables_[0].UpdateOf(key, tables_[0].now), kMaxDelay, tables_[1].now);
  }
  void AddAttempt() {
    const IdempotencyKey key{static_cast<std::uint64_t>(*rc::gen::inRange(1, 4)), 0};
    const int process = successor_started_ ? 1 : 0;
    const KeyTable::Id id = ++last_id_;
    const KeyTable::Id original = tables_[process].Add(id, key);
    RC_ASSERT(original != id);
    attempts_[id] = {process, key};
    if (original == 0) attempts_[id].retained = tables_[process].RetainFor(id, key);
    SendUpdate(key);
  }
  // Also one that does not hold the key.
  void TryStart(Attempts::iterator at) {
    Attempt& attempt = at->second;
    Table& table = tables_[attempt.process];
    if (table.Start(attempt.key, at->first)) {
      const auto previous = started_at_.find(attempt.key);
      const bool is_first = previous == started_at_.end() || table.now - previous->second > kWindow;
      RC_ASSERT(is_first);
      started_at_[attempt.key] = table.now;
      attempt.running = true;
    }
    SendUpdate(attempt.key);
  }
  void Finish(Attempts::iterator at) {
    const auto [process, key, running, retained] = at->second;
    tables_[process].Finish(key, at->first, *rc::gen::arbitrary<bool>(), "r");
    tables_[process].RemoveAttempt(key, at->first);
    SendUpdate(key);
    attempts_.erase(at);
  }
  // If it held the key, the next attempt takes its place.
  void Disconnect(Attempts::iterator at) {
    const auto [process, key, running, retained] = at->second;
    const KeyTable::Id id = at->first;
    tables_[process].RemoveAttempt(key, id);
    attempts_.erase(at);
    if (tables_[process].Release(id)) RetainNext(process, key);
    SendUpdate(key);
  }
  void RetainNext(int process, const IdempotencyKey& key) {
    for (auto& [id, attempt] : attempts_) {
      if (attempt.process != process || !(attempt.key == key) || attempt.running) continue;
      attempt.retained = tables_[process].RetainFor(id, key);
      return;
    }
  }

  Table tables_[2];
  bool successor_started_ = false;
  Attempts attempts_;
  std::map<IdempotencyKey, KeyTable::Time> started_at_;
  KeyTable::Id last_id_ = 0;
};

RC_GTEST_PROP(KeyTableProperty, NoKeyRunsTwiceInEitherProcess, ()) {
  TwoProcesses processes;
  const int steps = *rc::gen::inRange(20, 200);
  for (int step = 0; step < steps; ++step) processes.Step();
}

}  // namespace
}  // namespace hingelink::node
