#include "decide/upstream/connection_selection.h"

namespace hingelink::decide {

std::size_t SelectConnection(std::span<const ConnectionCandidate> connections, bool may_open) {
  std::size_t best = kNewConnection;
  for (std::size_t i = 0; i < connections.size(); ++i) {
    if (connections[i].excluded) continue;
    if (best == kNewConnection || connections[i].in_flight < connections[best].in_flight) best = i;
  }
  if (best == kNewConnection) return kNewConnection;
  const bool is_idle = connections[best].in_flight == 0;
  const bool opens_another = may_open && !is_idle && connections.size() < kMaxUpstreamConnections;
  return opens_another ? kNewConnection : best;
}

}  // namespace hingelink::decide
