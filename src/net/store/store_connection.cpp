#include "net/store/store_connection.h"

#include <algorithm>
#include <variant>

#include "log/log.h"

namespace hingelink::net {
namespace {

using namespace std::chrono_literals;

// The store closes a connection after 10 s without a call. The client closes it earlier.
constexpr auto kIdleTimeout = 8s;
constexpr std::size_t kReadBufferBytes = 2 * (proto::kMaxStoreLineBytes + proto::kMaxStoreReplyBytes);
constexpr StoreConnection::Millis kMinSilenceDelay{25};  // Between two checks of an unresponsive connection.
// A reply that the store sent before it read the DROP arrives within this time at the latest.
constexpr auto kMaxReplyDelay = 2s;
// Abandoned calls that a connection remembers.
constexpr std::size_t kMaxAbandonedCalls = 256;

}  // namespace

StoreConnection::StoreConnection(event_base* base, const sockaddr_in& address, const Events& events,
                                 const std::uint64_t& replies)
    : events_(events),
      replies_(replies),
      bev_(bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE)),
      idle_timer_(base, [this] { events_.lost(*this); }),
      silence_timer_(base, [this] {
        silence_timer_running_ = false;
        events_.silent(*this);
      }) {
  if (!bev_) return;
  bufferevent_setcb(
      bev_.get(), [](bufferevent*, void* self) { static_cast<StoreConnection*>(self)->Read(); }, nullptr,
      [](bufferevent*, short events, void* self) { static_cast<StoreConnection*>(self)->OnEvent(events); },
      this);
  // With normal priority, replies would be read too late and count as overdue while gateways keep the event
  // loop busy.
  bufferevent_priority_set(bev_.get(), kHighPriority);
  bufferevent_setwatermark(bev_.get(), EV_READ, 0, kReadBufferBytes);
  bufferevent_enable(bev_.get(), EV_READ | EV_WRITE);
  usable_ = bufferevent_socket_connect(bev_.get(), reinterpret_cast<const sockaddr*>(&address),
                                       sizeof address) == 0;
  StartIdleTimerIfIdle();
}

void StoreConnection::Write(std::uint64_t req, Steady::time_point deadline, std::string body) {
  // The time without a received byte starts with the first call.
  if (calls_++ == 0) RecordReceive();
  idle_timer_.Stop();
  if (connected_) return SendCall(req, deadline, body);
  unwritten_bytes_ += body.size();
  unwritten_calls_.push_back({req, deadline, std::move(body)});
}

void StoreConnection::SendCall(std::uint64_t req, Steady::time_point deadline, std::string_view body) {
  Send(bev_.get(), proto::EncodeStoreCallHeader(req, Millis(deadline - Steady::now()), body.size()));
  Send(bev_.get(), body);
  Send(bev_.get(), "\r\n");
}

std::vector<StoreConnection::UnwrittenCall> StoreConnection::TakeUnwrittenCalls() {
  calls_ -= unwritten_calls_.size();
  unwritten_bytes_ = 0;
  return std::exchange(unwritten_calls_, {});
}

bool StoreConnection::HasWritten(std::uint64_t req) const {
  return std::none_of(unwritten_calls_.begin(), unwritten_calls_.end(),
                      [req](const UnwrittenCall& call) { return call.req == req; });
}

bool StoreConnection::EraseUnwritten(std::uint64_t req) {
  const auto call = std::find_if(unwritten_calls_.begin(), unwritten_calls_.end(),
                                 [req](const UnwrittenCall& c) { return c.req == req; });
  if (call == unwritten_calls_.end()) return false;
  unwritten_bytes_ -= call->body.size();
  unwritten_calls_.erase(call);
  return true;
}

void StoreConnection::EndCall(std::uint64_t req, bool abandoned) {
  --calls_;
  if (!EraseUnwritten(req) && abandoned && usable_) {
    Send(bev_.get(), proto::EncodeStoreDropCommand(req));
    abandoned_calls_.push_back({Steady::now(), req});
    if (abandoned_calls_.size() > kMaxAbandonedCalls) abandoned_calls_.pop_front();
  }
  StartIdleTimerIfIdle();
}

bool StoreConnection::AbandonedRecently(std::uint64_t req) {
  const Steady::time_point now = Steady::now();
  while (!abandoned_calls_.empty() && now - abandoned_calls_.front().first > kMaxReplyDelay)
    abandoned_calls_.pop_front();
  return std::any_of(abandoned_calls_.begin(), abandoned_calls_.end(),
                     [req](const auto& g) { return g.second == req; });
}

void StoreConnection::Stop() {
  if (!bev_) return;
  usable_ = false;
  idle_timer_.Stop();
  silence_timer_.Stop();
  bufferevent_setcb(bev_.get(), nullptr, nullptr, nullptr, nullptr);
  bufferevent_disable(bev_.get(), EV_READ | EV_WRITE);
  // Closed at once and not when the object is freed, so that the store drops the calls in flight.
  if (const auto fd = bufferevent_getfd(bev_.get()); fd >= 0) evutil_closesocket(fd);
  bufferevent_setfd(bev_.get(), -1);
}

void StoreConnection::Retire(Millis timeout) {
  retiring_ = true;
  retired_after_ = timeout;
  StartIdleTimerIfIdle();
}

void StoreConnection::StartSilenceTimer(Millis duration) {
  if (std::exchange(silence_timer_running_, true)) return;
  silence_timer_.Start(std::chrono::duration_cast<Steady::duration>(
      std::max(kMinSilenceDelay, duration - Millis(Steady::now() - last_received_))));
}

void StoreConnection::StartIdleTimerIfIdle() {
  if (calls_ == 0 && usable_)
    idle_timer_.Start(retiring_ ? Steady::duration(0) : Steady::duration(kIdleTimeout));
}

void StoreConnection::OnEvent(short events) {
  if ((events & BEV_EVENT_CONNECTED) != 0) {
    SetNoDelay(bufferevent_getfd(bev_.get()));
    connected_ = true;
    RecordReceive();
    unwritten_bytes_ = 0;
    for (const UnwrittenCall& call : std::exchange(unwritten_calls_, {}))
      SendCall(call.req, call.deadline, call.body);
  } else if (connected_) {
    events_.lost(*this);
  } else {
    events_.connect_failed(*this);
  }
}

void StoreConnection::RecordReceive() {
  last_received_ = Steady::now();
  replies_at_last_receive_ = replies_;
}

void StoreConnection::Read() {
  RecordReceive();
  while (usable_) {
    std::size_t size = 0;
    const proto::StoreMessage message = proto::ParseStoreReply(ReceivedBytes(bev_.get()), size);
    if (std::holds_alternative<proto::IncompleteStoreReply>(message)) return;
    if (const auto* malformed = std::get_if<proto::MalformedStoreReply>(&message)) {
      log::PeerEvent("store-bad-line", {{"what", malformed->reason}});
      events_.lost(*this);
      return;
    }
    events_.reply(*this, std::get<proto::StoreReply>(message));
    if (usable_) Consume(bev_.get(), size);
  }
}

}  // namespace hingelink::net
