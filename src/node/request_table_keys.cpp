// Keyed requests, with what sibling processes report of their keys.
// XXH3 in its headers alone: the platform's program links one library less.
#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <utility>

#include "node/request_table.h"

namespace hingelink::node {
namespace {

// Between the answer to a deferred attempt and its deadline.
constexpr Millis kDeferredAnswerLead{20};

// Retry-After while keys are unavailable: about as long as an unresponsive predecessor is waited for.
constexpr std::chrono::seconds kKeysUnavailableRetryAfter{1};

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
  const std::uint64_t content = ContentHash(request.request_class->name, request.body);
  if (const std::optional<FinalAnswer> error = KeyError(*request.key, content, steady_arrived)) {
    Answer(found, *error);
    Remove(found);
    return false;
  }
  request.original = keys_.AddAttempt(*request.key, content, id, steady_arrived, steady_now);
  arrival.original = request.original;
  return true;
}

std::optional<FinalAnswer> RequestTable::KeyError(const IdempotencyKey& key, std::uint64_t content,
                                                  SteadyTime arrived) {
  if (sibling_keys_ == SiblingKeys::kUnavailable) {
    FinalAnswer answer = Rejected();
    if (settings_.sends_retry_after) answer.retry_after = kKeysUnavailableRetryAfter;
    return answer;
  }
  // It may run in another process, or it is another request with a key that is in use. Failed: a rejection
  // would promise that no attempt with this key ran.
  const bool may_run_elsewhere = sibling_keys_ == SiblingKeys::kServedElsewhere && !keys_.IsKnown(key);
  if (may_run_elsewhere || !keys_.MatchesContent(key, content, arrived)) return Failed();
  return std::nullopt;
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

// The predecessor may have run a deferred attempt, so it fails when it cannot wait any longer.
void RequestTable::FailExpiredDeferred(UnixTime now) {
  std::erase_if(deferred_, [this, now](const DeferredArrival& deferred) {
    const auto& [arrival, times] = deferred;
    const auto found = requests_.find(arrival.id);
    if (found == requests_.end()) return true;  // Its caller has disconnected.
    const Millis wait = settings_.callers_send_remaining_wait
                            ? Millis(times.expires - times.arrived)
                            : Millis(settings_.classes[arrival.request_class].deadline_ms);
    if (Millis(now - times.arrived) + kDeferredAnswerLead < wait) return false;
    FailAndRemove(found);
    return true;
  });
}

// A deferred arrival names class and tenant by their indexes in the settings that were current when it came.
void RequestTable::ReassignDeferred(const RequestClasses& previous) {
  std::erase_if(deferred_, [this, &previous](DeferredArrival& deferred) {
    hingelink::Arrival& arrival = deferred.first;
    const auto found = requests_.find(arrival.id);
    if (found == requests_.end()) return true;  // Its caller has disconnected.
    if (Reassign(arrival, found->second, previous)) return false;
    // Its class or tenant was removed, and the predecessor may have run it.
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
