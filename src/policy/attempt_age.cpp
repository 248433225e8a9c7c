#include "policy/attempt_age.h"

#include <algorithm>

#include "policy/moving_fraction.h"

namespace hingelink::policy {
namespace {

// A remaining wait counts as common to all attempts if its bucket has more than this fraction of recent
// arrivals.
constexpr double kCommonWaitFraction = 0.1;
// Weight of a new arrival in the moving fractions, which cover about the last 50 arrivals.
constexpr double kArrivalWeight = 0.02;

}  // namespace

AttemptAgeEstimator::AttemptAgeEstimator() { arrival_fraction_.fill(2 * kCommonWaitFraction); }

double AttemptAgeEstimator::EstimateAge(double wait_fraction) {
  constexpr int kLastBucket = static_cast<int>(kBuckets) - 1;
  const int bucket = std::clamp(static_cast<int>(wait_fraction * kBuckets), 0, kLastBucket);
  for (double& fraction : arrival_fraction_) DecayTowardZero(fraction, kArrivalWeight);
  double& own = arrival_fraction_[static_cast<std::size_t>(bucket)];
  own += kArrivalWeight;
  return own > kCommonWaitFraction ? 0 : std::max(0.0, 1 - wait_fraction);
}

}  // namespace hingelink::policy
