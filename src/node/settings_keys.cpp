#include "node/settings_keys.h"

#include <algorithm>
#include <iterator>

namespace hingelink::node {
namespace {

struct FieldKey {
  std::string_view field;
  std::string_view key;
};

constexpr FieldKey kScalars[] = {
    {"cores", "specifics.cpus"},
    {"memory_kb", "specifics.memoryKb"},
    {"run_factor", "specifics.runFactor"},
    {"key_kb", "specifics.keyKb"},
    {"fresh_ms", "specifics.freshMs"},
    {"callers", "specifics.clientsTotal"},
    {"call_share", "specifics.callShare"},
    {"calls_over_ms", "specifics.callsOverMs"},
    {"call_linger_ms", "specifics.lingersMs"},
    {"signal_heard_ms", "specifics.heardForMs"},
    {"idle_ms", "specifics.idleMs"},
    {"cold_share", "rules.coldFrom"},
    {"cold_ms", "rules.coldMs"},
    {"fall_multiple", "rules.fallMultiple"},
    {"fall_ms", "rules.fallMs"},
    {"answer_slack_ms", "rules.answerSlackMs"},
    {"drain_grace_ms", "rules.drainGraceMs"},
    {"max_retry_after_ms", "limits.maxRetryAfterMs"},
    {"over_share_worth", "overShareWorth"},
    {"goal_whole", "goal.whole"},
    {"goal_window", "goal.worstWindow"},
    {"goal_class", "goal.worstClass"},
    {"goal_tenant", "goal.worstTenant"},
    {"tick_ms", "quantumMs"},
    {"fleet_size", "peersTotal"},
    {"classes", "requestClasses"},
};

constexpr FieldKey kMembers[] = {
    {"deadline_ms", "hardLimitMs"}, {"aim_ms", "goalTimeMs"},    {"aim_stretch", "aimStretch"},
    {"window_ms", "windowMs"},      {"late_share", "lateShare"}, {"share", "portion"},
    {"quota_rps", "quotaRps"},
};

template <std::size_t kSize>
std::string_view KeyIn(const FieldKey (&keys)[kSize], std::string_view field) {
  const auto* known =
      std::find_if(std::begin(keys), std::end(keys), [field](const FieldKey& k) { return k.field == field; });
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
  // One list for all classes, beside them.
  if (member == "fallback_share") return std::string("specifics.worthWithout.").append(index);
  return std::string(list).append(".").append(index).append(".").append(KeyIn(kMembers, member));
}

}  // namespace hingelink::node
