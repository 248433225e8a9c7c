#include "net/gateway/connection.h"

#include <fcntl.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <stdexcept>
#include <utility>

#include "log/log.h"

namespace hingelink::net {
namespace {

constexpr std::size_t kMostOpen = 32;   // Requests on one connection.
constexpr std::size_t kMostChecks = 8;  // Deep checks that wait on one connection.
// Requests that could not be read, on one connection, after which it is ended.
constexpr int kMostMalformed = 64;
// Unread bytes held of one connection: always more than the longest frame that is kept.
constexpr std::size_t kReadAhead = 2 * proto::kMaxBufferedFrameBytes;
// Unsent bytes from which a connection is not read: its gateway must take answers before it asks for more.
constexpr std::size_t kUnsentPause = std::size_t{16} * 1024;
// Unsent bytes at which it is given up: above the pause and 32 of the longest answers. All connections that
// the descriptors allow, each just under it, still fit into the node's memory.
constexpr std::size_t kUnsentMost = std::size_t{160} * 1024;
// With no byte of a frame that has begun, or that is awaited from the accept on: a bad client is owed its end
// within 3 s. On a connection that has sent whole frames; and for a whole frame, however steadily it comes.
constexpr int kQuietLooks = 9, kQuietLooksUsed = 20, kFrameLooks = 40;
// In its first frame, after which a connection makes room at the limit.
constexpr int kRoomLooks = 4;
constexpr int kFaultLooks = 4;    // From a framing fault, for the peer to take the error and close.
constexpr int kStalledLooks = 8;  // With unsent bytes of which the peer takes none.
// Bytes read and let go behind a framing fault, so that closing does not destroy the error on its way.
constexpr std::size_t kLetGo = 4 << 20;

}  // namespace

const char* ReasonCode(EndReason reason) {
  switch (reason) {
    case EndReason::kPeerClosed:
      return "peer-closed";
    case EndReason::kReset:
      return "reset";
    case EndReason::kFraming:
      return "framing";
    case EndReason::kSilent:
      return "silent";
    case EndReason::kUnfinished:
      return "unfinished";
    case EndReason::kSlowReader:
      return "slow-reader";
    case EndReason::kIdle:
      return "idle";
    case EndReason::kEvicted:
      return "made-room";
    case EndReason::kAtLimit:
      return "at-limit";
    case EndReason::kDrained:
      return "drained";
    case EndReason::kHandedOver:
      return "handed-over";
    case EndReason::kShutdown:
      return "shutdown";
  }
  return "unknown";
}

ConnectionSet::Connection::Connection(ConnectionSet& set, std::uint64_t id, evutil_socket_t fd,
                                      Steady::time_point accepted)
    : set_(set),
      id_(id),
      bev_(bufferevent_socket_new(set.base_, fd, BEV_OPT_CLOSE_ON_FREE)),
      last_used_(accepted) {
  if (!bev_) {
    evutil_closesocket(fd);
    throw std::runtime_error("libevent: no bufferevent");
  }
  SetNoDelay(fd);
  bufferevent_setwatermark(bev_.get(), EV_READ, 0, kReadAhead);
  Attach();
}

void ConnectionSet::Connection::Attach() {
  bufferevent_setcb(
      bev_.get(), [](bufferevent*, void* self) { static_cast<Connection*>(self)->Read(); },
      [](bufferevent*, void* self) { static_cast<Connection*>(self)->Written(); },
      [](bufferevent*, short what, void* self) { static_cast<Connection*>(self)->Event(what); }, this);
  bufferevent_enable(bev_.get(), EV_READ | EV_WRITE);
}

void ConnectionSet::Connection::Deliver(std::uint32_t stream, const core::FinalAnswer& answer) {
  const auto open = open_.extract(stream);
  if (open.empty()) return;
  if (answer.verdict == core::Verdict::kServed) use_ = Use::kServed;
  Answer(stream, open.mapped().get(), answer);
}

void ConnectionSet::Connection::AnswerHealthCheck(std::uint32_t stream, bool good) {
  if (checks_.erase(stream) != 0) Write(proto::EncodeHealthResponse(stream, good, set_.signal_));
}

void ConnectionSet::Connection::StopNewRequests() {
  if (!std::exchange(asked_for_no_more_, true) && !ending_) Write(proto::EncodeStopNewRequests());
}

ConnectionSet::Snapshot ConnectionSet::Connection::AsSeen() const {
  return {.id = id_,
          .requests = requests_,
          .open_requests = open_.size(),
          .unsent_bytes = UnsentBytes(bev_.get()),
          .idle_time = Steady::now() - last_used_};
}

void ConnectionSet::Connection::ResumeReading() {
  if (!std::exchange(held_back_, false)) return;
  Read();
}

std::optional<ConnectionSet::TransferState> ConnectionSet::Connection::Release() {
  evbuffer* in = bufferevent_get_input(bev_.get());
  if (ending_ || given_up_ || held_back_ || skip_ > 0 || !checks_.empty() || evbuffer_get_length(in) > 0)
    return std::nullopt;
  bufferevent_setcb(bev_.get(), nullptr, nullptr, nullptr, nullptr);
  bufferevent_disable(bev_.get(), EV_READ | EV_WRITE);
  ConnectionSet::TransferState moving;
  moving.id = id_;
  // A descriptor of its own: this one closes with its bufferevent, in a later round of the loop.
  const int copy = fcntl(bufferevent_getfd(bev_.get()), F_DUPFD_CLOEXEC, 0);
  if (copy < 0) {
    Attach();
    return std::nullopt;
  }
  moving.socket = Descriptor(copy);
  evutil_closesocket(bufferevent_getfd(bev_.get()));
  bufferevent_setfd(bev_.get(), -1);
  evbuffer* out = bufferevent_get_output(bev_.get());
  moving.unsent_output.resize(evbuffer_get_length(out));
  evbuffer_copyout(out, moving.unsent_output.data(), moving.unsent_output.size());
  for (auto& [stream, counts] : open_) {
    moving.open_requests.push_back({stream, counts ? counts->name : std::string(), nullptr});
  }
  open_.clear();
  moving.request_count = requests_;
  moving.malformed_count = malformed_;
  moving.has_served = use_ == Use::kServed;
  moving.stop_sent = asked_for_no_more_;
  return moving;
}

void ConnectionSet::Connection::TakeOver(ConnectionSet::TransferState moving) {
  for (auto& open : moving.open_requests) open_.emplace(open.stream, std::move(open.counts));
  requests_ = moving.request_count;
  malformed_ = moving.malformed_count;
  use_ = moving.has_served ? Use::kServed : moving.request_count > 0 ? Use::kFrames : Use::kNone;
  asked_for_no_more_ = moving.stop_sent;
  if (!moving.unsent_output.empty()) Write(moving.unsent_output);
}

decide::ConnectionValue ConnectionSet::Connection::usefulness() const {
  return {static_cast<int>(use_), std::chrono::nanoseconds(last_used_.time_since_epoch())};
}

bool ConnectionSet::Connection::idle() const {
  return open_.empty() && checks_.empty() && UnsentBytes(bev_.get()) == 0;
}

bool ConnectionSet::Connection::BetweenFrames() const {
  return idle() && skip_ == 0 && evbuffer_get_length(bufferevent_get_input(bev_.get())) == 0;
}

bool ConnectionSet::Connection::Resting() const {
  if (known_unread_ || !BetweenFrames()) return false;
  int unread = 0;
  if (ioctl(bufferevent_getfd(bev_.get()), FIONREAD, &unread) != 0) return false;
  // Guards the core against a flood: of each connection it is asked at most once between two reads.
  known_unread_ = unread > 0;
  return !known_unread_;
}

bool ConnectionSet::Connection::StuckInFirstFrame() const {
  return use_ == Use::kNone && frame_looks_ >= kRoomLooks && idle();
}

bool ConnectionSet::Connection::MayBeSpare() const {
  return StuckInFirstFrame() || (!known_unread_ && BetweenFrames());
}

bool ConnectionSet::Connection::Spare() const { return StuckInFirstFrame() || Resting(); }

std::optional<EndReason> ConnectionSet::Connection::Look() {
  if (ending_) return ++fault_looks_ > kFaultLooks ? std::optional(EndReason::kFraming) : std::nullopt;
  const std::size_t unsent = UnsentBytes(bev_.get());
  const std::uint64_t taken = written_ - unsent;
  stalled_looks_ = unsent == 0 || taken != std::exchange(taken_, taken) ? 0 : stalled_looks_ + 1;
  if (stalled_looks_ > kStalledLooks) return EndReason::kSlowReader;
  const bool in_frame = skip_ > 0 || evbuffer_get_length(bufferevent_get_input(bev_.get())) > 0;
  if (reading_paused_ || held_back_ || (use_ != Use::kNone && !in_frame)) return std::nullopt;
  // Bytes that come count for more than time. Guards good clients on a slow line, or that pause.
  const bool quiet = ++quiet_looks_ > (use_ == Use::kNone ? kQuietLooks : kQuietLooksUsed);
  if (++frame_looks_ <= kFrameLooks && !quiet) return std::nullopt;
  return in_frame ? EndReason::kUnfinished : EndReason::kSilent;
}

Descriptor ConnectionSet::Connection::Detach(EndReason reason) {
  bufferevent_setcb(bev_.get(), nullptr, nullptr, nullptr, nullptr);
  bufferevent_disable(bev_.get(), EV_READ | EV_WRITE);
  // Taken out here, not closed when the object is freed: guards the descriptors while many come and go in one
  // round.
  Descriptor socket(bufferevent_getfd(bev_.get()));
  bufferevent_setfd(bev_.get(), -1);
  if (fault_ != nullptr) {
    log::PeerEvent("connection-end", {{"id", id_},
                                      {"reason", ReasonCode(reason)},
                                      {"requests", requests_},
                                      {"open", open_.size()},
                                      {"what", fault_}});
  } else {
    log::PeerEvent(
        "connection-end",
        {{"id", id_}, {"reason", ReasonCode(reason)}, {"requests", requests_}, {"open", open_.size()}});
  }
  for (const auto& [stream, counts] : open_) set_.events_.disconnected({id_, stream});
  for (const std::uint32_t stream : checks_) set_.events_.disconnected({id_, stream});
  open_.clear();
  checks_.clear();
  return socket;
}

void ConnectionSet::Connection::Read() {
  known_unread_ = false;
  if (ending_) {
    LetGo();
    return;
  }
  last_used_ = Steady::now();
  quiet_looks_ = 0;
  if (held_back_) return;  // ResumeReading() reads.
  if (set_.events_.before_read) set_.events_.before_read(id_);
  const std::string_view all = ReceivedBytes(bev_.get());
  std::size_t done = 0;
  while (!ending_ && !reading_paused_ && !given_up_) {
    const std::size_t skipped = std::min(skip_, all.size() - done);
    skip_ -= skipped;
    done += skipped;
    const auto head = proto::ParseFrameHeader(all.substr(done));
    if (!head) break;
    if (set_.events_.may_read_frame && !set_.events_.may_read_frame()) {
      held_back_ = true;
      set_.held_back_.push_back(id_);
      break;
    }
    if (!head->LengthInRange()) {
      Fault("length");
      break;
    }
    // Guards against connections that each make the node hold a frame of the longest legal length: what
    // no well-formed frame needs is let go as it comes.
    if (head->Size() > proto::kMaxBufferedFrameBytes) {
      done += proto::kFrameHeaderBytes;
      frame_looks_ = 0;
      skip_ = head->Size() - proto::kFrameHeaderBytes;
      Take(*head, {}, true);
      continue;
    }
    if (all.size() - done < head->Size()) break;
    const std::size_t payload = head->Size() - proto::kFrameHeaderBytes;
    Take(*head, all.substr(done + proto::kFrameHeaderBytes, payload), false);
    done += head->Size();
    frame_looks_ = 0;
    use_ = std::max(use_, Use::kFrames);
  }
  Consume(bev_.get(), ending_ ? all.size() : done);
  if (given_up_) set_.End(id_, EndReason::kSlowReader);
}

void ConnectionSet::Connection::Take(const proto::FrameHeader& head, std::string_view payload,
                                     bool too_long) {
  ++work_;
  switch (static_cast<proto::FrameType>(head.type)) {
    case proto::FrameType::kRequest:
      TakeRequest(head.stream, payload, too_long);
      return;
    case proto::FrameType::kCallerDisconnected:
      if (open_.erase(head.stream) + checks_.erase(head.stream) != 0)
        set_.events_.disconnected({id_, head.stream});
      return;
    case proto::FrameType::kHealthCheck:
      TakeCheck(head.stream, payload);
      return;
    default:
      Fault("type");
  }
}

void ConnectionSet::Connection::TakeCheck(std::uint32_t stream, std::string_view payload) {
  // Guards against checks without end that nobody reads the answers of, and a stream that waits already.
  const bool waits = set_.deep_ && set_.healthy_ && set_.events_.deep_check &&
                     proto::IsDeepHealthCheck(payload) && checks_.size() < kMostChecks &&
                     checks_.insert(stream).second;
  if (waits) {
    set_.events_.deep_check({id_, stream});
  } else {
    Write(proto::EncodeHealthResponse(stream, set_.healthy_, set_.signal_));
  }
}

void ConnectionSet::Connection::TakeRequest(std::uint32_t stream, std::string_view payload, bool too_long) {
  // The answer to a request on such a stream could not be told from another's.
  if (stream == 0 || open_.count(stream) != 0) {
    Fault("stream");
    return;
  }
  ++requests_;
  proto::RequestFrame frame;
  const char* fault = too_long ? "too long" : proto::ParseRequest(payload, frame);
  const core::ClassCountsPtr counts = set_.events_.class_counts(frame.class_name);
  if (fault != nullptr) {
    // It never ran, and no other node would read it otherwise.
    Answer(stream, counts.get(), core::Rejected(true));
    // Guards against a peer that sends such requests without end, and takes the core with them.
    if (++malformed_ >= kMostMalformed) Fault("malformed");
    return;
  }
  if (open_.size() >= kMostOpen) {
    Answer(stream, counts.get(), core::Rejected());
    return;
  }
  open_.emplace(stream, counts);
  set_.events_.request({.reply_to = {id_, stream},
                        .class_name = frame.class_name,
                        .request_id = frame.request_id,
                        .arrived_at = frame.sent_at,
                        .remaining_wait = frame.remaining_wait,
                        .expected_work = frame.expected_work,
                        .reserved_kb = frame.reserved_kb,
                        .rank = frame.rank,
                        .subject = frame.subject,
                        .idempotency_key = frame.idempotency_key,
                        .tenant = frame.tenant,
                        .is_retry = frame.is_retry,
                        .caller = frame.caller,
                        .body = frame.body});
}

void ConnectionSet::Connection::Answer(std::uint32_t stream, core::ClassCounts* counts,
                                       const core::FinalAnswer& answer) {
  ++work_;
  if (counts != nullptr) counts->Count(answer.verdict);
  proto::AnswerCode code = proto::AnswerCode::kFailed;
  if (answer.verdict == core::Verdict::kServed) code = proto::AnswerCode::kServed;
  if (answer.verdict == core::Verdict::kRejected) code = proto::AnswerCode::kRejected;
  const proto::AnswerFields fields{set_.signal_, answer.retry_after, answer.no_other_server};
  Write(proto::EncodeAnswerHeader(stream, code, fields, answer.result.size()));
  if (!answer.result.empty()) Write(answer.result);
}

void ConnectionSet::Connection::Write(std::string_view bytes) {
  last_used_ = Steady::now();
  Send(bev_.get(), bytes);
  written_ += bytes.size();
  const std::size_t unsent = UnsentBytes(bev_.get());
  // Guards against a gateway that asks and never reads: first it is not read, then it is let go.
  if (unsent > kUnsentMost) given_up_ = true;
  if (unsent > kUnsentPause && !reading_paused_) {
    reading_paused_ = true;
    bufferevent_disable(bev_.get(), EV_READ);
  }
}

void ConnectionSet::Connection::Written() {
  if (ending_) {
    set_.End(id_, EndReason::kFraming);
    return;
  }
  if (!reading_paused_) return;
  reading_paused_ = false;
  bufferevent_enable(bev_.get(), EV_READ);
  Read();
}

void ConnectionSet::Connection::Fault(const char* what) {
  fault_ = what;
  ending_ = true;
  use_ = Use::kNone;
  for (const auto& [stream, counts] : std::exchange(open_, {})) {
    Answer(stream, counts.get(), core::Failed());
    set_.events_.disconnected({id_, stream});
  }
  Write(proto::EncodeAnswerHeader(0, proto::AnswerCode::kFailed, {}, 0));
  bufferevent_enable(bev_.get(), EV_READ);
}

void ConnectionSet::Connection::LetGo() {
  const std::size_t size = evbuffer_get_length(bufferevent_get_input(bev_.get()));
  Consume(bev_.get(), size);
  let_go_ += size;
  if (let_go_ > kLetGo) set_.End(id_, EndReason::kFraming);
}

void ConnectionSet::Connection::Event(short what) {
  if (ending_) {
    set_.End(id_, EndReason::kFraming);
  } else if ((what & BEV_EVENT_EOF) != 0) {
    set_.End(id_, EndReason::kPeerClosed);
  } else if ((what & BEV_EVENT_ERROR) != 0) {
    set_.End(id_, EndReason::kReset);
  }
}

}  // namespace hingelink::net
