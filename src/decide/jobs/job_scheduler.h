// Decides when each background job runs. Takes into account the priorities of jobs, the budgets of CPU time
// and written bytes, and whether the node is overloaded: jobs are then deferred, up to a limit. Schedules the
// final runs of a drain. Does no I/O and reads no clock.
//
// Only one job runs at a time, so that a slow call (such as an fsync on a slow disk) delays only other jobs.
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

// Index of a job in the list that is given to the constructor.
using JobIndex = std::size_t;

struct JobSpec {
  std::string name;
  // The due job with the highest priority runs first; among equal priorities, the job that is due for
  // longest.
  int priority = 0;
  // Time from the end of a run until the job is due again; 0 if the job runs only when requested.
  JobTime period{0};
  // A job that is due for this long is starved: it runs even while the node is overloaded, and before all
  // jobs that are not starved.
  JobTime starvation_limit{60'000};
  // A run that takes longer than this is reported as hung, once.
  JobTime hung_after{10'000};
  // Expected cost of the first run. Later the moving mean of past runs is used, which starts at this cost.
  JobTime expected_cpu{1};
  double expected_bytes = 0;
  // Whether the job runs a final time during a drain, regardless of the budgets.
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
// Ask the running job to end early, without partial effects. The caller still calls OnJobFinished().
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
  std::uint64_t starvation_runs = 0;  // Runs of the job that were started while it was starved.
  std::uint64_t cancelled = 0;
  JobTime overdue_by{0};  // Time since the job became due; 0 unless its state is kDue.
  JobTime last_duration{0};
  JobCost total_cost;
};

// Not thread-safe. `now` is always a reading of the caller's monotonic clock. Functions that return actions
// expect the caller to execute them in order.
class JobScheduler {
 public:
  JobScheduler(const JobSchedulerOptions& options, std::vector<JobSpec> jobs, JobTime now);

  // Makes a job due now. If the job is running, it becomes due again when the run has finished.
  [[nodiscard]] JobActions RequestRun(JobIndex job, JobTime now);
  // While the node is overloaded only starved jobs are started.
  [[nodiscard]] JobActions SetOverloaded(bool overloaded, JobTime now);
  // Starts the next job if it may run now, and reports a hung run. To be called at NextWakeup().
  [[nodiscard]] JobActions Advance(JobTime now);
  [[nodiscard]] JobActions OnJobFinished(JobIndex job, const JobOutcome& outcome, JobTime now);
  // Cancels the running job, if any. Afterwards only final runs are started, by descending priority, each at
  // most once.
  [[nodiscard]] JobActions BeginDrain(JobTime now);

  // Whether no job is running.
  bool idle() const { return !running_; }
  // Whether the drain is complete: no job is running and none will be started.
  bool drained() const { return draining_ && !running_ && !NextFinalRun(); }
  // Returns when to call Advance(), unless another event occurs before; empty if no call is needed until the
  // next event.
  [[nodiscard]] std::optional<JobTime> NextWakeup(JobTime now) const;
  [[nodiscard]] JobStats StatsOf(JobIndex job, JobTime now) const;

 private:
  static constexpr JobTime kNever{std::numeric_limits<double>::infinity()};
  static constexpr JobTime kDistantPast{-1e300};

  struct Job {
    JobSpec spec;
    JobTime due_at = kNever;
    JobTime not_before = kDistantPast;  // End of the backoff after a failed run.
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
  // Starts the next job if none is running, or reports the running job if it is hung.
  void Schedule(JobTime now, JobActions& actions);
  void Start(JobIndex job, bool final_run, JobTime now, JobActions& actions);
  // Returns the job to run next, regardless of whether the budget covers it yet.
  std::optional<JobIndex> NextRun(JobTime now) const;
  std::optional<JobIndex> NextFinalRun() const;
  // Returns the earliest time after `now` at which a job becomes due or starved; kNever if there is none.
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
