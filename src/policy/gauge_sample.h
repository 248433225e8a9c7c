// One sample of the gauges that the host reports with each timer event.
#ifndef HINGELINK_POLICY_GAUGE_SAMPLE_H_
#define HINGELINK_POLICY_GAUGE_SAMPLE_H_

#include <vector>

#include "hingelink/server_policy.h"

namespace hingelink::policy {

// Time between two samples in ms. Several samples fall within the half second over which the host averages
// cpu_busy.
inline constexpr double kSampleIntervalMs = 25;

struct GaugeSample {
  double cpu_busy = 1;  // Recently busy fraction of the cores.
  double runnable = 0;  // Number of threads that run or wait for a core.
};

// Reads cpu_busy and runnable from `gauges`, whose values are in the order of Settings::gauges. A missing
// cpu_busy counts as 1. A missing runnable counts as `running`, the number of executions that the policy
// knows of.
GaugeSample ReadGauges(const Settings& settings, const std::vector<double>& gauges, int running);

}  // namespace hingelink::policy

#endif  // HINGELINK_POLICY_GAUGE_SAMPLE_H_
