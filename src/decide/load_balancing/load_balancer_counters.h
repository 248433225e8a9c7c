// Counters of the load balancer since its construction.
#ifndef HINGELINK_DECIDE_LOAD_BALANCING_LOAD_BALANCER_COUNTERS_H_
#define HINGELINK_DECIDE_LOAD_BALANCING_LOAD_BALANCER_COUNTERS_H_

#include <cstdint>

namespace hingelink::decide {

struct LoadBalancerCounters {
  std::uint64_t requests = 0;  // Choices of an endpoint, retries included.
  std::uint64_t retries = 0;
  std::uint64_t retries_denied = 0;    // The retry budget was empty.
  std::uint64_t unprobed_choices = 0;  // Of endpoints that had received no request for a long time.
  std::uint64_t half_open_probes = 0;
  std::uint64_t ejections = 0;
  std::uint64_t recoveries = 0;  // From the half-open state.
  std::uint64_t expansions = 0;
  std::uint64_t contractions = 0;
  std::uint64_t polls = 0;
  std::uint64_t all_ejected_choices = 0;  // Choices while no active endpoint was available.
  std::uint64_t no_endpoint = 0;          // Requests that found no connected endpoint.
};

}  // namespace hingelink::decide

#endif  // HINGELINK_DECIDE_LOAD_BALANCING_LOAD_BALANCER_COUNTERS_H_
