#include "net/ops_server.h"

#include <sys/socket.h>

#include <cerrno>
#include <cstring>
#include <stdexcept>
#include <string>
#include <utility>

#include "log/log.h"
#include "proto/admin_http.h"

namespace hingelink::net {
namespace {

using namespace std::chrono_literals;

// Maximum number of open connections. Their descriptors are among those that the node reserves, so that
// gateway connections cannot use them up.
constexpr std::size_t kMaxConnections = 8;
constexpr int kBacklog = 64;
// Maximum time from the accept of a connection to the end of the response. This timeout closes connections of
// callers that never complete a request or never read the response.
constexpr auto kConnectionTimeout = 2s;
// Pause of accepting after accept4() failed.
constexpr auto kAcceptRetryDelay = 50ms;

Descriptor Listen(const sockaddr_in& address) {
  Descriptor fd(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  const int on = 1;
  if (fd.get() < 0 || setsockopt(fd.get(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on) != 0 ||
      bind(fd.get(), reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 ||
      listen(fd.get(), kBacklog) != 0) {
    throw std::runtime_error("cannot listen on port " + std::to_string(ntohs(address.sin_port)) +
                             " of the admin address: " + std::strerror(errno));
  }
  return fd;
}

}  // namespace

class OpsServer::Connection {
 public:
  Connection(OpsServer& server, std::uint64_t id, evutil_socket_t fd)
      : server_(server),
        id_(id),
        bev_(bufferevent_socket_new(server.base_, fd, BEV_OPT_CLOSE_ON_FREE)),
        timeout_timer_(server.base_,
                       [this] { server_.CloseConnection(id_, answered_ ? "slow-reader" : "deadline"); }) {
    if (!bev_) {
      evutil_closesocket(fd);
      throw std::runtime_error("libevent: cannot create a bufferevent");
    }
    bufferevent_priority_set(bev_.get(), kHighPriority);
    bufferevent_setcb(
        bev_.get(), [](bufferevent*, void* self) { static_cast<Connection*>(self)->OnReadable(); },
        [](bufferevent*, void* self) { static_cast<Connection*>(self)->OnWritten(); },
        [](bufferevent*, short what, void* self) {
          auto* connection = static_cast<Connection*>(self);
          const char* eof_reason = connection->answered_ ? "answered" : "peer-closed";
          connection->server_.CloseConnection(connection->id_,
                                              (what & BEV_EVENT_EOF) != 0 ? eof_reason : "reset");
        },
        this);
    bufferevent_setwatermark(bev_.get(), EV_READ, 0, proto::kMaxAdminRequestBytes);
    bufferevent_enable(bev_.get(), EV_READ | EV_WRITE);
    timeout_timer_.Start(kConnectionTimeout);
  }

  void Close(const char* reason) {
    timeout_timer_.Stop();
    bufferevent_setcb(bev_.get(), nullptr, nullptr, nullptr, nullptr);
    bufferevent_disable(bev_.get(), EV_READ | EV_WRITE);
    evutil_closesocket(bufferevent_getfd(bev_.get()));
    bufferevent_setfd(bev_.get(), -1);
    log::PeerEvent("ops-connection-end", {{"id", id_}, {"reason", reason}});
  }

 private:
  void OnReadable() {
    const std::string_view received = ReceivedBytes(bev_.get());
    if (answered_) {
      // Bytes after the request are discarded: closing a socket with unread bytes resets the connection, and
      // the caller could lose the response.
      Consume(bev_.get(), received.size());
      return;
    }
    const proto::AdminRequest request = proto::ParseAdminRequest(received);
    if (request.state == proto::AdminRequest::State::kNeedMore) return;
    answered_ = true;
    Send(bev_.get(), request.state == proto::AdminRequest::State::kMalformed
                         ? proto::EncodeAdminResponse(400, "bad request\n")
                         : server_.Response(request.method, request.path));
    Consume(bev_.get(), received.size());
  }

  // Called when the response is written. The caller closes the connection next; the timeout closes it
  // otherwise.
  void OnWritten() {
    if (answered_) shutdown(bufferevent_getfd(bev_.get()), SHUT_WR);
  }

  OpsServer& server_;
  std::uint64_t id_;
  BufferPtr bev_;
  Timer timeout_timer_;
  bool answered_ = false;
};

// Accepts by its own event, because the event of libevent's evconnlistener cannot be given a priority.
OpsServer::OpsServer(event_base* base, const sockaddr_in& listen, Handlers handlers)
    : base_(base),
      handlers_(std::move(handlers)),
      listener_(Listen(listen)),
      accept_event_(event_new(
          base, listener_.get(), EV_READ | EV_PERSIST,
          [](evutil_socket_t, short, void* self) { static_cast<OpsServer*>(self)->Accept(); }, this)),
      accept_retry_timer_(base, [this] { event_add(accept_event_.get(), nullptr); }) {
  if (!accept_event_) throw std::runtime_error("libevent: cannot create an event");
  event_priority_set(accept_event_.get(), kHighPriority);
  event_add(accept_event_.get(), nullptr);
}

OpsServer::~OpsServer() {
  while (!connections_.empty()) CloseConnection(connections_.begin()->first, "shutdown");
}

void OpsServer::FreeEndedConnections() { ended_.clear(); }

void OpsServer::Accept() {
  for (;;) {
    const evutil_socket_t fd = accept4(listener_.get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd < 0) {
      if (errno == EAGAIN || errno == EINTR || errno == ECONNABORTED) return;
      // Accepting pauses: with no free descriptor the event would fire without end and keep the loop busy.
      log::Warn("ops-accept-failed", {{"error", std::strerror(errno)}});
      event_del(accept_event_.get());
      accept_retry_timer_.Start(kAcceptRetryDelay);
      return;
    }
    // The oldest connection is closed, so that idle callers cannot lock out others.
    if (connections_.size() >= kMaxConnections) CloseConnection(connections_.begin()->first, "evicted");
    const std::uint64_t id = ++last_id_;
    connections_.emplace(id, std::make_unique<Connection>(*this, id, fd));
  }
}

void OpsServer::CloseConnection(std::uint64_t id, const char* reason) {
  const auto it = connections_.find(id);
  if (it == connections_.end()) return;
  ended_.push_back(std::move(it->second));
  connections_.erase(it);
  ended_.back()->Close(reason);
}

std::string OpsServer::Response(std::string_view method, std::string_view path) const {
  const bool readiness = path == "/ops/readiness";
  if (!readiness && path != "/ops/stats") return proto::EncodeAdminResponse(404, "not found\n");
  if (method != "GET") return proto::EncodeAdminResponse(405, "method not allowed\n", "GET");
  if (!readiness) return proto::EncodeAdminResponse(200, handlers_.stats());
  return handlers_.ready() ? proto::EncodeAdminResponse(200, "ready\n")
                           : proto::EncodeAdminResponse(503, "not ready\n");
}

std::uint16_t OpsServer::port() const { return LocalPort(listener_.get()); }

}  // namespace hingelink::net
