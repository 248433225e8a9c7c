#include "net/gateway_front.h"

#include <utility>

#include "log/log.h"

namespace hingelink::net {
namespace {

using namespace std::chrono_literals;

// Between looks whether there is room again for what waits in the queue.
constexpr auto kRoomLook = 20ms;

}  // namespace

GatewayFront::GatewayFront(event_base* base, const sockaddr_in& listen, Descriptor handed_over,
                           std::size_t most_connections, core::FrontEvents events)
    : set_(base, {.request = std::move(events.request),
                  .gone = std::move(events.gone),
                  .check = std::move(events.check),
                  .counts = std::move(events.counts),
                  .ended = {},
                  .may_read = {},
                  .reading = {}}),
      most_connections_(most_connections),
      listener_(base, listen, std::move(handed_over), [this](evutil_socket_t fd) { Accept(fd); }),
      room_(base, [this] { AwaitRoom(); }) {}

void GatewayFront::Accept(evutil_socket_t fd) {
  const std::uint64_t id = ++last_id_;
  // Guards the descriptors that the pool link and the registry need.
  if (set_.size() >= most_connections_ && !set_.MakeRoom()) {
    evutil_closesocket(fd);
    log::PeerEvent("connection-end",
                   {{"id", id}, {"reason", ReasonCode(EndReason::kAtLimit)}, {"requests", 0}, {"open", 0}});
    return;
  }
  set_.Add(id, fd);
  if (shared_ && set_.size() >= most_connections_) {
    listener_.Pause();
    awaiting_room_ = true;
    room_.After(kRoomLook);
  }
}

// Guards clients that come while a predecessor still holds most descriptors: they wait in the queue for a
// moment, where they would be turned away at the limit.
void GatewayFront::AwaitRoom() {
  if (!awaiting_room_) return;
  awaiting_room_ = shared_ && set_.size() >= most_connections_ && !set_.MakeRoom();
  if (awaiting_room_) {
    room_.After(kRoomLook);
  } else if (!paused_) {
    listener_.Resume();
  }
}

void GatewayFront::SetMostConnections(std::size_t most, bool shared) {
  most_connections_ = most;
  shared_ = shared;
  AwaitRoom();
}

void GatewayFront::PauseListening() {
  paused_ = true;
  listener_.Pause();
}

void GatewayFront::ResumeListening() {
  paused_ = false;
  set_.TakeBack();
  if (!awaiting_room_) listener_.Resume();
}

}  // namespace hingelink::net
