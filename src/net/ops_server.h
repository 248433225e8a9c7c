// HTTP/1.1 server of the admin address: GET /ops/readiness and GET /ops/stats. Answers one request on each
// connection, before the loop serves gateway connections.
#ifndef HINGELINK_NET_OPS_SERVER_H_
#define HINGELINK_NET_OPS_SERVER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "net/event.h"

namespace hingelink::net {

// All calls on the thread of the event base, which must outlive the object.
class OpsServer {
 public:
  struct Handlers {
    std::function<bool()> ready;         // Whether this process is ready to serve gateways.
    std::function<std::string()> stats;  // The metrics, in the Prometheus text format.
  };

  // Starts to listen. Throws std::runtime_error if it cannot bind the address or create its event.
  OpsServer(event_base* base, const sockaddr_in& listen, Handlers handlers);
  ~OpsServer();

  // Frees the connections that ended since the last call. Must not be called from a libevent callback.
  void FreeEndedConnections();
  std::uint16_t port() const;

 private:
  class Connection;

  void Accept();
  // Closes the connection if it is still open; it is freed by FreeEndedConnections().
  void CloseConnection(std::uint64_t id, const char* reason);
  std::string Response(std::string_view method, std::string_view path) const;

  event_base* base_;
  Handlers handlers_;
  Descriptor listener_;
  EventPtr accept_event_;
  Timer accept_retry_timer_;
  std::uint64_t last_id_ = 0;
  std::map<std::uint64_t, std::unique_ptr<Connection>> connections_;  // Oldest first.
  std::vector<std::unique_ptr<Connection>> ended_;                    // Freed by FreeEndedConnections().
};

}  // namespace hingelink::net

#endif  // HINGELINK_NET_OPS_SERVER_H_
