// When a client of a store that many nodes share tries to connect again. No clock: times are given.
//
// Promise: behind the n-th failure in a row the next try lies between kMinDelay and min(kMinDelay * 2^n,
// kMaxDelay) away, evenly spread (full jitter), so that a store that comes back is not met by all nodes at
// once. A try that succeeds forgets the failures only once a reply has come: a store that accepts and dies
// counts as failing.
#ifndef HINGELINK_DECIDE_UPSTREAM_RECONNECT_BACKOFF_H_
#define HINGELINK_DECIDE_UPSTREAM_RECONNECT_BACKOFF_H_

#include <algorithm>
#include <chrono>
#include <functional>
#include <utility>

namespace hingelink::decide {

class ReconnectBackoff {
 public:
  using Span = std::chrono::duration<double, std::milli>;
  // ms. The least is a few round trips; at the most, 300 nodes together make 600 tries a second.
  static constexpr Span kMinDelay{20}, kMaxDelay{1000};

  // `draw` gives numbers from 0 to under 1.
  explicit ReconnectBackoff(std::function<double()> draw) : draw_(std::move(draw)) {}

  // How long to wait before the next try.
  Span OnFailure() {
    const Span most = std::min(kMaxDelay, kMinDelay * (2 << std::min(failures_, 8)));
    ++failures_;
    return kMinDelay + (most - kMinDelay) * draw_();
  }
  void OnSuccess() { failures_ = 0; }
  bool healthy() const { return failures_ == 0; }

 private:
  std::function<double()> draw_;
  int failures_ = 0;
};

}  // namespace hingelink::decide

#endif  // HINGELINK_DECIDE_UPSTREAM_RECONNECT_BACKOFF_H_
