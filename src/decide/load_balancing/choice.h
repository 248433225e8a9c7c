// A request to be balanced, the endpoint chosen for it, and why.
#ifndef HINGELINK_DECIDE_LOAD_BALANCING_CHOICE_H_
#define HINGELINK_DECIDE_LOAD_BALANCING_CHOICE_H_

#include <cstdint>

#include "decide/milliseconds.h"

namespace hingelink::decide {

// Identifies an endpoint while it is listed, and while requests of this node are in flight there.
using EndpointId = std::uint32_t;
inline constexpr EndpointId kNoEndpoint = UINT32_MAX;

struct RequestTraits {
  std::uint32_t request_kind = 0;  // Requests of a kind take similar time.
  bool is_idempotent = true;       // May be executed twice.
};

enum class RequestOutcome : std::uint8_t {
  kSuccess,
  kError,        // Executed, and failed.
  kNotExecuted,  // Proven by the endpoint never to have been executed.
};

enum class ChoiceReason : std::uint8_t {
  kPolicy,
  kOnlyEndpoint,   // No other endpoint was available.
  kUnprobed,       // It received no request of this node for long.
  kHalfOpenProbe,  // Shows whether the ejected endpoint has recovered.
  kAllEjected,     // No endpoint was available: all connected ones were candidates.
  kRetry,          // Of a request that another endpoint did not execute.
};

// The word of records, such as "chosen".
[[nodiscard]] const char* ChoiceReasonName(ChoiceReason reason);

struct Choice {
  EndpointId endpoint = kNoEndpoint;
  ChoiceReason reason = ChoiceReason::kPolicy;
};

// One of the recent choices, for operators.
struct ChoiceRecord {
  Milliseconds at{0};
  EndpointId endpoint = kNoEndpoint;
  EndpointId alternative = kNoEndpoint;  // The best one not chosen, if the policy compared any.
  ChoiceReason reason = ChoiceReason::kPolicy;
  // As the policy compares them; the smaller one is chosen.
  double cost = 0;
  double alternative_cost = 0;
};

}  // namespace hingelink::decide

#endif  // HINGELINK_DECIDE_LOAD_BALANCING_CHOICE_H_
