// Helpers for fractions of recent events, kept as exponentially weighted moving averages.
#ifndef HINGELINK_POLICY_MOVING_FRACTION_H_
#define HINGELINK_POLICY_MOVING_FRACTION_H_

#include <limits>

namespace hingelink::policy {

// A time that is never reached.
inline constexpr double kForever = std::numeric_limits<double>::infinity();

// Weight of a new sample in the fractions by class and by tenant, which cover about the last 100 events.
inline constexpr double kClassSampleWeight = 0.01;

// Multiplies `fraction` by 1 - `weight`. A subnormal result is replaced by 0, because arithmetic on subnormal
// numbers is about 100 times slower.
inline void DecayTowardZero(double& fraction, double weight) {
  fraction -= weight * fraction;
  if (fraction < std::numeric_limits<double>::min()) fraction = 0;
}

}  // namespace hingelink::policy

#endif  // HINGELINK_POLICY_MOVING_FRACTION_H_
