// The supervisor's durable state: which processes of the node there are, and what the operator wants of it.
#ifndef HINGELINK_DECIDE_SUPERVISION_SUPERVISOR_STATE_H_
#define HINGELINK_DECIDE_SUPERVISION_SUPERVISOR_STATE_H_

#include <cstdint>
#include <optional>

namespace hingelink::decide {

// Identifies a process across reuse of its pid, within one boot of the machine.
struct ProcessId {
  std::int64_t pid = 0;
  std::uint64_t start_ticks = 0;  // /proc/PID/stat, field 22.
  bool operator==(const ProcessId&) const = default;
};

// One start of the node. Generations are numbered from 1 and never reused.
struct Incarnation {
  std::uint64_t generation = 0;
  ProcessId process{};    // All 0 until the process exists.
  bool ready = false;     // It reported that it serves clients.
  bool draining = false;  // A drain was requested, or it reported that it drains.
  bool operator==(const Incarnation&) const = default;
};

// What the operator wants of the node.
enum class DesiredState {
  kServing,
  kDrained,  // No node until the next start request.
  kStopped,  // No node, then no supervisor.
};

// Survives a crash of the supervisor: persisted before any action that depends on it.
struct SupervisorState {
  DesiredState desired = DesiredState::kServing;
  std::uint64_t last_generation = 0;
  std::optional<Incarnation> current;      // Serves, or is starting to.
  std::optional<Incarnation> successor;    // During an upgrade, replaces `current` once it is ready.
  std::optional<Incarnation> predecessor;  // After an upgrade, drains and exits.
  std::uint32_t consecutive_crashes = 0;
  bool operator==(const SupervisorState&) const = default;
};

}  // namespace hingelink::decide

#endif  // HINGELINK_DECIDE_SUPERVISION_SUPERVISOR_STATE_H_
