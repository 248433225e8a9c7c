#include "net/connection_set.h"

#include <algorithm>
#include <functional>
#include <utility>

#include "net/gateway/connection.h"

namespace hingelink::net {
namespace {

using namespace std::chrono_literals;

// Interval of the timeout checks. Timeouts are numbers of these checks and not elapsed times, so that a pause
// of the whole machine counts as one check, however long it lasts.
constexpr auto kTimeoutCheckInterval = 250ms;
// During a handover, a connection without traffic for this long is closed. It is twice the time within which
// a client resends a request that crosses the close.
constexpr auto kHandoverIdleTime = 100ms;
constexpr auto kHandoverSweepInterval = 25ms;

// Whether the socket is closed by the LingeringCloser, because the peer may still have answers to read or
// data in transit and must not see a reset. Otherwise the peer is gone or the descriptor is needed at once.
bool ShouldLinger(EndReason reason) {
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
    case EndReason::kMemoryLimit:
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
      timeout_check_(base, [this] { CloseTimedOut(); }),
      handover_sweep_(base, [this] { CloseIdleForHandover(); }),
      lingering_(base, events_.closed),
      next_turn_(base, [this] { ReadPending(); }) {
  timeout_check_.Start(kTimeoutCheckInterval);
}

ConnectionSet::~ConnectionSet() { Shutdown({}); }

std::vector<ConnectionSet::Snapshot> ConnectionSet::TakeSnapshots(std::size_t most) const {
  std::vector<Snapshot> seen;
  for (const auto& [id, connection] : connections_) {
    if (seen.size() >= most) break;
    seen.push_back(connection->TakeSnapshot());
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

// Clients that never close would hold descriptors that the successor needs, and would keep this process alive
// up to its maximum lifetime.
void ConnectionSet::CloseIdleForHandover() {
  const Steady::time_point limit = Steady::now() - kHandoverIdleTime;
  std::vector<std::uint64_t> quiet;
  for (const auto& [id, connection] : connections_) {
    if (connection->last_used() < limit && connection->IsEvictable()) quiet.push_back(id);
  }
  for (const std::uint64_t id : quiet) End(id, EndReason::kHandedOver);
  handover_sweep_.Start(kHandoverSweepInterval);
}

ConnectionSet::Connections::const_iterator ConnectionSet::FindEvictionCandidate() const {
  for (;;) {
    auto least = connections_.end();
    for (auto it = connections_.begin(); it != connections_.end(); ++it) {
      const bool less =
          least == connections_.end() || it->second->eviction_value() < least->second->eviction_value();
      if (less && it->second->MayBeEvictable()) least = it;
    }
    // Only the connection with the smallest value is checked for unread bytes. If it has some,
    // MayBeEvictable() excludes it from then on.
    if (least == connections_.end() || least->second->IsEvictable()) return least;
    if (least->second->MayBeEvictable()) return connections_.end();
  }
}

std::optional<decide::ConnectionValue> ConnectionSet::EvictionCandidate() const {
  constexpr int kLingeringValue = -1;  // Less than the value of any open connection.
  if (lingering_.size() > 0) return decide::ConnectionValue{kLingeringValue, std::chrono::nanoseconds(0)};
  const auto least = FindEvictionCandidate();
  return least == connections_.end() ? std::nullopt : std::optional(least->second->eviction_value());
}

// Prevents peers that send no requests from occupying all connections.
bool ConnectionSet::EvictOne() {
  if (lingering_.CloseOldest()) return true;
  const auto least = FindEvictionCandidate();
  if (least == connections_.end()) return false;
  End(least->first, EndReason::kEvicted);
  return true;
}

void ConnectionSet::CloseTimedOut() {
  std::vector<std::pair<std::uint64_t, EndReason>> over;
  for (const auto& [id, connection] : connections_) {
    if (const auto reason = connection->CheckTimeouts()) over.emplace_back(id, *reason);
  }
  for (const auto& [id, reason] : over) End(id, reason);
  timeout_check_.Start(kTimeoutCheckInterval);
}

void ConnectionSet::End(std::uint64_t id, EndReason reason) {
  const auto it = connections_.find(id);
  if (it == connections_.end()) return;
  if (stop_sent_ && reason == EndReason::kPeerClosed) reason = EndReason::kDrained;
  ended_.push_back(std::move(it->second));
  connections_.erase(it);
  Descriptor socket = ended_.back()->ReleaseSocket(reason);
  if (ShouldLinger(reason)) {
    lingering_.Add(id, std::move(socket));
    return;
  }
  socket = Descriptor();
  if (events_.closed) events_.closed(id);
}

void ConnectionSet::SetBufferLimit(std::size_t bytes) {
  buffer_limit_ = bytes;
  EnforceBufferLimit();
}

void ConnectionSet::EnforceBufferLimit() {
  while (buffered_bytes_ > buffer_limit_) {
    const auto largest =
        std::max_element(connections_.begin(), connections_.end(), [](const auto& left, const auto& right) {
          return left.second->held_bytes() < right.second->held_bytes();
        });
    if (largest == connections_.end() || largest->second->held_bytes() == 0) return;
    End(largest->first, EndReason::kMemoryLimit);
  }
}

void ConnectionSet::Sweep() { ended_.clear(); }

void ConnectionSet::Deliver(core::StreamAddress to, const core::FinalAnswer& answer) {
  const auto it = connections_.find(to.connection);
  if (it == connections_.end()) return;
  it->second->Deliver(to.stream, answer);
  if (it->second->output_overflowed()) End(to.connection, EndReason::kSlowReader);
  EnforceBufferLimit();
}

void ConnectionSet::AnswerHealthCheck(core::StreamAddress to, bool good) {
  const auto it = connections_.find(to.connection);
  if (it == connections_.end()) return;
  it->second->AnswerHealthCheck(to.stream, good);
  if (it->second->output_overflowed()) End(to.connection, EndReason::kSlowReader);
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
    if (connection->last_used() < limit && connection->CanCloseWithoutLoss()) idle.push_back(id);
  }
  for (const std::uint64_t id : idle) End(id, EndReason::kIdle);
  idle_sweep_.Start(std::clamp(idle_after_ / 4, 10ms, 1000ms));
}

void ConnectionSet::StopNewRequests() {
  stop_sent_ = true;
  for (const auto& [id, connection] : connections_) connection->StopNewRequests();
}

void ConnectionSet::CancelDrain() {
  stop_sent_ = false;
  handover_sweep_.Stop();
}

// A connection whose reads are deferred again re-adds itself to the list.
void ConnectionSet::ResumeReading() {
  for (const std::uint64_t id : std::exchange(deferred_reads_, {})) {
    if (const auto it = connections_.find(id); it != connections_.end()) it->second->ResumeReading();
  }
}

void ConnectionSet::ReadInNextTurn(std::uint64_t id) {
  pending_reads_.push_back(id);
  next_turn_.Start(0ms);
}

void ConnectionSet::ReadPending() {
  for (const std::uint64_t id : std::exchange(pending_reads_, {})) {
    if (const auto it = connections_.find(id); it != connections_.end()) it->second->ReadInTurn();
  }
  EnforceBufferLimit();
}

std::optional<ConnectionSet::TransferState> ConnectionSet::Release(std::uint64_t id) {
  const auto it = connections_.find(id);
  if (it == connections_.end()) return std::nullopt;
  std::optional<TransferState> state = it->second->Release();
  if (state) {
    ended_.push_back(std::move(it->second));
    connections_.erase(it);
  }
  return state;
}

void ConnectionSet::Adopt(TransferState state) {
  const std::uint64_t id = state.id;
  const evutil_socket_t fd = state.socket.release();
  const auto it = connections_.emplace(id, std::make_unique<Connection>(*this, id, fd, Steady::now())).first;
  it->second->RestoreState(std::move(state));
}

std::uint64_t ConnectionSet::TakeFrameCounts(
    std::size_t most, const std::function<void(std::uint64_t id, std::uint64_t work)>& heaviest) {
  std::uint64_t sum = 0;
  std::vector<std::pair<std::uint64_t, std::uint64_t>> worked;  // Work and id.
  for (const auto& [id, connection] : connections_) {
    const std::uint64_t work = connection->TakeFrameCount();
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
                     [](const auto& entry) { return entry.second->all_sent(); });
}

}  // namespace hingelink::net
