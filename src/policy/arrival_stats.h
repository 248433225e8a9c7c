// The fraction of recent arrivals that are retries, and the fraction that was rejected at the queue limit.
#ifndef HINGELINK_POLICY_ARRIVAL_STATS_H_
#define HINGELINK_POLICY_ARRIVAL_STATS_H_

#include "policy/moving_fraction.h"

namespace hingelink::policy {

// Not thread-safe.
class ArrivalStats {
 public:
  void CountArrival(bool is_retry) {
    DecayTowardZero(rejected_fraction_, kArrivalWeight);
    retry_fraction_ += kArrivalWeight * ((is_retry ? 1 : 0) - retry_fraction_);
  }
  // Counts a rejection at the queue limit. `weight`: 1 for a request within its tenant's quota, less for a
  // request above its quota.
  void CountRejection(double weight) { rejected_fraction_ += kArrivalWeight * weight; }

  // Whether the fraction of retries is so high that the whole fleet must be overloaded, so that other servers
  // reject requests too.
  bool IsRetryStorm() const { return retry_fraction_ > kRetryStormFraction; }
  double rejected_fraction() const { return rejected_fraction_; }

 private:
  // Weight of a new arrival in the moving fractions. They cover about the last 25 arrivals, which is a few
  // seconds on a small server.
  static constexpr double kArrivalWeight = 0.04;
  static constexpr double kRetryStormFraction = 0.25;

  double retry_fraction_ = 0;
  double rejected_fraction_ = 0;
};

}  // namespace hingelink::policy

#endif  // HINGELINK_POLICY_ARRIVAL_STATS_H_
