#include "decide/load_balancing/latency_tracker.h"

#include <algorithm>

namespace hingelink::decide {
namespace {

// Weight of a response in the mean of its endpoint.
constexpr double kEndpointWeight = 0.1;
// Weight of a response in the means over all endpoints.
constexpr double kOverallWeight = 0.02;
// Shorter latencies count as this long.
constexpr double kMinLatencyMs = 0.01;
// Responses that the latency ratio of an endpoint averages over: at least and at most.
constexpr double kMinRatioSamples = 2;
constexpr double kMaxRatioSamples = 1 / kEndpointWeight;

// Moves the mean towards the value; the first value (the mean is 0) is taken as it is.
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
