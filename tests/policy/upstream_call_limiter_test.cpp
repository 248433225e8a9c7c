// Tests of UpstreamCallLimiter: how many upstream calls may be in flight.
#include "policy/upstream_call_limiter.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <random>
#include <set>

#include "policy_host.h"

namespace hingelink {
namespace {

TEST(UpstreamCallLimiter, CountsCallsWhoseCallerDisconnected) {
  Settings settings = TestSettings();
  settings.cores = 20;
  settings.memory_kb = 1e6;
  PolicyHost host(settings);
  for (RequestId id = 1; id <= 12; ++id) {
    host.Arrive(id, kPay);
    host.Step({UpstreamCallRequested{id}});
  }
  const auto calls_made = [&host] {
    int total = 0;
    for (const auto& [id, count] : host.upstream_calls) total += count;
    return total;
  };
  const int before = calls_made();
  EXPECT_GE(before, 1);
  EXPECT_LE(before, 4);
  // The call continues without its caller and counts as in flight until it ends.
  host.Step({CallerDisconnected{1}});
  host.AdvanceTo(host.now + 300);
  EXPECT_EQ(calls_made(), before);
  host.Step({UpstreamCallFinished{1, Outcome::kOk, 400}});
  EXPECT_EQ(calls_made(), before + 1);
}

TEST(UpstreamCallLimiter, TimedOutCallDelaysTheNextCall) {
  Settings settings = TestSettings();
  settings.upstream_call_quota = 1.5;
  PolicyHost host(settings);
  host.Arrive(1, kPay);
  host.Arrive(2, kPay);
  host.Step({UpstreamCallRequested{1}, UpstreamCallRequested{2}});
  EXPECT_EQ(host.upstream_calls[1] + host.upstream_calls[2], 1);
  const RequestId first = host.upstream_calls[1] == 1 ? 1 : 2;
  host.Step({UpstreamCallFinished{first, Outcome::kTimeout, 50}});
  EXPECT_EQ(host.upstream_calls[1] + host.upstream_calls[2], 1);
  host.AdvanceTo(host.now + 300);
  EXPECT_EQ(host.upstream_calls[1] + host.upstream_calls[2], 2);
}

TEST(UpstreamCallLimiter, QuotaFractionStaysHighWhenCallDurationsVaryRandomly) {
  Settings settings = TestSettings();
  settings.upstream_call_quota = 20;
  settings.cores = 1000;
  settings.memory_kb = 1e6;
  PolicyHost host(settings);
  constexpr RequestId kRequests = 900;
  for (RequestId id = 1; id <= kRequests; ++id) host.Arrive(id, kPay);
  for (RequestId id = 1; id <= kRequests; ++id) host.Step({UpstreamCallRequested{id}});
  std::mt19937_64 draw(5);
  std::lognormal_distribution<double> length(std::log(30.0), 0.8);
  std::set<RequestId> done;
  double in_flight = 0;
  for (int i = 0; i < 800; ++i) {
    const auto next = std::find_if(
        host.upstream_calls.begin(), host.upstream_calls.end(),
        [&done](const auto& entry) { return entry.second == 1 && done.count(entry.first) == 0; });
    ASSERT_NE(next, host.upstream_calls.end());
    done.insert(next->first);
    host.Step({UpstreamCallFinished{next->first, Outcome::kOk, length(draw)}});
    if (i >= 200) in_flight += static_cast<double>(host.upstream_calls.size() - done.size()) / 600;
  }
  EXPECT_GT(in_flight, 11);  // The quota is 20, of which at most 14 calls are used.
}

TEST(UpstreamCallLimiter, AllowsFewerCallsInFlightWhileTheyTakeLonger) {
  Settings settings = TestSettings();
  settings.upstream_call_quota = 20;
  settings.cores = 1000;
  settings.memory_kb = 1e6;
  PolicyHost host(settings);
  constexpr RequestId kRequests = 400;
  for (RequestId id = 1; id <= kRequests; ++id) host.Arrive(id, kPay);
  for (RequestId id = 1; id <= kRequests; ++id) host.Step({UpstreamCallRequested{id}});
  std::set<RequestId> done;
  const auto in_flight = [&host, &done] { return host.upstream_calls.size() - done.size(); };
  const auto end_calls = [&](int count, double elapsed_ms) {
    for (const auto& [id, calls] : std::map<RequestId, int>(host.upstream_calls)) {
      if (calls == 1 && count > 0 && done.insert(id).second) {
        host.Step({UpstreamCallFinished{id, Outcome::kOk, elapsed_ms}});
        --count;
      }
    }
  };
  for (int i = 0; i < 20; ++i) end_calls(5, 50);
  const std::size_t quick = in_flight();
  for (int i = 0; i < 20; ++i) end_calls(5, 400);
  EXPECT_GE(quick, 12u);
  EXPECT_LE(in_flight(), 7u);
  EXPECT_GE(in_flight(), 1u);
}

TEST(UpstreamCallLimiter, StartsWithHalfOfTheQuota) {
  const Settings settings = TestSettings();  // A quota of four.
  policy::UpstreamCallLimiter limiter(settings, 1);
  limiter.BeginStep(0);
  EXPECT_TRUE(limiter.MayStart());
  limiter.OnStarted();
  EXPECT_TRUE(limiter.MayStart());
  limiter.OnStarted();
  EXPECT_FALSE(limiter.MayStart());
}

TEST(UpstreamCallLimiter, AbandonedCallCountsAsInFlightForAbandonedCallMs) {
  const Settings settings = TestSettings();
  policy::UpstreamCallLimiter limiter(settings, 1);
  limiter.BeginStep(0);
  limiter.OnAbandoned(0);
  limiter.OnAbandoned(0);
  EXPECT_FALSE(limiter.MayStart());
  limiter.BeginStep(settings.abandoned_call_ms - 1);
  EXPECT_FALSE(limiter.MayStart());
  limiter.BeginStep(settings.abandoned_call_ms);
  EXPECT_TRUE(limiter.MayStart());
}

TEST(UpstreamCallLimiter, CallsAreUnlimitedWithoutAQuota) {
  Settings settings = TestSettings();
  settings.upstream_call_quota = 0;
  policy::UpstreamCallLimiter limiter(settings, 1);
  limiter.BeginStep(0);
  for (int i = 0; i < 1000; ++i) limiter.OnStarted();
  EXPECT_TRUE(limiter.MayStart());
  EXPECT_EQ(limiter.MaxCallMs(), policy::kForever);
}

TEST(UpstreamCallLimiter, IsSaturatedAboveOneAndAHalfWaitingCallsPerAllowedCall) {
  const Settings settings = TestSettings();  // Half of a quota of four.
  const policy::UpstreamCallLimiter limiter(settings, 1);
  EXPECT_FALSE(limiter.IsSaturated(3));
  EXPECT_TRUE(limiter.IsSaturated(4));
}

}  // namespace
}  // namespace hingelink
