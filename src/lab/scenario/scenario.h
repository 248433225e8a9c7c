// What a fleet is, what befalls it and what must hold: one form for simulated time and for real processes.
// A file of JSON by deploy/schema/scenario.json; docs/operators/lab.md explains each key.
#ifndef HINGELINK_LAB_SCENARIO_SCENARIO_H_
#define HINGELINK_LAB_SCENARIO_SCENARIO_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

namespace hingelink::lab {

using Millis = std::chrono::duration<double, std::milli>;

// Every fault of a file at once, a line each: where, what was found, and what is wanted.
class ScenarioError : public std::runtime_error {
 public:
  explicit ScenarioError(const std::vector<std::string>& faults);
};

// Who: "all", "nodes", "node:3", "nodes:0-4", "zone:a", "share:0.2" (drawn by the seed, the same ones for the
// same share), "service:3", "services:0-4", "rest" (as one end of a link: all nodes that are not at the
// other), "gateways", "pools", "registry".
struct Who {
  enum class Kind { kAll, kNodes, kRange, kZone, kShare, kRest, kGateways, kPools, kRegistry, kServices };
  Kind kind = Kind::kAll;
  std::size_t first = 0, last = 0;
  std::string zone;
  double share = 0;
  std::string text;  // As it was written.
};
// Throws std::invalid_argument that says what is wanted.
Who ParseWho(const std::string& text);

enum class Do {
  kCut,        // Nothing passes.
  kDelay,      // `ms` longer, and up to `jitter_ms` more.
  kLoss,       // `share` of the datagrams is lost.
  kDuplicate,  // `share` of them comes twice.
  kReorder,    // `share` of them comes up to `ms` later than what was sent behind them.
  kThrottle,   // `bytes` a second.
  kReset,      // Connections end, once, at the beginning.
  kStall,      // Connections stop in the middle of what passes, until the end.
  kKill,       // And start again after `restart_ms`, if that is told.
  kFreeze,     // SIGSTOP, until the end.
  kPace,       // Its steady clock runs `share` times as fast. Simulated time only.
  kWall,       // Its wall clock is `ms` ahead at its starts. Simulated time only.
  kSlow,       // Each of its answers takes `ms` longer. Simulated time only.
  kForge,      // `rate` forged datagrams a second at each: real ones with a bit turned. Real processes only.
  kKeys,       // They are told these `keys`, by name: the first signs, each is believed. Once.
  kUpgrade,    // A successor of the same name and addresses takes over. Once.
  kDegrade,    // Services: work takes `share` times as long. Real processes only.
  kErrors,     // Services: each run fails. Real processes only.
  kHang,       // Services: they stand still. Real processes only.
};
const char* NameOf(Do what);

struct Fault {
  Millis at{0};
  Millis lasts{0};  // 0: to the end; of no meaning for what is done once.
  Do do_ = Do::kCut;
  Who who;           // A process fault's target, a link fault's one end.
  Who to;            // A link fault's other end.
  bool both = true;  // Both directions of the link.
  double ms = 0, jitter_ms = 0, share = 0, bytes = 0, rate = 0;
  std::vector<std::string> keys;
  std::optional<Millis> restart;
  bool disk_lost = true;
  // Between the targets of a process fault: rolling kills, and frozen one after the other.
  Millis stagger{0};
};
bool OnLinks(Do what);
// The key that all begin with.
inline constexpr const char* kFirstKey = "first";

struct LoadStep {
  Millis at{0};
  double share = 0.5;  // Of what the pools can do together.
};

struct Fleet {
  std::size_t nodes = 5;
  std::vector<std::string> zones = {""};  // In turn.
  std::size_t gateways = 3;
  std::size_t services = 0;  // Pools that all nodes share, zones in turn; 0: each node has one of its own.
  std::size_t subset = 8;    // Of them, that a node uses.
  std::string way;           // Of choosing among them; empty: the program's own.
  int cores = 2;             // Of each node's worker pool.
  Millis delay{0.5};
  Millis jitter{0.5};
  double loss = 0;
  // All start within so long, in order.
  Millis start_within{500};
  std::size_t seeds = 2;  // The first so many are told to each.
};

enum class Check {
  kAgree,  // From `within` behind the last fault's end, all that live hold the same view, and the true one.
  kNobodyGone,   // No node of `who` (all) that lives is held as gone by anybody, at any time.
  kNoneDropped,  // Nobody is, dead or alive: the guard against mass change holds.
  kGoneKnown,    // A killed node is gone to `share` of the others `within` so long.
  kBack,         // What was restarted, thawed or cut off is alive to all `within` behind it.
  kBytes,        // A node sends at most `most` bytes a second, mean of the run.
  kFalse,        // At most `most` suspicions an hour and node of nodes that lived and were not cut off.
  kCutOffSaid,   // `who` held its view at some time.
  kServed,       // At least `least` of the requests were served in time. Real processes only.
  kEven,   // In windows of 1 s the busiest service has at most `most` times the mean, in the mean of them.
  kWhole,  // No answer lost, wrong, twice or missing. Real processes only.
};
const char* NameOf(Check what);

struct Assertion {
  Check what = Check::kAgree;
  Millis within{2'000};
  double share = 1, most = 0, least = 0;
  std::optional<Who> who;
};

struct Scenario {
  std::string name, why;
  std::uint64_t seed = 1;
  Millis length{30'000};
  Fleet fleet;
  std::vector<LoadStep> load;
  std::vector<Fault> faults;
  std::vector<Assertion> assertions;

  // The end of the last fault.
  Millis LastFault() const;
};

// JSON with comments. Throws ScenarioError that names file and line.
nlohmann::ordered_json ParseLines(const std::string& text, const std::string& file);
// Throws ScenarioError. `file` names it in the faults.
Scenario ParseScenario(const std::string& text, const std::string& file);
Scenario ReadScenario(const std::string& path);
// The same file again, as JSON: a schedule that was shrunk can be kept and played.
std::string WriteScenario(const Scenario& scenario);

// The nodes that `who` names in this scenario, by number; `other` is the link's other end, for "rest".
std::vector<bool> NodesOf(const Scenario& scenario, const Who& who, const Who* other = nullptr);

// Faults drawn from the seed: cuts of all kinds, loss, delay, duplicates, kills, restarts, freezes, clocks.
// They end 15 s before the end.
Scenario RandomScenario(std::uint64_t seed, std::size_t nodes, Millis length);

}  // namespace hingelink::lab

#endif  // HINGELINK_LAB_SCENARIO_SCENARIO_H_
