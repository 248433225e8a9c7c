// A scenario with real processes of the program: each node a process, stand-ins round them, and a relay on
// every link between two of them. Accounts come from the stand-ins and the relays, and what a node holds of
// the others from its control socket.
#ifndef HINGELINK_LAB_RIG_RIG_H_
#define HINGELINK_LAB_RIG_RIG_H_

#include <cstdint>
#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "lab/rig/relay.h"
#include "lab/scenario/judge.h"
#include "lab/scenario/scenario.h"
#include "standin/gateways.h"
#include "standin/pool.h"

namespace hingelink::lab {

// What a node holds of the others, by its own word.
struct NodeView {
  struct Other {
    std::uint64_t life = 0;
    bool gone = false, suspect = false;
  };
  std::uint64_t life = 0;  // Its own.
  bool cut_off = false;
  std::map<std::string, Other> others;
};

struct RigOptions {
  std::string program;  // That is started as `program serve ...`.
  // A node's configuration in the platform's form; the rig sets name, addresses and seed.
  std::function<nlohmann::ordered_json(int cores, std::size_t gateways)> node_config;
  std::vector<standin::ClassLoad> classes;
  std::function<double(int cores)> capacity;  // First tries a second.
  // Asks the control socket at this path; nothing where it does not answer.
  std::function<std::optional<NodeView>(const std::string& socket)> look;
  std::function<std::string()> new_key;  // A line of a key file, drawn now.
  // Of services that are shared: those that each node uses, where it uses so many.
  std::function<std::vector<std::vector<std::uint32_t>>(const Scenario&, std::size_t size)> services_of;
  std::string folder;     // Must be there and empty; logs and sockets go into it.
  bool peers = true;      // Whether the nodes join each other.
  Millis look_each{200};  // And so much longer that looks take no more than a part of the time.
  // Beyond these the rig was the bound, and the run says nothing.
  Millis late_most{500}, late_99{25};
  std::function<void(const std::string& line)> progress;
};

// An attempt that a gateway counted as unanswered, with what the rig knew of it then.
struct UnansweredReport {
  standin::AttemptReport attempt;
  std::string node;
  standin::Pool::RunState run_state = standin::Pool::RunState::kNone;
  Millis scenario_time{0};
  Millis sweep_lag{0};  // Worst lag of the gateways' checks until then.

  [[nodiscard]] nlohmann::ordered_json Json() const;
};

struct RigResult {
  std::string scenario;
  std::uint64_t seed = 0;
  std::vector<std::string> violations;
  bool is_void = false;  // The rig was the bound.
  Millis late_worst{0}, late_99{0};
  Millis arrival_lag{0}, sweep_lag{0};       // Worst lags of the gateways.
  Millis core_wait_most{0};                  // Worst wait of a node for a core between two or three looks.
  std::vector<UnansweredReport> unanswered;  // The first ones.
  standin::ClassAccount account;
  double median_ms = 0, p99_ms = 0;
  RelayCounts relay;
  std::vector<KillTimes> kills;      // By looks.
  std::vector<Millis> agreed_after;  // Behind the end of each fault.
  std::vector<std::string> cut_off;  // Nodes that said so.
  double bytes_a_second = 0;         // Of a node, to other nodes.
  double cpu_share = 0;              // Of a core, mean of the nodes ...
  double cpu_most = 0;               // ... and the busiest one.
  std::uint64_t forged = 0;          // Datagrams.
  // Of services that are shared, by their own counts: runs started, ended with an error, and most at a time;
  // the busiest over the mean in windows of 1 s, mean and worst.
  std::vector<std::uint64_t> started, errors, most_running;
  double most_1s = 0, worst_1s = 0;
  double rss_mb = 0;                  // Mean of the nodes at the end.
  std::vector<std::string> recalled;  // By the log: starts that found what an earlier life had learned.
  std::vector<std::string> crashed;   // Processes that ended by themselves.

  nlohmann::ordered_json Json() const;
};

// Plays it. Throws std::runtime_error where it cannot be set up.
RigResult RunRig(const Scenario& scenario, const RigOptions& options);

}  // namespace hingelink::lab

#endif  // HINGELINK_LAB_RIG_RIG_H_
