#include "node/keys/shared_reads.h"

namespace hingelink::node {

using hingelink::RequestId;

RequestId SharedReads::Fresh(const Key& key, SteadyTime now, Millis fresh,
                             const std::function<bool(RequestId)>& open) const {
  const auto kept = kept_.find(key);
  if (kept == kept_.end() || kept->second.until <= now) return 0;
  const auto& ended = kept->second.ended_well;
  return (ended ? now - *ended > fresh : !open(kept->second.id)) ? 0 : kept->second.id;
}

void SharedReads::Keep(const Key& key, RequestId id, SteadyTime now, Millis ttl) {
  // Guards against a table that grows with every subject ever read; the module bounds those in force.
  std::erase_if(kept_, [now](const auto& kept) { return kept.second.until <= now; });
  Kept& kept = kept_[key];
  if (kept.id != id) kept = Kept{.id = id, .until = {}, .ended_well = {}, .result = {}};
  kept.until = now + std::chrono::duration_cast<SteadyTime::duration>(ttl);
}

void SharedReads::Drop(RequestId id) {
  std::erase_if(kept_, [id](const auto& kept) { return kept.second.id == id; });
}

void SharedReads::EndedWell(const Key& key, RequestId id, SteadyTime now, std::string_view result) {
  const auto kept = kept_.find(key);
  if (kept == kept_.end() || kept->second.id != id) return;
  kept->second.ended_well = now;
  kept->second.result = result;
}

// Guards against an answer that no run made: the entry may have run out, or gone to a newer read, since.
const std::string* SharedReads::Result(const Key& key, RequestId original) const {
  const auto kept = kept_.find(key);
  const bool good = kept != kept_.end() && kept->second.id == original && kept->second.ended_well.has_value();
  return good ? &kept->second.result : nullptr;
}

}  // namespace hingelink::node
