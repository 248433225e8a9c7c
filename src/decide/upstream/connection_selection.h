// Chooses the connection to the upstream for the next call.
//
// Until kMaxUpstreamConnections are open, each connection carries one call at a time, so that a connection
// that breaks unnoticed takes few calls with it. From then on the least loaded one is chosen. Of several that
// are equal the first is chosen, so that the others become idle and are closed.
#ifndef HINGELINK_DECIDE_UPSTREAM_CONNECTION_SELECTION_H_
#define HINGELINK_DECIDE_UPSTREAM_CONNECTION_SELECTION_H_

#include <cstddef>
#include <span>

namespace hingelink::decide {

// An open connection.
struct ConnectionCandidate {
  std::size_t in_flight = 0;  // Calls.
  // An earlier call of the same request timed out on it recently: its late reply could be taken for the reply
  // to the new call.
  bool excluded = false;
};

// Open connections of one node to the upstream: as many as the calls that a node of a fleet of three may have
// in flight. Each takes a file descriptor.
inline constexpr std::size_t kMaxUpstreamConnections = 16;

// The call needs a new connection.
inline constexpr std::size_t kNewConnection = static_cast<std::size_t>(-1);

// Returns the index of the connection to use, or kNewConnection, also if all candidates are excluded.
// `may_open`: whether the upstream has replied since it last failed; until then it is not met by a connection
// for each call that is waiting.
[[nodiscard]] std::size_t SelectConnection(std::span<const ConnectionCandidate> connections, bool may_open);

}  // namespace hingelink::decide

#endif  // HINGELINK_DECIDE_UPSTREAM_CONNECTION_SELECTION_H_
