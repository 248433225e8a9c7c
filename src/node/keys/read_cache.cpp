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
  std::erase_if(entries_, [now](const auto& entry) { return entry.second.expires_at <= now; });
  Entry& entry = entries_[key];
  if (entry.id != id) entry = Entry{.id = id, .expires_at = {}, .succeeded_at = {}, .result = {}};
  entry.expires_at = now + std::chrono::duration_cast<SteadyTime::duration>(ttl);
}

void ReadCache::Release(RequestId id) {
  std::erase_if(entries_, [id](const auto& entry) { return entry.second.id == id; });
}

void ReadCache::OnSucceeded(const Key& key, RequestId id, SteadyTime now, std::string_view result) {
  const auto found = entries_.find(key);
  if (found == entries_.end() || found->second.id != id) return;
  found->second.succeeded_at = now;
  found->second.result = result;
}

const std::string* ReadCache::Result(const Key& key, RequestId original) const {
  const auto found = entries_.find(key);
  if (found == entries_.end()) return nullptr;
  const Entry& entry = found->second;
  return entry.id == original && entry.succeeded_at ? &entry.result : nullptr;
}

}  // namespace hingelink::node
