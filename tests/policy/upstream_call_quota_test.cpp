// Tests of quotas below one upstream call.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <variant>
#include <vector>

#include "policy_host.h"

namespace hingelink {
namespace {

TEST(UpstreamCallQuota, QuotaBelowOneCallLimitsTheMeanCallsInFlight) {
  Settings settings = TestSettings();
  settings.upstream_call_quota = 0.5;
  settings.cores = 20;
  settings.memory_kb = 1e6;
  PolicyHost host(settings);
  double in_flight_ms = 0;
  RequestId in_flight = 0;
  const double began_at = host.now;
  for (RequestId id = 1; id <= 400; ++id) {
    host.Arrive(id, kPay);
    host.Step({UpstreamCallRequested{id}});
    for (RequestId i = 1; i <= id && in_flight == 0; ++i) {
      if (host.upstream_calls[i] == 1) {
        in_flight = i;
        host.upstream_calls[i] = 2;
      }
    }
    host.AdvanceTo(host.now + 50);
    if (in_flight != 0) {
      in_flight_ms += 50;
      host.Step({UpstreamCallFinished{in_flight, Outcome::kOk, 50}});
      in_flight = 0;
    }
  }
  EXPECT_GT(in_flight_ms, 0);
  EXPECT_LE(in_flight_ms / (host.now - began_at), 0.5);
}

// All servers together must stay below the sum of their quotas over the first quota window.
TEST(UpstreamCallQuota, FleetWithQuotasBelowOneDoesNotOverloadAHungUpstream) {
  constexpr int kServers = 60;
  Settings settings = TestSettings();
  settings.upstream_call_quota = 0.3;
  settings.memory_kb = 1e6;
  double spent_ms = 0;
  for (int server = 0; server < kServers; ++server) {
    PolicyHost host(settings, 100 + server);
    std::map<RequestId, double> ends;  // When each call in flight times out.
    const double began_at = host.now;
    const double window_end = began_at + settings.upstream_call_quota_window_ms;
    const auto count_calls = [&](const std::vector<Action>& actions) {
      for (const Action& action : actions) {
        const auto* call = std::get_if<StartUpstreamCall>(&action);
        if (call == nullptr) continue;
        const double until = host.now + call->timeout_ms;
        ends[call->id] = until;
        spent_ms += std::min(until + settings.abandoned_call_ms, window_end) - host.now;
      }
    };
    for (RequestId id = 1; host.now < window_end; ++id) {
      host.Arrive(id, kPay);
      if (host.starts[id] == 1) count_calls(host.Step({UpstreamCallRequested{id}}));
      host.AdvanceTo(host.now + 50);
      for (auto it = ends.begin(); it != ends.end();) {
        const auto [call, until] = *it;
        if (until > host.now) {
          ++it;
          continue;
        }
        it = ends.erase(it);
        count_calls(host.Step({UpstreamCallFinished{call, Outcome::kTimeout, 1000}}));
        host.Finish(call);
      }
    }
  }
  EXPECT_GT(spent_ms, 0);
  EXPECT_LT(spent_ms / settings.upstream_call_quota_window_ms, kServers * settings.upstream_call_quota);
}

}  // namespace
}  // namespace hingelink
