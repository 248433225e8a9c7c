// Tests of ArrivalStats: the retried and rejected fractions of recent arrivals.
#include "policy/arrival_stats.h"

#include <gtest/gtest.h>

namespace hingelink {
namespace {

using policy::ArrivalStats;

TEST(ArrivalStats, ReportsRetryStormAboveAQuarterOfRetries) {
  ArrivalStats stats;
  for (int i = 0; i < 400; ++i) stats.CountArrival(i % 8 == 0);
  EXPECT_FALSE(stats.IsRetryStorm());
  for (int i = 0; i < 400; ++i) stats.CountArrival(i % 2 == 0);
  EXPECT_TRUE(stats.IsRetryStorm());
}

TEST(ArrivalStats, RejectedFractionFollowsRecentArrivals) {
  ArrivalStats stats;
  for (int i = 0; i < 400; ++i) {
    stats.CountArrival(false);
    stats.CountRejection(1);
  }
  EXPECT_NEAR(stats.rejected_fraction(), 1, 0.01);
  for (int i = 0; i < 400; ++i) stats.CountArrival(false);
  EXPECT_NEAR(stats.rejected_fraction(), 0, 0.01);
}

TEST(ArrivalStats, RejectionCountsWithItsWeight) {
  ArrivalStats stats;
  ArrivalStats weighted;
  stats.CountRejection(1);
  weighted.CountRejection(0.25);
  EXPECT_DOUBLE_EQ(weighted.rejected_fraction(), 0.25 * stats.rejected_fraction());
}

}  // namespace
}  // namespace hingelink
