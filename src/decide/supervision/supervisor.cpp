#include "decide/supervision/supervisor.h"

#include <algorithm>
#include <utility>

namespace hingelink::decide {
namespace {

bool HasGeneration(const std::optional<Incarnation>& incarnation, std::uint64_t generation) {
  return incarnation && incarnation->generation == generation;
}

}  // namespace

const char* SupervisorPhaseName(SupervisorPhase phase) {
  switch (phase) {
    case SupervisorPhase::kIdle:
      return "idle";
    case SupervisorPhase::kStarting:
      return "starting";
    case SupervisorPhase::kServing:
      return "serving";
    case SupervisorPhase::kBackingOff:
      return "waiting";
    case SupervisorPhase::kCrashLoop:
      return "crash-loop";
    case SupervisorPhase::kUpgrading:
      return "upgrading";
    case SupervisorPhase::kDraining:
      return "draining";
    case SupervisorPhase::kDrained:
      return "drained";
    case SupervisorPhase::kStopped:
      break;
  }
  return "down";
}

Supervisor::Supervisor(const SupervisorOptions& options, std::uint64_t seed)
    : options_(options), crash_backoff_(options.crash_backoff, seed) {}

std::vector<SupervisorAction> Supervisor::OnEvent(SupervisorTime now, const SupervisorEvent& event) {
  actions_.clear();
  now_ = std::max(now_, now);
  if (exited_) return {};
  std::visit([this](const auto& typed_event) { On(typed_event); }, event);
  Reconcile();
  ScheduleTimer();
  return std::exchange(actions_, {});
}

SupervisorPhase Supervisor::phase() const {
  if (state_.desired != DesiredState::kServing) {
    if (has_processes()) return SupervisorPhase::kDraining;
    return state_.desired == DesiredState::kStopped ? SupervisorPhase::kStopped : SupervisorPhase::kDrained;
  }
  if (state_.successor) return SupervisorPhase::kUpgrading;
  if (state_.current) return current_.has_reported ? SupervisorPhase::kServing : SupervisorPhase::kStarting;
  if (!restart_at_) return SupervisorPhase::kIdle;
  return is_crash_loop() ? SupervisorPhase::kCrashLoop : SupervisorPhase::kBackingOff;
}

// ---- Processes ----

void Supervisor::On(const SupervisorStarted& event) {
  state_ = event.state;
  // The processes in the loaded state are adopted with new timers. For a process that no longer exists,
  // ProcessExited follows.
  for (IncarnationTimers* timers : {&current_, &successor_, &predecessor_}) *timers = {.since = now_};
  if (state_.current) Emit(RedirectControlSocket{state_.current->generation});
  if (state_.desired != DesiredState::kServing) {
    RequestDrainOfAll();
  } else if (state_.predecessor) {
    RequestDrainOf(*state_.predecessor, predecessor_);
  }
}

void Supervisor::On(const ProcessStarted& event) {
  for (std::optional<Incarnation>* incarnation : {&state_.current, &state_.successor}) {
    if (!HasGeneration(*incarnation, event.generation)) continue;
    (*incarnation)->process = event.process;
    // The process id is persisted before the release, so that the next supervisor knows every process that
    // runs the node. A process that was not released exits when this supervisor exits.
    Emit(PersistState{});
    Emit(ReleaseProcess{event.generation});
    return;
  }
}

void Supervisor::On(const ProcessStartFailed& event) {
  On(ProcessExited{.generation = event.generation, .clean = false});
}

void Supervisor::On(const StatusReported& event) {
  if (HasGeneration(state_.current, event.generation)) {
    OnCurrentStatus(event);
  } else if (HasGeneration(state_.successor, event.generation)) {
    OnSuccessorStatus(event);
  } else if (HasGeneration(state_.predecessor, event.generation)) {
    ResendDrainRequest(event, predecessor_);
  }
}

void Supervisor::OnCurrentStatus(const StatusReported& event) {
  current_.has_reported = true;
  current_.consecutive_timeouts = 0;
  if (event.ready && !current_.ready_at) {
    current_.ready_at = now_;
    Emit(LogEvent{"ready", event.generation});
  }
  if (!event.ready) current_.ready_at.reset();
  state_.current->ready = event.ready;
  const bool is_serving =
      !state_.current->draining && !state_.successor && state_.desired == DesiredState::kServing;
  if (event.draining && is_serving) {
    // The node was asked to drain directly, not through the supervisor. The desired state becomes kDrained so
    // that a restart does not undo the drain.
    state_.desired = DesiredState::kDrained;
    state_.current->draining = true;
    current_.drain_requested_at = now_;
    current_.kill_at = now_ + options_.drain_timeout;
    Emit(PersistState{});
    Emit(LogEvent{"drained-externally", event.generation});
  }
  ResendDrainRequest(event, current_);
}

void Supervisor::OnSuccessorStatus(const StatusReported& event) {
  successor_.has_reported = true;
  successor_.consecutive_timeouts = 0;
  if (event.ready && state_.desired == DesiredState::kServing && !successor_.killed) {
    state_.successor->ready = true;
    CompleteUpgrade();
  }
}

// Counts timeouts instead of measuring the time without an answer: a suspension of the machine, however long,
// adds only one timeout.
void Supervisor::On(const StatusTimedOut& event) {
  if (!HasGeneration(state_.current, event.generation) || !current_.has_reported) return;
  ++current_.consecutive_timeouts;
  if (current_.consecutive_timeouts >= options_.unresponsive_threshold) {
    Kill(*state_.current, current_, "unresponsive");
  }
}

void Supervisor::On(const ProcessExited& event) {
  if (HasGeneration(state_.predecessor, event.generation)) {
    OnPredecessorExited(event);
  } else if (HasGeneration(state_.successor, event.generation)) {
    OnSuccessorExited(event);
  } else if (HasGeneration(state_.current, event.generation)) {
    OnCurrentExited(event);
  }
}

void Supervisor::OnPredecessorExited(const ProcessExited& event) {
  Emit(LogEvent{event.clean ? "predecessor-exited" : "predecessor-drain-incomplete", event.generation});
  state_.predecessor.reset();
  Emit(PersistState{});
}

void Supervisor::OnSuccessorExited(const ProcessExited& event) {
  state_.successor.reset();
  Emit(PersistState{});
  if (state_.desired == DesiredState::kServing) Emit(LogEvent{"upgrade-rolled-back", event.generation});
}

void Supervisor::OnCurrentExited(const ProcessExited& event) {
  const Incarnation exited = *state_.current;
  state_.current.reset();
  const bool drain_expected = state_.desired != DesiredState::kServing;
  if (!drain_expected && state_.successor) {
    // The successor becomes the current node even if it is not ready yet.
    PromoteSuccessor();
    Emit(PersistState{});
    Emit(RedirectControlSocket{state_.current->generation});
    Emit(LogEvent{event.clean ? "upgraded" : "upgraded-after-crash", state_.current->generation});
  } else if (drain_expected || exited.draining) {
    Emit(PersistState{});
    Emit(LogEvent{event.clean ? "drained" : "drain-incomplete", event.generation});
  } else if (event.clean) {
    state_.desired = DesiredState::kDrained;
    Emit(PersistState{});
    Emit(LogEvent{"drained-externally", event.generation});
  } else {
    ScheduleRestart(event.generation);
  }
}

// ---- Requests of the operator ----

void Supervisor::On(const StartRequested&) {
  if (state_.desired == DesiredState::kServing) {
    // A start request during a backoff restarts the node now: it means that the operator removed the cause of
    // the crashes.
    const bool is_backing_off = !state_.current && restart_at_.has_value();
    if (is_backing_off) {
      state_.consecutive_crashes = 0;
      restart_at_ = now_;
      Emit(PersistState{});
    }
    Emit(OperatorReply{true, is_backing_off ? "done" : "already"});
    return;
  }
  state_.desired = DesiredState::kServing;
  state_.consecutive_crashes = 0;
  Emit(PersistState{});
  Emit(OperatorReply{true, "done"});
}

void Supervisor::On(const DrainRequested&) {
  if (state_.desired != DesiredState::kServing) {
    Emit(OperatorReply{true, "already"});
    return;
  }
  state_.desired = DesiredState::kDrained;
  restart_at_.reset();
  Emit(PersistState{});
  Emit(OperatorReply{true, "done"});
  RequestDrainOfAll();
}

void Supervisor::On(const StopRequested&) {
  if (state_.desired == DesiredState::kStopped) {
    Emit(OperatorReply{true, "already"});
    return;
  }
  const bool is_draining = state_.desired == DesiredState::kDrained;
  state_.desired = DesiredState::kStopped;
  restart_at_.reset();
  Emit(PersistState{});
  Emit(OperatorReply{true, "done"});
  // A drain that is in progress keeps its deadline.
  if (!is_draining) RequestDrainOfAll();
}

void Supervisor::On(const UpgradeRequested&) {
  if (state_.desired != DesiredState::kServing || !state_.current || !state_.current->ready) {
    Emit(OperatorReply{false, "not-serving"});
    return;
  }
  if (state_.successor || state_.predecessor) {
    Emit(OperatorReply{false, "upgrade-under-way"});
    return;
  }
  state_.successor = Incarnation{.generation = ++state_.last_generation};
  successor_ = {.since = now_};
  Emit(PersistState{});
  Emit(OperatorReply{true, "done"});
  Emit(LogEvent{"upgrade-started", state_.last_generation});
  Emit(SpawnProcess{state_.last_generation});
}

// ---- Timers ----

void Supervisor::On(const TimerExpired&) {
  if (restart_at_ && now_ >= *restart_at_) {
    restart_at_.reset();
    if (state_.desired == DesiredState::kServing && !state_.current) SpawnNextGeneration();
  }
  CheckCurrentTimers();
  CheckSuccessorTimers();
  CheckPredecessorTimers();
}

void Supervisor::CheckCurrentTimers() {
  if (!state_.current) return;
  const bool is_stable = current_.ready_at && now_ - *current_.ready_at >= options_.stable_after;
  if (is_stable && state_.consecutive_crashes > 0) {
    state_.consecutive_crashes = 0;
    Emit(PersistState{});
    Emit(LogEvent{"crash-count-reset", state_.current->generation});
  }
  if (!current_.has_reported && now_ - current_.since >= options_.startup_timeout) {
    Kill(*state_.current, current_, "startup-timeout");
  }
  if (current_.kill_at && now_ >= *current_.kill_at) Kill(*state_.current, current_, "drain-timeout");
}

void Supervisor::CheckSuccessorTimers() {
  if (!state_.successor) return;
  if (successor_.kill_at && now_ >= *successor_.kill_at) {
    Kill(*state_.successor, successor_, "drain-timeout");
  } else if (state_.desired == DesiredState::kServing &&
             now_ - successor_.since >= options_.upgrade_timeout) {
    Kill(*state_.successor, successor_, "upgrade-timeout");
  }
}

void Supervisor::CheckPredecessorTimers() {
  if (!state_.predecessor || !predecessor_.kill_at || now_ < *predecessor_.kill_at) return;
  Kill(*state_.predecessor, predecessor_, "predecessor-drain-timeout");
}

void Supervisor::ScheduleTimer() {
  std::optional<SupervisorTime> earliest;
  const auto include = [&earliest](std::optional<SupervisorTime> time) {
    if (time) earliest = earliest ? std::min(*earliest, *time) : *time;
  };
  include(restart_at_);
  if (state_.current && !current_.killed) {
    if (current_.ready_at && state_.consecutive_crashes > 0)
      include(*current_.ready_at + options_.stable_after);
    if (!current_.has_reported) include(current_.since + options_.startup_timeout);
    include(current_.kill_at);
  }
  if (state_.successor && !successor_.killed) {
    include(successor_.kill_at);
    if (state_.desired == DesiredState::kServing) include(successor_.since + options_.upgrade_timeout);
  }
  if (state_.predecessor && !predecessor_.killed) include(predecessor_.kill_at);
  if (earliest && !exited_) Emit(SetTimer{std::max(*earliest, now_)});
}

// ---- Transitions ----

void Supervisor::SpawnNextGeneration() {
  state_.current = Incarnation{.generation = ++state_.last_generation};
  current_ = {.since = now_};
  Emit(PersistState{});
  Emit(RedirectControlSocket{state_.last_generation});
  Emit(LogEvent{"starting", state_.last_generation});
  Emit(SpawnProcess{state_.last_generation});
}

void Supervisor::ScheduleRestart(std::uint64_t crashed_generation) {
  ++state_.consecutive_crashes;
  Emit(PersistState{});
  const SupervisorTime delay = crash_backoff_.NextDelay(state_.consecutive_crashes);
  restart_at_ = now_ + delay;
  Emit(LogEvent{is_crash_loop() ? "crash-loop" : "crashed", crashed_generation, delay});
}

void Supervisor::PromoteSuccessor() {
  state_.current = std::exchange(state_.successor, std::nullopt);
  current_ = std::exchange(successor_, {});
}

void Supervisor::CompleteUpgrade() {
  state_.predecessor = std::exchange(state_.current, std::nullopt);
  predecessor_ = current_;
  PromoteSuccessor();
  current_.ready_at = now_;
  state_.consecutive_crashes = 0;
  if (state_.predecessor) state_.predecessor->draining = true;
  // Persisted before the drain request, so that a supervisor that restarts in between does not treat the
  // draining node as the current one.
  Emit(PersistState{});
  Emit(RedirectControlSocket{state_.current->generation});
  Emit(LogEvent{"upgraded", state_.current->generation});
  if (state_.predecessor) RequestDrainOf(*state_.predecessor, predecessor_);
}

void Supervisor::RequestDrainOf(Incarnation& incarnation, IncarnationTimers& timers) {
  incarnation.draining = true;
  if (timers.drain_requested_at) return;  // Only the first request sets the deadline.
  timers.drain_requested_at = now_;
  timers.kill_at = now_ + options_.drain_timeout;
  Emit(RequestDrain{incarnation.generation});
}

void Supervisor::ResendDrainRequest(const StatusReported& event, IncarnationTimers& timers) {
  if (event.draining || !timers.drain_requested_at) return;
  if (now_ - *timers.drain_requested_at < options_.drain_resend_interval) return;
  timers.drain_requested_at = now_;
  Emit(RequestDrain{event.generation});
}

void Supervisor::RequestDrainOfAll() {
  if (state_.current) RequestDrainOf(*state_.current, current_);
  if (state_.successor) RequestDrainOf(*state_.successor, successor_);
  if (state_.predecessor) RequestDrainOf(*state_.predecessor, predecessor_);
}

void Supervisor::Kill(const Incarnation& incarnation, IncarnationTimers& timers, const char* code) {
  if (std::exchange(timers.killed, true)) return;
  Emit(LogEvent{code, incarnation.generation});
  Emit(KillProcess{incarnation.generation});
}

void Supervisor::Reconcile() {
  if (state_.desired == DesiredState::kServing && !state_.current && !restart_at_) SpawnNextGeneration();
  if (state_.desired == DesiredState::kStopped && !has_processes()) {
    exited_ = true;
    Emit(PersistState{});
    Emit(ExitSupervisor{});
  }
}

}  // namespace hingelink::decide
