// Events that the supervisor decides on, and the actions that it emits.
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

// The first event. `state` is as it was loaded; a ProcessExited event follows for each incarnation in it
// whose process no longer exists.
struct SupervisorStarted {
  SupervisorState state;
};
// A process was spawned for this generation and waits for ReleaseProcess.
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
  bool clean = false;  // By itself, after answering all requests.
};
// Requests of the operator. Each is answered by one OperatorReply.
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

// Make Supervisor::state() durable before the next action.
struct PersistState {};
// Create a process that waits before it runs the node. ProcessStarted or ProcessStartFailed follows.
struct SpawnProcess {
  std::uint64_t generation = 0;
};
// Let the waiting process run the node.
struct ReleaseProcess {
  std::uint64_t generation = 0;
};
// Send SIGTERM: the node drains, or hands over to its successor and exits.
struct RequestDrain {
  std::uint64_t generation = 0;
};
struct KillProcess {
  std::uint64_t generation = 0;
};
// The node's control socket leads to this generation from now on.
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
  SupervisorTime restart_in{0};  // Over 0 where a restart is delayed.
};
// To the operator whose request is being decided.
struct OperatorReply {
  bool ok = true;
  const char* code;  // "done", "already" (nothing to do), or the reason of a rejection.
};
// The supervisor has nothing left to do.
struct ExitSupervisor {};

using SupervisorAction =
    std::variant<PersistState, SpawnProcess, ReleaseProcess, RequestDrain, KillProcess, RedirectControlSocket,
                 SetTimer, LogEvent, OperatorReply, ExitSupervisor>;

}  // namespace hingelink::decide

#endif  // HINGELINK_DECIDE_SUPERVISION_SUPERVISOR_EVENTS_H_
