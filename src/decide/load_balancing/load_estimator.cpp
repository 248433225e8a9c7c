#include "decide/load_balancing/load_estimator.h"

#include <algorithm>
#include <cmath>

namespace hingelink::decide {
namespace {

// Reports older than this number of half-lives are excluded from the mean over all endpoints.
constexpr double kMaxHalfLivesInMean = 8;
// Reports older than this number of half-lives are stale: they are not used to compare endpoints.
constexpr double kMaxHalfLivesInComparison = 2.5;

}  // namespace

double LoadEstimator::MeanReportedLoad(Milliseconds now) const {
  if (mean_revision_ == endpoints_.load_revision() && mean_at_ == now) return mean_;
  double load = 0;
  double capacity = 0;
  for (const EndpointId id : endpoints_.active()) {
    const Endpoint& endpoint = endpoints_.at(id);
    const Milliseconds age = now - endpoint.reported_at;
    if (endpoint.reported_load < 0 || age > options_.load_report_half_life * kMaxHalfLivesInMean) continue;
    load += endpoint.reported_load;
    capacity += endpoint.record.capacity;
  }
  mean_revision_ = endpoints_.load_revision();
  mean_at_ = now;
  mean_ = capacity > 0 ? load / capacity : 0;
  return mean_;
}

double LoadEstimator::EstimatedLoad(Milliseconds now, const Endpoint& endpoint) const {
  const double local = static_cast<double>(endpoint.in_flight);
  const double capacity = endpoint.record.capacity;
  if (endpoint.reported_load < 0) return std::max(local, MeanReportedLoad(now) * capacity + local);
  const double half_lives = std::max(0.0, (now - endpoint.reported_at) / options_.load_report_half_life);
  const double weight = std::exp2(-half_lives);
  const double at_report = weight * endpoint.reported_load + (1 - weight) * MeanReportedLoad(now) * capacity;
  return std::max(local, at_report + endpoint.net_starts - endpoint.net_starts_at_report);
}

bool LoadEstimator::IsStale(Milliseconds now, const Endpoint& endpoint) const {
  const Milliseconds max_age = options_.load_report_half_life * kMaxHalfLivesInComparison;
  return endpoint.reported_load < 0 || now - endpoint.reported_at > max_age;
}

void LoadEstimator::OnReport(Milliseconds now, EndpointId id, double in_flight, Milliseconds polled_at) {
  Endpoint& endpoint = endpoints_.at(id);
  // Reports may arrive out of order when the connection is replaced.
  if (endpoint.reported_load >= 0 && polled_at < endpoint.reported_at) return;
  endpoints_.OnLoadChanged();
  endpoint.reported_load = in_flight;
  endpoint.reported_at = polled_at;
  endpoint.report_uses = 0;
  endpoint.net_starts_at_report = endpoint.net_starts;
  while (!endpoint.pending_polls.empty() && endpoint.pending_polls.front().at <= polled_at) {
    endpoint.net_starts_at_report = endpoint.pending_polls.front().net_starts;
    endpoint.pending_polls.pop_front();
  }
  if (endpoint.state == EndpointState::kHealthy && endpoint.in_flight == 0) endpoint.last_response_at = now;
}

}  // namespace hingelink::decide
