#include "net/store/store_connection.h"

#include <algorithm>
#include <variant>

#include "log/log.h"

namespace hingelink::net {
namespace {

using namespace std::chrono_literals;

// The store closes what is idle for 10 s; this side does so before.
constexpr auto kIdle = 8s;
constexpr std::size_t kReadAhead = 2 * (proto::kMaxStoreLineBytes + proto::kMaxStoreReplyBytes);
constexpr StoreConnection::Millis kLookLeast{25};  // Between looks at one that is silent.
// For so long a reply may still be on its way behind a DROP; and how many of those are kept in mind.
constexpr auto kCrossing = 2s;
constexpr std::size_t kGivenUpKept = 256;

}  // namespace

StoreConnection::StoreConnection(event_base* base, const sockaddr_in& address, const Events& events,
                                 const std::uint64_t& replies)
    : events_(events),
      replies_(replies),
      bev_(bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE)),
      idle_(base, [this] { events_.lost(*this); }),
      silence_(base, [this] {
        listening_ = false;
        events_.look(*this);
      }) {
  if (!bev_) return;
  bufferevent_setcb(
      bev_.get(), [](bufferevent*, void* self) { static_cast<StoreConnection*>(self)->Read(); }, nullptr,
      [](bufferevent*, short what, void* self) { static_cast<StoreConnection*>(self)->Event(what); }, this);
  // Guards against an answer that counts as overdue because gateways flood the loop.
  bufferevent_priority_set(bev_.get(), kHighPriority);
  bufferevent_setwatermark(bev_.get(), EV_READ, 0, kReadAhead);
  bufferevent_enable(bev_.get(), EV_READ | EV_WRITE);
  good_ = bufferevent_socket_connect(bev_.get(), reinterpret_cast<const sockaddr*>(&address),
                                     sizeof address) == 0;
  RestIfIdle();
}

void StoreConnection::Write(std::uint64_t req, Millis left, std::string_view body) {
  // From the first call on, and then from each byte that comes.
  if (calls_++ == 0) Heard();
  idle_.Stop();
  Send(bev_.get(), proto::EncodeStoreCallHeader(req, left, body.size()));
  Send(bev_.get(), body);
  Send(bev_.get(), "\r\n");
}

void StoreConnection::Over(std::uint64_t req, bool given_up) {
  --calls_;
  if (given_up && good_) {
    Send(bev_.get(), proto::EncodeStoreDropCommand(req));
    given_up_.push_back({Steady::now(), req});
    if (given_up_.size() > kGivenUpKept) given_up_.pop_front();
  }
  RestIfIdle();
}

bool StoreConnection::GaveUp(std::uint64_t req) {
  const Steady::time_point now = Steady::now();
  while (!given_up_.empty() && now - given_up_.front().first > kCrossing) given_up_.pop_front();
  return std::any_of(given_up_.begin(), given_up_.end(), [req](const auto& g) { return g.second == req; });
}

void StoreConnection::Stop() {
  if (!bev_) return;
  good_ = false;
  idle_.Stop();
  silence_.Stop();
  bufferevent_setcb(bev_.get(), nullptr, nullptr, nullptr, nullptr);
  bufferevent_disable(bev_.get(), EV_READ | EV_WRITE);
  // At once: closing gives up what is still out on it.
  if (const auto fd = bufferevent_getfd(bev_.get()); fd >= 0) evutil_closesocket(fd);
  bufferevent_setfd(bev_.get(), -1);
}

void StoreConnection::Retire(Millis patience) {
  retiring_ = true;
  left_after_ = patience;
  RestIfIdle();
}

void StoreConnection::ListenFor(Millis silent) {
  if (std::exchange(listening_, true)) return;
  silence_.Start(std::chrono::duration_cast<Steady::duration>(
      std::max(kLookLeast, silent - Millis(Steady::now() - heard_))));
}

void StoreConnection::RestIfIdle() {
  if (calls_ == 0 && good_) idle_.Start(retiring_ ? Steady::duration(0) : Steady::duration(kIdle));
}

void StoreConnection::Event(short what) {
  if ((what & BEV_EVENT_CONNECTED) != 0) {
    SetNoDelay(bufferevent_getfd(bev_.get()));
    connected_ = true;
    Heard();
  } else if (connected_) {
    events_.lost(*this);
  } else {
    events_.refused(*this);
  }
}

void StoreConnection::Heard() {
  heard_ = Steady::now();
  replies_then_ = replies_;
}

void StoreConnection::Read() {
  Heard();
  while (good_) {
    std::size_t size = 0;
    const proto::StoreMessage message = proto::ParseStoreReply(ReceivedBytes(bev_.get()), size);
    if (std::holds_alternative<proto::IncompleteStoreReply>(message)) return;
    if (const auto* bad = std::get_if<proto::MalformedStoreReply>(&message)) {
      log::PeerEvent("store-bad-line", {{"what", bad->reason}});
      events_.lost(*this);
      return;
    }
    events_.reply(*this, std::get<proto::StoreReply>(message));
    if (good_) Consume(bev_.get(), size);
  }
}

}  // namespace hingelink::net
