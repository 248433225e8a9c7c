// Cache of results of idempotent reads. A fresh result answers later reads of the same class and subject. The
// policy decides which reads are retained and for how long.
#ifndef HINGELINK_NODE_KEYS_READ_CACHE_H_
#define HINGELINK_NODE_KEYS_READ_CACHE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>

#include "hingelink/server_policy.h"

namespace hingelink::node {

// Not thread-safe. Does not read a clock; the caller passes steady-clock times as `now`. Bounds: the reads
// that the policy retains, and `max_result_bytes` of results. The result that expires first is dropped first.
class ReadCache {
 public:
  using SteadyTime = std::chrono::steady_clock::time_point;
  using Millis = std::chrono::duration<double, std::milli>;
  // Class id and subject.
  using Key = std::pair<std::uint64_t, std::uint64_t>;

  explicit ReadCache(std::size_t max_result_bytes) : max_result_bytes_(max_result_bytes) {}

  // The retained read whose result a new read of `key` may share, or 0. Such a read is still open according
  // to `is_open`, or it succeeded at most `max_age` ago.
  [[nodiscard]] hingelink::RequestId FindShareable(
      const Key& key, SteadyTime now, Millis max_age,
      const std::function<bool(hingelink::RequestId)>& is_open) const;
  // Retains the read until `ttl` from `now`. Replaces another read of the same key.
  void Retain(const Key& key, hingelink::RequestId id, SteadyTime now, Millis ttl);
  // Removes the read and its result.
  void Release(hingelink::RequestId id);
  // Stores the result of the read if the read is retained.
  void OnSucceeded(const Key& key, hingelink::RequestId id, SteadyTime now, std::string_view result);
  // The result of the read `original`. Null if the read has no result yet, or was released, replaced or
  // removed after its expiry, or if the result was dropped.
  [[nodiscard]] const std::string* Result(const Key& key, hingelink::RequestId original) const;

 private:
  struct Entry {
    hingelink::RequestId id = 0;
    SteadyTime expires_at{};
    std::optional<SteadyTime> succeeded_at;
    std::string result;
  };
  using Entries = std::map<Key, Entry>;

  void SetExpiry(Entries::iterator at, SteadyTime expires_at);
  void DropResult(Entry& entry);
  void Erase(Entries::iterator at);

  std::size_t max_result_bytes_;
  std::size_t result_bytes_ = 0;
  Entries entries_;
  std::unordered_map<hingelink::RequestId, Key> keys_by_id_;
  std::set<std::pair<SteadyTime, Key>> keys_by_expiry_;
  // The part of keys_by_expiry_ that has results.
  std::set<std::pair<SteadyTime, Key>> results_by_expiry_;
};

}  // namespace hingelink::node

#endif  // HINGELINK_NODE_KEYS_READ_CACHE_H_
