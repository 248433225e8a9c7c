#include "node/settings_keys.h"

#include <algorithm>
#include <iterator>

namespace hingelink::node {
namespace {

struct FieldKey {
  std::string_view field;
  std::string_view key;
};

// Maps fields of hingelink::Settings to keys of the configuration file. The keys stay the same when a field
// is renamed.
constexpr FieldKey kScalars[] = {
    {"cores", "specifics.cpus"},
    {"memory_kb", "specifics.memoryKb"},
    {"running_memory_factor", "specifics.runFactor"},
    {"idempotency_key_kb", "specifics.keyKb"},
    {"read_cache_ttl_ms", "specifics.freshMs"},
    {"callers", "specifics.clientsTotal"},
    {"upstream_call_quota", "specifics.callShare"},
    {"upstream_call_quota_window_ms", "specifics.callsOverMs"},
    {"abandoned_call_ms", "specifics.lingersMs"},
    {"load_signal_lifetime_ms", "specifics.heardForMs"},
    {"caller_idle_timeout_ms", "specifics.idleMs"},
    {"warm_up_speed_fraction", "rules.coldFrom"},
    {"warm_up_ms", "rules.coldMs"},
    {"max_running_per_core", "rules.fallMultiple"},
    {"max_running_window_ms", "rules.fallMs"},
    {"answer_grace_ms", "rules.answerSlackMs"},
    {"drain_grace_ms", "rules.drainGraceMs"},
    {"max_retry_after_ms", "limits.maxRetryAfterMs"},
    {"over_quota_weight_fraction", "overShareWorth"},
    {"goal_weight_overall", "goal.whole"},
    {"goal_weight_worst_window", "goal.worstWindow"},
    {"goal_weight_worst_class", "goal.worstClass"},
    {"goal_weight_worst_tenant", "goal.worstTenant"},
    {"min_batch_interval_ms", "quantumMs"},
    {"fleet_size", "peersTotal"},
    {"classes", "requestClasses"},
};

// Fields of list elements.
constexpr FieldKey kMembers[] = {
    {"deadline_ms", "hardLimitMs"},
    {"latency_objective_ms", "goalTimeMs"},
    {"latency_objective_work_factor", "aimStretch"},
    {"idempotency_window_ms", "windowMs"},
    {"late_weight_fraction", "lateShare"},
    {"priority_weight", "worth"},
    {"traffic_fraction", "portion"},
    {"quota_rps", "quotaRps"},
};

template <std::size_t kSize>
std::string_view KeyIn(const FieldKey (&keys)[kSize], std::string_view field) {
  const auto* known = std::find_if(std::begin(keys), std::end(keys),
                                   [field](const FieldKey& entry) { return entry.field == field; });
  return known == std::end(keys) ? field : known->key;
}

}  // namespace

std::string SettingsKeyOf(std::string_view field) {
  const std::size_t open = field.find('[');
  const std::size_t close = field.find("].");
  if (open == std::string_view::npos || close == std::string_view::npos)
    return std::string(KeyIn(kScalars, field));
  const std::string_view list = KeyIn(kScalars, field.substr(0, open));
  const std::string_view index = field.substr(open + 1, close - open - 1);
  const std::string_view member = field.substr(close + 2);
  // The configuration file keeps these values in a separate list, indexed by class.
  if (member == "fallback_weight_fraction") return std::string("specifics.worthWithout.").append(index);
  return std::string(list).append(".").append(index).append(".").append(KeyIn(kMembers, member));
}

}  // namespace hingelink::node
