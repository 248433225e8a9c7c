// Which loops hang. By looks and by beats, not by the clock: a pause of the whole machine is one look for
// all. No I/O.
#ifndef HINGELINK_DECIDE_LOOPS_LOOP_WATCHDOG_H_
#define HINGELINK_DECIDE_LOOPS_LOOP_WATCHDOG_H_

#include <cstddef>
#include <cstdint>
#include <vector>

namespace hingelink::decide {

class LoopWatchdog {
 public:
  // A loop hangs after so many looks in a row without a beat.
  LoopWatchdog(std::size_t loops, int looks) : looks_(looks), loops_(loops) {}

  enum class Transition { kNone, kStalled, kRecovered };
  Transition Observe(std::size_t loop, std::uint64_t beats) {
    State& state = loops_[loop];
    if (beats != state.beats) {
      state.beats = beats;
      state.still = 0;
      if (!state.hangs) return Transition::kNone;
      state.hangs = false;
      return Transition::kRecovered;
    }
    if (state.hangs || ++state.still < looks_) return Transition::kNone;
    state.hangs = true;
    return Transition::kStalled;
  }
  bool is_stalled(std::size_t loop) const { return loops_[loop].hangs; }

 private:
  struct State {
    std::uint64_t beats = 0;
    int still = 0;
    bool hangs = false;
  };
  int looks_;
  std::vector<State> loops_;
};

}  // namespace hingelink::decide

#endif  // HINGELINK_DECIDE_LOOPS_LOOP_WATCHDOG_H_
