// Tests of ServerPolicy as a whole: timeouts, time, determinism and invalid events.
#include <gtest/gtest.h>

#include <string>
#include <variant>
#include <vector>

#include "policy_host.h"

namespace hingelink {
namespace {

std::string Describe(const std::vector<Action>& actions) {
  std::string text;
  for (const Action& action : actions) {
    text += std::to_string(action.index());
    std::visit(
        [&text](const auto& each) {
          if constexpr (requires { each.id; }) text += ":" + std::to_string(each.id);
        },
        action);
    text += " ";
  }
  return text;
}

std::string RunMixedEvents(std::uint64_t seed) {
  PolicyHost host(TestSettings(), seed);
  std::string text;
  for (RequestId id = 1; id < 200; ++id) {
    text += Describe(host.Step({host.MakeArrival(id, static_cast<ClassIndex>(id % 4))}));
    if (id % 3 == 0)
      text += Describe(host.Step({UpstreamCallRequested{id - 2}, Finished{id - 1, Outcome::kOk, 40}}));
    if (id % 7 == 0) text += Describe(host.Step({CallerDisconnected{id - 3}}));
    host.AdvanceTo(host.now + 17);
  }
  return text;
}

TEST(ServerPolicy, IdleTimeoutShrinksWithCallersPerCore) {
  const auto idle_timeout_ms = [](int cores, int callers) {
    Settings settings = TestSettings();
    settings.caller_idle_timeout_ms = 30000;
    settings.cores = cores;
    settings.callers = callers;
    double after_ms = 0;
    ServerPolicy policy(settings, 1);
    for (const Action& action : policy.Step(0, {})) {
      if (const auto* close = std::get_if<CloseIdle>(&action)) after_ms = close->after_ms;
    }
    return after_ms;
  };
  EXPECT_GE(idle_timeout_ms(1, 1000), 10);
  EXPECT_LT(idle_timeout_ms(2, 1000), 1000);
  EXPECT_GT(idle_timeout_ms(2, 20), 3000);
  EXPECT_GT(idle_timeout_ms(6, 4), 3000);
  EXPECT_LE(idle_timeout_ms(6, 4), 30000);  // At most the callers' own timeout.
}

TEST(ServerPolicy, EventsAboutCompletedRequestsCauseNoActions) {
  PolicyHost host;
  host.Arrive(1);
  host.Finish(1);
  host.Finish(1);
  host.Step({CallerDisconnected{1}, UpstreamCallRequested{1}, UpstreamCallFinished{1, Outcome::kOk, 5},
             Finished{99, Outcome::kOk, 1}});
  host.AdvanceTo(host.now + 5000);
  EXPECT_EQ(host.failures[1] + host.rejections[1] + host.upstream_calls[1] + host.fallbacks[1], 0);
}

TEST(ServerPolicy, BatchWithAnEarlierTimeIsDecidedAtThePreviousTime) {
  PolicyHost host;
  host.Arrive(1);
  host.now -= 1000;
  host.Arrive(2);
  host.Arrive(2);
  host.now += 1000;
  EXPECT_EQ(host.starts[2], 1);
  host.AdvanceTo(host.now + 3999);
  EXPECT_EQ(host.failures[1], 1);
  EXPECT_EQ(host.failures[2], 1);
}

TEST(ServerPolicy, SameEventsGiveSameActions) { EXPECT_EQ(RunMixedEvents(3), RunMixedEvents(3)); }

TEST(ServerPolicy, InstancesShareNoState) {
  const std::string alone = RunMixedEvents(3);
  PolicyHost other;
  for (RequestId id = 1; id < 50; ++id) other.Arrive(id);
  EXPECT_EQ(RunMixedEvents(3), alone);
}

}  // namespace
}  // namespace hingelink
