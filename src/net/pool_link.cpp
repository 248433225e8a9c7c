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

constexpr auto kBackoffLeast = 10ms;  // After a try that failed; the first comes at once.
constexpr auto kBackoffMost = 320ms;
// A poll that is not answered for so long tells of a link that died without a word. So does a link that is
// not connected, or on which no `bound` comes though the pool was up before.
constexpr auto kSilence = 5s;
// Gauges older than this tell nothing of the pool's load: four of the module's looks.
constexpr auto kGaugesGood = 100ms;
constexpr std::size_t kReadAhead = 4 * (proto::kMaxPoolLineBytes + proto::kMaxPoolResultBytes);

}  // namespace

PoolLink::PoolLink(event_base* base, const sockaddr_in& pool, PoolEvents events, Watch watch)
    : base_(base),
      address_(pool),
      events_(std::move(events)),
      watch_(std::move(watch)),
      reconnect_(base, [this] { Connect(); }),
      silence_(base, [this] { LoseSilent(); }),
      backoff_(kBackoffLeast) {
  Connect();
}

void PoolLink::Connect() {
  lost_.reset();
  bev_.reset(bufferevent_socket_new(base_, -1, BEV_OPT_CLOSE_ON_FREE));
  if (!bev_) {
    reconnect_.Start(kBackoffMost);
    return;
  }
  bufferevent_setcb(
      bev_.get(), [](bufferevent*, void* self) { static_cast<PoolLink*>(self)->Read(); }, nullptr,
      [](bufferevent* bev, short what, void* self) {
        if ((what & BEV_EVENT_CONNECTED) != 0) {
          SetNoDelay(bufferevent_getfd(bev));
          static_cast<PoolLink*>(self)->connected_ = true;
        } else {
          static_cast<PoolLink*>(self)->Lose((what & BEV_EVENT_EOF) != 0 ? "peer-closed" : "reset");
        }
      },
      this);
  // Guards against an answer that counts as overdue because gateways flood the loop.
  bufferevent_priority_set(bev_.get(), kHighPriority);
  bufferevent_setwatermark(bev_.get(), EV_READ, 0, kReadAhead);
  bufferevent_enable(bev_.get(), EV_READ | EV_WRITE);
  silence_.Start(kSilence);
  Send(bev_.get(), proto::EncodeBindCommand(last_notice_));
  if (bufferevent_socket_connect(bev_.get(), reinterpret_cast<const sockaddr*>(&address_), sizeof address_) !=
      0) {
    Lose("no-connect");
  }
}

void PoolLink::LoseSilent() {
  // The pool may come up long after this process, and says nothing until then.
  const bool awaits_first_start = connected_ && !ever_bound_;
  if (!awaits_first_start) Lose("silent");
}

void PoolLink::Lose(const char* reason) {
  if (!bev_) return;
  // One line for a loss, not for each try to connect while the pool is away.
  if (connected_ || backoff_ == kBackoffLeast)
    log::Warn("pool-link-end", {{"reason", reason}, {"last_notice", last_notice_}});
  bufferevent_setcb(bev_.get(), nullptr, nullptr, nullptr, nullptr);
  bufferevent_disable(bev_.get(), EV_READ | EV_WRITE);
  lost_ = std::move(bev_);
  // A link lost before it settled adds nothing to what is known of the spawns.
  if (ready_) answered_at_loss_ = answered_;
  const bool was_ready = ready_;
  connected_ = bound_ = ready_ = in_remark_ = false;
  silence_.Stop();
  // Guards against cores that idle while a pool that broke the link takes the next at once.
  reconnect_.Start(was_ready ? Steady::duration(0) : backoff_);
  if (!was_ready) backoff_ = std::min<Steady::duration>(2 * backoff_, kBackoffMost);
  if (was_ready && watch_.lost) watch_.lost();
}

// Guards against commands that die with the old address: it takes nothing new, and closes a little later. Not
// to be called from within the link's own callbacks.
void PoolLink::ChangeAddress(const sockaddr_in& pool) {
  address_ = pool;
  Lose("moved");
  backoff_ = kBackoffLeast;
  reconnect_.Stop();
  Connect();
}

void PoolLink::Read() {
  const bool was_ready = ready_;
  const std::string_view all = ReceivedBytes(bev_.get());
  std::size_t done = 0;
  while (bev_ && done < all.size()) {
    // Guards against a remark that is longer than what is kept of a line: it came again on each new link.
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
    if (!Take(message)) return;
    done += size;
  }
  Consume(bev_.get(), done);
  // Only now: guards against a second run of what ended behind the barrier, in the same piece.
  if (ready_ && !was_ready) events_.ready();
}

bool PoolLink::Take(const proto::PoolMessage& message) {
  if (const auto* bad = std::get_if<proto::MalformedMessage>(&message)) {
    Lose(bad->reason);
    return false;
  }
  if (const auto* bound = std::get_if<proto::BindAcknowledged>(&message)) {
    log::Info("pool-bound", {{"state", bound->warming_up ? "cold" : "hot"}});
    bound_ = ever_bound_ = true;
    backoff_ = kBackoffLeast;
    events_.bound(bound->warming_up);
    SendPoll();
    barrier_ = polls_;
  } else if (const auto* finished = std::get_if<proto::RunFinished>(&message)) {
    if (IsNew(finished->notice_number)) events_.finished(*finished);
  } else if (const auto* blocked = std::get_if<proto::RunBlocked>(&message)) {
    if (IsNew(blocked->notice_number) && events_.blocked) events_.blocked(*blocked);
  } else if (const auto* verified = std::get_if<proto::RoundTripVerified>(&message)) {
    const auto tag = proto::Tokenizer(verified->tag).Number<std::uint64_t>();
    if (tag && events_.verified) events_.verified(*tag, verified->good);
  } else if (const auto* polled = std::get_if<proto::GaugesReported>(&message)) {
    std::uint64_t tag = 0;
    std::from_chars(polled->tag.data(), polled->tag.data() + polled->tag.size(), tag);
    if (tag <= answered_ || tag > polls_) return true;
    answered_ = tag;
    gauges_ = polled->gauges;
    polled_at_ = Steady::now();
    silence_.Stop();
    ready_ = ready_ || (bound_ && tag >= barrier_);
    if (watch_.polled) watch_.polled();
  } else if (const auto* unknown = std::get_if<proto::UnknownCommand>(&message)) {
    log::PeerEvent("pool-unknown", {{"req", proto::FormatRequestId(unknown->request_id)}});
    if (unknown->command == "spawn") events_.spawn_unknown(unknown->request_id);
  } else if (const auto* chatter = std::get_if<proto::PoolRemark>(&message)) {
    IsNew(chatter->notice_number);
    in_remark_ = chatter->is_partial;
  }
  return true;
}

// Guards against more and more starts on the word of the last report, while a pool that hangs gives no other:
// the module takes its own count of runs where it has no gauges.
const std::vector<double>& PoolLink::gauges() const {
  static const std::vector<double> none;
  return Steady::now() - polled_at_ < kGaugesGood ? gauges_ : none;
}

// Guards against acting twice on a notice that a new link brings again.
bool PoolLink::IsNew(std::uint64_t number) {
  if (number <= last_notice_) return false;
  last_notice_ = number;
  return true;
}

PoolLink::CommandMark PoolLink::Spawn(std::uint64_t req, std::string_view kind, std::string_view body) {
  if (!ready_) return kNeverSent;
  Send(bev_.get(), proto::EncodeSpawnHeader(req, kind, body.size()));
  Send(bev_.get(), body);
  Send(bev_.get(), "\r\n");
  return polls_;
}

PoolLink::CommandMark PoolLink::SendUpstreamReply(std::uint64_t req, std::string_view reply) {
  if (!ready_) return kNeverSent;
  Send(bev_.get(), proto::EncodeSupplyHeader(req, reply.size()));
  Send(bev_.get(), reply);
  Send(bev_.get(), "\r\n");
  return polls_;
}

PoolLink::CommandMark PoolLink::SkipUpstreamCall(std::uint64_t req, std::uint64_t notice) {
  if (!ready_) return kNeverSent;
  Send(bev_.get(), proto::EncodePassCommand(req, notice));
  return polls_;
}

bool PoolLink::Verify(std::uint64_t tag) {
  if (ready_) Send(bev_.get(), proto::EncodeVerifyCommand(std::to_string(tag)));
  return ready_;
}

void PoolLink::PollGauges() {
  if (ready_ && answered_ == polls_) SendPoll();
}

void PoolLink::SendPoll() {
  Send(bev_.get(), proto::EncodePollCommand(std::to_string(++polls_)));
  silence_.Start(kSilence);
}

}  // namespace hingelink::net
