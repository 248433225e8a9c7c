// Tests of ConcurrencyLimiter: how many executions may run at once.
#include "policy/concurrency_limiter.h"

#include <gtest/gtest.h>

#include "policy_host.h"

namespace hingelink {
namespace {

using policy::ConcurrencyLimiter;

TEST(ConcurrencyLimiter, LimitRisesWhileCoresAreIdleUpToTheSustainableLimit) {
  Settings settings = TestSettings();
  settings.memory_kb = 1e6;
  for (const bool warming_up : {false, true}) {
    settings.warming_up = warming_up;
    PolicyHost host(settings);
    host.runnable = 0;
    RequestId id = 1;
    int running = 0;
    for (int i = 0; i < 200; ++i) {
      host.Step({host.MakeArrival(id++), host.MakeArrival(id++)});
      host.AdvanceTo(host.now + 25);
    }
    for (const auto& [unused, count] : host.starts) running += count;
    // Limit while warming up: 2 cores x (1 + 4 x 0.25); after that: 2 cores x 5.
    EXPECT_LE(running, warming_up ? 4 : 10);
    EXPECT_GE(running, warming_up ? 3 : 7);
  }
}

// The number of spare runnable threads does not scale with the number of cores.
TEST(ConcurrencyLimiter, TwoCoresAlsoAllowSpareRunnableThreads) {
  PolicyHost host;
  host.runnable = 2.6;
  host.FillCores();
  host.Arrive(1);
  EXPECT_EQ(host.starts[1], 0);
  host.AdvanceTo(host.now + 500);
  EXPECT_EQ(host.starts[1], 1);
}

TEST(ConcurrencyLimiter, LimitStartsAtTheCores) {
  const Settings settings = TestSettings();
  ConcurrencyLimiter limiter(settings);
  limiter.Begin(0);
  EXPECT_EQ(limiter.limit(), settings.cores);
  EXPECT_TRUE(limiter.CanStart(1));
  EXPECT_FALSE(limiter.CanStart(2));
}

TEST(ConcurrencyLimiter, LimitRisesByATenthOfTheError) {
  const Settings settings = TestSettings();
  ConcurrencyLimiter limiter(settings);
  limiter.Begin(0);
  limiter.OnSample(25, {.cpu_busy = 0.5, .runnable = 1}, 2, true);  // Error of 3: target of 2 cores + 2.
  EXPECT_DOUBLE_EQ(limiter.limit(), 2.3);
}

TEST(ConcurrencyLimiter, LimitRisesOnlyWhileItBindsAndRequestsWait) {
  const Settings settings = TestSettings();
  ConcurrencyLimiter limiter(settings);
  limiter.Begin(0);
  limiter.OnSample(25, {.cpu_busy = 0.5, .runnable = 1}, 2, false);
  EXPECT_EQ(limiter.limit(), 2);
  limiter.OnSample(50, {.cpu_busy = 0.5, .runnable = 1}, 0, true);
  EXPECT_EQ(limiter.limit(), 2);
}

TEST(ConcurrencyLimiter, LimitNeverFallsBelowTheCores) {
  const Settings settings = TestSettings();
  ConcurrencyLimiter limiter(settings);
  limiter.Begin(0);
  limiter.OnSample(25, {.cpu_busy = 1, .runnable = 0}, 2, true);
  limiter.OnSample(50, {.cpu_busy = 1, .runnable = 6}, 2, false);
  EXPECT_DOUBLE_EQ(limiter.limit(), 2.2);
  limiter.OnSample(75, {.cpu_busy = 1, .runnable = 50}, 2, false);
  EXPECT_EQ(limiter.limit(), 2);
}

TEST(ConcurrencyLimiter, WarmUpLowersTheSustainableLimit) {
  Settings settings = TestSettings();
  settings.warming_up = true;
  ConcurrencyLimiter limiter(settings);
  limiter.Begin(0);
  for (int i = 0; i < 100; ++i) limiter.OnSample(25, {.cpu_busy = 0, .runnable = 0}, 100, true);
  EXPECT_EQ(limiter.limit(), 4);  // Two cores x (1 + 4 x 0.25).
  const double warm_at = settings.warm_up_ms;
  for (int i = 0; i < 100; ++i) limiter.OnSample(warm_at, {.cpu_busy = 0, .runnable = 0}, 100, true);
  EXPECT_EQ(limiter.limit(), 10);  // Two cores x 5.
}

}  // namespace
}  // namespace hingelink
