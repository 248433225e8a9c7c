// Computes the delay before a crashed node is restarted.
#ifndef HINGELINK_DECIDE_SUPERVISION_CRASH_BACKOFF_H_
#define HINGELINK_DECIDE_SUPERVISION_CRASH_BACKOFF_H_

#include <cstdint>

#include "decide/supervision/supervisor_events.h"

namespace hingelink::decide {

struct CrashBackoffOptions {
  SupervisorTime initial_backoff{200};  // After the first crash; doubles with each consecutive crash.
  SupervisorTime max_backoff{30'000};
  // Maximum random change of a backoff in either direction, as a fraction of the backoff.
  double jitter_fraction = 0.2;
  // Number of consecutive crashes from which on the node counts as being in a crash loop.
  std::uint32_t crash_loop_threshold = 5;
  // Minimum backoff, before jitter, while the node is in a crash loop.
  SupervisorTime crash_loop_backoff{300'000};
};

// Exponential backoff with jitter. Not thread-safe.
class CrashBackoff {
 public:
  // `seed` determines the jitter.
  CrashBackoff(const CrashBackoffOptions& options, std::uint64_t seed)
      : options_(options), random_state_(seed) {}

  [[nodiscard]] bool IsCrashLoop(std::uint32_t consecutive_crashes) const {
    return consecutive_crashes >= options_.crash_loop_threshold;
  }
  // Returns the delay of the next restart. `consecutive_crashes` is at least 1 and includes the latest crash.
  // Each call draws one random number.
  [[nodiscard]] SupervisorTime NextDelay(std::uint32_t consecutive_crashes);

 private:
  double DrawFraction();

  CrashBackoffOptions options_;
  std::uint64_t random_state_;
};

}  // namespace hingelink::decide

#endif  // HINGELINK_DECIDE_SUPERVISION_CRASH_BACKOFF_H_
