#include "policy/upstream_call_limiter.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace hingelink::policy {
namespace {

// Bounds of the used fraction of the quota, and its initial value.
constexpr double kMinQuotaFraction = 0.31;
constexpr double kMaxQuotaFraction = 0.7;
constexpr double kInitialQuotaFraction = 0.5;
// Rise of the fraction with each call, and its fall with each call while they are slow.
constexpr double kQuotaFractionRise = 0.01;
constexpr double kQuotaFractionFall = 0.02;
// Calls are slow when their mean is above this multiple of the fastest mean; chance alone halves a mean.
constexpr double kSlowFactor = 2.5;
// Weight of a new sample in the mean: the last ten calls.
constexpr double kCallWeight = 0.1;
// Growth of the fastest mean with each call, so that it follows an upstream that became slower for good.
constexpr double kFastestMeanGrowth = 1.001;
// Fraction of a quota below one call that a single long call may use up.
constexpr double kHardQuotaFraction = 0.6;
// Waiting calls for each call that may be in flight, beyond which no more should wait.
constexpr double kMaxWaitingPerCall = 1.5;

}  // namespace

UpstreamCallLimiter::UpstreamCallLimiter(const Settings& settings, std::uint64_t seed)
    : settings_(settings), quota_fraction_(kInitialQuotaFraction) {
  Reconfigure();
  std::mt19937_64 random(seed);
  if (limit_ < 1) mean_in_flight_ = limit_ * std::generate_canonical<double, 32>(random);
}

void UpstreamCallLimiter::Reconfigure() {
  limit_ = settings_.upstream_call_quota > 0 ? settings_.upstream_call_quota * quota_fraction_ : kForever;
}

void UpstreamCallLimiter::BeginStep(double now) {
  while (!abandoned_until_.empty() && abandoned_until_.front() <= now) abandoned_until_.pop_front();
  if (settings_.upstream_call_quota_window_ms > 0) {
    const double decay = std::exp(-(now - step_began_at_) / settings_.upstream_call_quota_window_ms);
    mean_in_flight_ = decay * mean_in_flight_ + (1 - decay) * in_flight_before_;
  }
  step_began_at_ = now;
}

void UpstreamCallLimiter::EndStep() { in_flight_before_ = InFlightWithAbandoned(); }

bool UpstreamCallLimiter::MayStart() const {
  if (InFlightWithAbandoned() + 1 > std::max(1.0, limit_)) return false;
  if (limit_ >= 1) return true;
  // The call counts at its usual length in advance. By the mean so far alone, a fleet of servers with a quota
  // below one call each would all call a slow upstream at once.
  const double expected_share = mean_call_ms_ / settings_.upstream_call_quota_window_ms;
  return mean_in_flight_ + std::min(limit_ / 2, expected_share) <= limit_;
}

double UpstreamCallLimiter::MaxCallMs() const {
  const double hard_limit = kHardQuotaFraction * settings_.upstream_call_quota;
  if (settings_.upstream_call_quota <= 0 || limit_ >= 1 || hard_limit >= 1) return kForever;
  const double until_used_up_ms =
      settings_.upstream_call_quota_window_ms * std::log((1 - mean_in_flight_) / (1 - hard_limit)) -
      settings_.abandoned_call_ms;
  // A call of usual length always fits.
  return std::max({until_used_up_ms, settings_.abandoned_call_ms, 2 * mean_call_ms_});
}

bool UpstreamCallLimiter::IsSaturated(std::size_t waiting) const {
  return static_cast<double>(waiting) > kMaxWaitingPerCall * std::max(1.0, limit_);
}

void UpstreamCallLimiter::OnAbandoned(double now) {
  abandoned_until_.push_back(now + settings_.abandoned_call_ms);
}

void UpstreamCallLimiter::OnOutcome(const UpstreamCallFinished& finished) {
  const bool has_duration = finished.outcome == Outcome::kOk || finished.outcome == Outcome::kTimeout;
  if (settings_.upstream_call_quota <= 0 || !has_duration) return;
  const double weight = std::max(kCallWeight, 1.0 / static_cast<double>(++outcomes_));
  mean_call_ms_ += weight * (finished.elapsed_ms - mean_call_ms_);
  if (static_cast<double>(outcomes_) < 1 / kCallWeight) return;
  fastest_mean_ms_ = std::min(fastest_mean_ms_ * kFastestMeanGrowth, mean_call_ms_);
  const bool is_slow = mean_call_ms_ > kSlowFactor * fastest_mean_ms_;
  quota_fraction_ += is_slow ? -kQuotaFractionFall : kQuotaFractionRise;
  quota_fraction_ = std::clamp(quota_fraction_, kMinQuotaFraction, kMaxQuotaFraction);
  Reconfigure();
}

double UpstreamCallLimiter::InFlightWithAbandoned() const {
  return in_flight_ + static_cast<double>(abandoned_until_.size());
}

}  // namespace hingelink::policy
