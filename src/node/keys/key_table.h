// Table of idempotency keys. A record holds the attempt that owns the key, the state of its execution, and
// the result that answers retries. The policy decides which keys are retained and for how long.
//
// States: reserved (the attempt may still run) -> running -> served or failed. A reserved key is removed when
// its attempt is removed and no other attempt takes over the key. A key whose execution has started is not
// free again before its window ends, even if the policy releases it. Its result may be dropped earlier to
// limit memory; retries then fail.
//
// Bounds: at most Limits::max_keys keys (twice that including keys of other processes) and
// Limits::max_result_bytes of results. The result whose window ends first is dropped first. If a key cannot
// be retained because the table is full, its attempt must not run.
#ifndef HINGELINK_NODE_KEYS_KEY_TABLE_H_
#define HINGELINK_NODE_KEYS_KEY_TABLE_H_

#include <absl/container/flat_hash_map.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "core/front_end.h"
#include "hingelink/server_policy.h"

namespace hingelink::node {

using core::IdempotencyKey;

// The numeric values are part of the handover protocol between processes.
enum class KeyState { kReserved = 0, kRunning = 1, kServed = 2, kFailed = 3 };

// The state of a key as one process of the node reports it to another.
struct KeyUpdate {
  IdempotencyKey key;
  // A hash of the request's class and body.
  std::uint64_t content_hash = 0;
  KeyState state = KeyState::kReserved;
  // Time until the window of the key ends; 0 if the key is free.
  std::chrono::duration<double, std::milli> remaining{0};
  std::optional<std::string> result;
};

// Not thread-safe. Does not read a clock; the caller passes steady-clock times.
class KeyTable {
 public:
  using Id = hingelink::RequestId;
  using Time = std::chrono::steady_clock::time_point;
  using Millis = std::chrono::duration<double, std::milli>;
  struct Limits {
    std::size_t max_keys = 16'384;
    std::size_t max_result_bytes = 4 << 20;
  };
  struct Counters {
    // Attempts answered with the result of another attempt.
    std::uint64_t replays = 0;
    // Keys that could not be retained, or not taken over from another process, because the table was full.
    std::uint64_t rejected_at_capacity = 0;
    // Results dropped before their windows ended, to limit memory.
    std::uint64_t results_dropped = 0;
    // Attempts whose class or body differs from that of the first attempt with the key.
    std::uint64_t mismatches = 0;
  };
  // Attempts of other processes get ids from this value on. The policy never sees these attempts.
  static constexpr Id kFirstRemoteId = Id{1} << 62;

  explicit KeyTable(Limits limits) : limits_(limits) {}

  void SetLimits(Limits limits) { limits_ = limits; }

  // ---- Arrivals ----
  // Whether an attempt that arrived at the machine at this time repeats one that the table has a record of.
  [[nodiscard]] bool IsRepeated(const IdempotencyKey& key, Time arrived) const;
  // False, and counts a mismatch, if earlier attempts with this key had a different content. `arrived`: when
  // the attempt arrived at the machine.
  [[nodiscard]] bool MatchesContent(const IdempotencyKey& key, std::uint64_t content_hash, Time arrived);
  // Adds an attempt. Returns the attempt that it repeats, or 0 if it is the first attempt with the key.
  // `arrived`: when the attempt arrived at the machine, at most `now`. Must be called once for each id,
  // before any other call with that id.
  Id AddAttempt(const IdempotencyKey& key, std::uint64_t content_hash, Id id, Time arrived, Time now);

  // ---- Actions of the policy, and the progress of attempts ----
  // Retains the key for attempt `id` until `ttl` from now. `max_delay`: how long after its arrival at the
  // machine an attempt may still be added. False if the table is full, or if another attempt has already run.
  [[nodiscard]] bool Retain(const IdempotencyKey& key, Id id, Millis ttl, Millis max_delay, Time now);
  // Releases the retained key of attempt `id` if its execution has not started. Returns the key, or nullopt
  // if no key was released. `id` may already have been removed.
  std::optional<IdempotencyKey> Release(Id id);
  // Marks the key as running. False if attempt `id` must not run, because it does not hold the key or an
  // attempt with the key has already run.
  [[nodiscard]] bool Start(const IdempotencyKey& key, Id id);
  // Records the end of the execution of attempt `id`. `result` is used only if the execution succeeded.
  void Finish(const IdempotencyKey& key, Id id, bool succeeded, std::string_view result);
  // Removes an attempt that is no longer in flight.
  void RemoveAttempt(const IdempotencyKey& key, Id id);

  // True if an execution with the key has started, here or in another process.
  [[nodiscard]] bool MayHaveRun(const IdempotencyKey& key) const;
  struct Replay {
    enum class Status { kPending, kResult, kFailed };
    Status status = Status::kFailed;
    // Set with kResult only. Valid until the next call that changes the table.
    const std::string* result = nullptr;
  };
  // Returns how to answer a retry: with the result, with a failure, or not yet.
  [[nodiscard]] Replay FindReplay(const IdempotencyKey& key) const;
  void CountReplay() { ++counters_.replays; }

  // ---- Other processes of this node ----
  // Calls `visit` with the state of each retained key. `visit` must not change the table.
  void ForEachRetained(Time now, const std::function<void(const KeyUpdate&)>& visit) const;
  [[nodiscard]] KeyUpdate UpdateOf(const IdempotencyKey& key, Time now) const;
  // Applies the report of another process. True if attempts that wait for the key can now be answered. Does
  // not change a key whose execution started in this process.
  bool ApplyUpdate(const KeyUpdate& update, Millis max_delay, Time now);
  // Called when the other processes have exited. Their keys in flight become failed, because an execution may
  // have run. Returns these keys in ascending order; the attempts that wait for them can now be answered.
  std::vector<IdempotencyKey> OnSiblingsExited();
  // Whether the table has a record of the key, from this process or from the report of another one.
  [[nodiscard]] bool IsKnown(const IdempotencyKey& key) const { return records_.contains(key); }
  // The attempts in flight with the key, without the attempt that holds the key.
  [[nodiscard]] std::vector<Id> WaitingAttempts(const IdempotencyKey& key) const;

  // Evicts the keys that no attempt can refer to any more: the window has ended and `max_delay` has passed.
  // Keeps keys with attempts in flight.
  void Expire(Time now);

  [[nodiscard]] std::size_t keys() const { return records_.size(); }
  [[nodiscard]] std::size_t result_bytes() const { return result_bytes_; }
  [[nodiscard]] const Counters& counters() const { return counters_; }

 private:
  struct Record {
    // The attempt that owns the key; 0 after the key was released while other attempts wait for it.
    Id holder = 0;
    std::uint64_t content_hash = 0;
    KeyState state = KeyState::kReserved;
    bool retained = false;
    // An attempt that arrives after this time is a new request, not a retry.
    Time window_end{};
    // window_end plus the maximum delay until an attempt is added. The record is evicted after this time.
    Time evict_at{};
    std::optional<std::string> result;
    // The attempts in flight in this process, including the holder.
    std::vector<Id> attempts;

    [[nodiscard]] bool IsRemote() const { return holder >= kFirstRemoteId; }
    [[nodiscard]] bool HasFinished() const {
      return state == KeyState::kServed || state == KeyState::kFailed;
    }
    [[nodiscard]] bool HolderInFlight() const;
  };
  struct Hash {
    std::size_t operator()(const IdempotencyKey& key) const { return absl::HashOf(key.high, key.low); }
  };
  using Records = absl::flat_hash_map<IdempotencyKey, Record, Hash>;

  [[nodiscard]] static bool HasExpired(const Record& record, Time arrived);
  void SetEvictionTime(const IdempotencyKey& key, Record& record, Time evict_at);
  void SetResult(const IdempotencyKey& key, Record& record, std::string_view result);
  void DropResult(Record& record);
  void Erase(Records::iterator at);
  // Frees a key that the other process has released. True if attempts of this process wait for the key.
  bool ReleaseRemote(Records::iterator at);

  Limits limits_;
  Records records_;
  // Retained keys without a started execution, by holder.
  absl::flat_hash_map<Id, IdempotencyKey> reserved_;
  std::set<std::pair<Time, IdempotencyKey>> by_eviction_time_;
  // The keys with a result.
  std::set<std::pair<Time, IdempotencyKey>> results_by_eviction_time_;
  std::size_t result_bytes_ = 0;
  Id last_remote_id_ = kFirstRemoteId;
  Counters counters_;
};

}  // namespace hingelink::node

#endif  // HINGELINK_NODE_KEYS_KEY_TABLE_H_
