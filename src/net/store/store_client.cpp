#include "net/store/store_client.h"

#include <algorithm>
#include <utility>

#include "log/log.h"

namespace hingelink::net {
namespace {

using namespace std::chrono_literals;
using hingelink::Outcome;

constexpr std::size_t kUnsentMost = 1 << 20;

}  // namespace

StoreClient::StoreClient(event_base* base, const sockaddr_in& store, std::uint64_t seed, Ended ended)
    : base_(base),
      address_(store),
      ended_(std::move(ended)),
      draw_(seed),
      backoff_([this] { return std::generate_canonical<double, 32>(draw_); }),
      events_{.refused = [this](StoreConnection& c) { Refused(c); },
              .lost = [this](StoreConnection& c) { Lost(c); },
              .reply = [this](StoreConnection& c, const proto::StoreReply& reply) { Took(c, reply); },
              .look = [this](StoreConnection& c) { Look(c); }},
      reconnect_(base,
                 [this] {
                   waiting_ = false;
                   PlaceWaiting();
                 }),
      limit_(base, [this] { EndDue(); }) {}

StoreClient::~StoreClient() {
  for (const auto* all : {&open_, &retiring_}) {
    for (const ConnectionPtr& connection : *all) connection->Stop();
  }
}

bool StoreClient::up() const {
  return std::any_of(open_.begin(), open_.end(), [](const ConnectionPtr& c) { return c->connected(); });
}

void StoreClient::Call(std::uint64_t req, Millis limit, std::string_view body) {
  Abandon(req);
  ++counts_.calls;
  const Steady::time_point now = Steady::now();
  Out& call = calls_[req];
  call.body = body;
  call.since = now;
  call.until = now + std::chrono::duration_cast<Steady::duration>(std::max(Millis(1), limit));
  due_.insert({call.until, req});
  Place(req, call);
  Arm();
}

void StoreClient::Place(std::uint64_t req, Out& call) {
  StoreConnection* on = ConnectionFor(req);
  if (on == nullptr) return;
  // Guards against a store that takes nothing: what would pile up here is never written, and said to be so.
  if (on->unsent() > kUnsentMost) return EndLater(req);
  call.on = on;
  // What is left of the wait: a call that waited for this connection has less of it.
  on->Write(req, Millis(call.until - Steady::now()), call.body);
  on->ListenFor(silence_.timeout());
  call.body.clear();
}

void StoreClient::PlaceWaiting() {
  std::vector<std::uint64_t> waiting;
  for (const auto& [req, call] : calls_) {
    if (call.on == nullptr) waiting.push_back(req);
  }
  std::sort(waiting.begin(), waiting.end());
  for (const std::uint64_t req : waiting) Place(req, calls_.at(req));
  Arm();
}

StoreConnection* StoreClient::ConnectionFor(std::uint64_t req) {
  std::vector<decide::ConnectionCandidate> places;
  for (const ConnectionPtr& connection : open_)
    places.push_back({connection->calls(), connection->GaveUp(req)});
  const std::size_t at = decide::SelectConnection(places, !waiting_ && backoff_.healthy());
  if (at != decide::kNewConnection) return open_[at].get();
  if (waiting_) return nullptr;
  // Each that stands is barred for this request.
  if (open_.size() >= decide::kMaxUpstreamConnections) Retire(*open_.front(), Millis(0));
  ++counts_.connects;
  open_.push_back(std::make_unique<StoreConnection>(base_, address_, events_, replies_));
  if (open_.back()->good()) return open_.back().get();
  Refused(*open_.back());
  return nullptr;
}

void StoreClient::EndLater(std::uint64_t req) {
  never_written_.push_back(req);
  limit_.Start(0ms);
}

void StoreClient::Abandon(std::uint64_t req) {
  const auto it = calls_.find(req);
  if (it == calls_.end()) return;
  ++counts_.dropped;
  if (it->second.on != nullptr) it->second.on->Over(req, true);
  Forget(it);
}

void StoreClient::Forget(Calls::iterator it) {
  due_.erase({it->second.until, it->first});
  calls_.erase(it);
}

void StoreClient::End(Calls::iterator it, Outcome outcome, std::string_view reply) {
  const std::uint64_t req = it->first;
  const Millis elapsed = Steady::now() - it->second.since;
  Forget(it);
  ended_(req, outcome, elapsed, reply);
}

void StoreClient::EndDue() {
  const Steady::time_point now = Steady::now();
  for (const std::uint64_t req : std::exchange(never_written_, {})) {
    if (const auto it = calls_.find(req); it != calls_.end() && it->second.on == nullptr) {
      ++counts_.refused;
      End(it, Outcome::kConnectFailed);
    }
  }
  while (!due_.empty() && due_.begin()->first <= now) {
    const auto it = calls_.find(due_.begin()->second);
    StoreConnection* on = it->second.on;
    if (on == nullptr) {
      // Never written: it waited for a connection.
      ++counts_.refused;
      End(it, Outcome::kConnectFailed);
      continue;
    }
    ++counts_.late;
    on->Over(it->first, true);
    End(it, Outcome::kTimeout);
  }
  Arm();
}

void StoreClient::Arm() {
  if (!never_written_.empty()) {
    limit_.Start(0ms);
  } else if (due_.empty()) {
    limit_.Stop();
  } else {
    limit_.Start(std::max<Steady::duration>(due_.begin()->first - Steady::now(), 0ms));
  }
}

// The next try after a while; one wait for all connections that fail together.
void StoreClient::Failed() {
  if (std::exchange(waiting_, true)) return;
  reconnect_.Start(std::chrono::duration_cast<Steady::duration>(backoff_.OnFailure()));
}

std::pair<bool, std::vector<std::uint64_t>> StoreClient::TakeOut(StoreConnection& connection) {
  connection.Stop();
  const bool took_calls = !connection.retiring();
  std::vector<ConnectionPtr>& from = took_calls ? open_ : retiring_;
  const auto at =
      std::find_if(from.begin(), from.end(), [&](const ConnectionPtr& c) { return c.get() == &connection; });
  if (at != from.end()) {
    over_.push_back(std::move(*at));
    from.erase(at);
  }
  std::vector<std::uint64_t> on;
  for (const auto& [req, call] : calls_) {
    if (call.on == &connection) on.push_back(req);
  }
  std::sort(on.begin(), on.end());
  return {took_calls, std::move(on)};
}

// Nobody listens: what waited for this connection never ran, nor what waits for any.
void StoreClient::Refused(StoreConnection& connection) {
  if (!std::exchange(failing_, true)) log::Warn("store-refused");
  for (const std::uint64_t req : TakeOut(connection).second) {
    calls_.at(req).on = nullptr;
    never_written_.push_back(req);
  }
  if (open_.empty()) {
    for (const auto& [req, call] : calls_) {
      if (call.on == nullptr) never_written_.push_back(req);
    }
    std::sort(never_written_.begin(), never_written_.end());
  }
  Failed();
  Arm();
}

// Broken, closed by the store, or idle for long. What was out on it may have run.
void StoreClient::Lost(StoreConnection& connection) {
  const auto [took_calls, ends] = TakeOut(connection);
  if (ends.empty()) return;
  log::Warn("store-connection-lost", {{"calls", ends.size()}});
  if (took_calls) Failed();
  for (const std::uint64_t req : ends) {
    const auto it = calls_.find(req);
    if (it == calls_.end()) continue;
    ++counts_.broken;
    End(it, Outcome::kReset);
  }
  Arm();
}

void StoreClient::Retire(StoreConnection& connection, Millis patience) {
  if (!connection.connected()) {
    // Its calls have gone nowhere yet: they go over another.
    for (const std::uint64_t req : TakeOut(connection).second) calls_.at(req).on = nullptr;
    return;
  }
  const auto at = std::find_if(open_.begin(), open_.end(),
                               [&](const ConnectionPtr& c) { return c.get() == &connection; });
  retiring_.push_back(std::move(*at));
  open_.erase(at);
  connection.Retire(patience);
  if (retiring_.size() > kMaxRetiringConnections) Lost(*retiring_.front());
}

// Guards against a connection whose other end is gone without a word: no call would ever end well again.
void StoreClient::Look(StoreConnection& connection) {
  if (connection.calls() == 0) return;
  using Verdict = decide::UnresponsiveConnectionDetector::Verdict;
  const Millis patience = silence_.timeout();
  const Verdict verdict = silence_.Evaluate(
      Steady::now() - connection.heard(), connection.left_after(),
      !connection.retiring() && retiring_.size() < kMaxRetiringConnections, connection.overtaken());
  if (verdict == Verdict::kClose) return Lost(connection);
  if (verdict == Verdict::kStopUsing) {
    ++counts_.silent;
    log::Warn("store-silent", {{"calls", connection.calls()}});
    Retire(connection, patience);
    if (!connection.good()) return PlaceWaiting();
  }
  connection.ListenFor(connection.left_after() > Millis(0) ? connection.left_after() : patience);
}

void StoreClient::ChangeAddress(const sockaddr_in& store) {
  address_ = store;
  while (!open_.empty()) Retire(*open_.front(), Millis(0));
  PlaceWaiting();
}

void StoreClient::Took(StoreConnection& connection, const proto::StoreReply& reply) {
  const auto it = calls_.find(reply.request_id);
  // Of a call that was given up, or was made anew since.
  if (it == calls_.end() || it->second.on != &connection) return;
  backoff_.OnSuccess();
  if (reply.status != proto::StoreReplyStatus::kBusy && reply.status != proto::StoreReplyStatus::kNotRun) {
    ++replies_;
    silence_.OnReply(Steady::now() - it->second.since);
  }
  if (std::exchange(failing_, false)) log::Info("store-answers-again");
  connection.Over(reply.request_id, false);
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
  End(it, outcome, reply.body);
  Arm();
}

void StoreClient::FreeEndedConnections() { over_.clear(); }

}  // namespace hingelink::net
