// Tests the parser of the settings that the simulator and the node's configuration file provide.
#include "simulator_adapter/settings_parser.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "frames.h"
#include "simulator_adapter/codec.h"
#include "simulator_adapter/errors.h"

namespace hingelink::simulator_adapter {
namespace {

TEST(SettingsParser, RejectsUnknownStopMode) {
  const std::string base = kSettings;
  EXPECT_FALSE(ParseSettings(base).can_cancel_runs);
  EXPECT_FALSE(ParseSettings(base + "specifics.stopMode=silent\n").can_cancel_runs);
  EXPECT_TRUE(ParseSettings(base + "specifics.stopMode=abort\n").can_cancel_runs);
  EXPECT_TRUE(ParseSettings(base + "specifics.stopMode=suspend\n").can_cancel_runs);
  EXPECT_THROW(static_cast<void>(ParseSettings(base + "specifics.stopMode=maybe\n")), SettingsError);
}

TEST(SettingsParser, ReadsKnownKeysAndIgnoresUnknownKeys) {
  const Settings settings = ParseSettings(kSettings);
  EXPECT_EQ(settings.cores, 2);
  EXPECT_EQ(settings.classes[0].deadline_ms, 4000);
  EXPECT_EQ(settings.gauges, (std::vector<std::string>{"cpu_busy", "runnable"}));
  EXPECT_FALSE(settings.callers_send_remaining_wait);
}

TEST(SettingsParser, RejectsMalformedValues) {
  const std::string base = kSettings;
  EXPECT_THROW(static_cast<void>(ParseSettings(base + "specifics.memoryKb=lots\n")), SettingsError);
  EXPECT_THROW(static_cast<void>(ParseSettings(base + "specifics.cpus=2.5\n")), SettingsError);
  EXPECT_THROW(static_cast<void>(ParseSettings(base + "specifics.cold=perhaps\n")), SettingsError);
  EXPECT_THROW(static_cast<void>(ParseSettings(base + "requestClasses.0.repeat=often\n")), SettingsError);
  EXPECT_THROW(static_cast<void>(ParseSettings(base + "requestClasses.count=99999999999\n")), SettingsError);
  EXPECT_THROW(static_cast<void>(ParseSettings(base + "specifics.classCalls=true,false\n")), SettingsError);
  EXPECT_THROW(static_cast<void>(ParseSettings(base + "no pair\n")), SettingsError);
  EXPECT_THROW(static_cast<void>(ParseSettings("specifics.cpus=2\n")), SettingsError);
}

TEST(SettingsParser, ErrorNamesTheKey) {
  try {
    static_cast<void>(ParseSettings(std::string(kSettings) + "specifics.memoryKb=lots\n"));
    FAIL() << "no error";
  } catch (const SettingsError& error) {
    EXPECT_EQ(error.key(), "specifics.memoryKb");
    EXPECT_STREQ(error.what(), "settings specifics.memoryKb=lots is not a number");
  }
}

}  // namespace
}  // namespace hingelink::simulator_adapter
