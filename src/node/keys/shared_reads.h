// Reads whose answer serves others on the same subject while it is fresh.
#ifndef HINGELINK_NODE_KEYS_SHARED_READS_H_
#define HINGELINK_NODE_KEYS_SHARED_READS_H_

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

class SharedReads {
 public:
  using SteadyTime = std::chrono::steady_clock::time_point;
  using Millis = std::chrono::duration<double, std::milli>;
  using Key = std::pair<std::uint64_t, std::uint64_t>;  // Class id and subject.

  // The kept read that a new one on `key` repeats, or 0. `open` says whether a request is still in hand.
  hingelink::RequestId Fresh(const Key& key, SteadyTime now, Millis fresh,
                             const std::function<bool(hingelink::RequestId)>& open) const;
  void Keep(const Key& key, hingelink::RequestId id, SteadyTime now, Millis ttl);
  void Drop(hingelink::RequestId id);
  void EndedWell(const Key& key, hingelink::RequestId id, SteadyTime now, std::string_view result);
  // The result of the read `forerunner`, or null where it is gone or was replaced since.
  const std::string* Result(const Key& key, hingelink::RequestId original) const;

 private:
  struct Kept {
    hingelink::RequestId id = 0;
    SteadyTime until{};
    std::optional<SteadyTime> ended_well;
    std::string result;
  };
  std::map<Key, Kept> kept_;
};

}  // namespace hingelink::node

#endif  // HINGELINK_NODE_KEYS_SHARED_READS_H_
