// Delivers random events to a supervisor of simulated processes. The supervisor may crash before any action.
// Checks that at most one node serves (two during an upgrade), that the supervisor knows every process, and
// that the desired state is reached.
#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <deque>
#include <random>

#include "supervisor_harness.h"

namespace hingelink::decide {
namespace {

class SimulatedAppliance {
 public:
  explicit SimulatedAppliance(std::uint64_t seed) : random_(seed) { StartSupervisor(SupervisorState{}); }

  void Run() {
    for (int step = 0; step < kSteps; ++step) {
      now_ += Ms(Draw(400));
      ExecuteRandomStep();
      if (crashed_) RestartSupervisor();
      CheckInvariants();
      if (exited_) {
        RC_ASSERT(CountAlive() == 0u);
        return;
      }
    }
    ReachDesiredState();
  }

 private:
  static constexpr int kSteps = 200;
  static constexpr int kStepsToDesiredState = 400;

  struct Process {
    std::uint64_t generation = 0;
    bool alive = true;
    bool released = false;
    bool drain_requested = false;
  };

  std::uint32_t Draw(std::uint32_t bound) { return static_cast<std::uint32_t>(random_() % bound); }

  void ExecuteRandomStep() {
    switch (Draw(14)) {
      case 0:
        Deliver(DrainRequested{});
        break;
      case 1:
      case 2:
        Deliver(StartRequested{});
        break;
      case 3:
      case 4:
        Deliver(UpgradeRequested{});
        break;
      case 5:
        if (Draw(4) == 0) Deliver(StopRequested{});
        break;
      case 6:
        EndProcess(Draw(8), false);
        break;
      case 7:
      case 8:
        if (timer_at_ && now_ < *timer_at_) now_ = *timer_at_;
        ExpireTimer();
        break;
      case 9:
        crash_after_ = Draw(10);
        break;
      default:
        ReportStatus();
    }
  }

  // Checks that the desired state is reached if there are no more crashes and requests of the operator, and
  // if nodes exit after a drain request.
  void ReachDesiredState() {
    crash_after_.reset();
    reaching_desired_state_ = true;
    const DesiredState desired = supervisor_->state().desired;
    for (int step = 0; step < kStepsToDesiredState && !exited_; ++step) {
      now_ += Ms(100);
      ExpireTimer();
      ReportStatus();
      for (std::size_t index = 0; index < processes_.size(); ++index) {
        if (processes_[index].alive && processes_[index].drain_requested) EndProcess(index, true);
      }
      if (timer_at_ && *timer_at_ > now_ && CountAlive() == 0) now_ = *timer_at_;
    }
    if (desired == DesiredState::kServing) {
      RC_ASSERT(supervisor_->phase() == SupervisorPhase::kServing);
      RC_ASSERT(CountAlive() == 1u);
    } else {
      RC_ASSERT(CountAlive() == 0u);
      RC_ASSERT(exited_ == (desired == DesiredState::kStopped));
    }
  }

  void StartSupervisor(const SupervisorState& state) {
    supervisor_.emplace(SupervisorOptions{}, 1);
    timer_at_.reset();
    crashed_ = false;
    std::vector<SupervisorEvent> events = {SupervisorStarted{state}};
    for (const auto* incarnation : {&state.current, &state.successor, &state.predecessor}) {
      if (!*incarnation) continue;
      const Process* found = Find((*incarnation)->generation);
      const bool is_known = (*incarnation)->process.pid != 0;
      if (found == nullptr || !found->alive || !is_known) {
        events.emplace_back(ProcessExited{(*incarnation)->generation, false});
      }
    }
    for (const SupervisorEvent& event : events) Deliver(event);
  }

  // Starts a new supervisor with the state that was persisted last. A process that was not released exits
  // with the crashed supervisor.
  void RestartSupervisor() {
    for (Process& process : processes_) {
      if (!process.released) process.alive = false;
    }
    pending_.clear();
    StartSupervisor(persisted_);
  }

  void Deliver(const SupervisorEvent& event) {
    if (crashed_ || exited_) return;
    pending_.push_back(event);
    while (!pending_.empty() && !crashed_) {
      const SupervisorEvent next = pending_.front();
      pending_.pop_front();
      ExecuteUntilCrash(supervisor_->OnEvent(now_, next));
    }
  }

  void ExecuteUntilCrash(const Actions& actions) {
    for (const SupervisorAction& action : actions) {
      if (crash_after_ && (*crash_after_)-- == 0) {
        crash_after_.reset();
        crashed_ = true;
        return;
      }
      std::visit([this](const auto& typed_action) { Execute(typed_action); }, action);
    }
  }

  void ExpireTimer() {
    if (!timer_at_ || *timer_at_ > now_) return;
    timer_at_.reset();
    Deliver(TimerExpired{});
  }

  void ReportStatus() {
    for (std::size_t index = 0; index < processes_.size(); ++index) {
      const Process process = processes_[index];
      if (!process.alive || !process.released) continue;
      const bool ready = !process.drain_requested && (reaching_desired_state_ || Draw(3) > 0);
      Deliver(StatusReported{process.generation, ready, process.drain_requested});
    }
  }

  void EndProcess(std::size_t index, bool clean) {
    if (index >= processes_.size() || !processes_[index].alive) return;
    processes_[index].alive = false;
    Deliver(ProcessExited{processes_[index].generation, clean && processes_[index].drain_requested});
  }

  Process* Find(std::uint64_t generation) {
    const auto found =
        std::find_if(processes_.begin(), processes_.end(),
                     [generation](const Process& process) { return process.generation == generation; });
    return found == processes_.end() ? nullptr : &*found;
  }
  std::size_t CountAlive() const {
    return static_cast<std::size_t>(std::count_if(processes_.begin(), processes_.end(),
                                                  [](const Process& process) { return process.alive; }));
  }

  void Execute(const PersistState&) { persisted_ = supervisor_->state(); }
  void Execute(const SpawnProcess& action) {
    RC_ASSERT(Find(action.generation) == nullptr);  // Generations are not reused.
    RC_ASSERT(persisted_.last_generation == action.generation);
    processes_.push_back({.generation = action.generation});
    const ProcessId id{static_cast<std::int64_t>(1000 + action.generation), action.generation};
    pending_.emplace_back(ProcessStarted{action.generation, id});
  }
  void Execute(const ReleaseProcess& action) {
    // The process id must be durable before the process runs the node.
    const auto is_durable = [&action](const std::optional<Incarnation>& incarnation) {
      return incarnation && incarnation->generation == action.generation && incarnation->process.pid != 0;
    };
    RC_ASSERT(is_durable(persisted_.current) || is_durable(persisted_.successor));
    Process* process = Find(action.generation);
    if (process != nullptr && process->alive) process->released = true;
  }
  void Execute(const RequestDrain& action) {
    if (Process* process = Find(action.generation); process != nullptr) process->drain_requested = true;
  }
  void Execute(const KillProcess& action) {
    Process* process = Find(action.generation);
    if (process == nullptr || !process->alive) return;
    process->alive = false;
    pending_.emplace_back(ProcessExited{action.generation, false});
  }
  void Execute(const SetTimer& action) { timer_at_ = action.at; }
  void Execute(const ExitSupervisor&) { exited_ = true; }
  void Execute(const RedirectControlSocket&) {}
  void Execute(const LogEvent&) {}
  void Execute(const OperatorReply&) {}

  void CheckInvariants() const {
    const SupervisorState& state = supervisor_->state();
    std::size_t serving = 0;
    for (const Process& process : processes_) {
      if (!process.alive) continue;
      serving += process.released && !process.drain_requested ? 1 : 0;
      // The state contains every running process.
      const auto is_this = [&process](const std::optional<Incarnation>& incarnation) {
        return incarnation && incarnation->generation == process.generation;
      };
      RC_ASSERT(is_this(state.current) || is_this(state.successor) || is_this(state.predecessor));
    }
    RC_ASSERT(serving <= (state.successor ? 2u : 1u));
    RC_ASSERT(CountAlive() <= 3u);
  }

  std::mt19937_64 random_;
  SupervisorTime now_{0};
  std::optional<Supervisor> supervisor_;
  SupervisorState persisted_;
  std::vector<Process> processes_;
  std::deque<SupervisorEvent> pending_;
  std::optional<SupervisorTime> timer_at_;
  std::optional<std::uint32_t> crash_after_;  // Number of actions until the supervisor crashes.
  bool crashed_ = false, exited_ = false, reaching_desired_state_ = false;
};

TEST(SupervisorProperty, KeepsAtMostOneServingNodeAndReachesTheDesiredStateDespiteCrashes) {
  EXPECT_TRUE(rc::check([](std::uint64_t seed) { SimulatedAppliance(seed).Run(); }));
}

}  // namespace
}  // namespace hingelink::decide
