// Tests of StallDetector: executions that make no progress.
#include "policy/stall_detector.h"

#include <gtest/gtest.h>

#include "policy_host.h"

namespace hingelink {
namespace {

TEST(StallDetector, TwoLongExecutionsOnTwoCoresAreNoStall) {
  PolicyHost host;
  host.runnable = 4;
  for (RequestId id = 10; id < 110; ++id) {
    host.Arrive(id);
    host.Finish(id);
    host.Arrive(id + 1000, kFind);
    host.Finish(id + 1000);
  }
  host.FillCores();
  host.AdvanceTo(host.now + 290);
  host.Arrive(1);
  EXPECT_TRUE(host.healthy);
  EXPECT_EQ(host.rejections[1], 0);
}

TEST(StallDetector, ShortInterruptionOfShortExecutionsIsNoStall) {
  Settings settings = TestSettings();
  settings.classes.resize(1);
  PolicyHost host(settings);
  host.runnable = 4;
  for (RequestId id = 10; id < 60; ++id) {
    host.Arrive(id);
    host.Finish(id, Outcome::kOk, 5);
  }
  host.FillCores();
  host.AdvanceTo(host.now + 90);
  EXPECT_TRUE(host.healthy);
  host.Arrive(1);
  EXPECT_EQ(host.rejections[1], 0);
  host.AdvanceTo(host.now + 60);
  EXPECT_FALSE(host.healthy);
}

TEST(StallDetector, ReportsNoStallBeforeEnoughExecutionsFinished) {
  PolicyHost host;
  host.runnable = 4;
  for (RequestId id = 10; id < 20; ++id) {
    host.Arrive(id);
    host.Finish(id, Outcome::kOk, 30);
  }
  host.FillCores();
  host.AdvanceTo(host.now + 700);
  EXPECT_TRUE(host.healthy);
}

TEST(StallDetector, StalledServerRejectsAndIsUnhealthyUntilAnExecutionFinishes) {
  PolicyHost host;
  host.runnable = 4;
  for (RequestId id = 10; id < 60; ++id) {
    host.Arrive(id);
    host.Finish(id);
  }
  host.FillCores();
  host.Arrive(1);
  EXPECT_EQ(host.rejections[1], 0);
  host.AdvanceTo(host.now + 900);
  EXPECT_EQ(host.rejections[1], 1);
  EXPECT_FALSE(host.healthy);
  host.Arrive(2);
  EXPECT_EQ(host.rejections[2], 1);
  host.Finish(1000);
  EXPECT_TRUE(host.healthy);
  host.Arrive(3);
  EXPECT_EQ(host.starts[3], 1);
}

using Change = policy::StallDetector::Change;

// Returns a detector after `count` executions that finished at the time 0.
policy::StallDetector DetectorAfterFinishes(const Settings& settings, int count) {
  policy::StallDetector detector(settings);
  for (int i = 0; i < count; ++i) detector.OnFinished(0);
  return detector;
}

TEST(StallDetector, ReportsAStallAfterEightMissedFinishes) {
  const Settings settings = TestSettings();
  policy::StallDetector detector = DetectorAfterFinishes(settings, 34);
  // Two executions of 100 ms each: a finish every 50 ms.
  EXPECT_EQ(detector.Update(400, 2, 100), Change::kNone);
  EXPECT_EQ(detector.Update(401, 2, 100), Change::kStalled);
  EXPECT_TRUE(detector.is_stalled());
  EXPECT_EQ(detector.Update(402, 2, 100), Change::kNone);
}

TEST(StallDetector, RecoversWithTheNextFinish) {
  const Settings settings = TestSettings();
  policy::StallDetector detector = DetectorAfterFinishes(settings, 34);
  ASSERT_EQ(detector.Update(401, 2, 100), Change::kStalled);
  detector.OnFinished(402);
  EXPECT_EQ(detector.Update(402, 2, 100), Change::kRecovered);
  EXPECT_FALSE(detector.is_stalled());
}

TEST(StallDetector, FreeCoreCountsAsProgress) {
  const Settings settings = TestSettings();
  policy::StallDetector detector = DetectorAfterFinishes(settings, 34);
  EXPECT_EQ(detector.Update(10000, 1, 100), Change::kNone);
  EXPECT_EQ(detector.Update(10001, 2, 100), Change::kNone);
}

TEST(StallDetector, ReportsNoStallBeforeThirtyFourFinishes) {
  const Settings settings = TestSettings();
  policy::StallDetector detector = DetectorAfterFinishes(settings, 33);
  EXPECT_EQ(detector.Update(10000, 2, 100), Change::kNone);
}

TEST(StallDetector, ReportsNoStallWithinAHundredMs) {
  const Settings settings = TestSettings();
  policy::StallDetector detector = DetectorAfterFinishes(settings, 34);
  EXPECT_EQ(detector.Update(100, 2, 1), Change::kNone);
  EXPECT_EQ(detector.Update(101, 2, 1), Change::kStalled);
}

}  // namespace
}  // namespace hingelink
