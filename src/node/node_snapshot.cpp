// What is shown of a node.
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
  constexpr std::size_t kGatewaysShown = 16;
  Snapshot seen;
  const auto ms = [](Steady::duration span) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(span);
  };
  const Steady::time_point now = Steady::now();
  seen.name = config_.name;
  seen.state = draining_      ? NodeState::kDraining
               : handed_over_ ? NodeState::kHandedOver
               : policy_      ? NodeState::kServing
                              : NodeState::kStarting;
  seen.ready = Ready();
  seen.uptime = ms(now - started_at_);
  RequestTable::InFlightCounts in_flight = table_.CountInFlight();
  for (const core::ClassCounts& counts : metrics_.classes()) {
    const auto count = in_flight.classes.extract(counts.name);
    const RequestTable::InFlightCounts::Class open =
        count.empty() ? RequestTable::InFlightCounts::Class{} : count.mapped();
    seen.classes.push_back(
        {counts.name, open.queued, open.running, counts.served, counts.rejected, counts.failed});
  }
  for (const auto& [via, counts] : metrics_.gateways()) {
    const auto open = in_flight.open_by_gateway.find(via);
    seen.gateways.push_back({via, open == in_flight.open_by_gateway.end() ? 0 : open->second, counts.requests,
                             counts.answers.served, counts.answers.rejected, counts.answers.failed});
  }
  seen.gateway_count = seen.gateways.size();
  std::sort(seen.gateways.begin(), seen.gateways.end(),
            [](const GatewaySnapshot& a, const GatewaySnapshot& b) {
              return std::tie(b.open_requests, b.requests, a.gateway_id) <
                     std::tie(a.open_requests, a.requests, b.gateway_id);
            });
  if (seen.gateways.size() > kGatewaysShown) seen.gateways.resize(kGatewaysShown);
  seen.loops = TakeLoopSnapshots();
  seen.unanswered = table_.unanswered();
  seen.connections = front_->connections();
  seen.executions = metrics_.executions();
  if (policy_) seen.reserved_kb = policy_->CurrentLoad().memory_kb;
  seen.pool_connected = pool_->ready();
  seen.pool_address = config_.pool_address;
  const auto& names = config_.settings.gauges;
  const auto busy = std::find(names.begin(), names.end(), "cpu_busy");
  const std::vector<double>& gauges = pool_->gauges();
  if (const auto at = static_cast<std::size_t>(busy - names.begin()); at < gauges.size()) {
    seen.pool_cpu_busy = gauges[at];
  }
  seen.registry_healthy = registry_.last_report_succeeded();
  seen.registry_address = config_.registry_address;
  if (draining_) seen.drain = {ms(std::max(Steady::duration(0), kill_at_ - now)), seen.unanswered};
  return seen;
}

std::vector<LoopSnapshot> Node::TakeLoopSnapshots() const {
  std::vector<LoopSnapshot> seen;
  for (const auto& loop : front_->Loops()) {
    seen.push_back({.connections = loop.connections,
                    .pending_messages = loop.pending_messages,
                    .pending_commands = loop.pending_commands,
                    .cpu_fraction = loop.cpu_fraction,
                    .connections_received = loop.connections_received,
                    .stalled = loop.stalled});
  }
  return seen;
}

std::vector<ConnectionSnapshot> Node::TakeConnectionSnapshots(std::size_t most) const {
  std::vector<ConnectionSnapshot> seen;
  for (const auto& look : front_->TakeSnapshots(most)) {
    seen.push_back({look.id, look.requests, look.open_requests, look.unsent_bytes,
                    std::chrono::duration_cast<std::chrono::milliseconds>(look.idle_time)});
  }
  return seen;
}

}  // namespace hingelink::node
