#include "decide/load_balancing/policy.h"

#include <array>

namespace hingelink::decide {
namespace {

// In the order of Policy. Configuration files, options and records contain these words.
constexpr std::array<const char*, kPolicies> kPolicyNames = {
    "random", "round-robin", "least-own", "two-own", "two-asked", "probes", "weighted"};

}  // namespace

const char* PolicyName(Policy policy) { return kPolicyNames.at(static_cast<std::size_t>(policy)); }

std::optional<Policy> ParsePolicy(const std::string& name) {
  for (std::size_t i = 0; i < kPolicies; ++i) {
    if (name == kPolicyNames.at(i)) return static_cast<Policy>(i);
  }
  return std::nullopt;
}

bool UsesLoadReports(Policy policy) { return policy >= Policy::kTwoChoicesReportedLoad; }

}  // namespace hingelink::decide
