// A token bucket of CPU time and of written bytes, shared by all background jobs.
#ifndef HINGELINK_DECIDE_JOBS_JOB_BUDGET_H_
#define HINGELINK_DECIDE_JOBS_JOB_BUDGET_H_

#include <chrono>

namespace hingelink::decide {

// A duration in milliseconds, or a point in time on the caller's monotonic clock.
using JobTime = std::chrono::duration<double, std::milli>;

struct JobCost {
  JobTime cpu{0};
  double bytes = 0;  // Bytes written to disk.

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
  // CPU time that accrues, as a fraction of one core.
  double cpu_fraction = 0.02;
  double bytes_per_second = 1 << 20;
  // The bucket holds at most what accrues in this time.
  JobTime max_burst{5'000};
};

// Not thread-safe.
class JobBudget {
 public:
  // The bucket starts full.
  JobBudget(const JobBudgetOptions& options, JobTime now);

  // Adds what accrued since the last call, up to the capacity.
  void Refill(JobTime now);
  // Takes the expected cost of a run from the bucket. The balance may become negative.
  void Reserve(const JobCost& expected) { balance_ -= expected; }
  // Replaces the reservation of a finished run by its actual cost.
  void Settle(const JobCost& expected, const JobCost& actual);
  // Whether the bucket covers the cost. A full bucket covers any cost, even one above its capacity.
  [[nodiscard]] bool Covers(const JobCost& cost) const;
  // Returns when the bucket will cover the cost; never less than 1 ms after the last refill.
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
