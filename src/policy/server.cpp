// Interface: include/hingelink/server_policy.h. Each file beside this one has one concern and knows those
// beneath it alone: request, arrivals | looks | call_share, book, ends, calls, start, and this, the events.
#include "policy/start.h"

namespace hingelink {
namespace {

using namespace policy;

// Weight of a new sample in learned means: about the last 30 requests of a class. And in the pace, how much
// longer runs take just now than usual: the last five runs.
constexpr double kLearn = 0.03, kPace = 0.2;
constexpr double kOld = 0.1;  // Age, as a part of the deadline, from which a try counts as a further one.
// How far one request's hint may take it from the usual of its class, either way: a hint can be far off.
constexpr double kSizeMost = 8;
constexpr double kTicksBeforeKill = 8;  // At a drain all is answered by then.
// Share of the callers' own idle time after which a connection is closed: this much for each core a caller,
// as a core serves about as many requests a second anywhere. Guards against a table full of idle connections.
constexpr double kIdleReturn = 5.0;

}  // namespace

class ServerPolicy::Logic : StartPath {
 public:
  Logic(const Settings& settings, std::uint64_t seed) : StartPath(settings, seed) {}

  const std::vector<Action>& Step(double now, std::span<const Event> events) {
    out_.clear();
    batch_ = events;
    if (!std::exchange(begun_, true)) {
      looks_.Begin(now_ = now);
      Do(SetHealth{true, true});
    }
    if (std::exchange(retuned_, false) && s_.idle_ms > 0)
      Do(CloseIdle{s_.idle_ms * std::min(1.0, kIdleReturn * s_.cores / s_.callers)});
    now_ = std::max(now_, now);
    ExpireKeys();
    for (const Event& event : events) std::visit([this](const auto& e) { On(e); }, event);
    AnswerDue();
    SeeStall();
    PumpCalls();
    StartHeld();
    ArmTimer();
    return out_;
  }

  void Retune(const Settings& settings) {
    Take(settings, s_.cold);
    calls_.Take();
    retuned_ = true;
  }

  void Recall(const Learned& learned) {
    for (const LearnedClass& known : learned.classes)
      for (Slot& slot : slots_)
        if (slot.listed && slot.told.name == known.name && known.samples >= 1) slot.mean = known;
  }

  Learned Tell() const {
    Learned all;
    for (const Slot& slot : slots_)
      if (slot.listed && slot.mean.samples > 1) all.classes.push_back(slot.mean);
    return all;
  }

  Load InHand() const { return {running_ - at_call_, held_kb_ + run_kb_ + keys_kb_, held_cost_}; }

 private:
  using Calls::On;

  void On(const Arrival& a) {
    if (a.id == 0 || live_.count(a.id) != 0 || a.request_class >= slot_of_.size()) return;
    Request& r = live_[a.id];
    r.cls = slot_of_[a.request_class];
    Slot& slot = slots_[r.cls];
    const RequestClass& c = slot.told;
    ++slot.open;
    r.kb = a.held_kb;
    r.arrival = now_ - a.unread_ms;
    const bool told = a.budget_ms > 0;
    // A told wait past the class's own is not believed. Guards against held entries that pile up for a day.
    r.due = told ? now_ + std::min(a.budget_ms, c.deadline_ms) : std::max(now_, r.arrival + c.deadline_ms);
    r.due = std::min(r.due, kill_at_);
    const double age = told ? waits_.Age((a.budget_ms + a.unread_ms) / c.deadline_ms) * c.deadline_ms : 0;
    r.retry = a.is_retry || age > kOld * c.deadline_ms;
    r.aim = std::min(r.due, r.arrival - age + c.aim_ms + c.aim_stretch * a.hint_ms);
    r.hint = a.hint_ms;
    // Where no hint is given, or none has been tried against a run yet, it is as large as its class.
    if (a.hint_ms > 0 && slot.mean.hint_ms > 0)
      r.size = std::clamp(a.hint_ms / slot.mean.hint_ms, 1 / kSizeMost, kSizeMost);
    r.cost = r.size * slot.mean.cost_ms;
    // In a storm of tries a further one is old, and serving it late costs a first try that has all its time.
    // One whose aim has passed is late at any server.
    r.over_share = tenants_.Over(a, r.retry, now_);
    r.behind = r.over_share || r.aim <= now_ || (r.retry && looks_.gate_on() && retry_share_ > kRetriesHigh);
    held_kb_ += r.kb;
    Fade(refused_share_, kRetryMix);
    for (Slot& other : slots_) Fade(other.share, kMix);
    slot.share += kMix;
    retry_share_ += kRetryMix * ((r.retry ? 1 : 0) - retry_share_);
    Watch(a.id, r, Last(r));
    const bool shared = Safe(r) && s_.fresh_ms > 0 && a.subject != 0 && !a.is_write;
    if ((Keyed(r) || shared) && a.forerunner != 0 && JoinEffect(a, r)) return;
    // Rule 3: what came past the grace is not run; a repeat of what ran is replayed above, which is no run.
    // And a key that cannot be kept, as the table is full, is refused before it runs.
    if (PastGrace(r) || (Keyed(r) && !OpenEffect(a.id, r))) return RefuseHeld(a.id, r);
    if (shared) OpenEffect(a.id, r);
    Hold(a.id, r);
    MakeRoom(a.id);
  }

  void On(const CallerGone& e) {
    Request* r = Find(e.id);
    if (r == nullptr || r->gone) return;
    r->gone = true;
    if (r->state == State::kHeld) {
      // The host has let it go: its bytes are free. It stays in line, for the check at its start.
      held_kb_ -= r->kb;
      held_cost_ -= r->cost;
      Unwatch(e.id, *r);
      if (r->effect) {
        Unhold(e.id, *r);
        EndNeverRan(e.id, *r);
      }
    } else if (r->state == State::kFollowing || r->state == State::kReplaying) {
      held_kb_ -= r->kb;
      Erase(e.id, *r);
    } else {
      Unwatch(e.id, *r);  // A run ends by its own finish; one at a call is let go by the host.
      StopRun(e.id, *r);
      if (r->state == State::kCallWait) StandDown(e.id, *r);
    }
  }

  void On(const Finished& e) {
    Request* r = Find(e.id);
    if (r == nullptr || r->state == State::kHeld || r->state == State::kFollowing) return;
    if (r->state == State::kReplaying) {
      held_kb_ -= r->kb;
      Erase(e.id, *r);
      return;
    }
    moved_at_ = now_;
    ++finished_;
    LeaveCall(e.id, *r);
    run_kb_ -= r->kb * s_.run_factor;
    --running_;
    if (e.outcome == Outcome::kOk) {
      LearnedClass& mean = slots_[r->cls].mean;
      pace_ += kPace * (e.elapsed_ms / std::max(1.0, r->size * mean.run_ms) - pace_);
      const double weight = std::max(kLearn, 1.0 / ++mean.samples);
      mean.run_ms += weight * (e.elapsed_ms - mean.run_ms);
      if (r->hint > 0) mean.hint_ms += (mean.hint_ms > 0 ? weight : 1) * (r->hint - mean.hint_ms);
      mean.cost_ms += weight * (std::max(0.0, e.elapsed_ms - r->call_ms) - mean.cost_ms);
    }
    EndRead(e.id, *r, e.outcome == Outcome::kOk && !r->answered);
    Erase(e.id, *r);
  }

  void On(const TimerFired& e) {
    if (e.token != token_) return;  // An older timer that could not be unset.
    armed_for_ = kForever;
    const auto value = looks_.Look(now_, e.gauges, OnCores(), held_cost_ > 0, stalled_, refused_share_);
    if (value) Do(Announce{*value});
  }

  void On(const OtherLoad& e) { other_ = e.load; }

  void On(const DrainNotice& e) {
    if (std::exchange(draining_, true)) return;
    drain_at_ = now_;
    kill_at_ = now_ + std::max(0.0, e.left_ms - kTicksBeforeKill * s_.tick_ms);
    Do(SetHealth{false, true});
    Do(Log{"drain: leaving, " + std::to_string(live_.size()) + " in hand"});
    // The one walk over all in hand, once in a life: the kill cuts every wait short.
    for (auto& [id, r] : live_) {
      if (r.due <= kill_at_) continue;
      r.due = kill_at_;
      if (!r.answered && !r.gone) Watch(id, r, std::min(r.watch, r.due));
    }
  }

  // Rule 1: whatever is due is answered now, whether it was held, runs or waits for another's answer.
  void AnswerDue() {
    while (!ledger_.empty() && ledger_.begin()->first <= now_) {
      const RequestId id = ledger_.begin()->second;
      Request& r = live_[id];
      ledger_.erase(ledger_.begin());
      if (r.state == State::kHeld) {
        RefuseHeld(id, r);
      } else if (r.state == State::kFollowing || r.state == State::kReplaying) {
        // Not refused: what it repeats may yet run, or ran.
        held_kb_ -= r.kb;
        Do(Fail{id});
        Erase(id, r);
      } else if (r.state == State::kCallWait && now_ < Last(r)) {
        GiveUpCall(id, r);
      } else {
        if (r.state == State::kCallWait) StandDown(id, r);
        r.answered = true;
        Do(Fail{id});
        StopRun(id, r);
      }
    }
  }

  // Guards against cores that work on for callers who have left or were answered. A stop is a wish: the run
  // stays on all books until its finish. What has an effect, or followers, runs on.
  void StopRun(RequestId id, const Request& r) {
    if (s_.can_stop && r.state == State::kRunning && !r.effect && Safe(r)) Do(Stop{id});
  }

  // One timer in force: the next look or the next thing due, whichever is first.
  void ArmTimer() {
    double at = looks_.next();
    if (!ledger_.empty()) at = std::min(at, ledger_.begin()->first);
    at = std::max(at, now_ + s_.tick_ms);
    if (at >= armed_for_) return;
    armed_for_ = at;
    Do(SetTimer{at - now_, ++token_});
  }

  bool begun_ = false, retuned_ = true;  // The latter: idle ends are to be told.
  std::uint32_t token_ = 0;
  double armed_for_ = kForever;
};

ServerPolicy::ServerPolicy(const Settings& settings, std::uint64_t seed)
    : logic_(std::make_unique<Logic>(settings, seed)) {}
ServerPolicy::~ServerPolicy() = default;
ServerPolicy::ServerPolicy(ServerPolicy&&) noexcept = default;
ServerPolicy& ServerPolicy::operator=(ServerPolicy&&) noexcept = default;
const std::vector<Action>& ServerPolicy::Step(double now_ms, std::span<const Event> events) {
  return logic_->Step(now_ms, events);
}
void ServerPolicy::Retune(const Settings& settings) { logic_->Retune(settings); }
void ServerPolicy::Recall(const Learned& learned) { logic_->Recall(learned); }
Learned ServerPolicy::Tell() const { return logic_->Tell(); }
Load ServerPolicy::InHand() const { return logic_->InHand(); }

}  // namespace hingelink
