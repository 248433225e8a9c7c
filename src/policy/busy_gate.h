// Decides once a second whether the server is busy. Dispatch rejects requests that cannot meet their latency
// objective only while the server is busy. Based on Carter and Cherkasova, HPL-98-164R1, where a server with
// six cores is busy above 95% utilization.
#ifndef HINGELINK_POLICY_BUSY_GATE_H_
#define HINGELINK_POLICY_BUSY_GATE_H_

#include "hingelink/server_policy.h"

namespace hingelink::policy {

// Not thread-safe. `settings` must outlive the object.
class BusyGate {
 public:
  explicit BusyGate(const Settings& settings) : settings_(settings) {}

  // Starts the first measurement interval, of one second, at `now` in ms.
  void Begin(double now);
  // Adds a sample of the busy fraction of the cores. At the end of the interval, decides by the mean of its
  // samples and starts the next interval.
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
