// Exponential backoff with full jitter for reconnecting to an upstream that many nodes share, so that an
// upstream that recovers is not met by all nodes at once.
#ifndef HINGELINK_DECIDE_UPSTREAM_RECONNECT_BACKOFF_H_
#define HINGELINK_DECIDE_UPSTREAM_RECONNECT_BACKOFF_H_

#include <chrono>
#include <functional>
#include <utility>

namespace hingelink::decide {

// Not thread-safe.
class ReconnectBackoff {
 public:
  using Span = std::chrono::duration<double, std::milli>;
  // A few round trips.
  static constexpr Span kMinDelay{20};
  // 300 nodes that all wait this long make 600 attempts per second together.
  static constexpr Span kMaxDelay{1000};

  // `draw` returns random numbers in [0, 1).
  explicit ReconnectBackoff(std::function<double()> draw) : draw_(std::move(draw)) {}

  // A connection or an attempt to connect has failed. Returns the delay until the next attempt: after the
  // n-th consecutive failure uniform between kMinDelay and min(kMinDelay * 2^n, kMaxDelay).
  [[nodiscard]] Span OnFailure();
  // A reply was received. A connection that was merely accepted does not count: the upstream may accept
  // connections and then fail.
  void OnSuccess() { failures_ = 0; }
  // Whether the upstream has replied since it last failed.
  [[nodiscard]] bool healthy() const { return failures_ == 0; }

 private:
  std::function<double()> draw_;
  int failures_ = 0;  // Consecutive.
};

}  // namespace hingelink::decide

#endif  // HINGELINK_DECIDE_UPSTREAM_RECONNECT_BACKOFF_H_
