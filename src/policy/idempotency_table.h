// Attempts that share one execution: those of a keyed request, which must not run twice, and reads of one
// subject while its answer is fresh.
//
// An entry has one holder, the attempt that may run or ran. The others wait for it and are replayed its
// result: of a keyed request as soon as the holder starts, of a read once it has completed well. If the
// holder never runs, or a read fails, the next attempt that waits takes its place.
//
// Memory: an entry for each open or recent keyed request and shared read; see Open() for how long it is kept.
// Host memory for retained keys is bounded by LoadTotals::CanRetainKey().
#ifndef HINGELINK_POLICY_IDEMPOTENCY_TABLE_H_
#define HINGELINK_POLICY_IDEMPOTENCY_TABLE_H_

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
  bool is_replayable = false;       // Attempts are answered with the holder's result from now on.
  bool is_key_retained = false;     // The host retains the holder's key, until `expires_at`.
  RequestId holder = 0;             // The attempt that may run, or ran; 0 while there is none.
  double expires_at = 0;            // When the key is of no use any more.
  double host_expires_at = 0;       // When the host releases it by itself.
  std::vector<RequestId> waiters;   // Attempts that wait for the holder's outcome.
  std::vector<RequestId> attempts;  // All, under whose ids the entry is found.
};
using IdempotencyEntryPtr = std::shared_ptr<IdempotencyEntry>;

// What happens to an attempt whose holder did not run.
class WaiterHandler {
 public:
  virtual ~WaiterHandler() = default;
  // The attempt is the holder now: it waits for a start.
  virtual void QueueWaiter(RequestId id, OpenRequest& request) = 0;
  // The attempt cannot run.
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

  // Whether this arrival may share the result of another read.
  bool IsSharedRead(const Arrival& arrival, const OpenRequest& request) const;

  // Whether an arrival that names an original shares that one's execution: it then waits or is replayed.
  // `batch` holds the events of this step: attempts that were read together name each other, and the first
  // opens the entry.
  [[nodiscard]] bool Join(const Arrival& arrival, OpenRequest& request, std::span<const Event> batch);
  // Makes the attempt the holder of a new entry. Returns false if there is no memory for its key: a keyed
  // request must not run then. The entry is kept for twice the idempotency window and deadline, as attempts
  // may be read late.
  bool Open(RequestId id, OpenRequest& request, double now);

  // The execution of a holder has started.
  void OnStarted(const OpenRequest& request);
  // The execution of a request has ended; `has_result` if its result can answer others.
  void OnFinished(RequestId id, const OpenRequest& request, bool has_result, double now,
                  WaiterHandler& handler);
  // `id`, an attempt of this entry, is complete and never ran.
  void OnNeverRan(RequestId id, const IdempotencyEntryPtr& entry, double now, WaiterHandler& handler);

  // Releases the keys and forgets the entries that have expired.
  void Expire(double now);

 private:
  void AddAttempt(const IdempotencyEntryPtr& entry, RequestId id, OpenRequest& request);
  // Makes the attempt the holder and has its key retained. Returns false if there is no memory for it.
  bool RetainKey(RequestId id, const OpenRequest& request, const IdempotencyEntryPtr& entry, double now);
  void PassToNextWaiter(const IdempotencyEntryPtr& entry, double now, WaiterHandler& handler);
  void ReplayWaiters(IdempotencyEntry& entry);
  void Replay(RequestId id);
  void KeyReleased(IdempotencyEntry& entry);
  void RemoveEntry(IdempotencyEntry& entry);

  const Settings& settings_;
  const ClassTable& classes_;
  OpenRequests& requests_;
  LoadTotals& totals_;
  const Drain& drain_;
  ActionSink& actions_;

  std::unordered_map<RequestId, IdempotencyEntryPtr> entries_;  // By each attempt.
  std::deque<std::pair<double, IdempotencyEntryPtr>> entries_by_expiry_;
  std::multimap<double, IdempotencyEntryPtr> keys_by_expiry_;
};

}  // namespace hingelink::policy

#endif  // HINGELINK_POLICY_IDEMPOTENCY_TABLE_H_
