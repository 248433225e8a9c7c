// Checks with random events that JobScheduler stays within its budgets, runs one job at a time, defers jobs
// while the node is overloaded, and completes a drain.
#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>
#include <ostream>
#include <utility>

#include "decide/jobs/job_scheduler.h"
#include "job_specs.h"

namespace hingelink::decide {
namespace {

struct RandomEvent {
  int kind = 0;
  int job = 0;
  double after_ms = 0;
  double cpu_ms = 0;
  double bytes = 0;
};

std::ostream& operator<<(std::ostream& out, const RandomEvent& event) {
  return out << event.kind << '/' << event.job << '/' << event.after_ms << '/' << event.cpu_ms << '/'
             << event.bytes;
}

constexpr double kMaxCpuMs = 30;
constexpr double kMaxBytes = 2000;
constexpr double kRoundingTolerance = 1e-6;
constexpr std::size_t kFinalRuns = 2;  // Number of jobs in Specs() that run on a drain.

rc::Gen<double> NumberBetween(double least, double most) {
  return rc::gen::map(rc::gen::inRange(0, 1001),
                      [least, most](int thousandths) { return least + (most - least) * thousandths / 1000; });
}

rc::Gen<std::vector<RandomEvent>> RandomEvents() {
  const auto make = [](int kind, int job, double after_ms, double cpu_ms, double bytes) {
    return RandomEvent{kind, job, after_ms, cpu_ms, bytes};
  };
  return rc::gen::container<std::vector<RandomEvent>>(
      400, rc::gen::apply(make, rc::gen::inRange(0, 12), rc::gen::inRange(0, 4), NumberBetween(0, 3000),
                          NumberBetween(0, kMaxCpuMs), NumberBetween(0, kMaxBytes)));
}

std::vector<JobSpec> Specs() {
  std::vector<JobSpec> specs = {Spec("a", 3, 2000, 5, 300, true), Spec("b", 2, 5000, 20, 2000),
                                Spec("c", 1, 0, 1, 0), Spec("d", 0, 700, 2, 100, true)};
  for (JobSpec& spec : specs) spec.starvation_limit = Ms(20'000);
  return specs;
}

JobSchedulerOptions SmallBudgets() {
  JobSchedulerOptions options;
  options.budget.cpu_fraction = 0.01;
  options.budget.bytes_per_second = 500;
  return options;
}

// Delivers events to a scheduler, and calls Advance() at each time that NextWakeup() returns.
class SimulatedJobs {
 public:
  void Deliver(const RandomEvent& event) {
    AdvanceTo(now_ + Ms(event.after_ms));
    if (event.kind < 5) {
      if (running_) FinishRun(event);
    } else if (event.kind < 7) {
      Execute(scheduler_.RequestRun(static_cast<JobIndex>(event.job), now_));
    } else if (event.kind < 9) {
      overloaded_ = event.kind == 7;
      Execute(scheduler_.SetOverloaded(overloaded_, now_));
    } else if (event.kind == 9 && event.job == 0 && event.after_ms > 2500) {
      draining_ = true;
      Execute(scheduler_.BeginDrain(now_));
    } else {
      Execute(scheduler_.Advance(now_));
    }
  }

  // Without a drain the total cost is bounded by the budgets plus one run that exceeds its expected cost.
  void CheckEnd() const {
    if (!draining_) {
      const JobBudgetOptions& budget = options_.budget;
      const double accrual_ms = now_.count() + budget.max_burst.count();
      RC_ASSERT(cost_.cpu.count() <= budget.cpu_fraction * accrual_ms + kMaxCpuMs + kRoundingTolerance);
      RC_ASSERT(cost_.bytes <= budget.bytes_per_second / 1000 * accrual_ms + kMaxBytes + kRoundingTolerance);
    } else if (!running_) {
      RC_ASSERT(scheduler_.drained() == (final_runs_.size() == kFinalRuns));
    }
  }

 private:
  void AdvanceTo(JobTime until) {
    while (const std::optional<JobTime> next = scheduler_.NextWakeup(now_)) {
      if (*next > until) break;
      now_ = std::max(now_, *next);
      const JobActions actions = scheduler_.Advance(now_);
      Execute(actions);
      if (actions.empty() && *next <= now_) now_ = std::min(until, now_ + Ms(0.5));
      if (now_ >= until) break;
    }
    now_ = until;
  }

  void FinishRun(const RandomEvent& event) {
    const JobIndex job = *std::exchange(running_, std::nullopt);
    const JobOutcome outcome{event.kind != 0, {Ms(event.cpu_ms), event.bytes}};
    cost_ += outcome.cost;
    Execute(scheduler_.OnJobFinished(job, outcome, now_));
  }

  void Execute(const JobActions& actions) {
    for (const JobAction& action : actions) {
      if (const auto* start = std::get_if<StartJob>(&action)) {
        ExecuteStart(*start);
      } else if (const auto* cancel = std::get_if<CancelJob>(&action)) {
        RC_ASSERT(running_ == cancel->job);
      }
    }
  }

  void ExecuteStart(const StartJob& start) {
    RC_ASSERT(!running_);
    running_ = start.job;
    RC_ASSERT(start.final_run == draining_);
    if (start.final_run) {
      RC_ASSERT(specs_[start.job].run_on_drain);
      RC_ASSERT(++final_runs_[start.job] == 1);
    } else if (overloaded_) {
      RC_ASSERT(scheduler_.StatsOf(start.job, now_).starvation_runs > 0u);
    }
  }

  const JobSchedulerOptions options_ = SmallBudgets();
  const std::vector<JobSpec> specs_ = Specs();
  JobScheduler scheduler_{options_, specs_, Ms(0)};
  JobTime now_{0};
  JobCost cost_;
  std::optional<JobIndex> running_;
  bool overloaded_ = false;
  bool draining_ = false;
  std::map<JobIndex, int> final_runs_;
};

RC_GTEST_PROP(JobSchedulerProperty, StaysWithinBudgetRunsOneJobAtATimeAndDefersJobsWhileOverloaded, ()) {
  SimulatedJobs jobs;
  for (const RandomEvent& event : *RandomEvents()) jobs.Deliver(event);
  jobs.CheckEnd();
}

}  // namespace
}  // namespace hingelink::decide
