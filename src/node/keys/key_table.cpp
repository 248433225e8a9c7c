#include "node/keys/key_table.h"

#include <algorithm>

namespace hingelink::node {
namespace {

// Delay until the eviction of an expired key is tried again, if an attempt with the key is still in flight.
constexpr std::chrono::seconds kEvictionRetryInterval{1};

// Reported at least for a retained key. A key whose window has just ended still answers attempts that arrived
// within it, and no remaining time at all would mean that the key is free.
constexpr KeyTable::Millis kMinRemaining{1};

// Capacity including the keys of other processes, as a multiple of Limits::max_keys.
constexpr std::size_t kRemoteCapacityFactor = 2;

KeyTable::Time::duration ToSteady(KeyTable::Millis span) {
  return std::chrono::duration_cast<KeyTable::Time::duration>(span);
}

}  // namespace

bool KeyTable::Record::HolderInFlight() const {
  return std::find(attempts.begin(), attempts.end(), holder) != attempts.end();
}

bool KeyTable::HasExpired(const Record& record, Time arrived) {
  return record.retained && arrived > record.window_end && record.HasFinished();
}

bool KeyTable::IsRepeated(const IdempotencyKey& key, Time arrived) const {
  const auto found = records_.find(key);
  return found != records_.end() && !HasExpired(found->second, arrived);
}

bool KeyTable::MatchesContent(const IdempotencyKey& key, std::uint64_t content_hash, Time arrived) {
  const auto found = records_.find(key);
  if (found == records_.end() || HasExpired(found->second, arrived) ||
      found->second.content_hash == content_hash) {
    return true;
  }
  ++counters_.mismatches;
  return false;
}

KeyTable::Id KeyTable::AddAttempt(const IdempotencyKey& key, std::uint64_t content_hash, Id id, Time arrived,
                                  Time now) {
  Expire(now);
  const auto found = records_.find(key);
  if (found != records_.end() && HasExpired(found->second, arrived)) {
    Erase(found);
  } else if (found != records_.end()) {
    Record& record = found->second;
    // The holder has been removed and no attempt waits for the key. The policy learns of the removal in the
    // same step, so the new attempt may be the first one.
    const bool is_free = record.state == KeyState::kReserved && !record.IsRemote() && record.attempts.empty();
    if (!is_free) {
      record.attempts.push_back(id);
      return record.holder;
    }
    Erase(found);
  }
  Record& record = records_[key];
  record.holder = id;
  record.content_hash = content_hash;
  record.attempts.push_back(id);
  return 0;
}

bool KeyTable::Retain(const IdempotencyKey& key, Id id, Millis ttl, Millis max_delay, Time now) {
  const auto found = records_.find(key);
  if (found == records_.end()) return false;
  Record& record = found->second;
  if (record.state != KeyState::kReserved && record.holder != id) return false;
  if (records_.size() > limits_.max_keys) {
    ++counters_.rejected_at_capacity;
    return false;
  }
  reserved_.erase(record.holder);
  record.holder = id;
  record.retained = true;
  if (record.state == KeyState::kReserved) reserved_[id] = key;
  record.window_end = now + ToSteady(ttl);
  SetEvictionTime(key, record, record.window_end + ToSteady(max_delay));
  return true;
}

std::optional<IdempotencyKey> KeyTable::Release(Id id) {
  // reserved_ does not contain keys whose execution has started, so the policy cannot free such a key and let
  // it run a second time.
  const auto reserved = reserved_.find(id);
  if (reserved == reserved_.end()) return std::nullopt;
  const IdempotencyKey key = reserved->second;
  reserved_.erase(reserved);
  const auto found = records_.find(key);
  if (found->second.attempts.empty()) {
    Erase(found);
  } else {
    found->second.holder = 0;
    found->second.retained = false;
  }
  return key;
}

bool KeyTable::Start(const IdempotencyKey& key, Id id) {
  const auto found = records_.find(key);
  if (found == records_.end()) return false;
  Record& record = found->second;
  if (record.holder != id || !record.retained || record.state != KeyState::kReserved) return false;
  record.state = KeyState::kRunning;
  reserved_.erase(id);
  return true;
}

bool KeyTable::MayHaveRun(const IdempotencyKey& key) const {
  const auto found = records_.find(key);
  return found != records_.end() && found->second.state != KeyState::kReserved;
}

void KeyTable::Finish(const IdempotencyKey& key, Id id, bool succeeded, std::string_view result) {
  const auto found = records_.find(key);
  if (found == records_.end()) return;
  Record& record = found->second;
  if (record.holder != id || record.state != KeyState::kRunning) return;
  record.state = succeeded ? KeyState::kServed : KeyState::kFailed;
  if (succeeded) SetResult(key, record, result);
}

void KeyTable::RemoveAttempt(const IdempotencyKey& key, Id id) {
  const auto found = records_.find(key);
  if (found == records_.end()) return;
  Record& record = found->second;
  std::erase(record.attempts, id);
  // A key that was never retained, or that was released, is not owned by the policy.
  const bool unowned = record.state == KeyState::kReserved && !record.retained && !record.IsRemote();
  if (record.attempts.empty() && unowned) Erase(found);
}

KeyTable::Replay KeyTable::FindReplay(const IdempotencyKey& key) const {
  using Status = Replay::Status;
  const auto found = records_.find(key);
  if (found == records_.end()) return {Status::kFailed, nullptr};
  const Record& record = found->second;
  switch (record.state) {
    case KeyState::kServed:
      if (!record.result) return {Status::kFailed, nullptr};
      return {Status::kResult, &*record.result};
    case KeyState::kFailed:
      return {Status::kFailed, nullptr};
    case KeyState::kRunning:
      return {Status::kPending, nullptr};
    case KeyState::kReserved:
      break;
  }
  const bool may_still_run = record.IsRemote() || record.HolderInFlight();
  return {may_still_run ? Status::kPending : Status::kFailed, nullptr};
}

KeyUpdate KeyTable::UpdateOf(const IdempotencyKey& key, Time now) const {
  const auto found = records_.find(key);
  // No attempt with a key without a record has run, so the key is reported as free.
  if (found == records_.end()) {
    return {.key = key,
            .content_hash = 0,
            .state = KeyState::kReserved,
            .remaining = Millis(0),
            .result = std::nullopt};
  }
  const Record& record = found->second;
  return {.key = key,
          .content_hash = record.content_hash,
          .state = record.state,
          .remaining = record.retained ? std::max(kMinRemaining, Millis(record.window_end - now)) : Millis(0),
          .result = record.result};
}

void KeyTable::ForEachRetained(Time now, const std::function<void(const KeyUpdate&)>& visit) const {
  for (const auto& [key, record] : records_) {
    if (record.retained) visit(UpdateOf(key, now));
  }
}

bool KeyTable::ReleaseRemote(Records::iterator at) {
  if (at == records_.end() || !at->second.IsRemote()) return false;
  if (at->second.attempts.empty()) {
    Erase(at);
    return false;
  }
  at->second.holder = 0;
  at->second.retained = false;
  at->second.state = KeyState::kReserved;
  return true;
}

bool KeyTable::ApplyUpdate(const KeyUpdate& update, Millis max_delay, Time now) {
  auto found = records_.find(update.key);
  const bool ran_here =
      found != records_.end() && !found->second.IsRemote() && found->second.state != KeyState::kReserved;
  if (ran_here) return false;
  if (update.remaining <= Millis(0)) return ReleaseRemote(found);
  if (found == records_.end()) {
    // A full table drops the new key. The key is then unknown here, as after a crash of the other process.
    if (records_.size() >= kRemoteCapacityFactor * limits_.max_keys) {
      ++counters_.rejected_at_capacity;
      return false;
    }
    found = records_.try_emplace(update.key).first;
  }
  Record& record = found->second;
  reserved_.erase(record.holder);
  record.holder = ++last_remote_id_;
  record.content_hash = update.content_hash;
  record.retained = true;
  record.state = update.state;
  record.window_end = now + ToSteady(update.remaining);
  SetEvictionTime(update.key, record, record.window_end + ToSteady(max_delay));
  if (update.result) SetResult(update.key, record, *update.result);
  return record.HasFinished();
}

std::vector<KeyTable::Id> KeyTable::WaitingAttempts(const IdempotencyKey& key) const {
  const auto found = records_.find(key);
  if (found == records_.end()) return {};
  std::vector<Id> attempts = found->second.attempts;
  std::erase(attempts, found->second.holder);
  return attempts;
}

std::vector<IdempotencyKey> KeyTable::OnSiblingsExited() {
  std::vector<IdempotencyKey> settled;
  for (auto& [key, record] : records_) {
    if (!record.IsRemote() || record.HasFinished()) continue;
    record.state = KeyState::kFailed;
    settled.push_back(key);
  }
  std::sort(settled.begin(), settled.end());
  return settled;
}

void KeyTable::Expire(Time now) {
  while (!by_eviction_time_.empty() && by_eviction_time_.begin()->first < now) {
    const IdempotencyKey key = by_eviction_time_.begin()->second;
    const auto found = records_.find(key);
    Record& record = found->second;
    if (record.state == KeyState::kRunning || !record.attempts.empty()) {
      SetEvictionTime(key, record, now + kEvictionRetryInterval);
      continue;
    }
    Erase(found);
  }
}

void KeyTable::SetEvictionTime(const IdempotencyKey& key, Record& record, Time evict_at) {
  by_eviction_time_.erase({record.evict_at, key});
  if (record.result) {
    results_by_eviction_time_.erase({record.evict_at, key});
    results_by_eviction_time_.insert({evict_at, key});
  }
  record.evict_at = evict_at;
  by_eviction_time_.insert({evict_at, key});
}

void KeyTable::SetResult(const IdempotencyKey& key, Record& record, std::string_view result) {
  DropResult(record);
  results_by_eviction_time_.erase({record.evict_at, key});
  record.result = result;
  result_bytes_ += result.size();
  results_by_eviction_time_.insert({record.evict_at, key});
  while (result_bytes_ > limits_.max_result_bytes && !results_by_eviction_time_.empty()) {
    Record& first = records_.at(results_by_eviction_time_.begin()->second);
    results_by_eviction_time_.erase(results_by_eviction_time_.begin());
    DropResult(first);
    ++counters_.results_dropped;
  }
}

void KeyTable::DropResult(Record& record) {
  if (!record.result) return;
  result_bytes_ -= record.result->size();
  record.result.reset();
}

void KeyTable::Erase(Records::iterator at) {
  if (at->second.state == KeyState::kReserved) reserved_.erase(at->second.holder);
  by_eviction_time_.erase({at->second.evict_at, at->first});
  results_by_eviction_time_.erase({at->second.evict_at, at->first});
  DropResult(at->second);
  records_.erase(at);
}

}  // namespace hingelink::node
