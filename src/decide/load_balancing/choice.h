// Types for the choice of an endpoint for a request: the request's traits, the choice and its reason.
#ifndef HINGELINK_DECIDE_LOAD_BALANCING_CHOICE_H_
#define HINGELINK_DECIDE_LOAD_BALANCING_CHOICE_H_

#include <cstdint>

#include "decide/milliseconds.h"

namespace hingelink::decide {

// Identifies an endpoint while it is listed, and while requests of this node are in flight there.
using EndpointId = std::uint32_t;
inline constexpr EndpointId kNoEndpoint = UINT32_MAX;

// What the load balancer knows of a request.
struct RequestTraits {
  std::uint32_t request_kind = 0;  // Requests of the same kind have similar execution times.
  bool is_idempotent = true;       // The request may be executed twice.
};

enum class RequestOutcome : std::uint8_t {
  kSuccess,
  kError,        // The request was executed and failed.
  kNotExecuted,  // The endpoint has confirmed that it never executed the request.
};

enum class ChoiceReason : std::uint8_t {
  kPolicy,         // The configured policy chose among the available endpoints.
  kOnlyEndpoint,   // No other endpoint was available.
  kUnprobed,       // The endpoint received no request of this node for a long time.
  kHalfOpenProbe,  // Tests whether the ejected endpoint has recovered.
  kAllEjected,     // No active endpoint was available, so all connected active ones were candidates.
  kRetry,          // Retry of a request that another endpoint did not execute.
};

// Returns the word that records contain, such as "chosen".
[[nodiscard]] const char* ChoiceReasonName(ChoiceReason reason);

struct Choice {
  EndpointId endpoint = kNoEndpoint;
  ChoiceReason reason = ChoiceReason::kPolicy;
};

// A recent choice, for operators.
struct ChoiceRecord {
  Milliseconds at{0};
  EndpointId endpoint = kNoEndpoint;
  EndpointId alternative = kNoEndpoint;  // The best endpoint not chosen, if the policy compared several.
  ChoiceReason reason = ChoiceReason::kPolicy;
  // The values that the policy compared. The endpoint with the smaller cost is chosen.
  double cost = 0;
  double alternative_cost = 0;
};

}  // namespace hingelink::decide

#endif  // HINGELINK_DECIDE_LOAD_BALANCING_CHOICE_H_
