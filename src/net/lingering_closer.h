// Ends connections in good order: half-closes the socket, reads and drops what still arrives until the peer
// closes too, and closes only then. A close over unread bytes would reset the connection, and answers that
// the peer has not read yet would be lost with it.
//
// Bounds: each socket lingers for at most kLingerTime and kLingerBytes. All of them hold descriptors, which
// the owner counts by size() and may take back by CloseOldest().
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
  using Closed = std::function<void(std::uint64_t id)>;
  LingeringCloser(event_base* base, Closed closed);

  void Add(std::uint64_t id, Descriptor socket);
  // Closes the socket that has lingered longest. False where there is none.
  bool CloseOldest();
  std::size_t size() const { return sockets_.size(); }

 private:
  struct Socket {
    LingeringCloser* owner = nullptr;
    std::uint64_t id = 0;
    Descriptor descriptor;
    EventPtr readable;
    std::size_t dropped_bytes = 0;
    Steady::time_point until{};
    std::list<Socket>::iterator self{};
  };

  void Drop(Socket& socket);
  void Close(std::list<Socket>::iterator socket);
  void CloseOverdue();

  event_base* base_;
  Closed closed_;
  std::list<Socket> sockets_;  // In the order of their ends.
  Timer overdue_;
};

}  // namespace hingelink::net

#endif  // HINGELINK_NET_LINGERING_CLOSER_H_
