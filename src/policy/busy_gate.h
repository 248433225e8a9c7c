// Whether the server counts as busy: only then is a request that is about to start checked for a caller that
// can no longer be served in time. After Carter and Cherkasova, HPL-98-164R1: measured once a second, on
// above 95% of six cores.
#ifndef HINGELINK_POLICY_BUSY_GATE_H_
#define HINGELINK_POLICY_BUSY_GATE_H_

#include "hingelink/server_policy.h"

namespace hingelink::policy {

// Not thread-safe. `settings` must outlive the object.
class BusyGate {
 public:
  explicit BusyGate(const Settings& settings) : settings_(settings) {}

  // The first measurement ends one second after `now`, in ms.
  void Begin(double now);
  // Adds a sample of the fraction of the cores that was busy; ends the measurement when its second is over.
  void OnSample(double now, double cpu_busy);

  bool is_busy() const { return is_busy_; }

 private:
  const Settings& settings_;
  bool is_busy_ = false;
  double next_decision_at_ = 0;
  double cpu_busy_sum_ = 0;
  double sample_count_ = 0;
};

}  // namespace hingelink::policy

#endif  // HINGELINK_POLICY_BUSY_GATE_H_
