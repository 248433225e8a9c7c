// What an appliance's supervisor decides: when its node is started, when again after it died, how an upgrade
// goes on or back, how far a drain may go, and which found process is its own. States and events in, actions
// out; no I/O, no clock, no process. docs/design/appliance.md draws the state machine.
#ifndef HINGELINK_DECIDE_SUPERVISE_H_
#define HINGELINK_DECIDE_SUPERVISE_H_

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
struct Life {
  std::uint64_t generation = 0;
  ProcessId process{};   // 0 until it is known.
  bool ready = false;    // It has said that it takes clients.
  bool leaving = false;  // It was told to leave, or said that it does.
  bool operator==(const Life&) const = default;
};

// What the operator wants of the node.
enum class Want {
  kServe,
  kDrained,  // No node until the next Up.
  kDown,     // No node, and then no supervisor.
};

// What lasts across the death of the supervisor. Written before anything is done that rests on it.
struct Plan {
  Want want = Want::kServe;
  std::uint64_t last_generation = 0;
  std::optional<Life> current;      // The node that serves, or is to.
  std::optional<Life> successor;    // In an upgrade: the one that is to take over.
  std::optional<Life> predecessor;  // Behind an upgrade: it answers what it holds, and ends.
  std::uint32_t crashes_in_row = 0;
  bool operator==(const Plan&) const = default;
};

struct Limits {
  TimeMs backoff_first = 200;  // After the first crash; doubles with each further one.
  TimeMs backoff_most = 30'000;
  double jitter = 0.2;              // Part of a back-off that chance takes off or adds.
  TimeMs good_after = 60'000;       // So long ready, and its crashes are forgotten.
  std::uint32_t loop_crashes = 5;   // In a row, none of them good: a crash loop.
  TimeMs loop_rest = 300'000;       // In a crash loop: one try each so often.
  TimeMs answer_within = 15'000;    // From its start to its first word; else it is ended: a crash.
  std::uint32_t silent_looks = 10;  // Looks in a row without a word, after which a node hangs, and is ended.
  TimeMs upgrade_within = 30'000;   // For the successor to be ready; else the upgrade goes back.
  TimeMs drain_within = 4'000;      // From the word to leave to the kill.
  TimeMs drain_again = 500;         // The word is sent again where the process does not say that it leaves.
};

// ---- Events ----

// The supervisor has begun. The plan is as it was found, or empty; the lives in it that are gone, or whose
// process belongs to another program by now, come as Gone right behind this.
struct Began {
  Plan plan;
};
struct Started {  // A process was made for this generation, and waits for Release.
  std::uint64_t generation = 0;
  ProcessId process;
};
struct StartFailed {
  std::uint64_t generation = 0;
};
struct Seen {  // What the node says of itself.
  std::uint64_t generation = 0;
  bool ready = false;
  bool leaving = false;
};
struct Silent {  // It was asked, and said nothing within its time.
  std::uint64_t generation = 0;
};
struct Gone {  // The process has ended. `clean`: by itself, with all answered.
  std::uint64_t generation = 0;
  bool clean = false;
};
struct AskUp {};
struct AskDrain {};
struct AskDown {};
struct AskUpgrade {};
struct Tick {};  // A timer that was armed is due.

using Event =
    std::variant<Began, Started, StartFailed, Seen, Silent, Gone, AskUp, AskDrain, AskDown, AskUpgrade, Tick>;

// ---- Actions, to be carried out in order. ----

struct Save {};  // Write plan() so that it lasts, before going on.
struct Start {   // Make a process that waits. Started or StartFailed follows.
  std::uint64_t generation = 0;
};
struct Release {  // Let the waiting process become the node.
  std::uint64_t generation = 0;
};
struct TellLeave {  // SIGTERM: it drains, or ends behind its successor.
  std::uint64_t generation = 0;
};
struct Kill {
  std::uint64_t generation = 0;
};
struct Point {  // Who asks at the node's socket reaches this generation from now on.
  std::uint64_t generation = 0;
};
struct Arm {  // Tick at this time; replaces the one before.
  TimeMs at = 0;
};
struct Report {  // For the log: a code that docs/operators/appliance.md explains.
  const char* code;
  std::uint64_t generation = 0;
  TimeMs in = 0;  // For a start that waits.
};
struct Answer {  // To the operator who asked last.
  bool ok = true;
  const char* code;  // done, already, or why not.
};
struct Exit {};  // Nothing is left to do.

using Action = std::variant<Save, Start, Release, TellLeave, Kill, Point, Arm, Report, Answer, Exit>;

enum class Phase { kIdle, kStarting, kServing, kWaiting, kCrashLoop, kUpgrading, kDraining, kDrained, kDown };
const char* PhaseName(Phase phase);

class Supervise {
 public:
  // `draw` feeds the jitter: a number from 0 to under 1 for each back-off, by the seed.
  Supervise(const Limits& limits, std::uint64_t seed);

  std::vector<Action> Take(TimeMs now, const Event& event);
  const Plan& plan() const { return plan_; }
  Phase phase() const;
  // When the node is started again; nothing where no start waits.
  std::optional<TimeMs> start_at() const { return start_at_; }

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

  void On(const Began& event);
  void On(const Started& event);
  void On(const StartFailed& event);
  void On(const Seen& event);
  void On(const Silent& event);
  void On(const Gone& event);
  void On(const AskUp&);
  void On(const AskDrain&);
  void On(const AskDown&);
  void On(const AskUpgrade&);
  void On(const Tick&);

  void Do(const Action& action) { out_.push_back(action); }
  void StartNode();
  void Crashed(std::uint64_t generation);
  void Promote();
  void Leave(Life& life, Clock& clock);
  void LeaveAll();
  void End(Life& life, Clock& clock, const char* code);
  void Settle();
  void ArmNext();
  bool Looping() const { return plan_.crashes_in_row >= limits_.loop_crashes; }
  double Draw();

  Limits limits_;
  std::uint64_t random_;
  TimeMs now_ = 0;
  bool exited_ = false;
  Plan plan_;
  Clock current_, successor_, predecessor_;
  std::optional<TimeMs> start_at_;
  std::vector<Action> out_;
};

}  // namespace hingelink::decide

#endif  // HINGELINK_DECIDE_SUPERVISE_H_
