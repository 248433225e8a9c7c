#include "node/config.h"

#include <algorithm>
#include <cerrno>
#include <charconv>
#include <cmath>
#include <cstring>
#include <fstream>
#include <functional>
#include <iterator>
#include <limits>
#include <nlohmann/json.hpp>
#include <set>
#include <string_view>
#include <utility>

#include "node/settings_keys.h"
#include "simulator_adapter/settings_parser.h"

namespace hingelink::node {
namespace {

using Json = nlohmann::json;

constexpr int kLeastSockets = 64;
constexpr int kMostSockets = std::numeric_limits<int>::max();

// Guards against a text that the settings' lines would take for further lines.
std::string Scalar(const Json& value, const std::string& path) {
  if (!value.is_string()) return value.dump();
  std::string text = value.get<std::string>();
  if (text.find_first_of("\r\n") != std::string::npos) {
    throw ConfigError("settings." + path + " has a line break; it must be a text of one line",
                      {.file = {}, .key = "settings." + path, .value = {}, .allowed = "a text of one line"});
  }
  return text;
}

std::string Below(const std::string& path, const std::string& name) {
  return path.empty() ? name : std::string(path).append(".").append(name);
}

// Writes nested settings as the path=value lines that the adapter's parser reads.
void Flatten(const Json& value, const std::string& path, std::string& lines) {
  if (value.is_object()) {
    for (const auto& [name, member] : value.items()) {
      Flatten(member, Below(path, name), lines);
    }
    return;
  }
  if (value.is_array() && !value.empty() && value.front().is_object()) {
    lines += path + ".count=" + std::to_string(value.size()) + '\n';
    for (std::size_t i = 0; i < value.size(); ++i) {
      Flatten(value[i], std::string(path).append(".").append(std::to_string(i)), lines);
    }
    return;
  }
  lines += path + '=';
  if (value.is_array()) {
    for (std::size_t i = 0; i < value.size(); ++i) lines += (i > 0 ? "," : "") + Scalar(value[i], path);
  } else if (!value.is_null()) {
    lines += Scalar(value, path);
  }
  lines += '\n';
}

// What is shown of a value at fault.
std::string Shown(const Json& value) {
  constexpr std::size_t kMostShown = 60;
  const std::string text = value.dump(-1, ' ', false, Json::error_handler_t::replace);
  return text.size() <= kMostShown ? text : text.substr(0, kMostShown) + "...";
}

[[noreturn]] void Reject(const std::string& path, const Json& value, const std::string& allowed) {
  const std::string shown = Shown(value);
  throw ConfigError(path + " is " + shown + "; it must be " + allowed,
                    {.file = {}, .key = path, .value = shown, .allowed = allowed});
}

[[noreturn]] void RejectMissing(const std::string& path, const std::string& allowed) {
  throw ConfigError(path + " is missing; it must be " + allowed,
                    {.file = {}, .key = path, .value = {}, .allowed = allowed});
}

const Json& Member(const Json& object, const std::string& path, const char* name,
                   const std::string& allowed) {
  const auto it = object.find(name);
  if (it == object.end()) RejectMissing(path + name, allowed);
  return *it;
}

std::string GetText(const Json& object, const char* name) {
  constexpr char kAllowed[] = "a text";
  const Json& value = Member(object, "", name, kAllowed);
  if (!value.is_string()) Reject(name, value, kAllowed);
  return value.get<std::string>();
}

// A number within these bounds, both included.
double GetNumber(const Json& object, const std::string& path, const char* name, double least, double most) {
  const std::string allowed = "a number from " + Json(least).dump() + " to " + Json(most).dump();
  const Json& value = Member(object, path, name, allowed);
  const double number = value.is_number() ? value.get<double>() : std::nan("");
  if (!(number >= least && number <= most)) Reject(path + name, value, allowed);
  return number;
}

const Json& GetObject(const Json& object, const char* name) {
  constexpr char kAllowed[] = "an object";
  const Json& value = Member(object, "", name, kAllowed);
  if (!value.is_object()) Reject(name, value, kAllowed);
  return value;
}

// A name that requests carry, unlike the others of its list.
void CheckName(const Json& item, const std::string& path, std::set<std::string>& taken) {
  constexpr char kAllowed[] = "a text of 1 to 255 bytes, unlike the names before it";
  constexpr std::size_t kMostBytes = 255;
  const Json& name = Member(item, path, "name", kAllowed);
  const std::string text = name.is_string() ? name.get<std::string>() : std::string();
  if (text.empty() || text.size() > kMostBytes || !taken.insert(text).second)
    Reject(path + "name", name, kAllowed);
}

// The objects of a list, each with its path.
void ForEachObject(const Json& list, const std::string& path,
                   const std::function<void(const Json& item, const std::string& path)>& check) {
  if (!list.is_array()) Reject(path, list, "a list of objects");
  for (std::size_t i = 0; i < list.size(); ++i) {
    const std::string at = path + '.' + std::to_string(i);
    if (!list[i].is_object()) Reject(at, list[i], "an object");
    check(list[i], at + '.');
  }
}

// Guards against a deadline that is a number in quotes, which flattened would be read as one, and against
// classes and tenants that no request could name.
void CheckLists(const Json& settings) {
  constexpr char kClasses[] = "a list of at least one class";
  const Json& classes = Member(settings, "settings.", "requestClasses", kClasses);
  if (!classes.is_array() || classes.empty()) Reject("settings.requestClasses", classes, kClasses);
  std::set<std::string> names;
  ForEachObject(classes, "settings.requestClasses", [&names](const Json& item, const std::string& path) {
    constexpr char kDeadline[] = "a number above 0";
    CheckName(item, path, names);
    const Json& deadline = Member(item, path, "hardLimitMs", kDeadline);
    const double ms = deadline.is_number() ? deadline.get<double>() : 0;
    if (!(std::isfinite(ms) && ms > 0)) Reject(path + "hardLimitMs", deadline, kDeadline);
  });
  const auto tenants = settings.find("tenants");
  if (tenants == settings.end() || tenants->is_null()) return;
  std::set<std::string> owners;
  ForEachObject(*tenants, "settings.tenants",
                [&owners](const Json& item, const std::string& path) { CheckName(item, path, owners); });
}

// Translates an error of Settings::Validate(), "field: must be ...", into the keys of the file.
[[noreturn]] void RejectField(const Json& settings, const std::string& word) {
  const std::size_t colon = word.find(": must ");
  const std::string key = SettingsKeyOf(word.substr(0, colon));
  std::string pointer = '/' + key;
  std::replace(pointer.begin(), pointer.end(), '.', '/');
  const Json::json_pointer at(pointer);
  const Json value = settings.contains(at) ? settings.at(at) : Json();
  throw ConfigError("settings." + key + " is " + Shown(value) + "; it " + word.substr(colon + 2),
                    {.file = {},
                     .key = "settings." + key,
                     .value = Shown(value),
                     .allowed = word.substr(colon + std::string_view(": must ").size())});
}

bool SameKind(const Json& a, const Json& b) {
  return (a.is_number() && b.is_number()) || a.type() == b.type();
}

std::string KindName(const Json& value) {
  return std::string(value.is_number() ? "a number" : value.type_name());
}

// Guards against a file with a part left out, whose place a default would take: what `running` has must be in
// `fresh`, too. Lists of objects are matched by name; one of a new name needs what all the running have.
void CheckKeys(const Json& running, const Json& fresh, const std::string& path) {
  if (!SameKind(running, fresh)) {
    Reject(path, fresh, KindName(running) + ", as in the running one");
  }
  if (running.is_object()) {
    for (const auto& [name, member] : running.items()) {
      const std::string at = Below(path, name);
      if (!fresh.contains(name)) {
        RejectMissing(at, KindName(member) + ", as in the running one");
      }
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
  constexpr double kMostStopMs = 3'600'000;
  constexpr double kMostMemoryMb = 1 << 20;
  constexpr double kLeastMemoryMb = 1;
  const Json json = Json::parse(text, nullptr, false);
  if (!json.is_object())
    throw ConfigError("the text is not JSON, or not an object; it must be one JSON object");
  Config config;
  config.name = GetText(json, "name");
  config.listen_address = GetText(json, "listen");
  config.pool_address = GetText(json, "pool");
  config.registry_address = GetText(json, "registry");
  if (json.contains("store")) config.store_address = GetText(json, "store");
  if (json.contains("ops")) config.admin_address = GetText(json, "ops");
  const std::string seed = GetText(json, "seed");
  const auto [end, fault] = std::from_chars(seed.data(), seed.data() + seed.size(), config.seed, 16);
  if (fault != std::errc() || end != seed.data() + seed.size()) {
    Reject("seed", seed, "a hexadecimal number of at most 64 bits");
  }
  config.drain_timeout =
      std::chrono::milliseconds(static_cast<std::int64_t>(GetNumber(json, "", "stop_ms", 0, kMostStopMs)));
  const Json& limits = GetObject(json, "limits");
  config.max_descriptors =
      static_cast<int>(GetNumber(limits, "limits.", "sockets", kLeastSockets, kMostSockets));
  if (limits.contains("memory_mb")) {
    config.memory_limit_mb = GetNumber(limits, "limits.", "memory_mb", kLeastMemoryMb, kMostMemoryMb);
  }
  const Json& settings = GetObject(json, "settings");
  CheckLists(settings);
  std::string lines;
  Flatten(settings, "", lines);
  try {
    config.settings = hingelink::simulator_adapter::ParseSettings(lines);
  } catch (const std::exception& wrong) {
    throw ConfigError(wrong.what());
  }
  const std::string wrong = config.settings.Validate();
  if (!wrong.empty()) RejectField(settings, wrong);
  config.source_text = text;
  return config;
}

void Config::CheckAgainst(const Config& running) const {
  CheckKeys(Json::parse(running.source_text, nullptr, false), Json::parse(source_text, nullptr, false), "");
}

Config ReadConfig(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) {
    const std::string reason = std::strerror(errno);
    throw ConfigError("configuration '" + path + "' cannot be read: " + reason,
                      {.file = path, .key = {}, .value = {}, .allowed = {}});
  }
  try {
    return ParseConfig(std::string(std::istreambuf_iterator<char>(file), {}));
  } catch (const ConfigError& fault) {
    ConfigError::Details details = fault.details();
    details.file = path;
    throw ConfigError("configuration '" + path + "': " + fault.what(), std::move(details));
  }
}

}  // namespace hingelink::node
