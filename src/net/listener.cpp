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

constexpr auto kAgain = 50ms;
constexpr int kBacklog = 1024;
// Connections accepted before the others, which may have sent something by now, have their turn. Guards
// against a flood that fills the descriptors with connections of which none has been read yet.
constexpr int kAcceptedAtOnce = 16;

// The kernel drops every packet to this socket itself, so that no handshake begins or ends on it: whoever
// comes now is refused once the socket is closed. Where the system does not allow it, a connection may still
// slip in.
void RefuseHandshakes(evutil_socket_t listener) {
  sock_filter drop_all[] = {BPF_STMT(BPF_RET | BPF_K, 0)};
  const sock_fprog program{std::size(drop_all), drop_all};
  setsockopt(listener, SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof program);
}

}  // namespace

Listener::Listener(event_base* base, const sockaddr_in& address, Descriptor handed_over, Accepted accepted)
    : accepted_(std::move(accepted)), again_(base, [this] {
        if (listener_ && !paused_) evconnlistener_enable(listener_.get());
      }) {
  const auto accept = [](evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* self) {
    static_cast<Listener*>(self)->Accept(fd);
  };
  constexpr unsigned kOptions = LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC;
  if (handed_over.get() >= 0) {
    paused_ = true;
    listener_.reset(
        evconnlistener_new(base, accept, this, kOptions | LEV_OPT_DISABLED, 0, handed_over.get()));
    if (listener_) handed_over.release();
  } else {
    // Shares the port, so that another process can listen even where the handover of the socket fails.
    listener_.reset(evconnlistener_new_bind(base, accept, this,
                                            kOptions | LEV_OPT_REUSEABLE | LEV_OPT_REUSEABLE_PORT, kBacklog,
                                            reinterpret_cast<const sockaddr*>(&address), sizeof address));
  }
  if (!listener_) throw std::runtime_error(std::string("cannot listen: ") + std::strerror(errno));
  // Guards against a loop that spins on a listener whose accept fails for want of descriptors.
  evconnlistener_set_error_cb(listener_.get(), [](evconnlistener* listener, void* self) {
    log::Warn("accept-failed", {{"error", std::strerror(errno)}});
    evconnlistener_disable(listener);
    static_cast<Listener*>(self)->again_.Start(kAgain);
  });
}

void Listener::Accept(evutil_socket_t fd) {
  accepted_(fd);
  if (paused_ || ++accepted_at_once_ < kAcceptedAtOnce) return;
  accepted_at_once_ = 0;
  evconnlistener_disable(listener_.get());
  again_.Start(0ms);
}

void Listener::Pause() {
  paused_ = true;
  if (listener_) evconnlistener_disable(listener_.get());
}

void Listener::Resume() {
  paused_ = false;
  if (listener_) evconnlistener_enable(listener_.get());
}

void Listener::Stop(const std::function<void()>& before_close) {
  if (!listener_) return;
  // A connection that the kernel has accepted may hold a request already: closing the listener would reset
  // it and lose the request. No further one is accepted from here on, not even between the last look and the
  // close.
  RefuseHandshakes(fd());
  TakeQueued();
  if (before_close) before_close();
  listener_.reset();
}

void Listener::TakeQueued() {
  for (;;) {
    const evutil_socket_t taken = accept4(fd(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (taken >= 0) {
      accepted_(taken);
    } else if (errno != ECONNABORTED && errno != EINTR) {
      // Those that wait behind a fault of one connection are taken all the same.
      return;
    }
  }
}

}  // namespace hingelink::net
