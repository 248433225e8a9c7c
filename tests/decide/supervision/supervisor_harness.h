// Helpers for tests of decide::Supervisor: times in milliseconds, searches in lists of actions, and
// supervisors in several initial states.
#ifndef HINGELINK_TESTS_DECIDE_SUPERVISION_SUPERVISOR_HARNESS_H_
#define HINGELINK_TESTS_DECIDE_SUPERVISION_SUPERVISOR_HARNESS_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "decide/supervision/supervisor.h"

namespace hingelink::decide {

using Actions = std::vector<SupervisorAction>;

inline SupervisorTime Ms(double milliseconds) { return SupervisorTime(milliseconds); }

template <typename Wanted>
std::vector<Wanted> ActionsOf(const Actions& actions) {
  std::vector<Wanted> found;
  for (const SupervisorAction& action : actions) {
    if (const auto* wanted = std::get_if<Wanted>(&action)) found.push_back(*wanted);
  }
  return found;
}

template <typename Wanted>
bool Contains(const Actions& actions) {
  return !ActionsOf<Wanted>(actions).empty();
}

// Returns the index of the first action of the wanted type, or the size of the list if there is none.
template <typename Wanted>
std::size_t FirstIndexOf(const Actions& actions) {
  const auto is_wanted = [](const SupervisorAction& action) {
    return std::holds_alternative<Wanted>(action);
  };
  return static_cast<std::size_t>(std::find_if(actions.begin(), actions.end(), is_wanted) - actions.begin());
}

inline bool Logs(const Actions& actions, const std::string& code) {
  const auto events = ActionsOf<LogEvent>(actions);
  return std::any_of(events.begin(), events.end(), [&](const LogEvent& event) { return event.code == code; });
}

// Returns the replies to the operator, concatenated, each as "ok:CODE" or "rejected:CODE".
inline std::string Replies(const Actions& actions) {
  std::string replies;
  for (const OperatorReply& reply : ActionsOf<OperatorReply>(actions)) {
    replies += std::string(reply.ok ? "ok:" : "rejected:") + reply.code;
  }
  return replies;
}

// A supervisor that takes times in milliseconds; tests may ignore the returned actions.
class SupervisorHarness {
 public:
  explicit SupervisorHarness(const SupervisorOptions& options = {}, std::uint64_t seed = 1)
      : options_(options), supervisor_(options_, seed) {}

  Actions At(double now_ms, const SupervisorEvent& event) { return At(Ms(now_ms), event); }
  Actions At(SupervisorTime now, const SupervisorEvent& event) { return supervisor_.OnEvent(now, event); }

  const SupervisorOptions& options() const { return options_; }
  const SupervisorState& state() const { return supervisor_.state(); }
  SupervisorPhase phase() const { return supervisor_.phase(); }
  std::optional<SupervisorTime> restart_at() const { return supervisor_.restart_at(); }
  std::uint64_t last_generation() const { return state().last_generation; }

 private:
  SupervisorOptions options_;
  Supervisor supervisor_;
};

// A supervisor that started at 0 ms without stored state. The process of generation 1 has started but has not
// reported a status.
class StartingSupervisor : public SupervisorHarness {
 public:
  explicit StartingSupervisor(const SupervisorOptions& options = {}, std::uint64_t seed = 1)
      : SupervisorHarness(options, seed) {
    At(0, SupervisorStarted{});
    At(0, ProcessStarted{1, {101, 11}});
  }
};

// A supervisor whose generation 1 has been ready since 100 ms.
class ServingSupervisor : public StartingSupervisor {
 public:
  explicit ServingSupervisor(const SupervisorOptions& options = {}) : StartingSupervisor(options, 7) {
    At(100, StatusReported{.generation = 1, .ready = true});
  }
};

// A supervisor whose generation 1 serves. An upgrade to generation 2 was requested at 1,000 ms, and its
// process has started.
class UpgradingSupervisor : public ServingSupervisor {
 public:
  UpgradingSupervisor() {
    At(1000, UpgradeRequested{});
    At(1000, ProcessStarted{2, {102, 12}});
  }
};

inline SupervisorOptions OptionsWithoutJitter() {
  SupervisorOptions options;
  options.crash_backoff.jitter_fraction = 0;
  return options;
}

}  // namespace hingelink::decide

#endif  // HINGELINK_TESTS_DECIDE_SUPERVISION_SUPERVISOR_HARNESS_H_
