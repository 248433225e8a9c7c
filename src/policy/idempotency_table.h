// Attempts that share one execution: attempts of a keyed request, which must not be executed twice, and reads
// of one subject while the cached result is valid.
//
// Each entry has one holder: the attempt that may be executed or was executed. The other attempts wait for
// the holder and are then answered with its result (replayed). Attempts of a keyed request are replayed as
// soon as the holder starts, reads once the holder has succeeded. If the holder is closed without an
// execution, or a read fails, the next waiting attempt becomes the holder.
//
// Memory: an entry for each open or recent keyed request and shared read; see Open() for how long it is kept.
// A request that is closed without an execution leaves nothing behind. The retained keys, and with them the
// entries, are bounded by LoadTotals::CanRetainKey(); an entry remembers kMaxRememberedAttempts closed
// attempts at most.
#ifndef HINGELINK_POLICY_IDEMPOTENCY_TABLE_H_
#define HINGELINK_POLICY_IDEMPOTENCY_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <span>
#include <unordered_map>
#include <utility>
#include <vector>

#include "hingelink/server_policy.h"
#include "policy/action_sink.h"
#include "policy/class_table.h"
#include "policy/drain.h"
#include "policy/load_totals.h"
#include "policy/open_requests.h"

namespace hingelink::policy {

struct IdempotencyEntry {
  bool is_replayable = false;      // Whether further attempts are answered with the holder's result.
  bool is_key_retained = false;    // Whether the host retains the holder's key.
  bool is_keyed = false;           // Whether the attempts are of a keyed request, not reads.
  RequestId holder = 0;            // The attempt that may be or was executed; 0 if there is none.
  double expires_at = 0;           // When the key is no longer needed.
  double host_expires_at = 0;      // When the host releases the key without a ReleaseKey action.
  std::vector<RequestId> waiters;  // Attempts that wait for the holder's outcome.
  std::deque<RequestId> attempts;  // The table maps each of these attempts to this entry. Oldest first.
  // The positions of the entry in the table's lists.
  std::uint64_t entry_number = 0;
  std::pair<double, std::uint64_t> key_position;
};
using IdempotencyEntryPtr = std::shared_ptr<IdempotencyEntry>;

// Handles waiting attempts whose holder was not executed or failed.
class WaiterHandler {
 public:
  virtual ~WaiterHandler() = default;
  // Queues the attempt for a start; it has become the holder.
  virtual void QueueWaiter(RequestId id, OpenRequest& request) = 0;
  // Rejects the attempt; it must not or cannot be executed.
  virtual void RejectWaiter(RequestId id, OpenRequest& request) = 0;
};

// Not thread-safe. All references must outlive the object. Times in ms.
class IdempotencyTable {
 public:
  IdempotencyTable(const Settings& settings, const ClassTable& classes, OpenRequests& requests,
                   LoadTotals& totals, const Drain& drain, ActionSink& actions)
      : settings_(settings),
        classes_(classes),
        requests_(requests),
        totals_(totals),
        drain_(drain),
        actions_(actions) {}

  // Whether this arrival is a read that may share the result of another read.
  bool IsSharedRead(const Arrival& arrival, const OpenRequest& request) const;

  // Adds an arrival with an original to the original's entry, where it waits or is replayed. Returns false if
  // the arrival does not share an execution. `batch`: the events of this step. Attempts in the same batch
  // refer to each other as original; the first of them does not join but opens the entry.
  [[nodiscard]] bool Join(const Arrival& arrival, OpenRequest& request, std::span<const Event> batch);
  // Makes the attempt the holder of a new entry. Returns false if there is no memory for its key; a keyed
  // request must then not be executed. The entry is kept for twice the sum of idempotency window and
  // deadline, because attempts may be read late; that of a read may be removed once its key has expired.
  bool Open(RequestId id, OpenRequest& request, double now);

  // To be called when the execution of a request starts.
  void OnStarted(const OpenRequest& request);
  // To be called when the execution of a request ends. `has_result`: whether its result can answer other
  // attempts.
  void OnFinished(RequestId id, const OpenRequest& request, bool has_result, double now,
                  WaiterHandler& handler);
  // To be called when attempt `id` of `entry` is closed without having been executed. `entry` may be null.
  void OnClosedUnexecuted(RequestId id, const IdempotencyEntryPtr& entry, double now, WaiterHandler& handler);

  // To be called when an attempt that waits for its original is closed.
  void OnWaiterClosed(RequestId id, const OpenRequest& request);

  // Releases expired keys and removes expired entries.
  void Expire(double now);

  // The number of entries, and of all attempts that they remember.
  std::size_t entry_count() const { return entries_by_age_.size(); }
  std::size_t attempt_count() const { return entries_.size(); }

  // Limit of the closed attempts of one entry that later attempts can name as their original, besides the
  // holder.
  static constexpr std::size_t kMaxRememberedAttempts = 64;
  // Limit of the reads whose key has expired. The oldest are removed first.
  static constexpr std::size_t kMaxExpiredReads = 4096;

 private:
  void AddAttempt(const IdempotencyEntryPtr& entry, RequestId id, OpenRequest& request);
  // Removes the oldest closed attempts if there are too many.
  void ForgetOldAttempts(IdempotencyEntry& entry);
  // Makes the attempt the holder and lets the host retain its key. Returns false if there is no memory for
  // the key.
  bool RetainKey(RequestId id, const OpenRequest& request, const IdempotencyEntryPtr& entry, double now);
  void PassToNextWaiter(const IdempotencyEntryPtr& entry, double now, WaiterHandler& handler);
  void ReplayWaiters(IdempotencyEntry& entry);
  void Replay(RequestId id);
  void SetKeyExpiry(const IdempotencyEntryPtr& entry, double expires_at);
  void MarkKeyReleased(IdempotencyEntry& entry);
  void RemoveEntry(IdempotencyEntry& entry);

  const Settings& settings_;
  const ClassTable& classes_;
  OpenRequests& requests_;
  LoadTotals& totals_;
  const Drain& drain_;
  ActionSink& actions_;

  std::unordered_map<RequestId, IdempotencyEntryPtr> entries_;  // By the id of each attempt.
  // The time at which each entry is removed, in the order of Open(). An entry that is removed earlier leaves
  // the list.
  std::map<std::uint64_t, std::pair<double, IdempotencyEntryPtr>> entries_by_age_;
  // The retained keys by expiry, then by the order in which the expiry was set.
  std::map<std::pair<double, std::uint64_t>, IdempotencyEntryPtr> keys_by_expiry_;
  std::uint64_t last_number_ = 0;
  // The entries of reads whose key has expired, by number, oldest first. Some may have been removed since.
  std::deque<std::uint64_t> expired_reads_;
};

}  // namespace hingelink::policy

#endif  // HINGELINK_POLICY_IDEMPOTENCY_TABLE_H_
