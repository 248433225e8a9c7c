#include "decide/supervision/crash_backoff.h"

#include <algorithm>

namespace hingelink::decide {

SupervisorTime CrashBackoff::NextDelay(std::uint32_t consecutive_crashes) {
  SupervisorTime delay = options_.initial_backoff;
  for (std::uint32_t crash = 1; crash < consecutive_crashes && delay < options_.max_backoff; ++crash)
    delay *= 2;
  delay = std::min(delay, options_.max_backoff);
  if (IsCrashLoop(consecutive_crashes)) delay = std::max(delay, options_.crash_loop_backoff);
  // Nodes that crashed for the same reason must not all restart at the same moment.
  delay *= 1 + options_.jitter_fraction * (2 * DrawFraction() - 1);
  return delay;
}

// SplitMix64: uniform in [0, 1).
double CrashBackoff::DrawFraction() {
  random_state_ += 0x9e3779b97f4a7c15u;
  std::uint64_t value = random_state_;
  value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9u;
  value = (value ^ (value >> 27)) * 0x94d049bb133111ebu;
  value ^= value >> 31;
  return static_cast<double>(value >> 11) * 0x1.0p-53;
}

}  // namespace hingelink::decide
