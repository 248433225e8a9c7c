// Tests of LoadTotals: sums over the requests in flight, and the limits on memory.
#include "policy/load_totals.h"

#include <gtest/gtest.h>

#include "policy_host.h"

namespace hingelink {
namespace {

using policy::LoadTotals;
using policy::OpenRequest;

TEST(LoadTotals, RunningMemoryStaysBelowTheWatermark) {
  Settings settings = TestSettings();
  settings.cores = 50;
  settings.memory_kb = 400;
  PolicyHost host(settings);
  for (RequestId id = 1; id <= 20; ++id) host.Arrive(id);
  int running = 0;
  for (const auto& [id, count] : host.starts) running += count;
  EXPECT_GT(running, 3);
  EXPECT_LE(running * 40, 400);
}

TEST(LoadTotals, SiblingExecutionsAndMemoryCountTowardsTheLimits) {
  PolicyHost host;
  host.Step({SiblingLoad{{.running = 2, .memory_kb = 0, .queued_work_ms = 0}}});
  host.Arrive(1);
  EXPECT_EQ(host.starts[1], 0);
  host.Step({SiblingLoad{{.running = 1, .memory_kb = 9990, .queued_work_ms = 0}}});
  EXPECT_EQ(host.starts[1], 0);
  host.Step({SiblingLoad{}});
  EXPECT_EQ(host.starts[1], 1);
}

OpenRequest RequestOf(double reserved_kb) {
  OpenRequest request;
  request.reserved_kb = reserved_kb;
  request.core_time_ms = 50;
  return request;
}

TEST(LoadTotals, RunningRequestTakesAMultipleOfItsQueuedMemory) {
  const Settings settings = TestSettings();
  LoadTotals totals(settings);
  const OpenRequest request = RequestOf(10);
  totals.ReserveMemory(request);
  totals.AddQueuedWork(request);
  EXPECT_EQ(totals.Current(), (Load{.running = 0, .memory_kb = 10, .queued_work_ms = 50}));
  totals.MoveToRunning(request);
  EXPECT_EQ(totals.Current(), (Load{.running = 1, .memory_kb = 40, .queued_work_ms = 0}));
  totals.FinishRunning(request);
  EXPECT_EQ(totals.Current(), Load{});
}

TEST(LoadTotals, ExecutionInAnUpstreamCallIsNotOnTheCores) {
  const Settings settings = TestSettings();
  LoadTotals totals(settings);
  totals.MoveToRunning(RequestOf(10));
  totals.EnterCall();
  EXPECT_EQ(totals.running(), 0);
  totals.LeaveCall();
  EXPECT_EQ(totals.running(), 1);
}

TEST(LoadTotals, QueuedRequestsMayTakeAQuarterOfTheMemory) {
  const Settings settings = TestSettings();
  LoadTotals totals(settings);
  totals.ReserveMemory(RequestOf(2500));
  EXPECT_FALSE(totals.IsQueueMemoryFull());
  totals.ReserveMemory(RequestOf(1));
  EXPECT_TRUE(totals.IsQueueMemoryFull());
}

TEST(LoadTotals, ExecutionStartsOnlyIfItsMemoryFitsBelowTheWatermark) {
  const Settings settings = TestSettings();
  LoadTotals totals(settings);
  EXPECT_TRUE(totals.CanStart(RequestOf(3000)));
  EXPECT_FALSE(totals.CanStart(RequestOf(3100)));  // Grows by 9,300 of 9,200 KB.
}

TEST(LoadTotals, KeysOfKeyedClassesMayTakeHalfOfTheMemoryAndOthersAQuarter) {
  Settings settings = TestSettings();
  settings.idempotency_key_kb = 1000;
  LoadTotals totals(settings);
  for (int i = 0; i < 2; ++i) totals.RetainKey();
  EXPECT_TRUE(totals.CanRetainKey(true));
  EXPECT_FALSE(totals.CanRetainKey(false));
  for (int i = 0; i < 3; ++i) totals.RetainKey();
  EXPECT_FALSE(totals.CanRetainKey(true));
}

}  // namespace
}  // namespace hingelink
