// Tests with extreme settings: each request is started or answered, and none more than once.
#include <gtest/gtest.h>

#include <set>
#include <utility>

#include "policy_host.h"

namespace hingelink {
namespace {

void ExpectEachRequestIsAnsweredOnce(const Settings& settings, double expected_work_ms) {
  PolicyHost host(settings);
  std::set<RequestId> at_call;
  for (RequestId id = 1; id <= 400; ++id) {
    Arrival arrival = host.MakeArrival(id, static_cast<ClassIndex>(id % 4));
    arrival.expected_work_ms = expected_work_ms;
    arrival.tenant = id % 3;
    host.Step({arrival});
    host.cpu_busy = 1;
    host.runnable = 3;
    if (id > 3 && host.starts[id - 3] == 1) {
      if (settings.classes[(id - 3) % 4].may_call_upstream) {
        host.Step({UpstreamCallRequested{id - 3}});
        if (host.upstream_calls[id - 3] == 1) at_call.insert(id - 3);
      }
      if (host.upstream_calls[id - 3] == host.fallbacks[id - 3]) host.Finish(id - 3);
    }
    host.AdvanceTo(host.now + 30);
    if (id % 4 == 0) {
      for (RequestId call : std::exchange(at_call, {})) {
        host.Step({UpstreamCallFinished{call, Outcome::kOk, 50}});
        host.Finish(call);
      }
    }
  }
  host.AdvanceTo(host.now + 20000);
  for (RequestId id = 1; id <= 400; ++id) {
    EXPECT_LE(host.starts[id], 1) << id;
    EXPECT_LE(host.rejections[id] + host.failures[id], 1) << id;
    EXPECT_GE(host.starts[id] + host.rejections[id] + host.failures[id], 1) << id;
    if (host.starts[id] == 1) {
      EXPECT_EQ(host.rejections[id], 0) << id;
    }
  }
  int starts = 0;
  for (const auto& [id, count] : host.starts) starts += count;
  EXPECT_GT(starts, 10);
}

TEST(ExtremeSettings, OneCoreWithoutGaugesAndTenantsAnswersEachRequestOnce) {
  Settings settings = TestSettings();
  settings.cores = 1;
  settings.fleet_size = 1;
  settings.callers = 1;
  settings.gauges.clear();
  settings.tenants.clear();
  settings.caller_idle_timeout_ms = 30000;
  ExpectEachRequestIsAnsweredOnce(settings, 0);
}

TEST(ExtremeSettings, UpstreamWithoutQuotaAnswersEachRequestOnce) {
  Settings settings = TestSettings();
  settings.upstream_call_quota = 0;
  ExpectEachRequestIsAnsweredOnce(settings, 0);
  settings.upstream_call_quota = 0.001;
  ExpectEachRequestIsAnsweredOnce(settings, 0);
}

TEST(ExtremeSettings, WrongExpectedWorkWithTenantsAnswersEachRequestOnce) {
  Settings settings = TestSettings();
  settings.fleet_size = 1000;
  settings.callers = 5000;
  settings.over_quota_weight_fraction = 0.1;
  settings.tenants = {{"a", 0.9, 900}, {"b", 0.1, 1}};
  for (const double expected_work_ms : {0.0, 1e-9, 1.0, 1e12})
    ExpectEachRequestIsAnsweredOnce(settings, expected_work_ms);
}

}  // namespace
}  // namespace hingelink
