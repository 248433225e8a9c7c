// How old an attempt is, estimated from its caller's remaining wait.
#ifndef HINGELINK_POLICY_ATTEMPT_AGE_H_
#define HINGELINK_POLICY_ATTEMPT_AGE_H_

#include <array>
#include <cstddef>

namespace hingelink::policy {

// Callers do not say when their first attempt began. A remaining wait that many arrivals have is one that
// callers give to any attempt, and tells nothing. Any other is taken to be what earlier attempts left of the
// class's deadline. Without it, in a burst of retries the cores would go to requests whose objective passed
// during earlier attempts. Not thread-safe.
class AttemptAgeEstimator {
 public:
  AttemptAgeEstimator();
  // `wait_fraction`: the remaining wait when the request arrived, as a fraction of its class's deadline.
  // Returns the age as a fraction of the deadline, 0 for a first attempt. Counts the arrival.
  double EstimateAge(double wait_fraction);

 private:
  static constexpr std::size_t kBuckets = 16;
  std::array<double, kBuckets> arrival_fraction_{};  // Of recent arrivals, by remaining wait.
};

}  // namespace hingelink::policy

#endif  // HINGELINK_POLICY_ATTEMPT_AGE_H_
