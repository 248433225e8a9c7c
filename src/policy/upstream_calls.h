// Decides for executions that have reached a call to the upstream which of them make the call, which continue
// with a fallback, and whether a failed call is retried.
//
// States of an execution: running -> awaiting call -> in call -> running | awaiting call; awaiting call ->
// running (by a fallback) | failed. A call of a request that is not idempotent is retried only if the call is
// proven never to have run.
#ifndef HINGELINK_POLICY_UPSTREAM_CALLS_H_
#define HINGELINK_POLICY_UPSTREAM_CALLS_H_

#include <compare>
#include <cstdint>
#include <set>

#include "hingelink/server_policy.h"
#include "policy/action_sink.h"
#include "policy/class_table.h"
#include "policy/deadline_queue.h"
#include "policy/load_totals.h"
#include "policy/open_requests.h"
#include "policy/stall_detector.h"
#include "policy/upstream_call_limiter.h"

namespace hingelink::policy {

// Not thread-safe. All references must outlive the object. Times in ms.
class UpstreamCalls {
 public:
  struct Parts {
    const Settings& settings;
    const ClassTable& classes;
    OpenRequests& requests;
    DeadlineQueue& deadlines;
    LoadTotals& totals;
    StallDetector& stall;
    ActionSink& actions;
  };
  UpstreamCalls(const Parts& parts, std::uint64_t seed) : parts_(parts), limiter_(parts.settings, seed) {}

  // To be called when the settings and the class table have changed.
  void Reconfigure();

  void OnRequested(const UpstreamCallRequested& requested, double now);
  void OnFinished(const UpstreamCallFinished& finished, double now);
  // Starts waiting calls up to the limit on calls in flight. To be called once per step.
  void StartWaiting(double now);

  // Ends the wait of an execution for its call: with the fallback if the class has one and the request is
  // unanswered, else with an error.
  void FallBackOrFail(RequestId id, OpenRequest& request, double now);
  // Removes the call of an execution and sets the state of the execution to running.
  void Resume(RequestId id, OpenRequest& request, double now);
  // Removes the call of an execution; a call in flight counts as abandoned. Does nothing if the execution has
  // not reached a call.
  void RemoveCall(RequestId id, OpenRequest& request, double now);

  // Calls `visit(id)` for each waiting call, in order.
  template <typename Visitor>
  void ForEachWaiting(const Visitor& visit) const {
    for (const WaitingCall& call : waiting_) visit(call.id);
  }

  // Whether a call that is requested now is not expected to start in time.
  bool IsSaturated() const { return limiter_.IsSaturated(waiting_.size()); }

 private:
  // A waiting call. Calls are ordered by descending gain in weight over the fallback, then by earliest
  // objective. The gain depends on the settings, so that Reconfigure() orders all calls anew.
  struct WaitingCall {
    double negative_gain = 0;  // Negated, so that the highest gain comes first.
    double objective = 0;
    RequestId id = 0;
    auto operator<=>(const WaitingCall&) const = default;
  };
  WaitingCall PositionOf(RequestId id, const OpenRequest& request) const;
  bool HasFallback(const OpenRequest& request) const;
  // Queues the call of an execution. If too many calls wait, the least valuable waiting call falls back.
  void QueueCall(RequestId id, OpenRequest& request, double now);
  bool MayRetry(const OpenRequest& request, Outcome outcome) const;
  // The latest end of the upstream call that leaves enough time to finish the execution before the latency
  // objective.
  double LastUsefulCallEnd(const OpenRequest& request) const;

  Parts parts_;
  UpstreamCallLimiter limiter_;
  std::set<WaitingCall> waiting_;
};

}  // namespace hingelink::policy

#endif  // HINGELINK_POLICY_UPSTREAM_CALLS_H_
