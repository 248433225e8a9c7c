// Decides which background job runs when: priorities, budgets of CPU time and written bytes, deferral while
// the node is overloaded, a bound on that deferral, and the final runs of a drain. No I/O and no clock.
//
// One job runs at a time, so that a slow call (an fsync on a slow disk) delays other jobs only.
#ifndef HINGELINK_DECIDE_JOBS_JOB_SCHEDULER_H_
#define HINGELINK_DECIDE_JOBS_JOB_SCHEDULER_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "decide/jobs/job_budget.h"

namespace hingelink::decide {

// The place of a job in the list given at construction.
using JobIndex = std::size_t;

struct JobSpec {
  std::string name;
  // Of the jobs that are due the one of the highest priority runs first; of equal ones the one due longest.
  int priority = 0;
  // From the end of a run to the next one; 0: runs only when requested.
  JobTime period{0};
  // A job due for so long runs although the node is overloaded, before all that are not.
  JobTime starvation_limit{60'000};
  // A run that takes longer is reported once.
  JobTime hung_after{10'000};
  // Cost expected of the first run; later the mean of past runs.
  JobTime expected_cpu{1};
  double expected_bytes = 0;
  // Runs once more during a drain, whatever the budgets.
  bool run_on_drain = false;
};

struct JobSchedulerOptions {
  JobBudgetOptions budget;
  // Delay after a failed run; doubles with each consecutive failure.
  JobTime initial_backoff{1'000};
  JobTime max_backoff{60'000};
};

struct StartJob {
  JobIndex job = 0;
  bool final_run = false;  // The last run before the process exits.
  bool operator==(const StartJob&) const = default;
};
// Ask the running job to end early, without partial effects. OnJobFinished() still follows.
struct CancelJob {
  JobIndex job = 0;
  bool operator==(const CancelJob&) const = default;
};
struct ReportHungJob {
  JobIndex job = 0;
  bool operator==(const ReportHungJob&) const = default;
};
using JobAction = std::variant<StartJob, CancelJob, ReportHungJob>;
using JobActions = std::vector<JobAction>;

// The outcome of one run.
struct JobOutcome {
  bool succeeded = true;
  JobCost cost;
};

enum class JobState { kIdle, kDue, kRunning };

struct JobStats {
  JobState state = JobState::kIdle;
  std::uint64_t runs = 0;
  std::uint64_t failures = 0;
  std::uint64_t starvation_runs = 0;  // Begun because the starvation limit was reached.
  std::uint64_t cancelled = 0;
  JobTime overdue_by{0};
  JobTime last_duration{0};
  JobCost total_cost;
};

// Not thread-safe. Each function that takes `now` expects a monotonic time and returns the actions to
// execute, in order.
class JobScheduler {
 public:
  JobScheduler(const JobSchedulerOptions& options, std::vector<JobSpec> jobs, JobTime now);

  // Makes a job due now. A job that is running runs again afterwards.
  [[nodiscard]] JobActions RequestRun(JobIndex job, JobTime now);
  // While the node is overloaded only starved jobs are started.
  [[nodiscard]] JobActions SetOverloaded(bool overloaded, JobTime now);
  // To be called at NextWakeup().
  [[nodiscard]] JobActions Advance(JobTime now);
  [[nodiscard]] JobActions OnJobFinished(JobIndex job, const JobOutcome& outcome, JobTime now);
  // Cancels what runs. From now on only final runs are started, highest priority first, each at most once.
  [[nodiscard]] JobActions BeginDrain(JobTime now);

  // Whether no job is running.
  bool idle() const { return !running_; }
  // Whether the drain is complete: no job is running and none will be started.
  bool drained() const { return draining_ && !running_ && !NextFinalRun(); }
  // When to call Advance() unless another event comes first; empty where only an event can change anything.
  [[nodiscard]] std::optional<JobTime> NextWakeup(JobTime now) const;
  [[nodiscard]] JobStats StatsOf(JobIndex job, JobTime now) const;

 private:
  static constexpr JobTime kNever{std::numeric_limits<double>::infinity()};
  static constexpr JobTime kAlways{-1e300};

  struct Job {
    JobSpec spec;
    JobTime due_at = kNever;
    JobTime not_before = kAlways;  // End of the backoff after a failure.
    int consecutive_failures = 0;
    bool requested_while_running = false;
    bool had_final_run = false;
    JobCost mean_cost;
    JobStats stats;
  };
  struct Run {
    JobIndex job = 0;
    JobTime started_at{0};
    bool reported_hung = false;
    bool cancelled = false;
    bool final_run = false;
  };

  static bool IsDue(const Job& job, JobTime now) { return job.due_at <= now && job.not_before <= now; }
  static bool IsStarved(const Job& job, JobTime now) { return now - job.due_at >= job.spec.starvation_limit; }
  static bool RunsBefore(const Job& left, const Job& right, JobTime now);
  void RecordOutcome(Job& job, const Run& run, const JobOutcome& outcome, JobTime now);
  JobTime Backoff(int consecutive_failures) const;
  // Starts the next job, or reports a running one that is hung.
  void Schedule(JobTime now, JobActions& actions);
  void Start(JobIndex job, bool final_run, JobTime now, JobActions& actions);
  // The job to run next, whether or not the budget allows it yet.
  std::optional<JobIndex> NextRun(JobTime now) const;
  std::optional<JobIndex> NextFinalRun() const;
  // The earliest time at which a job becomes due or starved; kNever where none will.
  JobTime NextDueTime(JobTime now) const;

  JobSchedulerOptions options_;
  JobBudget budget_;
  std::vector<Job> jobs_;
  std::optional<Run> running_;
  bool overloaded_ = false;
  bool draining_ = false;
};

}  // namespace hingelink::decide

#endif  // HINGELINK_DECIDE_JOBS_JOB_SCHEDULER_H_
