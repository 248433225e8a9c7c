// Detects stalled event loops.
//
// A stall is measured in observations without a heartbeat, not in time. When the whole machine pauses, the
// loops and the thread that observes them pause together, so that no loop is reported as stalled.
#ifndef HINGELINK_DECIDE_LOOPS_LOOP_WATCHDOG_H_
#define HINGELINK_DECIDE_LOOPS_LOOP_WATCHDOG_H_

#include <cstddef>
#include <cstdint>
#include <vector>

namespace hingelink::decide {

// Not thread-safe. Event loops are numbered from 0.
class LoopWatchdog {
 public:
  enum class Transition { kNone, kStalled, kRecovered };

  // A loop is stalled after `max_missed` consecutive observations without a heartbeat.
  LoopWatchdog(std::size_t loops, int max_missed) : max_missed_(max_missed), loops_(loops) {}

  // To be called periodically for each loop. Compares the loop's heartbeat counter with its value at the
  // previous observation. Returns kStalled or kRecovered only when the state of the loop changes.
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
