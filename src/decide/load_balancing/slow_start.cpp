#include "decide/load_balancing/slow_start.h"

#include <algorithm>

#include "decide/load_balancing/random_fraction.h"

namespace hingelink::decide {
namespace {

// Smallest fraction, so that the endpoint receives some requests.
constexpr double kMinTrafficFraction = 0.05;

}  // namespace

void SlowStart::Begin(Milliseconds now, Endpoint& endpoint) const {
  endpoint.state = EndpointState::kRecovering;
  endpoint.ejection_cause = EjectionCause::kNone;
  endpoint.recovery_successes = 0;
  endpoint.recovering_since = now;
  endpoint.responses = 0;
  endpoint.error_rate = 0;
  endpoint.latency_samples = 0;
  endpoint.latency_ratio = 1;
  endpoint.recent_latency_ratio = 1;
  endpoint.reported_load = -1;
  endpoint.pending_polls.clear();
  // The time in which the endpoint can serve one request of each node that shares it.
  const double request_ms = latency_.mean_ms() > 0 ? latency_.mean_ms() / endpoint.record.capacity : 0;
  const Milliseconds max_delay =
      std::min(options_.max_reaction_delay, Milliseconds(options_.reaction_delay_factor * request_ms *
                                                         static_cast<double>(endpoint.sharing_nodes)));
  endpoint.available_at = now + max_delay * RandomFraction(random_);
  endpoint.last_request_at = endpoint.available_at;
}

void SlowStart::OnResponse(Milliseconds now, Endpoint& endpoint) const {
  if (endpoint.state != EndpointState::kRecovering) return;
  const bool has_enough = endpoint.recovery_successes >= options_.slow_start_responses;
  const bool is_over =
      endpoint.recovery_successes > 0 && now - endpoint.recovering_since > options_.max_slow_start;
  if (!has_enough && !is_over) return;
  endpoint.state = EndpointState::kHealthy;
  endpoint.healthy_since = now;
}

bool SlowStart::IsAvailable(Milliseconds now, const Endpoint& endpoint) {
  if (endpoint.state == EndpointState::kHealthy) return true;
  if (endpoint.state != EndpointState::kRecovering) return false;
  const double max_in_flight = 1 + endpoint.recovery_successes / 2;
  return now >= endpoint.available_at && static_cast<double>(endpoint.in_flight) < max_in_flight;
}

double SlowStart::TrafficFraction(Milliseconds now, const Endpoint& endpoint) const {
  if (endpoint.state != EndpointState::kRecovering) return 1;
  const double by_successes = (1 + endpoint.recovery_successes) / (1 + options_.slow_start_responses);
  const double by_time =
      endpoint.recovery_successes > 0 ? (now - endpoint.recovering_since) / options_.max_slow_start : 0;
  return std::clamp(std::max(by_successes, by_time), kMinTrafficFraction, 1.0);
}

}  // namespace hingelink::decide
