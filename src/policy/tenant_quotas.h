// Which requests are above their tenant's quota.
#ifndef HINGELINK_POLICY_TENANT_QUOTAS_H_
#define HINGELINK_POLICY_TENANT_QUOTAS_H_

#include <cstddef>
#include <vector>

#include "hingelink/server_policy.h"

namespace hingelink::policy {

// A token bucket for each tenant, filled with this server's part of its fleet-wide quota and emptied by first
// attempts. A tenant with an empty bucket is over its quota only while it also sends more than its fraction
// of the arrivals: on one server of a large fleet a small quota is less than a request per second, and chance
// alone empties the bucket. Not thread-safe. `settings` must outlive the object.
class TenantQuotas {
 public:
  explicit TenantQuotas(const Settings& settings) : settings_(settings) {}

  // Starts anew with full buckets for Settings::tenants.
  void Reset();
  // Whether this arrival is above its tenant's quota. Counts it. `now` in ms.
  bool IsOverQuota(const Arrival& arrival, bool is_retry, double now);

 private:
  // This server's part of the quota, in requests per ms.
  double LocalQuotaPerMs(const Tenant& tenant) const;
  double BucketSize(const Tenant& tenant) const;
  void Refill(double now);
  bool SendsMoreThanItsFraction(std::size_t tenant) const;

  const Settings& settings_;
  std::vector<double> tokens_;            // Requests, by tenant.
  std::vector<double> arrival_fraction_;  // Of recent first attempts, by tenant.
  double refilled_at_ = 0;
};

}  // namespace hingelink::policy

#endif  // HINGELINK_POLICY_TENANT_QUOTAS_H_
