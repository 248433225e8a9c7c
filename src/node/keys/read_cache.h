// Results of idempotent reads that answer later reads on the same subject while they are fresh. The policy
// decides which read is retained and for how long.
#ifndef HINGELINK_NODE_KEYS_READ_CACHE_H_
#define HINGELINK_NODE_KEYS_READ_CACHE_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "hingelink/server_policy.h"

namespace hingelink::node {

// Not thread-safe. `now` is the time of the caller's steady clock.
class ReadCache {
 public:
  using SteadyTime = std::chrono::steady_clock::time_point;
  using Millis = std::chrono::duration<double, std::milli>;
  // Class id and subject.
  using Key = std::pair<std::uint64_t, std::uint64_t>;

  // The retained read that a new one on `key` may share, or 0. It is open as `is_open` says, or succeeded
  // less than `max_age` ago.
  [[nodiscard]] hingelink::RequestId FindShareable(
      const Key& key, SteadyTime now, Millis max_age,
      const std::function<bool(hingelink::RequestId)>& is_open) const;
  // Retains the read for `ttl` from now on, in place of another one of its key.
  void Retain(const Key& key, hingelink::RequestId id, SteadyTime now, Millis ttl);
  void Release(hingelink::RequestId id);
  // Stores the result of the read, if it is retained.
  void OnSucceeded(const Key& key, hingelink::RequestId id, SteadyTime now, std::string_view result);
  // The result of the read `original`; null if it has none, has expired, or was replaced.
  [[nodiscard]] const std::string* Result(const Key& key, hingelink::RequestId original) const;

 private:
  struct Entry {
    hingelink::RequestId id = 0;
    SteadyTime expires_at{};
    std::optional<SteadyTime> succeeded_at;
    std::string result;
  };
  std::map<Key, Entry> entries_;
};

}  // namespace hingelink::node

#endif  // HINGELINK_NODE_KEYS_READ_CACHE_H_
