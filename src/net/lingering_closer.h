// Closes sockets gracefully: half-closes the socket, discards further input until the peer closes too, and
// closes it only then. Closing a socket with unread input would reset the connection, and the peer would lose
// answers that it has not read yet. Each socket lingers for at most kLingerTime and kLingerBytes of input.
// Lingering sockets hold descriptors: the owner counts them by size() and can free one by CloseOldest().
#ifndef HINGELINK_NET_LINGERING_CLOSER_H_
#define HINGELINK_NET_LINGERING_CLOSER_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>

#include "net/event.h"

namespace hingelink::net {

class LingeringCloser {
 public:
  static constexpr std::chrono::milliseconds kLingerTime{1000};
  static constexpr std::size_t kLingerBytes = 4 << 20;

  // `closed` is called with the id of a socket once its descriptor is free. It may be empty.
  using ClosedCallback = std::function<void(std::uint64_t id)>;
  LingeringCloser(event_base* base, ClosedCallback closed);

  void Add(std::uint64_t id, Descriptor socket);
  // Closes the socket that has lingered longest. Returns false if there is none.
  bool CloseOldest();
  std::size_t size() const { return sockets_.size(); }

 private:
  struct Socket {
    LingeringCloser* owner = nullptr;
    std::uint64_t id = 0;
    Descriptor descriptor;
    EventPtr readable;
    std::size_t discarded_bytes = 0;
    Steady::time_point deadline{};
    std::list<Socket>::iterator self{};
  };

  void DiscardInput(Socket& socket);
  void Close(std::list<Socket>::iterator socket);
  void CloseExpired();

  event_base* base_;
  ClosedCallback closed_;
  std::list<Socket> sockets_;  // In the order of their deadlines.
  Timer deadline_timer_;
};

}  // namespace hingelink::net

#endif  // HINGELINK_NET_LINGERING_CLOSER_H_
