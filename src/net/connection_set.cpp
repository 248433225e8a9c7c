#include "net/connection_set.h"

#include <algorithm>
#include <functional>
#include <utility>

#include "net/gateway/connection.h"

namespace hingelink::net {
namespace {

using namespace std::chrono_literals;

// Slow peers are given up by looks, not by the clock: a pause of the whole machine then counts as one look.
constexpr auto kLook = 250ms;
// Without a byte either way behind the wish for no more, after which a connection is ended. Twice the time
// within which a request that crosses the close is sent again.
constexpr auto kQuiet = 100ms;
constexpr auto kQuietSweep = 25ms;

// Whether the peer may still have answers to read, or something on its way, so that the connection is not to
// be reset under it. The others are over on the peer's side, or their descriptor is needed at once.
bool Lingers(EndReason reason) {
  switch (reason) {
    case EndReason::kFraming:
    case EndReason::kSilent:
    case EndReason::kUnfinished:
    case EndReason::kIdle:
    case EndReason::kHandedOver:
    case EndReason::kShutdown:
      return true;
    case EndReason::kPeerClosed:
    case EndReason::kReset:
    case EndReason::kSlowReader:
    case EndReason::kEvicted:
    case EndReason::kAtLimit:
    case EndReason::kDrained:
      break;
  }
  return false;
}

}  // namespace

ConnectionSet::ConnectionSet(event_base* base, Events events)
    : base_(base),
      events_(std::move(events)),
      idle_sweep_(base, [this] { SweepIdle(); }),
      look_(base, [this] { LookForSlow(); }),
      quiet_sweep_(base, [this] { CloseIdleForHandover(); }),
      lingering_(base, events_.closed) {
  look_.Start(kLook);
}

ConnectionSet::~ConnectionSet() { Shutdown({}); }

std::vector<ConnectionSet::Snapshot> ConnectionSet::TakeSnapshots(std::size_t most) const {
  std::vector<Snapshot> seen;
  for (const auto& [id, connection] : connections_) {
    if (seen.size() >= most) break;
    seen.push_back(connection->AsSeen());
  }
  return seen;
}

void ConnectionSet::Shutdown(Steady::time_point until) {
  while (!connections_.empty()) End(connections_.begin()->first, EndReason::kShutdown);
  bool overdue = false;
  Timer limit(base_, [&overdue] { overdue = true; });
  limit.Start(until - Steady::now());
  while (lingering_.size() > 0 && !overdue && Steady::now() < until) event_base_loop(base_, EVLOOP_ONCE);
  while (lingering_.CloseOldest()) {
  }
  Sweep();
}

void ConnectionSet::Add(std::uint64_t id, evutil_socket_t fd, Steady::time_point accepted) {
  connections_.emplace(id, std::make_unique<Connection>(*this, id, fd, accepted));
}

// Guards against connections of clients that never close: they would hold descriptors that the successor
// needs, and this process for as long as it may live.
void ConnectionSet::CloseIdleForHandover() {
  const Steady::time_point limit = Steady::now() - kQuiet;
  std::vector<std::uint64_t> quiet;
  for (const auto& [id, connection] : connections_) {
    if (connection->last_used() < limit && connection->Spare()) quiet.push_back(id);
  }
  for (const std::uint64_t id : quiet) End(id, EndReason::kHandedOver);
  quiet_sweep_.Start(kQuietSweep);
}

ConnectionSet::Connections::const_iterator ConnectionSet::FindLeastUseful() const {
  for (;;) {
    auto least = connections_.end();
    for (auto it = connections_.begin(); it != connections_.end(); ++it) {
      const bool less = least == connections_.end() || it->second->usefulness() < least->second->usefulness();
      if (less && it->second->MayBeSpare()) least = it;
    }
    // Only the least useful one is asked for bytes unread; where it has some, it is passed over from now on.
    if (least == connections_.end() || least->second->Spare()) return least;
    if (least->second->MayBeSpare()) return connections_.end();
  }
}

std::optional<decide::ConnectionValue> ConnectionSet::EvictionCandidate() const {
  constexpr int kOfNoUse = -1;  // Less than any connection that stands.
  if (lingering_.size() > 0) return decide::ConnectionValue{kOfNoUse, std::chrono::nanoseconds(0)};
  const auto least = FindLeastUseful();
  return least == connections_.end() ? std::nullopt : std::optional(least->second->usefulness());
}

// Guards against peers that take up all connections and ask nothing, so that no gateway gets one.
bool ConnectionSet::EvictOne() {
  if (lingering_.CloseOldest()) return true;
  const auto least = FindLeastUseful();
  if (least == connections_.end()) return false;
  End(least->first, EndReason::kEvicted);
  return true;
}

void ConnectionSet::LookForSlow() {
  std::vector<std::pair<std::uint64_t, EndReason>> over;
  for (const auto& [id, connection] : connections_) {
    if (const auto reason = connection->Look()) over.emplace_back(id, *reason);
  }
  for (const auto& [id, reason] : over) End(id, reason);
  look_.Start(kLook);
}

void ConnectionSet::End(std::uint64_t id, EndReason reason) {
  const auto it = connections_.find(id);
  if (it == connections_.end()) return;
  if (asked_for_no_more_ && reason == EndReason::kPeerClosed) reason = EndReason::kDrained;
  ended_.push_back(std::move(it->second));
  connections_.erase(it);
  Descriptor socket = ended_.back()->Detach(reason);
  if (Lingers(reason)) {
    lingering_.Add(id, std::move(socket));
    return;
  }
  socket = Descriptor();
  if (events_.closed) events_.closed(id);
}

void ConnectionSet::Sweep() { ended_.clear(); }

void ConnectionSet::Deliver(core::StreamAddress to, const core::FinalAnswer& answer) {
  const auto it = connections_.find(to.connection);
  if (it == connections_.end()) return;
  it->second->Deliver(to.stream, answer);
  if (it->second->given_up()) End(to.connection, EndReason::kSlowReader);
}

void ConnectionSet::AnswerHealthCheck(core::StreamAddress to, bool good) {
  const auto it = connections_.find(to.connection);
  if (it == connections_.end()) return;
  it->second->AnswerHealthCheck(to.stream, good);
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
    if (connection->last_used() < limit && connection->Resting()) idle.push_back(id);
  }
  for (const std::uint64_t id : idle) End(id, EndReason::kIdle);
  idle_sweep_.Start(std::clamp(idle_after_ / 4, 10ms, 1000ms));
}

void ConnectionSet::StopNewRequests() {
  asked_for_no_more_ = true;
  for (const auto& [id, connection] : connections_) connection->StopNewRequests();
}

void ConnectionSet::CancelDrain() {
  asked_for_no_more_ = false;
  quiet_sweep_.Stop();
}

// Each that is still refused puts itself on the list again.
void ConnectionSet::ResumeReading() {
  for (const std::uint64_t id : std::exchange(held_back_, {})) {
    if (const auto it = connections_.find(id); it != connections_.end()) it->second->ResumeReading();
  }
}

std::optional<ConnectionSet::TransferState> ConnectionSet::Release(std::uint64_t id) {
  const auto it = connections_.find(id);
  if (it == connections_.end()) return std::nullopt;
  std::optional<TransferState> moving = it->second->Release();
  if (moving) {
    ended_.push_back(std::move(it->second));
    connections_.erase(it);
  }
  return moving;
}

void ConnectionSet::Adopt(TransferState moving) {
  const std::uint64_t id = moving.id;
  const evutil_socket_t fd = moving.socket.release();
  const auto it = connections_.emplace(id, std::make_unique<Connection>(*this, id, fd, Steady::now())).first;
  it->second->TakeOver(std::move(moving));
}

std::uint64_t ConnectionSet::TakeFrameCounts(
    std::size_t most, const std::function<void(std::uint64_t id, std::uint64_t work)>& heaviest) {
  std::uint64_t sum = 0;
  std::vector<std::pair<std::uint64_t, std::uint64_t>> worked;  // Work and id.
  for (const auto& [id, connection] : connections_) {
    const std::uint64_t work = connection->TakeFrameCounts();
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
