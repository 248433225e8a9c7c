#include "decide/load_balancing/active_set_scaler.h"

#include <algorithm>

namespace hingelink::decide {
namespace {

// Number of usage samples within LoadBalancerOptions::expansion_interval.
constexpr double kSamplesPerInterval = 4;
// Requests in flight per unit of capacity at full load. LoadBalancerOptions::expansion_threshold is a
// fraction of this load.
constexpr double kFullLoad = 2;
// Up to this many requests in flight of this node are not compared with its share, because requests arrive in
// bursts.
constexpr double kMaxInsignificantRequests = 4;
// Fraction of LoadBalancerOptions::contraction_delay that counts as elapsed after a contraction.
constexpr double kDelayElapsedAfterContraction = 0.9;

}  // namespace

ActiveSetScaler::Usage ActiveSetScaler::SampleUsage(Milliseconds now) const {
  Usage usage{.min_load = 1e9};
  for (const EndpointId id : endpoints_.active()) {
    const Endpoint& endpoint = endpoints_.at(id);
    usage.expansions += endpoint.is_expansion ? 1 : 0;
    if (!endpoint.is_connected) continue;
    const double capacity = endpoint.record.capacity;
    usage.min_load = std::min(usage.min_load, load_.EstimatedLoad(now, endpoint) / capacity);
    usage.capacity_share += capacity / static_cast<double>(endpoint.sharing_nodes);
  }
  return usage;
}

bool ActiveSetScaler::NeedsExpansion(const Usage& usage, std::uint64_t local_in_flight) const {
  const double local = static_cast<double>(local_in_flight);
  const bool exceeds_share = local > kMaxInsignificantRequests &&
                             local > options_.expansion_threshold * kFullLoad * usage.capacity_share;
  return usage.min_load > kFullLoad * options_.expansion_threshold || exceeds_share;
}

void ActiveSetScaler::Update(Milliseconds now, std::uint64_t local_in_flight) {
  if (now - changed_at_ < options_.expansion_interval || endpoints_.active().empty()) return;
  if (now - sampled_at_ < options_.expansion_interval / kSamplesPerInterval) return;
  sampled_at_ = now;
  const Usage usage = SampleUsage(now);
  if (NeedsExpansion(usage, local_in_flight)) {
    needed_at_ = now;
    changed_at_ = now;
    if (endpoints_.active().size() >= options_.max_active_endpoints) return;
    counters_.expansions += endpoints_.Expand(now) ? 1 : 0;
    return;
  }
  if (usage.expansions == 0 || now - needed_at_ <= options_.contraction_delay) return;
  changed_at_ = now;
  if (!endpoints_.Contract()) return;
  ++counters_.contractions;
  // The next contraction follows sooner than the first, but an expansion may follow even sooner.
  needed_at_ = now - options_.contraction_delay * kDelayElapsedAfterContraction;
}

}  // namespace hingelink::decide
