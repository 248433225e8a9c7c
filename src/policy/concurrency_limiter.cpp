#include "policy/concurrency_limiter.h"

#include <algorithm>
#include <cmath>

namespace hingelink::policy {
namespace {

// Target number of runnable threads in excess of the cores. The target does not scale with the number of
// cores: cores become idle one execution at a time, so two cores need as many spare threads as six.
constexpr double kSpareRunnable = 2.0;
// Fraction of the error that is corrected with each sample.
constexpr double kLimiterGain = 0.10;

}  // namespace

void ConcurrencyLimiter::Begin(double now) {
  limit_ = settings_.cores;
  began_at_ = now;
}

void ConcurrencyLimiter::OnSample(double now, const GaugeSample& sample, int running, bool has_queued) {
  const double error = settings_.cores + kSpareRunnable - sample.runnable;
  const bool limit_binds = running >= std::floor(limit_) - 1;
  const bool may_rise = has_queued && limit_binds;
  if (error < 0 || may_rise) limit_ += kLimiterGain * error;
  const double min_limit = settings_.cores;
  limit_ = std::clamp(limit_, min_limit, std::max(min_limit, SustainableLimit(now)));
}

bool ConcurrencyLimiter::CanStart(int running) const { return running < std::floor(limit_); }

double ConcurrencyLimiter::SustainableLimit(double now) const {
  const bool is_warmed_up = !settings_.warming_up || now - began_at_ >= settings_.warm_up_ms;
  if (is_warmed_up) return settings_.cores * settings_.max_running_per_core;
  const double surplus = settings_.max_running_per_core - 1;
  return settings_.cores * (1 + surplus * settings_.warm_up_speed_fraction);
}

}  // namespace hingelink::policy
