// RequestTable: keyed requests, and the keys that sibling processes report.

// Uses XXH3 from its header only, so that the platform's program does not link against the xxHash library.
#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <utility>

#include "node/request_table.h"

namespace hingelink::node {
namespace {

// How long before its deadline a deferred attempt is answered.
constexpr Millis kDeferredAnswerLead{20};

std::uint64_t ContentHash(std::string_view class_name, std::string_view body) {
  const std::uint64_t seed = XXH3_64bits(class_name.data(), class_name.size());
  return XXH3_64bits_withSeed(body.data(), body.size(), seed);
}

}  // namespace

bool RequestTable::ResolveKey(hingelink::RequestId id, hingelink::Arrival& arrival, UnixTime arrived,
                              UnixTime now) {
  const auto found = requests_.find(id);
  Request& request = found->second;
  const SteadyTime steady_now = SteadyTime::clock::now();
  const SteadyTime steady_arrived =
      steady_now - std::chrono::duration_cast<SteadyTime::duration>(now - arrived);
  const std::uint64_t content_hash = ContentHash(request.request_class->name, request.body);
  if (const std::optional<FinalAnswer> error = KeyError(*request.key, content_hash, steady_arrived)) {
    Answer(found, *error);
    Remove(found);
    return false;
  }
  request.original = keys_.AddAttempt(*request.key, content_hash, id, steady_arrived, steady_now);
  request.in_key_table = true;
  arrival.original = request.original;
  return true;
}

std::optional<FinalAnswer> RequestTable::KeyError(const IdempotencyKey& key, std::uint64_t content_hash,
                                                  SteadyTime arrived) {
  // The key may be running in another process, or it belongs to a different request. The answer is a failure,
  // because a rejection guarantees that no attempt with this key ran.
  const bool is_unknown =
      sibling_keys_ == SiblingKeys::kServedElsewhere || sibling_keys_ == SiblingKeys::kUnavailable;
  const bool may_run_elsewhere = is_unknown && !keys_.IsKnown(key);
  if (may_run_elsewhere || !keys_.MatchesContent(key, content_hash, arrived)) return Failed();
  return std::nullopt;
}

bool RequestTable::AnswerFromKey(const IncomingRequest& incoming, RequestClasses::ClassPtr found_class) {
  const IdempotencyKey& key = *incoming.idempotency_key;
  const SteadyTime now = SteadyTime::clock::now();
  const auto read_delay =
      std::max(UnixTime::duration(0), std::chrono::system_clock::now() - incoming.arrived_at);
  const SteadyTime arrived = now - std::chrono::duration_cast<SteadyTime::duration>(read_delay);
  if (!keys_.IsRepeated(key, arrived)) {
    // Unless the class has no keys, another process of this node may have executed the key.
    const bool is_keyed = !found_class || found_class->idempotency == hingelink::Idempotency::kKeyed;
    if (!is_keyed || sibling_keys_ == SiblingKeys::kKnown) return false;
    front_.Deliver(incoming.reply_to, Failed());
    return true;
  }
  if (!found_class) found_class = classes_.FindRemoved(incoming.class_name);
  const bool is_duplicate =
      by_attempt_.contains(incoming.request_id) || recent_attempts_.Contains(incoming.request_id);
  const KeyTable::Replay replay = keys_.FindReplay(key);
  const bool matches = keys_.MatchesContent(key, ContentHash(incoming.class_name, incoming.body), arrived);
  if (replay.status == KeyTable::Replay::Status::kResult && matches && !is_duplicate) {
    keys_.CountReplay();
    front_.Deliver(incoming.reply_to, Served(*replay.result));
  } else if (replay.status == KeyTable::Replay::Status::kPending && matches && !is_duplicate && found_class) {
    AwaitExecutionWithKey(incoming, std::move(found_class));
  } else {
    front_.Deliver(incoming.reply_to, Failed());
  }
  return true;
}

void RequestTable::AwaitExecutionWithKey(const IncomingRequest& incoming,
                                         RequestClasses::ClassPtr request_class) {
  const Millis wait = incoming.remaining_wait ? Millis(*incoming.remaining_wait) : request_class->deadline;
  const UnixTime answer_by =
      incoming.arrived_at + std::chrono::duration_cast<UnixTime::duration>(wait - kDeferredAnswerLead);
  const std::uint64_t content_hash = ContentHash(incoming.class_name, incoming.body);
  const hingelink::RequestId id = ++last_id_;
  AddRequest(id, incoming, std::move(request_class));
  Request& request = requests_.at(id);
  request.key = incoming.idempotency_key;
  const SteadyTime now = SteadyTime::clock::now();
  request.original = keys_.AddAttempt(*request.key, content_hash, id, now, now);
  request.in_key_table = true;
  request.awaiting_replay = true;
  replay_deadlines_.emplace_back(answer_by, id);
}

void RequestTable::FailExpiredReplays(UnixTime now) {
  std::erase_if(replay_deadlines_, [this, now](const auto& waiting) {
    const auto found = requests_.find(waiting.second);
    if (found == requests_.end()) return true;
    if (now < waiting.first) return false;
    FailAndRemove(found);
    return true;
  });
}

void RequestTable::SetSiblingKeys(SiblingKeys state) {
  sibling_keys_ = state;
  if (state == SiblingKeys::kPending) return;
  for (auto& [arrival, times] : std::exchange(deferred_, {})) {
    events_.emplace_back(arrival);
    arrival_times_.push_back(times);
  }
}

void RequestTable::OnKeyUpdate(const KeyUpdate& update) {
  if (keys_.ApplyUpdate(update, MaxReadDelay(), SteadyTime::clock::now())) AnswerReplays(update.key);
}

void RequestTable::OnSiblingsExited() {
  for (const IdempotencyKey& key : keys_.OnSiblingsExited()) AnswerReplays(key);
}

// Fails the deferred attempts whose deadline is near. They are not rejected, because a rejection guarantees
// that no attempt with the key ran, and the predecessor may have run one.
void RequestTable::FailExpiredDeferred(UnixTime now) {
  std::erase_if(deferred_, [this, now](const DeferredArrival& deferred) {
    const auto& [arrival, times] = deferred;
    const auto found = requests_.find(arrival.id);
    if (found == requests_.end()) return true;  // The caller has disconnected.
    const Millis wait = settings_.callers_send_remaining_wait
                            ? Millis(times.expires - times.arrived)
                            : Millis(settings_.classes[arrival.request_class].deadline_ms);
    if (Millis(now - times.arrived) + kDeferredAnswerLead < wait) return false;
    FailAndRemove(found);
    return true;
  });
}

// Deferred arrivals refer to classes and tenants by index in the previous settings. Converts the indexes to
// the current settings.
void RequestTable::ReassignDeferred(const RequestClasses& previous) {
  std::erase_if(deferred_, [this, &previous](DeferredArrival& deferred) {
    hingelink::Arrival& arrival = deferred.first;
    const auto found = requests_.find(arrival.id);
    if (found == requests_.end()) return true;  // The caller has disconnected.
    if (Reassign(arrival, found->second, previous)) return false;
    // The class or tenant was removed. The request fails, because the predecessor may have run an attempt.
    FailAndRemove(found);
    return true;
  });
}

bool RequestTable::Reassign(hingelink::Arrival& arrival, const Request& request,
                            const RequestClasses& previous) const {
  const RequestClasses::ClassPtr current = classes_.Find(request.request_class->name);
  if (!current) return false;
  std::uint16_t tenant = 0;
  if (classes_.has_tenants()) {
    const std::optional<std::string> name = previous.TenantName(arrival.tenant);
    const std::optional<std::uint16_t> index = name ? classes_.FindTenant(*name) : std::nullopt;
    if (!index) return false;
    tenant = *index;
  }
  arrival.request_class = current->index;
  arrival.tenant = tenant;
  return true;
}

}  // namespace hingelink::node
