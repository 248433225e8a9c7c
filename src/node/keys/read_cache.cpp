#include "node/keys/read_cache.h"

namespace hingelink::node {

using hingelink::RequestId;

RequestId ReadCache::FindShareable(const Key& key, SteadyTime now, Millis max_age,
                                   const std::function<bool(RequestId)>& is_open) const {
  const auto found = entries_.find(key);
  if (found == entries_.end()) return 0;
  const Entry& entry = found->second;
  if (entry.expires_at <= now) return 0;
  const bool shareable = entry.succeeded_at ? now - *entry.succeeded_at <= max_age : is_open(entry.id);
  return shareable ? entry.id : 0;
}

void ReadCache::Retain(const Key& key, RequestId id, SteadyTime now, Millis ttl) {
  // The policy bounds the number of retained entries, but not of expired ones, so these are removed here.
  while (!keys_by_expiry_.empty() && keys_by_expiry_.begin()->first <= now)
    Erase(entries_.find(keys_by_expiry_.begin()->second));
  auto at = entries_.find(key);
  if (at != entries_.end() && at->second.id != id) {
    Erase(at);
    at = entries_.end();
  }
  if (at == entries_.end()) {
    at = entries_.try_emplace(key).first;
    at->second.id = id;
    keys_by_id_[id] = key;
  }
  SetExpiry(at, now + std::chrono::duration_cast<SteadyTime::duration>(ttl));
}

void ReadCache::Release(RequestId id) {
  if (const auto found = keys_by_id_.find(id); found != keys_by_id_.end())
    Erase(entries_.find(found->second));
}

void ReadCache::OnSucceeded(const Key& key, RequestId id, SteadyTime now, std::string_view result) {
  const auto found = entries_.find(key);
  if (found == entries_.end() || found->second.id != id) return;
  Entry& entry = found->second;
  DropResult(entry);
  entry.succeeded_at = now;
  entry.result = result;
  result_bytes_ += result.size();
  results_by_expiry_.insert({entry.expires_at, key});
  while (result_bytes_ > max_result_bytes_) Erase(entries_.find(results_by_expiry_.begin()->second));
}

void ReadCache::SetExpiry(Entries::iterator at, SteadyTime expires_at) {
  Entry& entry = at->second;
  keys_by_expiry_.erase({entry.expires_at, at->first});
  if (results_by_expiry_.erase({entry.expires_at, at->first}) > 0)
    results_by_expiry_.insert({expires_at, at->first});
  entry.expires_at = expires_at;
  keys_by_expiry_.insert({expires_at, at->first});
}

void ReadCache::DropResult(Entry& entry) {
  result_bytes_ -= entry.result.size();
  entry.result.clear();
}

void ReadCache::Erase(Entries::iterator at) {
  DropResult(at->second);
  keys_by_id_.erase(at->second.id);
  keys_by_expiry_.erase({at->second.expires_at, at->first});
  results_by_expiry_.erase({at->second.expires_at, at->first});
  entries_.erase(at);
}

const std::string* ReadCache::Result(const Key& key, RequestId original) const {
  const auto found = entries_.find(key);
  if (found == entries_.end()) return nullptr;
  const Entry& entry = found->second;
  return entry.id == original && entry.succeeded_at ? &entry.result : nullptr;
}

}  // namespace hingelink::node
