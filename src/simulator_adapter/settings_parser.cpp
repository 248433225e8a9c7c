#include "simulator_adapter/settings_parser.h"

#include <charconv>
#include <cmath>
#include <map>
#include <string>
#include <vector>

#include "simulator_adapter/errors.h"

namespace hingelink::simulator_adapter {
namespace {

// Maximum of a count of classes, tenants, servers or callers.
constexpr int kMaxCount = 65536;
// Longer values are cut in error messages.
constexpr std::size_t kMaxShownCharacters = 40;

// The values of the settings by key. Each getter throws SettingsError if the value does not have the type of
// the getter. If the key is missing, getters with a default value return the default, and the others throw
// SettingsError.
class KeyValuePairs {
 public:
  explicit KeyValuePairs(std::string_view text) {
    int line_number = 0;
    while (!text.empty()) {
      const std::size_t end = text.find('\n');
      std::string_view line = text.substr(0, end);
      text = end == std::string_view::npos ? std::string_view() : text.substr(end + 1);
      ++line_number;
      if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
      if (line.empty()) continue;
      const std::size_t equals_sign = line.find('=');
      if (equals_sign == std::string_view::npos || equals_sign == 0) {
        throw SettingsError({}, "settings line " + std::to_string(line_number) + " is not a path=value pair");
      }
      values_.insert_or_assign(std::string(line.substr(0, equals_sign)), line.substr(equals_sign + 1));
    }
  }

  bool Has(const std::string& key) const { return values_.count(key) != 0; }

  std::string_view Text(const std::string& key, std::string_view default_value) const {
    auto it = values_.find(key);
    return it == values_.end() ? default_value : it->second;
  }

  double Number(const std::string& key) const { return ToNumber(key, Require(key, "a number")); }
  double Number(const std::string& key, double default_value) const {
    return Has(key) ? Number(key) : default_value;
  }

  // A count is a whole number from 0 to `max`.
  int Count(const std::string& key, int max = kMaxCount) const {
    const std::string expected = "a whole number from 0 to " + std::to_string(max);
    const std::string_view text = Require(key, expected);
    const double value = ToNumber(key, text);
    if (value < 0 || value > max || value != std::floor(value)) Reject(key, text, expected);
    return static_cast<int>(value);
  }
  int Count(const std::string& key, int default_value, int max) const {
    return Has(key) ? Count(key, max) : default_value;
  }

  // The values of a flag are `true` and `false`.
  bool Flag(const std::string& key, bool default_value) const {
    return Has(key) ? ToFlag(key, Text(key, {})) : default_value;
  }

  // Returns the values of a comma-separated list; empty if the key is missing.
  std::vector<std::string_view> List(const std::string& key) const {
    std::vector<std::string_view> parts;
    std::string_view text = Text(key, "");
    while (!text.empty()) {
      const std::size_t comma = text.find(',');
      parts.push_back(text.substr(0, comma));
      text = comma == std::string_view::npos ? std::string_view() : text.substr(comma + 1);
    }
    return parts;
  }

  // Returns a comma-separated list with one value for each of `length` classes; empty if the key is missing.
  std::vector<std::string_view> ListOfLength(const std::string& key, std::size_t length) const {
    std::vector<std::string_view> parts = List(key);
    if (!parts.empty() && parts.size() != length) {
      throw SettingsError(key, "settings " + key + " has " + std::to_string(parts.size()) + " values for " +
                                   std::to_string(length) + " classes");
    }
    return parts;
  }

  static double ToNumber(const std::string& key, std::string_view text) {
    double value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || end != text.data() + text.size() || !std::isfinite(value)) {
      Reject(key, text, "a number");
    }
    return value;
  }

  static bool ToFlag(const std::string& key, std::string_view text) {
    if (text == "true") return true;
    if (text != "false") Reject(key, text, "true or false");
    return false;
  }

  [[noreturn]] static void Reject(const std::string& key, std::string_view text,
                                  const std::string& expected) {
    throw SettingsError(key, "settings " + key + "=" + std::string(text.substr(0, kMaxShownCharacters)) +
                                 " is not " + expected);
  }

 private:
  std::string_view Require(const std::string& key, const std::string& expected) const {
    auto it = values_.find(key);
    if (it == values_.end()) throw SettingsError(key, "settings lack " + key + ", which must be " + expected);
    return it->second;
  }

  std::map<std::string, std::string_view> values_;
};

Idempotency ToIdempotency(const std::string& key, std::string_view text) {
  if (text == "safe") return Idempotency::kIdempotent;
  if (text == "keyed") return Idempotency::kKeyed;
  if (text == "unsafe") return Idempotency::kNotIdempotent;
  KeyValuePairs::Reject(key, text, "safe, keyed or unsafe");
}

LoadSignalKind ToLoadSignalKind(const std::string& key, std::string_view text) {
  if (text == "silent") return LoadSignalKind::kNone;
  if (text == "threshold") return LoadSignalKind::kThreshold;
  if (text == "window") return LoadSignalKind::kWindow;
  if (text == "share_of") return LoadSignalKind::kAcceptProbability;
  KeyValuePairs::Reject(key, text, "threshold, window, share_of or silent");
}

void ReadClasses(const KeyValuePairs& pairs, Settings& settings) {
  settings.classes.resize(pairs.Count("requestClasses.count"));
  const auto may_call = pairs.ListOfLength("specifics.classCalls", settings.classes.size());
  const auto fallback_weights = pairs.ListOfLength("specifics.worthWithout", settings.classes.size());
  for (std::size_t i = 0; i < settings.classes.size(); ++i) {
    const std::string prefix = "requestClasses." + std::to_string(i) + ".";
    RequestClass& config = settings.classes[i];
    config.name = pairs.Text(prefix + "name", "");
    config.deadline_ms = pairs.Number(prefix + "hardLimitMs");
    config.latency_objective_ms = pairs.Number(prefix + "goalTimeMs", config.deadline_ms);
    config.latency_objective_work_factor = pairs.Number(prefix + "aimStretch", 0);
    config.late_weight_fraction = pairs.Number(prefix + "lateShare", 0);
    config.priority_weight = pairs.Number(prefix + "worth", 1);
    config.idempotency_window_ms = pairs.Number(prefix + "windowMs", 0);
    config.idempotency = ToIdempotency(prefix + "repeat", pairs.Text(prefix + "repeat", "unsafe"));
    if (!may_call.empty())
      config.may_call_upstream = KeyValuePairs::ToFlag("specifics.classCalls", may_call[i]);
    if (!fallback_weights.empty())
      config.fallback_weight_fraction =
          KeyValuePairs::ToNumber("specifics.worthWithout", fallback_weights[i]);
  }
}

void ReadTenants(const KeyValuePairs& pairs, Settings& settings) {
  settings.tenants.resize(pairs.Count("tenants.count", 0, kMaxCount));
  for (std::size_t i = 0; i < settings.tenants.size(); ++i) {
    const std::string prefix = "tenants." + std::to_string(i) + ".";
    settings.tenants[i].name = pairs.Text(prefix + "name", "");
    settings.tenants[i].traffic_fraction = pairs.Number(prefix + "portion", 0);
    settings.tenants[i].quota_rps = pairs.Number(prefix + "quotaRps", 0);
  }
}

void ReadServer(const KeyValuePairs& pairs, Settings& settings) {
  settings.cores = pairs.Count("specifics.cpus");
  settings.memory_kb = pairs.Number("specifics.memoryKb");
  settings.running_memory_factor = pairs.Number("specifics.runFactor");
  settings.idempotency_key_kb = pairs.Number("specifics.keyKb", 0);
  settings.read_cache_ttl_ms = pairs.Number("specifics.freshMs", 0);
  settings.warming_up = pairs.Flag("specifics.cold", false);
  settings.warm_up_speed_fraction = pairs.Number("rules.coldFrom", 1);
  settings.warm_up_ms = pairs.Number("rules.coldMs", 0);
  settings.max_running_per_core = pairs.Number("rules.fallMultiple");
  settings.max_running_window_ms = pairs.Number("rules.fallMs", 0);
  settings.answer_grace_ms = pairs.Number("rules.answerSlackMs", 0);
  settings.drain_grace_ms = pairs.Number("rules.drainGraceMs", 0);
  settings.min_batch_interval_ms = pairs.Number("quantumMs");
}

void ReadUpstream(const KeyValuePairs& pairs, Settings& settings) {
  const std::string_view upstream = pairs.Text("specifics.dependsOn", "silent");
  if (upstream != "silent" && upstream != "shared" && upstream != "tier") {
    KeyValuePairs::Reject("specifics.dependsOn", upstream, "shared, tier or silent");
  }
  settings.has_upstream = upstream != "silent";
  settings.upstream_call_quota = pairs.Number("specifics.callShare", 0);
  settings.upstream_call_quota_window_ms = pairs.Number("specifics.callsOverMs", 0);
  settings.abandoned_call_ms = pairs.Number("specifics.lingersMs", 0);
}

void ReadCallers(const KeyValuePairs& pairs, Settings& settings) {
  settings.callers_send_remaining_wait = pairs.Flag("specifics.passesDeadline", false);
  settings.fleet_size = pairs.Count("peersTotal", 1, kMaxCount);
  settings.callers = pairs.Count("specifics.clientsTotal", 1, kMaxCount);
  settings.over_quota_weight_fraction = pairs.Number("overShareWorth", 1);
  settings.weight_by_work = pairs.Text("worthBy", "request") == "work";
  settings.load_signal = ToLoadSignalKind("specifics.signal", pairs.Text("specifics.signal", "silent"));
  settings.load_signal_lifetime_ms = pairs.Number("specifics.heardForMs", 0);
  const std::string_view stop_mode = pairs.Text("specifics.stopMode", "silent");
  if (stop_mode != "silent" && stop_mode != "abort" && stop_mode != "suspend") {
    KeyValuePairs::Reject("specifics.stopMode", stop_mode, "abort, suspend or silent");
  }
  settings.can_cancel_runs = stop_mode != "silent";
  settings.sends_retry_after = pairs.Flag("limits.retryAfter", false);
  settings.max_retry_after_ms = pairs.Number("limits.maxRetryAfterMs", 0);
  settings.caller_idle_timeout_ms = pairs.Number("specifics.idleMs", 0);
}

void ReadGoalWeights(const KeyValuePairs& pairs, Settings& settings) {
  settings.goal_weight_overall = pairs.Number("goal.whole", 1);
  settings.goal_weight_worst_window = pairs.Number("goal.worstWindow", 0);
  settings.goal_weight_worst_class = pairs.Number("goal.worstClass", 0);
  settings.goal_weight_worst_tenant = pairs.Number("goal.worstTenant", 0);
}

}  // namespace

Settings ParseSettings(std::string_view text) {
  const KeyValuePairs pairs(text);
  Settings settings;
  ReadClasses(pairs, settings);
  ReadTenants(pairs, settings);
  for (const std::string_view name : pairs.List("specifics.gauges")) settings.gauges.emplace_back(name);
  ReadServer(pairs, settings);
  ReadUpstream(pairs, settings);
  ReadCallers(pairs, settings);
  ReadGoalWeights(pairs, settings);
  return settings;
}

}  // namespace hingelink::simulator_adapter
