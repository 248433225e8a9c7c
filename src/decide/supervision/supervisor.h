// What an appliance's supervisor decides: when its node is started, when again after it died, how an upgrade
// goes on or back, how far a drain may go, and which found process is its own. States and events in, actions
// out; no I/O, no clock, no process. docs/design/appliance.md draws the state machine.
#ifndef HINGELINK_DECIDE_SUPERVISION_SUPERVISOR_H_
#define HINGELINK_DECIDE_SUPERVISION_SUPERVISOR_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace hingelink::decide {

// Milliseconds on a clock that only goes forward, of the machine's boot.
using TimeMs = double;

// A process that the supervisor started. Its number can come to belong to another program; with its start
// time and the boot it cannot.
struct ProcessId {
  std::int64_t pid = 0;
  std::uint64_t start_ticks = 0;  // /proc/PID/stat, field 22.
  bool operator==(const ProcessId&) const = default;
};

// One start of the node.
struct Incarnation {
  std::uint64_t generation = 0;
  ProcessId process{};    // 0 until it is known.
  bool ready = false;     // It has said that it takes clients.
  bool draining = false;  // It was told to leave, or said that it does.
  bool operator==(const Incarnation&) const = default;
};

// What the operator wants of the node.
enum class DesiredState {
  kServing,
  kDrained,  // No node until the next Up.
  kStopped,  // No node, and then no supervisor.
};

// What lasts across the death of the supervisor. Written before anything is done that rests on it.
struct SupervisorState {
  DesiredState desired = DesiredState::kServing;
  std::uint64_t last_generation = 0;
  std::optional<Incarnation> current;      // The node that serves, or is to.
  std::optional<Incarnation> successor;    // In an upgrade: the one that is to take over.
  std::optional<Incarnation> predecessor;  // Behind an upgrade: it answers what it holds, and ends.
  std::uint32_t consecutive_crashes = 0;
  bool operator==(const SupervisorState&) const = default;
};

struct SupervisorOptions {
  TimeMs initial_backoff = 200;  // After the first crash; doubles with each further one.
  TimeMs max_backoff = 30'000;
  double jitter_fraction = 0.2;            // Part of a back-off that chance takes off or adds.
  TimeMs stable_after = 60'000;            // So long ready, and its crashes are forgotten.
  std::uint32_t crash_loop_threshold = 5;  // In a row, none of them good: a crash loop.
  TimeMs crash_loop_backoff = 300'000;     // In a crash loop: one try each so often.
  TimeMs startup_timeout = 15'000;         // From its start to its first word; else it is ended: a crash.
  std::uint32_t unresponsive_threshold =
      10;                           // Looks in a row without a word, after which a node hangs, and is ended.
  TimeMs upgrade_timeout = 30'000;  // For the successor to be ready; else the upgrade goes back.
  TimeMs drain_timeout = 4'000;     // From the word to leave to the kill.
  TimeMs drain_resend_interval =
      500;  // The word is sent again where the process does not say that it leaves.
};

// ---- Events ----

// The supervisor has begun. The plan is as it was found, or empty; the lives in it that are gone, or whose
// process belongs to another program by now, come as Gone right behind this.
struct SupervisorStarted {
  SupervisorState state;
};
struct ProcessStarted {  // A process was made for this generation, and waits for Release.
  std::uint64_t generation = 0;
  ProcessId process;
};
struct ProcessStartFailed {
  std::uint64_t generation = 0;
};
struct StatusReported {  // What the node says of itself.
  std::uint64_t generation = 0;
  bool ready = false;
  bool draining = false;
};
struct Unresponsive {  // It was asked, and said nothing within its time.
  std::uint64_t generation = 0;
};
struct Exited {  // The process has ended. `clean`: by itself, with all answered.
  std::uint64_t generation = 0;
  bool clean = false;
};
struct StartRequested {};
struct DrainRequested {};
struct StopRequested {};
struct UpgradeRequested {};
struct TimerExpired {};  // A timer that was armed is due.

using SupervisorEvent =
    std::variant<SupervisorStarted, ProcessStarted, ProcessStartFailed, StatusReported, Unresponsive, Exited,
                 StartRequested, DrainRequested, StopRequested, UpgradeRequested, TimerExpired>;

// ---- Actions, to be carried out in order. ----

struct PersistState {};  // Write plan() so that it lasts, before going on.
struct SpawnProcess {    // Make a process that waits. Started or StartFailed follows.
  std::uint64_t generation = 0;
};
struct ReleaseProcess {  // Let the waiting process become the node.
  std::uint64_t generation = 0;
};
struct RequestDrain {  // SIGTERM: it drains, or ends behind its successor.
  std::uint64_t generation = 0;
};
struct KillProcess {
  std::uint64_t generation = 0;
};
struct RedirectControlSocket {  // Who asks at the node's socket reaches this generation from now on.
  std::uint64_t generation = 0;
};
struct SetTimer {  // Tick at this time; replaces the one before.
  TimeMs at = 0;
};
struct LogEvent {  // For the log: a code that docs/operators/appliance.md explains.
  const char* code;
  std::uint64_t generation = 0;
  TimeMs restart_in = 0;  // For a start that waits.
};
struct OperatorReply {  // To the operator who asked last.
  bool ok = true;
  const char* code;  // done, already, or why not.
};
struct ExitSupervisor {};  // Nothing is left to do.

using SupervisorAction =
    std::variant<PersistState, SpawnProcess, ReleaseProcess, RequestDrain, KillProcess, RedirectControlSocket,
                 SetTimer, LogEvent, OperatorReply, ExitSupervisor>;

enum class SupervisorPhase {
  kIdle,
  kStarting,
  kServing,
  kBackingOff,
  kCrashLoop,
  kUpgrading,
  kDraining,
  kDrained,
  kStopped
};
const char* SupervisorPhaseName(SupervisorPhase phase);

class Supervisor {
 public:
  // `draw` feeds the jitter: a number from 0 to under 1 for each back-off, by the seed.
  Supervisor(const SupervisorOptions& options, std::uint64_t seed);

  std::vector<SupervisorAction> OnEvent(TimeMs now, const SupervisorEvent& event);
  const SupervisorState& state() const { return state_; }
  SupervisorPhase phase() const;
  // When the node is started again; nothing where no start waits.
  std::optional<TimeMs> restart_at() const { return restart_at_; }

 private:
  struct Clock {  // Of one life; not durable: a supervisor that comes later gives it its time anew.
    TimeMs since = 0;
    std::optional<TimeMs> ready_at{};
    bool answered = false;
    std::uint32_t silent = 0;
    std::optional<TimeMs> told_at{};  // To leave, last.
    std::optional<TimeMs> kill_at{};
    bool killed = false;
  };

  void On(const SupervisorStarted& event);
  void On(const ProcessStarted& event);
  void On(const ProcessStartFailed& event);
  void On(const StatusReported& event);
  void On(const Unresponsive& event);
  void On(const Exited& event);
  void On(const StartRequested&);
  void On(const DrainRequested&);
  void On(const StopRequested&);
  void On(const UpgradeRequested&);
  void On(const TimerExpired&);

  void Emit(const SupervisorAction& action) { out_.push_back(action); }
  void StartNode();
  void Crashed(std::uint64_t generation);
  void Promote();
  void Leave(Incarnation& incarnation, Clock& clock);
  void LeaveAll();
  void End(Incarnation& incarnation, Clock& clock, const char* code);
  void Settle();
  void ArmNext();
  bool Looping() const { return state_.consecutive_crashes >= options_.crash_loop_threshold; }
  double Draw();

  SupervisorOptions options_;
  std::uint64_t random_;
  TimeMs now_ = 0;
  bool exited_ = false;
  SupervisorState state_;
  Clock current_, successor_, predecessor_;
  std::optional<TimeMs> restart_at_;
  std::vector<SupervisorAction> out_;
};

}  // namespace hingelink::decide

#endif  // HINGELINK_DECIDE_SUPERVISION_SUPERVISOR_H_
