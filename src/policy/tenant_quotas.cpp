#include "policy/tenant_quotas.h"

#include <algorithm>
#include <cmath>

#include "policy/moving_fraction.h"

namespace hingelink::policy {
namespace {

// Size of a token bucket, as the time in which it is filled.
constexpr double kBurstMs = 2000;
// Factor on this server's even part of a quota, because callers distribute requests unevenly over the
// servers.
constexpr double kLocalQuotaFactor = 1.25;
// Tolerated excess of a tenant's fraction of recent arrivals, in standard deviations of random variation.
constexpr double kToleratedDeviations = 1.5;
constexpr double kMsPerSecond = 1000;

}  // namespace

void TenantQuotas::Reset() {
  tokens_.clear();
  arrival_fraction_.clear();
  for (const Tenant& tenant : settings_.tenants) {
    tokens_.push_back(BucketSize(tenant));
    arrival_fraction_.push_back(tenant.traffic_fraction);
  }
}

bool TenantQuotas::IsOverQuota(const Arrival& arrival, bool is_retry, double now) {
  const std::size_t tenant = arrival.tenant;
  if (tenant >= tokens_.size() || settings_.over_quota_weight_fraction >= 1) return false;
  const double weight = is_retry ? 0 : kClassSampleWeight;
  for (double& fraction : arrival_fraction_) DecayTowardZero(fraction, weight);
  arrival_fraction_[tenant] += weight;
  Refill(now);
  if (tokens_[tenant] < 1) return SendsMoreThanItsFraction(tenant);
  if (!is_retry) tokens_[tenant] -= 1;
  return false;
}

double TenantQuotas::LocalQuotaPerMs(const Tenant& tenant) const {
  return kLocalQuotaFactor * tenant.quota_rps / settings_.fleet_size / kMsPerSecond;
}

double TenantQuotas::BucketSize(const Tenant& tenant) const { return LocalQuotaPerMs(tenant) * kBurstMs; }

void TenantQuotas::Refill(double now) {
  for (std::size_t i = 0; i < tokens_.size(); ++i) {
    const Tenant& tenant = settings_.tenants[i];
    const double gained = LocalQuotaPerMs(tenant) * (now - refilled_at_);
    tokens_[i] = std::min(BucketSize(tenant), tokens_[i] + gained);
  }
  refilled_at_ = now;
}

bool TenantQuotas::SendsMoreThanItsFraction(std::size_t tenant) const {
  const double fraction = settings_.tenants[tenant].traffic_fraction;
  // Approximate variance of a moving fraction of Bernoulli samples with weight kClassSampleWeight.
  const double variance = std::max(0.0, fraction * (1 - fraction)) * kClassSampleWeight / 2;
  return arrival_fraction_[tenant] > fraction + kToleratedDeviations * std::sqrt(variance);
}

}  // namespace hingelink::policy
