// Tests of the appliance's configuration file. All errors are reported at once, each with the JSON pointer,
// the value found and what is allowed.
#include "appliance/config.h"

#include <gtest/gtest.h>

#include <fstream>
#include <sstream>

#include "schema/schema.h"

namespace {

using hingelink::appliance::Config;
using hingelink::appliance::ConfigError;
using hingelink::appliance::ParseConfig;
using Json = nlohmann::ordered_json;

std::string ReadShippedConfig() {
  std::ifstream file(HINGELINK_SOURCE_DIR "/deploy/appliance.json");
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

std::vector<std::string> ParseErrors(const std::string& text) {
  try {
    ParseConfig(text);
  } catch (const ConfigError& wrong) {
    return wrong.faults();
  }
  return {};
}
bool HasError(const std::vector<std::string>& faults, const std::string& at, const std::string& what) {
  for (const std::string& fault : faults) {
    if (fault.starts_with(at + ":") && fault.find(what) != std::string::npos) return true;
  }
  return false;
}
std::string JoinErrors(const std::vector<std::string>& faults) {
  std::string all;
  for (const auto& fault : faults) all += fault + '\n';
  return all;
}

TEST(ApplianceConfig, ShippedFileIsValidAndGenerationsAlternateAddresses) {
  const Config config = ParseConfig(ReadShippedConfig());
  const Json first = Json::parse(config.NodeJson(1, 255)), second = Json::parse(config.NodeJson(2, 256));
  EXPECT_EQ(first["pool"], "127.0.0.1:9301");
  EXPECT_EQ(second["pool"], "127.0.0.1:9300");
  EXPECT_EQ(first["ops"], "127.0.0.1:10251");
  EXPECT_EQ(first["seed"], "00000000000000ff");
  EXPECT_EQ(first["listen"], second["listen"]);
  EXPECT_EQ(config.supervisor.drain_timeout.count(), 4200);
  EXPECT_EQ(config.threads, 1u);
  EXPECT_TRUE(config.learned);
}

TEST(ApplianceConfig, AcceptsThreadsInRangeAndPin) {
  Json json = Json::parse(ReadShippedConfig());
  json["threads"] = 6;
  EXPECT_EQ(ParseConfig(json.dump()).threads, 6u);
  EXPECT_FALSE(ParseConfig(json.dump()).pin);
  json["pin"] = true;
  EXPECT_TRUE(ParseConfig(json.dump()).pin);
  json["pin"] = "yes";
  EXPECT_TRUE(HasError(ParseErrors(json.dump()), "/pin", "found"));
  json.erase("pin");
  json["threads"] = 0;
  EXPECT_TRUE(HasError(ParseErrors(json.dump()), "/threads", "found 0"));
}

TEST(ApplianceConfig, ReportsAllErrorsWithTheirPointers) {
  Json json = Json::parse(ReadShippedConfig());
  json["node"]["stop_ms"] = -5;
  json["node"]["name"] = "a b";
  json["node"]["pool"] = 7;
  json["node"].erase("registry");
  json["supervisor"]["loop_crashes"] = "five";
  json["log"]["format"] = "xml";
  json["extra"] = 1;
  const auto faults = ParseErrors(json.dump());
  EXPECT_TRUE(HasError(faults, "/node/stop_ms", "found -5")) << JoinErrors(faults);
  EXPECT_TRUE(HasError(faults, "/node/name", "found \"a b\"")) << JoinErrors(faults);
  EXPECT_TRUE(HasError(faults, "/node/pool", "found 7")) << JoinErrors(faults);
  EXPECT_TRUE(HasError(faults, "/node", "registry")) << JoinErrors(faults);
  EXPECT_TRUE(HasError(faults, "/supervisor/loop_crashes", "found \"five\"")) << JoinErrors(faults);
  EXPECT_TRUE(HasError(faults, "/log/format", "found \"xml\"")) << JoinErrors(faults);
  EXPECT_TRUE(JoinErrors(faults).find("'extra'") != std::string::npos) << JoinErrors(faults);
}

TEST(ApplianceConfig, ReportsErrorsThatTheSchemaCannotExpress) {
  Json json = Json::parse(ReadShippedConfig());
  json["supervisor"]["drain_within_ms"] = 1000;
  json["supervisor"]["backoff_most_ms"] = 10;
  json["node"]["pool"] = {"127.0.0.1:9300", "127.0.0.1:9300"};
  json["node"]["listen"] = "999.0.0.1:80";
  const auto faults = ParseErrors(json.dump());
  EXPECT_TRUE(HasError(faults, "/supervisor/drain_within_ms", "wanted at least 4200")) << JoinErrors(faults);
  EXPECT_TRUE(HasError(faults, "/supervisor/backoff_most_ms", "backoff_first_ms")) << JoinErrors(faults);
  EXPECT_TRUE(HasError(faults, "/node/pool/1", "twice")) << JoinErrors(faults);
  EXPECT_TRUE(HasError(faults, "/node/listen", "999.0.0.1:80")) << JoinErrors(faults);
  // Errors that only the node's own parser detects are reported too.
  json = Json::parse(ReadShippedConfig());
  json["node"]["settings"]["requestClasses"][1]["hardLimitMs"] = 0;
  EXPECT_TRUE(HasError(ParseErrors(json.dump()), "/node", "hardLimitMs"));
}

TEST(ApplianceConfig, ReportsLineOfInvalidJson) {
  std::string text = ReadShippedConfig();
  text.insert(text.find("\"listen\""), "oops ");
  const auto faults = ParseErrors(text);
  ASSERT_EQ(faults.size(), 1u);
  EXPECT_TRUE(faults[0].starts_with("line 5: invalid JSON")) << faults[0];
  EXPECT_EQ(ParseErrors("").size(), 1u);
  EXPECT_EQ(ParseErrors("[]").size(), 1u);
  EXPECT_TRUE(ParseErrors("// a remark\n" + ReadShippedConfig()).empty());
}

// A file that is truncated at any position is rejected.
TEST(ApplianceConfig, RejectsTruncatedFile) {
  const std::string text = ReadShippedConfig();
  for (std::size_t size = 0; size + 2 < text.size(); size += 7) {
    EXPECT_FALSE(ParseErrors(text.substr(0, size)).empty()) << size;
  }
}

TEST(Schema, PointersEscapeSlashesAndTildes) {
  const hingelink::schema::Schema schema(
      R"({"type":"object","properties":{"a/b":{"type":"object","properties":{"c~d":{"type":"array",
          "items":{"type":"integer"}}}}}})");
  const auto faults = schema.Check(nlohmann::json::parse(R"({"a/b":{"c~d":[1,"x"]}})"));
  ASSERT_EQ(faults.size(), 1u);
  EXPECT_EQ(faults[0].pointer, "/a~1b/c~0d/1");
  EXPECT_EQ(faults[0].found, "\"x\"");
  EXPECT_THROW(hingelink::schema::Schema("{"), std::exception);
}

}  // namespace
