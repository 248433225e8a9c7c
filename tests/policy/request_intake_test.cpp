// Tests of RequestIntake: times, size and priority that are derived from an arrival.
#include "policy/request_intake.h"

#include <gtest/gtest.h>

#include "policy_host.h"
#include "policy_parts.h"

namespace hingelink {
namespace {

using policy::OpenRequest;

TEST(RequestIntake, FirstAttemptsStartBeforeRetriesInARetryStorm) {
  for (const bool retry_storm : {false, true}) {
    PolicyHost host;
    for (RequestId id = 10; id < 210; ++id) {
      Arrival arrival = host.MakeArrival(id);
      arrival.is_retry = retry_storm && id % 2 == 0;
      host.Step({arrival});
      host.Finish(id, Outcome::kOk, 50);
    }
    host.SetBusy(true);
    host.FillCores();
    Arrival old = host.MakeArrival(1);
    old.is_retry = true;
    host.Step({old});
    host.now += 2 * kBatchIntervalMs;
    host.Arrive(2);
    host.Finish(1000, Outcome::kOk, 50);
    EXPECT_EQ(host.starts[1], retry_storm ? 0 : 1);
    EXPECT_EQ(host.starts[2], retry_storm ? 1 : 0);
  }
}

TEST(RequestIntake, ExpectedWorkScalesTheRequiredTimeOfARequest) {
  for (const double expected_work_ms : {0.0, 20.0, 100.0, 300.0}) {
    PolicyHost host;
    for (RequestId id = 10; id < 110; ++id) {
      Arrival arrival = host.MakeArrival(id);
      arrival.expected_work_ms = 100;
      host.Step({arrival});
      host.Finish(id, Outcome::kOk, 400);
    }
    host.FillCores();
    host.SetBusy(true);
    Arrival arrival = host.MakeArrival(1);
    arrival.read_delay_ms = 350;
    arrival.expected_work_ms = expected_work_ms;
    host.Step({arrival});
    host.Finish(1000, Outcome::kOk, 400);
    EXPECT_EQ(host.starts[1], expected_work_ms < 300 ? 1 : 0) << expected_work_ms;
    EXPECT_EQ(host.rejections[1], expected_work_ms < 300 ? 0 : 1) << expected_work_ms;
  }
}

TEST(RequestIntake, ExcessiveExpectedWorkCausesNoRejection) {
  Settings settings = TestSettings();
  settings.cores = 20;
  settings.memory_kb = 1e6;
  PolicyHost host(settings);
  for (RequestId id = 10; id < 110; ++id) {
    Arrival arrival = host.MakeArrival(id);
    arrival.expected_work_ms = 100;
    host.Step({arrival});
    host.Finish(id, Outcome::kOk, 50);
  }
  for (RequestId id = 200; id < 220; ++id) host.Arrive(id);
  Arrival arrival = host.MakeArrival(1);
  arrival.expected_work_ms = 1e9;
  host.Step({arrival});
  host.Arrive(2);
  EXPECT_EQ(host.rejections[1] + host.rejections[2], 0);
}

TEST(RequestIntake, RemainingWaitIsCappedAtTheDeadline) {
  Settings settings = TestSettings();
  settings.callers_send_remaining_wait = true;
  PolicyHost host(settings);
  host.runnable = 4;
  host.FillCores();
  Arrival arrival = host.MakeArrival(1);
  arrival.remaining_wait_ms = 86'400'000;
  host.Step({arrival});
  EXPECT_EQ(host.rejections[1], 0);
  host.AdvanceTo(host.now + 4000);
  EXPECT_EQ(host.rejections[1], 1);
}

TEST(RequestIntake, ArrivalWithoutIdOrOfAnUnknownClassIsIgnored) {
  PolicyParts parts;
  parts.intake.OnArrival({.id = 0}, 0, {});
  parts.intake.OnArrival({.id = 1, .request_class = 99}, 0, {});
  EXPECT_EQ(parts.requests.size(), 0u);
}

TEST(RequestIntake, ArrivalWithAnIdInUseIsIgnored) {
  PolicyParts parts;
  parts.intake.OnArrival({.id = 1, .reserved_kb = 10}, 0, {});
  const Load load = parts.totals.Current();
  parts.intake.OnArrival({.id = 1, .reserved_kb = 10}, 0, {});
  EXPECT_EQ(parts.totals.Current(), load);
}

TEST(RequestIntake, TimesAreCountedFromTheArrivalAtTheMachine) {
  PolicyParts parts;
  parts.intake.OnArrival({.id = 1, .reserved_kb = 10, .read_delay_ms = 200}, 1000, {});
  const OpenRequest& request = parts.requests.Get(1);
  EXPECT_EQ(request.arrived_at, 800);
  EXPECT_EQ(request.objective, 1800);
  EXPECT_EQ(request.deadline, 4800);
}

TEST(RequestIntake, ObjectiveGrowsWithTheExpectedWork) {
  Settings settings = TestSettings();
  settings.classes[kRead].latency_objective_work_factor = 3;
  PolicyParts parts(settings);
  parts.intake.OnArrival({.id = 1, .reserved_kb = 10, .expected_work_ms = 100}, 0, {});
  EXPECT_EQ(parts.requests.Get(1).objective, 1300);
}

}  // namespace
}  // namespace hingelink
