// The state of a drain: whether a drain notice has arrived, until when requests may be executed, and when
// they must be answered.
#ifndef HINGELINK_POLICY_DRAIN_H_
#define HINGELINK_POLICY_DRAIN_H_

#include "hingelink/server_policy.h"
#include "policy/moving_fraction.h"

namespace hingelink::policy {

// Not thread-safe. `settings` must outlive the object. Times in ms.
class Drain {
 public:
  explicit Drain(const Settings& settings) : settings_(settings) {}

  // Starts the drain when the notice arrives at `now`; the process is killed `remaining_ms` later. Returns
  // false and ignores the notice if the drain has already started.
  [[nodiscard]] bool Begin(double now, double remaining_ms);

  bool is_draining() const { return is_draining_; }
  // The time by which all requests must be answered, a few batches before the process is killed. kForever if
  // no notice has arrived.
  double answer_by() const { return answer_by_; }
  // Whether a request that reached the machine at `arrived_at` must not be executed, because it arrived after
  // the grace period that follows the drain notice.
  bool IsPastGrace(double arrived_at) const;

 private:
  const Settings& settings_;
  bool is_draining_ = false;
  double began_at_ = 0;
  double answer_by_ = kForever;
};

}  // namespace hingelink::policy

#endif  // HINGELINK_POLICY_DRAIN_H_
