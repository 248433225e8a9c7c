#include "node/request_table.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace hingelink::node {
namespace {

using hingelink::Outcome;

// Reported for a remaining wait that is over, because the policy interprets 0 as unknown.
constexpr Millis kMinRemainingWait{0.001};

}  // namespace

RequestTable::RequestTable(const hingelink::Settings& settings, FrontEnd& front, Metrics& metrics,
                           StartExecution start_execution, UpstreamCalls::Links upstream,
                           KeyTable::Limits key_limits, KeyChanged key_changed)
    : settings_(settings),
      front_(front),
      metrics_(metrics),
      start_execution_(std::move(start_execution)),
      read_cache_(key_limits.max_result_bytes),
      keys_(key_limits),
      key_changed_(std::move(key_changed)),
      upstream_calls_(std::move(upstream)) {
  Reconfigure();
}

void RequestTable::Reconfigure() {
  const RequestClasses previous = classes_;
  classes_.Reconfigure(settings_);
  ReassignDeferred(previous);
}

void RequestTable::OnRequest(const IncomingRequest& incoming) {
  RequestClasses::ClassPtr request_class = classes_.Find(incoming.class_name);
  const std::optional<std::uint16_t> tenant = classes_.FindTenant(std::string(incoming.tenant));
  const bool is_keyed = request_class && request_class->idempotency == hingelink::Idempotency::kKeyed;
  if (incoming.idempotency_key && (!is_keyed || !tenant) && AnswerFromKey(incoming, request_class)) return;
  if (AnswerAtOnce(incoming, request_class, tenant)) return;
  const hingelink::RequestId id = ++last_id_;
  const Request& request = AddRequest(id, incoming, std::move(request_class));
  metrics_.CountRequest(incoming.caller);
  AddArrival(id, request, incoming, *tenant);
}

bool RequestTable::AnswerAtOnce(const IncomingRequest& incoming, const RequestClasses::ClassPtr& found_class,
                                std::optional<std::uint16_t> tenant) {
  if (!found_class) {
    front_.Deliver(incoming.reply_to, Rejected());
    return true;
  }
  const bool lacks_key =
      found_class->idempotency == hingelink::Idempotency::kKeyed && !incoming.idempotency_key;
  const bool lacks_wait = settings_.callers_send_remaining_wait && !incoming.remaining_wait;
  if (lacks_key || lacks_wait || !tenant) {
    front_.Deliver(incoming.reply_to, Rejected(true));
    return true;
  }
  // The pool identifies executions by attempt id, so it cannot distinguish a second execution from the first.
  // The answer is a failure, because a rejection guarantees that no attempt with this id ran.
  if (by_attempt_.contains(incoming.request_id) || recent_attempts_.Contains(incoming.request_id)) {
    front_.Deliver(incoming.reply_to, Failed());
    return true;
  }
  return false;
}

const RequestTable::Request& RequestTable::AddRequest(hingelink::RequestId id,
                                                      const IncomingRequest& incoming,
                                                      RequestClasses::ClassPtr request_class) {
  Request& request = requests_[id];
  request.reply_to = incoming.reply_to;
  request.attempt_id = incoming.request_id;
  request.gateway = incoming.caller;
  request.request_class = std::move(request_class);
  if (incoming.movable_body != nullptr) {
    request.body = std::move(*incoming.movable_body);
  } else {
    request.body = incoming.body;
  }
  request.subject = incoming.subject;
  if (request.request_class->idempotency == hingelink::Idempotency::kKeyed)
    request.key = incoming.idempotency_key;
  if (IsShareableRead(request)) {
    request.original =
        read_cache_.FindShareable({request.request_class->id, request.subject}, SteadyTime::clock::now(),
                                  Millis(settings_.read_cache_ttl_ms),
                                  [this](hingelink::RequestId open) { return requests_.contains(open); });
  }
  by_attempt_[incoming.request_id] = id;
  awaiting_answer_[incoming.reply_to] = id;
  return request;
}

void RequestTable::AddArrival(hingelink::RequestId id, const Request& request,
                              const IncomingRequest& incoming, std::uint16_t tenant) {
  hingelink::Arrival arrival;
  arrival.id = id;
  arrival.original = request.original;
  arrival.reserved_kb = incoming.reserved_kb;
  arrival.expected_work_ms = incoming.expected_work.count();
  arrival.subject = incoming.subject;
  arrival.rank = incoming.rank;
  arrival.caller = incoming.caller;
  arrival.tenant = tenant;
  arrival.is_retry = incoming.is_retry;
  arrival.request_class = request.request_class->index;
  events_.emplace_back(arrival);
  const auto wait =
      std::chrono::duration_cast<UnixTime::duration>(incoming.remaining_wait.value_or(Millis(0)));
  arrival_times_.push_back({incoming.arrived_at, incoming.arrived_at + wait});
}

std::vector<hingelink::Event> RequestTable::TakeEvents(UnixTime now) {
  FailExpiredDeferred(now);
  FailExpiredReplays(now);
  auto times = arrival_times_.begin();
  std::erase_if(events_, [&](hingelink::Event& event) {
    auto* arrival = std::get_if<hingelink::Arrival>(&event);
    return arrival != nullptr && !CompleteArrival(*arrival, *times++, now);
  });
  arrival_times_.clear();
  return std::exchange(events_, {});
}

bool RequestTable::CompleteArrival(hingelink::Arrival& arrival, const ArrivalTimes& times, UnixTime now) {
  const auto found = requests_.find(arrival.id);
  if (found == requests_.end()) return false;
  if (MustRunOnce(found->second) && sibling_keys_ == SiblingKeys::kPending) {
    deferred_.emplace_back(arrival, times);
    return false;
  }
  // The predecessor has reported the attempt since it arrived here.
  if (recent_attempts_.Contains(found->second.attempt_id)) {
    FailAndRemove(found);
    return false;
  }
  // An arrival time in the future is treated as the current time.
  const UnixTime arrived = std::min(now, times.arrived);
  if (found->second.key && !ResolveKey(found->first, arrival, arrived, now)) return false;
  found->second.known_to_policy = true;
  const Millis wait = times.expires - times.arrived;
  const Millis read_delay = now - arrived;
  arrival.read_delay_ms = read_delay.count();
  if (settings_.callers_send_remaining_wait) {
    arrival.remaining_wait_ms = std::max(kMinRemainingWait, wait - read_delay).count();
  }
  return true;
}

void RequestTable::OnCallerDisconnected(StreamAddress from) {
  const auto awaiting = awaiting_answer_.find(from);
  if (awaiting == awaiting_answer_.end()) return;
  const auto found = requests_.find(awaiting->second);
  awaiting_answer_.erase(awaiting);
  Request& request = found->second;
  request.needs_answer = false;
  // The arrival of a request that is cancelled before it reaches the policy is dropped, so that requests
  // cancelled right after they are sent cannot evict others.
  if (request.known_to_policy) events_.emplace_back(hingelink::CallerDisconnected{found->first});
  if (!request.running) Remove(found);
}

void RequestTable::OnExecutionFinished(const ExecutionResult& execution) {
  const auto found = FindByAttempt(execution.attempt_id);
  if (found == requests_.end() || !found->second.running) return;
  const hingelink::RequestId id = found->first;
  const Request& request = found->second;
  const bool succeeded = execution.outcome == Outcome::kOk;
  events_.emplace_back(hingelink::Finished{id, execution.outcome, execution.elapsed.count()});
  if (succeeded) {
    read_cache_.OnSucceeded({request.request_class->id, request.subject}, id, SteadyTime::clock::now(),
                            execution.result);
    Answer(found, Served(execution.result));
  } else if (execution.outcome == Outcome::kNotStarted) {
    // The last command did not start the execution, but an earlier one may have.
    Answer(found, request.starts > 1 ? Failed() : Rejected());
  } else {
    Answer(found, Failed());
  }
  upstream_calls_.OnExecutionFinished(execution.attempt_id);
  const std::optional<IdempotencyKey> key = request.key;
  if (key) keys_.Finish(*key, id, succeeded, execution.result);
  Remove(found);
  if (!key) return;
  AnswerReplays(*key);
  key_changed_(*key);
}

void RequestTable::OnUpstreamCallRequested(std::uint64_t attempt_id, std::uint64_t notice_number,
                                           std::string_view body) {
  const auto found = FindByAttempt(attempt_id);
  if (found == requests_.end() || !found->second.running) return;
  upstream_calls_.OnRequested(attempt_id, notice_number, body);
  events_.emplace_back(hingelink::UpstreamCallRequested{found->first});
}

void RequestTable::OnUpstreamCallFinished(std::uint64_t attempt_id, Outcome outcome, Millis elapsed,
                                          std::string_view reply) {
  const auto found = FindByAttempt(attempt_id);
  if (found == requests_.end() || !upstream_calls_.OnFinished(attempt_id, outcome, reply)) return;
  events_.emplace_back(hingelink::UpstreamCallFinished{found->first, outcome, elapsed.count()});
}

void RequestTable::OnExecutionUnknown(std::uint64_t attempt_id) {
  OnExecutionFinished(
      {.attempt_id = attempt_id, .outcome = Outcome::kNotStarted, .elapsed = Millis(0), .result = {}});
}

bool RequestTable::RestartExecution(std::uint64_t attempt_id) {
  const auto found = FindByAttempt(attempt_id);
  if (found == requests_.end()) return false;
  Request& request = found->second;
  if (!request.running || !request.needs_answer) return false;
  SendExecution(request);
  return true;
}

void RequestTable::Resend(const std::function<bool(CommandMark)>& processed) {
  upstream_calls_.Resend(processed);
  std::vector<hingelink::RequestId> unread;
  for (const auto& [id, request] : requests_) {
    if (request.running && !processed(request.mark)) unread.push_back(id);
  }
  std::sort(unread.begin(), unread.end());
  for (const hingelink::RequestId id : unread) {
    Request& request = requests_.at(id);
    if (request.needs_answer || request.starts > 0) {
      // Sent even if the caller has disconnected: the pool then reports how the execution ended, or that it
      // was never started, and the policy stops counting the execution as running.
      SendExecution(request);
    } else {
      OnExecutionUnknown(request.attempt_id);
    }
  }
}

void RequestTable::SendExecution(Request& request) {
  request.mark = start_execution_(request.attempt_id, request.request_class->name, request.body);
  // Sending the command again does not count as a new execution.
  if (request.mark == kNeverSent || request.starts++ > 0) return;
  metrics_.CountExecution();
  attempt_started_(request.attempt_id);
}

void RequestTable::ForEachStartedAttempt(const std::function<void(std::uint64_t)>& visit) const {
  for (const std::uint64_t id : recent_attempts_.ids()) visit(id);
  for (const auto& [id, request] : requests_) {
    if (request.starts > 0) visit(request.attempt_id);
  }
}

RequestTable::InFlightCounts RequestTable::CountInFlight() const {
  InFlightCounts counts;
  for (const auto& [id, request] : requests_) {
    InFlightCounts::Class& of_class = counts.classes[request.request_class->name];
    ++(request.running ? of_class.running : of_class.queued);
    if (request.needs_answer) ++counts.open_by_gateway[request.gateway];
  }
  return counts;
}

void RequestTable::AnswerAll() {
  std::vector<hingelink::RequestId> ids;
  for (const auto& [reply_to, id] : awaiting_answer_) ids.push_back(id);
  std::sort(ids.begin(), ids.end());
  for (const hingelink::RequestId id : ids) {
    const auto found = requests_.find(id);
    Answer(found, found->second.running ? Failed() : AnswerForNotRun(found->second));
  }
}

void RequestTable::Answer(Requests::iterator at, const FinalAnswer& answer) {
  Request& request = at->second;
  if (!request.needs_answer) return;
  request.needs_answer = false;
  awaiting_answer_.erase(request.reply_to);
  metrics_.CountAnswer(request.gateway, answer.verdict);
  front_.Deliver(request.reply_to, answer);
}

void RequestTable::Remove(Requests::iterator at) {
  const Request& request = at->second;
  const std::uint64_t attempt_id = request.attempt_id;
  if (request.in_key_table) keys_.RemoveAttempt(*request.key, at->first);
  // An attempt that never started may come again. If it were remembered, a flood of such attempts would
  // displace those that were executed.
  if (request.starts > 0) recent_attempts_.Add(attempt_id);
  by_attempt_.erase(attempt_id);
  requests_.erase(at);
}

void RequestTable::FailAndRemove(Requests::iterator at) {
  Answer(at, Failed());
  Remove(at);
}

RequestTable::Requests::iterator RequestTable::FindByAttempt(std::uint64_t attempt_id) {
  const auto found = by_attempt_.find(attempt_id);
  return found == by_attempt_.end() ? requests_.end() : requests_.find(found->second);
}

}  // namespace hingelink::node
