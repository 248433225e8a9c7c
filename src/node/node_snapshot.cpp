// Snapshots of a node for the control protocol and the admin server.
#include <algorithm>
#include <chrono>
#include <tuple>
#include <utility>

#include "node/node.h"

namespace hingelink::node {

const char* NodeStateName(NodeState state) {
  switch (state) {
    case NodeState::kStarting:
      return "starting";
    case NodeState::kServing:
      return "serving";
    case NodeState::kHandedOver:
      return "handed-over";
    case NodeState::kDraining:
      break;
  }
  return "draining";
}

Snapshot Node::TakeSnapshot() const {
  constexpr std::size_t kMaxGateways = 16;
  Snapshot snapshot;
  const auto ms = [](Steady::duration span) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(span);
  };
  const Steady::time_point now = Steady::now();
  snapshot.name = config_.name;
  snapshot.state = draining_      ? NodeState::kDraining
                   : handed_over_ ? NodeState::kHandedOver
                   : policy_      ? NodeState::kServing
                                  : NodeState::kStarting;
  snapshot.ready = Ready();
  snapshot.uptime = ms(now - started_at_);
  RequestTable::InFlightCounts in_flight = table_.CountInFlight();
  for (const core::ClassCounts& counts : metrics_.classes()) {
    const auto count = in_flight.classes.extract(counts.name);
    const RequestTable::InFlightCounts::Class open =
        count.empty() ? RequestTable::InFlightCounts::Class{} : count.mapped();
    snapshot.classes.push_back(
        {counts.name, open.queued, open.running, counts.served, counts.rejected, counts.failed});
  }
  for (const auto& [via, counts] : metrics_.gateways()) {
    const auto open = in_flight.open_by_gateway.find(via);
    snapshot.gateways.push_back({via, open == in_flight.open_by_gateway.end() ? 0 : open->second,
                                 counts.requests, counts.answers.served, counts.answers.rejected,
                                 counts.answers.failed});
  }
  snapshot.gateway_count = snapshot.gateways.size();
  std::sort(snapshot.gateways.begin(), snapshot.gateways.end(),
            [](const GatewaySnapshot& a, const GatewaySnapshot& b) {
              return std::tie(b.open_requests, b.requests, a.gateway_id) <
                     std::tie(a.open_requests, a.requests, b.gateway_id);
            });
  if (snapshot.gateways.size() > kMaxGateways) snapshot.gateways.resize(kMaxGateways);
  snapshot.loops = TakeLoopSnapshots();
  snapshot.unanswered = table_.unanswered();
  snapshot.connections = front_->connections();
  snapshot.executions = metrics_.executions();
  if (policy_) snapshot.reserved_kb = policy_->CurrentLoad().memory_kb;
  snapshot.pool_connected = pool_->ready();
  snapshot.pool_address = config_.pool_address;
  const auto& names = config_.settings.gauges;
  const auto busy = std::find(names.begin(), names.end(), "cpu_busy");
  const std::vector<double>& gauges = pool_->gauges();
  if (const auto at = static_cast<std::size_t>(busy - names.begin()); at < gauges.size()) {
    snapshot.pool_cpu_busy = gauges[at];
  }
  snapshot.registry_healthy = registry_.last_report_succeeded();
  snapshot.registry_address = config_.registry_address;
  if (draining_) snapshot.drain = {ms(std::max(Steady::duration(0), kill_at_ - now)), snapshot.unanswered};
  return snapshot;
}

std::vector<LoopSnapshot> Node::TakeLoopSnapshots() const {
  std::vector<LoopSnapshot> snapshots;
  for (const auto& loop : front_->Loops()) {
    snapshots.push_back({.connections = loop.connections,
                         .pending_messages = loop.pending_messages,
                         .pending_commands = loop.pending_commands,
                         .cpu_fraction = loop.cpu_fraction,
                         .connections_received = loop.connections_received,
                         .stalled = loop.stalled});
  }
  return snapshots;
}

std::vector<ConnectionSnapshot> Node::TakeConnectionSnapshots(std::size_t max_connections) const {
  std::vector<ConnectionSnapshot> snapshots;
  for (const auto& connection : front_->TakeSnapshots(max_connections)) {
    snapshots.push_back({connection.id, connection.requests, connection.open_requests,
                         connection.unsent_bytes,
                         std::chrono::duration_cast<std::chrono::milliseconds>(connection.idle_time)});
  }
  return snapshots;
}

}  // namespace hingelink::node
