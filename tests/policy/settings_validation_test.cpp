// Tests of Settings::Validate().
#include <gtest/gtest.h>

#include <stdexcept>
#include <string>

#include "policy_host.h"

namespace hingelink {
namespace {

TEST(SettingsValidation, InvalidFieldsAreReportedByName) {
  const auto error_after = [](auto change) {
    Settings settings = TestSettings();
    change(settings);
    EXPECT_THROW(ServerPolicy(settings, 1), std::invalid_argument);
    return settings.Validate();
  };
  EXPECT_NE(error_after([](Settings& settings) { settings.cores = 0; }).find("cores"), std::string::npos);
  EXPECT_NE(error_after([](Settings& settings) { settings.memory_kb = 0; }).find("memory_kb"),
            std::string::npos);
  EXPECT_NE(error_after([](Settings& settings) { settings.classes.clear(); }).find("classes"),
            std::string::npos);
  EXPECT_NE(error_after([](Settings& settings) { settings.warm_up_ms = -1; }).find("warm_up_ms"),
            std::string::npos);
  EXPECT_NE(error_after([](Settings& settings) {
              settings.classes[0].deadline_ms = -1;
            }).find("classes[0].deadline_ms"),
            std::string::npos);
  EXPECT_EQ(TestSettings().Validate(), "");
}

}  // namespace
}  // namespace hingelink
