// Tests of Reconfigure() while requests are in flight.
#include <gtest/gtest.h>

#include <stdexcept>
#include <utility>

#include "policy_host.h"

namespace hingelink {
namespace {

TEST(Reconfigure, RequestsInFlightKeepTheirClassEvenIfItIsRemoved) {
  Settings settings = TestSettings();
  settings.can_cancel_runs = true;
  PolicyHost host(settings);
  host.Arrive(1);
  host.Arrive(2);
  host.Arrive(3);
  Settings other = settings;
  other.classes = {{.name = "store",
                    .latency_objective_ms = 1000,
                    .deadline_ms = 4000,
                    .idempotency = Idempotency::kNotIdempotent}};
  for (int round = 0; round < 3; ++round) host.Reconfigure(other);
  host.Step({CallerDisconnected{1}, CallerDisconnected{2}});
  EXPECT_EQ(host.cancellations[1], 1);  // Request 1 is still a read, so its execution may be cancelled.
  host.Arrive(4);                       // Of the class "store".
  host.Finish(1, Outcome::kCancelled);
  host.Finish(2, Outcome::kCancelled);
  EXPECT_EQ(host.starts[3] + host.starts[4], 2);
  host.Step({CallerDisconnected{4}});
  EXPECT_EQ(host.cancellations[4], 0);
  host.Arrive(5, kOnce);  // The new settings have no class with this index.
  EXPECT_EQ(host.starts[5] + host.rejections[5], 0);
  host.Reconfigure(settings);
  host.Finish(4);
  host.Finish(3);
  host.Arrive(6, kOnce);
  EXPECT_EQ(host.starts[6], 1);
}

TEST(Reconfigure, LearnedCostsStayWithTheClassName) {
  const auto rejected = [](const char* name) {
    PolicyHost host;
    for (RequestId id = 1; id <= 60; ++id) {
      host.Arrive(id);
      host.now += 20;
      host.Finish(id, Outcome::kOk, 20);
    }
    Settings settings = TestSettings();
    std::swap(settings.classes.front(), settings.classes.back());
    settings.classes.back().name = name;
    host.Reconfigure(settings);
    int count = 0;
    // kOnce is the index of the class "read" in the new settings.
    for (RequestId id = 100; id < 120; ++id) host.Arrive(id, kOnce);
    for (const auto& [id, times] : host.rejections) count += times;
    return count;
  };
  EXPECT_EQ(rejected("read"), 0);
  EXPECT_GT(rejected("look"), 0);
}

TEST(Reconfigure, InvalidSettingsChangeNothing) {
  PolicyHost host;
  Settings settings = TestSettings();
  settings.classes.resize(1);
  settings.classes[0].deadline_ms = 0;
  EXPECT_THROW(host.Reconfigure(settings), std::invalid_argument);
  host.Arrive(1, kOnce);
  EXPECT_EQ(host.starts[1], 1);
}

}  // namespace
}  // namespace hingelink
