#include "decide/load_balancing/outlier_detector.h"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <vector>

#include "decide/load_balancing/random_fraction.h"

namespace hingelink::decide {
namespace {

// Weight of a response in the error rate of its endpoint.
constexpr double kErrorWeight = 0.1;
// An endpoint is an outlier only if its error rate exceeds kErrorRateFactor * M + kErrorRateMargin, where M
// is the median error rate of the other endpoints.
constexpr double kErrorRateFactor = 3;
constexpr double kErrorRateMargin = 0.1;
// If an endpoint was healthy for longer than this multiple of its last ejection time, its next ejection has
// the base duration again.
constexpr double kForgivenessFactor = 4;
// Bounds of the random factor of the ejection time. The factor prevents nodes that eject an endpoint at the
// same time from using it again at the same time.
constexpr double kMinEjectionJitter = 0.75;
constexpr double kEjectionJitterRange = 0.5;
// Number of ticks within LoadBalancerOptions::max_unprobed_time.
constexpr double kTicksPerUnprobedTime = 4;

// Returns the median of `values`, which must not be empty. Reorders them.
double Median(std::vector<double>& values) {
  const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
  std::nth_element(values.begin(), middle, values.end());
  return *middle;
}

bool IsEjected(const Endpoint& endpoint) {
  return endpoint.state == EndpointState::kEjected || endpoint.state == EndpointState::kHalfOpen;
}

bool IsInService(const Endpoint& endpoint) {
  return endpoint.state == EndpointState::kHealthy || endpoint.state == EndpointState::kRecovering;
}

}  // namespace

void OutlierDetector::CountResponse(Endpoint& endpoint, RequestOutcome outcome) {
  const bool is_failure = outcome != RequestOutcome::kSuccess;
  endpoint.responses += 1;
  if (outcome == RequestOutcome::kNotExecuted) ++endpoint.not_executed;
  if (outcome == RequestOutcome::kError) ++endpoint.errors;
  endpoint.error_rate += kErrorWeight * ((is_failure ? 1 : 0) - endpoint.error_rate);
}

void OutlierDetector::OnProbeResponse(Milliseconds now, EndpointId id, bool is_success) {
  Endpoint& endpoint = parts_.endpoints.at(id);
  if (!is_success) {
    Eject(now, id, EjectionCause::kErrorRate);
    return;
  }
  const auto required = static_cast<std::size_t>(parts_.options.half_open_successes);
  if (++endpoint.half_open_successes < required) return;
  ++parts_.counters.recoveries;
  parts_.endpoints.BeginRecovery(now, endpoint);
}

bool OutlierDetector::MayEject() const {
  std::size_t connected = 0;
  std::size_t ejected = 0;
  for (const EndpointId id : parts_.endpoints.active()) {
    const Endpoint& endpoint = parts_.endpoints.at(id);
    if (!endpoint.is_connected) continue;
    ++connected;
    ejected += IsEjected(endpoint) ? 1 : 0;
  }
  return static_cast<double>(ejected + 1) <=
         parts_.options.max_ejected_fraction * static_cast<double>(connected);
}

void OutlierDetector::Evaluate(Milliseconds now, EndpointId id) {
  const Endpoint& endpoint = parts_.endpoints.at(id);
  if (!IsInService(endpoint) || endpoint.responses < parts_.options.min_responses / 2) return;
  std::vector<double> error_rates;
  std::vector<double> latency_ratios;
  for (const EndpointId other_id : parts_.endpoints.active()) {
    const Endpoint& other = parts_.endpoints.at(other_id);
    if (other_id == id || !other.is_connected) continue;
    if (other.state == EndpointState::kEjected || other.responses < 1) continue;
    error_rates.push_back(other.error_rate);
    latency_ratios.push_back(other.latency_ratio);
  }
  if (error_rates.empty()) return;
  // The weighted error rate starts at 0 and cannot reach 1 after few responses, so the limit is scaled down.
  // The comparison with the median excludes errors that occur at all endpoints: these are caused by the
  // requests or by a shared upstream.
  const double reachable_rate = 1 - std::pow(1 - kErrorWeight, endpoint.responses);
  if (endpoint.error_rate > parts_.options.ejection_error_rate * reachable_rate &&
      endpoint.error_rate > kErrorRateFactor * Median(error_rates) + kErrorRateMargin) {
    Eject(now, id, EjectionCause::kErrorRate);
    return;
  }
  if (endpoint.latency_samples >= parts_.options.min_responses &&
      endpoint.latency_ratio > parts_.options.ejection_latency_factor * Median(latency_ratios)) {
    Eject(now, id, EjectionCause::kLatency);
  }
}

void OutlierDetector::Eject(Milliseconds now, EndpointId id, EjectionCause cause) {
  Endpoint& endpoint = parts_.endpoints.at(id);
  const bool is_half_open = endpoint.state == EndpointState::kHalfOpen;
  if (!is_half_open && !MayEject()) return;
  const bool is_forgiven = now - endpoint.healthy_since > endpoint.ejection_time * kForgivenessFactor;
  if (!is_half_open && is_forgiven) endpoint.ejection_time = Milliseconds(0);
  const Milliseconds next_time =
      endpoint.ejection_time.count() > 0 ? endpoint.ejection_time * 2 : parts_.options.base_ejection_time;
  endpoint.ejection_time = std::min(parts_.options.max_ejection_time, next_time);
  const double jitter = kMinEjectionJitter + kEjectionJitterRange * RandomFraction(parts_.random);
  endpoint.ejected_until = now + endpoint.ejection_time * jitter;
  endpoint.state = EndpointState::kEjected;
  endpoint.ejection_cause = cause;
  endpoint.half_open_successes = 0;
  endpoint.responses = 0;
  ++endpoint.ejections;
  ++parts_.counters.ejections;
  next_deadline_ = std::min(next_deadline_, endpoint.ejected_until);
}

bool OutlierDetector::IsUnresponsive(Milliseconds now, const Endpoint& endpoint) const {
  if (endpoint.in_flight == 0) return false;
  if (!IsInService(endpoint) && endpoint.state != EndpointState::kHalfOpen) return false;
  const Milliseconds timeout =
      std::max(parts_.options.min_unresponsive_time,
               Milliseconds(parts_.options.unresponsive_latency_factor * parts_.latency.mean_ms()));
  return now - endpoint.last_response_at > timeout;
}

void OutlierDetector::Tick(Milliseconds now) {
  next_deadline_ = now + parts_.options.max_unprobed_time / kTicksPerUnprobedTime;
  for (const EndpointId id : parts_.endpoints.active()) {
    Endpoint& endpoint = parts_.endpoints.at(id);
    if (!endpoint.is_connected) continue;
    if (endpoint.state == EndpointState::kEjected && now >= endpoint.ejected_until) {
      endpoint.state = EndpointState::kHalfOpen;
      endpoint.half_open_successes = 0;
      endpoint.latency_samples = 0;
      endpoint.latency_ratio = 1;
      endpoint.recent_latency_ratio = 1;
      endpoint.error_rate = 0;
    }
    if (endpoint.state == EndpointState::kEjected)
      next_deadline_ = std::min(next_deadline_, endpoint.ejected_until);
    if (IsUnresponsive(now, endpoint)) Eject(now, id, EjectionCause::kUnresponsive);
  }
}

}  // namespace hingelink::decide
