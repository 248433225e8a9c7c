#include "policy/load_signal.h"

#include <algorithm>

#include "policy/gauge_sample.h"

namespace hingelink::policy {
namespace {

// Time between two updates, as a fraction of the time for which callers apply a value. With shorter intervals
// the signal oscillates, because the effect of an update is not yet visible at the next one.
constexpr double kUpdateIntervalFraction = 0.25;
// The tolerated fraction of rejected arrivals, and the rise of the pressure per second for each unit above
// it.
constexpr double kToleratedRejections = 0.02;
constexpr double kRisePerSecond = 0.4;
// The busy fraction of the cores below which the pressure falls, and its fall per second for each unit below
// it.
constexpr double kBusyTarget = 0.9;
constexpr double kFallPerSecond = 0.5;
constexpr double kMaxPressure = 0.9;
constexpr double kMsPerSecond = 1000;

}  // namespace

std::optional<double> LoadSignal::OnSample(double now, double cpu_busy, double rejected_fraction,
                                           bool is_stalled) {
  if (now < next_update_at_ || settings_.load_signal == LoadSignalKind::kNone) return std::nullopt;
  const double interval_ms =
      std::max(kSampleIntervalMs, kUpdateIntervalFraction * settings_.load_signal_lifetime_ms);
  next_update_at_ = now + interval_ms;
  // Only a few callers check the server's health, but each rejection carries the load signal.
  if (is_stalled) pressure_ = kMaxPressure;
  const double change_per_second =
      cpu_busy < kBusyTarget ? kFallPerSecond * (cpu_busy - kBusyTarget)
                             : kRisePerSecond * std::max(0.0, rejected_fraction - kToleratedRejections);
  pressure_ = std::clamp(pressure_ + interval_ms / kMsPerSecond * change_per_second, 0.0, kMaxPressure);
  return PublishedValue();
}

double LoadSignal::PublishedValue() const {
  if (settings_.load_signal == LoadSignalKind::kThreshold) return pressure_;
  if (settings_.load_signal == LoadSignalKind::kAcceptProbability) return 1 - pressure_;
  return (1 - pressure_) * 2 * settings_.max_running_per_core * settings_.cores / settings_.callers;
}

}  // namespace hingelink::policy
