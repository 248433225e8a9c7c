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

constexpr int kMinDescriptors = 64;
constexpr int kMaxDescriptors = std::numeric_limits<int>::max();

// Formats a value for a settings line. Rejects a text with a line break, since the parser would read the rest
// as further settings.
std::string FormatScalar(const Json& value, const std::string& path) {
  if (!value.is_string()) return value.dump();
  std::string text = value.get<std::string>();
  if (text.find_first_of("\r\n") != std::string::npos) {
    throw ConfigError("settings." + path + " has a line break; it must be a text of one line",
                      {.file = {}, .key = "settings." + path, .value = {}, .allowed = "a text of one line"});
  }
  return text;
}

std::string JoinPath(const std::string& path, const std::string& name) {
  return path.empty() ? name : std::string(path).append(".").append(name);
}

// Writes nested settings as the path=value lines that the adapter's parser reads.
void Flatten(const Json& value, const std::string& path, std::string& lines) {
  if (value.is_object()) {
    for (const auto& [name, member] : value.items()) {
      Flatten(member, JoinPath(path, name), lines);
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
    for (std::size_t i = 0; i < value.size(); ++i) lines += (i > 0 ? "," : "") + FormatScalar(value[i], path);
  } else if (!value.is_null()) {
    lines += FormatScalar(value, path);
  }
  lines += '\n';
}

// Formats an invalid value for an error message, shortened.
std::string FormatValue(const Json& value) {
  constexpr std::size_t kMaxShownBytes = 60;
  const std::string text = value.dump(-1, ' ', false, Json::error_handler_t::replace);
  return text.size() <= kMaxShownBytes ? text : text.substr(0, kMaxShownBytes) + "...";
}

[[noreturn]] void Reject(const std::string& path, const Json& value, const std::string& allowed) {
  const std::string shown = FormatValue(value);
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

// Reads a number between `min` and `max` inclusive.
double GetNumber(const Json& object, const std::string& path, const char* name, double min, double max) {
  const std::string allowed = "a number from " + Json(min).dump() + " to " + Json(max).dump();
  const Json& value = Member(object, path, name, allowed);
  const double number = value.is_number() ? value.get<double>() : std::nan("");
  if (!(number >= min && number <= max)) Reject(path + name, value, allowed);
  return number;
}

const Json& GetObject(const Json& object, const char* name) {
  constexpr char kAllowed[] = "an object";
  const Json& value = Member(object, "", name, kAllowed);
  if (!value.is_object()) Reject(name, value, kAllowed);
  return value;
}

// Checks that the member "name" of a class or tenant is valid in a request and unique in its list.
void CheckName(const Json& item, const std::string& path, std::set<std::string>& names) {
  constexpr char kAllowed[] = "a text of 1 to 255 bytes, unlike the names before it";
  constexpr std::size_t kMaxNameBytes = 255;
  const Json& name = Member(item, path, "name", kAllowed);
  const std::string text = name.is_string() ? name.get<std::string>() : std::string();
  if (text.empty() || text.size() > kMaxNameBytes || !names.insert(text).second)
    Reject(path + "name", name, kAllowed);
}

// Calls `check` with each object of a list and the path of the object.
void ForEachObject(const Json& list, const std::string& path,
                   const std::function<void(const Json& item, const std::string& path)>& check) {
  if (!list.is_array()) Reject(path, list, "a list of objects");
  for (std::size_t i = 0; i < list.size(); ++i) {
    const std::string at = path + '.' + std::to_string(i);
    if (!list[i].is_object()) Reject(at, list[i], "an object");
    check(list[i], at + '.');
  }
}

// Checks the classes and tenants. Rejects a deadline that is a quoted number, since the flattened line would
// be parsed as a number, and names that no request can carry.
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
  std::set<std::string> tenant_names;
  ForEachObject(*tenants, "settings.tenants", [&tenant_names](const Json& item, const std::string& path) {
    CheckName(item, path, tenant_names);
  });
}

// Throws a ConfigError for an error of Settings::Validate() ("field: must be ...") that names the key in the
// configuration file instead of the field.
[[noreturn]] void RejectField(const Json& settings, const std::string& error) {
  const std::size_t colon = error.find(": must ");
  const std::string key = SettingsKeyOf(error.substr(0, colon));
  std::string pointer = '/' + key;
  std::replace(pointer.begin(), pointer.end(), '.', '/');
  const Json::json_pointer at(pointer);
  const Json value = settings.contains(at) ? settings.at(at) : Json();
  throw ConfigError("settings." + key + " is " + FormatValue(value) + "; it " + error.substr(colon + 2),
                    {.file = {},
                     .key = "settings." + key,
                     .value = FormatValue(value),
                     .allowed = error.substr(colon + std::string_view(": must ").size())});
}

bool SameType(const Json& a, const Json& b) {
  return (a.is_number() && b.is_number()) || a.type() == b.type();
}

std::string TypeName(const Json& value) {
  return std::string(value.is_number() ? "a number" : value.type_name());
}

// Checks that `reloaded` has every key that `running` has, with a value of the same JSON type. Otherwise a
// key left out of the file would silently get its default. Objects in a list are matched by name; an object
// with a new name needs the keys that all running objects of the list have.
void CheckKeys(const Json& running, const Json& reloaded, const std::string& path) {
  if (!SameType(running, reloaded)) {
    Reject(path, reloaded, TypeName(running) + ", as in the running configuration");
  }
  if (running.is_object()) {
    for (const auto& [name, member] : running.items()) {
      const std::string at = JoinPath(path, name);
      if (!reloaded.contains(name)) {
        RejectMissing(at, TypeName(member) + ", as in the running configuration");
      }
      CheckKeys(member, reloaded[name], at);
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
  for (std::size_t i = 0; i < reloaded.size(); ++i) {
    const auto same = std::find_if(running.begin(), running.end(), [&](const Json& item) {
      return !name_of(item).is_null() && name_of(item) == name_of(reloaded[i]);
    });
    CheckKeys(same != running.end() ? *same : common, reloaded[i], path + '.' + std::to_string(i));
  }
}

}  // namespace

Config ParseConfig(const std::string& text) {
  constexpr double kMaxDrainTimeoutMs = 3'600'000;
  constexpr double kMaxMemoryMb = 1 << 20;
  constexpr double kMinMemoryMb = 1;
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
  const auto [end, parse_error] = std::from_chars(seed.data(), seed.data() + seed.size(), config.seed, 16);
  if (parse_error != std::errc() || end != seed.data() + seed.size()) {
    Reject("seed", seed, "a hexadecimal number of at most 64 bits");
  }
  config.drain_timeout = std::chrono::milliseconds(
      static_cast<std::int64_t>(GetNumber(json, "", "stop_ms", 0, kMaxDrainTimeoutMs)));
  const Json& limits = GetObject(json, "limits");
  config.max_descriptors =
      static_cast<int>(GetNumber(limits, "limits.", "sockets", kMinDescriptors, kMaxDescriptors));
  if (limits.contains("memory_mb")) {
    config.memory_limit_mb = GetNumber(limits, "limits.", "memory_mb", kMinMemoryMb, kMaxMemoryMb);
  }
  const Json& settings = GetObject(json, "settings");
  CheckLists(settings);
  std::string lines;
  Flatten(settings, "", lines);
  try {
    config.settings = hingelink::simulator_adapter::ParseSettings(lines);
  } catch (const std::exception& error) {
    throw ConfigError(error.what());
  }
  const std::string error = config.settings.Validate();
  if (!error.empty()) RejectField(settings, error);
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
  } catch (const ConfigError& error) {
    ConfigError::Details details = error.details();
    details.file = path;
    throw ConfigError("configuration '" + path + "': " + error.what(), std::move(details));
  }
}

}  // namespace hingelink::node
