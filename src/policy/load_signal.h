// The back-pressure value that callers receive with answers; see LoadSignalKind.
//
// An integral controller on the fraction of arrivals that had to be rejected: callers are asked to stay away
// more while it is above a tolerated level, and less while the cores are not busy.
#ifndef HINGELINK_POLICY_LOAD_SIGNAL_H_
#define HINGELINK_POLICY_LOAD_SIGNAL_H_

#include <optional>

#include "hingelink/server_policy.h"

namespace hingelink::policy {

// Not thread-safe. `settings` must outlive the object.
class LoadSignal {
 public:
  explicit LoadSignal(const Settings& settings) : settings_(settings) {}

  // Updates the value if it is time to. Returns what is to be published, or nothing. `rejected_fraction`: of
  // recent arrivals. `is_stalled`: the executions make no progress.
  std::optional<double> OnSample(double now, double cpu_busy, double rejected_fraction, bool is_stalled);

 private:
  // The value in the form of Settings::load_signal.
  double PublishedValue() const;

  const Settings& settings_;
  double pressure_ = 0;  // 0: callers may send everything, 1: nothing.
  double next_update_at_ = 0;
};

}  // namespace hingelink::policy

#endif  // HINGELINK_POLICY_LOAD_SIGNAL_H_
