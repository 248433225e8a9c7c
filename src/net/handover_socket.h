// The UNIX socket over which the processes of a node find each other, and the transfer of a listening socket.
// The process that serves the clients owns the path of the socket.
#ifndef HINGELINK_NET_HANDOVER_SOCKET_H_
#define HINGELINK_NET_HANDOVER_SOCKET_H_

#include <sys/types.h>

#include <string>

#include "net/event.h"

namespace hingelink::net {

// Whether a socket can be bound to this path.
bool IsValidSocketPath(const std::string& path);

// Connects to the process that owns the path. Returns an empty descriptor if no process accepts there, also
// if one that was killed has left the file behind. `timeout` applies to each operation on the socket.
Descriptor ConnectToOwner(const std::string& path, const timeval& timeout);
// The process that listened on the other end of a connected UNIX socket; 0 if unknown.
pid_t PeerProcess(evutil_socket_t connected);
// Listens on the path in place of its owner: from now on processes connect to this one. At any time the path
// leads to a process that accepts connections. Returns an empty descriptor on failure; errno tells why.
Descriptor TakeOverPath(const std::string& path);

// Sends the first line of the protocol together with the listening socket.
bool SendListener(evutil_socket_t to, evutil_socket_t listener);
// Returns an empty descriptor if the first line or the socket is missing; errno says why if the receive
// failed, and is 0 if the peer has closed.
Descriptor ReceiveListener(evutil_socket_t from);

// Holds the right to change the owner of a path, among all processes that use the path. Released when the
// object is destroyed, and by the system if the process ends.
class PathLock {
 public:
  // Waits until no other process holds the lock, at most for a bounded time. Without the lock file, or after
  // that time, the lock is not held, and the caller goes on without it.
  explicit PathLock(const std::string& path);

  // The process that SetOwner() named last; 0 if there is none.
  pid_t owner() const;
  void SetOwner(pid_t owner);

 private:
  Descriptor file_;
};

}  // namespace hingelink::net

#endif  // HINGELINK_NET_HANDOVER_SOCKET_H_
