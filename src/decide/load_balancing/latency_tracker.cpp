#include "decide/load_balancing/latency_tracker.h"

#include <algorithm>

namespace hingelink::decide {
namespace {

// Weight of a response in the mean latency of its endpoint.
constexpr double kEndpointWeight = 0.1;
// Weight of a response in the mean latencies over all endpoints.
constexpr double kOverallWeight = 0.02;
// Shorter latencies are raised to this one, so that no mean is 0.
constexpr double kMinLatencyMs = 0.01;
// Minimum and maximum number of responses over which the latency ratio of an endpoint is averaged.
constexpr double kMinRatioSamples = 2;
constexpr double kMaxRatioSamples = 1 / kEndpointWeight;

// Updates an exponentially weighted mean. The first value, while the mean is 0, becomes the mean.
void UpdateMean(double& mean, double value, double weight) {
  mean += (mean == 0 ? 1 : weight) * (value - mean);
}

}  // namespace

void LatencyTracker::OnSuccess(Milliseconds now, Endpoint& endpoint, std::uint32_t request_kind,
                               Milliseconds elapsed) {
  const double latency_ms = std::max(kMinLatencyMs, elapsed.count());
  double& kind_mean_ms = mean_ms_by_kind_.try_emplace(request_kind, latency_ms).first->second;
  kind_mean_ms += kOverallWeight * (latency_ms - kind_mean_ms);
  UpdateMean(mean_ms_, latency_ms, kOverallWeight);
  UpdateMean(endpoint.mean_latency_ms, latency_ms, kEndpointWeight);
  endpoint.latency_samples = std::min(endpoint.latency_samples + 1, kMaxRatioSamples);
  const double ratio = latency_ms / kind_mean_ms;
  const double weight = 1 / std::max(kMinRatioSamples, endpoint.latency_samples);
  endpoint.latency_ratio += weight * (ratio - endpoint.latency_ratio);
  const double faded_ratio = FadedRatio(now, endpoint);
  endpoint.recent_latency_ratio = faded_ratio + weight * (ratio - faded_ratio);
  endpoint.last_latency_at = now;
}

double LatencyTracker::RecentRatio(Milliseconds now, const Endpoint& endpoint) const {
  return endpoint.latency_samples < options_.min_responses ? 1 : FadedRatio(now, endpoint);
}

double LatencyTracker::FadedRatio(Milliseconds now, const Endpoint& endpoint) const {
  const double age = (now - endpoint.last_latency_at) / options_.base_ejection_time;
  return 1 + (endpoint.recent_latency_ratio - 1) * std::clamp(1 - age, 0.0, 1.0);
}

}  // namespace hingelink::decide
