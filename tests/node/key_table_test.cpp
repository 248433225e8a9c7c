// Tests of KeyTable: states of a key, bounds of the table, key updates between two processes, and a property
// test of random sequences of operations in two processes.
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

TEST(KeyTable, RetryIsReportedWithTheHolderOfItsKeyInEveryState) {
  Table table;
  EXPECT_EQ(table.Add(1), 0u);
  EXPECT_EQ(table.Add(2), 1u);  // Added before the policy has retained the key.
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

TEST(KeyTable, KeyIsFreeAfterItsWindowExceptForAttemptsThatArrivedWithinIt) {
  Table table;
  table.Add(1);
  table.RetainFor(1);
  ASSERT_TRUE(table.Start(kKey, 1));
  table.Finish(kKey, 1, true, "done");
  table.RemoveAttempt(kKey, 1);
  const KeyTable::Time arrived = table.now + 9'999ms;
  table.now += 13s;
  EXPECT_EQ(table.AddAttempt(kKey, 1, 2, arrived, table.now), 1u);
  table.RemoveAttempt(kKey, 2);
  EXPECT_EQ(table.Add(3), 0u);
}

// Guards against a key that runs twice: its window ends during a handover, and an attempt that arrived within
// the window is read later.
TEST(KeyTable, KeyIsReportedAfterItsWindowAsLongAsAnAttemptOfTheWindowMayBeRead) {
  Table predecessor, successor;
  predecessor.Add(1);
  predecessor.RetainFor(1);
  ASSERT_TRUE(predecessor.Start(kKey, 1));
  predecessor.Finish(kKey, 1, true, "done");
  predecessor.RemoveAttempt(kKey, 1);
  const KeyTable::Time arrived = predecessor.now + 9'999ms;
  successor.now = predecessor.now + 11s;
  predecessor.ForEachRetained(successor.now, [&](const KeyUpdate& update) {
    successor.ApplyUpdate(update, kMaxDelay, successor.now);
  });
  EXPECT_NE(successor.AddAttempt(kKey, 1, 2, arrived, successor.now), 0u);
  ASSERT_EQ(successor.FindReplay(kKey).status, Status::kResult);
  EXPECT_EQ(*successor.FindReplay(kKey).result, "done");
  successor.RemoveAttempt(kKey, 2);
  // A later attempt is a new request.
  successor.now += 10ms;
  EXPECT_EQ(successor.Add(3), 0u);
}

TEST(KeyTable, FailedKeyNeverRunsAgainEvenIfThePolicyReleasesIt) {
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

TEST(KeyTable, RemovedHolderFreesTheKeyForAnAttemptInTheSameStep) {
  Table table;
  table.Add(1);
  table.RetainFor(1);
  table.RemoveAttempt(kKey, 1);  // The caller has disconnected; the policy learns of it in the next step.
  EXPECT_EQ(table.Add(2), 0u);
  EXPECT_FALSE(table.Release(1));  // The policy's action for the disconnected attempt has no effect.
  ASSERT_TRUE(table.RetainFor(2));
  EXPECT_TRUE(table.Start(kKey, 2));
}

TEST(KeyTable, WaitingAttemptTakesOverTheKeyOfARemovedHolder) {
  Table table;
  table.Add(1);
  table.RetainFor(1);
  EXPECT_EQ(table.Add(2), 1u);
  table.RemoveAttempt(kKey, 1);
  EXPECT_EQ(table.Add(3), 1u);  // The policy has not released the key of attempt 1 yet.
  EXPECT_EQ(table.Release(1), kKey);
  ASSERT_TRUE(table.RetainFor(2));
  EXPECT_TRUE(table.Start(kKey, 2));
  EXPECT_EQ(table.Add(4), 2u);
}

TEST(KeyTable, NumberOfKeysAndSizeOfResultsAreBounded) {
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
  // The oldest result was dropped first. The table still knows that the request ran.
  EXPECT_EQ(table.FindReplay({1, 0}).status, Status::kFailed);
  EXPECT_TRUE(table.MayHaveRun({1, 0}));
  EXPECT_EQ(table.FindReplay({4, 0}).status, Status::kResult);
  EXPECT_EQ(table.counters().results_dropped, 2u);
  table.Add(5, {5, 0});
  EXPECT_FALSE(table.RetainFor(5, {5, 0}));
  EXPECT_FALSE(table.Start({5, 0}, 5));
  EXPECT_EQ(table.counters().rejected_at_capacity, 1u);
}

TEST(KeyTable, DifferentContentWithTheSameKeyDoesNotMatchWithinTheWindow) {
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

TEST(KeyTable, SuccessorWaitsForRunningKeysOfItsPredecessorAndRunsReleasedKeys) {
  Table predecessor, successor;
  predecessor.Add(1);
  predecessor.RetainFor(1);
  ASSERT_TRUE(predecessor.Start(kKey, 1));
  const IdempotencyKey reserved_key{7, 7};
  predecessor.Add(2, reserved_key);
  predecessor.RetainFor(2, reserved_key);
  predecessor.ForEachRetained(predecessor.now, [&](const KeyUpdate& update) {
    EXPECT_FALSE(successor.ApplyUpdate(update, kMaxDelay, successor.now));
  });
  EXPECT_GE(successor.Add(10), KeyTable::kFirstRemoteId);
  EXPECT_GE(successor.Add(11, reserved_key), KeyTable::kFirstRemoteId);
  EXPECT_EQ(successor.FindReplay(kKey).status, Status::kPending);
  EXPECT_EQ(successor.FindReplay(reserved_key).status, Status::kPending);
  predecessor.Finish(kKey, 1, true, "from predecessor");
  EXPECT_TRUE(successor.ApplyUpdate(predecessor.UpdateOf(kKey, predecessor.now), kMaxDelay, successor.now));
  ASSERT_EQ(successor.FindReplay(kKey).status, Status::kResult);
  EXPECT_EQ(*successor.FindReplay(kKey).result, "from predecessor");
  // The predecessor rejects its attempt without running it. The attempt that waits in the successor fails,
  // and the next attempt may run.
  predecessor.RemoveAttempt(reserved_key, 2);
  predecessor.Release(2);
  EXPECT_TRUE(
      successor.ApplyUpdate(predecessor.UpdateOf(reserved_key, predecessor.now), kMaxDelay, successor.now));
  EXPECT_EQ(successor.FindReplay(reserved_key).status, Status::kFailed);
  successor.RemoveAttempt(reserved_key, 11);
  EXPECT_EQ(successor.Add(12, reserved_key), 0u);
  EXPECT_FALSE(successor.MayHaveRun(reserved_key));
}

TEST(KeyTable, KeysInFlightFailWhenThePredecessorExits) {
  Table successor;
  successor.ApplyUpdate({kKey, 1, KeyState::kRunning, kWindow, std::nullopt}, kMaxDelay, successor.now);
  successor.Add(10);
  EXPECT_EQ(successor.OnSiblingsExited(), std::vector<IdempotencyKey>{kKey});
  EXPECT_EQ(successor.FindReplay(kKey).status, Status::kFailed);
  EXPECT_EQ(successor.WaitingAttempts(kKey), std::vector<KeyTable::Id>{10});
}

// Simulates two processes of a node that exchange key updates. Step() performs one random operation and
// asserts that no key runs twice within its window in either process.
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
  // Also tries attempts that do not hold the key; KeyTable::Start() must refuse these.
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
  // If the attempt reserved_key the key, another waiting attempt takes over the key.
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

RC_GTEST_PROP(KeyTableProperty, NoKeyRunsTwiceWithinItsWindowInTwoProcesses, ()) {
  TwoProcesses processes;
  const int steps = *rc::gen::inRange(20, 200);
  for (int step = 0; step < steps; ++step) processes.Step();
}

}  // namespace
}  // namespace hingelink::node
