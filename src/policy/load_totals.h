// Sums over all requests in flight: memory, expected work, executions; and the limits on memory.
//
// The sums include the load of the sibling process during a handover, because the limits hold for both
// processes together.
#ifndef HINGELINK_POLICY_LOAD_TOTALS_H_
#define HINGELINK_POLICY_LOAD_TOTALS_H_

#include "hingelink/server_policy.h"
#include "policy/open_request.h"

namespace hingelink::policy {

// Not thread-safe. `settings` must outlive the object.
class LoadTotals {
 public:
  explicit LoadTotals(const Settings& settings) : settings_(settings) {}

  // Memory of a request that is queued, waits for its original or is replayed.
  void ReserveMemory(const OpenRequest& request) { queued_kb_ += request.reserved_kb; }
  void ReleaseMemory(const OpenRequest& request) { queued_kb_ -= request.reserved_kb; }
  // Expected work of a request that waits for a start.
  void AddQueuedWork(const OpenRequest& request) { queued_work_ms_ += request.core_time_ms; }
  void RemoveQueuedWork(const OpenRequest& request) { queued_work_ms_ -= request.core_time_ms; }

  // A queued request starts; its memory grows by Settings::running_memory_factor.
  void MoveToRunning(const OpenRequest& request);
  void FinishRunning(const OpenRequest& request);
  // An execution leaves the cores for an upstream call, and returns.
  void EnterCall() { ++in_calls_; }
  void LeaveCall() { --in_calls_; }

  void RetainKey() { keys_kb_ += settings_.idempotency_key_kb; }
  void ReleaseKey() { keys_kb_ -= settings_.idempotency_key_kb; }

  void SetSibling(const Load& load) { sibling_ = load; }

  // Executions on the cores, upstream calls excluded.
  int running() const { return running_ - in_calls_; }
  int running_with_sibling() const { return running() + sibling_.running; }
  bool has_queued_work() const { return queued_work_ms_ > 0; }
  double queued_work_with_sibling_ms() const { return queued_work_ms_ + sibling_.queued_work_ms; }

  // Whether queued requests fill their part of the memory, or everything together fills all of it.
  bool IsQueueMemoryFull() const;
  // Whether the memory suffices to start `request`.
  bool CanStart(const OpenRequest& request) const;
  // Whether the memory suffices for one more key of a keyed class, or else of a shared read.
  bool CanRetainKey(bool keyed) const;

  // This process's own load.
  Load Current() const { return {running(), queued_kb_ + running_kb_ + keys_kb_, queued_work_ms_}; }

 private:
  double MemoryKb() const { return queued_kb_ + running_kb_ + keys_kb_ + sibling_.memory_kb; }

  const Settings& settings_;
  double queued_kb_ = 0;
  double running_kb_ = 0;
  double keys_kb_ = 0;
  double queued_work_ms_ = 0;
  int running_ = 0;   // Executions, those in upstream calls included.
  int in_calls_ = 0;  // Executions that wait for or make an upstream call.
  Load sibling_;
};

}  // namespace hingelink::policy

#endif  // HINGELINK_POLICY_LOAD_TOTALS_H_
