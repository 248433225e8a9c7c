#include "node/request_table.h"

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

}  // namespace

RequestTable::RequestTable(const hingelink::Settings& settings, Front& front, Metrics& metrics, Spawn spawn)
    : settings_(settings), front_(front), metrics_(metrics), spawn_(std::move(spawn)) {
  Retune();
}

void RequestTable::Retune() {
  std::unordered_map<std::string_view, ClassPtr> fresh;
  std::uint16_t place = 0;
  for (const hingelink::RequestClass& c : settings_.classes) {
    const auto known = classes_.find(c.name);
    const bool same = known != classes_.end() && known->second->repeat == c.repeat;
    // Another id where it is another class: guards against an answer kept for a class that was dropped since.
    const auto cls = std::make_shared<const Class>(
        Class{c.name, c.repeat, same ? known->second->id : ++last_class_, place++});
    fresh.emplace(cls->name, cls);
  }
  classes_ = std::move(fresh);
}

void RequestTable::Take(const IncomingRequest& request) {
  const auto cls = classes_.find(request.kind);
  if (cls == classes_.end()) {
    front_.Deliver(request.reply_to, Refused());
    return;
  }
  // Guards against a second run of one try: it is never told apart from the first at the pool. Failed, as a
  // refusal would promise that no try of this id ever ran.
  if (by_req_.count(request.req) != 0 || recent_.count(request.req) != 0) {
    front_.Deliver(request.reply_to, Failed());
    return;
  }
  const hingelink::RequestId id = ++last_id_;
  Entry& entry = entries_[id];
  entry.reply_to = request.reply_to;
  entry.req = request.req;
  entry.caller = request.caller;
  entry.cls = cls->second;
  if (request.own_body != nullptr) {
    entry.body = std::move(*request.own_body);
  } else {
    entry.body = request.body;
  }
  entry.subject = request.subject;
  if (Shares(entry)) {
    const Kept* kept = Fresh({entry.cls->id, entry.subject}, std::chrono::steady_clock::now());
    if (kept != nullptr) entry.forerunner = kept->id;
  }
  by_req_[request.req] = id;
  waiting_[request.reply_to] = id;
  metrics_.CountRequest(request.caller);
  hingelink::Arrival arrival;
  arrival.id = id;
  arrival.forerunner = entry.forerunner;
  arrival.held_kb = request.held_kb;
  arrival.hint_ms = request.work.count();
  arrival.subject = request.subject;
  arrival.rank = request.rank;
  arrival.caller = request.caller;
  arrival.request_class = cls->second->place;
  events_.emplace_back(arrival);
  const auto timeout = std::chrono::duration_cast<UnixTime::duration>(request.timeout);
  arrivals_.push_back({request.arrived, request.arrived + timeout});
}

std::vector<hingelink::Event> RequestTable::TakeEvents(UnixTime now) {
  auto clocked = arrivals_.begin();
  std::erase_if(events_, [&](hingelink::Event& event) {
    auto* arrival = std::get_if<hingelink::Arrival>(&event);
    if (arrival == nullptr) return false;
    const Clocked& times = *clocked++;
    const auto it = entries_.find(arrival->id);
    if (it == entries_.end()) return true;  // Taken back.
    it->second.told = true;
    // A stamp from the future counts as now.
    const UnixTime arrived = std::min(now, times.arrived);
    const Millis wait = times.due - times.arrived;
    arrival->unread_ms = Millis(now - arrived).count();
    if (settings_.tells_deadline) {
      arrival->budget_ms = std::max(kLeastBudget, wait - Millis(now - arrived)).count();
    }
    return false;
  });
  arrivals_.clear();
  return std::exchange(events_, {});
}

void RequestTable::CallerGone(ReplyTo from) {
  const auto waiting = waiting_.find(from);
  if (waiting == waiting_.end()) return;
  const auto it = entries_.find(waiting->second);
  waiting_.erase(waiting);
  it->second.waiting = false;
  // Where the module has not seen it yet, it never does. Guards against requests taken back as soon as they
  // are sent, by the hundred: room would be made for them at the cost of requests that somebody waits for.
  if (it->second.told) events_.emplace_back(hingelink::CallerGone{it->first});
  if (!it->second.running) Leave(it);
}

void RequestTable::Finished(const RunResult& run) {
  const auto it = ByReq(run.req);
  if (it == entries_.end() || !it->second.running) return;
  events_.emplace_back(hingelink::Finished{it->first, run.outcome, run.elapsed.count()});
  switch (run.outcome) {
    case Outcome::kOk:
      if (const auto kept = keys_.find({it->second.cls->id, it->second.subject});
          kept != keys_.end() && kept->second.id == it->first) {
        kept->second.ended_well = std::chrono::steady_clock::now();
        kept->second.result = run.result;
      }
      Answer(it, Served(run.result));
      break;
    case Outcome::kMoot:
      // Nothing was started by the last spawn; an earlier one may have been.
      Answer(it, it->second.spawns > 1 ? Failed() : Refused());
      break;
    default:
      Answer(it, Failed());
  }
  Leave(it);
}

void RequestTable::SpawnUnknown(std::uint64_t req) {
  Finished({.req = req, .outcome = Outcome::kMoot, .elapsed = Millis(0), .result = {}});
}

bool RequestTable::SpawnAgain(std::uint64_t req) {
  const auto it = ByReq(req);
  if (it == entries_.end() || !it->second.running || !it->second.waiting) return false;
  SendSpawn(it->second);
  return true;
}

void RequestTable::Resend(const std::function<bool(Mark)>& processed) {
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
      Finished({.req = entry.req, .outcome = Outcome::kMoot, .elapsed = Millis(0), .result = {}});
    }
  }
}

void RequestTable::SendSpawn(Entry& entry) {
  entry.mark = spawn_(entry.req, entry.cls->name, entry.body);
  // One that is sent again is the same run.
  if (entry.mark != kNeverSent && entry.spawns++ == 0) metrics_.CountRun();
}

void RequestTable::Do(const hingelink::Start& action) {
  const auto it = entries_.find(action.id);
  if (it == entries_.end() || it->second.running) return;
  it->second.running = true;
  SendSpawn(it->second);
}

void RequestTable::Do(const hingelink::Refuse& action) {
  const auto it = entries_.find(action.id);
  if (it == entries_.end()) return;
  // Guards the promise of a refusal.
  if (it->second.running) {
    Answer(it, Failed());
    return;
  }
  FinalAnswer answer = Refused();
  if (action.retry_after_ms > 0) {
    answer.stay_away = std::chrono::milliseconds(std::llround(std::ceil(action.retry_after_ms)));
  }
  answer.try_no_other = action.no_retry;
  Answer(it, answer);
  Leave(it);
}

void RequestTable::Do(const hingelink::Fail& action) {
  const auto it = entries_.find(action.id);
  if (it == entries_.end()) return;
  Answer(it, Failed());
  if (!it->second.running) Leave(it);
}

bool RequestTable::Shares(const Entry& entry) const {
  return settings_.fresh_ms > 0 && entry.subject != 0 && entry.cls->repeat == hingelink::Repeat::kSafe;
}

const RequestTable::Kept* RequestTable::Fresh(const Key& key, SteadyTime now) const {
  const auto kept = keys_.find(key);
  if (kept == keys_.end() || kept->second.until <= now) return nullptr;
  const auto& ended = kept->second.ended_well;
  if (ended ? Millis(now - *ended).count() > settings_.fresh_ms : entries_.count(kept->second.id) == 0) {
    return nullptr;
  }
  return &kept->second;
}

void RequestTable::Do(const hingelink::KeepKey& action) {
  const auto it = entries_.find(action.id);
  if (it == entries_.end() || !Shares(it->second)) return;
  const SteadyTime now = std::chrono::steady_clock::now();
  // Guards against a table that grows with every subject ever read; the module bounds those in force.
  std::erase_if(keys_, [now](const auto& kept) { return kept.second.until <= now; });
  Kept& kept = keys_[{it->second.cls->id, it->second.subject}];
  if (kept.id != action.id) kept = Kept{.id = action.id, .until = {}, .ended_well = {}, .result = {}};
  kept.until = now + std::chrono::duration_cast<SteadyTime::duration>(Millis(action.ttl_ms));
}

void RequestTable::Do(const hingelink::DropKey& action) {
  std::erase_if(keys_, [&action](const auto& kept) { return kept.second.id == action.id; });
}

void RequestTable::Do(const hingelink::Replay& action) {
  const auto it = entries_.find(action.id);
  if (it == entries_.end() || it->second.running) return;
  const auto kept = keys_.find({it->second.cls->id, it->second.subject});
  // Guards against an answer that no run made: the entry may have run out, or gone to a newer read, since.
  const bool good =
      kept != keys_.end() && kept->second.id == it->second.forerunner && kept->second.ended_well;
  events_.emplace_back(hingelink::Finished{action.id, good ? Outcome::kOk : Outcome::kError, 0});
  Answer(it, good ? Served(kept->second.result) : Failed());
  Leave(it);
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
    Answer(it, it->second.running ? Failed() : Refused());
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
