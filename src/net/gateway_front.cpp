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
                           std::size_t most_connections, core::FrontEndEvents events)
    : set_(base, {.request = std::move(events.request),
                  .gone = std::move(events.disconnected),
                  .check = std::move(events.deep_check),
                  .counts = std::move(events.class_counts),
                  .ended = {},
                  .may_read = {},
                  .reading = {}}),
      most_connections_(most_connections),
      listener_(base, listen, std::move(handed_over), [this](evutil_socket_t fd) { Accept(fd); }),
      room_(base, [this] { AwaitRoom(); }) {}

void GatewayFront::Accept(evutil_socket_t fd) {
  Descriptor accepted(fd);
  // Guards the descriptors that the pool link and the registry need.
  if (set_.size() < most_connections_ || set_.MakeRoom()) {
    set_.Add(++last_id_, accepted.release());
    if (shared_ && set_.size() >= most_connections_) Rest();
  } else if (!stopping_) {
    pending_ = std::move(accepted);
    Rest();
  } else {
    log::PeerEvent(
        "connection-end",
        {{"id", ++last_id_}, {"reason", ReasonCode(EndReason::kAtLimit)}, {"requests", 0}, {"open", 0}});
  }
}

void GatewayFront::Rest() {
  listener_.Pause();
  awaiting_room_ = true;
  room_.After(kRoomLook);
}

// Guards clients that come while all connections have something open, or a predecessor still holds most
// descriptors: one waits here and the others in the kernel's queue, where they would be closed with what they
// have sent unread.
void GatewayFront::AwaitRoom() {
  if (!awaiting_room_) return;
  const bool full = set_.size() >= most_connections_;
  awaiting_room_ = full && (shared_ || pending_.get() >= 0) && !set_.MakeRoom();
  if (awaiting_room_) {
    room_.After(kRoomLook);
    return;
  }
  if (!paused_) listener_.Resume();
  if (pending_.get() >= 0) Accept(pending_.release());
}

void GatewayFront::StopListening() {
  // Nobody comes behind it any more: it takes a descriptor of the reserve.
  if (pending_.get() >= 0) set_.Add(++last_id_, pending_.release());
  stopping_ = true;
  listener_.Stop();
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
