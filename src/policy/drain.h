// The end of the process: from the drain notice on.
#ifndef HINGELINK_POLICY_DRAIN_H_
#define HINGELINK_POLICY_DRAIN_H_

#include "hingelink/server_policy.h"
#include "policy/moving_fraction.h"

namespace hingelink::policy {

// Not thread-safe. `settings` must outlive the object.
class Drain {
 public:
  explicit Drain(const Settings& settings) : settings_(settings) {}

  // The notice arrived at `now`; the process is killed `remaining_ms` later. Returns false if it is draining
  // already: the first notice counts.
  [[nodiscard]] bool Begin(double now, double remaining_ms);

  bool is_draining() const { return is_draining_; }
  // When everything must be answered, a few batches before the kill; kForever without a notice.
  double answer_by() const { return answer_by_; }
  // Whether a request that reached the machine at `arrived_at` did so too late, so that it must not be
  // executed.
  bool IsPastGrace(double arrived_at) const;

 private:
  const Settings& settings_;
  bool is_draining_ = false;
  double began_at_ = 0;
  double answer_by_ = kForever;
};

}  // namespace hingelink::policy

#endif  // HINGELINK_POLICY_DRAIN_H_
