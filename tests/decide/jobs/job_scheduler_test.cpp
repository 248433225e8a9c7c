// Background jobs: who runs when, what they may take, and the end at a drain.
#include "decide/jobs/job_scheduler.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <map>

namespace hingelink::decide {
namespace {

JobTime Ms(double ms) { return JobTime(ms); }

JobSpec Spec(const char* name, int priority, double period, double cpu = 1, double bytes = 0,
             bool final_run = false) {
  JobSpec spec;
  spec.name = name;
  spec.priority = priority;
  spec.period = Ms(period);
  spec.expected_cpu = Ms(cpu);
  spec.expected_bytes = bytes;
  spec.run_on_drain = final_run;
  return spec;
}
JobActions Starts(JobIndex job, bool final_run = false) { return {StartJob{job, final_run}}; }

TEST(JobScheduler, RunsEachAtItsTimeAndOneAtATime) {
  JobScheduler jobs({}, {Spec("snapshot", 1, 1000), Spec("clean", 0, 1000)}, Ms(0));
  EXPECT_EQ(jobs.NextWakeup(Ms(0)), Ms(1000));
  EXPECT_TRUE(jobs.Advance(Ms(999)).empty());
  EXPECT_EQ(jobs.Advance(Ms(1000)), Starts(0));
  EXPECT_TRUE(jobs.Advance(Ms(1001)).empty());
  EXPECT_EQ(jobs.OnJobFinished(0, true, Ms(1), 0, Ms(1010)), Starts(1));
  EXPECT_TRUE(jobs.OnJobFinished(1, true, Ms(1), 0, Ms(1020)).empty());
  EXPECT_EQ(jobs.NextWakeup(Ms(1020)), Ms(2010));
}

TEST(JobScheduler, WaitsWhileRequestsAreUnderPressureButDoesNotStarve) {
  JobScheduler jobs({}, {Spec("snapshot", 1, 1000)}, Ms(0));
  EXPECT_TRUE(jobs.SetOverloaded(true, Ms(500)).empty());
  EXPECT_TRUE(jobs.Advance(Ms(1000)).empty());
  EXPECT_EQ(jobs.NextWakeup(Ms(1000)), Ms(61'000));
  EXPECT_TRUE(jobs.Advance(Ms(60'999)).empty());
  EXPECT_EQ(jobs.Advance(Ms(61'000)), Starts(0));
  EXPECT_EQ(jobs.StatsOf(0, Ms(61'000)).starvation_runs, 1u);
  jobs.OnJobFinished(0, true, Ms(1), 0, Ms(61'010));
  // The pressure ends: what is due runs at once.
  EXPECT_TRUE(jobs.Advance(Ms(62'010)).empty());
  EXPECT_EQ(jobs.SetOverloaded(false, Ms(62'020)), Starts(0));
}

TEST(JobScheduler, AFailureRestsTwiceAsLongEachTimeAndIsDueStill) {
  JobScheduler jobs({}, {Spec("snapshot", 1, 10'000)}, Ms(0));
  jobs.Advance(Ms(10'000));
  EXPECT_TRUE(jobs.OnJobFinished(0, false, Ms(1), 0, Ms(10'000)).empty());
  EXPECT_EQ(jobs.NextWakeup(Ms(10'000)), Ms(11'000));
  EXPECT_EQ(jobs.Advance(Ms(11'000)), Starts(0));
  jobs.OnJobFinished(0, false, Ms(1), 0, Ms(11'000));
  EXPECT_EQ(jobs.NextWakeup(Ms(11'000)), Ms(13'000));
  JobTime now = Ms(13'000);
  for (int i = 0; i < 40; ++i) {  // Also not past its bound.
    EXPECT_EQ(jobs.Advance(now), Starts(0));
    jobs.OnJobFinished(0, false, Ms(1), 0, now);
    const auto next = jobs.NextWakeup(now);
    ASSERT_TRUE(next);
    EXPECT_LE(*next - now, Ms(60'000));
    now = *next;
  }
  EXPECT_EQ(jobs.Advance(now), Starts(0));
  jobs.OnJobFinished(0, true, Ms(1), 0, now);
  EXPECT_EQ(jobs.NextWakeup(now), now + Ms(10'000));
}

TEST(JobScheduler, ADrainCancelsWhatRunsAndGivesTheLastChances) {
  JobScheduler jobs(
      {}, {Spec("snapshot", 1, 1000, 1, 0, true), Spec("clean", 5, 900), Spec("log", 2, 0, 1, 0, true)},
      Ms(0));
  EXPECT_EQ(jobs.Advance(Ms(900)), Starts(1));
  EXPECT_EQ(jobs.BeginDrain(Ms(950)), JobActions{CancelJob{1}});
  EXPECT_FALSE(jobs.drained());
  EXPECT_EQ(jobs.OnJobFinished(1, false, Ms(1), 0, Ms(960)), Starts(2, true));
  EXPECT_EQ(jobs.OnJobFinished(2, true, Ms(1), 0, Ms(970)), Starts(0, true));
  EXPECT_FALSE(jobs.drained());
  // Each once, also where it fails.
  EXPECT_TRUE(jobs.OnJobFinished(0, false, Ms(1), 0, Ms(980)).empty());
  EXPECT_TRUE(jobs.drained());
  EXPECT_TRUE(jobs.RequestRun(0, Ms(990)).empty());
  EXPECT_TRUE(jobs.BeginDrain(Ms(990)).empty());
  EXPECT_EQ(jobs.NextWakeup(Ms(990)), std::nullopt);
}

TEST(JobScheduler, ASnapshotUnderWayAtADrainIsFollowedByTheLastOne) {
  JobScheduler jobs({}, {Spec("snapshot", 1, 1000, 1, 0, true)}, Ms(0));
  jobs.Advance(Ms(1000));
  EXPECT_EQ(jobs.BeginDrain(Ms(1001)), JobActions{CancelJob{0}});
  EXPECT_EQ(jobs.OnJobFinished(0, true, Ms(1), 0, Ms(1002)), Starts(0, true));
}

TEST(JobScheduler, AJobThatHangsIsReportedOnce) {
  JobScheduler jobs({}, {Spec("snapshot", 1, 1000), Spec("clean", 0, 1000)}, Ms(0));
  jobs.Advance(Ms(1000));
  EXPECT_EQ(jobs.NextWakeup(Ms(1000)), Ms(11'000));
  EXPECT_TRUE(jobs.Advance(Ms(10'999)).empty());
  EXPECT_EQ(jobs.Advance(Ms(11'000)), JobActions{ReportStuckJob{0}});
  EXPECT_TRUE(jobs.Advance(Ms(12'000)).empty());
  EXPECT_EQ(jobs.NextWakeup(Ms(12'000)), std::nullopt);
  EXPECT_EQ(jobs.OnJobFinished(0, true, Ms(1), 0, Ms(13'000)), Starts(1));
}

TEST(JobScheduler, WhatIsAskedForWhileItRunsRunsAgain) {
  JobScheduler jobs({}, {Spec("snapshot", 1, 0)}, Ms(0));
  EXPECT_EQ(jobs.NextWakeup(Ms(0)), std::nullopt);
  EXPECT_EQ(jobs.RequestRun(0, Ms(10)), Starts(0));
  EXPECT_TRUE(jobs.RequestRun(0, Ms(11)).empty());
  EXPECT_EQ(jobs.OnJobFinished(0, true, Ms(1), 0, Ms(12)), Starts(0));
  EXPECT_TRUE(jobs.OnJobFinished(0, true, Ms(1), 0, Ms(13)).empty());
}

TEST(JobScheduler, ALargeJobIsNotStarvedBySmallOnes) {
  JobSchedulerOptions options;
  options.bytes_per_second = 1000;
  JobScheduler jobs(options, {Spec("large", 1, 0, 0, 1e9), Spec("small", 0, 0, 0, 1000)}, Ms(0));
  EXPECT_EQ(jobs.RequestRun(1, Ms(0)), Starts(1));  // 5,000 were saved up.
  jobs.OnJobFinished(1, true, Ms(0), 1000, Ms(0));
  EXPECT_TRUE(jobs.RequestRun(0, Ms(0)).empty());  // Wants all that can be saved up.
  EXPECT_TRUE(jobs.RequestRun(1, Ms(500)).empty());
  EXPECT_EQ(jobs.NextWakeup(Ms(500)), Ms(1000));
  EXPECT_EQ(jobs.Advance(Ms(1000)), Starts(0));
}

// ---- Any order of events ----

struct Event {
  int kind = 0, job = 0;
  double after = 0, cpu = 0, bytes = 0;
};
std::ostream& operator<<(std::ostream& out, const Event& e) {
  return out << e.kind << '/' << e.job << '/' << e.after << '/' << e.cpu << '/' << e.bytes;
}

RC_GTEST_PROP(BackgroundProperty, KeepsItsBudgetsRunsOneAtATimeAndStarvesNobody, ()) {
  const auto number = [](double least, double most) {
    return rc::gen::map(rc::gen::inRange(0, 1001),
                        [least, most](int part) { return least + (most - least) * part / 1000; });
  };
  const auto events = *rc::gen::container<std::vector<Event>>(
      400,
      rc::gen::apply(
          [](int kind, int job, double after, double cpu, double bytes) {
            return Event{kind, job, after, cpu, bytes};
          },
          rc::gen::inRange(0, 12), rc::gen::inRange(0, 4), number(0, 3000), number(0, 30), number(0, 2000)));
  JobSchedulerOptions options;
  options.cpu_fraction = 0.01;
  options.bytes_per_second = 500;
  std::vector<JobSpec> specs = {Spec("a", 3, 2000, 5, 300, true), Spec("b", 2, 5000, 20, 2000),
                                Spec("c", 1, 0, 1, 0), Spec("d", 0, 700, 2, 100, true)};
  for (JobSpec& spec : specs) spec.starvation_limit = Ms(20'000);
  JobScheduler jobs(options, specs, Ms(0));
  JobTime now = Ms(0), began{0}, cpu{0};
  double bytes = 0;
  std::optional<JobIndex> running;
  bool pressure = false, draining = false;
  std::map<JobIndex, int> last_chances;
  JobTime drained_at = Ms(0);
  const auto take = [&](const JobActions& actions) {
    for (const JobAction& action : actions) {
      if (const auto* start = std::get_if<StartJob>(&action)) {
        RC_ASSERT(!running);
        running = start->job;
        began = now;
        RC_ASSERT(start->final_run == draining);
        if (start->final_run) {
          RC_ASSERT(specs[start->job].run_on_drain);
          RC_ASSERT(++last_chances[start->job] == 1);
        } else if (pressure) {
          // Only what has starved.
          RC_ASSERT(jobs.StatsOf(start->job, now).starvation_runs > 0u);
        }
      } else if (const auto* cancel = std::get_if<CancelJob>(&action)) {
        RC_ASSERT(running == cancel->job);
      }
    }
  };
  for (const Event& event : events) {
    // Time passes as its owner would let it: with a look at each moment that it asked for.
    const JobTime until = now + Ms(event.after);
    while (const auto next = jobs.NextWakeup(now)) {
      if (*next > until) break;
      now = std::max(now, *next);
      const JobActions actions = jobs.Advance(now);
      take(actions);
      if (actions.empty() && *next <= now) now = std::min(until, now + Ms(0.5));
      if (now >= until) break;
    }
    now = until;
    if (event.kind < 5) {
      if (!running) continue;
      const JobIndex job = *std::exchange(running, std::nullopt);
      cpu += Ms(event.cpu);
      bytes += event.bytes;
      take(jobs.OnJobFinished(job, event.kind != 0, Ms(event.cpu), event.bytes, now));
    } else if (event.kind < 7) {
      take(jobs.RequestRun(static_cast<JobIndex>(event.job), now));
    } else if (event.kind < 9) {
      pressure = event.kind == 7;
      take(jobs.SetOverloaded(pressure, now));
    } else if (event.kind == 9 && event.job == 0 && event.after > 2500) {
      if (!draining) drained_at = now;
      draining = true;
      take(jobs.BeginDrain(now));
    } else {
      take(jobs.Advance(now));
    }
  }
  // What they took is what the budgets let them have by then, and at most one run that took more than was
  // expected of it. (Last chances are outside.)
  if (!draining) {
    const double saved = options.max_burst.count();
    RC_ASSERT(cpu.count() <= options.cpu_fraction * (now.count() + saved) + 30 + 1e-6);
    RC_ASSERT(bytes <= options.bytes_per_second / 1000 * (now.count() + saved) + 2000 + 1e-6);
  } else if (!running) {
    RC_ASSERT(jobs.drained() == (last_chances.size() == 2));
  }
}

}  // namespace
}  // namespace hingelink::decide
