#include "simulator_adapter/settings_parser.h"

#include <charconv>
#include <cmath>
#include <map>
#include <string>
#include <vector>

#include "simulator_adapter/codec.h"

namespace hingelink::simulator_adapter {
namespace {

// More classes or tenants than this is taken for a damaged count.
constexpr int kMostEntries = 65536;

class Pairs {
 public:
  explicit Pairs(std::string_view text) {
    int line_number = 0;
    while (!text.empty()) {
      const std::size_t end = text.find('\n');
      std::string_view line = text.substr(0, end);
      text = end == std::string_view::npos ? std::string_view() : text.substr(end + 1);
      ++line_number;
      if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
      if (line.empty()) continue;
      const std::size_t sign = line.find('=');
      if (sign == std::string_view::npos || sign == 0) {
        throw WireError("settings line " + std::to_string(line_number) + " is no path=value pair");
      }
      values_.insert_or_assign(std::string(line.substr(0, sign)), line.substr(sign + 1));
    }
  }

  bool Has(const std::string& key) const { return values_.count(key) != 0; }

  std::string_view Text(const std::string& key, std::string_view otherwise) const {
    auto it = values_.find(key);
    return it == values_.end() ? otherwise : it->second;
  }

  double Number(const std::string& key) const { return ToNumber(key, Must(key, "a number")); }
  double Number(const std::string& key, double otherwise) const { return Has(key) ? Number(key) : otherwise; }

  int Count(const std::string& key, int most = kMostEntries) const {
    const std::string wanted = "a whole number from 0 to " + std::to_string(most);
    const std::string_view text = Must(key, wanted);
    const double value = ToNumber(key, text);
    if (value < 0 || value > most || value != std::floor(value)) Bad(key, text, wanted);
    return static_cast<int>(value);
  }
  int Count(const std::string& key, int otherwise, int most) const {
    return Has(key) ? Count(key, most) : otherwise;
  }

  bool Flag(const std::string& key, bool otherwise) const {
    return Has(key) ? ToFlag(key, Text(key, {})) : otherwise;
  }

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

  // A list with one value for each class; absent means `length` times nothing.
  std::vector<std::string_view> ListFor(const std::string& key, std::size_t length) const {
    std::vector<std::string_view> parts = List(key);
    if (!parts.empty() && parts.size() != length) {
      throw WireError("settings " + key + " has " + std::to_string(parts.size()) + " values for " +
                      std::to_string(length) + " classes");
    }
    return parts;
  }

  static double ToNumber(const std::string& key, std::string_view text) {
    double value = 0;
    const auto [end, fault] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (fault != std::errc() || end != text.data() + text.size() || !std::isfinite(value)) {
      Bad(key, text, "a number");
    }
    return value;
  }

  static bool ToFlag(const std::string& key, std::string_view text) {
    if (text == "true") return true;
    if (text != "false") Bad(key, text, "true or false");
    return false;
  }

  [[noreturn]] static void Bad(const std::string& key, std::string_view text, const std::string& wanted) {
    throw WireError("settings " + key + "=" + std::string(text.substr(0, 40)) + " is not " + wanted);
  }

 private:
  std::string_view Must(const std::string& key, const std::string& wanted) const {
    auto it = values_.find(key);
    if (it == values_.end()) throw WireError("settings lack " + key + ", which must be " + wanted);
    return it->second;
  }

  std::map<std::string, std::string_view> values_;
};

Idempotency ToIdempotency(const std::string& key, std::string_view text) {
  if (text == "safe") return Idempotency::kIdempotent;
  if (text == "keyed") return Idempotency::kKeyed;
  if (text == "unsafe") return Idempotency::kNotIdempotent;
  Pairs::Bad(key, text, "safe, keyed or unsafe");
}

LoadSignalKind ToLoadSignalKind(const std::string& key, std::string_view text) {
  if (text == "silent") return LoadSignalKind::kNone;
  if (text == "threshold") return LoadSignalKind::kThreshold;
  if (text == "window") return LoadSignalKind::kWindow;
  if (text == "share_of") return LoadSignalKind::kAcceptProbability;
  Pairs::Bad(key, text, "threshold, window, share_of or silent");
}

void ReadClasses(const Pairs& in, Settings& s) {
  s.classes.resize(in.Count("requestClasses.count"));
  const auto calls = in.ListFor("specifics.classCalls", s.classes.size());
  const auto without = in.ListFor("specifics.worthWithout", s.classes.size());
  for (std::size_t i = 0; i < s.classes.size(); ++i) {
    const std::string at = "requestClasses." + std::to_string(i) + ".";
    RequestClass& c = s.classes[i];
    c.name = in.Text(at + "name", "");
    c.deadline_ms = in.Number(at + "hardLimitMs");
    c.latency_objective_ms = in.Number(at + "goalTimeMs", c.deadline_ms);
    c.latency_objective_work_factor = in.Number(at + "aimStretch", 0);
    c.late_weight_fraction = in.Number(at + "lateShare", 0);
    c.priority_weight = in.Number(at + "worth", 1);
    c.idempotency_window_ms = in.Number(at + "windowMs", 0);
    c.idempotency = ToIdempotency(at + "repeat", in.Text(at + "repeat", "unsafe"));
    if (!calls.empty()) c.may_call_upstream = Pairs::ToFlag("specifics.classCalls", calls[i]);
    if (!without.empty()) c.fallback_weight_fraction = Pairs::ToNumber("specifics.worthWithout", without[i]);
  }
}

void ReadTenants(const Pairs& in, Settings& s) {
  s.tenants.resize(in.Count("tenants.count", 0, kMostEntries));
  for (std::size_t i = 0; i < s.tenants.size(); ++i) {
    const std::string at = "tenants." + std::to_string(i) + ".";
    s.tenants[i].name = in.Text(at + "name", "");
    s.tenants[i].traffic_fraction = in.Number(at + "portion", 0);
    s.tenants[i].quota_rps = in.Number(at + "quotaRps", 0);
  }
}

}  // namespace

Settings ParseSettings(std::string_view text) {
  const Pairs in(text);
  Settings s;
  ReadClasses(in, s);
  ReadTenants(in, s);
  for (std::string_view name : in.List("specifics.gauges")) s.gauges.emplace_back(name);
  s.cores = in.Count("specifics.cpus");
  s.memory_kb = in.Number("specifics.memoryKb");
  s.running_memory_factor = in.Number("specifics.runFactor");
  s.idempotency_key_kb = in.Number("specifics.keyKb", 0);
  s.read_cache_ttl_ms = in.Number("specifics.freshMs", 0);
  s.warming_up = in.Flag("specifics.cold", false);
  s.warm_up_speed_fraction = in.Number("rules.coldFrom", 1);
  s.warm_up_ms = in.Number("rules.coldMs", 0);
  s.max_running_per_core = in.Number("rules.fallMultiple");
  s.max_running_window_ms = in.Number("rules.fallMs", 0);
  s.answer_grace_ms = in.Number("rules.answerSlackMs", 0);
  s.drain_grace_ms = in.Number("rules.drainGraceMs", 0);
  s.min_batch_interval_ms = in.Number("quantumMs");
  const std::string_view below = in.Text("specifics.dependsOn", "silent");
  if (below != "silent" && below != "shared" && below != "tier") {
    Pairs::Bad("specifics.dependsOn", below, "shared, tier or silent");
  }
  s.has_upstream = below != "silent";
  s.upstream_call_quota = in.Number("specifics.callShare", 0);
  s.upstream_call_quota_window_ms = in.Number("specifics.callsOverMs", 0);
  s.abandoned_call_ms = in.Number("specifics.lingersMs", 0);
  s.callers_send_remaining_wait = in.Flag("specifics.passesDeadline", false);
  s.fleet_size = in.Count("peersTotal", 1, kMostEntries);
  s.callers = in.Count("specifics.clientsTotal", 1, kMostEntries);
  s.over_quota_weight_fraction = in.Number("overShareWorth", 1);
  s.weight_by_work = in.Text("worthBy", "request") == "work";
  s.load_signal = ToLoadSignalKind("specifics.signal", in.Text("specifics.signal", "silent"));
  s.load_signal_lifetime_ms = in.Number("specifics.heardForMs", 0);
  const std::string_view stop = in.Text("specifics.stopMode", "silent");
  if (stop != "silent" && stop != "abort" && stop != "suspend") {
    Pairs::Bad("specifics.stopMode", stop, "abort, suspend or silent");
  }
  s.can_cancel_runs = stop != "silent";
  s.sends_retry_after = in.Flag("limits.retryAfter", false);
  s.max_retry_after_ms = in.Number("limits.maxRetryAfterMs", 0);
  s.caller_idle_timeout_ms = in.Number("specifics.idleMs", 0);
  s.goal_weight_overall = in.Number("goal.whole", 1);
  s.goal_weight_worst_window = in.Number("goal.worstWindow", 0);
  s.goal_weight_worst_class = in.Number("goal.worstClass", 0);
  s.goal_weight_worst_tenant = in.Number("goal.worstTenant", 0);
  return s;
}

}  // namespace hingelink::simulator_adapter
