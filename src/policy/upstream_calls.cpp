#include "policy/upstream_calls.h"

#include <algorithm>
#include <utility>

namespace hingelink::policy {
namespace {

// Most attempts of one call. The attempts are spread over time, because a rejected attempt still counts as in
// flight for Settings::abandoned_call_ms.
constexpr int kMaxCallAttempts = 12;

bool IsProvenNotRun(Outcome outcome) {
  return outcome == Outcome::kFull || outcome == Outcome::kConnectFailed;
}

}  // namespace

void UpstreamCalls::Reconfigure() {
  limiter_.Reconfigure();
  std::set<WaitingCall> reordered;
  for (const WaitingCall& call : waiting_)
    reordered.insert(PositionOf(call.id, parts_.requests.Get(call.id)));
  waiting_ = std::move(reordered);
}

void UpstreamCalls::OnRequested(const UpstreamCallRequested& requested, double now) {
  OpenRequest* request = parts_.requests.Find(requested.id);
  if (request == nullptr || request->state != RequestState::kRunning) return;
  if (request->answered) {
    // The request is already answered, so the call would be of no use.
    parts_.actions.Emit(Fail{requested.id});
    return;
  }
  parts_.stall.OnProgress(now);
  request->call_requested_at = now;
  request->call_attempts = 0;
  parts_.totals.EnterCall();
  QueueCall(requested.id, *request, now);
}

void UpstreamCalls::OnFinished(const UpstreamCallFinished& finished, double now) {
  OpenRequest* request = parts_.requests.Find(finished.id);
  if (request == nullptr || request->state != RequestState::kInCall) return;
  limiter_.OnEnded();
  limiter_.OnOutcome(finished);
  if (finished.outcome != Outcome::kOk && finished.outcome != Outcome::kError) limiter_.OnAbandoned(now);
  request->state = RequestState::kAwaitingCall;
  if (finished.outcome == Outcome::kOk) {
    Resume(finished.id, *request, now);
    if (!request->answered && !request->caller_disconnected)
      parts_.deadlines.ScheduleAnswer(finished.id, *request);
    return;
  }
  const bool may_retry = MayRetry(*request, finished.outcome);
  if (may_retry && ++request->call_attempts < kMaxCallAttempts && !request->answered) {
    QueueCall(finished.id, *request, now);
  } else {
    FallBackOrFail(finished.id, *request, now);
  }
}

bool UpstreamCalls::MayRetry(const OpenRequest& request, Outcome outcome) const {
  if (IsProvenNotRun(outcome)) return true;
  return parts_.classes.IsIdempotent(request) && outcome != Outcome::kTimeout;
}

void UpstreamCalls::StartWaiting(double now) {
  limiter_.BeginStep(now);
  while (!waiting_.empty() && limiter_.MayStart()) {
    const RequestId id = waiting_.begin()->id;
    OpenRequest& request = parts_.requests.Get(id);
    waiting_.erase(waiting_.begin());
    const bool has_fallback = HasFallback(request);
    const double end_by = has_fallback ? LastUsefulCallEnd(request) : request.deadline;
    const double timeout_ms = std::min(end_by - now, limiter_.MaxCallMs());
    if (has_fallback && timeout_ms <= 0) {
      FallBackOrFail(id, request, now);
      continue;
    }
    request.state = RequestState::kInCall;
    limiter_.OnStarted();
    if (!request.caller_disconnected) parts_.deadlines.ScheduleAnswer(id, request);
    parts_.actions.Emit(StartUpstreamCall{id, std::max(parts_.settings.min_batch_interval_ms, timeout_ms)});
  }
  limiter_.EndStep();
}

void UpstreamCalls::FallBackOrFail(RequestId id, OpenRequest& request, double now) {
  Resume(id, request, now);
  if (HasFallback(request) && !request.answered) {
    if (!request.caller_disconnected) parts_.deadlines.ScheduleAnswer(id, request);
    parts_.actions.Emit(UseFallback{id});
    return;
  }
  request.answered = true;
  parts_.deadlines.Cancel(id, request);
  parts_.actions.Emit(Fail{id});
}

void UpstreamCalls::Resume(RequestId id, OpenRequest& request, double now) {
  RemoveCall(id, request, now);
  request.state = RequestState::kRunning;
}

void UpstreamCalls::RemoveCall(RequestId id, OpenRequest& request, double now) {
  const bool is_in_call = request.state == RequestState::kInCall;
  if (request.state != RequestState::kAwaitingCall && !is_in_call) return;
  waiting_.erase(PositionOf(id, request));
  if (is_in_call) {
    limiter_.OnEnded();
    limiter_.OnAbandoned(now);
  }
  request.time_in_calls_ms += now - request.call_requested_at;
  parts_.totals.LeaveCall();
}

void UpstreamCalls::QueueCall(RequestId id, OpenRequest& request, double now) {
  request.state = RequestState::kAwaitingCall;
  waiting_.insert(PositionOf(id, request));
  if (!request.caller_disconnected) {
    const double answer_by = parts_.deadlines.AnswerBy(request);
    const double wait_until =
        HasFallback(request) ? std::min(answer_by, LastUsefulCallEnd(request)) : answer_by;
    parts_.deadlines.Schedule(id, request, wait_until);
  }
  if (!IsSaturated()) return;
  // Too many calls wait. The request that gains least by its call continues without the call if it has a
  // fallback.
  const RequestId least = waiting_.rbegin()->id;
  OpenRequest& least_request = parts_.requests.Get(least);
  if (HasFallback(least_request)) FallBackOrFail(least, least_request, now);
}

bool UpstreamCalls::HasFallback(const OpenRequest& request) const {
  return parts_.classes.ConfigOf(request).fallback_weight_fraction > 0;
}

UpstreamCalls::WaitingCall UpstreamCalls::PositionOf(RequestId id, const OpenRequest& request) const {
  const RequestClass& config = parts_.classes.ConfigOf(request);
  return {-config.priority_weight * (1 - config.fallback_weight_fraction), request.objective, id};
}

double UpstreamCalls::LastUsefulCallEnd(const OpenRequest& request) const {
  return request.objective - parts_.classes.RequiredCoreTimeMs(request);
}

}  // namespace hingelink::policy
