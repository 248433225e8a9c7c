// The state of a node at one moment as plain values, for the control protocol and the admin server.
#ifndef HINGELINK_NODE_SNAPSHOT_H_
#define HINGELINK_NODE_SNAPSHOT_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace hingelink::node {

enum class NodeState {
  kStarting,    // The worker pool has not connected yet.
  kServing,     // Accepts clients.
  kHandedOver,  // A successor accepts the clients; requests in flight are completed here.
  kDraining,    // The drain has started.
};
// Returns the name of a state in the control protocol.
[[nodiscard]] const char* NodeStateName(NodeState state);

struct ClassSnapshot {
  std::string name;
  // Requests that currently wait for a start.
  std::uint64_t queued = 0;
  // Executions that currently run on the worker pool, including executions without a waiting caller.
  std::uint64_t running = 0;
  // Final answers since the start of the process.
  std::uint64_t served = 0, rejected = 0, failed = 0;
};

struct GatewaySnapshot {
  std::uint32_t gateway_id = 0;
  // Requests that currently have no final answer.
  std::uint64_t open_requests = 0;
  // Since the gateway was first seen.
  std::uint64_t requests = 0;
  std::uint64_t served = 0, rejected = 0, failed = 0;
};

struct ConnectionSnapshot {
  std::uint64_t id = 0;
  // Requests read since the connection was accepted.
  std::uint64_t requests = 0;
  std::size_t open_requests = 0;
  std::size_t unsent_bytes = 0;
  // Time since the last byte was read.
  std::chrono::milliseconds idle{0};
};

// An event loop that carries connections for the deciding thread.
struct LoopSnapshot {
  std::size_t connections = 0;
  // Messages from the loop that the deciding thread has not processed.
  std::size_t pending_messages = 0;
  // Answers and commands that the loop has not executed.
  std::size_t pending_commands = 0;
  // CPU time used, as a fraction of one core.
  double cpu_fraction = 0;
  // Connections moved here from other loops since the start of the process.
  std::uint64_t connections_received = 0;
  bool stalled = false;
};

struct DrainSnapshot {
  // Time until the process exits at the latest.
  std::chrono::milliseconds remaining{0};
  // Requests that still need a final answer.
  std::size_t unanswered = 0;
};

struct Snapshot {
  std::string name;
  NodeState state = NodeState::kStarting;
  bool ready = false;
  std::chrono::milliseconds uptime{0};
  std::vector<ClassSnapshot> classes;
  // The busiest gateways, ordered by open requests, then by total requests.
  std::vector<GatewaySnapshot> gateways;
  // Number of known gateways, including those not listed in `gateways`.
  std::size_t gateway_count = 0;
  // Empty if the node has one thread.
  std::vector<LoopSnapshot> loops;
  // Requests that need a final answer.
  std::size_t unanswered = 0;
  std::size_t connections = 0;
  // Executions handed to the worker pool since the start of the process.
  std::uint64_t executions = 0;
  // Memory reserved by queued and running requests, in KB.
  double reserved_kb = 0;
  bool pool_connected = false;
  std::string pool_address;
  // The gauge cpu_busy of the worker pool; empty if the gauges are out of date.
  std::optional<double> pool_cpu_busy;
  bool registry_healthy = false;
  std::string registry_address;
  std::optional<DrainSnapshot> drain;
};

}  // namespace hingelink::node

#endif  // HINGELINK_NODE_SNAPSHOT_H_
