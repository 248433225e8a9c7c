#include "policy/idempotency_table.h"

#include <algorithm>
#include <iterator>

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
  const double removed_at = now + kRetainedWindows * (config.idempotency_window_ms + config.deadline_ms);
  entry->entry_number = ++last_number_;
  entries_by_age_.emplace(entry->entry_number, std::pair(removed_at, entry));
  return true;
}

void IdempotencyTable::AddAttempt(const IdempotencyEntryPtr& entry, RequestId id, OpenRequest& request) {
  request.idempotency = entry;
  entries_[id] = entry;
  entry->attempts.push_back(id);
  ForgetOldAttempts(*entry);
}

// The number of open attempts is bounded by other limits. One that is met here, or the holder, moves to the
// end. The checks are limited, so that many open attempts cost no more time than a few.
void IdempotencyTable::ForgetOldAttempts(IdempotencyEntry& entry) {
  constexpr int kMaxChecks = 4;
  for (int checks = 0; checks < kMaxChecks && entry.attempts.size() > kMaxRememberedAttempts; ++checks) {
    const RequestId oldest = entry.attempts.front();
    entry.attempts.pop_front();
    if (oldest == entry.holder || requests_.Find(oldest) != nullptr) {
      entry.attempts.push_back(oldest);
    } else {
      entries_.erase(oldest);
    }
  }
}

bool IdempotencyTable::RetainKey(RequestId id, const OpenRequest& request, const IdempotencyEntryPtr& entry,
                                 double now) {
  const bool is_keyed = classes_.IsKeyed(request);
  if (!totals_.CanRetainKey(is_keyed)) return false;
  entry->holder = id;
  entry->is_key_retained = true;
  entry->is_keyed = is_keyed;
  totals_.RetainKey();
  const double useful_ms = is_keyed ? classes_.ConfigOf(request).idempotency_window_ms
                                    : request.deadline - now + settings_.read_cache_ttl_ms;
  const double ttl_ms = settings_.min_batch_interval_ms + useful_ms;
  entry->host_expires_at = now + ttl_ms;
  SetKeyExpiry(entry, now + ttl_ms);
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
  if (entry->is_key_retained) SetKeyExpiry(entry, now + settings_.read_cache_ttl_ms);
  ReplayWaiters(*entry);
}

void IdempotencyTable::OnClosedUnexecuted(RequestId id, const IdempotencyEntryPtr& entry, double now,
                                          WaiterHandler& handler) {
  if (entry && entry->holder == id) PassToNextWaiter(entry, now, handler);
}

void IdempotencyTable::OnWaiterClosed(RequestId id, const OpenRequest& request) {
  if (!request.idempotency) return;
  // An attempt that leaves early is near the end.
  std::vector<RequestId>& waiters = request.idempotency->waiters;
  const auto found = std::find(waiters.rbegin(), waiters.rend(), id);
  if (found != waiters.rend()) waiters.erase(std::next(found).base());
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
  while (!keys_by_expiry_.empty() && keys_by_expiry_.begin()->first.first < now) {
    const IdempotencyEntryPtr entry = keys_by_expiry_.begin()->second;
    if (entry->expires_at < entry->host_expires_at) actions_.Emit(ReleaseKey{entry->holder});
    MarkKeyReleased(*entry);
    if (!entry->is_keyed) expired_reads_.push_back(entry->entry_number);
  }
  for (; expired_reads_.size() > kMaxExpiredReads; expired_reads_.pop_front()) {
    const auto found = entries_by_age_.find(expired_reads_.front());
    if (found == entries_by_age_.end()) continue;
    const IdempotencyEntryPtr entry = found->second.second;
    if (!entry->is_key_retained) RemoveEntry(*entry);
  }
  while (!entries_by_age_.empty() && entries_by_age_.begin()->second.first < now) {
    const IdempotencyEntryPtr entry = entries_by_age_.begin()->second.second;
    RemoveEntry(*entry);
  }
}

void IdempotencyTable::SetKeyExpiry(const IdempotencyEntryPtr& entry, double expires_at) {
  keys_by_expiry_.erase(entry->key_position);
  entry->expires_at = expires_at;
  entry->key_position = {expires_at, ++last_number_};
  keys_by_expiry_.emplace(entry->key_position, entry);
}

// May free the entry if the caller holds no reference to it.
void IdempotencyTable::MarkKeyReleased(IdempotencyEntry& entry) {
  if (!std::exchange(entry.is_key_retained, false)) return;
  totals_.ReleaseKey();
  keys_by_expiry_.erase(entry.key_position);
}

// May free the entry if the caller holds no reference to it.
void IdempotencyTable::RemoveEntry(IdempotencyEntry& entry) {
  for (const RequestId attempt : std::exchange(entry.attempts, {})) entries_.erase(attempt);
  MarkKeyReleased(entry);
  entries_by_age_.erase(entry.entry_number);
}

}  // namespace hingelink::policy
