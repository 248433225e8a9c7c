// Which try of a keyed request holds its key, what came of it, and the result that its repeats are answered
// with. The module says which key is kept and for how long; this says which try an arrival repeats.
//
// States of a key: held (its try may still run) -> runs -> served | failed. Held -> gone where its try left
// and no other took its place. A key that has run is never free again before its window is over, whatever
// the module says; its result may be let go sooner, for memory, and its repeats then fail.
//
// Bounds: `most_keys` keys, and `most_bytes` of results; a result is let go in the order in which windows
// end. A try whose key has no room is not kept, and must not run (Keep() says so).
// Times are those of the caller's steady clock; nothing here reads a clock.
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

enum class KeyFate { kHeld, kRuns, kServed, kFailed };

// A key as one process of the node tells another of it.
struct KeyNews {
  IdempotencyKey key;
  std::uint64_t content = 0;
  KeyFate fate = KeyFate::kHeld;
  std::chrono::duration<double, std::milli> left{0};  // Until its window is over.
  std::optional<std::string> result;
};

class KeyTable {
 public:
  using Id = hingelink::RequestId;
  using Time = std::chrono::steady_clock::time_point;
  using Millis = std::chrono::duration<double, std::milli>;
  struct Limits {
    std::size_t most_keys = 16'384;
    std::size_t most_bytes = 4 << 20;
  };
  struct Counts {
    std::uint64_t replayed = 0;      // Tries answered with the result of another.
    std::uint64_t no_room = 0;       // Tries whose key could not be kept.
    std::uint64_t results_gone = 0;  // Results let go before their window was over.
    std::uint64_t mismatched = 0;    // Tries with another class or body than their key's first.
  };
  // What is known of another process's keys has ids from here on; the module has seen none of them.
  static constexpr Id kElsewhere = Id{1} << 62;

  explicit KeyTable(Limits limits) : limits_(limits) {}

  void SetLimits(Limits limits) { limits_ = limits; }

  // ---- Arrivals ----
  // Whether a try of this key with this content (a hash of its class and body) is one of the same request.
  bool Fits(const IdempotencyKey& key, std::uint64_t content, Time arrived);
  // The try that one arriving now repeats, or 0 where there is none and `id` is the first. `arrived`: when it
  // came to the machine, which may lie before `now`. Each id is told once, and before any action on it.
  Id Arrive(const IdempotencyKey& key, std::uint64_t content, Id id, Time arrived, Time now);

  // ---- The module's actions, and what became of tries ----
  // False where there is no room. `late`: how long past its time a try may still be read.
  bool Keep(const IdempotencyKey& key, Id id, Millis ttl, Millis late, Time now);
  // Its request may be over by then. The key, where one was let go.
  std::optional<IdempotencyKey> Drop(Id id);
  // Whether `id` may run: it holds the key, kept, and no try has run.
  bool Start(const IdempotencyKey& key, Id id);
  void End(const IdempotencyKey& key, Id id, bool good, std::string_view result);
  // The try is no longer in hand.
  void Leave(const IdempotencyKey& key, Id id);

  bool MayHaveRun(const IdempotencyKey& key) const;
  // What a repeat is answered with.
  enum class Replay { kWait, kResult, kFailed };
  Replay Look(const IdempotencyKey& key, const std::string** result) const;
  void CountReplay() { ++counts_.replayed; }

  // ---- Other processes of this node ----
  // All that is known of the keys of this process.
  void Tell(Time now, const std::function<void(const KeyNews&)>& each) const;
  KeyNews Of(const IdempotencyKey& key, Time now) const;
  // Takes in what another process tells. True where tries that wait for the key can now be answered.
  bool Hear(const KeyNews& news, Millis late, Time now);
  // The others have ended: what they still had in hand may have run, and fails. The keys whose tries can now
  // be answered, in order.
  std::vector<IdempotencyKey> OthersEnded();
  // Whether another process has this key, or had it.
  bool IsKnown(const IdempotencyKey& key) const { return records_.count(key) != 0; }
  // The tries of a key that are in hand, but for its holder.
  std::vector<Id> Repeats(const IdempotencyKey& key) const;

  void Expire(Time now);

  std::size_t keys() const { return records_.size(); }
  std::size_t result_bytes() const { return bytes_; }
  const Counts& counts() const { return counts_; }

 private:
  struct Record {
    Id holder = 0;  // 0 where the key waits for its next try to be kept.
    std::uint64_t content = 0;
    KeyFate fate = KeyFate::kHeld;
    bool kept = false;
    Time until{};   // End of the entry: what comes to the machine later is no repeat.
    Time forget{};  // When nothing can name it any more.
    std::optional<std::string> result;
    std::vector<Id> tries;  // In hand.
  };
  struct Hash {
    std::size_t operator()(const IdempotencyKey& key) const { return absl::HashOf(key.high, key.low); }
  };
  using Records = absl::flat_hash_map<IdempotencyKey, Record, Hash>;

  bool Over(const Record& record, Time arrived) const;
  void SetForget(const IdempotencyKey& key, Record& record, Time forget);
  void SetResult(const IdempotencyKey& key, Record& record, std::string_view result);
  void DropResult(Record& record);
  void Erase(Records::iterator it);

  Limits limits_;
  Records records_;
  absl::flat_hash_map<Id, IdempotencyKey> held_;  // By their holders: keys kept of which no try has started.
  std::set<std::pair<Time, IdempotencyKey>> by_end_;
  std::set<std::pair<Time, IdempotencyKey>> results_;  // Of those with a result, by the end of their windows.
  std::size_t bytes_ = 0;
  Id last_elsewhere_ = kElsewhere;
  Counts counts_;
};

}  // namespace hingelink::node

#endif  // HINGELINK_NODE_KEYS_KEY_TABLE_H_
