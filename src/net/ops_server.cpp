#include "net/ops_server.h"

#include <sys/socket.h>

#include <cerrno>
#include <cstring>
#include <stdexcept>
#include <utility>

#include "log/log.h"
#include "proto/admin_http.h"

namespace hingelink::net {
namespace {

using namespace std::chrono_literals;

// Out of the descriptors that are kept from the gateways.
constexpr std::size_t kMostConnections = 8;
constexpr int kBacklog = 64;
// From the accept to the end of the response. Guards against callers that connect and finish no call.
constexpr auto kDeadline = 2s;
constexpr auto kListenAgain = 50ms;

Descriptor Listen(const sockaddr_in& address) {
  Descriptor fd(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  const int on = 1;
  if (fd.get() < 0 || setsockopt(fd.get(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on) != 0 ||
      bind(fd.get(), reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 ||
      listen(fd.get(), kBacklog) != 0) {
    throw std::runtime_error(std::string("cannot listen for operators: ") + std::strerror(errno));
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
        deadline_(server.base_, [this] { server_.End(id_, answered_ ? "slow-reader" : "deadline"); }) {
    if (!bev_) {
      evutil_closesocket(fd);
      throw std::runtime_error("libevent: no bufferevent");
    }
    bufferevent_priority_set(bev_.get(), kUrgent);
    bufferevent_setcb(
        bev_.get(), [](bufferevent*, void* self) { static_cast<Connection*>(self)->Read(); },
        [](bufferevent*, void* self) { static_cast<Connection*>(self)->Written(); },
        [](bufferevent*, short what, void* self) {
          auto* it = static_cast<Connection*>(self);
          const char* closed = it->answered_ ? "answered" : "peer-closed";
          it->server_.End(it->id_, (what & BEV_EVENT_EOF) != 0 ? closed : "reset");
        },
        this);
    bufferevent_setwatermark(bev_.get(), EV_READ, 0, proto::kMaxAdminRequestBytes);
    bufferevent_enable(bev_.get(), EV_READ | EV_WRITE);
    deadline_.After(kDeadline);
  }

  void Close(const char* reason) {
    deadline_.Stop();
    bufferevent_setcb(bev_.get(), nullptr, nullptr, nullptr, nullptr);
    bufferevent_disable(bev_.get(), EV_READ | EV_WRITE);
    evutil_closesocket(bufferevent_getfd(bev_.get()));
    bufferevent_setfd(bev_.get(), -1);
    log::PeerEvent("ops-connection-end", {{"id", id_}, {"reason", reason}});
  }

 private:
  void Read() {
    const std::string_view all = Arrived(bev_.get());
    if (answered_) {
      // What comes behind the call is let go: closing on unread bytes would reset the response.
      Consume(bev_.get(), all.size());
      return;
    }
    const proto::AdminRequest call = proto::ParseAdminRequest(all);
    if (call.state == proto::AdminRequest::State::kNeedMore) return;
    answered_ = true;
    Send(bev_.get(), call.state == proto::AdminRequest::State::kMalformed
                         ? proto::EncodeAdminResponse(400, "bad request\n")
                         : server_.Response(call.method, call.path));
    Consume(bev_.get(), all.size());
  }

  // The caller closes once it has the response; the deadline ends one that does not.
  void Written() {
    if (answered_) shutdown(bufferevent_getfd(bev_.get()), SHUT_WR);
  }

  OpsServer& server_;
  std::uint64_t id_;
  BufferPtr bev_;
  Timer deadline_;
  bool answered_ = false;
};

// A listener of its own: libevent's gives its event no priority.
OpsServer::OpsServer(event_base* base, const sockaddr_in& listen, Handlers handlers)
    : base_(base),
      handlers_(std::move(handlers)),
      listener_(Listen(listen)),
      accept_(event_new(
          base, listener_.get(), EV_READ | EV_PERSIST,
          [](evutil_socket_t, short, void* self) { static_cast<OpsServer*>(self)->Accept(); }, this)),
      listen_again_(base, [this] { event_add(accept_.get(), nullptr); }) {
  if (!accept_) throw std::runtime_error("libevent: no event");
  event_priority_set(accept_.get(), kUrgent);
  event_add(accept_.get(), nullptr);
}

OpsServer::~OpsServer() {
  while (!connections_.empty()) End(connections_.begin()->first, "shutdown");
}

void OpsServer::FreeEndedConnections() { ended_.clear(); }

void OpsServer::Accept() {
  for (;;) {
    const evutil_socket_t fd = accept4(listener_.get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd < 0) {
      if (errno == EAGAIN || errno == EINTR || errno == ECONNABORTED) return;
      // Guards against a loop that spins where descriptors are used up.
      log::Warn("ops-accept-failed", {{"error", std::strerror(errno)}});
      event_del(accept_.get());
      listen_again_.After(kListenAgain);
      return;
    }
    // Guards against idle callers that keep out others: the oldest goes.
    if (connections_.size() >= kMostConnections) End(connections_.begin()->first, "made-room");
    const std::uint64_t id = ++last_id_;
    connections_.emplace(id, std::make_unique<Connection>(*this, id, fd));
  }
}

void OpsServer::End(std::uint64_t id, const char* reason) {
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
