#include "net/single_loop_front_end.h"

#include <utility>

#include "log/log.h"

namespace hingelink::net {
namespace {

using namespace std::chrono_literals;

// Interval of checks whether connections can be accepted again.
constexpr auto kRetryInterval = 20ms;

}  // namespace

SingleLoopFrontEnd::SingleLoopFrontEnd(event_base* base, const sockaddr_in& listen, Descriptor handed_over,
                                       std::size_t max_connections, core::FrontEndEvents events)
    : set_(base, {.request = std::move(events.request),
                  .disconnected = std::move(events.disconnected),
                  .deep_check = std::move(events.deep_check),
                  .class_counts = std::move(events.class_counts),
                  .closed = {},
                  .may_read_frame = {},
                  .before_read = {}}),
      max_connections_(max_connections),
      listener_(base, listen, std::move(handed_over), [this](evutil_socket_t fd) { Accept(fd); }),
      retry_timer_(base, [this] { RetryAccept(); }) {}

void SingleLoopFrontEnd::Accept(evutil_socket_t fd) {
  Descriptor accepted(fd);
  // The limit reserves descriptors for the pool link and the registry.
  if (set_.size() < max_connections_ || set_.EvictOne()) {
    set_.Add(++last_id_, accepted.release());
    if (shared_ && set_.size() >= max_connections_) PauseAtLimit();
  } else if (!stopping_) {
    pending_ = std::move(accepted);
    PauseAtLimit();
  } else {
    log::PeerEvent(
        "connection-end",
        {{"id", ++last_id_}, {"reason", ReasonCode(EndReason::kAtLimit)}, {"requests", 0}, {"open", 0}});
  }
}

void SingleLoopFrontEnd::PauseAtLimit() {
  listener_.Pause();
  paused_at_limit_ = true;
  retry_timer_.Start(kRetryInterval);
}

// Runs while no connection can be accepted, because all connections are in use or a predecessor process holds
// most descriptors. One new connection waits in pending_ and the others in the kernel's queue. Closing them
// instead would drop the requests that the clients have already sent.
void SingleLoopFrontEnd::RetryAccept() {
  if (!paused_at_limit_) return;
  const bool full = set_.size() >= max_connections_;
  paused_at_limit_ = full && (shared_ || pending_.get() >= 0) && !set_.EvictOne();
  if (paused_at_limit_) {
    retry_timer_.Start(kRetryInterval);
    return;
  }
  if (!paused_) listener_.Resume();
  if (pending_.get() >= 0) Accept(pending_.release());
}

void SingleLoopFrontEnd::StopListening() {
  // No further connection follows, so the pending one may use a reserved descriptor.
  if (pending_.get() >= 0) set_.Add(++last_id_, pending_.release());
  stopping_ = true;
  listener_.Stop();
}

void SingleLoopFrontEnd::SetMaxConnections(std::size_t max_connections, bool shared) {
  max_connections_ = max_connections;
  shared_ = shared;
  RetryAccept();
}

void SingleLoopFrontEnd::PauseListening() {
  paused_ = true;
  listener_.Pause();
}

void SingleLoopFrontEnd::ResumeListening() {
  paused_ = false;
  set_.CancelDrain();
  if (!paused_at_limit_) listener_.Resume();
}

}  // namespace hingelink::net
