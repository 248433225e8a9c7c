#include "decide/load_balancing/endpoint_selector.h"

#include <algorithm>
#include <utility>

#include "decide/load_balancing/random_fraction.h"

namespace hingelink::decide {
namespace {

// A latency ratio between the inverse of this factor and the factor is attributed to random variation.
constexpr double kMinLatencyDifference = 1.7;
// Cost of the load per core, as a fraction of the latency of a request, in addition to queueing for cores.
constexpr double kLoadCost = 0.2;
// Added to the cost of hot endpoints, so that a hot endpoint is chosen only if all are hot.
constexpr double kHotCost = 1e6;

}  // namespace

double EndpointSelector::ExpectedLatency(Milliseconds now, const Endpoint& endpoint) const {
  const double load_per_core = (parts_.load.EstimatedLoad(now, endpoint) + 1) / endpoint.record.capacity;
  // If there are no more requests than cores, each request has its own core and does not queue.
  return (std::max(1.0, load_per_core) + kLoadCost * load_per_core) *
         parts_.latency.RecentRatio(now, endpoint);
}

double EndpointSelector::Cost(Milliseconds now, const Endpoint& endpoint) const {
  switch (parts_.options.policy) {
    case Policy::kLeastLocalLoad:
    case Policy::kTwoChoicesLocalLoad:
      return static_cast<double>(endpoint.in_flight);
    case Policy::kTwoChoicesReportedLoad:
      return parts_.load.EstimatedLoad(now, endpoint);
    default:
      return ExpectedLatency(now, endpoint);
  }
}

double EndpointSelector::SignificantLatencyRatio(Milliseconds now, const Endpoint& endpoint) const {
  const double ratio = parts_.latency.RecentRatio(now, endpoint);
  const bool is_significant = ratio > kMinLatencyDifference || ratio < 1 / kMinLatencyDifference;
  return is_significant ? ratio : 1;
}

double EndpointSelector::LocalCost(Milliseconds now, const Endpoint& endpoint) const {
  return (static_cast<double>(endpoint.in_flight) + 0.5) / endpoint.record.capacity *
         SignificantLatencyRatio(now, endpoint);
}

double EndpointSelector::TrafficWeight(Milliseconds now, EndpointId id) const {
  const Endpoint& endpoint = parts_.endpoints.at(id);
  return endpoint.record.capacity * parts_.slow_start.TrafficFraction(now, endpoint);
}

EndpointId EndpointSelector::DrawWeighted(Milliseconds now, const std::vector<EndpointId>& candidates,
                                          double total_weight, EndpointId excluded) {
  double remaining = RandomFraction(parts_.random) * total_weight;
  EndpointId drawn = kNoEndpoint;
  for (const EndpointId id : candidates) {
    if (id == excluded) continue;
    drawn = id;
    remaining -= TrafficWeight(now, id);
    if (remaining < 0) break;
  }
  return drawn;
}

EndpointId EndpointSelector::SelectOfTwo(Milliseconds now, const std::vector<EndpointId>& candidates,
                                         ChoiceRecord& record) {
  double total_weight = 0;
  for (const EndpointId id : candidates) total_weight += TrafficWeight(now, id);
  const EndpointId first = DrawWeighted(now, candidates, total_weight, kNoEndpoint);
  const EndpointId second = DrawWeighted(now, candidates, total_weight - TrafficWeight(now, first), first);
  const auto is_stale = [&](EndpointId id) {
    return id == kNoEndpoint || parts_.load.IsStale(now, parts_.endpoints.at(id));
  };
  const bool has_no_report = UsesLoadReports(parts_.options.policy) && is_stale(first) && is_stale(second);
  const auto cost = [&](EndpointId id) {
    const Endpoint& endpoint = parts_.endpoints.at(id);
    return has_no_report ? LocalCost(now, endpoint) : Cost(now, endpoint);
  };
  record.cost = cost(first);
  if (second == kNoEndpoint) return first;
  record.alternative_cost = cost(second);
  record.alternative = second;
  if (record.alternative_cost >= record.cost) return first;
  std::swap(record.cost, record.alternative_cost);
  record.alternative = first;
  return second;
}

bool EndpointSelector::DrawAdmission(Milliseconds now, const Endpoint& endpoint) {
  if (endpoint.state != EndpointState::kRecovering) return true;
  return RandomFraction(parts_.random) < parts_.slow_start.TrafficFraction(now, endpoint);
}

std::vector<EndpointSelector::Probe> EndpointSelector::UsableProbes(
    Milliseconds now, const std::vector<EndpointId>& candidates) {
  std::vector<Probe> probes;
  for (const EndpointId id : candidates) {
    const Endpoint& endpoint = parts_.endpoints.at(id);
    const bool is_expired =
        endpoint.reported_load < 0 || now - endpoint.reported_at > parts_.options.max_probe_age;
    const bool is_used_up = endpoint.report_uses >= static_cast<int>(parts_.options.max_probe_uses);
    if (is_expired || is_used_up || !DrawAdmission(now, endpoint)) continue;
    const double started = std::max(0.0, endpoint.net_starts - endpoint.net_starts_at_report);
    probes.push_back({id, (endpoint.reported_load + started) / endpoint.record.capacity});
  }
  return probes;
}

double EndpointSelector::HotLoad(const std::vector<Probe>& probes) const {
  std::vector<double> loads;
  loads.reserve(probes.size());
  for (const Probe& probe : probes) loads.push_back(probe.load);
  const auto rank = static_cast<std::size_t>(parts_.options.hot_quantile * static_cast<double>(loads.size()));
  const auto quantile = loads.begin() + static_cast<std::ptrdiff_t>(std::min(loads.size() - 1, rank));
  std::nth_element(loads.begin(), quantile, loads.end());
  return *quantile;
}

double EndpointSelector::ProbeCost(Milliseconds now, const Probe& probe, double hot_load) const {
  if (probe.load > hot_load) return kHotCost + probe.load;
  const Endpoint& endpoint = parts_.endpoints.at(probe.id);
  return SignificantLatencyRatio(now, endpoint) * std::max(1.0, probe.load + 1 / endpoint.record.capacity);
}

EndpointId EndpointSelector::SelectByProbes(Milliseconds now, const std::vector<EndpointId>& candidates,
                                            ChoiceRecord& record) {
  const std::vector<Probe> probes = UsableProbes(now, candidates);
  if (probes.size() < 2) return SelectOfTwo(now, candidates, record);
  const double hot_load = HotLoad(probes);
  // Starts at a random probe. Otherwise the first of several endpoints with the same cost is always chosen.
  const std::size_t first = parts_.random() % probes.size();
  EndpointId best = kNoEndpoint;
  for (std::size_t i = 0; i < probes.size(); ++i) {
    const Probe& probe = probes[(first + i) % probes.size()];
    const double cost = ProbeCost(now, probe, hot_load);
    if (best == kNoEndpoint || cost < record.cost) {
      record.alternative = best;
      record.alternative_cost = record.cost;
      best = probe.id;
      record.cost = cost;
    } else if (record.alternative == kNoEndpoint || cost < record.alternative_cost) {
      record.alternative = probe.id;
      record.alternative_cost = cost;
    }
  }
  ++parts_.endpoints.at(best).report_uses;
  return best;
}

EndpointId EndpointSelector::SelectLeastLocalLoad(const std::vector<EndpointId>& candidates,
                                                  ChoiceRecord& record) {
  // Starts at a random candidate. Otherwise all nodes with few requests would choose the first candidate.
  const std::size_t first = parts_.random() % candidates.size();
  EndpointId best = candidates[first];
  for (std::size_t i = 1; i < candidates.size(); ++i) {
    const EndpointId id = candidates[(first + i) % candidates.size()];
    if (parts_.endpoints.at(id).in_flight < parts_.endpoints.at(best).in_flight) best = id;
  }
  record.cost = static_cast<double>(parts_.endpoints.at(best).in_flight);
  return best;
}

EndpointId EndpointSelector::Select(Milliseconds now, const std::vector<EndpointId>& candidates,
                                    ChoiceRecord& record) {
  if (candidates.size() == 1) {
    record.reason = ChoiceReason::kOnlyEndpoint;
    record.cost = Cost(now, parts_.endpoints.at(candidates.front()));
    return candidates.front();
  }
  switch (parts_.options.policy) {
    case Policy::kRandom:
      return candidates[parts_.random() % candidates.size()];
    case Policy::kRoundRobin:
      return candidates[next_round_robin_++ % candidates.size()];
    case Policy::kLeastLocalLoad:
      return SelectLeastLocalLoad(candidates, record);
    case Policy::kProbePool:
      return SelectByProbes(now, candidates, record);
    default:
      return SelectOfTwo(now, candidates, record);
  }
}

}  // namespace hingelink::decide
