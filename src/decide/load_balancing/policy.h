// The algorithms by which the load balancer chooses among the available endpoints.
#ifndef HINGELINK_DECIDE_LOAD_BALANCING_POLICY_H_
#define HINGELINK_DECIDE_LOAD_BALANCING_POLICY_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace hingelink::decide {

enum class Policy : std::uint8_t {
  kRandom,
  kRoundRobin,
  kLeastLocalLoad,             // The endpoint with the fewest requests of this node in flight.
  kTwoChoicesLocalLoad,        // Of two random endpoints, the one with fewer requests of this node.
  kTwoChoicesReportedLoad,     // Of two random endpoints, the one with the smaller estimated load.
  kProbePool,                  // Of the endpoints with a recent load report, the fastest that is not hot.
  kTwoChoicesExpectedLatency,  // Of two random endpoints, the one with the smaller expected latency.
};
inline constexpr std::size_t kPolicies = 7;

// Returns the word that options and records contain, such as "two-own".
[[nodiscard]] const char* PolicyName(Policy policy);
// Returns nothing if no policy has this name.
[[nodiscard]] std::optional<Policy> ParsePolicy(const std::string& name);

// Whether the policy compares endpoints by the load that they report.
[[nodiscard]] bool UsesLoadReports(Policy policy);

}  // namespace hingelink::decide

#endif  // HINGELINK_DECIDE_LOAD_BALANCING_POLICY_H_
