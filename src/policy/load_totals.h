// Memory, expected work and executions of all requests in flight, and the limits on memory.
//
// During a handover the limits apply to this process and its sibling process together, so the checks include
// the sibling's load.
#ifndef HINGELINK_POLICY_LOAD_TOTALS_H_
#define HINGELINK_POLICY_LOAD_TOTALS_H_

#include "hingelink/server_policy.h"
#include "policy/open_request.h"

namespace hingelink::policy {

// Not thread-safe. `settings` must outlive the object.
class LoadTotals {
 public:
  explicit LoadTotals(const Settings& settings) : settings_(settings) {}

  // Reserve and release the memory of a request that is queued, waits for its original or is replayed.
  void ReserveMemory(const OpenRequest& request) { queued_kb_ += request.reserved_kb; }
  void ReleaseMemory(const OpenRequest& request) { queued_kb_ -= request.reserved_kb; }
  // Add and remove the expected work of a request that waits for a start.
  void AddQueuedWork(const OpenRequest& request) { queued_work_ms_ += request.core_time_ms; }
  void RemoveQueuedWork(const OpenRequest& request) { queued_work_ms_ -= request.core_time_ms; }

  // Counts a queued request as running; its memory is multiplied by Settings::running_memory_factor.
  void MoveToRunning(const OpenRequest& request);
  void FinishRunning(const OpenRequest& request);
  // To be called when an execution begins and ends its wait for an upstream call.
  void EnterCall() { ++in_calls_; }
  void LeaveCall() { --in_calls_; }

  void RetainKey() { keys_kb_ += settings_.idempotency_key_kb; }
  void ReleaseKey() { keys_kb_ -= settings_.idempotency_key_kb; }

  void SetSibling(const Load& load) { sibling_ = load; }

  // Number of executions, excluding those in upstream calls.
  int running() const { return running_ - in_calls_; }
  int running_with_sibling() const { return running() + sibling_.running; }
  bool has_queued_work() const { return queued_work_ms_ > 0; }
  double queued_work_with_sibling_ms() const { return queued_work_ms_ + sibling_.queued_work_ms; }

  // Whether the queued requests exceed their part of the memory, or the total memory exceeds its limit.
  bool IsQueueMemoryFull() const;
  // Whether the memory suffices to start `request`.
  bool CanStart(const OpenRequest& request) const;
  // Whether the memory suffices for one more key, of a keyed class if `keyed`, else of a shared read.
  bool CanRetainKey(bool keyed) const;

  // The load of this process, without its sibling.
  Load Current() const { return {running(), queued_kb_ + running_kb_ + keys_kb_, queued_work_ms_}; }

 private:
  double MemoryKb() const { return queued_kb_ + running_kb_ + keys_kb_ + sibling_.memory_kb; }

  const Settings& settings_;
  double queued_kb_ = 0;
  double running_kb_ = 0;
  double keys_kb_ = 0;
  double queued_work_ms_ = 0;
  int running_ = 0;   // All executions, including those in upstream calls.
  int in_calls_ = 0;  // Executions that wait for or make an upstream call.
  Load sibling_;
};

}  // namespace hingelink::policy

#endif  // HINGELINK_POLICY_LOAD_TOTALS_H_
