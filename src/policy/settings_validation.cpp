// Settings::Validate(): checks that each setting is in its allowed range.
#include <cmath>
#include <cstddef>
#include <string>
#include <string_view>

#include "hingelink/server_policy.h"

namespace hingelink {
namespace {

constexpr std::string_view kNotNegative = ": must be a number, not negative";

bool IsNonNegative(double value) { return std::isfinite(value) && value >= 0; }

// A field whose value must be finite and not negative.
template <typename Struct>
struct NumberField {
  std::string_view name;
  double Struct::*member;
};

constexpr NumberField<Settings> kSettingsNumbers[] = {
    {"idempotency_key_kb", &Settings::idempotency_key_kb},
    {"read_cache_ttl_ms", &Settings::read_cache_ttl_ms},
    {"warm_up_ms", &Settings::warm_up_ms},
    {"max_running_window_ms", &Settings::max_running_window_ms},
    {"answer_grace_ms", &Settings::answer_grace_ms},
    {"drain_grace_ms", &Settings::drain_grace_ms},
    {"upstream_call_quota", &Settings::upstream_call_quota},
    {"upstream_call_quota_window_ms", &Settings::upstream_call_quota_window_ms},
    {"abandoned_call_ms", &Settings::abandoned_call_ms},
    {"load_signal_lifetime_ms", &Settings::load_signal_lifetime_ms},
    {"max_retry_after_ms", &Settings::max_retry_after_ms},
    {"caller_idle_timeout_ms", &Settings::caller_idle_timeout_ms},
    {"over_quota_weight_fraction", &Settings::over_quota_weight_fraction},
    {"goal_weight_overall", &Settings::goal_weight_overall},
    {"goal_weight_worst_window", &Settings::goal_weight_worst_window},
    {"goal_weight_worst_class", &Settings::goal_weight_worst_class},
    {"goal_weight_worst_tenant", &Settings::goal_weight_worst_tenant},
};

constexpr NumberField<RequestClass> kClassNumbers[] = {
    {"latency_objective_ms", &RequestClass::latency_objective_ms},
    {"latency_objective_work_factor", &RequestClass::latency_objective_work_factor},
    {"idempotency_window_ms", &RequestClass::idempotency_window_ms},
    {"priority_weight", &RequestClass::priority_weight},
    {"late_weight_fraction", &RequestClass::late_weight_fraction},
    {"fallback_weight_fraction", &RequestClass::fallback_weight_fraction},
};

constexpr NumberField<Tenant> kTenantNumbers[] = {
    {"traffic_fraction", &Tenant::traffic_fraction},
    {"quota_rps", &Tenant::quota_rps},
};

// Returns an error about the first of `fields` that is negative or not finite, or an empty string.
template <typename Struct, std::size_t kCount>
std::string FirstBadNumber(const Struct& value, const NumberField<Struct> (&fields)[kCount]) {
  for (const NumberField<Struct>& field : fields) {
    if (!IsNonNegative(value.*field.member)) return std::string(field.name).append(kNotNegative);
  }
  return {};
}

std::string CheckServer(const Settings& settings) {
  if (settings.cores <= 0) return "cores: must be at least 1";
  if (!std::isfinite(settings.memory_kb) || settings.memory_kb <= 0) return "memory_kb: must be above 0";
  if (!std::isfinite(settings.running_memory_factor) || settings.running_memory_factor < 1)
    return "running_memory_factor: must be at least 1";
  if (!std::isfinite(settings.max_running_per_core) || settings.max_running_per_core < 1)
    return "max_running_per_core: must be at least 1";
  if (!IsNonNegative(settings.warm_up_speed_fraction) || settings.warm_up_speed_fraction > 1)
    return "warm_up_speed_fraction: must be between 0 and 1";
  if (!std::isfinite(settings.min_batch_interval_ms) || settings.min_batch_interval_ms <= 0)
    return "min_batch_interval_ms: must be above 0";
  if (settings.fleet_size < 1) return "fleet_size: must be at least 1";
  if (settings.callers < 1) return "callers: must be at least 1";
  if (settings.classes.empty()) return "classes: must not be empty";
  return FirstBadNumber(settings, kSettingsNumbers);
}

std::string CheckClass(const RequestClass& request_class) {
  if (!IsNonNegative(request_class.deadline_ms) || request_class.deadline_ms == 0)
    return "deadline_ms: must be above 0";
  return FirstBadNumber(request_class, kClassNumbers);
}

std::string ListElementError(std::string_view list, std::size_t index, const std::string& error) {
  return std::string(list).append("[").append(std::to_string(index)).append("].").append(error);
}

}  // namespace

std::string Settings::Validate() const {
  if (std::string error = CheckServer(*this); !error.empty()) return error;
  for (std::size_t i = 0; i < classes.size(); ++i) {
    if (const std::string error = CheckClass(classes[i]); !error.empty())
      return ListElementError("classes", i, error);
  }
  for (std::size_t i = 0; i < tenants.size(); ++i) {
    if (const std::string error = FirstBadNumber(tenants[i], kTenantNumbers); !error.empty())
      return ListElementError("tenants", i, error);
  }
  return {};
}

}  // namespace hingelink
