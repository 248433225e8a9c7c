#include "node/config.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <set>

#include "settings_parser.h"

namespace hingelink::node {
namespace {

using Json = nlohmann::json;

constexpr int kLeastSockets = 64;

std::string Scalar(const Json& value) { return value.is_string() ? value.get<std::string>() : value.dump(); }

// Writes nested settings as the path=value lines that the adapter's parser reads.
void Flatten(const Json& value, const std::string& path, std::string& lines) {
  if (value.is_object()) {
    for (const auto& [name, member] : value.items()) {
      Flatten(member, path.empty() ? name : path + '.' + name, lines);
    }
    return;
  }
  if (value.is_array() && !value.empty() && value.front().is_object()) {
    lines += path + ".count=" + std::to_string(value.size()) + '\n';
    for (std::size_t i = 0; i < value.size(); ++i) Flatten(value[i], path + '.' + std::to_string(i), lines);
    return;
  }
  lines += path + '=';
  if (value.is_array()) {
    for (std::size_t i = 0; i < value.size(); ++i) lines += (i > 0 ? "," : "") + Scalar(value[i]);
  } else if (!value.is_null()) {
    lines += Scalar(value);
  }
  lines += '\n';
}

const Json& Member(const Json& object, const char* name) {
  const auto it = object.find(name);
  if (it == object.end()) throw ConfigError(std::string("configuration lacks '") + name + "'");
  return *it;
}

template <typename T>
T Get(const Json& object, const char* name) {
  try {
    return Member(object, name).get<T>();
  } catch (const Json::exception&) {
    throw ConfigError(std::string("configuration: '") + name + "' is of the wrong kind");
  }
}

// Guards against a deadline that is a number in quotes, which flattened would be read as one, and against
// classes that no request could name.
void CheckClasses(const Json& settings) {
  std::set<std::string> names;
  for (const Json& c : Get<std::vector<Json>>(settings, "requestClasses")) {
    const Json name = c.is_object() ? Member(c, "name") : Json();
    if (!name.is_string() || name == "" || !names.insert(name).second) {
      throw ConfigError("configuration: 'name' of a class is empty, taken or no text");
    }
    const double deadline = Member(c, "hardLimitMs").is_number() ? Get<double>(c, "hardLimitMs") : 0;
    if (!(std::isfinite(deadline) && deadline > 0)) {
      throw ConfigError("configuration: 'hardLimitMs' of a class is no number above 0");
    }
  }
}

bool SameKind(const Json& a, const Json& b) {
  return (a.is_number() && b.is_number()) || a.type() == b.type();
}

// Guards against a file with a part left out, whose place a default would take: what `running` has must be in
// `fresh`, too. Lists of objects are matched by name; one of a new name needs what all the running have.
void CheckKeys(const Json& running, const Json& fresh, const std::string& path) {
  if (!SameKind(running, fresh)) throw ConfigError("configuration: '" + path + "' is of another kind");
  if (running.is_object()) {
    for (const auto& [name, member] : running.items()) {
      const std::string at = path.empty() ? name : path + '.' + name;
      if (!fresh.contains(name)) throw ConfigError("configuration lacks '" + at + "'");
      CheckKeys(member, fresh[name], at);
    }
  }
  if (!running.is_array() || running.empty() || !running.front().is_object()) return;
  const auto name_of = [](const Json& item) {
    return item.is_object() ? item.value("name", Json()) : Json();
  };
  Json common = running.front();
  for (const Json& item : running) {
    for (auto it = common.begin(); it != common.end();)
      it = item.contains(it.key()) ? std::next(it) : common.erase(it);
  }
  for (std::size_t i = 0; i < fresh.size(); ++i) {
    const auto same = std::find_if(running.begin(), running.end(), [&](const Json& item) {
      return !name_of(item).is_null() && name_of(item) == name_of(fresh[i]);
    });
    CheckKeys(same != running.end() ? *same : common, fresh[i], path + '.' + std::to_string(i));
  }
}

}  // namespace

Config ParseConfig(const std::string& text) {
  const Json json = Json::parse(text, nullptr, false);
  if (!json.is_object()) throw ConfigError("configuration is no JSON object");
  Config config;
  config.name = Get<std::string>(json, "name");
  config.listen = Get<std::string>(json, "listen");
  config.pool = Get<std::string>(json, "pool");
  config.registry = Get<std::string>(json, "registry");
  if (json.contains("store")) config.store = Get<std::string>(json, "store");
  if (json.contains("ops")) config.ops = Get<std::string>(json, "ops");
  const std::string seed = Get<std::string>(json, "seed");
  const auto [end, fault] = std::from_chars(seed.data(), seed.data() + seed.size(), config.seed, 16);
  if (fault != std::errc() || end != seed.data() + seed.size()) {
    throw ConfigError("configuration: 'seed' is no hexadecimal number of 64 bits");
  }
  const double stop = Get<double>(json, "stop_ms");
  if (!(stop >= 0 && stop <= 3'600'000)) throw ConfigError("configuration: 'stop_ms' is out of range");
  config.stop = std::chrono::milliseconds(static_cast<std::int64_t>(stop));
  config.sockets = Get<int>(Get<Json>(json, "limits"), "sockets");
  if (config.sockets < kLeastSockets) {
    throw ConfigError("configuration: 'sockets' is under " + std::to_string(kLeastSockets));
  }
  if (const Json limits = Get<Json>(json, "limits"); limits.contains("memory_mb")) {
    config.memory_mb = Get<double>(limits, "memory_mb");
    if (!(config.memory_mb > 0)) throw ConfigError("configuration: 'memory_mb' is no number above 0");
  }
  const Json settings = Get<Json>(json, "settings");
  if (!settings.is_object()) throw ConfigError("configuration: 'settings' is no object");
  CheckClasses(settings);
  std::string lines;
  Flatten(settings, "", lines);
  try {
    config.settings = hingelink::benchlink::ParseSettings(lines);
  } catch (const std::exception& wrong) {
    throw ConfigError(std::string("configuration: ") + wrong.what());
  }
  const std::string wrong = config.settings.Validate();
  if (!wrong.empty()) throw ConfigError("configuration: settings: " + wrong);
  config.text = text;
  return config;
}

void Config::CheckAgainst(const Config& running) const {
  CheckKeys(Json::parse(running.text, nullptr, false), Json::parse(text, nullptr, false), "");
}

Config ReadConfig(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) throw ConfigError("configuration '" + path + "' cannot be read");
  return ParseConfig(std::string(std::istreambuf_iterator<char>(file), {}));
}

}  // namespace hingelink::node
