// The second address, where operators ask: one HTTP/1.1 call a connection, served ahead of the gateways.
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

class OpsServer {
 public:
  struct Handlers {
    std::function<bool()> ready;         // Whether this process takes clients.
    std::function<std::string()> stats;  // The figures.
  };

  // Listens at once. Throws std::runtime_error where it cannot.
  OpsServer(event_base* base, const sockaddr_in& listen, Handlers handlers);
  ~OpsServer();

  // Frees the connections that ended since the last call. Not to be called from within a callback.
  void FreeEndedConnections();
  std::uint16_t port() const;

 private:
  class Connection;

  void Accept();
  void End(std::uint64_t id, const char* reason);
  std::string Response(std::string_view method, std::string_view path) const;

  event_base* base_;
  Handlers handlers_;
  Descriptor listener_;
  EventPtr accept_;
  Timer listen_again_;
  std::uint64_t last_id_ = 0;
  std::map<std::uint64_t, std::unique_ptr<Connection>> connections_;  // Oldest first.
  std::vector<std::unique_ptr<Connection>> ended_;
};

}  // namespace hingelink::net

#endif  // HINGELINK_NET_OPS_SERVER_H_
