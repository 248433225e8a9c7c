// Tests of the drain before the process ends.
#include "policy/drain.h"

#include <gtest/gtest.h>

#include "policy_host.h"

namespace hingelink {
namespace {

TEST(Drain, DrainingServerIsUnhealthyAndRejectsArrivalsAfterTheGracePeriod) {
  PolicyHost host;
  host.Step({DrainNotice{3000}});
  EXPECT_FALSE(host.healthy);
  host.Arrive(1);
  EXPECT_EQ(host.starts[1], 1);
  host.Finish(1);
  host.AdvanceTo(host.now + 501);
  host.Arrive(2);
  EXPECT_EQ(host.starts[2], 0);
  EXPECT_EQ(host.rejections[2], 1);
}

TEST(Drain, ArrivalWithinTheGracePeriodStartsIfReadLater) {
  PolicyHost host;
  host.Step({DrainNotice{3000}});
  host.AdvanceTo(host.now + 600);
  Arrival arrival = host.MakeArrival(1);
  arrival.read_delay_ms = 200;
  host.Step({arrival});
  EXPECT_EQ(host.starts[1], 1);
}

TEST(Drain, AllRequestsAreAnsweredBeforeTheProcessIsKilled) {
  PolicyHost host;
  host.FillCores();
  host.Arrive(1);
  host.Arrive(2, kPay);
  host.Step({DrainNotice{1500}});
  host.AdvanceTo(host.now + 1499);
  EXPECT_EQ(host.failures[1000] + host.failures[1001], 2);
  EXPECT_EQ(host.rejections[1] + host.failures[1], 1);
  EXPECT_EQ(host.rejections[2] + host.failures[2], 1);
}

TEST(Drain, AttemptOfAnExecutedKeyedRequestIsReplayedAfterTheGracePeriod) {
  PolicyHost host;
  host.Arrive(1, kPay);
  host.Finish(1);
  host.Step({DrainNotice{3000}});
  host.AdvanceTo(host.now + 600);
  host.Arrive(2, kPay, 1);
  EXPECT_EQ(host.replays[2], 1);
  EXPECT_EQ(host.rejections[2] + host.starts[2], 0);
}

TEST(Drain, WaiterAfterTheGracePeriodIsRejectedWhenTheSharedReadFails) {
  Settings settings = TestSettings();
  settings.read_cache_ttl_ms = 600;
  PolicyHost host(settings);
  Arrival first = host.MakeArrival(1);
  first.subject = 77;
  host.Step({first});
  host.Step({DrainNotice{5000}});
  host.AdvanceTo(host.now + 600);
  Arrival late = host.MakeArrival(2, kRead, 1);
  late.subject = 77;
  host.Step({late});
  host.Finish(1, Outcome::kError);
  EXPECT_EQ(host.starts[2], 0);
  EXPECT_EQ(host.rejections[2], 1);
}

TEST(Drain, KeyedWaiterAfterTheGracePeriodIsRejectedWhenTheOriginalDisconnects) {
  PolicyHost host;
  host.runnable = 4;
  host.FillCores();
  host.Arrive(1, kPay);
  host.Step({DrainNotice{5000}});
  host.AdvanceTo(host.now + 600);
  host.Arrive(2, kPay, 1);
  host.Step({CallerDisconnected{1}});
  host.Finish(1000);
  EXPECT_EQ(host.starts[2], 0);
  EXPECT_EQ(host.rejections[2], 1);
}

TEST(Drain, NoArrivalIsPastTheGracePeriodBeforeTheNotice) {
  const Settings settings = TestSettings();
  const policy::Drain drain(settings);
  EXPECT_FALSE(drain.is_draining());
  EXPECT_FALSE(drain.IsPastGrace(1e9));
  EXPECT_EQ(drain.answer_by(), policy::kForever);
}

TEST(Drain, GracePeriodStartsAtTheNotice) {
  const Settings settings = TestSettings();
  policy::Drain drain(settings);
  ASSERT_TRUE(drain.Begin(1000, 3000));
  EXPECT_FALSE(drain.IsPastGrace(1000 + settings.drain_grace_ms));
  EXPECT_TRUE(drain.IsPastGrace(1001 + settings.drain_grace_ms));
}

TEST(Drain, AnswersAreDueEightBatchesBeforeTheKill) {
  const Settings settings = TestSettings();
  policy::Drain drain(settings);
  ASSERT_TRUE(drain.Begin(1000, 3000));
  EXPECT_EQ(drain.answer_by(), 4000 - 8 * kBatchIntervalMs);
}

TEST(Drain, LaterNoticesAreIgnored) {
  const Settings settings = TestSettings();
  policy::Drain drain(settings);
  ASSERT_TRUE(drain.Begin(1000, 3000));
  const double answer_by = drain.answer_by();
  EXPECT_FALSE(drain.Begin(2000, 9000));
  EXPECT_EQ(drain.answer_by(), answer_by);
}

}  // namespace
}  // namespace hingelink
