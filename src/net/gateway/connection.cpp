#include "net/gateway/connection.h"

#include <fcntl.h>
#include <linux/sockios.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <stdexcept>
#include <utility>

#include "log/log.h"

namespace hingelink::net {
namespace {

constexpr std::size_t kMaxOpenRequests = 32;  // Unanswered requests on one connection.
// Frames of one connection that are read before other connections and the timers have a turn.
constexpr int kMaxFramesPerTurn = 32;
constexpr std::size_t kMaxPendingHealthChecks = 8;  // Unanswered deep health checks on one connection.
// A connection is closed after this many requests that could not be parsed.
constexpr int kMaxMalformedRequests = 64;
// Size limit of the input buffer of one connection. It must exceed the longest frame that is buffered.
constexpr std::size_t kInputBufferBytes = 2 * proto::kMaxBufferedFrameBytes;
// Reading pauses above this many unsent bytes: the gateway must read answers before it sends more requests.
constexpr std::size_t kOutputPauseBytes = std::size_t{16} * 1024;
// A connection is closed above this many unsent bytes. The limit exceeds kOutputPauseBytes plus 32 answers of
// maximum length. All connections together are limited by ConnectionSet::SetBufferLimit().
constexpr std::size_t kMaxOutputBytes = std::size_t{160} * 1024;
// The limits below are numbers of timeout checks, see kTimeoutCheckInterval in connection_set.cpp.
//
// kFirstFrameSilenceChecks: checks without a received byte before the first complete frame. They are counted
// from the accept, because a faulty client must be disconnected within 3 s.
// kLaterFrameSilenceChecks: checks without a received byte within a later frame.
// kFrameChecks: checks from the first to the last byte of any frame, even if bytes keep arriving.
constexpr int kFirstFrameSilenceChecks = 9, kLaterFrameSilenceChecks = 20, kFrameChecks = 40;
// Checks after which a connection that has not completed its first frame may be evicted at the connection
// limit.
constexpr int kEvictableFirstFrameChecks = 4;
// Checks within which the peer must read the error and close after a framing error.
constexpr int kFramingErrorChecks = 4;
constexpr int kStalledOutputChecks = 8;  // Checks with unsent bytes during which the peer accepted none.
// Output that is unsent for longer than this has been offered to the kernel, even by a busy event loop.
constexpr std::chrono::milliseconds kMinUnsentTime{50};
// Limit of bytes that are read and discarded after a framing error. Closing the socket with unread input
// would reset the connection, and the peer could lose the error frame.
constexpr std::size_t kMaxDiscardedBytes = 4 << 20;

// Bytes that the kernel has taken and the peer has not acknowledged.
std::size_t UnacknowledgedBytes(evutil_socket_t fd) {
  int bytes = 0;
  return ioctl(fd, SIOCOUTQ, &bytes) == 0 ? static_cast<std::size_t>(bytes) : 0;
}

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
      return "evicted";
    case EndReason::kAtLimit:
      return "at-limit";
    case EndReason::kMemoryLimit:
      return "memory-limit";
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
    throw std::runtime_error("libevent could not create a bufferevent");
  }
  SetNoDelay(fd);
  bufferevent_setwatermark(bev_.get(), EV_READ, 0, kInputBufferBytes);
  for (evbuffer* buffer : {bufferevent_get_input(bev_.get()), bufferevent_get_output(bev_.get())}) {
    if (evbuffer_add_cb(buffer, OnBufferChanged, this) == nullptr)
      throw std::runtime_error("libevent could not observe a buffer");
  }
  Attach();
}

void ConnectionSet::Connection::Attach() {
  bufferevent_setcb(
      bev_.get(),
      [](bufferevent*, void* self) {
        auto& connection = *static_cast<Connection*>(self);
        connection.ReadFrames();
        // May end this connection, which exists until ConnectionSet::Sweep().
        connection.set_.EnforceBufferLimit();
      },
      [](bufferevent*, void* self) { static_cast<Connection*>(self)->OnOutputSent(); },
      [](bufferevent*, short what, void* self) { static_cast<Connection*>(self)->OnEvent(what); }, this);
  bufferevent_enable(bev_.get(), EV_READ | EV_WRITE);
}

void ConnectionSet::Connection::Deliver(std::uint32_t stream, const core::FinalAnswer& answer) {
  const auto open = open_.extract(stream);
  if (open.empty()) return;
  if (answer.verdict == core::Verdict::kServed) usage_ = Usage::kServed;
  Answer(stream, open.mapped().get(), answer);
}

void ConnectionSet::Connection::AnswerHealthCheck(std::uint32_t stream, bool good) {
  if (health_checks_.erase(stream) != 0) Write(proto::EncodeHealthResponse(stream, good, set_.load_signal_));
}

void ConnectionSet::Connection::StopNewRequests() {
  if (!std::exchange(stop_sent_, true) && !closing_) Write(proto::EncodeStopNewRequests());
}

ConnectionSet::Snapshot ConnectionSet::Connection::TakeSnapshot() const {
  return {.id = id_,
          .requests = request_count_,
          .open_requests = open_.size(),
          .unsent_bytes = UnsentBytes(bev_.get()),
          .idle_time = Steady::now() - last_used_};
}

void ConnectionSet::Connection::ReadInTurn() {
  waits_for_turn_ = false;
  ReadFrames();
}

void ConnectionSet::Connection::ResumeReading() {
  if (!std::exchange(read_deferred_, false)) return;
  ReadFrames();
}

std::optional<ConnectionSet::TransferState> ConnectionSet::Connection::Release() {
  evbuffer* in = bufferevent_get_input(bev_.get());
  if (closing_ || output_overflowed_ || read_deferred_ || bytes_to_skip_ > 0 || !health_checks_.empty() ||
      evbuffer_get_length(in) > 0)
    return std::nullopt;
  bufferevent_setcb(bev_.get(), nullptr, nullptr, nullptr, nullptr);
  bufferevent_disable(bev_.get(), EV_READ | EV_WRITE);
  ConnectionSet::TransferState state;
  state.id = id_;
  // Duplicates the descriptor because the bufferevent closes the original in a later loop iteration.
  const int copy = fcntl(bufferevent_getfd(bev_.get()), F_DUPFD_CLOEXEC, 0);
  if (copy < 0) {
    Attach();
    return std::nullopt;
  }
  state.socket = Descriptor(copy);
  evutil_closesocket(bufferevent_getfd(bev_.get()));
  bufferevent_setfd(bev_.get(), -1);
  StopCountingBytes();
  evbuffer* out = bufferevent_get_output(bev_.get());
  state.unsent_output.resize(evbuffer_get_length(out));
  evbuffer_copyout(out, state.unsent_output.data(), state.unsent_output.size());
  for (auto& [stream, counts] : open_) {
    state.open_requests.push_back({stream, counts ? counts->name : std::string(), nullptr});
  }
  open_.clear();
  state.answers_due = answers_due_;
  state.request_count = request_count_;
  state.malformed_count = malformed_count_;
  state.has_served = usage_ == Usage::kServed;
  state.stop_sent = stop_sent_;
  return state;
}

void ConnectionSet::Connection::RestoreState(ConnectionSet::TransferState state) {
  for (auto& open : state.open_requests) open_.emplace(open.stream, std::move(open.counts));
  answers_due_ = state.answers_due;
  request_count_ = state.request_count;
  malformed_count_ = state.malformed_count;
  usage_ = state.has_served ? Usage::kServed : state.request_count > 0 ? Usage::kFrames : Usage::kNone;
  stop_sent_ = state.stop_sent;
  if (!state.unsent_output.empty()) Write(state.unsent_output);
}

decide::ConnectionValue ConnectionSet::Connection::eviction_value() const {
  return {static_cast<int>(usage_), std::chrono::nanoseconds(last_used_.time_since_epoch())};
}

bool ConnectionSet::Connection::idle() const {
  return open_.empty() && health_checks_.empty() && UnsentBytes(bev_.get()) == 0;
}

bool ConnectionSet::Connection::BetweenFrames() const {
  return idle() && bytes_to_skip_ == 0 && evbuffer_get_length(bufferevent_get_input(bev_.get())) == 0;
}

bool ConnectionSet::Connection::CanCloseWithoutLoss() const {
  if (has_unread_bytes_ || !BetweenFrames()) return false;
  int unread = 0;
  if (ioctl(bufferevent_getfd(bev_.get()), FIONREAD, &unread) != 0) return false;
  // That the connection has unread bytes is remembered until the next read. Otherwise, while many connections
  // are open, each search for connections to close could make one system call per connection.
  has_unread_bytes_ = unread > 0;
  return !has_unread_bytes_;
}

bool ConnectionSet::Connection::StuckInFirstFrame() const {
  return usage_ == Usage::kNone && frame_checks_ >= kEvictableFirstFrameChecks && idle();
}

bool ConnectionSet::Connection::MayBeEvictable() const {
  return StuckInFirstFrame() || (!has_unread_bytes_ && BetweenFrames());
}

bool ConnectionSet::Connection::IsEvictable() const { return StuckInFirstFrame() || CanCloseWithoutLoss(); }

bool ConnectionSet::Connection::OwesAnswers() const {
  if (Steady::now() >= answers_due_) return false;
  return !open_.empty() || UnsentBytes(bev_.get()) > 0 ||
         UnacknowledgedBytes(bufferevent_getfd(bev_.get())) > 0;
}

bool ConnectionSet::Connection::IsOutputStalled() {
  const std::size_t unsent = UnsentBytes(bev_.get());
  const std::uint64_t taken = output_bytes_ - unsent;
  stalled_output_checks_ =
      unsent == 0 || taken != std::exchange(last_sent_bytes_, taken) ? 0 : stalled_output_checks_ + 1;
  return stalled_output_checks_ > kStalledOutputChecks;
}

std::optional<EndReason> ConnectionSet::Connection::CheckTimeouts() {
  if (closing_) {
    const bool overdue = ++framing_error_checks_ > kFramingErrorChecks;
    return overdue && !OwesAnswers() ? std::optional(EndReason::kFraming) : std::nullopt;
  }
  if (IsOutputStalled()) {
    if (!OwesAnswers()) return EndReason::kSlowReader;
    PauseReading();
  }
  const bool in_frame = bytes_to_skip_ > 0 || evbuffer_get_length(bufferevent_get_input(bev_.get())) > 0;
  if (reading_paused_ || read_deferred_ || (usage_ != Usage::kNone && !in_frame)) return std::nullopt;
  // Received bytes reset the silence limit, so that clients on a slow line, or that pause, are not closed.
  const bool quiet =
      ++silence_checks_ > (usage_ == Usage::kNone ? kFirstFrameSilenceChecks : kLaterFrameSilenceChecks);
  if ((++frame_checks_ <= kFrameChecks && !quiet) || OwesAnswers()) return std::nullopt;
  return in_frame ? EndReason::kUnfinished : EndReason::kSilent;
}

std::size_t ConnectionSet::Connection::held_bytes() const {
  const std::size_t unsent = UnsentBytes(bev_.get());
  const bool was_offered = Steady::now() - unsent_since_ > kMinUnsentTime;
  return was_offered ? buffered_bytes_ : buffered_bytes_ - unsent;
}

void ConnectionSet::Connection::OnBufferChanged(evbuffer* buffer, const evbuffer_cb_info* info, void* self) {
  auto& connection = *static_cast<Connection*>(self);
  const bool begins_unsent =
      info->orig_size == 0 && info->n_added > 0 && buffer == bufferevent_get_output(connection.bev_.get());
  if (begins_unsent) connection.unsent_since_ = Steady::now();
  connection.buffered_bytes_ += info->n_added - info->n_deleted;
  connection.set_.buffered_bytes_ += info->n_added - info->n_deleted;
}

void ConnectionSet::Connection::StopCountingBytes() {
  for (evbuffer* buffer : {bufferevent_get_input(bev_.get()), bufferevent_get_output(bev_.get())})
    evbuffer_remove_cb(buffer, OnBufferChanged, this);
  set_.buffered_bytes_ -= std::exchange(buffered_bytes_, 0);
}

Descriptor ConnectionSet::Connection::ReleaseSocket(EndReason reason) {
  StopCountingBytes();
  bufferevent_setcb(bev_.get(), nullptr, nullptr, nullptr, nullptr);
  bufferevent_disable(bev_.get(), EV_READ | EV_WRITE);
  // The descriptor is released here and not when the object is freed: otherwise descriptors could run out
  // when many connections open and close in one loop iteration.
  Descriptor socket(bufferevent_getfd(bev_.get()));
  bufferevent_setfd(bev_.get(), -1);
  if (framing_error_ != nullptr) {
    log::PeerEvent("connection-end", {{"id", id_},
                                      {"reason", ReasonCode(reason)},
                                      {"requests", request_count_},
                                      {"open", open_.size()},
                                      {"what", framing_error_}});
  } else {
    log::PeerEvent(
        "connection-end",
        {{"id", id_}, {"reason", ReasonCode(reason)}, {"requests", request_count_}, {"open", open_.size()}});
  }
  for (const auto& [stream, counts] : open_) set_.events_.disconnected({id_, stream});
  for (const std::uint32_t stream : health_checks_) set_.events_.disconnected({id_, stream});
  open_.clear();
  health_checks_.clear();
  return socket;
}

void ConnectionSet::Connection::ReadFrames() {
  has_unread_bytes_ = false;
  if (closing_) {
    DiscardInput();
    return;
  }
  last_used_ = Steady::now();
  silence_checks_ = 0;
  if (read_deferred_) return;  // ResumeReading() reads the input later.
  if (set_.events_.before_read) set_.events_.before_read(id_);
  const std::string_view all = ReceivedBytes(bev_.get());
  std::size_t done = 0;
  int frames = 0;
  while (!closing_ && !reading_paused_ && !output_overflowed_) {
    const std::size_t skipped = std::min(bytes_to_skip_, all.size() - done);
    bytes_to_skip_ -= skipped;
    done += skipped;
    const auto head = proto::ParseFrameHeader(all.substr(done));
    if (!head) break;
    if (set_.events_.may_read_frame && !set_.events_.may_read_frame()) {
      read_deferred_ = true;
      set_.deferred_reads_.push_back(id_);
      break;
    }
    if (++frames > kMaxFramesPerTurn) {
      if (!std::exchange(waits_for_turn_, true)) set_.ReadInNextTurn(id_);
      break;
    }
    if (!head->LengthInRange()) {
      FailFraming("length");
      break;
    }
    // Frames longer than any well-formed frame are discarded as they arrive. Otherwise each connection could
    // make the node buffer a frame of the maximum legal length.
    if (head->Size() > proto::kMaxBufferedFrameBytes) {
      done += proto::kFrameHeaderBytes;
      frame_checks_ = 0;
      bytes_to_skip_ = head->Size() - proto::kFrameHeaderBytes;
      HandleFrame(*head, {}, true);
      continue;
    }
    if (all.size() - done < head->Size()) break;
    const std::size_t payload = head->Size() - proto::kFrameHeaderBytes;
    HandleFrame(*head, all.substr(done + proto::kFrameHeaderBytes, payload), false);
    done += head->Size();
    frame_checks_ = 0;
    usage_ = std::max(usage_, Usage::kFrames);
  }
  Consume(bev_.get(), closing_ ? all.size() : done);
  if (output_overflowed_) set_.End(id_, EndReason::kSlowReader);
}

void ConnectionSet::Connection::HandleFrame(const proto::FrameHeader& head, std::string_view payload,
                                            bool too_long) {
  ++frame_count_;
  switch (static_cast<proto::FrameType>(head.type)) {
    case proto::FrameType::kRequest:
      HandleRequest(head.stream, payload, too_long);
      return;
    case proto::FrameType::kCallerDisconnected:
      if (open_.erase(head.stream) + health_checks_.erase(head.stream) != 0)
        set_.events_.disconnected({id_, head.stream});
      return;
    case proto::FrameType::kHealthCheck:
      HandleHealthCheck(head.stream, payload);
      return;
    default:
      FailFraming("type");
  }
}

void ConnectionSet::Connection::HandleHealthCheck(std::uint32_t stream, std::string_view payload) {
  // Limits the pending deep checks of a client that never reads the answers, and does not defer a second
  // check on a stream with a pending one. Such checks are answered at once.
  const bool waits = set_.deep_checks_ && set_.healthy_ && set_.events_.deep_check &&
                     proto::IsDeepHealthCheck(payload) && health_checks_.size() < kMaxPendingHealthChecks &&
                     health_checks_.insert(stream).second;
  if (waits) {
    set_.events_.deep_check({id_, stream});
  } else {
    Write(proto::EncodeHealthResponse(stream, set_.healthy_, set_.load_signal_));
  }
}

void ConnectionSet::Connection::HandleRequest(std::uint32_t stream, std::string_view payload, bool too_long) {
  // The answer could not be distinguished from that of another request, or from a connection error (stream
  // 0).
  if (stream == 0 || open_.count(stream) != 0) {
    FailFraming("stream");
    return;
  }
  ++request_count_;
  answers_due_ = Steady::now() + set_.answer_delay_limit_;
  proto::RequestFrame frame;
  const char* fault = too_long ? "too long" : proto::ParseRequest(payload, frame);
  const core::ClassCountsPtr counts = set_.events_.class_counts(frame.class_name);
  if (fault != nullptr) {
    // The request was not executed, and every other node would reject it for the same reason.
    Answer(stream, counts.get(), core::Rejected(true));
    // Limits the CPU time that a peer can use up with malformed requests.
    if (++malformed_count_ >= kMaxMalformedRequests) FailFraming("malformed");
    return;
  }
  if (open_.size() >= kMaxOpenRequests) {
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
  ++frame_count_;
  if (counts != nullptr) counts->Count(answer.verdict);
  proto::AnswerCode code = proto::AnswerCode::kFailed;
  if (answer.verdict == core::Verdict::kServed) code = proto::AnswerCode::kServed;
  if (answer.verdict == core::Verdict::kRejected) code = proto::AnswerCode::kRejected;
  const proto::AnswerFields fields{set_.load_signal_, answer.retry_after, answer.no_other_server};
  Write(proto::EncodeAnswerHeader(stream, code, fields, answer.result.size()));
  if (!answer.result.empty()) Write(answer.result);
}

void ConnectionSet::Connection::Write(std::string_view bytes) {
  last_used_ = Steady::now();
  Send(bev_.get(), bytes);
  output_bytes_ += bytes.size();
  const std::size_t unsent = UnsentBytes(bev_.get());
  // A gateway that sends requests but does not read the answers: reading from it pauses first, and above
  // kMaxOutputBytes the connection is closed.
  if (unsent > kMaxOutputBytes) output_overflowed_ = true;
  if (unsent > kOutputPauseBytes) PauseReading();
}

void ConnectionSet::Connection::PauseReading() {
  if (std::exchange(reading_paused_, true)) return;
  bufferevent_disable(bev_.get(), EV_READ);
}

void ConnectionSet::Connection::OnOutputSent() {
  if (closing_) {
    set_.End(id_, EndReason::kFraming);
    return;
  }
  if (!reading_paused_) return;
  reading_paused_ = false;
  bufferevent_enable(bev_.get(), EV_READ);
  ReadFrames();
}

void ConnectionSet::Connection::FailFraming(const char* what) {
  framing_error_ = what;
  closing_ = true;
  usage_ = Usage::kNone;
  for (const auto& [stream, counts] : std::exchange(open_, {})) {
    Answer(stream, counts.get(), core::Failed());
    set_.events_.disconnected({id_, stream});
  }
  Write(proto::EncodeAnswerHeader(0, proto::AnswerCode::kFailed, {}, 0));
  bufferevent_enable(bev_.get(), EV_READ);
}

void ConnectionSet::Connection::DiscardInput() {
  const std::size_t size = evbuffer_get_length(bufferevent_get_input(bev_.get()));
  Consume(bev_.get(), size);
  discarded_bytes_ += size;
  if (discarded_bytes_ > kMaxDiscardedBytes) set_.End(id_, EndReason::kFraming);
}

void ConnectionSet::Connection::OnEvent(short what) {
  if (closing_) {
    set_.End(id_, EndReason::kFraming);
  } else if ((what & BEV_EVENT_EOF) != 0) {
    set_.End(id_, EndReason::kPeerClosed);
  } else if ((what & BEV_EVENT_ERROR) != 0) {
    set_.End(id_, EndReason::kReset);
  }
}

}  // namespace hingelink::net
