#include "policy/drain.h"

#include <algorithm>

namespace hingelink::policy {
namespace {

// All requests are answered this many batch intervals before the process is killed.
constexpr double kBatchesBeforeKill = 8;

}  // namespace

bool Drain::Begin(double now, double remaining_ms) {
  if (is_draining_) return false;
  is_draining_ = true;
  began_at_ = now;
  answer_by_ = now + std::max(0.0, remaining_ms - kBatchesBeforeKill * settings_.min_batch_interval_ms);
  return true;
}

bool Drain::IsPastGrace(double arrived_at) const {
  return is_draining_ && arrived_at > began_at_ + settings_.drain_grace_ms;
}

}  // namespace hingelink::policy
