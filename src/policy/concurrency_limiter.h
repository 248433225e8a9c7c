// Limits how many executions run at once, so that the cores stay busy without being oversubscribed.
//
// A proportional controller: each gauge sample moves the limit towards kSpareRunnable runnable threads beyond
// the cores. The limit rises only while requests wait and the limit binds, and never exceeds what the server
// survives.
#ifndef HINGELINK_POLICY_CONCURRENCY_LIMITER_H_
#define HINGELINK_POLICY_CONCURRENCY_LIMITER_H_

#include "hingelink/server_policy.h"
#include "policy/gauge_sample.h"

namespace hingelink::policy {

// Not thread-safe. `settings` must outlive the object.
class ConcurrencyLimiter {
 public:
  explicit ConcurrencyLimiter(const Settings& settings) : settings_(settings) {}

  // Starts with a limit of Settings::cores; the warm-up of the server is counted from `now`, in ms.
  void Begin(double now);
  // Updates the limit from one sample. `running`: executions on the cores now, upstream calls excluded.
  // `has_queued`: whether requests wait for a start.
  void OnSample(double now, const GaugeSample& sample, int running, bool has_queued);

  // Executions that may be on the cores, at least Settings::cores.
  double limit() const { return limit_; }
  // Whether one more execution may start beside `running`.
  bool CanStart(int running) const;

 private:
  // Executions that the server survives at `now`: fewer while it is warming up.
  double SurvivableLimit(double now) const;

  const Settings& settings_;
  double limit_ = 0;
  double began_at_ = 0;
};

}  // namespace hingelink::policy

#endif  // HINGELINK_POLICY_CONCURRENCY_LIMITER_H_
