#include "policy/request_completion.h"

namespace hingelink::policy {
namespace {

bool IsSharing(const OpenRequest& request) {
  return request.state == RequestState::kWaitingForOriginal || request.state == RequestState::kReplaying;
}

}  // namespace

void RequestCompletion::OnCallerDisconnected(const CallerDisconnected& disconnected, double now) {
  OpenRequest* request = parts_.requests.Find(disconnected.id);
  if (request == nullptr || request->caller_disconnected) return;
  request->caller_disconnected = true;
  if (request->state == RequestState::kQueued) return ReleaseQueued(disconnected.id, *request);
  if (IsSharing(*request)) return CloseSharing(disconnected.id, *request);
  // An execution ends by its own Finished event; the host drops one that waits for its call.
  parts_.deadlines.Cancel(disconnected.id, *request);
  CancelUseless(disconnected.id, *request);
  if (request->state == RequestState::kAwaitingCall)
    parts_.upstream_calls.Resume(disconnected.id, *request, now);
}

void RequestCompletion::ReleaseQueued(RequestId id, OpenRequest& request) {
  // The host has dropped it, so its memory is free. It stays in the queue until the check at its start.
  parts_.totals.ReleaseMemory(request);
  parts_.totals.RemoveQueuedWork(request);
  parts_.deadlines.Cancel(id, request);
  if (!request.idempotency) return;
  parts_.queue.Remove(id, request);
  parts_.admission.CloseNeverRan(id, request);
}

void RequestCompletion::CloseSharing(RequestId id, const OpenRequest& request) {
  parts_.totals.ReleaseMemory(request);
  parts_.requests.Close(id, request);
}

void RequestCompletion::OnFinished(const Finished& finished, double now) {
  OpenRequest* request = parts_.requests.Find(finished.id);
  if (request == nullptr || request->state == RequestState::kQueued ||
      request->state == RequestState::kWaitingForOriginal) {
    return;
  }
  if (request->state == RequestState::kReplaying) return CloseSharing(finished.id, *request);
  parts_.stall.OnFinished(now);
  parts_.upstream_calls.Leave(finished.id, *request, now);
  parts_.totals.FinishRunning(*request);
  const bool succeeded = finished.outcome == Outcome::kOk;
  if (succeeded) parts_.classes.Learn(*request, finished.elapsed_ms);
  parts_.idempotency.OnFinished(finished.id, *request, succeeded && !request->answered, now,
                                parts_.admission);
  parts_.requests.Close(finished.id, *request);
}

void RequestCompletion::AnswerExpired(double now) {
  while (const auto id = parts_.deadlines.PopExpired(now))
    AnswerExpiredRequest(*id, parts_.requests.Get(*id), now);
}

void RequestCompletion::AnswerExpiredRequest(RequestId id, OpenRequest& request, double now) {
  if (request.state == RequestState::kQueued) return parts_.admission.RejectRequest(id, request);
  if (IsSharing(request)) {
    // Not rejected: its original may yet run, or ran.
    parts_.actions.Emit(Fail{id});
    return CloseSharing(id, request);
  }
  const bool awaits_call = request.state == RequestState::kAwaitingCall;
  if (awaits_call && now < parts_.deadlines.AnswerBy(request))
    return parts_.upstream_calls.GiveUp(id, request, now);
  if (awaits_call) parts_.upstream_calls.Resume(id, request, now);
  request.answered = true;
  parts_.actions.Emit(Fail{id});
  CancelUseless(id, request);
}

void RequestCompletion::CancelUseless(RequestId id, const OpenRequest& request) {
  const bool is_alone = !request.idempotency && parts_.classes.IsIdempotent(request);
  if (parts_.settings.can_cancel_runs && request.state == RequestState::kRunning && is_alone)
    parts_.actions.Emit(CancelRun{id});
}

}  // namespace hingelink::policy
