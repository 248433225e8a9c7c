#include "fleet/fleet_config.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <fstream>

#include "cli/process.h"

namespace hingelink::fleet {
namespace {

class FleetConfigTest : public testing::Test {
 protected:
  // Returns the configuration that is read from a file with this text.
  FleetConfig Read(const std::string& text) {
    std::ofstream(path_) << text;
    return ReadFleetConfig(path_);
  }
  // Returns the error text for a file with this text, or "none" if the file is valid.
  std::string ErrorOf(const std::string& text) {
    try {
      Read(text);
      return "none";
    } catch (const FleetConfigError& error) {
      EXPECT_EQ(error.path(), path_);
      return error.what();
    }
  }

  cli::TemporaryFolder folder_;
  std::string path_ = folder_.path() + "/peers.json";
};

TEST_F(FleetConfigTest, ReadsAllKeys) {
  const FleetConfig config = Read(R"({"listen": "10.0.0.4:7946", "advertise": "10.1.0.4:7946", "keys": "keys",
               "seeds": ["10.0.0.5:7946"], "zone": "a", "weight": 4})");
  EXPECT_EQ(config.listen, "10.0.0.4:7946");
  EXPECT_EQ(config.advertise, "10.1.0.4:7946");
  EXPECT_EQ(config.keys, "keys");
  EXPECT_EQ(config.seeds, std::vector<std::string>{"10.0.0.5:7946"});
  EXPECT_EQ(config.zone, "a");
  EXPECT_EQ(config.weight, 4);
}

TEST_F(FleetConfigTest, HasDefaultsForOptionalKeys) {
  const FleetConfig config = Read(R"({"listen": "10.0.0.4:7946", "keys": "keys"})");
  EXPECT_EQ(config.advertise, "");
  EXPECT_TRUE(config.seeds.empty());
  EXPECT_EQ(config.weight, 1);
}

TEST_F(FleetConfigTest, ErrorNamesTheFileAndEachInvalidValue) {
  EXPECT_EQ(ErrorOf("{"), path_ + ": not valid JSON");
  const std::string text = ErrorOf(R"({"listen": 5, "keys": 7})");
  EXPECT_NE(text.find(path_ + " /listen: found 5"), std::string::npos) << text;
  EXPECT_NE(text.find(path_ + " /keys: found 7"), std::string::npos) << text;
  EXPECT_EQ(std::count(text.begin(), text.end(), '\n'), 1) << text;
}

TEST_F(FleetConfigTest, RejectsAMissingFile) {
  EXPECT_THROW(static_cast<void>(ReadFleetConfig(path_)), FleetConfigError);
}

}  // namespace
}  // namespace hingelink::fleet
