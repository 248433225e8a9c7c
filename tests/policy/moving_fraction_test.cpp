// Tests of DecayTowardZero().
#include "policy/moving_fraction.h"

#include <gtest/gtest.h>

#include <limits>

namespace hingelink {
namespace {

using policy::DecayTowardZero;

TEST(MovingFraction, DecayRemovesTheWeight) {
  double fraction = 0.5;
  DecayTowardZero(fraction, 0.1);
  EXPECT_DOUBLE_EQ(fraction, 0.45);
}

TEST(MovingFraction, DecayFlushesSubnormalNumbersToZero) {
  double fraction = std::numeric_limits<double>::min();
  DecayTowardZero(fraction, 0.1);
  EXPECT_EQ(fraction, 0);
}

}  // namespace
}  // namespace hingelink
