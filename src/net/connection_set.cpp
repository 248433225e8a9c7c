#include "net/connection_set.h"

#include <fcntl.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <functional>
#include <set>
#include <stdexcept>
#include <utility>

#include "log/log.h"

namespace hingelink::net {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t kMostOpen = 32;   // Requests on one connection.
constexpr std::size_t kMostChecks = 8;  // Deep checks that wait on one connection.
// Requests that could not be read, on one connection, after which it is ended.
constexpr int kMostMalformed = 64;
// Unread bytes held of one connection: always more than the longest frame that is kept.
constexpr std::size_t kReadAhead = 2 * proto::kMostKept;
// Unsent bytes from which a connection is not read: its gateway must take answers before it asks for more.
constexpr std::size_t kUnsentPause = 16 * 1024;
// Unsent bytes at which it is given up: above the pause and 32 of the longest answers. All connections that
// the descriptors allow, each just under it, still fit into the node's memory.
constexpr std::size_t kUnsentMost = 160 * 1024;
// Slow peers are given up by looks, not by the clock: a pause of the whole machine then counts as one look.
constexpr auto kLook = 250ms;
// With no byte of a frame that has begun, or that is awaited from the accept on: a bad client is owed its end
// within 3 s. On a connection that has sent whole frames; and for a whole frame, however steadily it comes.
constexpr int kQuietLooks = 9, kQuietLooksUsed = 20, kFrameLooks = 40;
// In its first frame, after which a connection makes room at the limit.
constexpr int kRoomLooks = 4;
constexpr int kFaultLooks = 4;    // From a framing fault, for the peer to take the error and close.
constexpr int kStalledLooks = 8;  // With unsent bytes of which the peer takes none.
// Bytes read and let go behind a framing fault, so that closing does not destroy the error on its way.
constexpr std::size_t kLetGo = 4 << 20;
// Without a byte either way behind the wish for no more, after which a connection is ended. Twice the time
// within which a request that crosses the close is sent again.
constexpr auto kQuiet = 100ms;
constexpr auto kQuietSweep = 25ms;

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
    case EndReason::kMadeRoom:
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

class ConnectionSet::Connection {
 public:
  Connection(ConnectionSet& set, std::uint64_t id, evutil_socket_t fd, Steady::time_point accepted)
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

  void Attach() {
    bufferevent_setcb(
        bev_.get(), [](bufferevent*, void* self) { static_cast<Connection*>(self)->Read(); },
        [](bufferevent*, void* self) { static_cast<Connection*>(self)->Written(); },
        [](bufferevent*, short what, void* self) { static_cast<Connection*>(self)->Event(what); }, this);
    bufferevent_enable(bev_.get(), EV_READ | EV_WRITE);
  }

  void Deliver(std::uint32_t stream, const core::FinalAnswer& answer) {
    const auto open = open_.extract(stream);
    if (open.empty()) return;
    if (answer.verdict == core::Verdict::kServed) use_ = Use::kServed;
    Answer(stream, open.mapped().get(), answer);
  }

  void AnswerCheck(std::uint32_t stream, bool good) {
    if (checks_.erase(stream) != 0) Write(proto::HealthAnswer(stream, good, set_.signal_));
  }

  void AskForNoMore() {
    if (!std::exchange(asked_for_no_more_, true) && !ending_) Write(proto::NoNewRequests());
  }

  ConnectionSet::Look AsSeen() const {
    return {.id = id_,
            .requests = requests_,
            .open = open_.size(),
            .unsent_bytes = Unsent(bev_.get()),
            .quiet = Steady::now() - last_used_};
  }

  std::uint64_t TakeWork() { return std::exchange(work_, 0); }

  // Reads on behind a `may_read` that said no.
  void Continue() {
    if (!std::exchange(held_back_, false)) return;
    Read();
  }

  std::optional<ConnectionSet::Moving> Release() {
    evbuffer* in = bufferevent_get_input(bev_.get());
    if (ending_ || given_up_ || held_back_ || skip_ > 0 || !checks_.empty() || evbuffer_get_length(in) > 0)
      return std::nullopt;
    bufferevent_setcb(bev_.get(), nullptr, nullptr, nullptr, nullptr);
    bufferevent_disable(bev_.get(), EV_READ | EV_WRITE);
    ConnectionSet::Moving moving;
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
    moving.unsent.resize(evbuffer_get_length(out));
    evbuffer_copyout(out, moving.unsent.data(), moving.unsent.size());
    for (auto& [stream, counts] : open_) {
      moving.open.push_back({stream, counts ? counts->name : std::string(), nullptr});
    }
    open_.clear();
    moving.requests = requests_;
    moving.malformed = malformed_;
    moving.useful = use_ == Use::kServed;
    moving.asked_for_no_more = asked_for_no_more_;
    return moving;
  }

  void TakeOver(ConnectionSet::Moving moving) {
    for (auto& open : moving.open) open_.emplace(open.stream, std::move(open.counts));
    requests_ = moving.requests;
    malformed_ = moving.malformed;
    use_ = moving.useful ? Use::kServed : moving.requests > 0 ? Use::kFrames : Use::kNone;
    asked_for_no_more_ = moving.asked_for_no_more;
    if (!moving.unsent.empty()) Write(moving.unsent);
  }

  bool idle() const { return open_.empty() && checks_.empty() && Unsent(bev_.get()) == 0; }
  bool given_up() const { return given_up_; }
  bool sent() const { return Unsent(bev_.get()) == 0; }
  Steady::time_point last_used() const { return last_used_; }

  // Least first: what is to be ended first to make room.
  decide::Usefulness usefulness() const {
    return {static_cast<int>(use_), std::chrono::nanoseconds(last_used_.time_since_epoch())};
  }
  // Whether nothing is lost with it: nothing is open, and nothing that it sent lies unread. Also one that has
  // stood in its first frame for a while: guards against half frames that take all descriptors.
  bool Spare() const {
    int unread = 0;
    if (idle() && use_ == Use::kNone && frame_looks_ >= kRoomLooks) return true;
    return idle() && evbuffer_get_length(bufferevent_get_input(bev_.get())) == 0 &&
           ioctl(bufferevent_getfd(bev_.get()), FIONREAD, &unread) == 0 && unread == 0;
  }

  // Why it is to be ended by now. Guards against peers that say nothing, stop in the middle of a frame, take
  // no answers, or do not close after a fault.
  std::optional<EndReason> Look() {
    if (ending_) return ++fault_looks_ > kFaultLooks ? std::optional(EndReason::kFraming) : std::nullopt;
    const std::size_t unsent = Unsent(bev_.get());
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

  // Stops all callbacks and tells of the requests that nobody can be answered any more.
  void Close(EndReason reason) {
    bufferevent_setcb(bev_.get(), nullptr, nullptr, nullptr, nullptr);
    bufferevent_disable(bev_.get(), EV_READ | EV_WRITE);
    // At once, not when the object is freed: guards the descriptors while many come and go in one round.
    evutil_closesocket(bufferevent_getfd(bev_.get()));
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
    for (const auto& [stream, counts] : open_) set_.events_.gone({id_, stream});
    for (const std::uint32_t stream : checks_) set_.events_.gone({id_, stream});
    open_.clear();
    checks_.clear();
  }

 private:
  // What it has been good for, least first.
  enum class Use { kNone, kFrames, kServed };

  void Read() {
    if (ending_) {
      LetGo();
      return;
    }
    last_used_ = Steady::now();
    quiet_looks_ = 0;
    if (held_back_) return;  // Continue() reads.
    if (set_.events_.reading) set_.events_.reading(id_);
    const std::string_view all = Arrived(bev_.get());
    std::size_t done = 0;
    while (!ending_ && !reading_paused_ && !given_up_) {
      const std::size_t skipped = std::min(skip_, all.size() - done);
      skip_ -= skipped;
      done += skipped;
      const auto head = proto::ReadHead(all.substr(done));
      if (!head) break;
      if (set_.events_.may_read && !set_.events_.may_read()) {
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
      if (head->Size() > proto::kMostKept) {
        done += proto::kHeadBytes;
        frame_looks_ = 0;
        skip_ = head->Size() - proto::kHeadBytes;
        Take(*head, {}, true);
        continue;
      }
      if (all.size() - done < head->Size()) break;
      const std::size_t payload = head->Size() - proto::kHeadBytes;
      Take(*head, all.substr(done + proto::kHeadBytes, payload), false);
      done += head->Size();
      frame_looks_ = 0;
      use_ = std::max(use_, Use::kFrames);
    }
    Consume(bev_.get(), ending_ ? all.size() : done);
    if (given_up_) set_.End(id_, EndReason::kSlowReader);
  }

  void Take(const proto::FrameHead& head, std::string_view payload, bool too_long) {
    ++work_;
    switch (static_cast<proto::FrameType>(head.type)) {
      case proto::FrameType::kRequest:
        TakeRequest(head.stream, payload, too_long);
        return;
      case proto::FrameType::kGone:
        if (open_.erase(head.stream) + checks_.erase(head.stream) != 0) set_.events_.gone({id_, head.stream});
        return;
      case proto::FrameType::kHealthCheck:
        TakeCheck(head.stream, payload);
        return;
      default:
        Fault("type");
    }
  }

  void TakeCheck(std::uint32_t stream, std::string_view payload) {
    // Guards against checks without end that nobody reads the answers of, and a stream that waits already.
    const bool waits = set_.deep_ && set_.healthy_ && set_.events_.check && proto::AsksForWork(payload) &&
                       checks_.size() < kMostChecks && checks_.insert(stream).second;
    if (waits) {
      set_.events_.check({id_, stream});
    } else {
      Write(proto::HealthAnswer(stream, set_.healthy_, set_.signal_));
    }
  }

  void TakeRequest(std::uint32_t stream, std::string_view payload, bool too_long) {
    // The answer to a request on such a stream could not be told from another's.
    if (stream == 0 || open_.count(stream) != 0) {
      Fault("stream");
      return;
    }
    ++requests_;
    proto::RequestFrame frame;
    const char* fault = too_long ? "too long" : proto::ParseRequest(payload, frame);
    const core::ClassCountsPtr counts = set_.events_.counts(frame.kind);
    if (fault != nullptr) {
      // It never ran, and no other node would read it otherwise.
      Answer(stream, counts.get(), core::Refused(true));
      // Guards against a peer that sends such requests without end, and takes the core with them.
      if (++malformed_ >= kMostMalformed) Fault("malformed");
      return;
    }
    if (open_.size() >= kMostOpen) {
      Answer(stream, counts.get(), core::Refused());
      return;
    }
    open_.emplace(stream, counts);
    set_.events_.request({.reply_to = {id_, stream},
                          .kind = frame.kind,
                          .req = frame.req,
                          .arrived = frame.ts,
                          .timeout = frame.timeout,
                          .work = frame.work,
                          .held_kb = frame.need_kb,
                          .rank = frame.level,
                          .subject = frame.subject,
                          .key = frame.opkey,
                          .owner = frame.owner,
                          .is_retry = frame.resent,
                          .caller = frame.via,
                          .body = frame.body});
  }

  // Every final answer passes here, also those to requests that the node never took.
  void Answer(std::uint32_t stream, core::ClassCounts* counts, const core::FinalAnswer& answer) {
    ++work_;
    if (counts != nullptr) counts->Count(answer.verdict);
    proto::AnswerCode code = proto::AnswerCode::kFailed;
    if (answer.verdict == core::Verdict::kServed) code = proto::AnswerCode::kServed;
    if (answer.verdict == core::Verdict::kRefused) code = proto::AnswerCode::kRefused;
    const proto::AnswerFields fields{set_.signal_, answer.stay_away, answer.try_no_other};
    Write(proto::AnswerHead(stream, code, fields, answer.result.size()));
    if (!answer.result.empty()) Write(answer.result);
  }

  void Write(std::string_view bytes) {
    last_used_ = Steady::now();
    Send(bev_.get(), bytes);
    written_ += bytes.size();
    const std::size_t unsent = Unsent(bev_.get());
    // Guards against a gateway that asks and never reads: first it is not read, then it is let go.
    if (unsent > kUnsentMost) given_up_ = true;
    if (unsent > kUnsentPause && !reading_paused_) {
      reading_paused_ = true;
      bufferevent_disable(bev_.get(), EV_READ);
    }
  }

  void Written() {
    if (ending_) {
      shutdown(bufferevent_getfd(bev_.get()), SHUT_WR);
      return;
    }
    if (!reading_paused_) return;
    reading_paused_ = false;
    bufferevent_enable(bev_.get(), EV_READ);
    Read();
  }

  // What follows cannot be read: what is open is failed, stream 0 tells of the error, and the connection ends
  // once the peer closes or its time is over. Guards the error on its way: a close with bytes unread resets.
  void Fault(const char* what) {
    fault_ = what;
    ending_ = true;
    use_ = Use::kNone;
    for (const auto& [stream, counts] : std::exchange(open_, {})) {
      Answer(stream, counts.get(), core::Failed());
      set_.events_.gone({id_, stream});
    }
    Write(proto::AnswerHead(0, proto::AnswerCode::kFailed, {}, 0));
    bufferevent_enable(bev_.get(), EV_READ);
  }

  void LetGo() {
    const std::size_t size = evbuffer_get_length(bufferevent_get_input(bev_.get()));
    Consume(bev_.get(), size);
    let_go_ += size;
    if (let_go_ > kLetGo) set_.End(id_, EndReason::kFraming);
  }

  void Event(short what) {
    if (ending_) {
      set_.End(id_, EndReason::kFraming);
    } else if ((what & BEV_EVENT_EOF) != 0) {
      set_.End(id_, EndReason::kPeerClosed);
    } else if ((what & BEV_EVENT_ERROR) != 0) {
      set_.End(id_, EndReason::kReset);
    }
  }

  ConnectionSet& set_;
  std::uint64_t id_;
  BufferPtr bev_;
  std::unordered_map<std::uint32_t, core::ClassCountsPtr> open_;  // Streams that are owed an answer.
  std::set<std::uint32_t> checks_;                                // Streams whose deep checks wait.
  std::size_t skip_ = 0;                                          // Bytes of an overlong frame still to come.
  std::size_t let_go_ = 0;                                        // Bytes that came behind a fault.
  std::uint64_t requests_ = 0;
  std::uint64_t work_ = 0;     // Frames read and answers written, since it was last asked.
  std::uint64_t written_ = 0;  // Bytes of answers in all, and how many the peer had taken at the last look.
  std::uint64_t taken_ = 0;
  int malformed_ = 0;
  int frame_looks_ = 0, quiet_looks_ = 0, fault_looks_ = 0, stalled_looks_ = 0;
  Use use_ = Use::kNone;
  const char* fault_ = nullptr;
  bool ending_ = false;
  bool reading_paused_ = false;
  bool held_back_ = false;
  bool given_up_ = false;
  bool asked_for_no_more_ = false;
  Steady::time_point last_used_;
};

ConnectionSet::ConnectionSet(event_base* base, Events events)
    : base_(base),
      events_(std::move(events)),
      idle_sweep_(base, [this] { SweepIdle(); }),
      look_(base, [this] { LookForSlow(); }),
      quiet_sweep_(base, [this] { CloseQuiet(); }) {
  look_.After(kLook);
}

ConnectionSet::~ConnectionSet() { Shutdown(); }

std::vector<ConnectionSet::Look> ConnectionSet::LookAt(std::size_t most) const {
  std::vector<Look> seen;
  for (const auto& [id, connection] : connections_) {
    if (seen.size() >= most) break;
    seen.push_back(connection->AsSeen());
  }
  return seen;
}

void ConnectionSet::Shutdown() {
  while (!connections_.empty()) End(connections_.begin()->first, EndReason::kShutdown);
  Sweep();
}

void ConnectionSet::Add(std::uint64_t id, evutil_socket_t fd, Steady::time_point accepted) {
  connections_.emplace(id, std::make_unique<Connection>(*this, id, fd, accepted));
}

// Guards against connections of clients that never close: they would hold descriptors that the successor
// needs, and this process for as long as it may live.
void ConnectionSet::CloseQuiet() {
  const Steady::time_point limit = Steady::now() - kQuiet;
  std::vector<std::uint64_t> quiet;
  for (const auto& [id, connection] : connections_) {
    if (connection->last_used() < limit && connection->Spare()) quiet.push_back(id);
  }
  for (const std::uint64_t id : quiet) End(id, EndReason::kHandedOver);
  quiet_sweep_.After(kQuietSweep);
}

ConnectionSet::Connections::const_iterator ConnectionSet::FindLeastUseful() const {
  auto least = connections_.end();
  for (auto it = connections_.begin(); it != connections_.end(); ++it) {
    if ((least == connections_.end() || it->second->usefulness() < least->second->usefulness()) &&
        it->second->Spare()) {
      least = it;
    }
  }
  return least;
}

std::optional<decide::Usefulness> ConnectionSet::LeastUseful() const {
  const auto least = FindLeastUseful();
  return least == connections_.end() ? std::nullopt : std::optional(least->second->usefulness());
}

// Guards against peers that take up all connections and ask nothing, so that no gateway gets one.
bool ConnectionSet::MakeRoom() {
  const auto least = FindLeastUseful();
  if (least == connections_.end()) return false;
  End(least->first, EndReason::kMadeRoom);
  return true;
}

void ConnectionSet::LookForSlow() {
  std::vector<std::pair<std::uint64_t, EndReason>> over;
  for (const auto& [id, connection] : connections_) {
    if (const auto reason = connection->Look()) over.emplace_back(id, *reason);
  }
  for (const auto& [id, reason] : over) End(id, reason);
  look_.After(kLook);
}

void ConnectionSet::End(std::uint64_t id, EndReason reason) {
  const auto it = connections_.find(id);
  if (it == connections_.end()) return;
  if (asked_for_no_more_ && reason == EndReason::kPeerClosed) reason = EndReason::kDrained;
  ended_.push_back(std::move(it->second));
  connections_.erase(it);
  ended_.back()->Close(reason);
  if (events_.ended) events_.ended(id);
}

void ConnectionSet::Sweep() { ended_.clear(); }

void ConnectionSet::Deliver(core::ReplyTo to, const core::FinalAnswer& answer) {
  const auto it = connections_.find(to.connection);
  if (it == connections_.end()) return;
  it->second->Deliver(to.stream, answer);
  if (it->second->given_up()) End(to.connection, EndReason::kSlowReader);
}

void ConnectionSet::AnswerCheck(core::ReplyTo to, bool good) {
  const auto it = connections_.find(to.connection);
  if (it == connections_.end()) return;
  it->second->AnswerCheck(to.stream, good);
  if (it->second->given_up()) End(to.connection, EndReason::kSlowReader);
}

void ConnectionSet::CloseIdle(std::chrono::milliseconds after) {
  idle_after_ = after;
  SweepIdle();
}

void ConnectionSet::SweepIdle() {
  if (idle_after_ <= 0ms) return;
  const Steady::time_point limit = Steady::now() - idle_after_;
  std::vector<std::uint64_t> idle;
  for (const auto& [id, connection] : connections_) {
    if (connection->idle() && connection->last_used() < limit) idle.push_back(id);
  }
  for (const std::uint64_t id : idle) End(id, EndReason::kIdle);
  idle_sweep_.After(std::clamp(idle_after_ / 4, 10ms, 1000ms));
}

void ConnectionSet::AskForNoMore() {
  asked_for_no_more_ = true;
  for (const auto& [id, connection] : connections_) connection->AskForNoMore();
}

void ConnectionSet::TakeBack() {
  asked_for_no_more_ = false;
  quiet_sweep_.Stop();
}

// Each that is still refused puts itself on the list again.
void ConnectionSet::Continue() {
  for (const std::uint64_t id : std::exchange(held_back_, {})) {
    if (const auto it = connections_.find(id); it != connections_.end()) it->second->Continue();
  }
}

std::optional<ConnectionSet::Moving> ConnectionSet::Release(std::uint64_t id) {
  const auto it = connections_.find(id);
  if (it == connections_.end()) return std::nullopt;
  std::optional<Moving> moving = it->second->Release();
  if (moving) {
    ended_.push_back(std::move(it->second));
    connections_.erase(it);
  }
  return moving;
}

void ConnectionSet::Adopt(Moving moving) {
  const std::uint64_t id = moving.id;
  const evutil_socket_t fd = moving.socket.release();
  const auto it = connections_.emplace(id, std::make_unique<Connection>(*this, id, fd, Steady::now())).first;
  it->second->TakeOver(std::move(moving));
}

std::uint64_t ConnectionSet::TakeWork(
    std::size_t most, const std::function<void(std::uint64_t id, std::uint64_t work)>& heaviest) {
  std::uint64_t sum = 0;
  std::vector<std::pair<std::uint64_t, std::uint64_t>> worked;  // Work and id.
  for (const auto& [id, connection] : connections_) {
    const std::uint64_t work = connection->TakeWork();
    sum += work;
    if (work > 0) worked.emplace_back(work, id);
  }
  const std::size_t shown = std::min(most, worked.size());
  std::partial_sort(worked.begin(), worked.begin() + static_cast<std::ptrdiff_t>(shown), worked.end(),
                    std::greater<>());
  for (std::size_t i = 0; i < shown; ++i) heaviest(worked[i].second, worked[i].first);
  return sum;
}

bool ConnectionSet::AllSent() const {
  return std::all_of(connections_.begin(), connections_.end(),
                     [](const auto& entry) { return entry.second->sent(); });
}

}  // namespace hingelink::net
