#include "policy/busy_gate.h"

namespace hingelink::policy {
namespace {

constexpr double kMeasurementMs = 1000;
// The server is busy if fewer cores than this are idle. The value is 5% of the six cores in HPL-98-164R1. It
// is an absolute number because cores become idle one execution at a time: a saturated server with fewer
// cores has as many idle cores on average.
constexpr double kIdleCores = 0.3;

}  // namespace

void BusyGate::Begin(double now) { next_decision_at_ = now + kMeasurementMs; }

void BusyGate::OnSample(double now, double cpu_busy) {
  cpu_busy_sum_ += cpu_busy;
  ++sample_count_;
  if (now < next_decision_at_) return;
  next_decision_at_ = now + kMeasurementMs;
  const double mean_busy = cpu_busy_sum_ / sample_count_;
  is_busy_ = (1 - mean_busy) * settings_.cores < kIdleCores;
  cpu_busy_sum_ = 0;
  sample_count_ = 0;
}

}  // namespace hingelink::policy
