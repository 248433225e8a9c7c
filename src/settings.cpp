// Checks that settings do not contradict themselves. Holds no decision and no tuned value.
#include <cmath>
#include <string>
#include <utility>

#include "hingelink/server_policy.h"

namespace hingelink {
namespace {

bool BadTime(double value) { return !std::isfinite(value) || value < 0; }

}  // namespace

std::string Settings::Validate() const {
  if (cores <= 0) return "cores: must be at least 1";
  if (!std::isfinite(memory_kb) || memory_kb <= 0) return "memory_kb: must be above 0";
  if (!std::isfinite(run_factor) || run_factor < 1) return "run_factor: must be at least 1";
  if (!std::isfinite(fall_multiple) || fall_multiple < 1) return "fall_multiple: must be at least 1";
  if (!std::isfinite(cold_share) || cold_share < 0 || cold_share > 1) return "cold_share: must lie in 0 to 1";
  if (!std::isfinite(tick_ms) || tick_ms <= 0) return "tick_ms: must be above 0";
  if (fleet_size < 1) return "fleet_size: must be at least 1";
  if (callers < 1) return "callers: must be at least 1";
  if (classes.empty()) return "classes: must not be empty";
  const std::pair<const char*, double> times[] = {
      {"key_kb", key_kb},
      {"fresh_ms", fresh_ms},
      {"cold_ms", cold_ms},
      {"fall_ms", fall_ms},
      {"answer_slack_ms", answer_slack_ms},
      {"drain_grace_ms", drain_grace_ms},
      {"call_share", call_share},
      {"calls_over_ms", calls_over_ms},
      {"call_linger_ms", call_linger_ms},
      {"signal_heard_ms", signal_heard_ms},
      {"max_retry_after_ms", max_retry_after_ms},
      {"idle_ms", idle_ms},
      {"over_share_worth", over_share_worth},
      {"goal_whole", goal_whole},
      {"goal_window", goal_window},
      {"goal_class", goal_class},
      {"goal_tenant", goal_tenant},
  };
  for (const auto& [name, value] : times) {
    if (BadTime(value)) return std::string(name) + ": must be a number, not negative";
  }
  for (std::size_t i = 0; i < classes.size(); ++i) {
    const RequestClass& c = classes[i];
    const std::string at = "classes[" + std::to_string(i) + "].";
    if (BadTime(c.deadline_ms) || c.deadline_ms == 0) return at + "deadline_ms: must be above 0";
    if (BadTime(c.aim_ms)) return at + "aim_ms: must be a number, not negative";
    if (BadTime(c.aim_stretch)) return at + "aim_stretch: must be a number, not negative";
    if (BadTime(c.window_ms)) return at + "window_ms: must be a number, not negative";
    if (BadTime(c.worth)) return at + "worth: must be a number, not negative";
    if (BadTime(c.late_share)) return at + "late_share: must be a number, not negative";
    if (BadTime(c.fallback_share)) return at + "fallback_share: must be a number, not negative";
  }
  for (std::size_t i = 0; i < tenants.size(); ++i) {
    const std::string at = "tenants[" + std::to_string(i) + "].";
    if (BadTime(tenants[i].share)) return at + "share: must be a number, not negative";
    if (BadTime(tenants[i].quota_rps)) return at + "quota_rps: must be a number, not negative";
  }
  return {};
}

}  // namespace hingelink
