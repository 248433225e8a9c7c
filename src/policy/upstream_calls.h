// Executions that have reached a call to the upstream: which of them may make it, which goes on without it,
// and when a call is tried again.
//
// States of an execution: running -> awaiting call -> in call -> running | awaiting call; awaiting call ->
// running (by a fallback) | failed. A call of a request that is not idempotent is only tried again if it is
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

  // The settings have changed.
  void Reconfigure() { limiter_.Reconfigure(); }

  void OnRequested(const UpstreamCallRequested& requested, double now);
  void OnFinished(const UpstreamCallFinished& finished, double now);
  // Starts as many waiting calls as may be in flight. To be called once per step.
  void StartWaiting(double now);

  // Ends the wait of an execution for its call: with the poorer answer if that has a weight, else with an
  // error.
  void GiveUp(RequestId id, OpenRequest& request, double now);
  // Lets an execution that waits for its call go on.
  void Resume(RequestId id, OpenRequest& request, double now);
  // Forgets the call of an execution that ends; one in flight is abandoned. Does nothing if it is at no call.
  void Leave(RequestId id, OpenRequest& request, double now);

  // Whether a call that is requested now has no prospect of starting in time.
  bool IsSaturated() const { return limiter_.IsSaturated(waiting_.size()); }

 private:
  // The call whose success gains most comes first.
  struct WaitingCall {
    double negative_gain = 0;
    double objective = 0;
    RequestId id = 0;
    auto operator<=>(const WaitingCall&) const = default;
  };
  WaitingCall PositionOf(RequestId id, const OpenRequest& request) const;
  bool HasFallback(const OpenRequest& request) const;
  void Await(RequestId id, OpenRequest& request, double now);
  bool MayRetry(const OpenRequest& request, Outcome outcome) const;
  // Until when its call may last, so that the rest of the execution fits before the latency objective.
  double LastUsefulCallEnd(const OpenRequest& request) const;

  Parts parts_;
  UpstreamCallLimiter limiter_;
  std::set<WaitingCall> waiting_;
};

}  // namespace hingelink::policy

#endif  // HINGELINK_POLICY_UPSTREAM_CALLS_H_
