#include "appliance/config.h"

#include <algorithm>
#include <cstdio>
#include <filesystem>
#include <set>

#include "net/event.h"
#include "net/gossip_transport.h"
#include "node/config.h"
#include "schema/schema.h"
#include "state/file_system.h"

namespace hingelink::appliance {
namespace {

using Json = nlohmann::ordered_json;

std::string JoinLines(const std::vector<std::string>& lines) {
  std::string all;
  for (const std::string& line : lines) all += (all.empty() ? "" : "\n") + line;
  return all;
}

std::vector<std::string> ReadStringList(const Json& json) {
  if (json.is_string()) return {json.get<std::string>()};
  return json.is_array() ? json.get<std::vector<std::string>>() : std::vector<std::string>();
}

// Appends an error for each address that cannot be parsed and each that occurs twice, as two processes cannot
// share an address. `is_list` tells whether the setting is a list, whose index goes into the JSON pointer.
void CheckAddresses(const std::vector<std::string>& list, const std::string& pointer, bool is_list,
                    std::vector<std::string>& errors) {
  std::set<std::string> addresses;
  for (std::size_t i = 0; i < list.size(); ++i) {
    const std::string at = pointer + (is_list ? "/" + std::to_string(i) : "");
    try {
      net::ParseAddress(list[i]);
    } catch (const std::exception&) {
      errors.push_back(at + ": found \"" + list[i] + "\"; wanted an address such as 127.0.0.1:9300");
    }
    if (!addresses.insert(list[i]).second)
      errors.push_back(at + ": found \"" + list[i] + "\" twice; name each once");
  }
}

// Maximum time from the drain request to the exit of a node that has handed over to a successor: the sum of
// kMaxDeadlineConsidered and kExitDelayAfterLongestDeadline in node/node_drain.cpp. The supervisor must not
// kill the node earlier.
constexpr double kHandoverMs = 3700;
// The node's own drain deadline must expire this long before the supervisor kills the node.
constexpr double kKillMarginMs = 500;

// Reads the `supervisor` object of the file, whose keys differ from the names of the options.
void ReadSupervisorOptions(const Json& json, Config& config, std::vector<std::string>& errors) {
  decide::SupervisorOptions& options = config.supervisor;
  decide::CrashBackoffOptions& backoff = options.crash_backoff;
  const auto read_ms = [&json](const char* key, decide::SupervisorTime& field) {
    field = decide::SupervisorTime(json.value(key, field.count()));
  };
  read_ms("backoff_first_ms", backoff.initial_backoff);
  read_ms("backoff_most_ms", backoff.max_backoff);
  read_ms("good_after_ms", options.stable_after);
  backoff.crash_loop_threshold = json.value("loop_crashes", backoff.crash_loop_threshold);
  read_ms("loop_rest_ms", backoff.crash_loop_backoff);
  read_ms("answer_within_ms", options.startup_timeout);
  options.unresponsive_threshold = json.value("silent_looks", options.unresponsive_threshold);
  read_ms("upgrade_within_ms", options.upgrade_timeout);
  const double min_drain_ms = std::max(kHandoverMs, config.node["stop_ms"].get<double>()) + kKillMarginMs;
  options.drain_timeout = decide::SupervisorTime(json.value("drain_within_ms", min_drain_ms));
  if (options.drain_timeout.count() < min_drain_ms) {
    char wanted[160];
    std::snprintf(
        wanted, sizeof wanted,
        "/supervisor/drain_within_ms: found %.0f; wanted at least %.0f (/node/stop_ms, or 3700, and 500): "
        "the node needs that to answer what it has read",
        options.drain_timeout.count(), min_drain_ms);
    errors.push_back(wanted);
  }
  if (backoff.max_backoff < backoff.initial_backoff) {
    errors.push_back(
        "/supervisor/backoff_most_ms: found less than backoff_first_ms; wanted at least as much");
  }
}

}  // namespace

ConfigError::ConfigError(std::vector<std::string> errors)
    : std::runtime_error(JoinLines(errors)), faults_(std::move(errors)) {}

std::string Config::NodeJson(std::uint64_t generation, std::uint64_t seed) const {
  Json json = node;
  json["pool"] = pool[generation % pool.size()];
  if (!ops.empty()) json["ops"] = ops[generation % ops.size()];
  char text[20];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(seed));
  json["seed"] = text;
  return json.dump(2) + '\n';
}

Config ParseConfig(const std::string& text) {
  Json json;
  try {
    json = Json::parse(text, nullptr, true, true);
  } catch (const Json::parse_error& error) {
    const std::size_t byte = std::min(error.byte, text.size());
    const auto line = 1 + std::count(text.begin(), text.begin() + static_cast<std::ptrdiff_t>(byte), '\n');
    throw ConfigError({"line " + std::to_string(line) + ": invalid JSON (" + error.what() + ")"});
  }
  static const schema::Schema appliance_schema(schema::ApplianceSchema());
  std::vector<std::string> errors;
  for (const schema::ValidationError& error : appliance_schema.Check(nlohmann::json::parse(json.dump()))) {
    errors.push_back(error.Text());
  }
  if (!errors.empty()) throw ConfigError(std::move(errors));
  Config config;
  config.node = json["node"];
  config.pool = ReadStringList(config.node["pool"]);
  if (config.node.contains("ops")) config.ops = ReadStringList(config.node["ops"]);
  config.node.erase("pool");
  config.node.erase("ops");
  config.threads = json.value("threads", config.threads);
  config.pin = json.value("pin", config.pin);
  config.learned = json.value("learned", config.learned);
  config.peers = json.value("peers", Json());
  const Json log = json.value("log", Json::object());
  config.log_format = log.value("format", config.log_format);
  config.log_level = log.value("level", config.log_level);
  config.log_bytes = log.value("rotate_bytes", config.log_bytes);
  config.log_keep = log.value("keep", config.log_keep);
  ReadSupervisorOptions(json.value("supervisor", Json::object()), config, errors);
  CheckAddresses(config.pool, "/node/pool", true, errors);
  CheckAddresses(config.ops, "/node/ops", true, errors);
  CheckAddresses({config.node["listen"].get<std::string>()}, "/node/listen", false, errors);
  CheckAddresses({config.node["registry"].get<std::string>()}, "/node/registry", false, errors);
  if (config.peers.is_object()) {
    CheckAddresses({config.peers["listen"].get<std::string>()}, "/peers/listen", false, errors);
    if (config.peers.contains("advertise"))
      CheckAddresses({config.peers["advertise"].get<std::string>()}, "/peers/advertise", false, errors);
    CheckAddresses(ReadStringList(config.peers.value("seeds", Json::array())), "/peers/seeds", true, errors);
  }
  try {
    if (errors.empty()) node::ParseConfig(config.NodeJson(0, 1));
  } catch (const std::exception& error) {
    errors.push_back(std::string("/node: ") + error.what());
  }
  if (!errors.empty()) throw ConfigError(std::move(errors));
  return config;
}

Config ReadConfig(const std::string& path) {
  const auto text = state::SystemFileSystem().Read(path);
  if (!text) throw ConfigError({path + ": file not found"});
  Config config = ParseConfig(*text);
  if (config.peers.is_object()) {
    // A relative path is resolved against the directory of the configuration file, as for the other files
    // that it names.
    const std::filesystem::path keys =
        std::filesystem::absolute(path).parent_path() / config.peers["keys"].get<std::string>();
    config.peers["keys"] = keys.string();
    try {
      net::ReadGossipKeys(keys);
    } catch (const std::exception& error) {
      throw ConfigError({std::string("/peers/keys: ") + error.what()});
    }
  }
  return config;
}

}  // namespace hingelink::appliance
