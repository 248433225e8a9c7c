// Decides which requests are above their tenant's quota.
#ifndef HINGELINK_POLICY_TENANT_QUOTAS_H_
#define HINGELINK_POLICY_TENANT_QUOTAS_H_

#include <cstddef>
#include <vector>

#include "hingelink/server_policy.h"

namespace hingelink::policy {

// Keeps a token bucket for each tenant. The bucket is refilled at this server's part of the tenant's
// fleet-wide quota; each first attempt takes a token, retries take none. A tenant with an empty bucket is
// over its quota only while it also sends more than its fraction of the arrivals. On one server of a large
// fleet, a small quota is less than one request per second, and random variation alone can empty the bucket.
// Not thread-safe. `settings` must outlive the object.
class TenantQuotas {
 public:
  explicit TenantQuotas(const Settings& settings) : settings_(settings) {}

  // Resets the state to full buckets for Settings::tenants.
  void Reset();
  // Counts an arrival and returns whether it is above its tenant's quota. `now` in ms.
  bool IsOverQuota(const Arrival& arrival, bool is_retry, double now);

 private:
  // This server's part of the tenant's quota, in requests per ms.
  double LocalQuotaPerMs(const Tenant& tenant) const;
  double BucketSize(const Tenant& tenant) const;
  void Refill(double now);
  bool SendsMoreThanItsFraction(std::size_t tenant) const;

  const Settings& settings_;
  std::vector<double> tokens_;            // Tokens in the bucket, by tenant; a request takes one.
  std::vector<double> arrival_fraction_;  // Fraction of recent first attempts, by tenant.
  double refilled_at_ = 0;
};

}  // namespace hingelink::policy

#endif  // HINGELINK_POLICY_TENANT_QUOTAS_H_
