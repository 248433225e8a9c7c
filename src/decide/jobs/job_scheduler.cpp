#include "decide/jobs/job_scheduler.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace hingelink::decide {
namespace {

// Weight of a new run in the means of what a job takes: the last four or so.
constexpr double kLearn = 0.25;
// A failure doubles the rest so often at most: guards the power against overflow.
constexpr int kMostDoublings = 20;

JobTime CpuEachMs(const JobSchedulerOptions& options) { return JobTime(options.cpu_fraction); }
double BytesEachMs(const JobSchedulerOptions& options) { return options.bytes_per_second / 1000; }

}  // namespace

JobScheduler::JobScheduler(const JobSchedulerOptions& options, std::vector<JobSpec> jobs, JobTime now)
    : options_(options), filled_at_(now) {
  cpu_left_ = CpuEachMs(options_) * options_.max_burst.count();
  bytes_left_ = BytesEachMs(options_) * options_.max_burst.count();
  for (JobSpec& spec : jobs) {
    Job job;
    job.mean_cpu = spec.expected_cpu;
    job.mean_bytes = spec.expected_bytes;
    // The first time after a whole period: a start has better things to do.
    if (spec.period > JobTime(0)) job.due = now + spec.period;
    job.spec = std::move(spec);
    jobs_.push_back(std::move(job));
  }
}

void JobScheduler::Fill(JobTime now) {
  const double passed = std::max(0.0, (now - filled_at_).count());
  filled_at_ = std::max(filled_at_, now);
  const double most = options_.max_burst.count();
  cpu_left_ = std::min(CpuEachMs(options_) * most, cpu_left_ + CpuEachMs(options_) * passed);
  bytes_left_ = std::min(BytesEachMs(options_) * most, bytes_left_ + BytesEachMs(options_) * passed);
}

// What a job is expected to take must have been saved up; one that takes more than can ever be saved runs
// when all is. Guards against a job that is never run as it is larger than any budget.
bool JobScheduler::Affordable(const Job& job) const {
  const double most = options_.max_burst.count();
  return cpu_left_ >= std::min(job.mean_cpu, CpuEachMs(options_) * most) &&
         bytes_left_ >= std::min(job.mean_bytes, BytesEachMs(options_) * most);
}

std::optional<JobIndex> JobScheduler::First(JobTime now) const {
  std::optional<JobIndex> best;
  const auto before = [&](const Job& a, const Job& b) {
    const bool a_starves = Starves(a, now), b_starves = Starves(b, now);
    if (a_starves != b_starves) return a_starves;
    if (a_starves) return a.due + a.spec.starvation_limit < b.due + b.spec.starvation_limit;
    return a.spec.priority != b.spec.priority ? a.spec.priority > b.spec.priority : a.due < b.due;
  };
  for (JobIndex i = 0; i < jobs_.size(); ++i) {
    const Job& job = jobs_[i];
    if (!Due(job, now)) continue;
    if (!Starves(job, now) && pressure_) continue;
    if (!best || before(job, jobs_[*best])) best = i;
  }
  return best;
}

std::optional<JobIndex> JobScheduler::NextLast() const {
  std::optional<JobIndex> best;
  for (JobIndex i = 0; i < jobs_.size(); ++i) {
    if (!jobs_[i].spec.run_on_drain || jobs_[i].last_given) continue;
    if (!best || jobs_[i].spec.priority > jobs_[*best].spec.priority) best = i;
  }
  return best;
}

void JobScheduler::Start(JobIndex index, bool final_run, JobTime now, JobActions& actions) {
  Job& job = jobs_[index];
  if (!final_run && Starves(job, now)) ++job.stats.starvation_runs;
  if (final_run) job.last_given = true;
  ++job.stats.runs;
  job.asked_again = false;
  // Taken at its start, and settled at its end: guards the budget while it runs.
  cpu_left_ -= job.mean_cpu;
  bytes_left_ -= job.mean_bytes;
  running_ = Running{.job = index, .since = now, .final_run = final_run};
  actions.push_back(StartJob{index, final_run});
}

void JobScheduler::Go(JobTime now, JobActions& actions) {
  Fill(now);
  if (running_) {
    const Job& job = jobs_[running_->job];
    if (!running_->reported && now - running_->since >= job.spec.stuck_after) {
      running_->reported = true;
      actions.push_back(ReportStuckJob{running_->job});
    }
    return;
  }
  const auto job = draining_ ? NextLast() : First(now);
  // Not the next one that fits instead: guards a large job against small ones that always leave too little.
  if (job && (draining_ || Affordable(jobs_[*job]))) Start(*job, draining_, now, actions);
}

JobActions JobScheduler::RequestRun(JobIndex job, JobTime now) {
  JobActions actions;
  if (running_ && running_->job == job) {
    jobs_[job].asked_again = true;
  } else {
    jobs_[job].due = std::min(jobs_[job].due, now);
  }
  Go(now, actions);
  return actions;
}

JobActions JobScheduler::SetOverloaded(bool high, JobTime now) {
  JobActions actions;
  pressure_ = high;
  Go(now, actions);
  return actions;
}

JobActions JobScheduler::Advance(JobTime now) {
  JobActions actions;
  Go(now, actions);
  return actions;
}

JobActions JobScheduler::OnJobFinished(JobIndex index, bool succeeded, JobTime cpu, double bytes,
                                       JobTime now) {
  JobActions actions;
  if (!running_ || running_->job != index) return actions;
  Fill(now);
  Job& job = jobs_[index];
  const Running run = *std::exchange(running_, std::nullopt);
  cpu_left_ += job.mean_cpu - cpu;
  bytes_left_ += job.mean_bytes - bytes;
  job.stats.last_duration = now - run.since;
  job.stats.cpu += cpu;
  job.stats.bytes += bytes;
  if (run.cancelled) {
    ++job.stats.cancelled;
  } else if (succeeded) {
    job.failures_in_row = 0;
    job.not_before = now;
    job.mean_cpu += kLearn * (cpu - job.mean_cpu);
    job.mean_bytes += kLearn * (bytes - job.mean_bytes);
  } else {
    ++job.stats.failures;
    const double doubled =
        std::ldexp(options_.initial_backoff.count(), std::min(job.failures_in_row++, kMostDoublings));
    job.not_before = now + std::min(options_.max_backoff, JobTime(doubled));
  }
  if (job.asked_again || (!succeeded && !run.cancelled)) {
    job.due = now;  // What it was for is still to be done.
  } else {
    job.due = job.spec.period > JobTime(0) ? now + job.spec.period : kNever;
  }
  Go(now, actions);
  return actions;
}

JobActions JobScheduler::BeginDrain(JobTime now) {
  JobActions actions;
  if (std::exchange(draining_, true)) return actions;
  // What runs gives way to the last chances, unless it is what they would do: that runs again behind it, for
  // what has been learned since it began.
  if (running_ && !running_->final_run) {
    running_->cancelled = true;
    actions.push_back(CancelJob{running_->job});
  }
  Go(now, actions);
  return actions;
}

std::optional<JobTime> JobScheduler::NextWakeup(JobTime now) const {
  JobTime at = kNever;
  if (running_) {
    if (!running_->reported) at = running_->since + jobs_[running_->job].spec.stuck_after;
  } else if (!draining_) {
    for (const Job& job : jobs_) {
      if (job.due == kNever) continue;
      const JobTime starvation_runs = std::max(job.due + job.spec.starvation_limit, job.not_before);
      if (starvation_runs > now) at = std::min(at, starvation_runs);
      const JobTime due = std::max(job.due, job.not_before);
      if (!pressure_ && due > now) at = std::min(at, due);
    }
    if (const auto first = First(now)) {  // It waits for its budget.
      const double most = options_.max_burst.count();
      const Job& job = jobs_[*first];
      const double cpu =
          (std::min(job.mean_cpu, CpuEachMs(options_) * most) - cpu_left_) / CpuEachMs(options_);
      const double bytes =
          (std::min(job.mean_bytes, BytesEachMs(options_) * most) - bytes_left_) / BytesEachMs(options_);
      at = std::min(at, filled_at_ + JobTime(std::max({1.0, cpu, bytes})));
    }
  }
  if (at == kNever) return std::nullopt;
  return std::max(at, now);
}

JobScheduler::JobStats JobScheduler::StatsOf(JobIndex index, JobTime now) const {
  const Job& job = jobs_[index];
  JobStats stats = job.stats;
  stats.state = running_ && running_->job == index ? JobState::kRunning
                : Due(job, now)                    ? JobState::kDue
                                                   : JobState::kIdle;
  if (stats.state == JobState::kDue) stats.overdue_by = now - job.due;
  return stats;
}

}  // namespace hingelink::decide
