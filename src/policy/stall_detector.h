// Detects a stall: executions make no progress although requests are still read, for example because of a
// hung disk or a stopped worker pool.
//
// A stall is reported if all cores are occupied and no execution has finished or reached an upstream call for
// much longer than executions usually take. During a stall every queued or arriving request is rejected, so
// that other servers can serve it.
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

  // To be called when an execution reaches an upstream call. `now` is in ms, here and below.
  void OnProgress(double now) { last_progress_at_ = now; }
  // To be called when an execution ends.
  void OnFinished(double now);
  // To be called once per step. `running`: current executions, excluding those in upstream calls.
  // `longest_mean_run_ms`: the longest mean duration of an execution over all classes. Returns whether a
  // stall has begun or ended.
  Change Update(double now, int running, double longest_mean_run_ms);

  bool is_stalled() const { return is_stalled_; }

 private:
  const Settings& settings_;
  double last_progress_at_ = 0;  // Time of the last progress, or when a core was last free.
  std::uint64_t finished_ = 0;   // Number of finished executions.
  bool is_stalled_ = false;
};

}  // namespace hingelink::policy

#endif  // HINGELINK_POLICY_STALL_DETECTOR_H_
