#include "node/request_table.h"

// In the header alone: the platform's program links one library less.
#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <utility>
#include <variant>

namespace hingelink::node {
namespace {

using hingelink::Outcome;

// Ended tries that are remembered, so that none runs again: many seconds of traffic, in little memory.
constexpr std::size_t kRecent = 8192;
// A budget of 0 means 'not told' to the module; a wait that is over is told as this.
constexpr Millis kLeastBudget{0.001};
// From the answer to a try that could not be told to the module in time, to its due time.
constexpr Millis kAnswerLead{20};
// Advice to those whose keys cannot be known for now: about as long as a predecessor that hangs is waited
// for.
constexpr auto kKeysUnknown = std::chrono::seconds(1);

std::uint64_t ContentOf(std::string_view kind, std::string_view body) {
  return XXH3_64bits_withSeed(body.data(), body.size(), XXH3_64bits(kind.data(), kind.size()));
}

}  // namespace

RequestTable::RequestTable(const hingelink::Settings& settings, FrontEnd& front, Metrics& metrics,
                           Spawn spawn, Calls::Below below, KeyTable::Limits keys, KeyChanged key_changed)
    : settings_(settings),
      front_(front),
      metrics_(metrics),
      spawn_(std::move(spawn)),
      keys_(keys),
      key_changed_(std::move(key_changed)),
      calls_(std::move(below)) {
  Reconfigure();
}

void RequestTable::Reconfigure() {
  std::unordered_map<std::string_view, ClassPtr> fresh;
  std::uint16_t place = 0;
  for (const hingelink::RequestClass& c : settings_.classes) {
    const auto known = classes_.find(c.name);
    const bool same = known != classes_.end() && known->second->idempotency == c.idempotency;
    // Another id where it is another class: guards against an answer kept for a class that was dropped since.
    const auto cls = std::make_shared<const Class>(
        Class{c.name, c.idempotency, same ? known->second->id : ++last_class_, place++});
    fresh.emplace(cls->name, cls);
  }
  classes_ = std::move(fresh);
  const TenantPlaces before = std::exchange(tenants_, {});
  for (const hingelink::Tenant& tenant : settings_.tenants) {
    tenants_.emplace(tenant.name, static_cast<std::uint16_t>(tenants_.size()));
  }
  PlaceKeptBackAnew(before);
}

// Those that the module has not been told of name class and tenant by their places in the settings that held
// when they came. Guards against a request that is decided as one of another class or tenant.
void RequestTable::PlaceKeptBackAnew(const TenantPlaces& before) {
  std::erase_if(kept_back_, [this, &before](auto& kept) {
    hingelink::Arrival& arrival = kept.first;
    const auto it = entries_.find(arrival.id);
    if (it == entries_.end()) return true;  // Its caller has left.
    const auto cls = classes_.find(it->second.cls->name);
    const auto owner = std::find_if(before.begin(), before.end(), [&arrival](const auto& tenant) {
      return tenant.second == arrival.tenant;
    });
    const auto tenant = owner == before.end() ? tenants_.end() : tenants_.find(owner->first);
    const bool has_tenant = tenants_.empty() || tenant != tenants_.end();
    if (cls != classes_.end() && has_tenant) {
      arrival.request_class = cls->second->place;
      arrival.tenant = tenants_.empty() ? std::uint16_t{0} : tenant->second;
      return false;
    }
    // Its class or tenant is gone, and the predecessor may have run it.
    Answer(it, Failed());
    Leave(it);
    return true;
  });
}

void RequestTable::Take(const IncomingRequest& request) {
  const auto cls = classes_.find(request.class_name);
  if (cls == classes_.end()) {
    front_.Deliver(request.reply_to, Rejected());
    return;
  }
  // What the settings say every request has. Guards against a keyed request that nothing would tell from its
  // repeats, and against one that no share bounds.
  const bool keyed = cls->second->idempotency == hingelink::Idempotency::kKeyed;
  const auto tenant = tenants_.find(std::string(request.tenant));
  if ((keyed && !request.idempotency_key) ||
      (settings_.callers_send_remaining_wait && !request.remaining_wait) ||
      (!tenants_.empty() && tenant == tenants_.end())) {
    front_.Deliver(request.reply_to, Rejected(true));
    return;
  }
  // Guards against a second run of one try: it is never told apart from the first at the pool. Failed, as a
  // refusal would promise that no try of this id ever ran.
  if (by_req_.count(request.request_id) != 0 || recent_.count(request.request_id) != 0) {
    front_.Deliver(request.reply_to, Failed());
    return;
  }
  const hingelink::RequestId id = ++last_id_;
  Entry& entry = entries_[id];
  entry.reply_to = request.reply_to;
  entry.req = request.request_id;
  entry.caller = request.caller;
  entry.cls = cls->second;
  if (request.movable_body != nullptr) {
    entry.body = std::move(*request.movable_body);
  } else {
    entry.body = request.body;
  }
  entry.subject = request.subject;
  if (keyed) entry.key = request.idempotency_key;
  if (Shares(entry)) {
    entry.original = reads_.Fresh({entry.cls->id, entry.subject}, std::chrono::steady_clock::now(),
                                  Millis(settings_.read_cache_ttl_ms),
                                  [this](auto open) { return entries_.count(open) != 0; });
  }
  by_req_[request.request_id] = id;
  waiting_[request.reply_to] = id;
  metrics_.CountRequest(request.caller);
  hingelink::Arrival arrival;
  arrival.id = id;
  arrival.original = entry.original;
  arrival.reserved_kb = request.reserved_kb;
  arrival.expected_work_ms = request.expected_work.count();
  arrival.subject = request.subject;
  arrival.rank = request.rank;
  arrival.caller = request.caller;
  arrival.tenant = tenants_.empty() ? std::uint16_t{0} : tenant->second;
  arrival.is_retry = request.is_retry;
  arrival.request_class = cls->second->place;
  events_.emplace_back(arrival);
  const auto timeout =
      std::chrono::duration_cast<UnixTime::duration>(request.remaining_wait.value_or(Millis(0)));
  arrivals_.push_back({request.arrived_at, request.arrived_at + timeout});
}

// Guards against a try that waits for the word of a predecessor for longer than its caller waits for an
// answer.
void RequestTable::AnswerOverdueKeptBack(UnixTime now) {
  std::erase_if(kept_back_, [this, now](const auto& kept) {
    const auto& [arrival, times] = kept;
    const auto it = entries_.find(arrival.id);
    if (it == entries_.end()) return true;  // Its caller has left.
    const Millis limit = settings_.callers_send_remaining_wait
                             ? Millis(times.due - times.arrived)
                             : Millis(settings_.classes[arrival.request_class].deadline_ms);
    if (Millis(now - times.arrived) + kAnswerLead < limit) return false;
    // The predecessor may have run it.
    Answer(it, Failed());
    Leave(it);
    return true;
  });
}

std::vector<hingelink::Event> RequestTable::TakeEvents(UnixTime now) {
  AnswerOverdueKeptBack(now);
  auto clocked = arrivals_.begin();
  std::erase_if(events_, [&](hingelink::Event& event) {
    auto* arrival = std::get_if<hingelink::Arrival>(&event);
    if (arrival == nullptr) return false;
    const Clocked& times = *clocked++;
    const auto it = entries_.find(arrival->id);
    if (it == entries_.end()) return true;  // Taken back.
    if (it->second.key && others_ == Others::kNotYet) {
      kept_back_.emplace_back(*arrival, times);
      return true;
    }
    if (it->second.key && !NameForerunner(it->first, *arrival, std::min(now, times.arrived), now))
      return true;
    it->second.told = true;
    // A stamp from the future counts as now.
    const UnixTime arrived = std::min(now, times.arrived);
    const Millis wait = times.due - times.arrived;
    arrival->read_delay_ms = Millis(now - arrived).count();
    if (settings_.callers_send_remaining_wait) {
      arrival->remaining_wait_ms = std::max(kLeastBudget, wait - Millis(now - arrived)).count();
    }
    return false;
  });
  arrivals_.clear();
  return std::exchange(events_, {});
}

bool RequestTable::NameForerunner(hingelink::RequestId id, hingelink::Arrival& arrival, UnixTime arrived,
                                  UnixTime now) {
  const auto it = entries_.find(id);
  Entry& entry = it->second;
  const SteadyTime steady = std::chrono::steady_clock::now();
  const SteadyTime came = steady - std::chrono::duration_cast<SteadyTime::duration>(now - arrived);
  const std::uint64_t content = ContentOf(entry.cls->name, entry.body);
  std::optional<FinalAnswer> answer;
  if (others_ == Others::kNever) {
    answer = Rejected();
    if (settings_.sends_retry_after) answer->retry_after = kKeysUnknown;
  } else if ((others_ == Others::kElsewhere && !keys_.IsKnown(*entry.key)) ||
             !keys_.Fits(*entry.key, content, came)) {
    // It may run in another process, or it is another request under a key that is taken. Failed: a refusal
    // would say that the key's never ran.
    answer = Failed();
  }
  if (answer) {
    Answer(it, *answer);
    Leave(it);
    return false;
  }
  entry.original = arrival.original = keys_.Arrive(*entry.key, content, id, came, steady);
  return true;
}

void RequestTable::CallerDisconnected(StreamAddress from) {
  const auto waiting = waiting_.find(from);
  if (waiting == waiting_.end()) return;
  const auto it = entries_.find(waiting->second);
  waiting_.erase(waiting);
  it->second.waiting = false;
  // Where the module has not seen it yet, it never does. Guards against requests taken back as soon as they
  // are sent, by the hundred: room would be made for them at the cost of requests that somebody waits for.
  if (it->second.told) events_.emplace_back(hingelink::CallerDisconnected{it->first});
  if (!it->second.running) Leave(it);
}

void RequestTable::Finished(const RunResult& run) {
  const auto it = ByReq(run.req);
  if (it == entries_.end() || !it->second.running) return;
  events_.emplace_back(hingelink::Finished{it->first, run.outcome, run.elapsed.count()});
  switch (run.outcome) {
    case Outcome::kOk:
      reads_.EndedWell({it->second.cls->id, it->second.subject}, it->first, std::chrono::steady_clock::now(),
                       run.result);
      Answer(it, Served(run.result));
      break;
    case Outcome::kNotStarted:
      // Nothing was started by the last spawn; an earlier one may have been.
      Answer(it, it->second.spawns > 1 ? Failed() : Rejected());
      break;
    default:
      Answer(it, Failed());
  }
  calls_.Over(run.req);
  const std::optional<IdempotencyKey> key = it->second.key;
  if (key) keys_.End(*key, it->first, run.outcome == Outcome::kOk, run.result);
  Leave(it);
  if (!key) return;
  AnswerRepeats(*key);
  key_changed_(*key);
}

void RequestTable::Blocked(std::uint64_t req, std::uint64_t notice, std::string_view body) {
  const auto it = ByReq(req);
  if (it == entries_.end() || !it->second.running) return;
  calls_.Blocked(req, notice, body);
  events_.emplace_back(hingelink::UpstreamCallRequested{it->first});
}

void RequestTable::UpstreamCallFinished(std::uint64_t req, Outcome outcome, Millis elapsed,
                                        std::string_view reply) {
  const auto it = ByReq(req);
  if (it == entries_.end() || !calls_.Ended(req, outcome, reply)) return;
  events_.emplace_back(hingelink::UpstreamCallFinished{it->first, outcome, elapsed.count()});
}

void RequestTable::SpawnUnknown(std::uint64_t req) {
  Finished({.req = req, .outcome = Outcome::kNotStarted, .elapsed = Millis(0), .result = {}});
}

bool RequestTable::SpawnAgain(std::uint64_t req) {
  const auto it = ByReq(req);
  if (it == entries_.end() || !it->second.running || !it->second.waiting) return false;
  SendSpawn(it->second);
  return true;
}

void RequestTable::Resend(const std::function<bool(Mark)>& processed) {
  calls_.Resend(processed);
  std::vector<hingelink::RequestId> ids;
  for (const auto& [id, entry] : entries_) {
    // A run that the pool has read goes on without a link.
    if (entry.running && !processed(entry.mark)) ids.push_back(id);
  }
  std::sort(ids.begin(), ids.end());
  for (const hingelink::RequestId id : ids) {
    Entry& entry = entries_.at(id);
    if (entry.waiting || entry.spawns > 0) {
      // Also where nobody waits: the pool tells then that nothing was started, or how the run ended. Guards
      // against a run that the module counts for ever.
      SendSpawn(entry);
    } else {
      Finished({.req = entry.req, .outcome = Outcome::kNotStarted, .elapsed = Millis(0), .result = {}});
    }
  }
}

void RequestTable::SendSpawn(Entry& entry) {
  entry.mark = spawn_(entry.req, entry.cls->name, entry.body);
  // One that is sent again is the same run.
  if (entry.mark != kNeverSent && entry.spawns++ == 0) metrics_.CountRun();
}

RequestTable::InHand RequestTable::Count() const {
  InHand in_hand;
  for (const auto& [id, entry] : entries_) {
    InHand::Count& count = in_hand.classes[entry.cls->name];
    ++(entry.running ? count.running : count.held);
    if (entry.waiting) ++in_hand.open_by_gateway[entry.caller];
  }
  return in_hand;
}

void RequestTable::AnswerAll() {
  std::vector<hingelink::RequestId> ids;
  for (const auto& [to, id] : waiting_) ids.push_back(id);
  std::sort(ids.begin(), ids.end());
  for (const hingelink::RequestId id : ids) {
    const auto it = entries_.find(id);
    Answer(it, it->second.running ? Failed() : NotRun(it->second));
  }
}

// Guards against a second answer: whoever ends a request passes here, and only the first is heard.
void RequestTable::Answer(Entries::iterator it, const FinalAnswer& answer) {
  if (!it->second.waiting) return;
  it->second.waiting = false;
  waiting_.erase(it->second.reply_to);
  metrics_.CountAnswer(it->second.caller, answer.verdict);
  front_.Deliver(it->second.reply_to, answer);
}

void RequestTable::Leave(Entries::iterator it) {
  const std::uint64_t req = it->second.req;
  if (it->second.key && it->second.told) keys_.Leave(*it->second.key, it->first);
  by_req_.erase(req);
  entries_.erase(it);
  recent_.insert(req);
  recent_order_.push_back(req);
  if (recent_order_.size() <= kRecent) return;
  recent_.erase(recent_order_.front());
  recent_order_.pop_front();
}

RequestTable::Entries::iterator RequestTable::ByReq(std::uint64_t req) {
  const auto it = by_req_.find(req);
  return it == by_req_.end() ? entries_.end() : entries_.find(it->second);
}

}  // namespace hingelink::node
