// A token bucket of CPU time and written bytes that all background jobs share.
#ifndef HINGELINK_DECIDE_JOBS_JOB_BUDGET_H_
#define HINGELINK_DECIDE_JOBS_JOB_BUDGET_H_

#include <chrono>

namespace hingelink::decide {

// A duration, or a point in time on a monotonic clock.
using JobTime = std::chrono::duration<double, std::milli>;

struct JobCost {
  JobTime cpu{0};
  double bytes = 0;  // Written.

  JobCost& operator+=(const JobCost& other) {
    cpu += other.cpu;
    bytes += other.bytes;
    return *this;
  }
  JobCost& operator-=(const JobCost& other) {
    cpu -= other.cpu;
    bytes -= other.bytes;
    return *this;
  }
};

struct JobBudgetOptions {
  // Of one core.
  double cpu_fraction = 0.02;
  double bytes_per_second = 1 << 20;
  // Capacity of the bucket: what accrues in this time.
  JobTime max_burst{5'000};
};

// Not thread-safe.
class JobBudget {
 public:
  // The bucket starts full.
  JobBudget(const JobBudgetOptions& options, JobTime now);

  // Adds what accrued since the last call.
  void Refill(JobTime now);
  // Takes the expected cost of a run; the balance may go below 0.
  void Reserve(const JobCost& expected) { balance_ -= expected; }
  // Replaces the reservation of a run by what it cost.
  void Settle(const JobCost& expected, const JobCost& actual);
  // Whether the bucket covers the cost. A cost above the capacity is covered by a full bucket.
  [[nodiscard]] bool Covers(const JobCost& cost) const;
  // When the bucket will cover the cost, at least 1 ms after the last refill.
  [[nodiscard]] JobTime CoveredAt(const JobCost& cost) const;

 private:
  JobCost BoundByCapacity(const JobCost& cost) const;

  JobCost accrual_per_ms_;
  JobCost capacity_;
  JobCost balance_;
  JobTime refilled_at_;
};

}  // namespace hingelink::decide

#endif  // HINGELINK_DECIDE_JOBS_JOB_BUDGET_H_
