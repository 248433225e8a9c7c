// One sample of the server's gauges.
#ifndef HINGELINK_POLICY_GAUGE_SAMPLE_H_
#define HINGELINK_POLICY_GAUGE_SAMPLE_H_

#include <vector>

#include "hingelink/server_policy.h"

namespace hingelink::policy {

// Time between two samples in ms: several within the half second over which the host averages cpu_busy.
inline constexpr double kSampleIntervalMs = 25;

struct GaugeSample {
  double cpu_busy = 1;  // Fraction of the cores that was busy recently.
  double runnable = 0;  // Threads that run or want to.
};

// Reads the gauges in the order of Settings::gauges. A missing cpu_busy counts as fully busy, a missing
// runnable as `running`, the executions that the policy knows of.
GaugeSample ReadGauges(const Settings& settings, const std::vector<double>& gauges, int running);

}  // namespace hingelink::policy

#endif  // HINGELINK_POLICY_GAUGE_SAMPLE_H_
