// Tests of decide::JobScheduler: order of jobs, budgets, overload, failures and the final runs of a drain.
#include "decide/jobs/job_scheduler.h"

#include <gtest/gtest.h>

#include <optional>
#include <utility>
#include <vector>

#include "job_specs.h"

namespace hingelink::decide {
namespace {

JobActions Starts(JobIndex job, bool final_run = false) { return {StartJob{job, final_run}}; }
JobOutcome Success(double cpu_ms = 1, double bytes = 0) { return {true, {Ms(cpu_ms), bytes}}; }
JobOutcome Failure(double cpu_ms = 1, double bytes = 0) { return {false, {Ms(cpu_ms), bytes}}; }

// A scheduler that is created at 0 ms. Takes times in milliseconds; tests may ignore the returned actions.
class TestScheduler {
 public:
  TestScheduler(const JobSchedulerOptions& options, std::vector<JobSpec> jobs)
      : scheduler_(options, std::move(jobs), Ms(0)) {}
  JobActions RequestRun(JobIndex job, double now) { return scheduler_.RequestRun(job, Ms(now)); }
  JobActions SetOverloaded(bool overloaded, double now) {
    return scheduler_.SetOverloaded(overloaded, Ms(now));
  }
  JobActions Advance(double now) { return scheduler_.Advance(Ms(now)); }
  JobActions Finish(JobIndex job, const JobOutcome& outcome, double now) {
    return scheduler_.OnJobFinished(job, outcome, Ms(now));
  }
  JobActions BeginDrain(double now) { return scheduler_.BeginDrain(Ms(now)); }
  bool drained() const { return scheduler_.drained(); }
  std::optional<double> NextWakeup(double now) const {
    const std::optional<JobTime> wakeup = scheduler_.NextWakeup(Ms(now));
    return wakeup ? std::optional(wakeup->count()) : std::nullopt;
  }
  JobStats StatsOf(JobIndex job, double now) const { return scheduler_.StatsOf(job, Ms(now)); }

 private:
  JobScheduler scheduler_;
};

TEST(JobScheduler, RunsDueJobsOneAtATime) {
  TestScheduler jobs({}, {Spec("snapshot", 1, 1000), Spec("clean", 0, 1000)});
  EXPECT_EQ(jobs.NextWakeup(0), 1000);
  EXPECT_TRUE(jobs.Advance(999).empty());
  EXPECT_EQ(jobs.Advance(1000), Starts(0));
  EXPECT_TRUE(jobs.Advance(1001).empty());
  EXPECT_EQ(jobs.Finish(0, Success(), 1010), Starts(1));
  EXPECT_TRUE(jobs.Finish(1, Success(), 1020).empty());
  EXPECT_EQ(jobs.NextWakeup(1020), 2010);
}

TEST(JobScheduler, DefersJobsWhileOverloadedUpToTheStarvationLimit) {
  TestScheduler jobs({}, {Spec("snapshot", 1, 1000)});
  EXPECT_TRUE(jobs.SetOverloaded(true, 500).empty());
  EXPECT_TRUE(jobs.Advance(1000).empty());
  EXPECT_EQ(jobs.NextWakeup(1000), 61'000);
  EXPECT_TRUE(jobs.Advance(60'999).empty());
  EXPECT_EQ(jobs.Advance(61'000), Starts(0));
  EXPECT_EQ(jobs.StatsOf(0, 61'000).starvation_runs, 1u);
}

TEST(JobScheduler, StartsADeferredJobWhenTheOverloadEnds) {
  TestScheduler jobs({}, {Spec("snapshot", 1, 1000)});
  jobs.SetOverloaded(true, 500);
  jobs.Advance(61'000);
  jobs.Finish(0, Success(), 61'010);
  EXPECT_TRUE(jobs.Advance(62'010).empty());
  EXPECT_EQ(jobs.SetOverloaded(false, 62'020), Starts(0));
}

TEST(JobScheduler, BackoffDoublesWithEachConsecutiveFailure) {
  TestScheduler jobs({}, {Spec("snapshot", 1, 10'000)});
  jobs.Advance(10'000);
  EXPECT_TRUE(jobs.Finish(0, Failure(), 10'000).empty());
  EXPECT_EQ(jobs.NextWakeup(10'000), 11'000);
  EXPECT_EQ(jobs.Advance(11'000), Starts(0));
  jobs.Finish(0, Failure(), 11'000);
  EXPECT_EQ(jobs.NextWakeup(11'000), 13'000);
}

TEST(JobScheduler, BackoffIsBoundedAndEndsAfterASuccessfulRun) {
  TestScheduler jobs({}, {Spec("snapshot", 1, 10'000)});
  double now = 10'000;
  for (int failure = 0; failure < 42; ++failure) {
    EXPECT_EQ(jobs.Advance(now), Starts(0));
    jobs.Finish(0, Failure(), now);
    const std::optional<double> next = jobs.NextWakeup(now);
    ASSERT_TRUE(next);
    EXPECT_LE(*next - now, 60'000);
    now = *next;
  }
  EXPECT_EQ(jobs.Advance(now), Starts(0));
  jobs.Finish(0, Success(), now);
  EXPECT_EQ(jobs.NextWakeup(now), now + 10'000);
}

TEST(JobScheduler, ADrainCancelsTheRunningJobAndStartsEachFinalRunOnce) {
  TestScheduler jobs(
      {}, {Spec("snapshot", 1, 1000, 1, 0, true), Spec("clean", 5, 900), Spec("log", 2, 0, 1, 0, true)});
  EXPECT_EQ(jobs.Advance(900), Starts(1));
  EXPECT_EQ(jobs.BeginDrain(950), JobActions{CancelJob{1}});
  EXPECT_FALSE(jobs.drained());
  EXPECT_EQ(jobs.Finish(1, Failure(), 960), Starts(2, true));
  EXPECT_EQ(jobs.Finish(2, Success(), 970), Starts(0, true));
  EXPECT_FALSE(jobs.drained());
  // A failed final run is not repeated.
  EXPECT_TRUE(jobs.Finish(0, Failure(), 980).empty());
  EXPECT_TRUE(jobs.drained());
}

TEST(JobScheduler, NoJobIsStartedAfterADrain) {
  TestScheduler jobs({}, {Spec("snapshot", 1, 1000, 1, 0, true)});
  EXPECT_EQ(jobs.BeginDrain(950), Starts(0, true));
  jobs.Finish(0, Success(), 980);
  EXPECT_TRUE(jobs.drained());
  EXPECT_TRUE(jobs.RequestRun(0, 990).empty());
  EXPECT_TRUE(jobs.BeginDrain(990).empty());
  EXPECT_EQ(jobs.NextWakeup(990), std::nullopt);
}

TEST(JobScheduler, ARunCancelledByADrainIsFollowedByItsFinalRun) {
  TestScheduler jobs({}, {Spec("snapshot", 1, 1000, 1, 0, true)});
  jobs.Advance(1000);
  EXPECT_EQ(jobs.BeginDrain(1001), JobActions{CancelJob{0}});
  EXPECT_EQ(jobs.Finish(0, Success(), 1002), Starts(0, true));
}

TEST(JobScheduler, AHungJobIsReportedOnce) {
  TestScheduler jobs({}, {Spec("snapshot", 1, 1000), Spec("clean", 0, 1000)});
  jobs.Advance(1000);
  EXPECT_EQ(jobs.NextWakeup(1000), 11'000);
  EXPECT_TRUE(jobs.Advance(10'999).empty());
  EXPECT_EQ(jobs.Advance(11'000), JobActions{ReportHungJob{0}});
  EXPECT_TRUE(jobs.Advance(12'000).empty());
  EXPECT_EQ(jobs.NextWakeup(12'000), std::nullopt);
  EXPECT_EQ(jobs.Finish(0, Success(), 13'000), Starts(1));
}

TEST(JobScheduler, RunRequestedWhileTheJobRunsStartsAfterTheCurrentRun) {
  TestScheduler jobs({}, {Spec("snapshot", 1, 0)});
  EXPECT_EQ(jobs.NextWakeup(0), std::nullopt);
  EXPECT_EQ(jobs.RequestRun(0, 10), Starts(0));
  EXPECT_TRUE(jobs.RequestRun(0, 11).empty());
  EXPECT_EQ(jobs.Finish(0, Success(), 12), Starts(0));
  EXPECT_TRUE(jobs.Finish(0, Success(), 13).empty());
}

TEST(JobScheduler, CheapJobsAreNotStartedWhileAnExpensiveJobWaitsForBudget) {
  JobSchedulerOptions options;
  options.budget.bytes_per_second = 1000;
  TestScheduler jobs(options, {Spec("large", 1, 0, 0, 1e9), Spec("small", 0, 0, 0, 1000)});
  EXPECT_EQ(jobs.RequestRun(1, 0), Starts(1));  // The bucket is full: 5,000 bytes.
  jobs.Finish(1, Success(0, 1000), 0);
  EXPECT_TRUE(jobs.RequestRun(0, 0).empty());  // Needs a full bucket.
  EXPECT_TRUE(jobs.RequestRun(1, 500).empty());
  EXPECT_EQ(jobs.NextWakeup(500), 1000);
  EXPECT_EQ(jobs.Advance(1000), Starts(0));
}

}  // namespace
}  // namespace hingelink::decide
