// The rules of the service about single attempts, judged by what the gateways and the worker pools saw.
#ifndef HINGELINK_TESTS_SOAK_ATTEMPT_RULES_H_
#define HINGELINK_TESTS_SOAK_ATTEMPT_RULES_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "net/event.h"
#include "standin/gateways.h"

namespace hingelink::soak {

using net::Steady;
using std::chrono::milliseconds;

// One process of a node, as the soak started and ended it.
struct Lifetime {
  std::size_t node = 0;
  Steady::time_point started{};
  std::optional<Steady::time_point> drain_notice;
  // When SIGKILL is due behind the drain notice, or when it was sent without one.
  std::optional<Steady::time_point> kill;
  std::optional<Steady::time_point> ended;
};

// An attempt at its end, and whether a worker pool of its node had started it.
struct JudgedAttempt {
  standin::AttemptReport report;
  bool ran = false;
};

struct AttemptRuleOptions {
  milliseconds slack{0};        // Past the due time of an answer.
  milliseconds drain_grace{0};  // Behind the drain notice, with the protocol's slack.
};

// Returns one line for each kind of violation, with the number of attempts and the first of them.
std::vector<std::string> FindViolations(const std::vector<JudgedAttempt>& attempts,
                                        const std::vector<Lifetime>& lifetimes, Steady::time_point start,
                                        const AttemptRuleOptions& options);

}  // namespace hingelink::soak

#endif  // HINGELINK_TESTS_SOAK_ATTEMPT_RULES_H_
