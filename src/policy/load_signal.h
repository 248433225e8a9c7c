// Computes the load signal, a back-pressure value that callers receive with answers; see LoadSignalKind.
//
// An integral controller on the fraction of rejected arrivals: the pressure on callers rises while the
// fraction is above a tolerated level, and falls while the cores are not busy.
#ifndef HINGELINK_POLICY_LOAD_SIGNAL_H_
#define HINGELINK_POLICY_LOAD_SIGNAL_H_

#include <optional>

#include "hingelink/server_policy.h"

namespace hingelink::policy {

// Not thread-safe. `settings` must outlive the object.
class LoadSignal {
 public:
  explicit LoadSignal(const Settings& settings) : settings_(settings) {}

  // Updates the value if an update is due at `now`, in ms. Returns the value to publish, or nullopt if no
  // update is due. `rejected_fraction`: the rejected fraction of recent arrivals. `is_stalled`: see
  // StallDetector.
  std::optional<double> OnSample(double now, double cpu_busy, double rejected_fraction, bool is_stalled);

 private:
  // Converts the pressure to a value of the kind Settings::load_signal.
  double PublishedValue() const;

  const Settings& settings_;
  double pressure_ = 0;  // 0: callers may send all requests; 1: callers must send none.
  double next_update_at_ = 0;
};

}  // namespace hingelink::policy

#endif  // HINGELINK_POLICY_LOAD_SIGNAL_H_
