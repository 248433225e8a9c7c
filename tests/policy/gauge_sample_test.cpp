// Tests of ReadGauges().
#include "policy/gauge_sample.h"

#include <gtest/gtest.h>

#include "policy_host.h"

namespace hingelink {
namespace {

using policy::ReadGauges;

TEST(GaugeSample, GaugesAreReadByTheirPositionInTheSettings) {
  Settings settings = TestSettings();
  settings.gauges = {"other", "runnable", "cpu_busy"};
  const policy::GaugeSample sample = ReadGauges(settings, {9, 3, 0.25}, 7);
  EXPECT_EQ(sample.cpu_busy, 0.25);
  EXPECT_EQ(sample.runnable, 3);
}

TEST(GaugeSample, MissingGaugesDefaultToBusyCoresAndKnownExecutions) {
  Settings settings = TestSettings();
  settings.gauges.clear();
  const policy::GaugeSample unnamed = ReadGauges(settings, {}, 7);
  EXPECT_EQ(unnamed.cpu_busy, 1);
  EXPECT_EQ(unnamed.runnable, 7);
}

TEST(GaugeSample, GaugesWithoutAValueCountAsMissing) {
  const policy::GaugeSample sample = ReadGauges(TestSettings(), {0.5}, 7);
  EXPECT_EQ(sample.cpu_busy, 0.5);
  EXPECT_EQ(sample.runnable, 7);
}

}  // namespace
}  // namespace hingelink
