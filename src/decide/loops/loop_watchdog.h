// Detects event loops that are stalled.
//
// Progress is counted in observations and heartbeats, not in time: when the whole machine pauses, the loops
// and their observer pause together, and no loop is reported.
#ifndef HINGELINK_DECIDE_LOOPS_LOOP_WATCHDOG_H_
#define HINGELINK_DECIDE_LOOPS_LOOP_WATCHDOG_H_

#include <cstddef>
#include <cstdint>
#include <vector>

namespace hingelink::decide {

// Not thread-safe. Loops are numbered from 0.
class LoopWatchdog {
 public:
  enum class Transition { kNone, kStalled, kRecovered };

  // A loop is stalled after `max_missed` consecutive observations without a heartbeat.
  LoopWatchdog(std::size_t loops, int max_missed) : max_missed_(max_missed), loops_(loops) {}

  // Compares the loop's heartbeat counter with that of the previous observation. kStalled and kRecovered are
  // returned once per change.
  [[nodiscard]] Transition Observe(std::size_t loop, std::uint64_t heartbeats);
  [[nodiscard]] bool is_stalled(std::size_t loop) const { return loops_[loop].is_stalled; }

 private:
  struct LoopState {
    std::uint64_t heartbeats = 0;
    int missed = 0;  // Consecutive observations without a heartbeat.
    bool is_stalled = false;
  };

  int max_missed_;
  std::vector<LoopState> loops_;
};

}  // namespace hingelink::decide

#endif  // HINGELINK_DECIDE_LOOPS_LOOP_WATCHDOG_H_
