// Whether the executions make no progress while requests are still read: a hung disk, or a worker pool that
// stopped.
//
// A stall is reported if all cores are taken and no execution finished or reached an upstream call for much
// longer than executions take. While it lasts every queued or arriving request is rejected, so that other
// servers can serve it.
#ifndef HINGELINK_POLICY_STALL_DETECTOR_H_
#define HINGELINK_POLICY_STALL_DETECTOR_H_

#include <cstdint>

#include "hingelink/server_policy.h"

namespace hingelink::policy {

// Not thread-safe. `settings` must outlive the object.
class StallDetector {
 public:
  enum class Change { kNone, kStalled, kRecovered };

  explicit StallDetector(const Settings& settings) : settings_(settings) {}

  // An execution reached an upstream call. `now` in ms, here and below.
  void OnProgress(double now) { last_progress_at_ = now; }
  void OnFinished(double now);
  // To be called once per step. `running`: executions on the cores. `longest_mean_run_ms`: of all classes.
  Change Update(double now, int running, double longest_mean_run_ms);

  bool is_stalled() const { return is_stalled_; }

 private:
  const Settings& settings_;
  double last_progress_at_ = 0;  // Or when a core was last free.
  std::uint64_t finished_ = 0;   // Executions.
  bool is_stalled_ = false;
};

}  // namespace hingelink::policy

#endif  // HINGELINK_POLICY_STALL_DETECTOR_H_
