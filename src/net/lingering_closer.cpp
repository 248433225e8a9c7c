#include "net/lingering_closer.h"

#include <sys/socket.h>

#include <array>
#include <cerrno>
#include <utility>

namespace hingelink::net {
namespace {

// Maximum read in one callback, so that a peer that floods does not starve the other sockets.
constexpr std::size_t kMaxReadBytes = std::size_t{16} * 1024;

}  // namespace

LingeringCloser::LingeringCloser(event_base* base, ClosedCallback closed)
    : base_(base), closed_(std::move(closed)), deadline_timer_(base, [this] { CloseExpired(); }) {}

void LingeringCloser::Add(std::uint64_t id, Descriptor descriptor) {
  const bool half_closed = shutdown(descriptor.get(), SHUT_WR) == 0;
  Socket& socket = sockets_.emplace_back();
  socket.owner = this;
  socket.id = id;
  socket.descriptor = std::move(descriptor);
  socket.deadline = Steady::now() + kLingerTime;
  socket.self = std::prev(sockets_.end());
  if (half_closed) {
    socket.readable.reset(event_new(
        base_, socket.descriptor.get(), EV_READ | EV_PERSIST,
        [](evutil_socket_t, short, void* self) {
          auto& readable = *static_cast<Socket*>(self);
          readable.owner->DiscardInput(readable);
        },
        &socket));
  }
  // The peer has reset the connection, or libevent could not allocate or add the event.
  if (!socket.readable || event_add(socket.readable.get(), nullptr) != 0) return Close(socket.self);
  if (sockets_.size() == 1) deadline_timer_.Start(kLingerTime);
}

bool LingeringCloser::CloseOldest() {
  if (sockets_.empty()) return false;
  Close(sockets_.begin());
  return true;
}

void LingeringCloser::DiscardInput(Socket& socket) {
  std::array<char, kMaxReadBytes> discarded;
  const ssize_t got = recv(socket.descriptor.get(), discarded.data(), discarded.size(), MSG_DONTWAIT);
  if (got < 0 && (errno == EAGAIN || errno == EINTR)) return;
  if (got > 0) {
    socket.discarded_bytes += static_cast<std::size_t>(got);
    if (socket.discarded_bytes <= kLingerBytes) return;
  }
  Close(socket.self);
}

void LingeringCloser::Close(std::list<Socket>::iterator socket) {
  const std::uint64_t id = socket->id;
  sockets_.erase(socket);
  if (closed_) closed_(id);
}

void LingeringCloser::CloseExpired() {
  const Steady::time_point now = Steady::now();
  while (!sockets_.empty() && sockets_.front().deadline <= now) Close(sockets_.begin());
  if (!sockets_.empty()) deadline_timer_.Start(sockets_.front().deadline - now);
}

}  // namespace hingelink::net
