// What a node looks like at one moment: plain values, for whoever watches it.
#ifndef HINGELINK_NODE_SNAPSHOT_H_
#define HINGELINK_NODE_SNAPSHOT_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace hingelink::node {

enum class NodeState {
  kStarting,    // The worker pool has not been up yet.
  kServing,     // Takes clients.
  kHandedOver,  // A successor takes the clients; what is in hand is answered.
  kDraining,    // Told to leave.
};
const char* StateName(NodeState state);

// `held` and `running` are of now, the others since the start of the process.
struct ClassSnapshot {
  std::string name;
  std::uint64_t held = 0;     // Wait to be run.
  std::uint64_t running = 0;  // Handed to the worker pool, also those that nobody waits for any more.
  std::uint64_t served = 0, refused = 0, failed = 0;
};

// `open` is of now, the others since the gateway was first seen.
struct GatewaySnapshot {
  std::uint32_t via = 0;
  std::uint64_t open = 0;
  std::uint64_t requests = 0;
  std::uint64_t served = 0, refused = 0, failed = 0;
};

struct ConnectionSnapshot {
  std::uint64_t id = 0;
  std::uint64_t requests = 0;
  std::size_t open = 0;
  std::size_t unsent_bytes = 0;
  std::chrono::milliseconds quiet{0};  // Since anything was read.
};

// `taken` since the start, the others of now.
struct LoopSnapshot {
  std::size_t connections = 0;
  std::size_t told_waiting = 0;    // Messages from it that the deciding thread has not taken.
  std::size_t orders_waiting = 0;  // Answers and orders that it has not carried out.
  double busy = 0;                 // Share of a core.
  std::uint64_t taken = 0;         // Connections that came from other loops.
  bool hung = false;
};

struct DrainSnapshot {
  std::chrono::milliseconds left{0};  // Until the process ends at the latest.
  std::size_t owed = 0;               // Answers still to be given.
};

struct Snapshot {
  std::string name;
  NodeState state = NodeState::kStarting;
  bool ready = false;
  std::chrono::milliseconds uptime{0};
  std::vector<ClassSnapshot> classes;
  std::vector<GatewaySnapshot> gateways;  // Those with most open first, then most requests; at most 16.
  std::size_t gateways_known = 0;
  std::vector<LoopSnapshot> loops;  // Empty with one thread.
  std::size_t owed = 0;
  std::size_t connections = 0;
  std::uint64_t runs = 0;  // Handed to the worker pool since the start.
  double reserved_kb = 0;  // Booked by the module, held and running together.
  bool pool_bound = false;
  std::string pool_address;
  std::optional<double> pool_busy;  // The gauge cpu_busy; none where the gauges are old.
  bool registry_good = false;
  std::string registry_address;
  std::optional<DrainSnapshot> drain;
};

}  // namespace hingelink::node

#endif  // HINGELINK_NODE_SNAPSHOT_H_
