// Tests of BusyGate: when the server counts as busy.
#include "policy/busy_gate.h"

#include <gtest/gtest.h>

#include "policy_host.h"

namespace hingelink {
namespace {

using policy::BusyGate;

// At 90% utilization, at most 0.2 cores are idle on servers of one or two cores, but 1.2 cores of twelve.
TEST(BusyGate, ServerIsBusyBelowAFixedNumberOfIdleCores) {
  for (const int cores : {1, 2, 12}) {
    Settings settings = TestSettings();
    settings.cores = cores;
    PolicyHost host(settings);
    for (RequestId id = 1000; id < 1000u + cores; ++id) host.Arrive(id);
    host.cpu_busy = 0.9;
    host.runnable = cores + 3;
    host.AdvanceTo(host.now + 1100);
    host.Arrive(1);
    host.AdvanceTo(host.now + 1050);
    host.Finish(1000);
    EXPECT_EQ(host.starts[1], cores == 12 ? 1 : 0) << cores;
    EXPECT_EQ(host.rejections[1], cores == 12 ? 0 : 1) << cores;
  }
}

TEST(BusyGate, DecidesOnceASecondByTheMeanOfItsSamples) {
  const Settings settings = TestSettings();
  BusyGate gate(settings);
  gate.Begin(0);
  gate.OnSample(500, 1.0);
  EXPECT_FALSE(gate.is_busy());
  gate.OnSample(1000, 0.8);  // With a mean of 0.9, 0.2 of two cores are idle.
  EXPECT_TRUE(gate.is_busy());
  gate.OnSample(1500, 0.5);
  EXPECT_TRUE(gate.is_busy());
  gate.OnSample(2000, 1.0);  // With a mean of 0.75, 0.5 cores are idle.
  EXPECT_FALSE(gate.is_busy());
}

}  // namespace
}  // namespace hingelink
