#include "background/job_runner.h"

#include <gtest/gtest.h>

#include <cerrno>

#include "../node/gate.h"
#include "loop_test.h"
#include "state/file_system.h"

namespace hingelink::background {
namespace {

using peers::Gate;

Job MakeJob(const char* name, std::function<JobResult(const std::atomic<bool>&)> work,
            bool run_on_drain = false) {
  Job job;
  job.spec = {.name = name, .priority = 1, .hung_after = decide::JobTime(1), .run_on_drain = run_on_drain};
  job.prepare = [work = std::move(work)](bool) { return work; };
  return job;
}

using JobRunnerTest = LoopTest;

TEST_F(JobRunnerTest, AHungJobBlocksNeitherTheLoopNorTheExit) {
  auto gate = std::make_shared<Gate>();
  int ticks = 0;
  net::Timer tick(base_.get(), [&] {
    ++ticks;
    tick.Start(1ms);
  });
  tick.Start(1ms);
  {
    std::vector<Job> jobs;
    jobs.push_back(MakeJob("snapshot", [gate](const std::atomic<bool>&) {
      gate->Wait();
      return JobResult{};
    }));
    JobRunner runner(base_.get(), {}, std::move(jobs), idle_node_);
    runner.RequestRun("snapshot");
    RunLoopUntil(base_.get(), [&] {
      return gate->waiting() && ticks > 20 && IsLogged("background-job-hung job=snapshot");
    });
    EXPECT_GT(ticks, 20);
    EXPECT_TRUE(IsLogged("background-job-hung job=snapshot"));
    EXPECT_EQ(runner.JobReports()[0].stats.state, decide::JobState::kRunning);
    runner.Finish(5ms);
    EXPECT_TRUE(IsLogged("background-thread-detached"));
  }
  gate->Open();
}

TEST_F(JobRunnerTest, AFailedJobIsLoggedAndRetried) {
  std::vector<Job> jobs;
  auto runs = std::make_shared<std::atomic<int>>(0);
  jobs.push_back(MakeJob("clean", [runs](const std::atomic<bool>&) -> JobResult {
    if (++*runs == 1) throw state::FileError("write", "x", ENOSPC);
    return {};
  }));
  decide::JobSchedulerOptions options;
  options.initial_backoff = decide::JobTime(1);
  JobRunner runner(base_.get(), options, std::move(jobs), idle_node_);
  runner.RequestRun("clean");
  RunLoopUntil(base_.get(), [&] { return runner.JobReports()[0].stats.runs == 2 && *runs == 2; });
  EXPECT_EQ(runner.JobReports()[0].stats.failures, 1u);
  EXPECT_TRUE(IsLogged("background-job-failed job=clean"));
}

TEST_F(JobRunnerTest, TheFinalRunIsStartedOnce) {
  auto final_runs = std::make_shared<std::atomic<int>>(0);
  std::vector<Job> jobs(1);
  jobs[0].spec = {.name = "snapshot", .run_on_drain = true};
  jobs[0].prepare = [final_runs](bool final_run) {
    return [final_runs, final_run](const std::atomic<bool>&) {
      *final_runs += final_run ? 1 : 0;
      return JobResult{};
    };
  };
  JobRunner runner(base_.get(), {}, std::move(jobs), idle_node_);
  runner.Finish(40s);
  runner.Finish(40s);
  EXPECT_EQ(*final_runs, 1);
}

}  // namespace
}  // namespace hingelink::background
