#include "net/pool_link.h"

#include <algorithm>
#include <charconv>
#include <string>
#include <utility>
#include <variant>

#include "log/log.h"
#include "proto/tokenizer.h"

namespace hingelink::net {
namespace {

using namespace std::chrono_literals;

// The delay after a failed attempt to connect starts with kMinBackoff and doubles up to kMaxBackoff. The
// first attempt after the loss of a ready link is made at once.
constexpr auto kMinBackoff = 10ms;
constexpr auto kMaxBackoff = 320ms;
// If a poll is not answered for this long, the connection is considered broken. The same holds if the
// connection is not established for this long, or if a pool that has accepted a connection of this process
// before does not accept this one.
constexpr auto kSilenceTimeout = 5s;
// Older gauges do not describe the present load of the pool. Four intervals between the load samples of the
// decision module.
constexpr auto kMaxGaugeAge = 100ms;
constexpr std::size_t kReadBufferBytes = 4 * (proto::kMaxPoolLineBytes + proto::kMaxPoolResultBytes);

}  // namespace

PoolLink::PoolLink(event_base* base, const sockaddr_in& pool, PoolEvents events, Callbacks callbacks)
    : base_(base),
      address_(pool),
      events_(std::move(events)),
      callbacks_(std::move(callbacks)),
      reconnect_timer_(base, [this] { Connect(); }),
      silence_timer_(base, [this] { OnSilenceTimeout(); }),
      backoff_(kMinBackoff) {
  Connect();
}

void PoolLink::Connect() {
  closed_bev_.reset();
  bev_.reset(bufferevent_socket_new(base_, -1, BEV_OPT_CLOSE_ON_FREE));
  if (!bev_) {
    reconnect_timer_.Start(kMaxBackoff);
    return;
  }
  bufferevent_setcb(
      bev_.get(), [](bufferevent*, void* self) { static_cast<PoolLink*>(self)->Read(); }, nullptr,
      [](bufferevent* bev, short events, void* self) {
        if ((events & BEV_EVENT_CONNECTED) != 0) {
          SetNoDelay(bufferevent_getfd(bev));
          static_cast<PoolLink*>(self)->connected_ = true;
        } else {
          static_cast<PoolLink*>(self)->Disconnect((events & BEV_EVENT_EOF) != 0 ? "peer-closed" : "reset");
        }
      },
      this);
  // With normal priority, answers of the pool would be read too late and count as overdue while gateways keep
  // the event loop busy.
  bufferevent_priority_set(bev_.get(), kHighPriority);
  bufferevent_setwatermark(bev_.get(), EV_READ, 0, kReadBufferBytes);
  bufferevent_enable(bev_.get(), EV_READ | EV_WRITE);
  silence_timer_.Start(kSilenceTimeout);
  Send(bev_.get(), proto::EncodeBindCommand(last_notice_));
  if (bufferevent_socket_connect(bev_.get(), reinterpret_cast<const sockaddr*>(&address_), sizeof address_) !=
      0) {
    Disconnect("no-connect");
  }
}

void PoolLink::OnSilenceTimeout() {
  // The pool may start long after this process, and sends nothing until then.
  const bool awaits_first_start = connected_ && !ever_bound_;
  if (!awaits_first_start) Disconnect("silent");
}

void PoolLink::Disconnect(const char* reason) {
  if (!bev_) return;
  // Logs one line for each loss, and none for further attempts to connect while the pool is unreachable.
  if (connected_ || backoff_ == kMinBackoff)
    log::Warn("pool-link-end", {{"reason", reason}, {"last_notice", last_notice_}});
  bufferevent_setcb(bev_.get(), nullptr, nullptr, nullptr, nullptr);
  bufferevent_disable(bev_.get(), EV_READ | EV_WRITE);
  closed_bev_ = std::move(bev_);
  // A link that was never ready carried no commands. Its answers do not show which earlier commands were
  // read.
  if (ready_) last_answer_before_loss_ = last_answer_;
  const bool was_ready = ready_;
  connected_ = bound_ = ready_ = in_remark_ = false;
  silence_timer_.Stop();
  // A pool that has closed a ready link usually accepts the next connection at once. A delay would leave its
  // cores idle.
  reconnect_timer_.Start(was_ready ? Steady::duration(0) : backoff_);
  if (!was_ready) backoff_ = std::min<Steady::duration>(2 * backoff_, kMaxBackoff);
  if (was_ready && callbacks_.not_ready) callbacks_.not_ready();
}

// The old address reads no new commands and closes the connection a little later. Commands sent there in the
// meantime would be lost, so the link connects to the new address at once.
void PoolLink::ChangeAddress(const sockaddr_in& pool) {
  address_ = pool;
  Disconnect("moved");
  backoff_ = kMinBackoff;
  reconnect_timer_.Stop();
  Connect();
}

void PoolLink::Read() {
  const bool was_ready = ready_;
  const std::string_view all = ReceivedBytes(bev_.get());
  std::size_t done = 0;
  while (bev_ && done < all.size()) {
    // A remark may be longer than the read buffer. It is skipped in pieces: if it were rejected as malformed,
    // the link would be closed, and the pool would repeat the remark on each new connection.
    if (in_remark_) {
      const std::size_t end = all.find("\r\n", done);
      in_remark_ = end == std::string_view::npos;
      done = in_remark_ ? all.size() - 1 : end + 2;
      if (in_remark_) break;
      continue;
    }
    std::size_t size = 0;
    const proto::PoolMessage message = proto::ParsePoolMessage(all.substr(done), size);
    if (std::holds_alternative<proto::IncompleteMessage>(message)) break;
    if (!HandleMessage(message)) return;
    done += size;
  }
  Consume(bev_.get(), done);
  // Called after all received notices are handled: an execution whose end was received together with the
  // answer to the poll would otherwise be sent a second time.
  if (ready_ && !was_ready) events_.ready();
}

bool PoolLink::HandleMessage(const proto::PoolMessage& message) {
  if (const auto* malformed = std::get_if<proto::MalformedMessage>(&message)) {
    Disconnect(malformed->reason);
    return false;
  }
  if (const auto* bound = std::get_if<proto::BindAcknowledged>(&message)) {
    log::Info("pool-bound", {{"state", bound->warming_up ? "cold" : "hot"}});
    bound_ = ever_bound_ = true;
    backoff_ = kMinBackoff;
    events_.bound(bound->warming_up);
    SendPoll();
    ready_poll_ = last_poll_;
  } else if (const auto* finished = std::get_if<proto::RunFinished>(&message)) {
    if (RecordNotice(finished->notice_number)) events_.finished(*finished);
  } else if (const auto* blocked = std::get_if<proto::RunBlocked>(&message)) {
    if (RecordNotice(blocked->notice_number) && events_.blocked) events_.blocked(*blocked);
  } else if (const auto* verified = std::get_if<proto::RoundTripVerified>(&message)) {
    const auto tag = proto::Tokenizer(verified->tag).Number<std::uint64_t>();
    if (tag && events_.verified) events_.verified(*tag, verified->good);
  } else if (const auto* reported = std::get_if<proto::GaugesReported>(&message)) {
    std::uint64_t tag = 0;
    std::from_chars(reported->tag.data(), reported->tag.data() + reported->tag.size(), tag);
    if (tag <= last_answer_ || tag > last_poll_) return true;
    last_answer_ = tag;
    gauges_ = reported->gauges;
    gauges_received_at_ = Steady::now();
    silence_timer_.Stop();
    ready_ = ready_ || (bound_ && tag >= ready_poll_);
    if (callbacks_.gauges_received) callbacks_.gauges_received();
  } else if (const auto* unknown = std::get_if<proto::UnknownCommand>(&message)) {
    log::PeerEvent("pool-unknown", {{"req", proto::FormatRequestId(unknown->request_id)}});
    if (unknown->command == "spawn") events_.spawn_unknown(unknown->request_id);
  } else if (const auto* remark = std::get_if<proto::PoolRemark>(&message)) {
    RecordNotice(remark->notice_number);
    in_remark_ = remark->is_partial;
  }
  return true;
}

// A pool that hangs reports no new gauges. Outdated gauges that show a low load would let the decision module
// start more and more executions. Without gauges, the module uses its own count of executions in flight.
const std::vector<double>& PoolLink::gauges() const {
  static const std::vector<double> none;
  return Steady::now() - gauges_received_at_ < kMaxGaugeAge ? gauges_ : none;
}

// The pool repeats notices on a new connection, and no notice must be handled twice.
bool PoolLink::RecordNotice(std::uint64_t number) {
  if (number <= last_notice_) return false;
  last_notice_ = number;
  return true;
}

PoolLink::CommandMark PoolLink::Spawn(std::uint64_t req, std::string_view kind, std::string_view body) {
  if (!ready_) return kNeverSent;
  Send(bev_.get(), proto::EncodeSpawnHeader(req, kind, body.size()));
  Send(bev_.get(), body);
  Send(bev_.get(), "\r\n");
  return last_poll_;
}

PoolLink::CommandMark PoolLink::SendUpstreamReply(std::uint64_t req, std::string_view reply) {
  if (!ready_) return kNeverSent;
  Send(bev_.get(), proto::EncodeSupplyHeader(req, reply.size()));
  Send(bev_.get(), reply);
  Send(bev_.get(), "\r\n");
  return last_poll_;
}

PoolLink::CommandMark PoolLink::SkipUpstreamCall(std::uint64_t req, std::uint64_t notice) {
  if (!ready_) return kNeverSent;
  Send(bev_.get(), proto::EncodePassCommand(req, notice));
  return last_poll_;
}

bool PoolLink::Verify(std::uint64_t tag) {
  if (ready_) Send(bev_.get(), proto::EncodeVerifyCommand(std::to_string(tag)));
  return ready_;
}

void PoolLink::PollGauges() {
  if (ready_ && last_answer_ == last_poll_) SendPoll();
}

void PoolLink::SendPoll() {
  Send(bev_.get(), proto::EncodePollCommand(std::to_string(++last_poll_)));
  silence_timer_.Start(kSilenceTimeout);
}

}  // namespace hingelink::net
