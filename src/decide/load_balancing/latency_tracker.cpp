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

void LatencyTracker::OnSuccess(Endpoint& endpoint, std::uint32_t request_kind, Milliseconds elapsed) {
  const double latency_ms = std::max(kMinLatencyMs, elapsed.count());
  double& kind_mean_ms = mean_ms_by_kind_.try_emplace(request_kind, latency_ms).first->second;
  kind_mean_ms += kOverallWeight * (latency_ms - kind_mean_ms);
  UpdateMean(mean_ms_, latency_ms, kOverallWeight);
  UpdateMean(endpoint.mean_latency_ms, latency_ms, kEndpointWeight);
  endpoint.latency_samples = std::min(endpoint.latency_samples + 1, kMaxRatioSamples);
  endpoint.latency_ratio += (latency_ms / kind_mean_ms - endpoint.latency_ratio) /
                            std::max(kMinRatioSamples, endpoint.latency_samples);
}

}  // namespace hingelink::decide
