// Chooses the connection to the upstream for the next call.
//
// Until kMaxUpstreamConnections are open, each connection carries one call at a time, so that few calls are
// lost when a connection breaks unnoticed. From then on, the connection with the fewest calls is chosen.
// Among equal connections the first is chosen, so that the others become idle and are closed.
#ifndef HINGELINK_DECIDE_UPSTREAM_CONNECTION_SELECTION_H_
#define HINGELINK_DECIDE_UPSTREAM_CONNECTION_SELECTION_H_

#include <cstddef>
#include <span>

namespace hingelink::decide {

// An open connection.
struct ConnectionCandidate {
  std::size_t in_flight = 0;  // Calls that wait for a reply.
  // Whether an earlier call of the same request timed out on this connection recently. The late reply to that
  // call could be mistaken for the reply to the new call.
  bool excluded = false;
};

// Maximum number of open connections from one node to the upstream. It equals the number of calls that a node
// of a fleet of three may have in flight. Each connection takes a file descriptor.
inline constexpr std::size_t kMaxUpstreamConnections = 16;

// Result of SelectConnection() if the call needs a new connection.
inline constexpr std::size_t kNewConnection = static_cast<std::size_t>(-1);

// Returns the index of the connection to use, or kNewConnection. If there is no connection or all are
// excluded, the result is kNewConnection. `may_open`: whether the upstream has replied since it last failed.
// If not, the waiting calls share a connection, so that they do not open one connection each to a failed
// upstream.
[[nodiscard]] std::size_t SelectConnection(std::span<const ConnectionCandidate> connections, bool may_open);

}  // namespace hingelink::decide

#endif  // HINGELINK_DECIDE_UPSTREAM_CONNECTION_SELECTION_H_
