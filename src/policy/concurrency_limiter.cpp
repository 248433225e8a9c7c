#include "policy/concurrency_limiter.h"

#include <algorithm>
#include <cmath>

namespace hingelink::policy {
namespace {

// Runnable threads beyond the cores that the controller steers for. Not proportional to the cores: work ends
// one execution at a time, so two cores need as many to spare as six.
constexpr double kSpareRunnable = 2.0;
// Fraction of the remaining error corrected at each sample.
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
  const double least = settings_.cores;
  limit_ = std::clamp(limit_, least, std::max(least, SurvivableLimit(now)));
}

bool ConcurrencyLimiter::CanStart(int running) const { return running < std::floor(limit_); }

double ConcurrencyLimiter::SurvivableLimit(double now) const {
  const bool is_warm = !settings_.warming_up || now - began_at_ >= settings_.warm_up_ms;
  if (is_warm) return settings_.cores * settings_.max_running_per_core;
  const double surplus = settings_.max_running_per_core - 1;
  return settings_.cores * (1 + surplus * settings_.warm_up_speed_fraction);
}

}  // namespace hingelink::policy
