// The supervisor's durable state: the processes of the node, and the state that the node is to reach.
#ifndef HINGELINK_DECIDE_SUPERVISION_SUPERVISOR_STATE_H_
#define HINGELINK_DECIDE_SUPERVISION_SUPERVISOR_STATE_H_

#include <cstdint>
#include <optional>

namespace hingelink::decide {

// Identifies a process uniquely within one boot of the machine, even if its pid is reused.
struct ProcessId {
  std::int64_t pid = 0;
  std::uint64_t start_ticks = 0;  // /proc/PID/stat, field 22.
  bool operator==(const ProcessId&) const = default;
};

// One start of the node. Generations are numbered from 1 and never reused.
struct Incarnation {
  std::uint64_t generation = 0;
  ProcessId process{};    // All fields are 0 until the process exists.
  bool ready = false;     // Its latest status report says that it is ready.
  bool draining = false;  // A drain was requested, or the node reported that it drains.
  bool operator==(const Incarnation&) const = default;
};

// The state that the node is to reach. Set by the operator's requests and when the node drains without a
// request to the supervisor.
enum class DesiredState {
  kServing,
  kDrained,  // The node drains and exits; a start request starts the next one.
  kStopped,  // The node drains and exits, then the supervisor exits.
};

// Survives a crash of the supervisor, since it is persisted before any action that depends on it.
struct SupervisorState {
  DesiredState desired = DesiredState::kServing;
  std::uint64_t last_generation = 0;
  std::optional<Incarnation> current;      // The node that serves requests or is starting.
  std::optional<Incarnation> successor;    // During an upgrade: replaces `current` once it is ready.
  std::optional<Incarnation> predecessor;  // After an upgrade: the replaced node, until it has exited.
  std::uint32_t consecutive_crashes = 0;
  bool operator==(const SupervisorState&) const = default;
};

}  // namespace hingelink::decide

#endif  // HINGELINK_DECIDE_SUPERVISION_SUPERVISOR_STATE_H_
