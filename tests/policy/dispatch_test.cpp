// Tests of Dispatch: when a queued request starts, and when it is rejected instead.
#include "policy/dispatch.h"

#include <gtest/gtest.h>

#include "policy_host.h"
#include "policy_parts.h"

namespace hingelink {
namespace {

TEST(Dispatch, IdleServerStartsARequestAtOnce) {
  PolicyHost host;
  host.Arrive(1);
  EXPECT_EQ(host.starts[1], 1);
}

TEST(Dispatch, RequestIsQueuedAtTheConcurrencyLimitUntilAnExecutionFinishes) {
  PolicyHost host;
  host.FillCores();
  host.Arrive(1);
  EXPECT_EQ(host.starts[1], 0);
  EXPECT_EQ(host.rejections[1], 0);
  host.Finish(1000);
  EXPECT_EQ(host.starts[1], 1);
}

TEST(Dispatch, BusyServerRejectsRequestThatCannotMeetItsObjective) {
  PolicyHost host;
  host.FillCores();
  host.SetBusy(true);
  host.Arrive(1);
  host.AdvanceTo(host.now + 980);  // The objective can no longer be met; a late answer has no weight.
  host.Finish(1000);
  EXPECT_EQ(host.starts[1], 0);
  EXPECT_EQ(host.rejections[1], 1);
}

TEST(Dispatch, IdleServerStartsRequestThatCannotMeetItsObjective) {
  PolicyHost host;
  host.FillCores();
  host.SetBusy(false);
  host.Arrive(1);
  host.AdvanceTo(host.now + 980);
  host.Finish(1000);
  EXPECT_EQ(host.starts[1], 1);
}

TEST(Dispatch, BusyServerRejectsRequestThatCannotMeetItsRemainingWait) {
  Settings settings = TestSettings();
  settings.callers_send_remaining_wait = true;
  settings.classes[kRead].late_weight_fraction = 0.5;
  PolicyHost host(settings);
  host.FillCores();
  host.SetBusy(true);
  Arrival arrival = host.MakeArrival(1);
  arrival.remaining_wait_ms = 300;
  host.Step({arrival});
  host.AdvanceTo(host.now + 280);
  host.Finish(1000);
  EXPECT_EQ(host.starts[1], 0);
  EXPECT_EQ(host.rejections[1], 1);
}

TEST(Dispatch, BusyServerRejectsLateRequestDespiteItsLateWeight) {
  Settings settings = TestSettings();
  settings.classes[kRead].late_weight_fraction = 0.2;
  for (const bool busy : {false, true}) {
    PolicyHost host(settings);
    host.FillCores();
    host.SetBusy(busy);
    host.Arrive(1);
    host.AdvanceTo(host.now + 980);
    host.Finish(1000);
    EXPECT_EQ(host.starts[1], busy ? 0 : 1);
  }
}

TEST(Dispatch, RequestsThatCannotMeetTheirObjectiveAreRejectedInEveryLane) {
  Settings settings = TestSettings();
  settings.cores = 1;
  PolicyHost host(settings);
  host.runnable = 4;
  host.Arrive(1000);
  Arrival first = host.MakeArrival(1);
  Arrival other = host.MakeArrival(2, kFind);
  host.Step({first, other});
  EXPECT_EQ(host.rejections[1] + host.rejections[2], 0);
  host.SetBusy(true);
  host.AdvanceTo(host.now + 50);
  EXPECT_EQ(host.starts[1] + host.starts[2], 0);
  EXPECT_EQ(host.rejections[1], 1);
  EXPECT_EQ(host.rejections[2], 1);
}

TEST(Dispatch, StartsTheEarliestObjectiveFirst) {
  PolicyParts parts;
  parts.admission.Enqueue(1, parts.Open(1, kRead, 3000));
  parts.admission.Enqueue(2, parts.Open(2, kFind, 2000));
  parts.dispatch.StartQueued(0);
  ASSERT_EQ(parts.Emitted<Start>().size(), 2u);
  EXPECT_EQ(parts.Emitted<Start>()[0].id, 2u);
  EXPECT_EQ(parts.Emitted<Start>()[1].id, 1u);
}

TEST(Dispatch, StartsNoMoreThanTheConcurrencyLimit) {
  PolicyParts parts;
  for (RequestId id = 1; id <= 3; ++id) parts.admission.Enqueue(id, parts.Open(id, kRead));
  parts.dispatch.StartQueued(0);
  EXPECT_EQ(parts.Emitted<Start>().size(), 2u);
  EXPECT_EQ(parts.totals.running(), 2);
}

TEST(Dispatch, StartsNothingWithoutMemoryForTheExecution) {
  Settings settings = TestSettings();
  settings.memory_kb = 30;
  PolicyParts parts(settings);
  parts.admission.Enqueue(1, parts.Open(1, kRead));  // Needs 40 KB while it runs.
  parts.dispatch.StartQueued(0);
  EXPECT_TRUE(parts.Emitted<Start>().empty());
}

}  // namespace
}  // namespace hingelink
