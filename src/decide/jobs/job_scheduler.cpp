#include "decide/jobs/job_scheduler.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace hingelink::decide {
namespace {

// Weight of a new run in the moving mean of a job's cost.
constexpr double kCostWeight = 0.25;
// Maximum number of times that the backoff is doubled, so that the power of two stays finite.
constexpr int kMaxDoublings = 20;

}  // namespace

JobScheduler::JobScheduler(const JobSchedulerOptions& options, std::vector<JobSpec> jobs, JobTime now)
    : options_(options), budget_(options.budget, now) {
  for (JobSpec& spec : jobs) {
    Job job;
    job.mean_cost = {spec.expected_cpu, spec.expected_bytes};
    // The first run takes place a full period after the start, since the node has more urgent work at the
    // start.
    if (spec.period > JobTime(0)) job.due_at = now + spec.period;
    job.spec = std::move(spec);
    jobs_.push_back(std::move(job));
  }
}

// ---- Events ----

JobActions JobScheduler::RequestRun(JobIndex index, JobTime now) {
  Job& job = jobs_[index];
  if (running_ && running_->job == index) {
    job.requested_while_running = true;
  } else {
    job.due_at = std::min(job.due_at, now);
  }
  return Advance(now);
}

JobActions JobScheduler::SetOverloaded(bool overloaded, JobTime now) {
  overloaded_ = overloaded;
  return Advance(now);
}

JobActions JobScheduler::Advance(JobTime now) {
  JobActions actions;
  Schedule(now, actions);
  return actions;
}

JobActions JobScheduler::OnJobFinished(JobIndex index, const JobOutcome& outcome, JobTime now) {
  if (!running_ || running_->job != index) return {};
  budget_.Refill(now);
  Job& job = jobs_[index];
  const Run run = *std::exchange(running_, std::nullopt);
  budget_.Settle(job.mean_cost, outcome.cost);
  RecordOutcome(job, run, outcome, now);
  const bool failed = !outcome.succeeded && !run.cancelled;
  if (job.requested_while_running || failed) {
    job.due_at = now;
  } else {
    job.due_at = job.spec.period > JobTime(0) ? now + job.spec.period : kNever;
  }
  return Advance(now);
}

void JobScheduler::RecordOutcome(Job& job, const Run& run, const JobOutcome& outcome, JobTime now) {
  job.stats.last_duration = now - run.started_at;
  job.stats.total_cost += outcome.cost;
  if (run.cancelled) {
    ++job.stats.cancelled;
  } else if (outcome.succeeded) {
    job.consecutive_failures = 0;
    job.not_before = now;
    job.mean_cost.cpu += kCostWeight * (outcome.cost.cpu - job.mean_cost.cpu);
    job.mean_cost.bytes += kCostWeight * (outcome.cost.bytes - job.mean_cost.bytes);
  } else {
    ++job.stats.failures;
    job.not_before = now + Backoff(job.consecutive_failures);
    ++job.consecutive_failures;
  }
}

JobTime JobScheduler::Backoff(int consecutive_failures) const {
  const int doublings = std::min(consecutive_failures, kMaxDoublings);
  return std::min(options_.max_backoff, JobTime(std::ldexp(options_.initial_backoff.count(), doublings)));
}

JobActions JobScheduler::BeginDrain(JobTime now) {
  JobActions actions;
  if (std::exchange(draining_, true)) return actions;
  // A cancelled job still gets its final run, which covers what changed after the cancelled run had begun.
  if (running_ && !running_->final_run) {
    running_->cancelled = true;
    actions.emplace_back(CancelJob{running_->job});
  }
  Schedule(now, actions);
  return actions;
}

// ---- Scheduling ----

void JobScheduler::Schedule(JobTime now, JobActions& actions) {
  budget_.Refill(now);
  if (running_) {
    const JobTime hung_after = jobs_[running_->job].spec.hung_after;
    if (!running_->reported_hung && now - running_->started_at >= hung_after) {
      running_->reported_hung = true;
      actions.emplace_back(ReportHungJob{running_->job});
    }
    return;
  }
  const std::optional<JobIndex> next = draining_ ? NextFinalRun() : NextRun(now);
  // While the next job waits for its budget, no cheaper job is started in its place: cheaper jobs could use
  // up the budget repeatedly, and the next job would never run.
  if (next && (draining_ || budget_.Covers(jobs_[*next].mean_cost))) Start(*next, draining_, now, actions);
}

void JobScheduler::Start(JobIndex index, bool final_run, JobTime now, JobActions& actions) {
  Job& job = jobs_[index];
  if (!final_run && IsStarved(job, now)) ++job.stats.starvation_runs;
  if (final_run) job.had_final_run = true;
  ++job.stats.runs;
  job.requested_while_running = false;
  budget_.Reserve(job.mean_cost);
  running_ = Run{.job = index, .started_at = now, .final_run = final_run};
  actions.emplace_back(StartJob{index, final_run});
}

bool JobScheduler::RunsBefore(const Job& left, const Job& right, JobTime now) {
  const bool left_starved = IsStarved(left, now);
  const bool right_starved = IsStarved(right, now);
  if (left_starved != right_starved) return left_starved;
  if (left_starved)
    return left.due_at + left.spec.starvation_limit < right.due_at + right.spec.starvation_limit;
  if (left.spec.priority != right.spec.priority) return left.spec.priority > right.spec.priority;
  return left.due_at < right.due_at;
}

std::optional<JobIndex> JobScheduler::NextRun(JobTime now) const {
  std::optional<JobIndex> next;
  for (JobIndex index = 0; index < jobs_.size(); ++index) {
    const Job& job = jobs_[index];
    if (!IsDue(job, now)) continue;
    if (overloaded_ && !IsStarved(job, now)) continue;
    if (!next || RunsBefore(job, jobs_[*next], now)) next = index;
  }
  return next;
}

std::optional<JobIndex> JobScheduler::NextFinalRun() const {
  std::optional<JobIndex> next;
  for (JobIndex index = 0; index < jobs_.size(); ++index) {
    const Job& job = jobs_[index];
    if (!job.spec.run_on_drain || job.had_final_run) continue;
    if (!next || job.spec.priority > jobs_[*next].spec.priority) next = index;
  }
  return next;
}

// ---- Observation ----

std::optional<JobTime> JobScheduler::NextWakeup(JobTime now) const {
  JobTime wakeup = kNever;
  if (running_) {
    if (!running_->reported_hung) wakeup = running_->started_at + jobs_[running_->job].spec.hung_after;
  } else if (!draining_) {
    wakeup = NextDueTime(now);
    const std::optional<JobIndex> next = NextRun(now);
    if (next) wakeup = std::min(wakeup, budget_.CoveredAt(jobs_[*next].mean_cost));
  }
  if (wakeup == kNever) return std::nullopt;
  return std::max(wakeup, now);
}

JobTime JobScheduler::NextDueTime(JobTime now) const {
  JobTime next = kNever;
  for (const Job& job : jobs_) {
    if (job.due_at == kNever) continue;
    const JobTime starved_at = std::max(job.due_at + job.spec.starvation_limit, job.not_before);
    if (starved_at > now) next = std::min(next, starved_at);
    const JobTime due_at = std::max(job.due_at, job.not_before);
    if (!overloaded_ && due_at > now) next = std::min(next, due_at);
  }
  return next;
}

JobStats JobScheduler::StatsOf(JobIndex index, JobTime now) const {
  const Job& job = jobs_[index];
  JobStats stats = job.stats;
  if (running_ && running_->job == index) {
    stats.state = JobState::kRunning;
  } else if (IsDue(job, now)) {
    stats.state = JobState::kDue;
    stats.overdue_by = now - job.due_at;
  }
  return stats;
}

}  // namespace hingelink::decide
