// Limits how many executions run at once, so that the cores stay busy without being oversubscribed.
//
// A proportional controller: each gauge sample adjusts the limit so that the number of runnable threads
// approaches the number of cores plus kSpareRunnable. The limit rises only while requests are queued and the
// number of executions is at most one below the limit. The limit never exceeds the sustainable number of
// executions (see Settings::max_running_per_core).
#ifndef HINGELINK_POLICY_CONCURRENCY_LIMITER_H_
#define HINGELINK_POLICY_CONCURRENCY_LIMITER_H_

#include "hingelink/server_policy.h"
#include "policy/gauge_sample.h"

namespace hingelink::policy {

// Not thread-safe. `settings` must outlive the object.
class ConcurrencyLimiter {
 public:
  explicit ConcurrencyLimiter(const Settings& settings) : settings_(settings) {}

  // Sets the limit to Settings::cores. The warm-up of the server starts at `now`, in ms.
  void Begin(double now);
  // Updates the limit from one sample. `running`: current executions, excluding those in upstream calls.
  // `has_queued`: whether requests wait for a start.
  void OnSample(double now, const GaugeSample& sample, int running, bool has_queued);

  // Number of executions that may run at once, excluding upstream calls; at least Settings::cores.
  double limit() const { return limit_; }
  // Whether one more execution may start while `running` executions run.
  bool CanStart(int running) const;

 private:
  // Number of executions that the server can sustain at `now`; lower while the server is warming up.
  double SustainableLimit(double now) const;

  const Settings& settings_;
  double limit_ = 0;
  double began_at_ = 0;
};

}  // namespace hingelink::policy

#endif  // HINGELINK_POLICY_CONCURRENCY_LIMITER_H_
