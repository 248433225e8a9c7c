// The listening socket of a node, opened here or handed over by another process. AcceptCallback sockets are
// passed to a callback, which owns them.
#ifndef HINGELINK_NET_LISTENER_H_
#define HINGELINK_NET_LISTENER_H_

#include <cstdint>
#include <functional>

#include "net/event.h"

namespace hingelink::net {

class Listener {
 public:
  using AcceptCallback = std::function<void(evutil_socket_t)>;

  // Listens at once, or from Resume() on if the socket was handed over. Throws std::runtime_error if it
  // cannot listen.
  Listener(event_base* base, const sockaddr_in& address, Descriptor handed_over, AcceptCallback on_accept);

  // Pauses accepting. Connections stay in the kernel's queue until Resume(), or for another process.
  void Pause();
  void Resume();
  // Accepts the connections in the kernel's queue and closes the socket. `before_close` is called between
  // both steps, for tests.
  void Stop(const std::function<void()>& before_close = {});
  // Closes the connections in the kernel's queue unread, and the socket. No other process may share the
  // socket.
  void CloseQueued();
  // Listens again on the same address after CloseQueued() or Release(), paused. Throws std::runtime_error if
  // it cannot listen. Does nothing if the socket is open.
  void Reopen();
  // Replaces the socket by one that another process handed over.
  void Replace(Descriptor handed_over);
  // Closes the socket of this process only. Another process that has it goes on accepting from its queue.
  void Release() { listener_.reset(); }

  evutil_socket_t fd() const { return listener_ ? evconnlistener_get_fd(listener_.get()) : -1; }
  // 0 after Stop() and Release().
  std::uint16_t port() const { return LocalPort(fd()); }

 private:
  static void OnAccepted(evconnlistener* listener, evutil_socket_t fd, sockaddr* peer, int size, void* self);
  void Open(const sockaddr_in& address);
  void Adopt(Descriptor handed_over);
  void SetErrorCallback();
  void Accept(evutil_socket_t fd);
  void AcceptQueued(const AcceptCallback& on_accept);

  event_base* base_;
  sockaddr_in address_;  // With the port that the system chose.
  AcceptCallback on_accept_;
  Timer retry_timer_;
  ListenerPtr listener_;
  bool paused_ = false;
  int accepts_this_turn_ = 0;
};

}  // namespace hingelink::net

#endif  // HINGELINK_NET_LISTENER_H_
