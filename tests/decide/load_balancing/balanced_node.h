// A node with a load balancer and simulated time, for tests.
#ifndef HINGELINK_TESTS_DECIDE_LOAD_BALANCING_BALANCED_NODE_H_
#define HINGELINK_TESTS_DECIDE_LOAD_BALANCING_BALANCED_NODE_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "decide/load_balancing/load_balancer.h"

namespace hingelink::decide {

// Returns nodes named n0, n1, ..., which are assigned to the zones in turn.
inline std::vector<SubsetNode> MakeNodes(std::size_t count, std::size_t zones = 1) {
  std::vector<SubsetNode> nodes;
  for (std::size_t i = 0; i < count; ++i) {
    nodes.push_back({"n" + std::to_string(i), "z" + std::to_string(i % zones)});
  }
  return nodes;
}

// Returns endpoints named s0, s1, ..., which are assigned to the zones in turn.
inline std::vector<SubsetEndpoint> MakeEndpoints(std::size_t count, std::size_t zones = 1,
                                                 double capacity = 1) {
  std::vector<SubsetEndpoint> endpoints;
  for (std::size_t i = 0; i < count; ++i) {
    endpoints.push_back({"s" + std::to_string(i), "z" + std::to_string(i % zones), capacity});
  }
  return endpoints;
}

// A node n0 whose endpoints are all connected and past the random delay of their slow start.
class BalancedNode {
 public:
  static constexpr Milliseconds kLatency{10};

  explicit BalancedNode(std::size_t endpoints, const LoadBalancerOptions& options = {},
                        std::uint64_t seed = 7)
      : random_state_(seed), balancer_(options, "n0", "", [this] { return Random(); }) {
    balancer_.SetEndpoints(now, MakeEndpoints(endpoints));
    for (const EndpointId id : balancer_.endpoints()) balancer_.SetConnected(now, id, true);
    AdvanceTime(Milliseconds(5'000));
  }

  // Returns the next random number, by SplitMix64.
  std::uint64_t Random() {
    random_state_ += 0x9e3779b97f4a7c15ULL;
    std::uint64_t mixed = random_state_;
    mixed = (mixed ^ (mixed >> 30)) * 0xbf58476d1ce4e5b9ULL;
    mixed = (mixed ^ (mixed >> 27)) * 0x94d049bb133111ebULL;
    return mixed ^ (mixed >> 31);
  }

  void AdvanceTime(Milliseconds span) {
    now += span;
    balancer_.Tick(now);
  }
  // Starts a request and finishes it after `elapsed`.
  Choice RunRequest(Milliseconds elapsed = kLatency, RequestOutcome outcome = RequestOutcome::kSuccess) {
    const Choice choice = StartRequest();
    now += elapsed;
    FinishRequest(choice.endpoint, elapsed, outcome);
    balancer_.Tick(now);
    return choice;
  }
  void RunRequests(std::size_t count) {
    for (std::size_t i = 0; i < count; ++i) RunRequest();
  }
  // Requires that an endpoint is connected.
  Choice StartRequest(const RequestTraits& request = {}, EndpointId excluded = kNoEndpoint) {
    return balancer_.ChooseEndpoint(now, request, excluded).value();
  }
  void FinishRequest(EndpointId id, Milliseconds elapsed = kLatency,
                     RequestOutcome outcome = RequestOutcome::kSuccess, const RequestTraits& request = {}) {
    balancer_.OnRequestFinished(now, id, request, outcome, elapsed);
  }
  void ReportLoad(EndpointId id, double in_flight) { balancer_.OnLoadReport(now, id, in_flight, now); }
  // Reports the same load for all active endpoints.
  void ReportLoadOfAll(double in_flight) {
    for (const EndpointId id : active()) ReportLoad(id, in_flight);
  }
  void Reconnect(EndpointId id) {
    balancer_.SetConnected(now, id, false);
    balancer_.SetConnected(now, id, true);
  }

  const std::vector<EndpointId>& active() const { return balancer_.active_endpoints(); }
  EndpointSnapshot Snapshot(EndpointId id) const { return balancer_.Snapshot(now, id); }
  EndpointState StateOf(EndpointId id) const { return Snapshot(id).state; }
  // Active endpoints that are ejected or half-open.
  std::size_t EjectedCount() const {
    return static_cast<std::size_t>(std::count_if(active().begin(), active().end(), [this](EndpointId id) {
      return StateOf(id) == EndpointState::kEjected || StateOf(id) == EndpointState::kHalfOpen;
    }));
  }
  LoadBalancer& balancer() { return balancer_; }

  Milliseconds now{1e7};

 private:
  std::uint64_t random_state_;
  LoadBalancer balancer_;
};

}  // namespace hingelink::decide

#endif  // HINGELINK_TESTS_DECIDE_LOAD_BALANCING_BALANCED_NODE_H_
