#include "net/single_loop_front_end.h"

#include <utility>

#include "log/log.h"

namespace hingelink::net {
namespace {

using namespace std::chrono_literals;

// Between looks whether there is room again for what waits in the queue.
constexpr auto kRoomLook = 20ms;

}  // namespace

SingleLoopFrontEnd::SingleLoopFrontEnd(event_base* base, const sockaddr_in& listen, Descriptor handed_over,
                                       std::size_t most_connections, core::FrontEndEvents events)
    : set_(base, {.request = std::move(events.request),
                  .disconnected = std::move(events.disconnected),
                  .deep_check = std::move(events.deep_check),
                  .class_counts = std::move(events.class_counts),
                  .closed = {},
                  .may_read_frame = {},
                  .before_read = {}}),
      most_connections_(most_connections),
      listener_(base, listen, std::move(handed_over), [this](evutil_socket_t fd) { Accept(fd); }),
      room_(base, [this] { AwaitRoom(); }) {}

void SingleLoopFrontEnd::Accept(evutil_socket_t fd) {
  Descriptor accepted(fd);
  // Guards the descriptors that the pool link and the registry need.
  if (set_.size() < most_connections_ || set_.EvictOne()) {
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

void SingleLoopFrontEnd::Rest() {
  listener_.Pause();
  awaiting_room_ = true;
  room_.Start(kRoomLook);
}

// Guards clients that come while all connections have something open, or a predecessor still holds most
// descriptors: one waits here and the others in the kernel's queue, where they would be closed with what they
// have sent unread.
void SingleLoopFrontEnd::AwaitRoom() {
  if (!awaiting_room_) return;
  const bool full = set_.size() >= most_connections_;
  awaiting_room_ = full && (shared_ || pending_.get() >= 0) && !set_.EvictOne();
  if (awaiting_room_) {
    room_.Start(kRoomLook);
    return;
  }
  if (!paused_) listener_.Resume();
  if (pending_.get() >= 0) Accept(pending_.release());
}

void SingleLoopFrontEnd::StopListening() {
  // Nobody comes behind it any more: it takes a descriptor of the reserve.
  if (pending_.get() >= 0) set_.Add(++last_id_, pending_.release());
  stopping_ = true;
  listener_.Stop();
}

void SingleLoopFrontEnd::SetMaxConnections(std::size_t most, bool shared) {
  most_connections_ = most;
  shared_ = shared;
  AwaitRoom();
}

void SingleLoopFrontEnd::PauseListening() {
  paused_ = true;
  listener_.Pause();
}

void SingleLoopFrontEnd::ResumeListening() {
  paused_ = false;
  set_.CancelDrain();
  if (!awaiting_room_) listener_.Resume();
}

}  // namespace hingelink::net
