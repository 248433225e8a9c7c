// DTOC (Carter and Cherkasova, HPL-98-164R1): while the server is busy, a held request that is about to start
// is first checked for a caller that has gone; if so it is refused instead of run. StartHeld() is that path.
// All else serves it: what is held, how many run, and the four rules (in time, not twice, drain, no fall).
#ifndef HINGELINK_POLICY_START_H_
#define HINGELINK_POLICY_START_H_

#include "policy/calls.h"

namespace hingelink::policy {

// Runs that should have moved on, had the set in hand gone on as usual, before the work counts as stalled:
// by chance once in three thousand times. And ms that it lasts at least: a link to the workers that breaks
// may lose the starts of its last 50 ms, and the first run that is started again must end.
constexpr double kStall = 8, kStallLeastMs = 100;
constexpr std::uint64_t kStallRuns = 34;  // Ended before one is called: by then the means are learned.

class StartPath : protected Calls {
 protected:
  using Calls::Calls;

  // The only place where a request starts.
  void StartHeld() {
    for (;;) {
      // The check, at the head of every queue: its caller has gone or can no longer be served in time.
      // Refused, not run; at once, not when its queue's turn comes.
      for (const auto& queue : queues_) {
        while (!queue.empty() && GivenUp(live_[queue.begin()->second]))
          RefuseHeld(queue.begin()->second, live_[queue.begin()->second]);
      }
      const int q = Head();
      if (q < 0) return;
      const RequestId id = queues_[q].begin()->second;
      Request& r = live_[id];
      if (OnCores() >= std::floor(looks_.limit())) return;
      if (Kb() + r.kb * (s_.run_factor - 1) > kWatermark * s_.memory_kb) return;
      Unhold(id, r);
      held_cost_ -= r.cost;
      held_kb_ -= r.kb;
      run_kb_ += r.kb * s_.run_factor;
      ++running_;
      r.state = State::kRunning;
      Do(Start{id});
      slots_[r.cls].served += kMix * (1 - slots_[r.cls].served);
      if (r.effect && Keyed(r)) ReplayFollowers(*r.effect);
    }
  }

  // Guards against work that stands still while requests are read (a hung disk, a machine frozen by others):
  // all that is held or comes is refused, for other servers, until a run moves on.
  void SeeStall() {
    if (running_ - at_call_ < s_.cores) moved_at_ = now_;
    double usual = 0;
    for (const Slot& slot : slots_) {
      if (slot.listed || slot.open > 0) usual = std::max(usual, slot.mean.run_ms);
    }
    const double span = std::max(kStallLeastMs, kStall * usual / std::max(1, running_ - at_call_));
    const bool stalled = finished_ >= kStallRuns && now_ - moved_at_ > span;
    if (stalled != stalled_ && !draining_) Do(SetHealth{!stalled, true});
    if (stalled && !stalled_) Do(Log{"stall: no run moves on, refusing"});
    stalled_ = stalled;
  }

 private:
  // The queue whose head has the nearest aim; those that would only pile up at a jammed call are passed over.
  int Head() {
    int best = -1;
    for (int q = 0; q < static_cast<int>(queues_.size()); ++q) {
      const RequestClass& c = slots_[q / 2].told;
      if (queues_[q].empty() || (Jammed() && c.may_call && c.fallback_share <= 0)) continue;
      const auto turn = [this](int i) { return std::make_pair(i % 2, *queues_[i].begin()); };
      if (best < 0 || turn(q) < turn(best)) best = q;
    }
    return best;
  }

  // An expired wait counts as gone, and so does one that leaves too little time: in overload an answer past
  // the aim takes a core from one that can be in time. Guards against a server that only ever serves late.
  bool GivenUp(const Request& r) const {
    const bool late = now_ + kLeft * pace_ * r.size * slots_[r.cls].mean.run_ms > r.aim;
    return r.gone || stalled_ || (looks_.gate_on() && (r.over_share || late));
  }
};

}  // namespace hingelink::policy

#endif  // HINGELINK_POLICY_START_H_
