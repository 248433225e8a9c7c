#include "policy/request_completion.h"

namespace hingelink::policy {
namespace {

bool DependsOnOriginal(const OpenRequest& request) {
  return request.state == RequestState::kWaitingForOriginal || request.state == RequestState::kReplaying;
}

}  // namespace

void RequestCompletion::OnCallerDisconnected(const CallerDisconnected& disconnected, double now) {
  OpenRequest* request = parts_.requests.Find(disconnected.id);
  if (request == nullptr || request->caller_disconnected) return;
  request->caller_disconnected = true;
  if (request->state == RequestState::kQueued) return ReleaseQueued(disconnected.id, *request);
  if (DependsOnOriginal(*request)) return CloseDependent(disconnected.id, *request);
  // The request stays open until the Finished event of its execution. It needs no deadline until then,
  // because its caller needs no answer. If the execution waits for an upstream call, the host ends the
  // execution because the caller has disconnected.
  parts_.deadlines.Cancel(disconnected.id, *request);
  CancelUnneededRun(disconnected.id, *request);
  if (request->state == RequestState::kAwaitingCall)
    parts_.upstream_calls.Resume(disconnected.id, *request, now);
}

void RequestCompletion::ReleaseQueued(RequestId id, OpenRequest& request) {
  // Removed at once and not when its turn comes: a caller that sends and cancels requests while others wait
  // in front of them would fill the queue without reaching a limit.
  parts_.totals.ReleaseMemory(request);
  parts_.totals.RemoveQueuedWork(request);
  parts_.queue.Remove(id, request);
  parts_.admission.CloseUnexecuted(id, request);
}

void RequestCompletion::CloseDependent(RequestId id, const OpenRequest& request) {
  parts_.totals.ReleaseMemory(request);
  if (request.state == RequestState::kWaitingForOriginal) parts_.idempotency.OnWaiterClosed(id, request);
  parts_.requests.Close(id, request);
}

void RequestCompletion::OnFinished(const Finished& finished, double now) {
  OpenRequest* request = parts_.requests.Find(finished.id);
  if (request == nullptr || request->state == RequestState::kQueued ||
      request->state == RequestState::kWaitingForOriginal) {
    return;
  }
  if (request->state == RequestState::kReplaying) return CloseDependent(finished.id, *request);
  parts_.stall.OnFinished(now);
  parts_.upstream_calls.RemoveCall(finished.id, *request, now);
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
  if (DependsOnOriginal(request)) {
    // The request is failed, not rejected, because its original was or may yet be executed.
    parts_.actions.Emit(Fail{id});
    return CloseDependent(id, request);
  }
  const bool awaits_call = request.state == RequestState::kAwaitingCall;
  if (awaits_call && now < parts_.deadlines.AnswerBy(request))
    return parts_.upstream_calls.FallBackOrFail(id, request, now);
  if (awaits_call) parts_.upstream_calls.Resume(id, request, now);
  request.answered = true;
  parts_.actions.Emit(Fail{id});
  CancelUnneededRun(id, request);
}

void RequestCompletion::CancelUnneededRun(RequestId id, const OpenRequest& request) {
  const bool is_cancellable = !request.idempotency && parts_.classes.IsIdempotent(request);
  if (parts_.settings.can_cancel_runs && request.state == RequestState::kRunning && is_cancellable)
    parts_.actions.Emit(CancelRun{id});
}

}  // namespace hingelink::policy
