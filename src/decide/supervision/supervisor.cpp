#include "decide/supervision/supervisor.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace hingelink::decide {

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
    : options_(options), random_(seed) {}

std::vector<SupervisorAction> Supervisor::OnEvent(TimeMs now, const SupervisorEvent& event) {
  out_.clear();
  now_ = std::max(now_, now);
  if (exited_) return {};
  std::visit([this](const auto& e) { On(e); }, event);
  Settle();
  ArmNext();
  return std::exchange(out_, {});
}

SupervisorPhase Supervisor::phase() const {
  if (state_.desired != DesiredState::kServing) {
    if (state_.current || state_.successor || state_.predecessor) return SupervisorPhase::kDraining;
    return state_.desired == DesiredState::kStopped ? SupervisorPhase::kStopped : SupervisorPhase::kDrained;
  }
  if (state_.successor) return SupervisorPhase::kUpgrading;
  if (state_.current) return current_.answered ? SupervisorPhase::kServing : SupervisorPhase::kStarting;
  if (!restart_at_) return SupervisorPhase::kIdle;
  return Looping() ? SupervisorPhase::kCrashLoop : SupervisorPhase::kBackingOff;
}

// splitmix64: a number from 0 to under 1.
double Supervisor::Draw() {
  random_ += 0x9e3779b97f4a7c15u;
  std::uint64_t value = random_;
  value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9u;
  value = (value ^ (value >> 27)) * 0x94d049bb133111ebu;
  value ^= value >> 31;
  return static_cast<double>(value >> 11) * 0x1.0p-53;
}

// ---- Events ----

void Supervisor::On(const SupervisorStarted& event) {
  state_ = event.state;
  // Those that live are adopted: their time is counted anew from here.
  for (Clock* clock : {&current_, &successor_, &predecessor_}) *clock = {.since = now_};
  if (state_.current) Emit(RedirectControlSocket{state_.current->generation});
  if (state_.desired != DesiredState::kServing) {
    LeaveAll();
  } else if (state_.predecessor) {
    Leave(*state_.predecessor, predecessor_);
  }
}

void Supervisor::On(const ProcessStarted& event) {
  for (std::optional<Incarnation>* incarnation : {&state_.current, &state_.successor}) {
    if (!*incarnation || (*incarnation)->generation != event.generation) continue;
    (*incarnation)->process = event.process;
    // Before it runs: a supervisor that dies in between leaves a process that ends by itself, or one that is
    // known.
    Emit(PersistState{});
    Emit(ReleaseProcess{event.generation});
    return;
  }
}

void Supervisor::On(const ProcessStartFailed& event) { On(Exited{event.generation, false}); }

void Supervisor::On(const StatusReported& event) {
  if (state_.current && state_.current->generation == event.generation) {
    current_.answered = true;
    current_.silent = 0;
    if (event.ready && !current_.ready_at) {
      current_.ready_at = now_;
      Emit(LogEvent{"ready", event.generation});
    }
    if (!event.ready) current_.ready_at.reset();
    state_.current->ready = event.ready;
    if (event.draining && !state_.current->draining && !state_.successor &&
        state_.desired == DesiredState::kServing) {
      // Somebody told the node itself. It is not started again for that.
      state_.desired = DesiredState::kDrained;
      state_.current->draining = true;
      current_.told_at = now_;
      current_.kill_at = now_ + options_.drain_timeout;
      Emit(PersistState{});
      Emit(LogEvent{"drained-by-hand", event.generation});
    }
    if (!event.draining && current_.told_at && now_ - *current_.told_at >= options_.drain_resend_interval) {
      current_.told_at = now_;
      Emit(RequestDrain{event.generation});
    }
  } else if (state_.successor && state_.successor->generation == event.generation) {
    successor_.answered = true;
    successor_.silent = 0;
    if (event.ready && state_.desired == DesiredState::kServing && !successor_.killed) {
      state_.successor->ready = true;
      Promote();
    }
  } else if (state_.predecessor && state_.predecessor->generation == event.generation) {
    if (!event.draining && predecessor_.told_at &&
        now_ - *predecessor_.told_at >= options_.drain_resend_interval) {
      predecessor_.told_at = now_;
      Emit(RequestDrain{event.generation});
    }
  }
}

// Counted in looks, not by the clock: a machine that stood still for a while was one look.
void Supervisor::On(const Unresponsive& event) {
  if (!state_.current || state_.current->generation != event.generation || !current_.answered) return;
  if (++current_.silent >= options_.unresponsive_threshold) End(*state_.current, current_, "hangs");
}

void Supervisor::On(const Exited& event) {
  const auto is = [&event](const std::optional<Incarnation>& incarnation) {
    return incarnation && incarnation->generation == event.generation;
  };
  if (is(state_.predecessor)) {
    Emit(LogEvent{event.clean ? "predecessor-ended" : "predecessor-cut-short", event.generation});
    state_.predecessor.reset();
    Emit(PersistState{});
  } else if (is(state_.successor)) {
    state_.successor.reset();
    Emit(PersistState{});
    if (state_.desired == DesiredState::kServing) Emit(LogEvent{"upgrade-went-back", event.generation});
  } else if (is(state_.current)) {
    const Incarnation gone = *state_.current;
    state_.current.reset();
    if (state_.desired != DesiredState::kServing) {
      Emit(PersistState{});
      Emit(LogEvent{event.clean ? "drained" : "drain-cut-short", event.generation});
    } else if (state_.successor) {
      // The upgrade is over: what was to take over is the node now, ready or not.
      state_.current = std::exchange(state_.successor, std::nullopt);
      current_ = std::exchange(successor_, {});
      Emit(PersistState{});
      Emit(RedirectControlSocket{state_.current->generation});
      Emit(LogEvent{event.clean ? "upgraded" : "current-died-in-upgrade", state_.current->generation});
    } else if (gone.draining) {
      // Told to leave, and wanted again since.
      Emit(PersistState{});
      Emit(LogEvent{event.clean ? "drained" : "drain-cut-short", event.generation});
    } else if (event.clean) {
      state_.desired = DesiredState::kDrained;
      Emit(PersistState{});
      Emit(LogEvent{"drained-by-hand", event.generation});
    } else {
      Crashed(event.generation);
    }
  }
}

void Supervisor::On(const StartRequested&) {
  if (state_.desired == DesiredState::kServing) {
    // Who asks in a crash loop has seen to the cause.
    const bool waits = !state_.current && restart_at_.has_value();
    if (waits) {
      state_.consecutive_crashes = 0;
      restart_at_ = now_;
      Emit(PersistState{});
    }
    Emit(OperatorReply{true, waits ? "done" : "already"});
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
  LeaveAll();
}

void Supervisor::On(const StopRequested&) {
  if (state_.desired == DesiredState::kStopped) {
    Emit(OperatorReply{true, "already"});
    return;
  }
  const bool drains = state_.desired == DesiredState::kDrained;
  state_.desired = DesiredState::kStopped;
  restart_at_.reset();
  Emit(PersistState{});
  Emit(OperatorReply{true, "done"});
  // One that drains already keeps its time.
  if (!drains) LeaveAll();
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
  Emit(LogEvent{"upgrade-begins", state_.last_generation});
  Emit(SpawnProcess{state_.last_generation});
}

void Supervisor::On(const TimerExpired&) {
  if (restart_at_ && now_ >= *restart_at_) {
    restart_at_.reset();
    if (state_.desired == DesiredState::kServing && !state_.current) StartNode();
  }
  if (state_.current) {
    if (current_.ready_at && state_.consecutive_crashes > 0 &&
        now_ - *current_.ready_at >= options_.stable_after) {
      state_.consecutive_crashes = 0;
      Emit(PersistState{});
      Emit(LogEvent{"crashes-forgotten", state_.current->generation});
    }
    if (!current_.answered && now_ - current_.since >= options_.startup_timeout) {
      End(*state_.current, current_, "never-answered");
    }
    if (current_.kill_at && now_ >= *current_.kill_at) End(*state_.current, current_, "drain-overdue");
  }
  if (state_.successor) {
    if (successor_.kill_at && now_ >= *successor_.kill_at) {
      End(*state_.successor, successor_, "drain-overdue");
    } else if (state_.desired == DesiredState::kServing &&
               now_ - successor_.since >= options_.upgrade_timeout) {
      End(*state_.successor, successor_, "upgrade-overdue");
    }
  }
  if (state_.predecessor && predecessor_.kill_at && now_ >= *predecessor_.kill_at) {
    End(*state_.predecessor, predecessor_, "predecessor-overdue");
  }
}

// ---- What follows ----

void Supervisor::StartNode() {
  state_.current = Incarnation{.generation = ++state_.last_generation};
  current_ = {.since = now_};
  Emit(PersistState{});
  Emit(RedirectControlSocket{state_.last_generation});
  Emit(LogEvent{"starts", state_.last_generation});
  Emit(SpawnProcess{state_.last_generation});
}

void Supervisor::Crashed(std::uint64_t generation) {
  ++state_.consecutive_crashes;
  Emit(PersistState{});
  TimeMs wait = options_.initial_backoff;
  for (std::uint32_t i = 1; i < state_.consecutive_crashes && wait < options_.max_backoff; ++i) wait *= 2;
  wait = std::min(wait, options_.max_backoff);
  if (Looping()) wait = std::max(wait, options_.crash_loop_backoff);
  // Guards against appliances that lost the same peer and all come back in one moment.
  wait *= 1 + options_.jitter_fraction * (2 * Draw() - 1);
  restart_at_ = now_ + wait;
  Emit(LogEvent{Looping() ? "crash-loop" : "crashed", generation, wait});
}

void Supervisor::Promote() {
  state_.predecessor = std::exchange(state_.current, std::nullopt);
  predecessor_ = current_;
  state_.current = std::exchange(state_.successor, std::nullopt);
  current_ = std::exchange(successor_, {});
  current_.ready_at = now_;
  state_.consecutive_crashes = 0;
  // The plan first: a supervisor that dies behind it goes on from here, and never back to a node that leaves.
  if (state_.predecessor) state_.predecessor->draining = true;
  Emit(PersistState{});
  Emit(RedirectControlSocket{state_.current->generation});
  Emit(LogEvent{"upgraded", state_.current->generation});
  if (state_.predecessor) Leave(*state_.predecessor, predecessor_);
}

void Supervisor::Leave(Incarnation& incarnation, Clock& clock) {
  incarnation.draining = true;
  if (clock.told_at) return;  // It keeps its time.
  clock.told_at = now_;
  clock.kill_at = now_ + options_.drain_timeout;
  Emit(RequestDrain{incarnation.generation});
}

void Supervisor::LeaveAll() {
  if (state_.current) Leave(*state_.current, current_);
  if (state_.successor) Leave(*state_.successor, successor_);
  if (state_.predecessor) Leave(*state_.predecessor, predecessor_);
}

void Supervisor::End(Incarnation& incarnation, Clock& clock, const char* code) {
  if (std::exchange(clock.killed, true)) return;
  Emit(LogEvent{code, incarnation.generation});
  Emit(KillProcess{incarnation.generation});
}

// What must be so after every event: a node that is wanted is there or on its way; with nothing wanted and
// nothing left, the supervisor ends.
void Supervisor::Settle() {
  if (state_.desired == DesiredState::kServing && !state_.current && !restart_at_) StartNode();
  if (state_.desired == DesiredState::kStopped && !state_.current && !state_.successor &&
      !state_.predecessor) {
    exited_ = true;
    Emit(PersistState{});
    Emit(ExitSupervisor{});
  }
}

void Supervisor::ArmNext() {
  std::optional<TimeMs> at;
  const auto by = [&at](std::optional<TimeMs> due) {
    if (due) at = at ? std::min(*at, *due) : *due;
  };
  by(restart_at_);
  if (state_.current && !current_.killed) {
    if (current_.ready_at && state_.consecutive_crashes > 0) by(*current_.ready_at + options_.stable_after);
    if (!current_.answered) by(current_.since + options_.startup_timeout);
    by(current_.kill_at);
  }
  if (state_.successor && !successor_.killed) {
    by(successor_.kill_at);
    if (state_.desired == DesiredState::kServing) by(successor_.since + options_.upgrade_timeout);
  }
  if (state_.predecessor && !predecessor_.killed) by(predecessor_.kill_at);
  if (at && !exited_) Emit(SetTimer{std::max(*at, now_)});
}

}  // namespace hingelink::decide
