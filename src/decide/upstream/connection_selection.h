// Which connection to the store the next call goes over. No clock, no I/O.
//
// Promise: a connection that dies without a word takes as few calls with it as can be. Until kMost stand,
// each has one call at a time; from then on the next goes where fewest are out. The first of several that are
// free is taken, so that the others run out of use and are closed. Never over one on which an earlier call of
// the same request was given up lately (`barred`): its reply may still be on the way, and would be taken for
// the new call's.
#ifndef HINGELINK_DECIDE_UPSTREAM_CONNECTION_SELECTION_H_
#define HINGELINK_DECIDE_UPSTREAM_CONNECTION_SELECTION_H_

#include <cstddef>
#include <span>

namespace hingelink::decide {

struct ConnectionCandidate {
  std::size_t in_flight = 0;  // Out on it.
  bool excluded = false;
};

// As many as the calls that a node of a fleet of three may have in hand; what takes a descriptor of the
// node's.
inline constexpr std::size_t kMaxUpstreamConnections = 16;

inline constexpr std::size_t kNewConnection = static_cast<std::size_t>(-1);

// The place to take, or kNewConnection: over a new connection. `may_open`: the store has answered since it
// last failed. Guards a store that comes back against as many connections as calls had piled up.
inline std::size_t SelectConnection(std::span<const ConnectionCandidate> places, bool may_open) {
  std::size_t best = kNewConnection;
  for (std::size_t i = 0; i < places.size(); ++i) {
    if (!places[i].excluded && (best == kNewConnection || places[i].in_flight < places[best].in_flight))
      best = i;
  }
  if (best == kNewConnection) return kNewConnection;
  const bool another = may_open && places[best].in_flight > 0 && places.size() < kMaxUpstreamConnections;
  return another ? kNewConnection : best;
}

}  // namespace hingelink::decide

#endif  // HINGELINK_DECIDE_UPSTREAM_CONNECTION_SELECTION_H_
