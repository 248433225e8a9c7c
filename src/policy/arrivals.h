// What arrivals tell of their callers: how old a try is, and whose share is used up.
#ifndef HINGELINK_POLICY_ARRIVALS_H_
#define HINGELINK_POLICY_ARRIVALS_H_

#include <algorithm>
#include <cmath>
#include <vector>

#include "policy/request.h"

namespace hingelink::policy {

// A caller that still waits as large a part of its class's deadline as this share of others waits so long for
// any try; else its wait tells its age. Parts told apart, and the weight of a new arrival: the last fifty.
constexpr double kUsualWait = 0.1, kWaitMix = 0.02;
constexpr int kWaits = 16;
// ms of quota that a tenant may use at once, and slack on its share of this server: callers spread unevenly.
// Standard deviations of a tenant's part of recent arrivals that chance may take it above its share.
constexpr double kBurstMs = 2000, kQuotaSlack = 1.25, kChance = 1.5;

class CallerWaits {
 public:
  // How old a request is, as a part of its deadline, by what its caller still waits. Guards against a storm
  // of tries in which the cores go to those whose aim passed during the earlier ones.
  double Age(double wait) {
    const int at = std::clamp(static_cast<int>(wait * kWaits), 0, kWaits - 1);
    for (double& share : waits_) Fade(share, kWaitMix);
    waits_[at] += kWaitMix;
    return waits_[at] > kUsualWait ? 0 : std::max(0.0, 1 - wait);
  }

 private:
  std::vector<double> waits_ = std::vector<double>(kWaits, 2 * kUsualWait);  // Of recent arrivals.
};

class TenantShares {
 public:
  explicit TenantShares(const Settings& settings) : s_(settings) {}

  void Take() {
    budget_.clear();
    mix_.clear();
    for (const Tenant& t : s_.tenants) {
      budget_.push_back(QuotaHere(t) * kBurstMs);
      mix_.push_back(t.share);
    }
  }

  // Whether a request is above its tenant's share: its bucket of first tries is empty, and it sends more than
  // its part of what comes here. Guards against a small tenant that is refused for its own unmarked further
  // tries: its quota on one server of a large fleet is less than a request in two seconds.
  bool Over(const Arrival& a, bool retry, double now) {
    if (a.tenant >= budget_.size() || s_.over_share_worth >= 1) return false;
    for (double& share : mix_) Fade(share, retry ? 0 : kMix);
    mix_[a.tenant] += retry ? 0 : kMix;
    for (std::size_t t = 0; t < budget_.size(); ++t) {
      const double quota = QuotaHere(s_.tenants[t]);
      budget_[t] = std::min(quota * kBurstMs, budget_[t] + quota * (now - refill_at_));
    }
    refill_at_ = now;
    const double part = s_.tenants[a.tenant].share;
    if (budget_[a.tenant] < 1)
      return mix_[a.tenant] > part + kChance * std::sqrt(std::max(0.0, part * (1 - part)) * kMix / 2);
    if (!retry) budget_[a.tenant] -= 1;
    return false;
  }

 private:
  // Requests a ms.
  double QuotaHere(const Tenant& t) const { return kQuotaSlack * t.quota_rps / s_.fleet_size / 1000; }

  const Settings& s_;
  std::vector<double> budget_;
  std::vector<double> mix_;  // By tenant: of recent arrivals.
  double refill_at_ = 0;
};

}  // namespace hingelink::policy

#endif  // HINGELINK_POLICY_ARRIVALS_H_
