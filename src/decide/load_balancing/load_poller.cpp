#include "decide/load_balancing/load_poller.h"

#include <algorithm>

#include "decide/load_balancing/random_fraction.h"

namespace hingelink::decide {
namespace {

// Maximum number of probes that accumulate in the budget.
constexpr double kMaxProbeBudget = 8;
// Maximum number of unanswered polls that are recorded per endpoint. Older ones are dropped.
constexpr std::size_t kMaxPendingPolls = 32;

}  // namespace

LoadPoller::LoadPoller(const LoadBalancerOptions& options, EndpointSet& endpoints, const RandomSource& random,
                       LoadBalancerCounters& counters)
    : options_(options),
      endpoints_(endpoints),
      random_(random),
      counters_(counters),
      probe_budget_(options.probes_per_request, kMaxProbeBudget, 0) {}

Milliseconds LoadPoller::PollInterval(Milliseconds now) const {
  const bool has_requests = now - last_start_at_ < options_.idle_poll_interval;
  // Policy::kProbePool receives its reports from probes, see AddProbes().
  const bool needs_reports = UsesLoadReports(options_.policy) && options_.policy != Policy::kProbePool;
  return needs_reports && has_requests ? options_.poll_interval : options_.idle_poll_interval;
}

void LoadPoller::AddScheduled(Milliseconds now, std::vector<EndpointId>& polled) {
  const Milliseconds interval = PollInterval(now);
  for (const EndpointId id : endpoints_.active()) {
    Endpoint& endpoint = endpoints_.at(id);
    if (!endpoint.is_connected || now - endpoint.last_poll_at < interval) continue;
    // The second poll follows the first one after a random fraction of the interval, so that nodes that
    // started at the same time do not poll at the same time.
    const bool is_first = endpoint.last_poll_at == kNever;
    endpoint.last_poll_at = is_first ? now - interval * RandomFraction(random_) : now;
    polled.push_back(id);
  }
}

void LoadPoller::AddProbes(Milliseconds now, std::vector<EndpointId>& polled) {
  const std::vector<EndpointId>& active = endpoints_.active();
  for (; probe_budget_.has_token() && !active.empty(); probe_budget_.Consume()) {
    const EndpointId id = active[random_() % active.size()];
    const bool is_polled = std::find(polled.begin(), polled.end(), id) != polled.end();
    if (!endpoints_.at(id).is_connected || is_polled) continue;
    endpoints_.at(id).last_poll_at = now;
    polled.push_back(id);
  }
}

std::vector<EndpointId> LoadPoller::EndpointsToPoll(Milliseconds now) {
  std::vector<EndpointId> polled;
  AddScheduled(now, polled);
  if (options_.policy == Policy::kProbePool) AddProbes(now, polled);
  for (const EndpointId id : polled) {
    Endpoint& endpoint = endpoints_.at(id);
    endpoint.pending_polls.push_back({now, endpoint.net_starts});
    if (endpoint.pending_polls.size() > kMaxPendingPolls) endpoint.pending_polls.pop_front();
  }
  counters_.polls += polled.size();
  return polled;
}

}  // namespace hingelink::decide
