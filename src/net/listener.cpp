#include "net/listener.h"

#include <linux/filter.h>
#include <sys/socket.h>

#include <cerrno>
#include <cstring>
#include <iterator>
#include <stdexcept>
#include <string>
#include <utility>

#include "log/log.h"

namespace hingelink::net {
namespace {

using namespace std::chrono_literals;

constexpr auto kAcceptRetryDelay = 50ms;  // After a failed accept.
constexpr int kBacklog = 1024;
// Connections accepted before the events of other connections are handled. Otherwise a flood of new
// connections could use up the descriptors before any connection has been read.
constexpr int kMaxAcceptsPerTurn = 16;
constexpr unsigned kOptions = LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC;

// Attaches a packet filter that drops every packet to the listening socket, so that no TCP handshake starts
// or completes. New clients are refused once the socket is closed. If the system does not allow the filter, a
// connection may still be established and reset.
void RefuseHandshakes(evutil_socket_t listener) {
  sock_filter drop_all[] = {BPF_STMT(BPF_RET | BPF_K, 0)};
  const sock_fprog program{std::size(drop_all), drop_all};
  setsockopt(listener, SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof program);
}

// Reverts RefuseHandshakes(). The filter belongs to the socket, which the processes of a node share: one that
// has drained leaves it to the process that accepts the clients next.
void AllowHandshakes(evutil_socket_t listener) {
  const int unused = 0;
  setsockopt(listener, SOL_SOCKET, SO_DETACH_FILTER, &unused, sizeof unused);
}

}  // namespace

Listener::Listener(event_base* base, const sockaddr_in& address, Descriptor handed_over,
                   AcceptCallback on_accept)
    : base_(base), address_(address), on_accept_(std::move(on_accept)), retry_timer_(base, [this] {
        if (listener_ && !paused_) evconnlistener_enable(listener_.get());
      }) {
  if (handed_over.get() >= 0) {
    Adopt(std::move(handed_over));
  } else {
    Open(address);
  }
}

void Listener::OnAccepted(evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* self) {
  static_cast<Listener*>(self)->Accept(fd);
}

// Shares the port, so that another process can listen even if the handover of the socket fails.
void Listener::Open(const sockaddr_in& address) {
  listener_.reset(evconnlistener_new_bind(
      base_, OnAccepted, this,
      kOptions | LEV_OPT_REUSEABLE | LEV_OPT_REUSEABLE_PORT | (paused_ ? LEV_OPT_DISABLED : 0u), kBacklog,
      reinterpret_cast<const sockaddr*>(&address), sizeof address));
  SetErrorCallback();
}

void Listener::Adopt(Descriptor handed_over) {
  paused_ = true;
  listener_.reset(
      evconnlistener_new(base_, OnAccepted, this, kOptions | LEV_OPT_DISABLED, 0, handed_over.get()));
  if (listener_) handed_over.release();
  SetErrorCallback();
}

void Listener::SetErrorCallback() {
  if (!listener_) throw std::runtime_error(std::string("cannot listen: ") + std::strerror(errno));
  address_.sin_port = htons(port());
  // Pauses after a failed accept. Otherwise the loop would spin while no descriptors are available.
  evconnlistener_set_error_cb(listener_.get(), [](evconnlistener* listener, void* self) {
    log::Warn("accept-failed", {{"error", std::strerror(errno)}});
    evconnlistener_disable(listener);
    static_cast<Listener*>(self)->retry_timer_.Start(kAcceptRetryDelay);
  });
}

void Listener::Reopen() {
  if (!listener_) Open(address_);
}

void Listener::Replace(Descriptor handed_over) { Adopt(std::move(handed_over)); }

void Listener::Accept(evutil_socket_t fd) {
  on_accept_(fd);
  if (paused_ || ++accepts_this_turn_ < kMaxAcceptsPerTurn) return;
  accepts_this_turn_ = 0;
  evconnlistener_disable(listener_.get());
  retry_timer_.Start(0ms);
}

void Listener::Pause() {
  paused_ = true;
  if (listener_) evconnlistener_disable(listener_.get());
}

void Listener::Resume() {
  paused_ = false;
  if (!listener_) return;
  AllowHandshakes(fd());
  evconnlistener_enable(listener_.get());
}

void Listener::Stop(const std::function<void()>& before_close) {
  if (!listener_) return;
  // A connection in the kernel's queue may already contain a request: closing the listener would reset the
  // connection and lose the request. The filter keeps new connections out between the last accept and the
  // close.
  RefuseHandshakes(fd());
  AcceptQueued(on_accept_);
  if (before_close) before_close();
  listener_.reset();
}

void Listener::CloseQueued() {
  if (!listener_) return;
  RefuseHandshakes(fd());
  AcceptQueued([](evutil_socket_t accepted) { evutil_closesocket(accepted); });
  listener_.reset();
}

void Listener::AcceptQueued(const AcceptCallback& on_accept) {
  for (;;) {
    const evutil_socket_t accepted = accept4(fd(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (accepted >= 0) {
      on_accept(accepted);
    } else if (errno != ECONNABORTED && errno != EINTR) {
      // The queue is empty. The errors excluded above concern one connection, and others may wait behind it.
      return;
    }
  }
}

}  // namespace hingelink::net
