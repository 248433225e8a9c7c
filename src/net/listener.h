// The listening socket of a node, its own or handed over. It knows nothing of what becomes of the
// connections.
#ifndef HINGELINK_NET_LISTENER_H_
#define HINGELINK_NET_LISTENER_H_

#include <cstdint>
#include <functional>

#include "net/event.h"

namespace hingelink::net {

class Listener {
 public:
  using Accepted = std::function<void(evutil_socket_t)>;

  // Listens at once; on a socket that was handed over, from Resume() on. Throws std::runtime_error where it
  // cannot.
  Listener(event_base* base, const sockaddr_in& address, Descriptor handed_over, Accepted accepted);

  // Accepts no more for the time being. What waits in the queue stays there, for another process or for
  // later.
  void Pause();
  void Resume();
  // Takes in what the kernel has accepted already, and then listens no more. `before_close` is called in
  // between; it is there for tests.
  void Stop(const std::function<void()>& before_close = {});

  evutil_socket_t fd() const { return listener_ ? evconnlistener_get_fd(listener_.get()) : -1; }
  std::uint16_t port() const { return LocalPort(fd()); }

 private:
  void Accept(evutil_socket_t fd);
  void TakeQueued();

  Accepted accepted_;
  Timer again_;
  ListenerPtr listener_;
  bool paused_ = false;
  int accepted_at_once_ = 0;
};

}  // namespace hingelink::net

#endif  // HINGELINK_NET_LISTENER_H_
