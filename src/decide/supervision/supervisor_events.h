// Events that decide::Supervisor processes, and the actions that it returns.
#ifndef HINGELINK_DECIDE_SUPERVISION_SUPERVISOR_EVENTS_H_
#define HINGELINK_DECIDE_SUPERVISION_SUPERVISOR_EVENTS_H_

#include <chrono>
#include <cstdint>
#include <variant>

#include "decide/supervision/supervisor_state.h"

namespace hingelink::decide {

// A duration, or a point in time on a monotonic clock.
using SupervisorTime = std::chrono::duration<double, std::milli>;

// ---- Events ----

// The first event. `state` is the state that was loaded. The caller then delivers a ProcessExited event for
// each incarnation in `state` whose process no longer exists.
struct SupervisorStarted {
  SupervisorState state;
};
// A process was created for this generation; it waits for ReleaseProcess before it runs the node.
struct ProcessStarted {
  std::uint64_t generation = 0;
  ProcessId process;
};
struct ProcessStartFailed {
  std::uint64_t generation = 0;
};
// The node answered a status query.
struct StatusReported {
  std::uint64_t generation = 0;
  bool ready = false;
  bool draining = false;
};
// A status query timed out.
struct StatusTimedOut {
  std::uint64_t generation = 0;
};
struct ProcessExited {
  std::uint64_t generation = 0;
  bool clean = false;  // Whether the node exited voluntarily, after it had answered all requests.
};
// Requests of the operator. Each results in exactly one OperatorReply.
struct StartRequested {};
struct DrainRequested {};
struct StopRequested {};
struct UpgradeRequested {};
// The time of the last SetTimer was reached.
struct TimerExpired {};

using SupervisorEvent = std::variant<SupervisorStarted, ProcessStarted, ProcessStartFailed, StatusReported,
                                     StatusTimedOut, ProcessExited, StartRequested, DrainRequested,
                                     StopRequested, UpgradeRequested, TimerExpired>;

// ---- Actions, to be executed in order ----

// Make Supervisor::state() durable before the next action is executed.
struct PersistState {};
// Create a process that waits for ReleaseProcess before it runs the node. The caller then delivers
// ProcessStarted or ProcessStartFailed.
struct SpawnProcess {
  std::uint64_t generation = 0;
};
// Let the waiting process run the node.
struct ReleaseProcess {
  std::uint64_t generation = 0;
};
// Send SIGTERM to the node, which then drains, or hands over to its successor, and exits.
struct RequestDrain {
  std::uint64_t generation = 0;
};
struct KillProcess {
  std::uint64_t generation = 0;
};
// Make the node's control socket lead to this generation.
struct RedirectControlSocket {
  std::uint64_t generation = 0;
};
// Deliver TimerExpired at this time. Replaces an earlier SetTimer.
struct SetTimer {
  SupervisorTime at{0};
};
struct LogEvent {
  const char* code;  // docs/operators/appliance.md lists the codes.
  std::uint64_t generation = 0;
  SupervisorTime restart_in{0};  // Delay of the scheduled restart; 0 if none was scheduled by this event.
};
// Answer the operator's request that is being processed.
struct OperatorReply {
  bool ok = true;
  const char* code;  // "done", "already" (nothing to do), or the reason for the rejection.
};
// Exit the supervisor process: the node was stopped and no processes are left.
struct ExitSupervisor {};

using SupervisorAction =
    std::variant<PersistState, SpawnProcess, ReleaseProcess, RequestDrain, KillProcess, RedirectControlSocket,
                 SetTimer, LogEvent, OperatorReply, ExitSupervisor>;

}  // namespace hingelink::decide

#endif  // HINGELINK_DECIDE_SUPERVISION_SUPERVISOR_EVENTS_H_
