#include "policy/idempotency_table.h"

#include <algorithm>

namespace hingelink::policy {
namespace {

// An entry is kept for this many times its idempotency window and deadline, because attempts may be read
// late.
constexpr double kRetainedWindows = 2;

bool HasArrival(std::span<const Event> batch, RequestId id) {
  return std::any_of(batch.begin(), batch.end(), [id](const Event& event) {
    const auto* arrival = std::get_if<Arrival>(&event);
    return arrival != nullptr && arrival->id == id;
  });
}

}  // namespace

bool IdempotencyTable::IsSharedRead(const Arrival& arrival, const OpenRequest& request) const {
  return classes_.IsIdempotent(request) && settings_.read_cache_ttl_ms > 0 && arrival.subject != 0 &&
         !arrival.is_write;
}

bool IdempotencyTable::Join(const Arrival& arrival, OpenRequest& request, std::span<const Event> batch) {
  const auto found = entries_.find(arrival.original);
  if (found == entries_.end()) {
    if (HasArrival(batch, arrival.original)) return false;
    // The original was executed, but its entry has been removed. A keyed request must not be executed again.
    const bool is_keyed = classes_.IsKeyed(request);
    if (is_keyed) Replay(arrival.id);
    return is_keyed;
  }
  const IdempotencyEntryPtr entry = found->second;
  AddAttempt(entry, arrival.id, request);
  if (entry->is_replayable) {
    Replay(arrival.id);
  } else {
    request.state = RequestState::kWaitingForOriginal;
    entry->waiters.push_back(arrival.id);
  }
  return true;
}

bool IdempotencyTable::Open(RequestId id, OpenRequest& request, double now) {
  const auto entry = std::make_shared<IdempotencyEntry>();
  if (!RetainKey(id, request, entry, now)) return false;
  AddAttempt(entry, id, request);
  const RequestClass& config = classes_.ConfigOf(request);
  entries_by_expiry_.emplace_back(
      now + kRetainedWindows * (config.idempotency_window_ms + config.deadline_ms), entry);
  return true;
}

void IdempotencyTable::AddAttempt(const IdempotencyEntryPtr& entry, RequestId id, OpenRequest& request) {
  request.idempotency = entry;
  entries_[id] = entry;
  entry->attempts.push_back(id);
}

bool IdempotencyTable::RetainKey(RequestId id, const OpenRequest& request, const IdempotencyEntryPtr& entry,
                                 double now) {
  const bool is_keyed = classes_.IsKeyed(request);
  if (!totals_.CanRetainKey(is_keyed)) return false;
  entry->holder = id;
  entry->is_key_retained = true;
  totals_.RetainKey();
  const double useful_ms = is_keyed ? classes_.ConfigOf(request).idempotency_window_ms
                                    : request.deadline - now + settings_.read_cache_ttl_ms;
  const double ttl_ms = settings_.min_batch_interval_ms + useful_ms;
  entry->expires_at = entry->host_expires_at = now + ttl_ms;
  keys_by_expiry_.insert({entry->expires_at, entry});
  actions_.Emit(hingelink::RetainKey{id, ttl_ms});
  return true;
}

void IdempotencyTable::OnStarted(const OpenRequest& request) {
  // Once an attempt of a keyed request has started, no other attempt may be executed, whatever the outcome.
  if (request.idempotency && classes_.IsKeyed(request)) ReplayWaiters(*request.idempotency);
}

void IdempotencyTable::OnFinished(RequestId id, const OpenRequest& request, bool has_result, double now,
                                  WaiterHandler& handler) {
  const IdempotencyEntryPtr entry = request.idempotency;
  if (!entry || entry->holder != id || classes_.IsKeyed(request)) return;
  if (!has_result) return PassToNextWaiter(entry, now, handler);
  entry->expires_at = now + settings_.read_cache_ttl_ms;
  keys_by_expiry_.insert({entry->expires_at, entry});
  ReplayWaiters(*entry);
}

void IdempotencyTable::OnClosedUnexecuted(RequestId id, const IdempotencyEntryPtr& entry, double now,
                                          WaiterHandler& handler) {
  if (entry && entry->holder == id) PassToNextWaiter(entry, now, handler);
}

void IdempotencyTable::PassToNextWaiter(const IdempotencyEntryPtr& entry, double now,
                                        WaiterHandler& handler) {
  if (entry->is_key_retained) actions_.Emit(ReleaseKey{entry->holder});
  MarkKeyReleased(*entry);
  entry->holder = 0;
  for (const RequestId waiter : std::exchange(entry->waiters, {})) {
    OpenRequest* request = requests_.Find(waiter);
    if (request == nullptr) continue;
    if (entry->holder != 0) {
      entry->waiters.push_back(waiter);
    } else if (!drain_.IsPastGrace(request->arrived_at) && RetainKey(waiter, *request, entry, now)) {
      handler.QueueWaiter(waiter, *request);
    } else {
      handler.RejectWaiter(waiter, *request);
    }
  }
  if (entry->holder == 0) RemoveEntry(*entry);
}

void IdempotencyTable::ReplayWaiters(IdempotencyEntry& entry) {
  entry.is_replayable = true;
  for (const RequestId waiter : std::exchange(entry.waiters, {})) Replay(waiter);
}

void IdempotencyTable::Replay(RequestId id) {
  OpenRequest* request = requests_.Find(id);
  if (request == nullptr) return;
  request->state = RequestState::kReplaying;
  actions_.Emit(hingelink::Replay{id});
}

void IdempotencyTable::Expire(double now) {
  while (!keys_by_expiry_.empty() && keys_by_expiry_.begin()->first < now) {
    const auto [expires_at, entry] = *keys_by_expiry_.begin();
    keys_by_expiry_.erase(keys_by_expiry_.begin());
    // An entry is inserted again when a result shortens or a new holder extends its expiry. Skip outdated
    // elements.
    if (!entry->is_key_retained || entry->expires_at > expires_at) continue;
    if (entry->expires_at < entry->host_expires_at) actions_.Emit(ReleaseKey{entry->holder});
    MarkKeyReleased(*entry);
  }
  for (; !entries_by_expiry_.empty() && entries_by_expiry_.front().first < now;
       entries_by_expiry_.pop_front())
    RemoveEntry(*entries_by_expiry_.front().second);
}

void IdempotencyTable::MarkKeyReleased(IdempotencyEntry& entry) {
  if (std::exchange(entry.is_key_retained, false)) totals_.ReleaseKey();
}

void IdempotencyTable::RemoveEntry(IdempotencyEntry& entry) {
  for (const RequestId attempt : std::exchange(entry.attempts, {})) entries_.erase(attempt);
  MarkKeyReleased(entry);
}

}  // namespace hingelink::policy
