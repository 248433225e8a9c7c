// Which background job runs when: priorities, budgets of CPU time and bytes a second, deferral while requests
// are under pressure, a guard against starving, and the end at a drain. No I/O and no clock: the caller gives
// the time and carries out the actions.
//
// One job runs at a time, so that a call that takes long (an fsync on a slow disk) holds up other jobs only.
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

namespace hingelink::decide {

using JobIndex = std::size_t;                               // By place in the list given at construction.
using JobTime = std::chrono::duration<double, std::milli>;  // On any clock that only goes forward.

struct JobSpec {
  std::string name;
  int priority = 0;   // Of those that are due, the highest goes first; equal ones by how long they are due.
  JobTime period{0};  // Due again so long after its last end; 0: only when asked for.
  JobTime starvation_limit{
      60'000};  // Due for so long, it runs under pressure too, and before all that starve less.
  JobTime stuck_after{10'000};  // A run that takes longer is reported, once.
  JobTime expected_cpu{1};      // Expected of the first run; later the mean of what runs took.
  double expected_bytes = 0;
  bool run_on_drain = false;  // Runs once more at a drain, whatever the budgets say.
};

struct JobSchedulerOptions {
  // Shares of one core and of the disk that all jobs together may take, and how much may be saved up.
  double cpu_fraction = 0.02;
  double bytes_per_second = 1 << 20;
  JobTime max_burst{5'000};
  // After a failure a job waits so long, twice as long after each further one, to at most the second.
  JobTime initial_backoff{1'000}, max_backoff{60'000};
};

struct StartJob {
  JobIndex job = 0;
  bool final_run = false;  // The last chance before the process ends.
  bool operator==(const StartJob&) const = default;
};
// It shall end early, with nothing half done. A wish: its end still comes by Ended().
struct CancelJob {
  JobIndex job = 0;
  bool operator==(const CancelJob&) const = default;
};
struct ReportStuckJob {
  JobIndex job = 0;
  bool operator==(const ReportStuckJob&) const = default;
};
using JobAction = std::variant<StartJob, CancelJob, ReportStuckJob>;
using JobActions = std::vector<JobAction>;

class JobScheduler {
 public:
  JobScheduler(const JobSchedulerOptions& options, std::vector<JobSpec> jobs, JobTime now);

  // Due from now on, if it was not.
  JobActions RequestRun(JobIndex job, JobTime now);
  // Requests are under pressure, or no longer: what can wait, waits.
  JobActions SetOverloaded(bool high, JobTime now);
  // Time has passed.
  JobActions Advance(JobTime now);
  // A run is over, with what it took. `good`: it did what it was for.
  JobActions OnJobFinished(JobIndex job, bool succeeded, JobTime cpu, double bytes, JobTime now);
  // The process ends: nothing starts any more but the last chances, highest priority first, each at most
  // once.
  JobActions BeginDrain(JobTime now);

  // No job runs, and after a drain none will.
  bool idle() const { return !running_; }
  bool drained() const { return draining_ && !running_ && !NextLast(); }
  // When to call Pass() again if nothing else happens before; nothing where only an event can change
  // anything.
  std::optional<JobTime> NextWakeup(JobTime now) const;

  // What is known of a job, for those who watch.
  enum class JobState { kIdle, kDue, kRunning };
  struct JobStats {
    JobState state = JobState::kIdle;
    std::uint64_t runs = 0, failures = 0, starvation_runs = 0,
                  cancelled = 0;  // `starved`: runs begun by that guard.
    JobTime overdue_by{0}, last_duration{0}, cpu{0};
    double bytes = 0;  // In all, as `cpu`.
  };
  JobStats StatsOf(JobIndex job, JobTime now) const;
  const JobSpec& spec(JobIndex job) const { return jobs_[job].spec; }
  std::size_t size() const { return jobs_.size(); }

 private:
  static constexpr JobTime kNever{std::numeric_limits<double>::infinity()};
  struct Job {
    JobSpec spec;
    JobTime due = kNever;        // Since when, or from when on.
    JobTime not_before{-1e300};  // After a failure.
    int failures_in_row = 0;
    bool asked_again = false;  // While it ran.
    bool last_given = false;   // It has had its last chance.
    JobTime mean_cpu{0};
    double mean_bytes = 0;
    JobStats stats;
  };
  struct Running {
    JobIndex job = 0;
    JobTime since{0};
    bool reported = false, cancelled = false, final_run = false;
  };

  void Fill(JobTime now);
  void Go(JobTime now, JobActions& actions);
  void Start(JobIndex job, bool final_run, JobTime now, JobActions& actions);
  bool Due(const Job& job, JobTime now) const { return job.due <= now && job.not_before <= now; }
  bool Starves(const Job& job, JobTime now) const { return now - job.due >= job.spec.starvation_limit; }
  bool Affordable(const Job& job) const;
  // The one whose turn it is, if its budget allows it.
  std::optional<JobIndex> First(JobTime now) const;
  std::optional<JobIndex> NextLast() const;

  JobSchedulerOptions options_;
  std::vector<Job> jobs_;
  std::optional<Running> running_;
  bool pressure_ = false;
  bool draining_ = false;
  JobTime filled_at_;
  JobTime cpu_left_{0};  // Saved up; below 0 after a run that took more than it was expected to.
  double bytes_left_ = 0;
};

}  // namespace hingelink::decide

#endif  // HINGELINK_DECIDE_JOBS_JOB_SCHEDULER_H_
