// Decides when the appliance's node is started, restarted after a crash, upgraded, drained and killed.
//
// The supervisor receives events and returns actions for its caller to execute. It does no I/O, reads no
// clock and creates no processes. docs/design/appliance.md describes the state machine.
#ifndef HINGELINK_DECIDE_SUPERVISION_SUPERVISOR_H_
#define HINGELINK_DECIDE_SUPERVISION_SUPERVISOR_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "decide/supervision/crash_backoff.h"
#include "decide/supervision/supervisor_events.h"
#include "decide/supervision/supervisor_state.h"

namespace hingelink::decide {

struct SupervisorOptions {
  CrashBackoffOptions crash_backoff;
  // The count of consecutive crashes is reset once the node has been ready for this long.
  SupervisorTime stable_after{60'000};
  // Maximum time from the start of a node to its first status report. After it the node is killed, which
  // counts as a crash.
  SupervisorTime startup_timeout{15'000};
  // Number of consecutive status timeouts after which a node is killed.
  std::uint32_t unresponsive_threshold = 10;
  // Maximum time from the start of a successor until it is ready. After it the successor is killed and the
  // upgrade is rolled back.
  SupervisorTime upgrade_timeout{30'000};
  // Time from the first drain request until a node that has not exited is killed.
  SupervisorTime drain_timeout{4'000};
  // A drain request is repeated at this interval until the node reports that it drains.
  SupervisorTime drain_resend_interval{500};
};

enum class SupervisorPhase {
  kIdle,
  kStarting,
  kServing,
  kBackingOff,
  kCrashLoop,
  kUpgrading,
  kDraining,
  kDrained,
  kStopped,
};

// Returns the name of the phase in the control protocol.
[[nodiscard]] const char* SupervisorPhaseName(SupervisorPhase phase);

// Not thread-safe.
class Supervisor {
 public:
  // `seed` determines the jitter of the crash backoff.
  Supervisor(const SupervisorOptions& options, std::uint64_t seed);

  // Processes one event and returns the actions that the caller must execute, in order. `now` is a reading of
  // a monotonic clock; a time before the previous call's is replaced by the previous one. No actions are
  // returned after ExitSupervisor.
  [[nodiscard]] std::vector<SupervisorAction> OnEvent(SupervisorTime now, const SupervisorEvent& event);

  // The state that the caller makes durable when it executes PersistState.
  const SupervisorState& state() const { return state_; }
  [[nodiscard]] SupervisorPhase phase() const;
  // The time of the scheduled restart; empty while no restart is scheduled.
  std::optional<SupervisorTime> restart_at() const { return restart_at_; }

 private:
  // Timers of one incarnation. They are not durable: an incarnation that is adopted after a restart of the
  // supervisor gets new timers.
  struct IncarnationTimers {
    SupervisorTime since{0};                   // When the incarnation was spawned or adopted.
    std::optional<SupervisorTime> ready_at{};  // When it became ready; empty while it is not ready.
    bool has_reported = false;                 // Whether any status report was received.
    std::uint32_t consecutive_timeouts = 0;
    std::optional<SupervisorTime> drain_requested_at{};  // Time of the latest drain request.
    std::optional<SupervisorTime> kill_at{};             // Deadline of the drain.
    bool killed = false;
  };

  void On(const SupervisorStarted& event);
  void On(const ProcessStarted& event);
  void On(const ProcessStartFailed& event);
  void On(const StatusReported& event);
  void On(const StatusTimedOut& event);
  void On(const ProcessExited& event);
  void On(const StartRequested& event);
  void On(const DrainRequested& event);
  void On(const StopRequested& event);
  void On(const UpgradeRequested& event);
  void On(const TimerExpired& event);

  void OnCurrentStatus(const StatusReported& event);
  void OnSuccessorStatus(const StatusReported& event);
  void OnPredecessorExited(const ProcessExited& event);
  void OnSuccessorExited(const ProcessExited& event);
  void OnCurrentExited(const ProcessExited& event);

  void Emit(const SupervisorAction& action) { actions_.push_back(action); }
  void SpawnNextGeneration();
  void ScheduleRestart(std::uint64_t crashed_generation);
  // Makes the successor the current incarnation. The previous one must have been removed from `current`.
  void PromoteSuccessor();
  // Promotes a ready successor and drains the previous current incarnation as the predecessor.
  void CompleteUpgrade();
  // Sends the first drain request and sets the deadline of the drain. Later calls change nothing.
  void RequestDrainOf(Incarnation& incarnation, IncarnationTimers& timers);
  // Repeats the drain request if the node does not report that it drains and the resend interval has passed.
  void ResendDrainRequest(const StatusReported& event, IncarnationTimers& timers);
  void RequestDrainOfAll();
  // Kills the incarnation unless that was done already. `code`: the code of the log event.
  void Kill(const Incarnation& incarnation, IncarnationTimers& timers, const char* code);
  void CheckCurrentTimers();
  void CheckSuccessorTimers();
  void CheckPredecessorTimers();
  // Called after every event. Spawns a node if the desired state is kServing and there is neither a node nor
  // a scheduled restart. Exits if the desired state is kStopped and no processes are left.
  void Reconcile();
  void ScheduleTimer();
  bool has_processes() const { return state_.current || state_.successor || state_.predecessor; }
  bool is_crash_loop() const { return crash_backoff_.IsCrashLoop(state_.consecutive_crashes); }

  SupervisorOptions options_;
  CrashBackoff crash_backoff_;
  SupervisorTime now_{0};
  bool exited_ = false;
  SupervisorState state_;
  IncarnationTimers current_, successor_, predecessor_;
  std::optional<SupervisorTime> restart_at_;
  std::vector<SupervisorAction> actions_;
};

}  // namespace hingelink::decide

#endif  // HINGELINK_DECIDE_SUPERVISION_SUPERVISOR_H_
