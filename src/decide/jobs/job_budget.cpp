#include "decide/jobs/job_budget.h"

#include <algorithm>

namespace hingelink::decide {
namespace {

// Minimum wait until the bucket is expected to cover a cost. Without it, a wait that rounds to 0 would make
// the caller wake up in a busy loop.
constexpr JobTime kMinWait{1};

JobCost Scaled(const JobCost& cost, double factor) { return {cost.cpu * factor, cost.bytes * factor}; }

}  // namespace

JobBudget::JobBudget(const JobBudgetOptions& options, JobTime now)
    : accrual_per_ms_{JobTime(options.cpu_fraction), options.bytes_per_second / 1000},
      capacity_(Scaled(accrual_per_ms_, options.max_burst.count())),
      balance_(capacity_),
      refilled_at_(now) {}

void JobBudget::Refill(JobTime now) {
  const double elapsed_ms = std::max(0.0, (now - refilled_at_).count());
  refilled_at_ = std::max(refilled_at_, now);
  balance_ += Scaled(accrual_per_ms_, elapsed_ms);
  balance_ = BoundByCapacity(balance_);
}

void JobBudget::Settle(const JobCost& expected, const JobCost& actual) {
  balance_.cpu += expected.cpu - actual.cpu;
  balance_.bytes += expected.bytes - actual.bytes;
}

bool JobBudget::Covers(const JobCost& cost) const {
  const JobCost needed = BoundByCapacity(cost);
  return balance_.cpu >= needed.cpu && balance_.bytes >= needed.bytes;
}

JobTime JobBudget::CoveredAt(const JobCost& cost) const {
  const JobCost needed = BoundByCapacity(cost);
  const double cpu_wait_ms = (needed.cpu - balance_.cpu) / accrual_per_ms_.cpu;
  const double bytes_wait_ms = (needed.bytes - balance_.bytes) / accrual_per_ms_.bytes;
  return refilled_at_ + std::max({kMinWait, JobTime(cpu_wait_ms), JobTime(bytes_wait_ms)});
}

JobCost JobBudget::BoundByCapacity(const JobCost& cost) const {
  return {std::min(cost.cpu, capacity_.cpu), std::min(cost.bytes, capacity_.bytes)};
}

}  // namespace hingelink::decide
