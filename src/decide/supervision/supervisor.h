// Decides when the appliance's node is started, restarted after a crash, upgraded, drained and killed.
// States and events in, actions out; no I/O, no clock, no processes. docs/design/appliance.md holds the state
// machine.
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
  // A node that was ready for so long resets the count of consecutive crashes.
  SupervisorTime stable_after{60'000};
  // From the start to the first status report; past it the node is killed, which counts as a crash.
  SupervisorTime startup_timeout{15'000};
  // Consecutive status timeouts after which a node is killed.
  std::uint32_t unresponsive_threshold = 10;
  // From the start of a successor to its readiness; past it the upgrade is rolled back.
  SupervisorTime upgrade_timeout{30'000};
  // From the first drain request to the kill.
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

// The phase's word in the control protocol.
[[nodiscard]] const char* SupervisorPhaseName(SupervisorPhase phase);

// Not thread-safe.
class Supervisor {
 public:
  // `seed` determines the jitter of the crash backoff.
  Supervisor(const SupervisorOptions& options, std::uint64_t seed);

  // Decides on one event. `now` is monotonic; an earlier time than the last one counts as the last one. The
  // actions are to be executed in order; none are returned after ExitSupervisor.
  [[nodiscard]] std::vector<SupervisorAction> OnEvent(SupervisorTime now, const SupervisorEvent& event);

  // To be made durable at PersistState.
  const SupervisorState& state() const { return state_; }
  [[nodiscard]] SupervisorPhase phase() const;
  // When the node is restarted; empty while no restart is scheduled.
  std::optional<SupervisorTime> restart_at() const { return restart_at_; }

 private:
  // Timers of one incarnation. Not durable: an adopted incarnation gets new ones.
  struct IncarnationTimers {
    SupervisorTime since{0};
    std::optional<SupervisorTime> ready_at{};
    bool has_reported = false;
    std::uint32_t consecutive_timeouts = 0;
    std::optional<SupervisorTime> drain_requested_at{};  // The last request.
    std::optional<SupervisorTime> kill_at{};
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
  void SpawnNext();
  void ScheduleRestart(std::uint64_t crashed_generation);
  void AdoptSuccessorAsCurrent();
  void CompleteUpgrade();
  void RequestDrainOf(Incarnation& incarnation, IncarnationTimers& timers);
  void ResendDrainRequest(const StatusReported& event, IncarnationTimers& timers);
  void RequestDrainOfAll();
  void Kill(const Incarnation& incarnation, IncarnationTimers& timers, const char* code);
  void CheckCurrentTimers();
  void CheckSuccessorTimers();
  void CheckPredecessorTimers();
  // After every event: a wanted node exists or is scheduled; a stopped supervisor without processes exits.
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
