#include "decide/load_balancing/load_balancer.h"

#include <algorithm>
#include <utility>

namespace hingelink::decide {
namespace {

// Maximum number of accumulated tokens for requests to unprobed endpoints.
constexpr double kMaxUnprobedBudget = 2;

}  // namespace

LoadBalancer::LoadBalancer(const LoadBalancerOptions& options, std::string self, std::string zone,
                           RandomSource random, SubsetFunction subset)
    : options_(options),
      random_(std::move(random)),
      latency_(options_),
      slow_start_(options_, latency_, random_),
      endpoints_({std::move(self), std::move(zone)}, options_.subset_size, std::move(subset), slow_start_),
      load_(options_, endpoints_),
      selector_({.options = options_,
                 .endpoints = endpoints_,
                 .load = load_,
                 .latency = latency_,
                 .slow_start = slow_start_,
                 .random = random_}),
      outliers_({.options = options_,
                 .endpoints = endpoints_,
                 .latency = latency_,
                 .random = random_,
                 .counters = counters_}),
      poller_(options_, endpoints_, random_, counters_),
      scaler_(options_, endpoints_, load_, counters_),
      retry_budget_(options_.retry_budget_fraction, options_.max_retry_budget, options_.max_retry_budget / 2),
      unprobed_budget_(options_.unprobed_request_fraction, kMaxUnprobedBudget, 0) {}

void LoadBalancer::SetEndpoints(Milliseconds now, const std::vector<SubsetEndpoint>& endpoints) {
  endpoints_.SetEndpoints(now, endpoints);
}

void LoadBalancer::SetNodes(Milliseconds now, std::vector<SubsetNode> nodes) {
  endpoints_.SetNodes(now, std::move(nodes));
}

void LoadBalancer::SetConnected(Milliseconds now, EndpointId id, bool is_connected) {
  endpoints_.SetConnected(now, id, is_connected);
}

LoadBalancer::Candidates LoadBalancer::FindCandidates(Milliseconds now, const RequestTraits& request,
                                                      EndpointId excluded) const {
  Candidates candidates;
  for (const EndpointId id : endpoints_.active()) {
    const Endpoint& endpoint = endpoints_.at(id);
    if (!endpoint.is_connected || id == excluded) continue;
    candidates.connected.push_back(id);
    if (SlowStart::IsAvailable(now, endpoint)) candidates.available.push_back(id);
    const bool needs_probe = endpoint.state == EndpointState::kHalfOpen && endpoint.in_flight == 0;
    if (needs_probe && request.is_idempotent) candidates.half_open.push_back(id);
  }
  if (candidates.connected.empty()) candidates.connected = FindFallbacks(excluded);
  return candidates;
}

std::vector<EndpointId> LoadBalancer::FindFallbacks(EndpointId excluded) const {
  std::vector<EndpointId> connected;
  for (const EndpointId id : endpoints_.standbys()) {
    if (endpoints_.at(id).is_connected && id != excluded) connected.push_back(id);
  }
  const bool has_excluded = excluded != kNoEndpoint && endpoints_.at(excluded).is_connected;
  if (connected.empty() && has_excluded) connected.push_back(excluded);
  return connected;
}

void LoadBalancer::FillBudgets() {
  retry_budget_.OnRequest();
  unprobed_budget_.OnRequest();
  poller_.OnRequest();
}

EndpointId LoadBalancer::SelectUnprobed(Milliseconds now, const std::vector<EndpointId>& available) {
  if (!unprobed_budget_.has_token()) return kNoEndpoint;
  EndpointId oldest = kNoEndpoint;
  for (const EndpointId id : available) {
    const Milliseconds last_request_at = endpoints_.at(id).last_request_at;
    if (now - last_request_at < options_.max_unprobed_time) continue;
    if (oldest == kNoEndpoint || last_request_at < endpoints_.at(oldest).last_request_at) oldest = id;
  }
  if (oldest != kNoEndpoint) unprobed_budget_.Consume();
  return oldest;
}

EndpointId LoadBalancer::Select(const Candidates& candidates, const RequestTraits& request, bool is_retry,
                                ChoiceRecord& record) {
  if (!candidates.half_open.empty() && !is_retry) {
    record.reason = ChoiceReason::kHalfOpenProbe;
    ++counters_.half_open_probes;
    return candidates.half_open[random_() % candidates.half_open.size()];
  }
  if (candidates.available.empty()) {
    const EndpointId selected = selector_.Select(record.at, candidates.connected, record);
    if (candidates.connected.size() > 1) record.reason = ChoiceReason::kAllEjected;
    ++counters_.all_ejected_choices;
    return selected;
  }
  if (request.is_idempotent && !is_retry) {
    const EndpointId unprobed = SelectUnprobed(record.at, candidates.available);
    if (unprobed != kNoEndpoint) {
      record.reason = ChoiceReason::kUnprobed;
      ++counters_.unprobed_choices;
      return unprobed;
    }
  }
  return selector_.Select(record.at, candidates.available, record);
}

std::optional<Choice> LoadBalancer::ChooseEndpoint(Milliseconds now, const RequestTraits& request,
                                                   EndpointId excluded) {
  const Candidates candidates = FindCandidates(now, request, excluded);
  if (candidates.connected.empty()) {
    ++counters_.no_endpoint;
    return std::nullopt;
  }
  const bool is_retry = excluded != kNoEndpoint;
  if (!is_retry) FillBudgets();
  ChoiceRecord record;
  record.at = now;
  record.endpoint = Select(candidates, request, is_retry, record);
  if (is_retry) record.reason = ChoiceReason::kRetry;
  StartRequest(record);
  return Choice{record.endpoint, record.reason};
}

void LoadBalancer::StartRequest(const ChoiceRecord& record) {
  recent_choices_.push_back(record);
  if (recent_choices_.size() > options_.max_recent_choices) recent_choices_.pop_front();
  Endpoint& endpoint = endpoints_.at(record.endpoint);
  if (endpoint.in_flight == 0) endpoint.last_response_at = record.at;
  ++endpoint.in_flight;
  ++in_flight_;
  ++endpoint.requests;
  endpoint.net_starts += 1;
  endpoint.last_request_at = record.at;
  ++counters_.requests;
  poller_.OnRequestStarted(record.at);
  scaler_.Update(record.at, in_flight_);
}

bool LoadBalancer::TryConsumeRetry() {
  if (!retry_budget_.has_token()) {
    ++counters_.retries_denied;
    return false;
  }
  retry_budget_.Consume();
  ++counters_.retries;
  return true;
}

void LoadBalancer::OnRequestAbandoned(Milliseconds now, EndpointId id) {
  Endpoint& endpoint = endpoints_.at(id);
  if (endpoint.in_flight > 0) --endpoint.in_flight;
  if (in_flight_ > 0) --in_flight_;
  endpoint.net_starts -= 1;
  endpoint.last_response_at = now;
}

void LoadBalancer::OnRequestFinished(Milliseconds now, EndpointId id, const RequestTraits& request,
                                     RequestOutcome outcome, Milliseconds elapsed) {
  OnRequestAbandoned(now, id);
  Endpoint& endpoint = endpoints_.at(id);
  const bool is_success = outcome == RequestOutcome::kSuccess;
  OutlierDetector::CountResponse(endpoint, outcome);
  if (is_success) {
    latency_.OnSuccess(now, endpoint, request.request_kind, elapsed);
    endpoint.recovery_successes += 1;
  }
  if (endpoint.state == EndpointState::kHalfOpen) {
    outliers_.OnProbeResponse(now, id, is_success);
    return;
  }
  slow_start_.OnResponse(now, endpoint);
  outliers_.Evaluate(now, id);
}

void LoadBalancer::Tick(Milliseconds now) {
  outliers_.Tick(now);
  scaler_.Update(now, in_flight_);
}

std::vector<EndpointId> LoadBalancer::StandbyEndpoints(std::size_t count) const {
  const std::vector<EndpointId>& standbys = endpoints_.standbys();
  const auto end = standbys.begin() + static_cast<std::ptrdiff_t>(std::min(count, standbys.size()));
  return {standbys.begin(), end};
}

bool LoadBalancer::IsStandby(EndpointId id, std::size_t count) const {
  const std::vector<EndpointId>& standbys = endpoints_.standbys();
  const auto end = standbys.begin() + static_cast<std::ptrdiff_t>(std::min(count, standbys.size()));
  return std::find(standbys.begin(), end, id) != end;
}

EndpointSnapshot LoadBalancer::Snapshot(Milliseconds now, EndpointId id) const {
  const Endpoint& endpoint = endpoints_.at(id);
  EndpointSnapshot snapshot;
  snapshot.name = endpoint.record.name;
  snapshot.zone = endpoint.record.zone;
  snapshot.capacity = endpoint.record.capacity;
  snapshot.state = endpoint.state;
  snapshot.ejection_cause = endpoint.ejection_cause;
  snapshot.is_active = endpoint.is_active;
  snapshot.is_expansion = endpoint.is_expansion;
  snapshot.sharing_nodes = endpoint.sharing_nodes;
  snapshot.local_in_flight = endpoint.in_flight;
  snapshot.requests = endpoint.requests;
  snapshot.errors = endpoint.errors;
  snapshot.not_executed = endpoint.not_executed;
  snapshot.ejections = endpoint.ejections;
  snapshot.reported_load = endpoint.reported_load;
  if (endpoint.reported_load >= 0) snapshot.report_age = now - endpoint.reported_at;
  if (endpoint.requests > 0) snapshot.last_request_age = now - endpoint.last_request_at;
  snapshot.estimated_load = load_.EstimatedLoad(now, endpoint);
  snapshot.latency_ratio = endpoint.latency_ratio;
  snapshot.mean_latency_ms = endpoint.mean_latency_ms;
  if (endpoint.state == EndpointState::kEjected) {
    snapshot.ejection_time_left = endpoint.ejected_until - now;
  }
  return snapshot;
}

}  // namespace hingelink::decide
