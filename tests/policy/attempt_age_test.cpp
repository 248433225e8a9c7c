// Tests of the age of an attempt that is estimated from the remaining wait of its caller.
#include "policy/attempt_age.h"

#include <gtest/gtest.h>

#include "policy_host.h"

namespace hingelink {
namespace {

using policy::AttemptAgeEstimator;

TEST(AttemptAge, AttemptWithUnusualRemainingWaitStartsLast) {
  Settings settings = TestSettings();
  settings.callers_send_remaining_wait = true;
  PolicyHost host(settings);
  host.runnable = 4;
  const auto arrive = [&](RequestId id, double remaining_wait_ms) {
    Arrival arrival = host.MakeArrival(id);
    arrival.remaining_wait_ms = remaining_wait_ms;
    host.Step({arrival});
  };
  for (RequestId id = 10; id < 110; ++id) {
    arrive(id, id % 2 == 0 ? 4000 : 1600);  // Two frequent waits: the deadline and 0.4 of it.
    host.Finish(id);
  }
  host.FillCores();
  arrive(1, 2500);  // Its first attempt was 1,500 ms ago.
  arrive(2, 1600);
  host.Finish(1000);
  EXPECT_EQ(host.starts[1], 0);
  EXPECT_EQ(host.starts[2], 1);
}

TEST(AttemptAge, AgeIsZeroForAFrequentRemainingWait) {
  AttemptAgeEstimator estimator;
  for (int i = 0; i < 100; ++i) EXPECT_EQ(estimator.EstimateAge(0.5), 0);
}

TEST(AttemptAge, AgeIsDeadlineMinusARareRemainingWait) {
  AttemptAgeEstimator estimator;
  for (int i = 0; i < 100; ++i) static_cast<void>(estimator.EstimateAge(1.0));
  EXPECT_DOUBLE_EQ(estimator.EstimateAge(0.25), 0.75);
}

TEST(AttemptAge, AgeIsZeroBeforeEnoughArrivals) {
  AttemptAgeEstimator estimator;
  EXPECT_EQ(estimator.EstimateAge(0.25), 0);
}

}  // namespace
}  // namespace hingelink
