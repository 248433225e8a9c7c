#include "decide/jobs/job_budget.h"

#include <gtest/gtest.h>

namespace hingelink::decide {
namespace {

// The capacity is 100 ms of CPU time and 1,000 bytes; 0.1 ms and 1 byte accrue per millisecond.
constexpr JobBudgetOptions kOptions{
    .cpu_fraction = 0.1, .bytes_per_second = 1000, .max_burst = JobTime(1000)};

TEST(JobBudget, StartsFull) {
  const JobBudget budget(kOptions, JobTime(0));
  EXPECT_TRUE(budget.Covers({JobTime(100), 1000}));
}

TEST(JobBudget, CostAboveTheCapacityIsCoveredOnlyByAFullBucket) {
  JobBudget budget(kOptions, JobTime(0));
  const JobCost large{JobTime(1), 1e9};
  EXPECT_TRUE(budget.Covers(large));
  budget.Reserve({JobTime(0), 1});
  EXPECT_FALSE(budget.Covers(large));
}

TEST(JobBudget, RefillsWithTimeUpToItsCapacity) {
  JobBudget budget(kOptions, JobTime(0));
  budget.Reserve({JobTime(100), 0});
  budget.Refill(JobTime(500));
  EXPECT_TRUE(budget.Covers({JobTime(50), 0}));
  EXPECT_FALSE(budget.Covers({JobTime(51), 0}));
  budget.Refill(JobTime(10'000));
  budget.Reserve({JobTime(100), 0});
  EXPECT_FALSE(budget.Covers({JobTime(1), 0}));
}

TEST(JobBudget, ReplacesAReservationByTheActualCost) {
  JobBudget budget(kOptions, JobTime(0));
  budget.Reserve({JobTime(10), 0});
  budget.Settle({JobTime(10), 0}, {JobTime(60), 0});
  EXPECT_TRUE(budget.Covers({JobTime(40), 0}));
  EXPECT_FALSE(budget.Covers({JobTime(41), 0}));
}

TEST(JobBudget, ComputesWhenACostWillBeCovered) {
  JobBudget budget(kOptions, JobTime(0));
  budget.Reserve({JobTime(100), 1000});
  EXPECT_EQ(budget.CoveredAt({JobTime(10), 500}), JobTime(500));
}

}  // namespace
}  // namespace hingelink::decide
