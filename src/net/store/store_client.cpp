#include "net/store/store_client.h"

#include <algorithm>
#include <utility>

#include "log/log.h"

namespace hingelink::net {
namespace {

using namespace std::chrono_literals;
using hingelink::Outcome;

constexpr std::size_t kMaxUnsentBytes = 1 << 20;  // Per connection.

}  // namespace

StoreClient::StoreClient(event_base* base, const sockaddr_in& store, std::uint64_t seed,
                         FinishedCallback finished)
    : base_(base),
      address_(store),
      finished_(std::move(finished)),
      random_(seed),
      backoff_([this] { return std::generate_canonical<double, 32>(random_); }),
      events_{.connect_failed = [this](StoreConnection& c) { OnConnectFailed(c); },
              .lost = [this](StoreConnection& c) { OnConnectionLost(c); },
              .reply = [this](StoreConnection& c, const proto::StoreReply& reply) { OnReply(c, reply); },
              .silent = [this](StoreConnection& c) { OnSilenceTimeout(c); }},
      reconnect_timer_(base,
                       [this] {
                         reconnect_pending_ = false;
                         WriteWaitingCalls();
                       }),
      deadline_timer_(base, [this] { FinishDueCalls(); }) {}

StoreClient::~StoreClient() {
  for (const auto* all : {&open_connections_, &retiring_}) {
    for (const ConnectionPtr& connection : *all) connection->Stop();
  }
}

bool StoreClient::connected() const {
  return std::any_of(open_connections_.begin(), open_connections_.end(),
                     [](const ConnectionPtr& c) { return c->connected(); });
}

void StoreClient::Call(std::uint64_t req, Millis timeout, std::string_view body) {
  Abandon(req);
  ++counts_.calls;
  const Steady::time_point now = Steady::now();
  PendingCall& call = calls_[req];
  call.body = body;
  call.started = now;
  call.deadline = now + std::chrono::duration_cast<Steady::duration>(std::max(Millis(1), timeout));
  deadlines_.insert({call.deadline, req});
  Write(req, call);
  ScheduleDeadline();
}

void StoreClient::Write(std::uint64_t req, PendingCall& call) {
  StoreConnection* connection = ConnectionFor(req);
  if (connection == nullptr) return;
  // If the store reads nothing, new calls are not written, so that the unsent bytes do not pile up.
  if (connection->unsent() > kMaxUnsentBytes) return FinishUnwrittenLater(req);
  call.connection = connection;
  connection->Write(req, call.deadline, std::exchange(call.body, {}));
  connection->StartSilenceTimer(unresponsive_detector_.timeout());
}

void StoreClient::WriteWaitingCalls() {
  std::vector<std::uint64_t> waiting;
  for (const auto& [req, call] : calls_) {
    if (call.connection == nullptr) waiting.push_back(req);
  }
  std::sort(waiting.begin(), waiting.end());
  for (const std::uint64_t req : waiting) Write(req, calls_.at(req));
  ScheduleDeadline();
}

StoreConnection* StoreClient::ConnectionFor(std::uint64_t req) {
  std::vector<decide::ConnectionCandidate> candidates;
  for (const ConnectionPtr& connection : open_connections_)
    candidates.push_back({connection->calls(), connection->AbandonedRecently(req)});
  const std::size_t at = decide::SelectConnection(candidates, !reconnect_pending_ && backoff_.healthy());
  if (at != decide::kNewConnection) return open_connections_[at].get();
  if (reconnect_pending_) return nullptr;
  // All connections are excluded for this request.
  if (open_connections_.size() >= decide::kMaxUpstreamConnections)
    Retire(*open_connections_.front(), Millis(0));
  ++counts_.connects;
  open_connections_.push_back(std::make_unique<StoreConnection>(base_, address_, events_, replies_));
  if (open_connections_.back()->usable()) return open_connections_.back().get();
  OnConnectFailed(*open_connections_.back());
  return nullptr;
}

void StoreClient::FinishUnwrittenLater(std::uint64_t req) {
  unwritten_calls_.push_back(req);
  deadline_timer_.Start(0ms);
}

void StoreClient::Abandon(std::uint64_t req) {
  const auto it = calls_.find(req);
  if (it == calls_.end()) return;
  ++counts_.dropped;
  if (it->second.connection != nullptr) it->second.connection->EndCall(req, true);
  EraseCall(it);
}

void StoreClient::EraseCall(Calls::iterator it) {
  deadlines_.erase({it->second.deadline, it->first});
  calls_.erase(it);
}

void StoreClient::FinishCall(Calls::iterator it, Outcome outcome, std::string_view reply) {
  const std::uint64_t req = it->first;
  const Millis elapsed = Steady::now() - it->second.started;
  EraseCall(it);
  finished_(req, outcome, elapsed, reply);
}

void StoreClient::FinishDueCalls() {
  const Steady::time_point now = Steady::now();
  for (const std::uint64_t req : std::exchange(unwritten_calls_, {})) {
    if (const auto it = calls_.find(req); it != calls_.end() && it->second.connection == nullptr) {
      ++counts_.refused;
      FinishCall(it, Outcome::kConnectFailed);
    }
  }
  while (!deadlines_.empty() && deadlines_.begin()->first <= now) {
    const auto it = calls_.find(deadlines_.begin()->second);
    StoreConnection* connection = it->second.connection;
    const bool written = connection != nullptr && connection->HasWritten(it->first);
    if (connection != nullptr) connection->EndCall(it->first, true);
    ++(written ? counts_.late : counts_.refused);
    FinishCall(it, written ? Outcome::kTimeout : Outcome::kConnectFailed);
  }
  ScheduleDeadline();
}

void StoreClient::ScheduleDeadline() {
  if (!unwritten_calls_.empty()) {
    deadline_timer_.Start(0ms);
  } else if (deadlines_.empty()) {
    deadline_timer_.Stop();
  } else {
    deadline_timer_.Start(std::max<Steady::duration>(deadlines_.begin()->first - Steady::now(), 0ms));
  }
}

// Delays the next attempt to connect. Connections that fail at the same time share one delay.
void StoreClient::ScheduleReconnect() {
  if (std::exchange(reconnect_pending_, true)) return;
  reconnect_timer_.Start(std::chrono::duration_cast<Steady::duration>(backoff_.OnFailure()));
}

std::pair<bool, std::vector<std::uint64_t>> StoreClient::RemoveConnection(StoreConnection& connection) {
  connection.Stop();
  const bool took_new_calls = !connection.retiring();
  std::vector<ConnectionPtr>& from = took_new_calls ? open_connections_ : retiring_;
  const auto at =
      std::find_if(from.begin(), from.end(), [&](const ConnectionPtr& c) { return c.get() == &connection; });
  if (at != from.end()) {
    ended_connections_.push_back(std::move(*at));
    from.erase(at);
  }
  std::vector<std::uint64_t> calls;
  for (const auto& [req, call] : calls_) {
    if (call.connection == &connection) calls.push_back(req);
  }
  std::sort(calls.begin(), calls.end());
  return {took_new_calls, std::move(calls)};
}

// The store does not accept connections. The calls of this connection did not run. Calls that wait for a
// connection end as well if no other connection is open.
void StoreClient::OnConnectFailed(StoreConnection& connection) {
  if (!std::exchange(failure_logged_, true)) log::Warn("store-refused");
  for (const std::uint64_t req : RemoveConnection(connection).second) {
    calls_.at(req).connection = nullptr;
    unwritten_calls_.push_back(req);
  }
  if (open_connections_.empty()) {
    for (const auto& [req, call] : calls_) {
      if (call.connection == nullptr) unwritten_calls_.push_back(req);
    }
    std::sort(unwritten_calls_.begin(), unwritten_calls_.end());
  }
  ScheduleReconnect();
  ScheduleDeadline();
}

// The connection is broken, was closed by the store, or was idle for too long. Its calls may have run.
void StoreClient::OnConnectionLost(StoreConnection& connection) {
  const auto [took_new_calls, lost_calls] = RemoveConnection(connection);
  if (lost_calls.empty()) return;
  log::Warn("store-connection-lost", {{"calls", lost_calls.size()}});
  if (took_new_calls) ScheduleReconnect();
  for (const std::uint64_t req : lost_calls) {
    const auto it = calls_.find(req);
    if (it == calls_.end()) continue;
    ++counts_.broken;
    FinishCall(it, Outcome::kReset);
  }
  ScheduleDeadline();
}

void StoreClient::Retire(StoreConnection& connection, Millis timeout) {
  if (!connection.connected()) {
    // Its calls have not been written yet and can use another connection.
    for (StoreConnection::UnwrittenCall& unwritten : connection.TakeUnwrittenCalls()) {
      PendingCall& call = calls_.at(unwritten.req);
      call.connection = nullptr;
      call.body = std::move(unwritten.body);
    }
    RemoveConnection(connection);
    return;
  }
  const auto at = std::find_if(open_connections_.begin(), open_connections_.end(),
                               [&](const ConnectionPtr& c) { return c.get() == &connection; });
  retiring_.push_back(std::move(*at));
  open_connections_.erase(at);
  connection.Retire(timeout);
  if (retiring_.size() > kMaxRetiringConnections) OnConnectionLost(*retiring_.front());
}

// Retires or closes a connection whose peer has disappeared without closing it. All calls on such a
// connection would time out.
void StoreClient::OnSilenceTimeout(StoreConnection& connection) {
  if (connection.calls() == 0) return;
  using Verdict = decide::UnresponsiveConnectionDetector::Verdict;
  const Millis timeout = unresponsive_detector_.timeout();
  const Verdict verdict = unresponsive_detector_.Evaluate(
      Steady::now() - connection.last_received(), connection.retired_after(),
      !connection.retiring() && retiring_.size() < kMaxRetiringConnections, connection.overtaking_replies());
  if (verdict == Verdict::kClose) return OnConnectionLost(connection);
  if (verdict == Verdict::kStopUsing) {
    ++counts_.unresponsive;
    log::Warn("store-silent", {{"calls", connection.calls()}});
    Retire(connection, timeout);
    if (!connection.usable()) return WriteWaitingCalls();
  }
  connection.StartSilenceTimer(connection.retired_after() > Millis(0) ? connection.retired_after() : timeout);
}

void StoreClient::ChangeAddress(const sockaddr_in& store) {
  address_ = store;
  while (!open_connections_.empty()) Retire(*open_connections_.front(), Millis(0));
  WriteWaitingCalls();
}

void StoreClient::OnReply(StoreConnection& connection, const proto::StoreReply& reply) {
  const auto it = calls_.find(reply.request_id);
  // The call was abandoned, or replaced by a new call.
  if (it == calls_.end() || it->second.connection != &connection) return;
  backoff_.OnSuccess();
  if (reply.status != proto::StoreReplyStatus::kBusy && reply.status != proto::StoreReplyStatus::kNotRun) {
    ++replies_;
    unresponsive_detector_.OnReply(Steady::now() - it->second.started);
  }
  if (std::exchange(failure_logged_, false)) log::Info("store-answers-again");
  connection.EndCall(reply.request_id, false);
  Outcome outcome = Outcome::kError;
  switch (reply.status) {
    case proto::StoreReplyStatus::kOk:
      ++counts_.ok;
      outcome = Outcome::kOk;
      break;
    case proto::StoreReplyStatus::kBusy:
      ++counts_.busy;
      outcome = Outcome::kFull;
      break;
    case proto::StoreReplyStatus::kError:
      ++counts_.errors;
      break;
    case proto::StoreReplyStatus::kTimedOut:
      ++counts_.late;
      outcome = Outcome::kTimeout;
      break;
    case proto::StoreReplyStatus::kNotRun:
      ++counts_.refused;
      outcome = Outcome::kConnectFailed;
      break;
  }
  FinishCall(it, outcome, reply.body);
  ScheduleDeadline();
}

void StoreClient::FreeEndedConnections() { ended_connections_.clear(); }

}  // namespace hingelink::net
