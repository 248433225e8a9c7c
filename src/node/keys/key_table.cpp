#include "node/keys/key_table.h"

#include <algorithm>

namespace hingelink::node {
namespace {

KeyTable::Time::duration Span(KeyTable::Millis ms) {
  return std::chrono::duration_cast<KeyTable::Time::duration>(ms);
}

}  // namespace

// Whether the entry had run out when this arrived, and nothing of it is in hand.
bool KeyTable::Over(const Record& record, Time arrived) const {
  return record.kept && arrived > record.until && record.fate != KeyFate::kHeld &&
         record.fate != KeyFate::kRuns;
}

bool KeyTable::Fits(const IdempotencyKey& key, std::uint64_t content, Time arrived) {
  const auto it = records_.find(key);
  if (it == records_.end() || Over(it->second, arrived) || it->second.content == content) return true;
  ++counts_.mismatched;
  return false;
}

KeyTable::Id KeyTable::Arrive(const IdempotencyKey& key, std::uint64_t content, Id id, Time arrived,
                              Time now) {
  Expire(now);
  const auto it = records_.find(key);
  if (it != records_.end() && Over(it->second, arrived)) {
    Erase(it);
  } else if (it != records_.end()) {
    Record& record = it->second;
    const bool holder_in_hand =
        std::find(record.tries.begin(), record.tries.end(), record.holder) != record.tries.end();
    // Its try has left, which the module hears in this same batch, and no other waits for its place.
    const bool free = record.fate == KeyFate::kHeld && record.holder < kElsewhere && !holder_in_hand &&
                      record.tries.empty();
    if (!free) {
      record.tries.push_back(id);
      return record.holder;
    }
    Erase(it);
  }
  Record& record = records_[key];
  record.holder = id;
  record.content = content;
  record.tries.push_back(id);
  return 0;
}

bool KeyTable::Keep(const IdempotencyKey& key, Id id, Millis ttl, Millis late, Time now) {
  const auto it = records_.find(key);
  if (it == records_.end() || (it->second.fate != KeyFate::kHeld && it->second.holder != id)) return false;
  if (records_.size() > limits_.most_keys) {
    ++counts_.no_room;
    return false;
  }
  Record& record = it->second;
  held_.erase(record.holder);
  record.holder = id;
  record.kept = true;
  if (record.fate == KeyFate::kHeld) held_[id] = key;
  record.until = now + Span(ttl);
  SetForget(key, record, record.until + Span(late));
  return true;
}

std::optional<IdempotencyKey> KeyTable::Drop(Id id) {
  // Guards against a second run, whatever the module says of a key that has run: it is not here any more.
  const auto held = held_.find(id);
  if (held == held_.end()) return std::nullopt;
  const IdempotencyKey key = held->second;
  held_.erase(held);
  const auto it = records_.find(key);
  if (it->second.tries.empty()) {
    Erase(it);
  } else {
    it->second.holder = 0;
    it->second.kept = false;
  }
  return key;
}

bool KeyTable::Start(const IdempotencyKey& key, Id id) {
  const auto it = records_.find(key);
  if (it == records_.end() || it->second.holder != id || !it->second.kept ||
      it->second.fate != KeyFate::kHeld) {
    return false;
  }
  it->second.fate = KeyFate::kRuns;
  held_.erase(id);
  return true;
}

bool KeyTable::MayHaveRun(const IdempotencyKey& key) const {
  const auto it = records_.find(key);
  return it != records_.end() && it->second.fate != KeyFate::kHeld;
}

void KeyTable::End(const IdempotencyKey& key, Id id, bool good, std::string_view result) {
  const auto it = records_.find(key);
  if (it == records_.end() || it->second.holder != id || it->second.fate != KeyFate::kRuns) return;
  it->second.fate = good ? KeyFate::kServed : KeyFate::kFailed;
  if (good) SetResult(key, it->second, result);
}

void KeyTable::Leave(const IdempotencyKey& key, Id id) {
  const auto it = records_.find(key);
  if (it == records_.end()) return;
  Record& record = it->second;
  std::erase(record.tries, id);
  // One that was never kept, or whose holder has given way, is nobody's any more.
  if (record.tries.empty() && record.fate == KeyFate::kHeld && !record.kept && record.holder < kElsewhere) {
    Erase(it);
  }
}

KeyTable::Replay KeyTable::Look(const IdempotencyKey& key, const std::string** result) const {
  const auto it = records_.find(key);
  if (it == records_.end()) return Replay::kFailed;
  const Record& record = it->second;
  switch (record.fate) {
    case KeyFate::kServed:
      if (!record.result) return Replay::kFailed;
      *result = &*record.result;
      return Replay::kResult;
    case KeyFate::kFailed:
      return Replay::kFailed;
    case KeyFate::kRuns:
      return Replay::kWait;
    case KeyFate::kHeld:
      break;
  }
  const bool alive = record.holder >= kElsewhere ||
                     std::find(record.tries.begin(), record.tries.end(), record.holder) != record.tries.end();
  return alive ? Replay::kWait : Replay::kFailed;
}

KeyNews KeyTable::Of(const IdempotencyKey& key, Time now) const {
  const auto it = records_.find(key);
  // Nothing of it is left: its try never ran.
  if (it == records_.end())
    return {.key = key, .content = 0, .fate = KeyFate::kHeld, .left = Millis(0), .result = {}};
  const Record& record = it->second;
  return {.key = key,
          .content = record.content,
          .fate = record.fate,
          .left = record.kept ? std::max(Millis(0), Millis(record.until - now)) : Millis(0),
          .result = record.result};
}

void KeyTable::Tell(Time now, const std::function<void(const KeyNews&)>& each) const {
  for (const auto& [key, record] : records_) {
    if (record.kept) each(Of(key, now));
  }
}

bool KeyTable::Hear(const KeyNews& news, Millis late, Time now) {
  auto it = records_.find(news.key);
  // Guards this process's own word: what it runs, or ran, it knows best.
  if (it != records_.end() && it->second.holder < kElsewhere && it->second.fate != KeyFate::kHeld)
    return false;
  if (news.left <= Millis(0)) {
    // Gone there, and never run: it is free.
    if (it == records_.end() || it->second.holder < kElsewhere) return false;
    if (it->second.tries.empty()) {
      Erase(it);
      return false;
    }
    it->second.holder = 0;
    it->second.kept = false;
    it->second.fate = KeyFate::kHeld;
    return true;
  }
  if (it == records_.end()) {
    // A full table keeps what it has; the key is then unknown here, as behind a crash.
    if (records_.size() >= 2 * limits_.most_keys) {
      ++counts_.no_room;
      return false;
    }
    it = records_.try_emplace(news.key).first;
  }
  Record& record = it->second;
  held_.erase(record.holder);
  record.holder = ++last_elsewhere_;
  record.content = news.content;
  record.kept = true;
  record.fate = news.fate;
  record.until = now + Span(news.left);
  SetForget(news.key, record, record.until + Span(late));
  if (news.result) SetResult(news.key, record, *news.result);
  return record.fate == KeyFate::kServed || record.fate == KeyFate::kFailed;
}

std::vector<KeyTable::Id> KeyTable::Repeats(const IdempotencyKey& key) const {
  const auto it = records_.find(key);
  if (it == records_.end()) return {};
  std::vector<Id> tries = it->second.tries;
  std::erase(tries, it->second.holder);
  return tries;
}

std::vector<IdempotencyKey> KeyTable::OthersEnded() {
  std::vector<IdempotencyKey> settled;
  for (auto& [key, record] : records_) {
    if (record.holder < kElsewhere || record.fate == KeyFate::kServed || record.fate == KeyFate::kFailed) {
      continue;
    }
    // It may have run there.
    record.fate = KeyFate::kFailed;
    settled.push_back(key);
  }
  std::sort(settled.begin(), settled.end());
  return settled;
}

void KeyTable::Expire(Time now) {
  while (!by_end_.empty() && by_end_.begin()->first < now) {
    const IdempotencyKey key = by_end_.begin()->second;
    const auto it = records_.find(key);
    Record& record = it->second;
    if (record.fate == KeyFate::kRuns || !record.tries.empty()) {
      // Still in hand: looked at again in a while.
      SetForget(key, record, now + std::chrono::seconds(1));
      continue;
    }
    Erase(it);
  }
}

void KeyTable::SetForget(const IdempotencyKey& key, Record& record, Time forget) {
  by_end_.erase({record.forget, key});
  if (record.result) {
    results_.erase({record.forget, key});
    results_.insert({forget, key});
  }
  record.forget = forget;
  by_end_.insert({forget, key});
}

void KeyTable::SetResult(const IdempotencyKey& key, Record& record, std::string_view result) {
  DropResult(record);
  results_.erase({record.forget, key});
  record.result = result;
  bytes_ += result.size();
  results_.insert({record.forget, key});
  while (bytes_ > limits_.most_bytes && !results_.empty()) {
    Record& first = records_.at(results_.begin()->second);
    results_.erase(results_.begin());
    DropResult(first);
    ++counts_.results_gone;
  }
}

void KeyTable::DropResult(Record& record) {
  if (!record.result) return;
  bytes_ -= record.result->size();
  record.result.reset();
}

void KeyTable::Erase(Records::iterator it) {
  if (it->second.fate == KeyFate::kHeld) held_.erase(it->second.holder);
  by_end_.erase({it->second.forget, it->first});
  results_.erase({it->second.forget, it->first});
  DropResult(it->second);
  records_.erase(it);
}

}  // namespace hingelink::node
