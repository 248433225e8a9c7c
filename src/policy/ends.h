// Ends without a run of one's own: refusals, and tries that are answered from another, or take its place.
#ifndef HINGELINK_POLICY_ENDS_H_
#define HINGELINK_POLICY_ENDS_H_

#include <deque>
#include <map>

#include "policy/book.h"

namespace hingelink::policy {

// Share of a class's aim that the wait in the hold may take before arrivals are refused.
constexpr double kHoldShare = 0.38;
// Share of further tries among arrivals from which a refusal says that no other server will help, and the
// weight of a new arrival in it: the last twenty-five, a few seconds of a small server.
constexpr double kRetriesHigh = 0.25, kRetryMix = 0.04;
// Share of the wait in the hold that a refusal advises to stay away: with the full wait a few callers fell
// silent at once and cores idled. And ms above a tenant's share: who stays away does so with all his other
// tenants.
constexpr double kAdvice = 0.5, kAdviceOverShare = 1;

class Ends : protected Book {
 protected:
  using Book::Book;

  // Refuses a request that never ran; where its caller has gone already nothing is owed or sent.
  void RefuseHeld(RequestId id, Request& r) {
    const bool held = Unhold(id, r);
    if (!r.gone) {
      Refuse no{id};
      // None is sent on where many arrivals are further tries: then the others refuse too. Guards against a
      // fleet that reads its own refusals; a server that is slow alone sees few further tries.
      no.no_retry =
          !draining_ && !stalled_ &&
          (r.over_share || r.aim <= now_ || (looks_.gate_on() && (r.retry || retry_share_ > kRetriesHigh)));
      const double advice = draining_ || stalled_ ? kForever
                            : r.over_share        ? kAdviceOverShare
                                                  : kAdvice * Wait();
      if (s_.passes_retry_after) no.retry_after_ms = std::min(s_.max_retry_after_ms, advice);
      Do(no);
      Fade(slots_[r.cls].served, kMix);
      held_kb_ -= r.kb;
      if (held) held_cost_ -= r.cost;
    }
    EndNeverRan(id, r);
  }

  // The hold mark: held bytes, and held work as a wait that an arrival of this class would see. Over it, the
  // least worth held is refused, or else the arrival: early enough to be served elsewhere.
  void MakeRoom(RequestId id) {
    while (Request* r = Find(id)) {
      const double share = kHoldShare * std::max(0.0, r->aim - now_);
      if (!BytesFull() && (Wait() <= share || OnCores() < s_.cores)) return;
      int worst = QueueOf(*r);
      for (int q = 0; q < static_cast<int>(queues_.size()); ++q) {
        if (!queues_[q].empty() && Worth(q) < Worth(worst)) worst = q;
      }
      const RequestId victim = worst == QueueOf(*r) ? id : queues_[worst].rbegin()->second;
      // One whose caller left is not turned away; one above its share weighs what it is worth.
      Request& v = live_[victim];
      if (!v.gone) refused_share_ += kRetryMix * (v.over_share ? s_.over_share_worth : 1);
      RefuseHeld(victim, v);
    }
  }

  // Forgets a request that never ran. The next try of its effect takes its place.
  void EndNeverRan(RequestId id, Request& r) {
    const EffectPtr e = r.effect;
    Erase(id, r);
    if (e && e->holder == id) PassOn(id, e);
  }

  // Also guards rule 3 for a repeat that came past the grace and whose forerunner then failed or was refused.
  bool PastGrace(const Request& r) const { return draining_ && r.arrival > drain_at_ + s_.drain_grace_ms; }

  void PassOn(RequestId id, const EffectPtr& e) {
    if (e->kept) Do(DropKey{id});
    Unkeep(*e);
    e->holder = 0;
    for (const RequestId f : std::exchange(e->followers, {})) {
      Request* next = Find(f);
      if (next == nullptr) continue;
      if (e->holder != 0) {
        e->followers.push_back(f);
      } else if (!PastGrace(*next) && KeepEntry(f, *next, e)) {
        Hold(f, *next);
      } else {
        RefuseHeld(f, *next);
      }
    }
    if (e->holder == 0) Forget(*e);
  }

  // ---- Effects: keyed requests run once, and reads of one subject while its answer is fresh ----

  // Ties a repeat to the effect it names. True where that settles it: it waits or replays.
  bool JoinEffect(const Arrival& a, Request& r) {
    // What follows waits outside the hold mark: guards against a subject whose reads fill the memory.
    if (!Keyed(r) && (stalled_ || BytesFull())) {
      RefuseHeld(a.id, r);
      return true;
    }
    const auto it = effects_.find(a.forerunner);
    if (it == effects_.end()) {
      // Two tries read in one batch name each other: the first one seen opens the effect.
      for (const Event& event : batch_) {
        const auto* other = std::get_if<Arrival>(&event);
        if (other != nullptr && other->id == a.forerunner) return false;
      }
      // Named but not known here: it ran, and its record has been let go. Never run again.
      if (Keyed(r)) ReplayHeld(a.id);
      return Keyed(r);
    }
    const EffectPtr e = it->second;
    Tie(e, a.id, r);
    if (e->ready) {
      ReplayHeld(a.id);
    } else {
      r.state = State::kFollowing;
      e->followers.push_back(a.id);
    }
    return true;
  }

  bool OpenEffect(RequestId id, Request& r) {
    const auto e = std::make_shared<Effect>();
    if (!KeepEntry(id, r, e)) return false;
    Tie(e, id, r);
    // Kept in mind for a second window past the table's entry: a repeat may be read late.
    expiry_.push_back({now_ + 2 * (Told(r).window_ms + Told(r).deadline_ms), e});
    return true;
  }

  void Tie(const EffectPtr& e, RequestId id, Request& r) {
    r.effect = effects_[id] = e;
    e->tries.push_back(id);
  }

  // Puts the try in the table, from reading on, for its whole window. False where there is no room.
  bool KeepEntry(RequestId id, const Request& r, const EffectPtr& e) {
    if (keys_kb_ + s_.key_kb > (Keyed(r) ? kKeyMemory : kHoldMemory) * s_.memory_kb ||
        Kb() + s_.key_kb > kWatermark * s_.memory_kb)
      return false;
    e->holder = id;
    e->kept = true;
    keys_kb_ += s_.key_kb;
    const double ttl = s_.tick_ms + (Keyed(r) ? Told(r).window_ms : r.due - now_ + s_.fresh_ms);
    e->until = e->kept_until = now_ + ttl;
    key_ends_.insert({e->until, e});
    Do(KeepKey{id, ttl});
    return true;
  }

  // Guards against a subject that draws much of the traffic: its reads are answered from the one that runs.
  // One that failed fails nobody: the next takes its place.
  void EndRead(RequestId id, Request& r, bool good) {
    const EffectPtr e = r.effect;
    if (!e || e->holder != id || Keyed(r)) return;
    if (good) {
      e->until = now_ + s_.fresh_ms;
      key_ends_.insert({e->until, e});
      ReplayFollowers(*e);
    } else {
      PassOn(id, e);
    }
  }

  void ReplayFollowers(Effect& e) {
    e.ready = true;
    for (const RequestId f : std::exchange(e.followers, {})) ReplayHeld(f);
  }

  void ReplayHeld(RequestId id) {
    Request* r = Find(id);
    if (r == nullptr) return;
    r->state = State::kReplaying;
    Do(Replay{id});
  }

  void ExpireKeys() {
    for (; !key_ends_.empty() && key_ends_.begin()->first < now_; key_ends_.erase(key_ends_.begin())) {
      Effect& e = *key_ends_.begin()->second;
      if (!e.kept || e.until > key_ends_.begin()->first) continue;
      if (e.until < e.kept_until) Do(DropKey{e.holder});
      Unkeep(e);
    }
    for (; !expiry_.empty() && expiry_.front().first < now_; expiry_.pop_front())
      Forget(*expiry_.front().second);
  }

  void Unkeep(Effect& e) { keys_kb_ -= std::exchange(e.kept, false) ? s_.key_kb : 0; }
  void Forget(Effect& e) {
    for (const RequestId id : std::exchange(e.tries, {})) effects_.erase(id);
    Unkeep(e);
  }

  std::unordered_map<RequestId, EffectPtr> effects_;  // By each try.
  std::deque<std::pair<double, EffectPtr>> expiry_;
  std::multimap<double, EffectPtr> key_ends_;
};

}  // namespace hingelink::policy

#endif  // HINGELINK_POLICY_ENDS_H_
