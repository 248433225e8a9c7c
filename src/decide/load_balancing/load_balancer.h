// Chooses the endpoint for each request of a node, where many nodes share many endpoints and each node sees
// only its own requests. docs/design/spread.md compares the policies.
//
// Guarantees. Only listed endpoints are chosen, and connected ones while there are any. At most
// LoadBalancerOptions::max_ejected_fraction of the active endpoints are ejected; if no endpoint is available,
// all connected ones are used. While requests are started or Tick() is called, each active endpoint receives
// a request or a poll at least every LoadBalancerOptions::max_unprobed_time. Retries are limited to a
// fraction of the requests.
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

// An endpoint as this node sees it, for operators.
struct EndpointSnapshot {
  std::string name;
  std::string zone;
  double capacity = 1;
  EndpointState state = EndpointState::kDisconnected;
  EjectionCause ejection_cause = EjectionCause::kNone;
  bool is_active = false;
  bool is_expansion = false;
  std::size_t sharing_nodes = 0;      // Nodes that use it, this one included.
  std::uint64_t local_in_flight = 0;  // Requests of this node.
  std::uint64_t requests = 0;
  std::uint64_t errors = 0;
  std::uint64_t not_executed = 0;
  std::uint64_t ejections = 0;
  double reported_load = -1;          // Requests in flight of all nodes; below 0: never reported.
  Milliseconds report_age{-1};        // Below 0: never reported.
  Milliseconds last_request_age{-1};  // Below 0: no request.
  double estimated_load = 0;          // Requests in flight of all nodes, as choices assume.
  double latency_ratio = 1;           // Relative to all endpoints.
  double mean_latency_ms = 0;
  Milliseconds ejection_time_left{0};
};

// Times are on the caller's monotonic clock. Not thread-safe.
class LoadBalancer {
 public:
  // `self`, `zone`: this node. `random` feeds all random draws. `subset`: this node's row of AssignSubsets()
  // if empty; for callers that run many nodes and compute the assignment once.
  LoadBalancer(const LoadBalancerOptions& options, std::string self, std::string zone, RandomSource random,
               SubsetFunction subset = {});
  LoadBalancer(const LoadBalancer&) = delete;
  LoadBalancer& operator=(const LoadBalancer&) = delete;

  // ---- Endpoints and nodes ----

  // All endpoints that this node may use. New ones are disconnected; others are forgotten, once they have no
  // requests of this node in flight.
  void SetEndpoints(Milliseconds now, const std::vector<SubsetEndpoint>& endpoints);
  // All nodes that share them; this node is added if it is missing.
  void SetNodes(Milliseconds now, std::vector<SubsetNode> nodes);
  void SetConnected(Milliseconds now, EndpointId id, bool is_connected);
  // kNoEndpoint if there is none of this name.
  [[nodiscard]] EndpointId FindEndpoint(const std::string& name) const { return endpoints_.Find(name); }

  // ---- Requests ----

  // Returns the endpoint for a request, which is in flight there from now on, or nothing if none is
  // connected. `excluded` marks a retry: the endpoint that did not execute it, chosen again only if there is
  // no other.
  [[nodiscard]] std::optional<Choice> ChooseEndpoint(Milliseconds now, const RequestTraits& request,
                                                     EndpointId excluded = kNoEndpoint);
  // A request in flight has ended. `elapsed`: its execution time as reported by the endpoint.
  void OnRequestFinished(Milliseconds now, EndpointId id, const RequestTraits& request,
                         RequestOutcome outcome, Milliseconds elapsed);
  // A request in flight is no longer awaited there: it was moved, or its end will not be reported.
  void OnRequestAbandoned(Milliseconds now, EndpointId id);
  // Whether a request that was not executed may be retried; takes it from the retry budget.
  [[nodiscard]] bool TryConsumeRetry();

  // ---- Load reports ----

  // Returns the endpoints to poll now.
  [[nodiscard]] std::vector<EndpointId> EndpointsToPoll(Milliseconds now) {
    return poller_.EndpointsToPoll(now);
  }
  // An endpoint reported its requests in flight of all nodes. `polled_at`: when the poll was sent.
  void OnLoadReport(Milliseconds now, EndpointId id, double in_flight, Milliseconds polled_at) {
    load_.OnReport(now, id, in_flight, polled_at);
  }

  // Ejects unresponsive endpoints and lets ejected ones return. To be called at NextDeadline() at the latest.
  void Tick(Milliseconds now);
  [[nodiscard]] Milliseconds NextDeadline() const { return outliers_.next_deadline(); }

  // ---- For operators ----

  [[nodiscard]] EndpointSnapshot Snapshot(Milliseconds now, EndpointId id) const;
  // All listed endpoints, by name.
  [[nodiscard]] std::vector<EndpointId> endpoints() const { return endpoints_.listed(); }
  // The endpoints that this node uses.
  [[nodiscard]] const std::vector<EndpointId>& active_endpoints() const { return endpoints_.active(); }
  // The first `count` of the others, in the order in which they would become active.
  [[nodiscard]] std::vector<EndpointId> StandbyEndpoints(std::size_t count) const;
  // Whether the endpoint is one of StandbyEndpoints(count).
  [[nodiscard]] bool IsStandby(EndpointId id, std::size_t count) const;
  // Oldest first.
  [[nodiscard]] const std::deque<ChoiceRecord>& recent_choices() const { return recent_choices_; }
  [[nodiscard]] const LoadBalancerCounters& counters() const { return counters_; }
  // Nodes that share the endpoints.
  [[nodiscard]] std::size_t node_count() const { return endpoints_.node_count(); }

 private:
  struct Candidates {
    std::vector<EndpointId> connected;
    std::vector<EndpointId> available;  // Of them: may be chosen by the policy.
    std::vector<EndpointId> half_open;  // Of them: may be probed by the request.
  };
  [[nodiscard]] Candidates FindCandidates(Milliseconds now, const RequestTraits& request,
                                          EndpointId excluded) const;
  // Used while no active endpoint is connected.
  [[nodiscard]] std::vector<EndpointId> FindFallbacks(EndpointId excluded) const;
  void FillBudgets();
  EndpointId Select(const Candidates& candidates, const RequestTraits& request, bool is_retry,
                    ChoiceRecord& record);
  // The endpoint without a request for longest, if that is too long; kNoEndpoint otherwise.
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
