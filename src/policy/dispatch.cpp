#include "policy/dispatch.h"

namespace hingelink::policy {

void Dispatch::StartQueued(double now) {
  for (;;) {
    RejectNotWorthStarting(now);
    if (!parts_.limiter.CanStart(parts_.totals.running_with_sibling())) return;
    const auto lane =
        parts_.queue.NextLane([this](std::size_t class_index) { return IsBlockedByUpstream(class_index); });
    if (!lane) return;
    const RequestId id = parts_.queue.First(*lane);
    OpenRequest& request = parts_.requests.Get(id);
    if (!parts_.totals.CanStart(request)) return;
    StartExecution(id, request);
  }
}

void Dispatch::RejectNotWorthStarting(double now) {
  for (std::size_t position = 0; position < parts_.queue.lane_count(); ++position) {
    const StartQueue::Lane lane = StartQueue::LaneAt(position);
    while (!parts_.queue.IsEmpty(lane)) {
      const RequestId id = parts_.queue.First(lane);
      OpenRequest& request = parts_.requests.Get(id);
      if (!IsNotWorthStarting(request, now)) break;
      parts_.admission.RejectRequest(id, request);
    }
  }
}

bool Dispatch::IsNotWorthStarting(const OpenRequest& request, double now) const {
  if (request.caller_disconnected || parts_.stall.is_stalled()) return true;
  if (!parts_.busy_gate.is_busy()) return false;
  // On a busy server, executing a request that misses its latency objective would take a core from a request
  // that can still meet its objective.
  return request.over_quota || now + parts_.classes.RequiredRunMs(request) > request.objective;
}

bool Dispatch::IsBlockedByUpstream(std::size_t class_index) const {
  const RequestClass& config = parts_.classes[class_index].config;
  return config.may_call_upstream && config.fallback_weight_fraction <= 0 &&
         parts_.upstream_calls.IsSaturated();
}

void Dispatch::StartExecution(RequestId id, OpenRequest& request) {
  parts_.queue.Remove(id, request);
  parts_.totals.MoveToRunning(request);
  request.state = RequestState::kRunning;
  parts_.actions.Emit(Start{id});
  parts_.classes.CountStarted(request.class_index);
  parts_.idempotency.OnStarted(request);
}

}  // namespace hingelink::policy
