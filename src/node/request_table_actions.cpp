// What the module's actions do to requests, and what other processes' keys change of it.
#include <algorithm>
#include <cmath>
#include <utility>

#include "node/request_table.h"

namespace hingelink::node {

using hingelink::Outcome;

void RequestTable::Do(const hingelink::Start& action) {
  const auto it = entries_.find(action.id);
  if (it == entries_.end() || it->second.running) return;
  if (it->second.key && !keys_.Start(*it->second.key, action.id)) {
    // Guards rule 2 where the key could not be kept, or has run: this try never does.
    events_.emplace_back(hingelink::Finished{action.id, Outcome::kNotStarted, 0});
    Answer(it, NotRun(it->second));
    Leave(it);
    return;
  }
  it->second.running = true;
  if (it->second.key) key_changed_(*it->second.key);
  SendSpawn(it->second);
}

void RequestTable::Do(const hingelink::Reject& action) {
  const auto it = entries_.find(action.id);
  if (it == entries_.end()) return;
  // Guards the promise of a refusal.
  if (it->second.running) {
    Answer(it, Failed());
    return;
  }
  FinalAnswer answer = NotRun(it->second);
  if (answer.verdict == core::Verdict::kRejected && action.retry_after_ms > 0) {
    answer.retry_after = std::chrono::milliseconds(std::llround(std::ceil(action.retry_after_ms)));
  }
  answer.no_other_server = answer.verdict == core::Verdict::kRejected && action.no_other_server;
  Answer(it, answer);
  Leave(it);
}

void RequestTable::Do(const hingelink::Fail& action) {
  const auto it = entries_.find(action.id);
  if (it == entries_.end()) return;
  Answer(it, Failed());
  if (!it->second.running) Leave(it);
}

bool RequestTable::Shares(const Entry& entry) const {
  return settings_.read_cache_ttl_ms > 0 && entry.subject != 0 &&
         entry.cls->idempotency == hingelink::Idempotency::kIdempotent;
}

FinalAnswer RequestTable::NotRun(const Entry& entry) const {
  return entry.key && keys_.MayHaveRun(*entry.key) ? Failed() : Rejected();
}

Millis RequestTable::Late() const {
  double longest = 0;
  for (const hingelink::RequestClass& c : settings_.classes) longest = std::max(longest, c.deadline_ms);
  return Millis(longest);
}

void RequestTable::Do(const hingelink::RetainKey& action) {
  const auto it = entries_.find(action.id);
  if (it == entries_.end()) return;
  const SteadyTime now = std::chrono::steady_clock::now();
  if (it->second.key) {
    if (keys_.Keep(*it->second.key, action.id, Millis(action.ttl_ms), Late(), now))
      key_changed_(*it->second.key);
  } else if (Shares(it->second)) {
    reads_.Keep({it->second.cls->id, it->second.subject}, action.id, now, Millis(action.ttl_ms));
  }
}

void RequestTable::Do(const hingelink::ReleaseKey& action) {
  if (const std::optional<IdempotencyKey> key = keys_.Drop(action.id)) {
    key_changed_(*key);
  } else {
    reads_.Drop(action.id);
  }
}

void RequestTable::Do(const hingelink::Replay& action) {
  const auto it = entries_.find(action.id);
  if (it == entries_.end() || it->second.running) return;
  if (it->second.key) {
    it->second.replaying = true;
    AnswerReplay(action.id);
    return;
  }
  const std::string* result = reads_.Result({it->second.cls->id, it->second.subject}, it->second.original);
  events_.emplace_back(hingelink::Finished{action.id, result ? Outcome::kOk : Outcome::kError, 0});
  Answer(it, result ? Served(*result) : Failed());
  Leave(it);
}

// Answers a repeat where what came of its key is known.
bool RequestTable::AnswerReplay(hingelink::RequestId id) {
  const auto it = entries_.find(id);
  if (it == entries_.end() || !it->second.replaying) return false;
  const std::string* result = nullptr;
  const KeyTable::Replay look = keys_.Look(*it->second.key, &result);
  if (look == KeyTable::Replay::kWait) return false;
  events_.emplace_back(hingelink::Finished{id, result ? Outcome::kOk : Outcome::kError, 0});
  if (result != nullptr) keys_.CountReplay();
  Answer(it, result ? Served(*result) : Failed());
  Leave(it);
  return true;
}

void RequestTable::AnswerRepeats(const IdempotencyKey& key) {
  for (const hingelink::RequestId id : keys_.Repeats(key)) AnswerReplay(id);
}

void RequestTable::Do(const hingelink::StartUpstreamCall& action) {
  const auto it = entries_.find(action.id);
  if (it == entries_.end() || calls_.Make(it->second.req, Millis(action.timeout_ms))) return;
  events_.emplace_back(hingelink::UpstreamCallFinished{action.id, Outcome::kConnectFailed, 0});
}

void RequestTable::Do(const hingelink::UseFallback& action) {
  const auto it = entries_.find(action.id);
  if (it != entries_.end()) calls_.Pass(it->second.req);
}

void RequestTable::SetOthers(Others others) {
  others_ = others;
  if (others == Others::kNotYet) return;
  for (auto& [arrival, times] : std::exchange(kept_back_, {})) {
    events_.emplace_back(arrival);
    arrivals_.push_back(times);
  }
}

void RequestTable::Hear(const KeyNews& news) {
  if (keys_.Hear(news, Late(), std::chrono::steady_clock::now())) AnswerRepeats(news.key);
}

void RequestTable::OthersEnded() {
  for (const IdempotencyKey& key : keys_.OthersEnded()) AnswerRepeats(key);
}

}  // namespace hingelink::node
