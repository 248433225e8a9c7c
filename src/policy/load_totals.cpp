#include "policy/load_totals.h"

namespace hingelink::policy {
namespace {

// Usable fraction of the memory. The rest is kept free for the requests that are read within one batch.
constexpr double kMemoryWatermark = 0.92;
// Limits on the memory of queued requests and of idempotency keys, as fractions of the total memory.
// Executions need the larger part.
constexpr double kQueueMemoryFraction = 0.25;
constexpr double kKeyMemoryFraction = 0.5;

}  // namespace

void LoadTotals::MoveToRunning(const OpenRequest& request) {
  RemoveQueuedWork(request);
  ReleaseMemory(request);
  running_kb_ += request.reserved_kb * settings_.running_memory_factor;
  ++running_;
}

void LoadTotals::FinishRunning(const OpenRequest& request) {
  running_kb_ -= request.reserved_kb * settings_.running_memory_factor;
  --running_;
}

bool LoadTotals::IsQueueMemoryFull() const {
  return queued_kb_ > kQueueMemoryFraction * settings_.memory_kb ||
         MemoryKb() > kMemoryWatermark * settings_.memory_kb;
}

bool LoadTotals::CanStart(const OpenRequest& request) const {
  const double growth_kb = request.reserved_kb * (settings_.running_memory_factor - 1);
  return MemoryKb() + growth_kb <= kMemoryWatermark * settings_.memory_kb;
}

bool LoadTotals::CanRetainKey(bool keyed) const {
  const double fraction = keyed ? kKeyMemoryFraction : kQueueMemoryFraction;
  return keys_kb_ + settings_.idempotency_key_kb <= fraction * settings_.memory_kb &&
         MemoryKb() + settings_.idempotency_key_kb <= kMemoryWatermark * settings_.memory_kb;
}

}  // namespace hingelink::policy
