// Tests of TenantQuotas: requests above the quota of their tenant.
#include "policy/tenant_quotas.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <variant>

#include "policy_host.h"

namespace hingelink {
namespace {

// On one server of a large fleet, a small tenant sends a request only every few seconds, so its bucket is
// often empty.
TEST(TenantQuotas, TenantBelowItsTrafficFractionIsNotOverItsQuota) {
  Settings settings = TwoTenantSettings();
  PolicyHost host(settings);
  host.runnable = 4;
  const auto arrive = [&](RequestId id, int tenant) {
    Arrival arrival = host.MakeArrival(id);
    arrival.tenant = tenant;
    host.Step({arrival});
  };
  RequestId id = 10;
  for (int i = 0; i < 100; ++i) {
    arrive(++id, i % 4 == 0 ? 1 : 0);
    host.Finish(id);
    host.AdvanceTo(host.now + 100);
  }
  host.FillCores();
  arrive(1, 0);
  arrive(2, 1);
  arrive(3, 1);
  host.Finish(1000);
  host.Finish(1001);
  EXPECT_EQ(host.starts[2] + host.starts[3], 2);
  EXPECT_EQ(host.starts[1], 0);
}

TEST(TenantQuotas, BusyServerRejectsRequestOverQuota) {
  Settings settings = TwoTenantSettings();
  PolicyHost host(settings);
  host.SetBusy(true);
  for (RequestId id = 10; id < 80; ++id) {
    host.Arrive(id);
    host.Finish(id);
  }
  host.Arrive(1);
  EXPECT_EQ(host.starts[1], 0);
  EXPECT_EQ(host.rejections[1], 1);
  host.SetBusy(false);
  host.Arrive(2);
  EXPECT_EQ(host.starts[2], 1);
}

// A caller applies Retry-After to the requests of all its tenants.
TEST(TenantQuotas, RejectionOverQuotaAdvisesAMinimalRetryAfter) {
  const auto longest_retry_after = [](double quota) {
    Settings settings = TwoTenantSettings();
    settings.tenants = {{"a", 0.5, quota}, {"b", 0.5, quota}};
    PolicyHost host(settings);
    host.runnable = 4;
    host.FillCores();
    double longest = 0;
    for (RequestId id = 10; id < 80; ++id) {
      for (const Action& action : host.Step({host.MakeArrival(id)})) {
        const auto* reject = std::get_if<Reject>(&action);
        if (reject == nullptr || id < 40) continue;  // The first requests are within the tolerated deviation.
        EXPECT_GT(reject->retry_after_ms, 0);
        longest = std::max(longest, reject->retry_after_ms);
      }
    }
    return longest;
  };
  EXPECT_GT(longest_retry_after(1e6), 50);
  EXPECT_LE(longest_retry_after(0.001), 1);
}

TEST(TenantQuotas, RejectionOverQuotaSetsNoOtherServer) {
  Settings settings = TwoTenantSettings();
  PolicyHost host(settings);
  host.runnable = 4;
  host.FillCores();
  int advised = 0;
  int rejected = 0;
  for (RequestId id = 10; id < 80; ++id) {
    for (const Action& action : host.Step({host.MakeArrival(id)})) {
      if (const auto* reject = std::get_if<Reject>(&action)) {
        ++rejected;
        advised += reject->no_other_server;
      }
    }
  }
  EXPECT_GE(rejected, 50);
  EXPECT_GE(advised, rejected - 20);
}

TEST(TenantQuotas, QueuedRequestOverQuotaIsRejectedWhenTheServerBecomesBusy) {
  Settings settings = TwoTenantSettings();
  settings.classes[kRead].latency_objective_ms = 3900;
  PolicyHost host(settings);
  host.runnable = 4;
  for (RequestId id = 10; id < 32; ++id) {
    host.Arrive(id);
    host.Finish(id);
  }
  host.FillCores();
  host.Arrive(1);
  Arrival small = host.MakeArrival(2);
  small.tenant = 1;
  host.Step({small});
  host.SetBusy(true);
  EXPECT_EQ(host.rejections[2], 0);
  EXPECT_EQ(host.rejections[1], 1);
}

// One tenant that may have a tenth of the traffic and one request a second on this server.
Settings SmallQuotaSettings() {
  Settings settings = TestSettings();
  settings.tenants = {{"small", 0.1, 0.8}};
  settings.over_quota_weight_fraction = 0.05;
  return settings;
}

int CountOverQuota(policy::TenantQuotas& quotas, int arrivals, bool is_retry, double interval_ms) {
  int over = 0;
  for (int i = 0; i < arrivals; ++i) over += quotas.IsOverQuota({.tenant = 0}, is_retry, i * interval_ms);
  return over;
}

TEST(TenantQuotas, BucketHoldsTwoSecondsOfTheQuota) {
  const Settings settings = SmallQuotaSettings();
  policy::TenantQuotas quotas(settings);
  quotas.Reset();
  EXPECT_EQ(CountOverQuota(quotas, 2, false, 0), 0);
  EXPECT_GT(CountOverQuota(quotas, 50, false, 0), 40);
}

TEST(TenantQuotas, ArrivalsAtTheQuotaRateAreNotOverQuota) {
  const Settings settings = SmallQuotaSettings();
  policy::TenantQuotas quotas(settings);
  quotas.Reset();
  EXPECT_EQ(CountOverQuota(quotas, 50, false, 1001), 0);
}

TEST(TenantQuotas, RetriesTakeNoTokens) {
  const Settings settings = SmallQuotaSettings();
  policy::TenantQuotas quotas(settings);
  quotas.Reset();
  ASSERT_GT(CountOverQuota(quotas, 20, false, 0), 0);
  const double refilled_at = 2001;
  for (int i = 0; i < 50; ++i) EXPECT_FALSE(quotas.IsOverQuota({.tenant = 0}, true, refilled_at));
  EXPECT_FALSE(quotas.IsOverQuota({.tenant = 0}, false, refilled_at));
}

TEST(TenantQuotas, NoRequestIsOverQuotaIfOverQuotaWeightIsFull) {
  Settings settings = SmallQuotaSettings();
  settings.over_quota_weight_fraction = 1;
  policy::TenantQuotas quotas(settings);
  quotas.Reset();
  EXPECT_EQ(CountOverQuota(quotas, 50, false, 0), 0);
}

TEST(TenantQuotas, UnknownTenantHasNoQuota) {
  const Settings settings = SmallQuotaSettings();
  policy::TenantQuotas quotas(settings);
  quotas.Reset();
  for (int i = 0; i < 50; ++i) EXPECT_FALSE(quotas.IsOverQuota({.tenant = 1}, false, 0));
}

}  // namespace
}  // namespace hingelink
