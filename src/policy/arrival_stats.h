// What fraction of recent arrivals are retries, and what fraction was rejected at the queue limit.
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
  // `weight`: 1 for a request within its tenant's quota.
  void CountRejection(double weight) { rejected_fraction_ += kArrivalWeight * weight; }

  // Whether so many arrivals are retries that the whole fleet must be overloaded: other servers reject too.
  bool IsRetryStorm() const { return retry_fraction_ > kRetryStormFraction; }
  double rejected_fraction() const { return rejected_fraction_; }

 private:
  // Weight of a new arrival: the last twenty-five, a few seconds of a small server.
  static constexpr double kArrivalWeight = 0.04;
  static constexpr double kRetryStormFraction = 0.25;

  double retry_fraction_ = 0;
  double rejected_fraction_ = 0;
};

}  // namespace hingelink::policy

#endif  // HINGELINK_POLICY_ARRIVAL_STATS_H_
