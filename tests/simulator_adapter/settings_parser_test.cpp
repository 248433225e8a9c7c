// Settings as the simulator and the node's configuration file give them.
#include "simulator_adapter/settings_parser.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "frames.h"
#include "simulator_adapter/codec.h"

namespace hingelink::simulator_adapter {
namespace {

TEST(SettingsParser, AnUnknownStopModeIsRefused) {
  const std::string base = kSettings;
  EXPECT_FALSE(ParseSettings(base).can_cancel_runs);
  EXPECT_FALSE(ParseSettings(base + "specifics.stopMode=silent\n").can_cancel_runs);
  EXPECT_TRUE(ParseSettings(base + "specifics.stopMode=abort\n").can_cancel_runs);
  EXPECT_TRUE(ParseSettings(base + "specifics.stopMode=suspend\n").can_cancel_runs);
  EXPECT_THROW(ParseSettings(base + "specifics.stopMode=maybe\n"), WireError);
}

TEST(SettingsParser, ReadsSkipsAndRefuses) {
  const Settings s = ParseSettings(kSettings);
  EXPECT_EQ(s.cores, 2);
  EXPECT_EQ(s.classes[0].deadline_ms, 4000);
  EXPECT_EQ(s.gauges, (std::vector<std::string>{"cpu_busy", "runnable"}));
  EXPECT_FALSE(s.callers_send_remaining_wait);
  const std::string base = kSettings;
  EXPECT_THROW(ParseSettings(base + "specifics.memoryKb=lots\n"), WireError);
  EXPECT_THROW(ParseSettings(base + "specifics.cpus=2.5\n"), WireError);
  EXPECT_THROW(ParseSettings(base + "specifics.cold=perhaps\n"), WireError);
  EXPECT_THROW(ParseSettings(base + "requestClasses.0.repeat=often\n"), WireError);
  EXPECT_THROW(ParseSettings(base + "requestClasses.count=99999999999\n"), WireError);
  EXPECT_THROW(ParseSettings(base + "specifics.classCalls=true,false\n"), WireError);
  EXPECT_THROW(ParseSettings(base + "no pair\n"), WireError);
  EXPECT_THROW(ParseSettings("specifics.cpus=2\n"), WireError);
}

}  // namespace
}  // namespace hingelink::simulator_adapter
