// A snapshot of a node's view of its fleet, and its metrics.
#ifndef HINGELINK_FLEET_FLEET_SNAPSHOT_H_
#define HINGELINK_FLEET_FLEET_SNAPSHOT_H_

#include <string>
#include <vector>

#include "decide/membership/membership.h"
#include "net/gossip_transport.h"

namespace hingelink::fleet {

struct FleetSnapshot {
  decide::MemberRecord self;
  std::vector<decide::MemberView> members;  // All other members, sorted by name.
  int local_health = 0;                     // decide::Membership::local_health().
  bool defers_removals = false;             // decide::Membership::defers_removals().
  bool is_transport_open = false;
  decide::MembershipCounters counters;
  net::GossipTransport::Counters transport;
};

// Returns the metrics of the snapshot in the Prometheus text format.
[[nodiscard]] std::string MetricsTextOf(const FleetSnapshot& snapshot);

}  // namespace hingelink::fleet

#endif  // HINGELINK_FLEET_FLEET_SNAPSHOT_H_
