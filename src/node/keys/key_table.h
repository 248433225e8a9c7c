// Idempotency keys: which attempt of a keyed request holds its key, what became of it, and the result that
// retries are answered with. The policy decides which key is retained and for how long.
//
// A key is reserved (its attempt may still run) -> running -> served or failed. A reserved key is forgotten
// when its attempt is gone and no other takes its place. A key that has run is never free again before its
// window ends, whatever the policy says; its result may be dropped sooner to limit memory, and its retries
// then fail.
//
// Bounds: Limits::max_keys keys (twice that with those of other processes), and Limits::max_result_bytes of
// results, dropped in the order in which their windows end. An attempt whose key has no room is not retained
// and must not run.
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

// The values are those of the handover lines.
enum class KeyState { kReserved = 0, kRunning = 1, kServed = 2, kFailed = 3 };

// The state of a key as one process of the node reports it to another.
struct KeyUpdate {
  IdempotencyKey key;
  // A hash of the request's class and body.
  std::uint64_t content_hash = 0;
  KeyState state = KeyState::kReserved;
  // Until the end of its window; 0: the key is free.
  std::chrono::duration<double, std::milli> remaining{0};
  std::optional<std::string> result;
};

// Not thread-safe. Reads no clock: times are those of the caller's steady clock.
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
    // Attempts answered with the result of another.
    std::uint64_t replays = 0;
    // Attempts whose key could not be retained.
    std::uint64_t rejected_at_capacity = 0;
    // Results dropped before the end of their windows.
    std::uint64_t results_dropped = 0;
    // Attempts with another class or body than the first one of their key.
    std::uint64_t mismatches = 0;
  };
  // Ids from here on stand for attempts of other processes, which the policy never sees.
  static constexpr Id kFirstRemoteId = Id{1} << 62;

  explicit KeyTable(Limits limits) : limits_(limits) {}

  void SetLimits(Limits limits) { limits_ = limits; }

  // ---- Arrivals ----
  // Whether an attempt of this key and content belongs to the same request as those before it.
  [[nodiscard]] bool MatchesContent(const IdempotencyKey& key, std::uint64_t content_hash, Time arrived);
  // Adds an attempt and returns the one that it repeats; 0 if it is the first. `arrived`: when it came to the
  // machine, at most `now`. To be called once for each id, before any other call with it.
  Id AddAttempt(const IdempotencyKey& key, std::uint64_t content_hash, Id id, Time arrived, Time now);

  // ---- Actions of the policy, and what became of attempts ----
  // Retains the key for its holder `id` until `ttl` from now. `max_delay`: how long after the end of its wait
  // an attempt may still be read. False if there is no room or the key belongs to another attempt.
  [[nodiscard]] bool Retain(const IdempotencyKey& key, Id id, Millis ttl, Millis max_delay, Time now);
  // Releases the key of `id`, whose request may be over, if it has not run. Returns that key.
  std::optional<IdempotencyKey> Release(Id id);
  // Marks the key as running. False if `id` must not run: it does not hold the key, or an attempt has run.
  [[nodiscard]] bool Start(const IdempotencyKey& key, Id id);
  // The execution of `id` has finished.
  void Finish(const IdempotencyKey& key, Id id, bool succeeded, std::string_view result);
  // The attempt is no longer in flight.
  void RemoveAttempt(const IdempotencyKey& key, Id id);

  [[nodiscard]] bool MayHaveRun(const IdempotencyKey& key) const;
  struct Replay {
    enum class Status { kPending, kResult, kFailed };
    Status status = Status::kFailed;
    // With kResult alone; valid until the next call that changes the table.
    const std::string* result = nullptr;
  };
  // What a retry is answered with.
  [[nodiscard]] Replay FindReplay(const IdempotencyKey& key) const;
  void CountReplay() { ++counters_.replays; }

  // ---- Other processes of this node ----
  // Calls `visit` with the state of each retained key.
  void ForEachRetained(Time now, const std::function<void(const KeyUpdate&)>& visit) const;
  [[nodiscard]] KeyUpdate UpdateOf(const IdempotencyKey& key, Time now) const;
  // Applies the report of another process. True if attempts that wait for the key can now be answered. What
  // this process runs or ran itself is not changed.
  bool ApplyUpdate(const KeyUpdate& update, Millis max_delay, Time now);
  // The other processes have exited: what they had in flight may have run, and fails. Returns the keys whose
  // attempts can now be answered, in order.
  std::vector<IdempotencyKey> OnSiblingsExited();
  // Whether another process has this key, or had it.
  [[nodiscard]] bool IsKnown(const IdempotencyKey& key) const { return records_.contains(key); }
  // The attempts of a key in flight, without its holder.
  [[nodiscard]] std::vector<Id> WaitingAttempts(const IdempotencyKey& key) const;

  // Evicts keys whose windows have ended.
  void Expire(Time now);

  [[nodiscard]] std::size_t keys() const { return records_.size(); }
  [[nodiscard]] std::size_t result_bytes() const { return result_bytes_; }
  [[nodiscard]] const Counters& counters() const { return counters_; }

 private:
  struct Record {
    // 0 while the key waits for its next attempt to be retained.
    Id holder = 0;
    std::uint64_t content_hash = 0;
    KeyState state = KeyState::kReserved;
    bool retained = false;
    // An attempt that arrives later is not a retry.
    Time window_end{};
    // No attempt with this key can be read later.
    Time evict_at{};
    std::optional<std::string> result;
    // In flight.
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
  // The other process has released the key. True if attempts wait for it here.
  bool ReleaseRemote(Records::iterator at);

  Limits limits_;
  Records records_;
  // Retained keys of which no attempt has started, by holder.
  absl::flat_hash_map<Id, IdempotencyKey> reserved_;
  std::set<std::pair<Time, IdempotencyKey>> by_eviction_time_;
  // Those with a result.
  std::set<std::pair<Time, IdempotencyKey>> results_by_eviction_time_;
  std::size_t result_bytes_ = 0;
  Id last_remote_id_ = kFirstRemoteId;
  Counters counters_;
};

}  // namespace hingelink::node

#endif  // HINGELINK_NODE_KEYS_KEY_TABLE_H_
