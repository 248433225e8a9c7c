#include "decide/loops/loop_watchdog.h"

#include <utility>

namespace hingelink::decide {

LoopWatchdog::Transition LoopWatchdog::Observe(std::size_t loop, std::uint64_t heartbeats) {
  LoopState& state = loops_[loop];
  if (heartbeats != state.heartbeats) {
    state.heartbeats = heartbeats;
    state.missed = 0;
    return std::exchange(state.is_stalled, false) ? Transition::kRecovered : Transition::kNone;
  }
  if (state.is_stalled || ++state.missed < max_missed_) return Transition::kNone;
  state.is_stalled = true;
  return Transition::kStalled;
}

}  // namespace hingelink::decide
