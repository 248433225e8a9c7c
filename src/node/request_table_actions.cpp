// RequestTable: execution of the policy's actions.
#include <algorithm>
#include <cmath>

#include "node/request_table.h"

namespace hingelink::node {

using hingelink::Outcome;

void RequestTable::Execute(const hingelink::Start& action) {
  const auto found = requests_.find(action.id);
  if (found == requests_.end() || found->second.running) return;
  Request& request = found->second;
  if (request.key && !keys_.Start(*request.key, action.id)) {
    // This attempt does not hold its key, or another attempt with the key may have run, so it must not run.
    events_.emplace_back(hingelink::Finished{action.id, Outcome::kNotStarted, 0});
    Answer(found, AnswerForNotRun(request));
    Remove(found);
    return;
  }
  request.running = true;
  if (request.key) key_changed_(*request.key);
  SendExecution(request);
}

void RequestTable::Execute(const hingelink::Reject& action) {
  const auto found = requests_.find(action.id);
  if (found == requests_.end()) return;
  // A rejection guarantees that the attempt never ran, so a running request fails instead.
  if (found->second.running) {
    Answer(found, Failed());
    return;
  }
  FinalAnswer answer = AnswerForNotRun(found->second);
  const bool rejected = answer.verdict == core::Verdict::kRejected;
  if (rejected && action.retry_after_ms > 0) {
    answer.retry_after = std::chrono::milliseconds(std::llround(std::ceil(action.retry_after_ms)));
  }
  answer.no_other_server = rejected && action.no_other_server;
  Answer(found, answer);
  Remove(found);
}

void RequestTable::Execute(const hingelink::Fail& action) {
  const auto found = requests_.find(action.id);
  if (found == requests_.end()) return;
  Answer(found, Failed());
  if (!found->second.running) Remove(found);
}

void RequestTable::Execute(const hingelink::RetainKey& action) {
  const auto found = requests_.find(action.id);
  if (found == requests_.end()) return;
  const Request& request = found->second;
  const SteadyTime now = SteadyTime::clock::now();
  const Millis ttl(action.ttl_ms);
  if (request.key) {
    if (keys_.Retain(*request.key, action.id, ttl, MaxReadDelay(), now)) key_changed_(*request.key);
  } else if (IsShareableRead(request)) {
    read_cache_.Retain({request.request_class->id, request.subject}, action.id, now, ttl);
  }
}

void RequestTable::Execute(const hingelink::ReleaseKey& action) {
  if (const std::optional<IdempotencyKey> key = keys_.Release(action.id)) {
    key_changed_(*key);
  } else {
    read_cache_.Release(action.id);
  }
}

void RequestTable::Execute(const hingelink::Replay& action) {
  const auto found = requests_.find(action.id);
  if (found == requests_.end() || found->second.running) return;
  Request& request = found->second;
  if (request.key) {
    request.awaiting_replay = true;
    AnswerReplay(action.id);
    return;
  }
  FinishReplay(found, read_cache_.Result({request.request_class->id, request.subject}, request.original));
}

void RequestTable::Execute(const hingelink::StartUpstreamCall& action) {
  const auto found = requests_.find(action.id);
  if (found == requests_.end()) return;
  if (upstream_calls_.Start(found->second.attempt_id, Millis(action.timeout_ms))) return;
  events_.emplace_back(hingelink::UpstreamCallFinished{action.id, Outcome::kConnectFailed, 0});
}

void RequestTable::Execute(const hingelink::UseFallback& action) {
  const auto found = requests_.find(action.id);
  if (found != requests_.end()) upstream_calls_.Skip(found->second.attempt_id);
}

bool RequestTable::IsShareableRead(const Request& request) const {
  return settings_.read_cache_ttl_ms > 0 && request.subject != 0 &&
         request.request_class->idempotency == hingelink::Idempotency::kIdempotent;
}

FinalAnswer RequestTable::AnswerForNotRun(const Request& request) const {
  return request.key && keys_.MayHaveRun(*request.key) ? Failed() : Rejected();
}

Millis RequestTable::MaxReadDelay() const {
  double longest_ms = 0;
  for (const hingelink::RequestClass& of_class : settings_.classes) {
    longest_ms = std::max(longest_ms, of_class.deadline_ms);
  }
  return Millis(longest_ms);
}

void RequestTable::AnswerReplay(hingelink::RequestId id) {
  const auto found = requests_.find(id);
  if (found == requests_.end() || !found->second.awaiting_replay) return;
  const KeyTable::Replay replay = keys_.FindReplay(*found->second.key);
  if (replay.status == KeyTable::Replay::Status::kPending) return;
  if (replay.result != nullptr) keys_.CountReplay();
  FinishReplay(found, replay.result);
}

void RequestTable::AnswerReplays(const IdempotencyKey& key) {
  for (const hingelink::RequestId id : keys_.WaitingAttempts(key)) AnswerReplay(id);
}

void RequestTable::FinishReplay(Requests::iterator at, const std::string* result) {
  const Outcome outcome = result != nullptr ? Outcome::kOk : Outcome::kError;
  events_.emplace_back(hingelink::Finished{at->first, outcome, 0});
  Answer(at, result != nullptr ? Served(*result) : Failed());
  Remove(at);
}

}  // namespace hingelink::node
