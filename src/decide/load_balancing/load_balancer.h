// Chooses the endpoint for each request of a node. Many nodes share many endpoints, and each node sees only
// its own requests. docs/design/spread.md compares the policies.
//
// Guarantees:
// - Only listed and connected endpoints are chosen.
// - At most LoadBalancerOptions::max_ejected_fraction of the active endpoints are ejected. If no active
//   endpoint is available, all connected active endpoints are candidates.
// - While requests are started or Tick() is called, each active endpoint receives a request or a poll at
//   least every LoadBalancerOptions::max_unprobed_time.
// - Retries are limited to a fraction of the requests.
//
// Memory: one record per listed endpoint, and LoadBalancerOptions::max_recent_choices choices.
#ifndef HINGELINK_DECIDE_LOAD_BALANCING_LOAD_BALANCER_H_
#define HINGELINK_DECIDE_LOAD_BALANCING_LOAD_BALANCER_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "decide/load_balancing/active_set_scaler.h"
#include "decide/load_balancing/choice.h"
#include "decide/load_balancing/endpoint.h"
#include "decide/load_balancing/endpoint_selector.h"
#include "decide/load_balancing/endpoint_set.h"
#include "decide/load_balancing/latency_tracker.h"
#include "decide/load_balancing/load_balancer_counters.h"
#include "decide/load_balancing/load_balancer_options.h"
#include "decide/load_balancing/load_estimator.h"
#include "decide/load_balancing/load_poller.h"
#include "decide/load_balancing/outlier_detector.h"
#include "decide/load_balancing/policy.h"
#include "decide/load_balancing/request_budget.h"
#include "decide/load_balancing/slow_start.h"
#include "decide/load_balancing/subsetting.h"
#include "decide/milliseconds.h"
#include "decide/random_source.h"

namespace hingelink::decide {

// The state of an endpoint as this node sees it, for operators.
struct EndpointSnapshot {
  std::string name;
  std::string zone;
  double capacity = 1;
  EndpointState state = EndpointState::kDisconnected;
  EjectionCause ejection_cause = EjectionCause::kNone;
  bool is_active = false;
  bool is_expansion = false;
  std::size_t sharing_nodes = 0;      // Nodes that have the endpoint in their subset; at least 1.
  std::uint64_t local_in_flight = 0;  // Requests of this node.
  std::uint64_t requests = 0;
  std::uint64_t errors = 0;
  std::uint64_t not_executed = 0;
  std::uint64_t ejections = 0;
  double reported_load = -1;          // Requests in flight of all nodes; below 0: never reported.
  Milliseconds report_age{-1};        // Below 0: never reported.
  Milliseconds last_request_age{-1};  // Below 0: no request.
  double estimated_load = 0;          // Estimated requests in flight of all nodes; choices use it.
  double latency_ratio = 1;           // Relative to all endpoints.
  double mean_latency_ms = 0;
  Milliseconds ejection_time_left{0};
};

// Times are on the caller's monotonic clock. Not thread-safe.
class LoadBalancer {
 public:
  // `self`, `zone`: name and zone of this node. `random`: source of all random numbers. `subset`: computes
  // the subset of this node. If it is empty, AssignSubsets() is used; callers that simulate many nodes pass a
  // function so that they compute the assignment only once.
  LoadBalancer(const LoadBalancerOptions& options, std::string self, std::string zone, RandomSource random,
               SubsetFunction subset = {});
  LoadBalancer(const LoadBalancer&) = delete;
  LoadBalancer& operator=(const LoadBalancer&) = delete;

  // ---- Endpoints and nodes ----

  // Replaces the list of the endpoints that this node may use. New endpoints start disconnected. An endpoint
  // that is no longer listed is removed by this call or a later one, once no request of this node is in
  // flight there.
  void SetEndpoints(Milliseconds now, const std::vector<SubsetEndpoint>& endpoints);
  // Replaces the list of the nodes that share the endpoints. This node is added if it is missing.
  void SetNodes(Milliseconds now, std::vector<SubsetNode> nodes);
  void SetConnected(Milliseconds now, EndpointId id, bool is_connected);
  // Returns kNoEndpoint if no endpoint has this name.
  [[nodiscard]] EndpointId FindEndpoint(const std::string& name) const { return endpoints_.Find(name); }

  // ---- Requests ----

  // Returns the endpoint for a request, or nothing if no endpoint is connected. The request counts as in
  // flight there until OnRequestFinished() or OnRequestAbandoned(). For a retry, `excluded` is the endpoint
  // that did not execute the request; that endpoint is chosen only if no other is connected.
  [[nodiscard]] std::optional<Choice> ChooseEndpoint(Milliseconds now, const RequestTraits& request,
                                                     EndpointId excluded = kNoEndpoint);
  // To be called when a request in flight has ended. `elapsed`: the execution time that the endpoint
  // reported.
  void OnRequestFinished(Milliseconds now, EndpointId id, const RequestTraits& request,
                         RequestOutcome outcome, Milliseconds elapsed);
  // To be called when a request in flight is no longer expected to end at the endpoint: another endpoint
  // received the request, or its end will not be reported.
  void OnRequestAbandoned(Milliseconds now, EndpointId id);
  // Consumes a token of the retry budget. Returns false, and counts a denied retry, if there is none: the
  // request must not be retried.
  [[nodiscard]] bool TryConsumeRetry();

  // ---- Load reports ----

  // Returns the endpoints to poll now, and records the polls as sent.
  [[nodiscard]] std::vector<EndpointId> EndpointsToPoll(Milliseconds now) {
    return poller_.EndpointsToPoll(now);
  }
  // To be called when an endpoint has reported `in_flight`, its requests in flight of all nodes. `polled_at`:
  // when the poll was sent.
  void OnLoadReport(Milliseconds now, EndpointId id, double in_flight, Milliseconds polled_at) {
    load_.OnReport(now, id, in_flight, polled_at);
  }

  // Ejects unresponsive endpoints, makes ejected endpoints half-open when their ejection time has passed, and
  // expands or contracts the active endpoints. To be called at NextDeadline() at the latest.
  void Tick(Milliseconds now);
  [[nodiscard]] Milliseconds NextDeadline() const { return outliers_.next_deadline(); }

  // ---- For operators ----

  [[nodiscard]] EndpointSnapshot Snapshot(Milliseconds now, EndpointId id) const;
  // All listed endpoints, sorted by name.
  [[nodiscard]] std::vector<EndpointId> endpoints() const { return endpoints_.listed(); }
  // The endpoints that this node uses: its subset and the expansions.
  [[nodiscard]] const std::vector<EndpointId>& active_endpoints() const { return endpoints_.active(); }
  // The first `count` standbys, in the order in which they would become active.
  [[nodiscard]] std::vector<EndpointId> StandbyEndpoints(std::size_t count) const;
  // Whether the endpoint is one of StandbyEndpoints(count).
  [[nodiscard]] bool IsStandby(EndpointId id, std::size_t count) const;
  // The latest choices, oldest first.
  [[nodiscard]] const std::deque<ChoiceRecord>& recent_choices() const { return recent_choices_; }
  [[nodiscard]] const LoadBalancerCounters& counters() const { return counters_; }
  // Nodes that share the endpoints.
  [[nodiscard]] std::size_t node_count() const { return endpoints_.node_count(); }

 private:
  struct Candidates {
    std::vector<EndpointId> connected;
    std::vector<EndpointId> available;  // Connected, and may be chosen by the policy.
    std::vector<EndpointId> half_open;  // Connected, and may be probed by the request.
  };
  [[nodiscard]] Candidates FindCandidates(Milliseconds now, const RequestTraits& request,
                                          EndpointId excluded) const;
  // Returns the candidates while no active endpoint except `excluded` is connected: the connected standbys,
  // or else the excluded endpoint if it is connected.
  [[nodiscard]] std::vector<EndpointId> FindFallbacks(EndpointId excluded) const;
  // Adds the tokens of a new request, not of a retry, to the budgets.
  void FillBudgets();
  EndpointId Select(const Candidates& candidates, const RequestTraits& request, bool is_retry,
                    ChoiceRecord& record);
  // Returns the endpoint with the oldest last request and consumes a token, if that request is older than
  // LoadBalancerOptions::max_unprobed_time and the budget has a token. Returns kNoEndpoint otherwise.
  EndpointId SelectUnprobed(Milliseconds now, const std::vector<EndpointId>& available);
  void StartRequest(const ChoiceRecord& record);

  const LoadBalancerOptions options_;
  const RandomSource random_;
  LoadBalancerCounters counters_;
  LatencyTracker latency_;
  SlowStart slow_start_;
  EndpointSet endpoints_;
  LoadEstimator load_;
  EndpointSelector selector_;
  OutlierDetector outliers_;
  LoadPoller poller_;
  ActiveSetScaler scaler_;
  RequestBudget retry_budget_;
  RequestBudget unprobed_budget_;
  std::uint64_t in_flight_ = 0;  // Requests of this node at all endpoints.
  std::deque<ChoiceRecord> recent_choices_;
};

}  // namespace hingelink::decide

#endif  // HINGELINK_DECIDE_LOAD_BALANCING_LOAD_BALANCER_H_
