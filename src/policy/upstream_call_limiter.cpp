#include "policy/upstream_call_limiter.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace hingelink::policy {
namespace {

// Bounds and initial value of the used fraction of the quota.
constexpr double kMinQuotaFraction = 0.31;
constexpr double kMaxQuotaFraction = 0.7;
constexpr double kInitialQuotaFraction = 0.5;
// Change of the used fraction with each ended call: a rise normally, a fall while calls are slow.
constexpr double kQuotaFractionRise = 0.01;
constexpr double kQuotaFractionFall = 0.02;
// Calls are slow if their mean duration is above this multiple of the fastest mean. Random variation alone
// can halve a mean.
constexpr double kSlowFactor = 2.5;
// Weight of a new sample in the mean duration, which covers about the last ten calls.
constexpr double kCallWeight = 0.1;
// Growth factor of the fastest mean with each call, so that it adapts to an upstream that becomes permanently
// slower.
constexpr double kFastestMeanGrowth = 1.001;
// Fraction of a quota below one call that a single long call may use.
constexpr double kHardQuotaFraction = 0.6;
// Number of waiting calls per allowed call in flight above which the limiter is saturated.
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
    mean_in_flight_ = decay * mean_in_flight_ + (1 - decay) * previous_in_flight_;
  }
  step_began_at_ = now;
}

void UpstreamCallLimiter::EndStep() { previous_in_flight_ = InFlightWithAbandoned(); }

bool UpstreamCallLimiter::MayStart() const {
  if (InFlightWithAbandoned() + 1 > std::max(1.0, limit_)) return false;
  if (limit_ >= 1) return true;
  // Add the expected share of the new call to the mean in advance. With the past mean alone, all servers of a
  // fleet with quotas below one call would call a slow upstream at the same time.
  const double expected_share = mean_call_ms_ / settings_.upstream_call_quota_window_ms;
  return mean_in_flight_ + std::min(limit_ / 2, expected_share) <= limit_;
}

double UpstreamCallLimiter::MaxCallMs() const {
  const double hard_limit = kHardQuotaFraction * settings_.upstream_call_quota;
  if (settings_.upstream_call_quota <= 0 || limit_ >= 1 || hard_limit >= 1) return kForever;
  const double until_used_up_ms =
      settings_.upstream_call_quota_window_ms * std::log((1 - mean_in_flight_) / (1 - hard_limit)) -
      settings_.abandoned_call_ms;
  // Always allow a call of the usual duration.
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
