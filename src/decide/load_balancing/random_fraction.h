// Uniform random fractions.
#ifndef HINGELINK_DECIDE_LOAD_BALANCING_RANDOM_FRACTION_H_
#define HINGELINK_DECIDE_LOAD_BALANCING_RANDOM_FRACTION_H_

#include "decide/random_source.h"

namespace hingelink::decide {

// Returns a uniformly distributed number in [0, 1). Draws one random number.
inline double RandomFraction(const RandomSource& random) {
  constexpr int kDroppedBits = 11;  // A double has 53 significant bits; the source returns 64.
  return static_cast<double>(random() >> kDroppedBits) * 0x1.0p-53;
}

}  // namespace hingelink::decide

#endif  // HINGELINK_DECIDE_LOAD_BALANCING_RANDOM_FRACTION_H_
