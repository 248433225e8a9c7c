// Interface: include/hingelink/server_policy.h. Every decision, table and tuned value is in this file.
//
// DTOC (Carter and Cherkasova, HPL-98-164R1): while the server is busy, a held request that is about to start
// is first checked for a caller that has gone; if so it is refused instead of run. StartHeld() is that path.
// All else serves it: what is held, how many run, and the four rules (in time, not twice, drain, no fall).
#include <algorithm>
#include <cmath>
#include <deque>
#include <limits>
#include <map>
#include <random>
#include <set>
#include <stdexcept>
#include <unordered_map>
#include <utility>

#include "hingelink/server_policy.h"

namespace hingelink {
namespace {

// ---- Constants: unit, and why. All are ratios of told settings or of things seen, or spans of a habit. ----

// The busy gate, from the paper: measured once a second, on above 95% of the cores busy; that is six cores
// with less than this many idle. Fewer cores are full with as many idle: chance takes work away by the core.
constexpr double kGateMs = 1000;
constexpr double kGateIdle = 0.3;
// ms between looks at the gauges: a few looks within the half second that cpu_busy averages over.
constexpr double kLookMs = 25;
// Runnable things beyond the cores that the limit steers for: chance takes a core's work away between looks
// by the thing, not by the share, so two cores need as many to spare as six.
constexpr double kCrowd = 2.0;
// Share of the gap to kCrowd closed at each look; up fast (idle cores cost at once), down as fast.
constexpr double kClimb = 0.10;
// Share of memory for held, running and kept bytes. The rest covers what is read within one batch.
constexpr double kWatermark = 0.92;
// Share of memory for held bytes, and for keys: running must keep the larger part.
constexpr double kHoldMemory = 0.25, kKeyMemory = 0.5;
// Share of a class's aim that the wait in the hold may take before arrivals are refused.
constexpr double kHoldShare = 0.38;
// Share of a usual run that must be left before the aim for a start to be worth it.
constexpr double kLeft = 0.8;
// Weight of a new sample in learned means: about the last 30 requests of a class.
constexpr double kLearn = 0.03;
// Weight of a new sample in the pace, how much longer runs take just now than usual: the last five runs.
constexpr double kPace = 0.2;
// Weight of a new sample in the mix of classes and in how each is served: about the last hundred.
constexpr double kMix = 0.01;
// Share of marked further tries among arrivals from which a refusal says that no other server will help, and
// the weight of a new arrival in it: the last twenty-five, a few seconds of a small server.
constexpr double kRetryMix = 0.04, kRetriesHigh = 0.25;
// A caller that still waits as large a part of its class's deadline as this share of others waits so long for
// any try; else its wait tells its age. Parts told apart, and the weight of a new arrival: the last fifty.
constexpr double kUsualWait = 0.1;
constexpr int kWaits = 16;
constexpr double kOld = 0.1;  // Age, as a part of the deadline, from which a try counts as a further one.
constexpr double kWaitMix = 0.02;
// How far one request's hint may take it from the usual of its class, either way: a hint can be far off.
constexpr double kSizeMost = 8;
// Share of its aim that a class's run is taken to last before one has been seen.
constexpr double kGuess = 0.15;
// Share of the told call share that this server fills: the dependency slows long before it falls, so the
// share moves between these by what each call took against the quickest mean seen, down twice as fast as up.
constexpr double kCallFillLeast = 0.31, kCallFillMost = 0.7, kCallFill = 0.5;  // The last at first.
constexpr double kCallSlow = 1.6, kCallStep = 0.01, kCallLearn = 0.1;
// Share of the told share up to which a call that drags on is let go on, where the share is under one call.
constexpr double kCallHard = 0.6;
constexpr double kCallDrift = 1.001;  // The quickest mean is let go of slowly, a call at a time.
// Calls waiting for a place, per call in hand allowed: beyond it the poorer answer is taken at once.
constexpr double kCallQueue = 1.5;
// Tries of one call where the outcome proves that it never ran (or the class is safe to repeat).
constexpr int kCallTries = 3;
// ms of quota that a tenant may use at once, and slack on its share of this server: callers spread unevenly.
constexpr double kBurstMs = 2000;
// Standard deviations of a tenant's part of recent arrivals that chance may take it above its share.
constexpr double kChance = 1.5;
constexpr double kQuotaSlack = 1.25;
// Runs that should have moved on, had the set in hand gone on as usual, before the work counts as stalled:
// by chance that happens once in three thousand times. Few runs at once take longer to tell than many.
constexpr double kStall = 8;
// ms that a stall lasts at least: a link to the workers that breaks may lose the starts of its last 50 ms,
// and the first run that is started again must end.
constexpr double kStallLeastMs = 100;
// Ticks before a due time at which the answer goes out, and before the kill at a drain.
constexpr double kTicksBefore = 2, kTicksBeforeKill = 8;
// Signal: time between settings as a share of the told time callers remember it (any quicker, it swings);
// share refused that is borne, and how far it rises a second for each share above; the busy share under which
// it falls, and how far a second for each share below.
constexpr double kSignalPart = 0.25, kRefusedBorne = 0.02;
constexpr double kSignalUp = 0.4, kSignalBusy = 0.9, kSignalDown = 0.5, kSignalTop = 0.9;
// Share of the wait in the hold that a refusal advises to stay away. Guards against the whole of a few
// callers falling silent at once: with the full wait, the hold ran dry and cores idled before they were back.
constexpr double kAdvice = 0.5;
// Share of the callers' own idle time after which the server closes a connection: this much for each core a
// caller, as a core serves about as many requests a second anywhere. Guards against a table full of
// connections that wait for a second use.
constexpr double kIdleReturn = 5.0;

enum class State { kHeld, kFollowing, kRunning, kCallWait, kCalling, kReplaying };

struct Request {
  State state = State::kHeld;
  int cls = 0;
  bool over_share = false;  // Above its tenant's share.
  bool behind = false;      // Starts last and goes first.
  bool answered = false;    // An answer was given; only the run is left.
  bool gone = false;        // The caller left; while held, its bytes are free already.
  bool retry = false;
  double kb = 0;
  double size = 1;  // Its hint over the usual hint of its class.
  double hint = 0;
  double cost = 0;        // Expected ms of a run outside calls.
  double arrival = 0;     // When it reached the machine.
  double due = 0;         // It must be answered by then.
  double aim = 0;         // An answer earns its full worth until then.
  double watch = 0;       // Its entry in the ledger.
  double call_since = 0;  // When it came to the call it stands at.
  double call_ms = 0;     // Spent at calls in this run.
  int call_tries = 0;
  std::uint64_t effect = 0;  // Its group in effects_, for keyed classes.
};

// One keyed effect, all tries that repeat each other; or one read of a subject and those that share it.
struct Effect {
  bool ran = false;      // Some try was started; none may start again.
  bool ready = false;    // It may be replayed: a keyed one from its start, a read when it has ended well.
  RequestId holder = 0;  // The try that may run, or ran; it holds the table's entry.
  bool kept = false;     // The table has an entry, which takes key_kb until `until`.
  double until = 0;
  double kept_until = 0;             // By the host.
  std::vector<RequestId> followers;  // Tries waiting for the holder's fate.
  std::vector<RequestId> tries;
};

// A class as told, and what is kept by class. One that was dropped keeps its slot while requests are open.
struct Slot {
  RequestClass told;
  bool listed = true;  // Among the settings told last.
  int open = 0;        // Requests in live_.
  LearnedClass mean;   // Its name is told's; one sample is the guess.
  double share = 0;    // Of recent arrivals.
  double served = 1;   // Share of recent ends that were starts.
};

}  // namespace

class ServerPolicy::Logic {
 public:
  Logic(const Settings& settings, std::uint64_t seed) : s_(settings) {
    const std::string fault = s_.Validate();
    if (!fault.empty()) throw std::invalid_argument(fault);
    TakeClasses(settings.classes);
    TakeTenants();
    SeeGauges();
    limit_ = s_.cores;
    call_cap_ = s_.call_share > 0 ? s_.call_share * kCallFill : Forever();
    // Servers that started together would all make their first call at once: each begins somewhere in its
    // account of calls, by the seed.
    std::mt19937_64 draw(seed);
    if (call_cap_ < 1) call_mean_ = call_cap_ * std::generate_canonical<double, 32>(draw);
  }

  const std::vector<Action>& Step(double now, std::span<const Event> events) {
    out_.clear();
    batch_ = events;
    if (!begun_) Begin(now);
    if (std::exchange(retuned_, false)) SayIdle();
    now_ = std::max(now_, now);
    ExpireKeys();
    for (const Event& event : events) {
      std::visit([this](const auto& e) { On(e); }, event);
    }
    AnswerDue();
    SeeStall();
    PumpCalls();
    StartHeld();
    ArmTimer();
    return out_;
  }

  void Retune(const Settings& settings) {
    const std::string fault = settings.Validate();
    if (!fault.empty()) throw std::invalid_argument(fault);
    const bool same_tenants =
        std::equal(s_.tenants.begin(), s_.tenants.end(), settings.tenants.begin(), settings.tenants.end(),
                   [](const Tenant& a, const Tenant& b) { return a.name == b.name && a.share == b.share; });
    const bool cold = s_.cold;  // Of this life, whatever the new settings say.
    s_ = settings;
    s_.cold = cold;
    TakeClasses(settings.classes);
    if (!same_tenants) TakeTenants();
    SeeGauges();
    call_cap_ = s_.call_share > 0 ? s_.call_share * call_fill_ : Forever();
    retuned_ = true;
  }

  void Recall(const Learned& learned) {
    for (const LearnedClass& known : learned.classes) {
      for (Slot& slot : slots_) {
        if (slot.listed && slot.told.name == known.name && known.samples >= 1) slot.mean = known;
      }
    }
  }

  Learned Tell() const {
    Learned all;
    for (const Slot& slot : slots_) {
      if (slot.listed && slot.mean.samples > 1) all.classes.push_back(slot.mean);
    }
    return all;
  }

  Load InHand() const { return {running_ - at_call_, held_kb_ + run_kb_ + keys_kb_, held_cost_}; }

 private:
  static constexpr double Forever() { return std::numeric_limits<double>::infinity(); }

  // Guards against shares that fade to numbers below the processor's normal ones: those take it 100 times as
  // long.
  static void Fade(double& share, double part) {
    share -= part * share;
    if (share < std::numeric_limits<double>::min()) share = 0;
  }

  // Gives each class a slot: its own where a class of that name is listed or has requests open, else one that
  // nothing refers to, else a new one. Guards against an open request that turns into one of another class,
  // and against tables that grow with each file.
  void TakeClasses(const std::vector<RequestClass>& classes) {
    std::vector<bool> before;
    for (Slot& slot : slots_) before.push_back(std::exchange(slot.listed, false));
    slot_of_.assign(classes.size(), -1);
    for (std::size_t i = 0; i < classes.size(); ++i) {
      for (std::size_t k = 0; k < slots_.size() && slot_of_[i] < 0; ++k) {
        Slot& slot = slots_[k];
        if (slot.listed || slot.told.name != classes[i].name || (!before[k] && slot.open == 0)) continue;
        slot_of_[i] = static_cast<int>(k);
        slot.listed = true;
        slot.told = classes[i];
      }
    }
    for (std::size_t i = 0; i < classes.size(); ++i) {
      if (slot_of_[i] >= 0) continue;
      std::size_t k = 0;
      while (k < slots_.size() && (slots_[k].listed || slots_[k].open > 0)) ++k;
      slots_.resize(std::max(slots_.size(), k + 1));
      queues_.resize(2 * slots_.size());
      slot_of_[i] = static_cast<int>(k);
      const double guess = kGuess * classes[i].aim_ms;
      slots_[k] = {
          .told = classes[i], .mean = {classes[i].name, guess, guess}, .share = 1.0 / classes.size()};
    }
    for (Slot& slot : slots_) {
      if (!slot.listed) slot.share = 0;
    }
  }

  void TakeTenants() {
    budget_.clear();
    tenant_mix_.clear();
    for (const Tenant& t : s_.tenants) {
      budget_.push_back(QuotaHere(t) * kBurstMs);
      tenant_mix_.push_back(t.share);
    }
  }

  void SeeGauges() {
    const auto place = [this](const char* name) {
      return std::find(s_.gauges.begin(), s_.gauges.end(), name) - s_.gauges.begin();
    };
    busy_gauge_ = place("cpu_busy");
    runnable_gauge_ = place("runnable");
  }

  void Begin(double now) {
    begun_ = true;
    now_ = began_ = now;
    next_look_ = now + kLookMs;
    next_gate_ = now + kGateMs;
    refill_at_ = now;
    Do(SetHealth{true, true});
    SayIdle();
  }

  void SayIdle() {
    if (s_.idle_ms > 0) Do(CloseIdle{s_.idle_ms * std::min(1.0, kIdleReturn * s_.cores / s_.callers)});
  }

  void Do(Action action) { out_.push_back(std::move(action)); }

  Request* Find(RequestId id) {
    auto it = live_.find(id);
    return it == live_.end() ? nullptr : &it->second;
  }

  // ---- Events ----

  void On(const Arrival& a) {
    if (a.id == 0 || live_.count(a.id) != 0 || a.request_class >= slot_of_.size()) return;
    Request& r = live_[a.id];
    r.cls = slot_of_[a.request_class];
    Slot& slot = slots_[r.cls];
    const RequestClass& c = slot.told;
    ++slot.open;
    r.kb = a.held_kb;
    r.arrival = now_ - a.unread_ms;
    // A told wait past the class's own is not believed. Guards against held entries that pile up for a day.
    r.due = a.budget_ms > 0 ? now_ + std::min(a.budget_ms, c.deadline_ms)
                            : std::max(now_, r.arrival + c.deadline_ms);
    if (draining_) r.due = std::min(r.due, kill_at_);
    const double age = a.budget_ms > 0 ? Age((a.budget_ms + a.unread_ms) / c.deadline_ms) * c.deadline_ms : 0;
    r.retry = a.is_retry || age > kOld * c.deadline_ms;
    r.aim = std::min(r.due, r.arrival - age + c.aim_ms + c.aim_stretch * a.hint_ms);
    r.hint = a.hint_ms;
    // Where no hint is given, or none has been tried against a run yet, it is as large as its class.
    if (a.hint_ms > 0 && slot.mean.hint_ms > 0)
      r.size = std::clamp(a.hint_ms / slot.mean.hint_ms, 1 / kSizeMost, kSizeMost);
    r.cost = r.size * slot.mean.cost_ms;
    // In a storm of tries a further one is old, and serving it late costs a first try that has all its time.
    // One whose aim has passed is late at any server.
    r.over_share = OverShare(a, r.retry);
    r.behind = r.over_share || r.aim <= now_ || (r.retry && gate_on_ && retry_share_ > kRetriesHigh);
    held_kb_ += r.kb;
    Fade(refused_share_, kRetryMix);
    for (Slot& other : slots_) Fade(other.share, kMix);
    slot.share += kMix;
    retry_share_ += kRetryMix * ((r.retry ? 1 : 0) - retry_share_);
    Watch(a.id, r, Last(r));
    const bool keyed = c.repeat == Repeat::kKeyed;
    const bool shared = c.repeat == Repeat::kSafe && s_.fresh_ms > 0 && a.subject != 0 && !a.is_write;
    if ((keyed || shared) && a.forerunner != 0 && JoinEffect(a, r)) return;
    // Rule 3: what came past the grace is not run; a repeat of what ran is replayed above, which is no run.
    // And guards against a full table of keys: a key that cannot be kept is refused before it runs.
    if (PastGrace(r) || (keyed && !OpenEffect(a.id, r))) {
      RefuseHeld(a.id, r);
      return;
    }
    if (shared) OpenEffect(a.id, r);
    Hold(a.id, r);
    MakeRoom(a.id);
  }

  // How old a request is, as a part of its deadline, by what its caller still waits. Guards against a storm
  // of tries in which the cores go to those whose aim passed during the earlier ones.
  double Age(double wait) {
    const int at = std::clamp(static_cast<int>(wait * kWaits), 0, kWaits - 1);
    for (double& share : waits_) Fade(share, kWaitMix);
    waits_[at] += kWaitMix;
    return waits_[at] > kUsualWait ? 0 : std::max(0.0, 1 - wait);
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
      if (r->effect != 0) {
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
    if (r == nullptr) return;
    if (r->state == State::kReplaying) {
      held_kb_ -= r->kb;
      Erase(e.id, *r);
      return;
    }
    if (r->state != State::kRunning && r->state != State::kCallWait && r->state != State::kCalling) return;
    moved_at_ = now_;
    ++finished_;
    LeaveCall(e.id, *r);
    run_kb_ -= r->kb * s_.run_factor;
    --running_;
    if (e.outcome == Outcome::kOk) {
      Slot& slot = slots_[r->cls];
      pace_ += kPace * (e.elapsed_ms / std::max(1.0, r->size * slot.mean.run_ms) - pace_);
      const double weight = std::max(kLearn, 1.0 / ++slot.mean.samples);
      slot.mean.run_ms += weight * (e.elapsed_ms - slot.mean.run_ms);
      if (r->hint > 0)
        slot.mean.hint_ms += (slot.mean.hint_ms > 0 ? weight : 1) * (r->hint - slot.mean.hint_ms);
      slot.mean.cost_ms += weight * (std::max(0.0, e.elapsed_ms - r->call_ms) - slot.mean.cost_ms);
    }
    EndRead(e.id, *r, e.outcome == Outcome::kOk && !r->answered);
    Erase(e.id, *r);
  }

  void On(const AtCall& e) {
    Request* r = Find(e.id);
    if (r == nullptr || r->state != State::kRunning) return;
    if (r->answered) {
      Do(Fail{e.id});  // Its answer is out: nothing more is to be gained by the call.
      return;
    }
    moved_at_ = now_;
    r->call_since = now_;
    r->call_tries = 0;
    ++at_call_;
    WaitForCall(e.id, *r);
  }

  void On(const CallEnded& e) {
    Request* r = Find(e.id);
    if (r == nullptr || r->state != State::kCalling) return;
    --calls_out_;
    SeeCall(e);
    if (e.outcome == Outcome::kTimeout || e.outcome == Outcome::kReset) {
      lingering_.push_back(now_ + s_.call_linger_ms);  // It loads the dependency a while longer.
    }
    if (e.outcome == Outcome::kOk) {
      r->call_ms += now_ - r->call_since;
      --at_call_;
      r->state = State::kRunning;
      if (!r->answered && !r->gone) Watch(e.id, *r, Last(*r));
      return;
    }
    const RequestClass& c = Told(*r);
    const bool never_ran = e.outcome == Outcome::kFull || e.outcome == Outcome::kConnectFailed;
    // Rule 2: the call of a keyed or unsafe request is repeated only where it is proven never to have run.
    const bool repeatable = never_ran || (c.repeat == Repeat::kSafe && e.outcome != Outcome::kTimeout);
    r->state = State::kCallWait;
    if (repeatable && ++r->call_tries < kCallTries && !r->answered) {
      WaitForCall(e.id, *r);
    } else {
      GiveUpCall(e.id, *r);
    }
  }

  void On(const TimerFired& e) {
    if (e.token != token_) return;  // An older timer that could not be unset.
    armed_for_ = Forever();
    if (now_ < next_look_) return;
    next_look_ = now_ + kLookMs;
    Look(e.gauges);
  }

  void On(const OtherLoad& e) { other_ = e.load; }

  void On(const DrainNotice& e) {
    if (draining_) return;
    draining_ = true;
    drain_at_ = now_;
    kill_at_ = now_ + std::max(0.0, e.left_ms - kTicksBeforeKill * s_.tick_ms);
    Do(SetHealth{false, true});
    Do(Log{"drain: leaving, " + std::to_string(live_.size()) + " in hand"});
    // The one walk over all in hand, once in a life: the kill cuts every wait short.
    std::vector<RequestId> ids;
    for (const auto& [id, r] : live_) {
      if (r.due > kill_at_) ids.push_back(id);
    }
    std::sort(ids.begin(), ids.end());
    for (RequestId id : ids) {
      Request& r = live_[id];
      r.due = kill_at_;
      if (!r.answered && !r.gone) Watch(id, r, std::min(r.watch, r.due));
    }
  }

  // ---- The start path: DTOC. The only place where a request starts. ----

  void StartHeld() {
    for (;;) {
      // The check, at the head of every queue: its caller has gone or can no longer be served in time.
      // Refused, not run; at once, not when its queue's turn comes.
      for (const auto& queue : queues_) {
        while (!queue.empty() && GivenUp(live_[queue.begin()->second])) {
          RefuseHeld(queue.begin()->second, live_[queue.begin()->second]);
        }
      }
      const int q = Head();
      if (q < 0) return;
      const RequestId id = queues_[q].begin()->second;
      Request& r = live_[id];
      if (OnCores() >= std::floor(limit_)) return;
      if (Kb() + r.kb * (s_.run_factor - 1) > kWatermark * s_.memory_kb) return;
      Unhold(id, r);
      held_cost_ -= r.cost;
      held_kb_ -= r.kb;
      run_kb_ += r.kb * s_.run_factor;
      ++running_;
      r.state = State::kRunning;
      Do(Start{id});
      slots_[r.cls].served += kMix * (1 - slots_[r.cls].served);
      if (r.effect != 0) {
        auto it = effects_.find(r.effect);
        if (it == effects_.end()) continue;
        it->second.ran = true;
        if (Keyed(r)) ReplayFollowers(it->second);
      }
    }
  }

  // The queue whose head has the nearest aim; those that would only pile up at a jammed call are passed over.
  int Head() {
    const bool jammed = call_line_.size() > kCallQueue * std::max(1.0, call_cap_);
    int best = -1;
    for (int q = 0; q < static_cast<int>(queues_.size()); ++q) {
      if (queues_[q].empty()) continue;
      const RequestClass& c = slots_[q / 2].told;
      if (jammed && c.may_call && c.fallback_share <= 0) continue;
      if (best < 0 ||
          std::make_pair(q % 2, *queues_[q].begin()) < std::make_pair(best % 2, *queues_[best].begin())) {
        best = q;
      }
    }
    return best;
  }

  bool GivenUp(const Request& r) const {
    return r.gone || stalled_ || (gate_on_ && (r.over_share || TooLate(r)));
  }

  // An expired wait counts as gone, and so does one that leaves too little time: in overload an answer past
  // the aim takes a core from one that can be in time. Guards against a server that only ever serves late.
  bool TooLate(const Request& r) const {
    return now_ + kLeft * pace_ * r.size * slots_[r.cls].mean.run_ms > r.aim;
  }

  // Guards against work that stands still while requests are read (a hung disk, a machine frozen by others):
  // all that is held or comes is refused, for other servers, until a run moves on. The floor guards against
  // short runs on many cores, where a gap of 20 ms told of a stall: any break of the link to the workers did.
  void SeeStall() {
    if (running_ - at_call_ < s_.cores) moved_at_ = now_;
    double usual = 0;
    for (const Slot& slot : slots_) {
      if (slot.listed || slot.open > 0) usual = std::max(usual, slot.mean.run_ms);
    }
    // Not before the means are learned: the first to finish are the short runs, and a guess may lie far off.
    const double span = std::max(kStallLeastMs, kStall * usual / std::max(1, running_ - at_call_));
    const bool stalled = finished_ >= 1 / kLearn && now_ - moved_at_ > span;
    if (stalled != stalled_ && !draining_) Do(SetHealth{!stalled, true});
    if (stalled && !stalled_) Do(Log{"stall: no run moves on, refusing"});
    stalled_ = stalled;
  }

  // ---- The hold ----

  // With what another process of this server has in hand. Guards against two processes that each fill the
  // cores and the memory while one takes over from the other.
  int OnCores() const { return running_ - at_call_ + other_.running; }
  double Kb() const { return held_kb_ + run_kb_ + keys_kb_ + other_.kb; }
  // How long what is held takes, as runs go just now.
  double Wait() const { return pace_ * (held_cost_ + other_.work_ms) / limit_; }

  int QueueOf(const Request& r) const { return r.cls * 2 + (r.behind ? 1 : 0); }

  void Hold(RequestId id, Request& r) {
    r.state = State::kHeld;
    queues_[QueueOf(r)].insert({r.aim, id});
    held_cost_ += r.cost;
  }

  void Unhold(RequestId id, Request& r) { queues_[QueueOf(r)].erase({r.aim, id}); }

  // What a queue's requests add to the operator's goal for each ms of work: their part of all worth, and, for
  // the class served worst of late, its part in the worst class. Guards against one class bearing all of a
  // loss.
  double Worth(int q) const {
    const Slot& own = slots_[q / 2];
    const Slot* worst = nullptr;
    double all = 0;
    for (const Slot& slot : slots_) {
      all += slot.share * ClassWorth(slot);
      if (slot.listed && (worst == nullptr || slot.served < worst->served)) worst = &slot;
    }
    const double whole = (s_.goal_whole + s_.goal_window) * ClassWorth(own) / std::max(1e-9, all);
    const double least = &own == worst ? s_.goal_class / std::max(0.01, own.share) : 0;
    return (whole + least) / std::max(1.0, own.mean.cost_ms) * (q % 2 != 0 ? s_.over_share_worth : 1);
  }

  double ClassWorth(const Slot& c) const {
    return c.told.worth * (s_.worth_by_work ? std::max(1.0, c.mean.cost_ms) : 1);
  }

  bool BytesFull() const { return held_kb_ > kHoldMemory * s_.memory_kb || Kb() > kWatermark * s_.memory_kb; }

  // The hold mark: held bytes, and held work as a wait that an arrival of this class would see. Over it, the
  // least worth held is refused, or else the arrival: early enough to be served elsewhere.
  void MakeRoom(RequestId id) {
    for (;;) {
      Request* r = Find(id);
      if (r == nullptr) return;
      const double wait = Wait();
      const double share = kHoldShare * std::max(0.0, r->aim - now_);
      if (!BytesFull() && (wait <= share || OnCores() < s_.cores)) return;
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

  // ---- Ends ----

  // Refuses a request that never ran; where its caller has gone already nothing is owed or sent.
  void RefuseHeld(RequestId id, Request& r) {
    if (!r.gone) {
      Refuse no{id};
      // Sends none on where many arrivals are further tries already: then the others refuse too. Guards
      // against a fleet that reads its own refusals; a server that is slow alone sees few further tries.
      no.no_retry = !draining_ && !stalled_ &&
                    (r.over_share || r.aim <= now_ || (gate_on_ && (r.retry || retry_share_ > kRetriesHigh)));
      if (s_.passes_retry_after) {
        const double advice = draining_ || stalled_ ? s_.max_retry_after_ms : kAdvice * Wait();
        no.retry_after_ms = std::min(s_.max_retry_after_ms, advice);
      }
      Do(no);
      Fade(slots_[r.cls].served, kMix);
      held_kb_ -= r.kb;
      if (r.state == State::kHeld && queues_[QueueOf(r)].count({r.aim, id}) != 0) held_cost_ -= r.cost;
    }
    Unhold(id, r);
    EndNeverRan(id, r);
  }

  // Forgets a request that never ran. The next try of its effect takes its place.
  void EndNeverRan(RequestId id, Request& r) {
    const std::uint64_t g = r.effect;
    Erase(id, r);
    auto it = effects_.find(g);
    if (it == effects_.end() || it->second.holder != id || it->second.ran) return;
    PassOn(id, g, it->second);
  }

  // Also guards rule 3 for a repeat that came past the grace and whose forerunner then failed or was refused.
  bool PastGrace(const Request& r) const { return draining_ && r.arrival > drain_at_ + s_.drain_grace_ms; }

  void PassOn(RequestId id, std::uint64_t g, Effect& e) {
    if (e.kept) {
      Do(DropKey{id});
      keys_kb_ -= s_.key_kb;
      e.kept = false;
    }
    e.holder = 0;
    const std::vector<RequestId> followers = std::exchange(e.followers, {});
    for (RequestId f : followers) {
      Request* next = Find(f);
      if (next == nullptr) continue;
      if (e.holder != 0) {
        e.followers.push_back(f);
      } else if (!PastGrace(*next) && KeepEntry(f, *next, e)) {
        Hold(f, *next);
      } else {
        next->effect = 0;
        RefuseHeld(f, *next);
      }
    }
    if (e.holder == 0) ForgetEffect(g);
  }

  void Erase(RequestId id, Request& r) {
    Unwatch(id, r);
    --slots_[r.cls].open;
    live_.erase(id);
  }

  // ---- The deadline ledger ----

  double Last(const Request& r) const { return r.due - kTicksBefore * s_.tick_ms; }

  void Watch(RequestId id, Request& r, double at) {
    Unwatch(id, r);
    r.watch = at;
    ledger_.insert({at, id});
  }

  void Unwatch(RequestId id, Request& r) { ledger_.erase({r.watch, id}); }

  // Rule 1: whatever is due is answered now, whether it was held, runs or waits for another's answer.
  void AnswerDue() {
    while (!ledger_.empty() && ledger_.begin()->first <= now_) {
      const RequestId id = ledger_.begin()->second;
      Request& r = live_[id];
      ledger_.erase(ledger_.begin());
      const double last = Last(r);
      if (r.state == State::kHeld) {
        RefuseHeld(id, r);
      } else if (r.state == State::kFollowing || r.state == State::kReplaying) {
        // Not refused: what it repeats may yet run, or ran.
        held_kb_ -= r.kb;
        Do(Fail{id});
        Erase(id, r);
      } else if (r.state == State::kCallWait && now_ < last) {
        GiveUpCall(id, r);
      } else {
        if (r.state == State::kCallWait) StandDown(id, r);
        r.answered = true;
        Do(Fail{id});
        StopRun(id, r);
      }
    }
  }

  // Guards against cores that work on for callers who have left or have had their answer. A stop is a wish:
  // the run stays on all books until its finish. What has an effect, or followers, runs on.
  void StopRun(RequestId id, const Request& r) {
    if (s_.can_stop && r.state == State::kRunning && r.effect == 0 && Safe(r)) Do(Stop{id});
  }

  // ---- Effects: keyed requests run once, and reads of one subject while its answer is fresh ----

  const RequestClass& Told(const Request& r) const { return slots_[r.cls].told; }
  bool Safe(const Request& r) const { return Told(r).repeat == Repeat::kSafe; }
  bool Keyed(const Request& r) const { return Told(r).repeat == Repeat::kKeyed; }

  // Guards against a subject that draws much of the traffic: its reads follow the one that runs, and are
  // answered from it. One that failed fails nobody: the next takes its place.
  void EndRead(RequestId id, Request& r, bool good) {
    auto it = effects_.find(r.effect);
    if (it == effects_.end() || it->second.holder != id || Keyed(r)) return;
    Effect& e = it->second;
    if (!good) {
      e.ran = false;
      PassOn(id, r.effect, e);
      return;
    }
    e.until = now_ + s_.fresh_ms;
    key_ends_.insert({e.until, r.effect});
    ReplayFollowers(e);
  }

  void ReplayFollowers(Effect& e) {
    e.ready = true;
    for (RequestId f : std::exchange(e.followers, {})) ReplayHeld(f);
  }

  // Ties a repeat to the effect it names. True where that settles it: it waits or replays.
  bool JoinEffect(const Arrival& a, Request& r) {
    auto it = group_of_.find(a.forerunner);
    // What follows waits outside the hold mark: guards against a subject whose reads fill the memory.
    if (!Keyed(r) && (stalled_ || BytesFull())) {
      RefuseHeld(a.id, r);
      return true;
    }
    if (it == group_of_.end()) {
      // Two tries read in one batch name each other: the first one seen opens the effect.
      for (const Event& event : batch_) {
        const auto* other = std::get_if<Arrival>(&event);
        if (other != nullptr && other->id == a.forerunner) return false;
      }
      // Named but not known here: it ran, and its record has been let go. Never run again.
      if (!Keyed(r)) return false;
      ReplayHeld(a.id);
      return true;
    }
    const std::uint64_t g = it->second;
    Effect& e = effects_[g];
    if (!e.ran && e.holder == 0) return false;
    r.effect = g;
    group_of_[a.id] = g;
    e.tries.push_back(a.id);
    if (e.ready) {
      ReplayHeld(a.id);
    } else {
      r.state = State::kFollowing;
      e.followers.push_back(a.id);
    }
    return true;
  }

  bool OpenEffect(RequestId id, Request& r) {
    const std::uint64_t g = ++last_effect_;
    Effect& e = effects_[g];
    if (!KeepEntry(id, r, e)) {
      effects_.erase(g);
      return false;
    }
    r.effect = g;
    group_of_[id] = g;
    e.tries.push_back(id);
    // Kept in mind for a second window past the table's entry: a repeat may be read late.
    expiry_.push_back({now_ + 2 * (Told(r).window_ms + Told(r).deadline_ms), g});
    return true;
  }

  // Puts the try in the table, from reading on, for its whole window. False where there is no room.
  bool KeepEntry(RequestId id, Request& r, Effect& e) {
    if (keys_kb_ + s_.key_kb > (Keyed(r) ? kKeyMemory : kHoldMemory) * s_.memory_kb ||
        Kb() + s_.key_kb > kWatermark * s_.memory_kb) {
      return false;
    }
    e.holder = id;
    e.kept = true;
    keys_kb_ += s_.key_kb;
    const double ttl = s_.tick_ms + (Keyed(r) ? Told(r).window_ms : r.due - now_ + s_.fresh_ms);
    e.until = e.kept_until = now_ + ttl;
    key_ends_.insert({e.until, r.effect != 0 ? r.effect : last_effect_});
    Do(KeepKey{id, ttl});
    return true;
  }

  void ReplayHeld(RequestId id) {
    Request* r = Find(id);
    if (r == nullptr) return;
    r->state = State::kReplaying;
    Do(Replay{id});
  }

  void ExpireKeys() {
    while (!key_ends_.empty() && key_ends_.begin()->first < now_) {
      auto it = effects_.find(key_ends_.begin()->second);
      if (it != effects_.end() && it->second.kept && it->second.until <= key_ends_.begin()->first) {
        it->second.kept = false;
        keys_kb_ -= s_.key_kb;
        if (it->second.until < it->second.kept_until) Do(DropKey{it->second.holder});
      }
      key_ends_.erase(key_ends_.begin());
    }
    while (!expiry_.empty() && expiry_.front().first < now_) {
      ForgetEffect(expiry_.front().second);
      expiry_.pop_front();
    }
  }

  void ForgetEffect(std::uint64_t g) {
    auto it = effects_.find(g);
    if (it == effects_.end()) return;
    for (RequestId id : it->second.tries) group_of_.erase(id);
    if (it->second.kept) keys_kb_ -= s_.key_kb;
    effects_.erase(it);
  }

  // ---- Calls below ----

  // Its place in the line at the call: the one that gains most by its call first.
  std::pair<std::pair<double, double>, RequestId> InLine(RequestId id, const Request& r) const {
    const RequestClass& c = Told(r);
    return {{-c.worth * (1 - c.fallback_share), r.aim}, id};
  }

  void WaitForCall(RequestId id, Request& r) {
    r.state = State::kCallWait;
    const RequestClass& c = Told(r);
    call_line_.insert(InLine(id, r));
    // Where a poorer answer has a worth, waiting must leave the time to finish by the aim.
    const double last = Last(r);
    if (!r.gone) Watch(id, r, c.fallback_share > 0 ? std::min(last, Patience(r)) : last);
    if (call_line_.size() <= kCallQueue * std::max(1.0, call_cap_)) return;
    const RequestId least = call_line_.rbegin()->second;  // The one that gains least by its call.
    if (Told(live_[least]).fallback_share > 0) GiveUpCall(least, live_[least]);
  }

  // Until when a call may take for the rest of the run to fit before the aim.
  double Patience(const Request& r) const { return r.aim - kLeft * slots_[r.cls].mean.cost_ms; }

  // Guards against a dependency that is slow or crowded, whatever the cause: more calls at once make it
  // slower.
  void SeeCall(const CallEnded& e) {
    if (s_.call_share <= 0 || (e.outcome != Outcome::kOk && e.outcome != Outcome::kTimeout)) return;
    const double weight = std::max(kCallLearn, 1.0 / ++calls_seen_);
    call_time_ += weight * (e.elapsed_ms - call_time_);
    if (calls_seen_ < 1 / kCallLearn) return;
    call_best_ = std::min(call_best_ * kCallDrift, call_time_);
    call_fill_ += call_time_ > kCallSlow * call_best_ ? -2 * kCallStep : kCallStep;
    call_fill_ = std::clamp(call_fill_, kCallFillLeast, kCallFillMost);
    call_cap_ = s_.call_share * call_fill_;
  }

  // ms until one call in hand brings the mean to kCallHard of a share under one; a call of usual length fits
  // always. Guards against calls that never end: each server's one would be more than all shares together.
  double CallRoom() const {
    const double hard = kCallHard * s_.call_share;
    if (s_.call_share <= 0 || call_cap_ >= 1 || hard >= 1) return Forever();
    const double room = s_.calls_over_ms * std::log((1 - call_mean_) / (1 - hard)) - s_.call_linger_ms;
    return std::max({room, s_.call_linger_ms, 2 * call_time_});
  }

  void PumpCalls() {
    while (!lingering_.empty() && lingering_.front() <= now_) lingering_.pop_front();
    // A share under one call cannot be kept by a count: the mean over the told span is kept instead.
    if (s_.calls_over_ms > 0) {
      const double fade = std::exp(-(now_ - pumped_at_) / s_.calls_over_ms);
      call_mean_ = fade * call_mean_ + (1 - fade) * in_hand_before_;
    }
    pumped_at_ = now_;
    // The call about to be made counts at its usual length. Guards against a fleet of servers that each may
    // have less than one call: by the mean so far alone, all of them called a slow dependency at once.
    while (!call_line_.empty() && calls_out_ + lingering_.size() + 1 <= std::max(1.0, call_cap_) &&
           (call_cap_ >= 1 ||
            call_mean_ + std::min(call_cap_ / 2, call_time_ / s_.calls_over_ms) <= call_cap_)) {
      const RequestId id = call_line_.begin()->second;
      Request& r = live_[id];
      call_line_.erase(call_line_.begin());
      const bool poorer = Told(r).fallback_share > 0;
      const double left = std::min((poorer ? Patience(r) : r.due) - now_, CallRoom());
      if (poorer && left <= 0) {
        GiveUpCall(id, r);
        continue;
      }
      r.state = State::kCalling;
      ++calls_out_;
      if (!r.gone) Watch(id, r, Last(r));
      Do(Call{id, std::max(s_.tick_ms, left)});
    }
    in_hand_before_ = calls_out_ + lingering_.size();
  }

  // Ends the stand at a call without it: the poorer answer where it has a worth, else an error.
  void GiveUpCall(RequestId id, Request& r) {
    StandDown(id, r);
    if (Told(r).fallback_share > 0 && !r.answered) {
      if (!r.gone) Watch(id, r, Last(r));
      Do(FallBack{id});
      return;
    }
    r.answered = true;
    Unwatch(id, r);
    Do(Fail{id});
  }

  // Takes a request that waits at a call out of the line. One whose call is out stays on the books until its
  // result or its finish: guards against a dependency that is still loaded by calls whose caller has left or
  // was answered. Counting those as ended made all servers together crowd it past its fall.
  void StandDown(RequestId id, Request& r) {
    LeaveCall(id, r);
    r.state = State::kRunning;
  }

  // Takes a request off the books of the calls; a call still out is given up and lingers.
  void LeaveCall(RequestId id, Request& r) {
    if (r.state != State::kCallWait && r.state != State::kCalling) return;
    call_line_.erase(InLine(id, r));
    if (r.state == State::kCalling) {
      --calls_out_;
      lingering_.push_back(now_ + s_.call_linger_ms);
    }
    r.call_ms += now_ - r.call_since;
    --at_call_;
  }

  // ---- The looks: limit, gate, signal ----

  void Look(const std::vector<double>& gauges) {
    const double busy = busy_gauge_ < gauges.size() ? gauges[busy_gauge_] : 1;
    const double runnable = runnable_gauge_ < gauges.size() ? gauges[runnable_gauge_] : OnCores();
    const bool warm = !s_.cold || now_ - began_ >= s_.cold_ms;
    const double top = s_.cores * (warm ? s_.fall_multiple : 1 + (s_.fall_multiple - 1) * s_.cold_share);
    const double gap = s_.cores + kCrowd - runnable;
    const bool binding = OnCores() >= std::floor(limit_) - 1;
    if (gap < 0 || (held_cost_ > 0 && binding)) limit_ += kClimb * gap;
    limit_ = std::clamp<double>(limit_, s_.cores, std::max<double>(s_.cores, top));
    busy_sum_ += busy;
    ++busy_looks_;
    if (now_ >= next_gate_) {
      next_gate_ = now_ + kGateMs;
      gate_on_ = (1 - busy_sum_ / busy_looks_) * s_.cores < kGateIdle;
      busy_sum_ = 0;
      busy_looks_ = 0;
    }
    if (now_ >= next_signal_) {
      next_signal_ = now_ + SignalSpan();
      Signal(busy);
    }
  }

  double SignalSpan() const { return std::max(kLookMs, kSignalPart * s_.signal_heard_ms); }

  // Tells callers how much to keep away, by the share of arrivals that had to be refused.
  void Signal(double busy) {
    if (s_.signal == SignalKind::kNone) return;
    if (stalled_) signal_ = kSignalTop;  // Few may see bad health; this rides on each refusal.
    const double span = SignalSpan() / 1000;
    const double step = busy < kSignalBusy ? kSignalDown * (busy - kSignalBusy)
                                           : kSignalUp * std::max(0.0, refused_share_ - kRefusedBorne);
    signal_ = std::clamp(signal_ + span * step, 0.0, kSignalTop);
    if (s_.signal == SignalKind::kThreshold) Do(Announce{signal_});
    if (s_.signal == SignalKind::kShareOf) Do(Announce{1 - signal_});
    if (s_.signal == SignalKind::kWindow) {
      Do(Announce{(1 - signal_) * 2 * s_.fall_multiple * s_.cores / s_.callers});
    }
  }

  // ---- Tenants ----

  // Requests a ms.
  double QuotaHere(const Tenant& t) const { return kQuotaSlack * t.quota_rps / s_.fleet_size / 1000; }

  // Whether a request is above its tenant's share: its bucket of first tries is empty, and it sends more than
  // its part of what comes here. Guards against a small tenant that is refused for its own unmarked further
  // tries: its quota on one server of a large fleet is less than a request in two seconds.
  bool OverShare(const Arrival& a, bool retry) {
    if (a.tenant >= budget_.size() || s_.over_share_worth >= 1) return false;
    for (double& share : tenant_mix_) Fade(share, retry ? 0 : kMix);
    tenant_mix_[a.tenant] += retry ? 0 : kMix;
    for (std::size_t t = 0; t < budget_.size(); ++t) {
      const double quota = QuotaHere(s_.tenants[t]);
      budget_[t] = std::min(quota * kBurstMs, budget_[t] + quota * (now_ - refill_at_));
    }
    refill_at_ = now_;
    const double part = s_.tenants[a.tenant].share;
    if (budget_[a.tenant] < 1) {
      return tenant_mix_[a.tenant] > part + kChance * std::sqrt(std::max(0.0, part * (1 - part)) * kMix / 2);
    }
    if (!retry) budget_[a.tenant] -= 1;
    return false;
  }

  // One timer in force: the next look or the next thing due, whichever is first.
  void ArmTimer() {
    double at = next_look_;
    if (!ledger_.empty()) at = std::min(at, ledger_.begin()->first);
    at = std::max(at, now_ + s_.tick_ms);
    if (at >= armed_for_) return;
    armed_for_ = at;
    Do(SetTimer{at - now_, ++token_});
  }

  Settings s_;
  std::vector<Slot> slots_;
  std::vector<int> slot_of_;  // By place in the settings told last.
  bool retuned_ = false;
  std::vector<Action> out_;
  std::span<const Event> batch_;
  bool begun_ = false;
  double now_ = 0, began_ = 0;
  std::unordered_map<RequestId, Request> live_;
  std::vector<std::set<std::pair<double, RequestId>>> queues_;  // By class and over-share, nearest aim first.
  std::set<std::pair<double, RequestId>> ledger_;
  double held_kb_ = 0, run_kb_ = 0, keys_kb_ = 0;
  double held_cost_ = 0;
  Load other_;
  int running_ = 0;  // Runs, those at a call included.
  int at_call_ = 0;
  double limit_ = 0;
  double moved_at_ = 0;  // When a run last moved on, or a core was free.
  bool stalled_ = false;
  std::uint64_t finished_ = 0;
  double pace_ = 1;  // Length of recent runs over the learned means.
  std::size_t busy_gauge_ = -1, runnable_gauge_ = -1;
  bool gate_on_ = false;
  double next_look_ = 0, next_gate_ = 0;
  double busy_sum_ = 0, busy_looks_ = 0;
  std::uint32_t token_ = 0;
  double armed_for_ = Forever();
  std::map<std::uint64_t, Effect> effects_;
  std::unordered_map<RequestId, std::uint64_t> group_of_;
  std::uint64_t last_effect_ = 0;
  std::deque<std::pair<double, std::uint64_t>> expiry_;
  std::set<std::pair<double, std::uint64_t>> key_ends_;
  std::set<std::pair<std::pair<double, double>, RequestId>> call_line_;  // Most to gain first.
  std::deque<double> lingering_;
  int calls_out_ = 0, calls_seen_ = 0;
  double call_cap_ = 0;
  double call_fill_ = kCallFill;
  double call_time_ = 0;  // Recent mean of a call's ms.
  double call_best_ = Forever();
  double call_mean_ = 0, in_hand_before_ = 0, pumped_at_ = 0;
  bool draining_ = false;
  double drain_at_ = 0, kill_at_ = 0;
  double retry_share_ = 0;  // Of recent arrivals: marked as further tries.
  std::vector<double> waits_ =
      std::vector<double>(kWaits, 2 * kUsualWait);  // Of recent arrivals, by their wait.
  std::vector<double> budget_;
  std::vector<double> tenant_mix_;  // By tenant: of recent arrivals.
  double refill_at_ = 0;
  double refused_share_ = 0;  // Of recent arrivals: refused over the hold mark.
  double signal_ = 0, next_signal_ = 0;
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
