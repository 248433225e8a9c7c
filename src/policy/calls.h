// Runs that stand at a call: who may make it, and who goes on without it.
#ifndef HINGELINK_POLICY_CALLS_H_
#define HINGELINK_POLICY_CALLS_H_

#include "policy/call_share.h"
#include "policy/ends.h"

namespace hingelink::policy {

// Tries of a call that is proven never to have run (or is safe to repeat). They are spread: a place that was
// turned away stays taken a while.
constexpr int kCallTries = 12;

class Calls : protected Ends {
 protected:
  Calls(const Settings& settings, std::uint64_t seed) : Ends(settings), calls_(s_, seed) {}

  void On(const AtCall& e) {
    Request* r = Find(e.id);
    if (r == nullptr || r->state != State::kRunning) return;
    if (r->answered) return Do(Fail{e.id});  // Its answer is out: nothing more is to be gained by the call.
    moved_at_ = now_;
    r->call_since = now_;
    r->call_tries = 0;
    ++at_call_;
    WaitForCall(e.id, *r);
  }

  void On(const CallEnded& e) {
    Request* r = Find(e.id);
    if (r == nullptr || r->state != State::kCalling) return;
    calls_.Over();
    calls_.See(e);
    if (e.outcome != Outcome::kOk && e.outcome != Outcome::kError) calls_.Linger(now_);
    r->state = State::kCallWait;
    if (e.outcome == Outcome::kOk) {
      StandDown(e.id, *r);
      if (!r->answered && !r->gone) Watch(e.id, *r, Last(*r));
      return;
    }
    const bool never_ran = e.outcome == Outcome::kFull || e.outcome == Outcome::kConnectFailed;
    // Rule 2: the call of a keyed or unsafe request is repeated only where it is proven never to have run.
    const bool repeatable = never_ran || (Safe(*r) && e.outcome != Outcome::kTimeout);
    if (repeatable && ++r->call_tries < kCallTries && !r->answered) {
      WaitForCall(e.id, *r);
    } else {
      GiveUpCall(e.id, *r);
    }
  }

  void PumpCalls() {
    calls_.Begin(now_);
    while (!line_.empty() && calls_.MayCall()) {
      const RequestId id = line_.begin()->second;
      Request& r = live_[id];
      line_.erase(line_.begin());
      const bool poorer = Told(r).fallback_share > 0;
      const double left = std::min((poorer ? Patience(r) : r.due) - now_, calls_.Room());
      if (poorer && left <= 0) {
        GiveUpCall(id, r);
        continue;
      }
      r.state = State::kCalling;
      calls_.Made();
      if (!r.gone) Watch(id, r, Last(r));
      Do(Call{id, std::max(s_.tick_ms, left)});
    }
    calls_.Settle();
  }

  // Ends the stand at a call without it: the poorer answer where it has a worth, else an error.
  void GiveUpCall(RequestId id, Request& r) {
    StandDown(id, r);
    if (Told(r).fallback_share > 0 && !r.answered) {
      if (!r.gone) Watch(id, r, Last(r));
      return Do(FallBack{id});
    }
    r.answered = true;
    Unwatch(id, r);
    Do(Fail{id});
  }

  // Takes a request that waits at a call out of the line. One whose call is out stays on the books until its
  // result or its finish: counting it as ended once its caller was answered made all servers together crowd
  // the dependency past its fall.
  void StandDown(RequestId id, Request& r) {
    LeaveCall(id, r);
    r.state = State::kRunning;
  }

  // Takes a request off the books of the calls; a call still out is given up and lingers.
  void LeaveCall(RequestId id, Request& r) {
    if (r.state != State::kCallWait && r.state != State::kCalling) return;
    line_.erase(InLine(id, r));
    if (r.state == State::kCalling) {
      calls_.Over();
      calls_.Linger(now_);
    }
    r.call_ms += now_ - r.call_since;
    --at_call_;
  }

  bool Jammed() const { return calls_.Crowded(line_.size()); }

  CallShare calls_;

 private:
  using Place = std::pair<std::pair<double, double>, RequestId>;
  // Its place in the line at the call: the one that gains most by its call first.
  Place InLine(RequestId id, const Request& r) const {
    return {{-Told(r).worth * (1 - Told(r).fallback_share), r.aim}, id};
  }

  void WaitForCall(RequestId id, Request& r) {
    r.state = State::kCallWait;
    line_.insert(InLine(id, r));
    // Where a poorer answer has a worth, waiting must leave the time to finish by the aim.
    if (!r.gone) Watch(id, r, Told(r).fallback_share > 0 ? std::min(Last(r), Patience(r)) : Last(r));
    if (!Jammed()) return;
    const RequestId least = line_.rbegin()->second;  // The one that gains least by its call.
    if (Told(live_[least]).fallback_share > 0) GiveUpCall(least, live_[least]);
  }

  // Until when a call may take for the rest of the run to fit before the aim.
  double Patience(const Request& r) const { return r.aim - kLeft * slots_[r.cls].mean.cost_ms; }

  std::set<Place> line_;
};

}  // namespace hingelink::policy

#endif  // HINGELINK_POLICY_CALLS_H_
