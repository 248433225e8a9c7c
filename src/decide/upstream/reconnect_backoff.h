// Exponential backoff with full jitter for reconnecting to an upstream that many nodes share. It prevents all
// nodes from reconnecting at the same time when the upstream recovers.
#ifndef HINGELINK_DECIDE_UPSTREAM_RECONNECT_BACKOFF_H_
#define HINGELINK_DECIDE_UPSTREAM_RECONNECT_BACKOFF_H_

#include <functional>
#include <utility>

#include "decide/milliseconds.h"

namespace hingelink::decide {

// Not thread-safe.
class ReconnectBackoff {
 public:
  // A few network round trips.
  static constexpr Milliseconds kMinDelay{20};
  // With this maximum, 300 nodes make 600 attempts per second in total: the mean delay is half of the
  // maximum.
  static constexpr Milliseconds kMaxDelay{1000};

  // `random_fraction` returns uniformly distributed random numbers in [0, 1).
  explicit ReconnectBackoff(std::function<double()> random_fraction)
      : random_fraction_(std::move(random_fraction)) {}

  // To be called when a connection or an attempt to connect has failed. Returns the delay until the next
  // attempt: after the n-th consecutive failure, uniform between kMinDelay and min(kMinDelay * 2^n,
  // kMaxDelay).
  [[nodiscard]] Milliseconds OnFailure();
  // To be called when a reply was received. An accepted connection alone is no success, because the upstream
  // may accept connections and then fail.
  void OnSuccess() { failures_ = 0; }
  // Whether the upstream has replied since it last failed.
  [[nodiscard]] bool healthy() const { return failures_ == 0; }

 private:
  std::function<double()> random_fraction_;
  int failures_ = 0;  // Consecutive failures.
};

}  // namespace hingelink::decide

#endif  // HINGELINK_DECIDE_UPSTREAM_RECONNECT_BACKOFF_H_
