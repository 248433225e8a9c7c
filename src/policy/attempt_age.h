// Estimates from a caller's remaining wait how long ago the first attempt of a request was made.
#ifndef HINGELINK_POLICY_ATTEMPT_AGE_H_
#define HINGELINK_POLICY_ATTEMPT_AGE_H_

#include <array>
#include <cstddef>

namespace hingelink::policy {

// Callers do not send the time of their first attempt. They may send their remaining wait: how much longer
// they wait for the answer. If many arrivals have the same remaining wait, it is assumed to be a constant
// that callers send with every attempt, which says nothing about the age. Any other remaining wait is assumed
// to be the class's deadline minus the time that earlier attempts took. Without the estimate, a burst of
// retries would occupy the cores with requests whose latency objective passed during earlier attempts. Not
// thread-safe.
class AttemptAgeEstimator {
 public:
  AttemptAgeEstimator();
  // Counts an arrival and returns the age of its request as a fraction of the class's deadline, 0 for a first
  // attempt. `wait_fraction`: the remaining wait at the arrival, as a fraction of the class's deadline.
  double EstimateAge(double wait_fraction);

 private:
  static constexpr std::size_t kBuckets = 16;
  std::array<double, kBuckets> arrival_fraction_{};  // Fraction of recent arrivals, by remaining wait.
};

}  // namespace hingelink::policy

#endif  // HINGELINK_POLICY_ATTEMPT_AGE_H_
