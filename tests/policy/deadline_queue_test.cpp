// Tests of DeadlineQueue: every request is answered before its deadline.
#include "policy/deadline_queue.h"

#include <gtest/gtest.h>

#include "policy_host.h"

namespace hingelink {
namespace {

using policy::DeadlineQueue;
using policy::OpenRequest;

TEST(DeadlineQueue, QueuedRequestIsRejectedBeforeItsDeadline) {
  PolicyHost host;
  host.runnable = 4;
  host.FillCores();
  host.Arrive(1);
  host.AdvanceTo(host.now + 3999);
  EXPECT_EQ(host.rejections[1], 1);
}

TEST(DeadlineQueue, RunningRequestIsFailedOnceBeforeItsDeadline) {
  PolicyHost host;
  host.Arrive(1);
  host.AdvanceTo(host.now + 3999);
  EXPECT_EQ(host.failures[1], 1);
  EXPECT_EQ(host.rejections[1], 0);
  host.AdvanceTo(host.now + 4000);
  EXPECT_EQ(host.failures[1], 1);
}

TEST(DeadlineQueue, ReadDelayCountsTowardsTheDeadline) {
  PolicyHost host;
  Arrival arrival = host.MakeArrival(1);
  arrival.read_delay_ms = 3000;
  host.Step({arrival});
  host.AdvanceTo(host.now + 999);
  EXPECT_EQ(host.failures[1], 1);
}

TEST(DeadlineQueue, ReplayedAttemptIsFailedBeforeItsDeadline) {
  PolicyHost host;
  host.Arrive(1, kPay);
  host.Arrive(2, kPay, 1);
  EXPECT_EQ(host.replays[2], 1);
  host.AdvanceTo(host.now + 3999);
  EXPECT_EQ(host.failures[2], 1);
}

TEST(DeadlineQueue, AnswerIsEmittedTwoBatchesBeforeTheDeadline) {
  const Settings settings = TestSettings();
  const DeadlineQueue deadlines(settings);
  OpenRequest request;
  request.deadline = 1000;
  EXPECT_EQ(deadlines.AnswerBy(request), 1000 - 2 * kBatchIntervalMs);
}

TEST(DeadlineQueue, RequestsExpireInOrderOfTime) {
  const Settings settings = TestSettings();
  DeadlineQueue deadlines(settings);
  OpenRequest first;
  OpenRequest second;
  deadlines.Schedule(2, second, 200);
  deadlines.Schedule(1, first, 100);
  EXPECT_EQ(deadlines.next(), 100);
  EXPECT_FALSE(deadlines.PopExpired(99));
  EXPECT_EQ(deadlines.PopExpired(200), 1u);
  EXPECT_EQ(deadlines.PopExpired(200), 2u);
  EXPECT_FALSE(deadlines.PopExpired(200));
  EXPECT_EQ(deadlines.next(), policy::kForever);
}

TEST(DeadlineQueue, LaterScheduleReplacesTheEarlierOne) {
  const Settings settings = TestSettings();
  DeadlineQueue deadlines(settings);
  OpenRequest request;
  deadlines.Schedule(1, request, 100);
  deadlines.Schedule(1, request, 300);
  EXPECT_FALSE(deadlines.PopExpired(299));
  EXPECT_EQ(deadlines.PopExpired(300), 1u);
}

TEST(DeadlineQueue, CancelledRequestDoesNotExpire) {
  const Settings settings = TestSettings();
  DeadlineQueue deadlines(settings);
  OpenRequest request;
  deadlines.Schedule(1, request, 100);
  deadlines.Cancel(1, request);
  EXPECT_FALSE(deadlines.PopExpired(100));
}

}  // namespace
}  // namespace hingelink
