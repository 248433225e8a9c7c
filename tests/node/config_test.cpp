// Tests of the node's configuration: an error names the file, the key, the value and the allowed values, for
// each required key, and reading one configuration does not affect the next.
#include "node/config.h"

#include <gtest/gtest.h>

#include <cstdio>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "cli/process.h"

namespace hingelink::node {
namespace {

using Json = nlohmann::json;

Json ValidConfig() {
  return Json::parse(
      R"({"name":"n3","listen":"127.0.0.1:0","pool":"127.0.0.1:9300","registry":"127.0.0.1:8761",
    "seed":"8c1f30d27a5be964","stop_ms":3200,"limits":{"cores":1.0,"memory_mb":64,"sockets":512},
    "settings":{"requestClasses":[
      {"name":"read","goalTimeMs":500.0,"hardLimitMs":1500.0,"repeat":"safe","worth":1.0},
      {"name":"write","goalTimeMs":500.0,"hardLimitMs":900.0,"repeat":"keyed","windowMs":2000.0,"worth":5.0}],
     "tenants":[{"name":"one","portion":0.5,"quotaRps":10.0},{"name":"two","portion":0.5,"quotaRps":10.0}],
     "quantumMs":4.0,"rules":{"fallMultiple":8.0},
     "specifics":{"cpus":2,"memoryKb":1000.0,"runFactor":4.0}}})");
}

// Returns the error message for a configuration, or an empty text if it is valid.
std::string ErrorMessageOf(const Json& json) {
  try {
    ParseConfig(json.dump());
    return {};
  } catch (const ConfigError& error) {
    return error.what();
  }
}

std::string PointerToPath(const std::string& pointer) {
  std::string path = pointer.substr(1);
  for (char& c : path) c = c == '/' ? '.' : c;
  return path;
}

TEST(ConfigTest, ParsesAValidFile) {
  EXPECT_EQ(ErrorMessageOf(ValidConfig()), "");
  const Config config = ParseConfig(ValidConfig().dump());
  ASSERT_EQ(config.settings.classes.size(), 2u);
  EXPECT_EQ(config.settings.classes[1].name, "write");
  EXPECT_EQ(config.settings.classes[1].idempotency_window_ms, 2000);
}

// For each value without a default, the error names the key and the allowed values.
TEST(ConfigTest, ErrorNamesEachMissingRequiredKey) {
  for (const char* pointer :
       {"/name", "/listen", "/pool", "/registry", "/seed", "/stop_ms", "/limits", "/limits/sockets",
        "/settings", "/settings/requestClasses", "/settings/requestClasses/0/name",
        "/settings/requestClasses/1/hardLimitMs", "/settings/tenants/0/name"}) {
    Json json = ValidConfig();
    const Json::json_pointer at(pointer);
    json.at(at.parent_pointer()).erase(at.back());
    EXPECT_EQ(ErrorMessageOf(json).find(PointerToPath(pointer) + " is missing; it must be a"), 0u)
        << pointer << ": " << ErrorMessageOf(json);
  }
  for (const char* pointer : {"/quantumMs", "/rules/fallMultiple", "/specifics/cpus", "/specifics/memoryKb",
                              "/specifics/runFactor"}) {
    Json json = ValidConfig();
    const Json::json_pointer at("/settings" + std::string(pointer));
    json.at(at.parent_pointer()).erase(at.back());
    EXPECT_EQ(ErrorMessageOf(json).find("settings lack " + PointerToPath(pointer) + ", which must be a"), 0u)
        << ErrorMessageOf(json);
  }
}

// For a value out of bounds or of the wrong type, the error names the key, the value and the bounds.
TEST(ConfigTest, ErrorNamesEachInvalidValueAndTheAllowedValues) {
  const struct {
    const char* pointer;
    Json value;
    const char* wanted;
  } kCases[] = {
      {"/name", 7, "name is 7; it must be a text"},
      {"/seed", "xyz", "seed is \"xyz\"; it must be a hexadecimal number of at most 64 bits"},
      {"/stop_ms", -1, "stop_ms is -1; it must be a number from 0"},
      {"/stop_ms", "3200", "stop_ms is \"3200\"; it must be a number from 0"},
      {"/limits", 5, "limits is 5; it must be an object"},
      {"/limits/sockets", 63, "limits.sockets is 63; it must be a number from 64"},
      {"/limits/memory_mb", 0, "limits.memory_mb is 0; it must be a number from 1"},
      {"/settings", Json::array(), "settings is []; it must be an object"},
      {"/settings/requestClasses", Json::array(),
       "settings.requestClasses is []; it must be a list of at least one"},
      {"/settings/requestClasses/0", 3, "settings.requestClasses.0 is 3; it must be an object"},
      {"/settings/requestClasses/1/name", "read", "settings.requestClasses.1.name is \"read\"; it must be"},
      {"/settings/requestClasses/1/name", "", "settings.requestClasses.1.name is \"\"; it must be"},
      {"/settings/requestClasses/1/name", "a\nspecifics.cpus=99",
       "settings.requestClasses.1.name has a line break; it must be a text of one line"},
      {"/settings/requestClasses/1/hardLimitMs", 0,
       "settings.requestClasses.1.hardLimitMs is 0; it must be a number"},
      {"/settings/requestClasses/1/hardLimitMs", "900",
       "settings.requestClasses.1.hardLimitMs is \"900\"; it must"},
      {"/settings/requestClasses/0/repeat", "maybe",
       "settings requestClasses.0.repeat=maybe is not safe, keyed or"},
      {"/settings/requestClasses/0/worth", -2,
       "settings.requestClasses.0.worth is -2; it must be a number, not neg"},
      {"/settings/requestClasses/1/windowMs", -1,
       "settings.requestClasses.1.windowMs is -1; it must be a number"},
      {"/settings/tenants/1/name", "one", "settings.tenants.1.name is \"one\"; it must be"},
      {"/settings/tenants/1/quotaRps", -1,
       "settings.tenants.1.quotaRps is -1; it must be a number, not negative"},
      {"/settings/tenants/1/name", "a\nb",
       "settings.tenants.1.name has a line break; it must be a text of one line"},
      {"/settings/quantumMs", 0, "settings.quantumMs is 0; it must be above 0"},
      {"/settings/rules/fallMultiple", 0.5, "settings.rules.fallMultiple is 0.5; it must be at least 1"},
      {"/settings/specifics/cpus", 0, "settings.specifics.cpus is 0; it must be at least 1"},
      {"/settings/specifics/cpus", 1.5, "settings specifics.cpus=1.5 is not a whole number from 0 to"},
      {"/settings/specifics/memoryKb", "many", "settings specifics.memoryKb=many is not a number"},
      {"/settings/specifics/runFactor", 0.1, "settings.specifics.runFactor is 0.1; it must be at least 1"},
  };
  for (const auto& wrong : kCases) {
    Json json = ValidConfig();
    json.at(Json::json_pointer(wrong.pointer)) = wrong.value;
    EXPECT_EQ(ErrorMessageOf(json).find(wrong.wanted), 0u)
        << wrong.wanted << "\n  but: " << ErrorMessageOf(json);
  }
  Json calls = ValidConfig();
  calls["settings"]["specifics"]["classCalls"] = {true};
  EXPECT_EQ(ErrorMessageOf(calls), "settings specifics.classCalls has 1 values for 2 classes");
}

TEST(ConfigTest, ErrorNamesTheFile) {
  const cli::TemporaryFolder folder;
  const std::string path = folder.path() + "/node.json";
  const auto file_error = [&path] {
    try {
      ReadConfig(path);
      return std::string();
    } catch (const ConfigError& error) {
      return std::string(error.what());
    }
  };
  EXPECT_EQ(file_error(), "configuration '" + path + "' cannot be read: No such file or directory");
  std::ofstream(path) << ValidConfig().dump().substr(0, 100);
  EXPECT_EQ(file_error(), "configuration '" + path +
                              "': the text is not JSON, or not an object; it must be one JSON object");
  std::ofstream(path) << ValidConfig().dump();
  EXPECT_EQ(file_error(), "");
}

// A reload rejects a configuration that lacks a key or has a value of another type, and names the key.
TEST(ConfigTest, ReloadErrorNamesAKeyOfTheRunningConfigurationThatIsMissing) {
  const auto reload_error = [](const Json& reloaded) {
    try {
      ParseConfig(reloaded.dump()).CheckAgainst(ParseConfig(ValidConfig().dump()));
      return std::string();
    } catch (const ConfigError& error) {
      return std::string(error.what());
    }
  };
  EXPECT_EQ(reload_error(ValidConfig()), "");
  Json without_key = ValidConfig();
  without_key["settings"]["requestClasses"][0].erase("worth");
  EXPECT_EQ(
      reload_error(without_key),
      "settings.requestClasses.0.worth is missing; it must be a number, as in the running configuration");
  Json wrong_type = ValidConfig();
  wrong_type["limits"]["cores"] = "1";
  EXPECT_EQ(reload_error(wrong_type),
            "limits.cores is \"1\"; it must be a number, as in the running configuration");
}

// Reads settings with one class, with many classes and tenants, and with other names, one after the other.
TEST(ConfigTest, ParsedSettingsKeepNothingOfEarlierSettings) {
  Json one = ValidConfig();
  one["settings"]["requestClasses"] =
      Json::array({{{"name", "only"}, {"hardLimitMs", 250.0}, {"repeat", "unsafe"}}});
  one["settings"]["tenants"] = Json::array();
  Json many = ValidConfig();
  many["settings"]["requestClasses"] = Json::array();
  many["settings"]["tenants"] = Json::array();
  for (int i = 0; i < 300; ++i) {
    many["settings"]["requestClasses"].push_back({{"name", "class-" + std::to_string(i)},
                                                  {"hardLimitMs", 100.0 + i},
                                                  {"repeat", "safe"},
                                                  {"worth", i}});
    many["settings"]["tenants"].push_back(
        {{"name", "tenant " + std::to_string(i)}, {"portion", i}, {"quotaRps", i}});
  }
  for (int round = 0; round < 2; ++round) {
    const Config few = ParseConfig(one.dump());
    ASSERT_EQ(few.settings.classes.size(), 1u);
    EXPECT_EQ(few.settings.classes[0].deadline_ms, 250);
    EXPECT_EQ(few.settings.classes[0].latency_objective_ms, 250);
    EXPECT_EQ(few.settings.classes[0].idempotency, hingelink::Idempotency::kNotIdempotent);
    EXPECT_TRUE(few.settings.tenants.empty());
    const Config all = ParseConfig(many.dump());
    ASSERT_EQ(all.settings.classes.size(), 300u);
    EXPECT_EQ(all.settings.classes[299].deadline_ms, 399);
    ASSERT_EQ(all.settings.tenants.size(), 300u);
    EXPECT_EQ(all.settings.tenants[299].name, "tenant 299");
  }
}

TEST(ConfigError, NamesKeyValueAndAllowedValues) {
  Json config = ValidConfig();
  config["limits"]["sockets"] = 63;
  try {
    ParseConfig(config.dump());
    FAIL() << "accepted";
  } catch (const ConfigError& error) {
    EXPECT_EQ(error.file(), "");
    EXPECT_EQ(error.key(), "limits.sockets");
    EXPECT_EQ(error.value(), "63");
    EXPECT_TRUE(error.allowed().starts_with("a number from 64")) << error.allowed();
  }
}

TEST(ConfigError, NamesAFileThatCannotBeRead) {
  try {
    ReadConfig("/nonexistent/node.json");
    FAIL() << "accepted";
  } catch (const ConfigError& error) {
    EXPECT_EQ(error.file(), "/nonexistent/node.json");
    EXPECT_EQ(error.key(), "");
  }
}

}  // namespace
}  // namespace hingelink::node
