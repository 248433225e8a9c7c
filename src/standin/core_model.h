// How long runs take on a machine of the worker pool: cores that are shared evenly, with a speed, a cold
// start and a crowd past which work slows. No clock, no sockets: the caller gives the time.
#ifndef HINGELINK_STANDIN_CORE_MODEL_H_
#define HINGELINK_STANDIN_CORE_MODEL_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace hingelink::standin {

using Millis = std::chrono::duration<double, std::milli>;

struct Cores {
  int count = 2;
  double speed = 1;                   // Standard milliseconds of work that one core does in a millisecond.
  double warm_up_speed_fraction = 1;  // Share of the speed at the start,
  Millis cold_for{0};                 // ... for so long.
  double crowd_at = 8;                // Runs a core past which all work slows,
  double crowd_share = .5;            // ... to this share of its speed.
};

class CoreModel {
 public:
  explicit CoreModel(const Cores& cores) : cores_(cores) {}

  // Times are since the start of the machine and never go back. `work` is on one standard core.
  void Start(std::uint64_t run, Millis work, Millis now);
  // False where the run is none of those under way.
  bool Cancel(std::uint64_t run, Millis now);
  // The runs that are over by now, in order of their ends.
  std::vector<std::uint64_t> TakeEnded(Millis now);
  // When the next run ends if nothing else starts; nothing where none runs or the machine stands still.
  std::optional<Millis> NextEnd(Millis now);

  // All work is slower by this factor from now on, or stands still (0).
  void SetPace(double pace, Millis now);
  std::size_t running() const { return by_run_.size(); }
  // Share of the cores that are busy, averaged over about half a second.
  double Busy(Millis now);

 private:
  void Pass(Millis now);
  double Rate() const;

  Cores cores_;
  double pace_ = 1;
  Millis now_{0};
  double done_ = 0;  // Work that each run under way has had since the start, were it there from the start.
  double busy_ = 0;
  std::set<std::pair<double, std::uint64_t>> by_end_;  // By `done_` at the end.
  std::unordered_map<std::uint64_t, double> by_run_;
};

}  // namespace hingelink::standin

#endif  // HINGELINK_STANDIN_CORE_MODEL_H_
