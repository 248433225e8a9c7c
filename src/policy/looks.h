// The looks at the gauges: how many may run, whether the server is busy, and what callers are told.
#ifndef HINGELINK_POLICY_LOOKS_H_
#define HINGELINK_POLICY_LOOKS_H_

#include <algorithm>
#include <optional>
#include <vector>

#include "policy/request.h"

namespace hingelink::policy {

// The busy gate, from the paper: measured once a second, on above 95% of the cores busy; that is six cores
// with less than this many idle. Fewer cores are full with as many idle: chance takes work away by the core.
constexpr double kGateMs = 1000, kGateIdle = 0.3;
// ms between looks at the gauges: a few looks within the half second that cpu_busy averages over.
constexpr double kLookMs = 25;
// Runnable things beyond the cores that the limit steers for: chance takes a core's work away between looks
// by the thing, not by the share, so two cores need as many to spare as six.
constexpr double kCrowd = 2.0;
// Share of the gap to kCrowd closed at each look; up fast (idle cores cost at once), down as fast.
constexpr double kClimb = 0.10;
// Signal: time between settings as a share of the told time callers remember it (any quicker, it swings);
// share refused that is borne, and how far it rises a second for each share above; the busy share under which
// it falls, and how far a second for each share below.
constexpr double kSignalPart = 0.25, kRefusedBorne = 0.02;
constexpr double kSignalUp = 0.4, kSignalBusy = 0.9, kSignalDown = 0.5, kSignalTop = 0.9;

class Looks {
 public:
  explicit Looks(const Settings& settings) : s_(settings) {}

  void Begin(double now) {
    limit_ = s_.cores;
    began_ = now;
    next_look_ = now + kLookMs;
    next_gate_ = now + kGateMs;
  }

  // Looks, where it is time to. Gives what is to be announced, if anything. `refused`: of recent arrivals.
  std::optional<double> Look(double now, const std::vector<double>& gauges, int on_cores, bool holds,
                             bool stalled, double refused) {
    if (now < next_look_) return std::nullopt;
    next_look_ = now + kLookMs;
    const double busy = Gauge(gauges, "cpu_busy", 1), runnable = Gauge(gauges, "runnable", on_cores);
    const bool warm = !s_.cold || now - began_ >= s_.cold_ms;
    const double top = s_.cores * (warm ? s_.fall_multiple : 1 + (s_.fall_multiple - 1) * s_.cold_share);
    const double gap = s_.cores + kCrowd - runnable;
    const bool binding = on_cores >= std::floor(limit_) - 1;
    if (gap < 0 || (holds && binding)) limit_ += kClimb * gap;
    limit_ = std::clamp<double>(limit_, s_.cores, std::max<double>(s_.cores, top));
    busy_sum_ += busy;
    ++busy_looks_;
    if (now >= next_gate_) {
      next_gate_ = now + kGateMs;
      gate_on_ = (1 - busy_sum_ / busy_looks_) * s_.cores < kGateIdle;
      busy_sum_ = busy_looks_ = 0;
    }
    if (now < next_signal_ || s_.signal == SignalKind::kNone) return std::nullopt;
    const double span = std::max(kLookMs, kSignalPart * s_.signal_heard_ms);
    next_signal_ = now + span;
    // Tells callers how much to keep away, by the share of arrivals that had to be refused.
    if (stalled) signal_ = kSignalTop;  // Few may see bad health; this rides on each refusal.
    const double step = busy < kSignalBusy ? kSignalDown * (busy - kSignalBusy)
                                           : kSignalUp * std::max(0.0, refused - kRefusedBorne);
    signal_ = std::clamp(signal_ + span / 1000 * step, 0.0, kSignalTop);
    if (s_.signal == SignalKind::kThreshold) return signal_;
    if (s_.signal == SignalKind::kShareOf) return 1 - signal_;
    return (1 - signal_) * 2 * s_.fall_multiple * s_.cores / s_.callers;
  }

  double next() const { return next_look_; }
  double limit() const { return limit_; }
  bool gate_on() const { return gate_on_; }

 private:
  double Gauge(const std::vector<double>& gauges, const char* name, double without) const {
    const std::size_t at = std::find(s_.gauges.begin(), s_.gauges.end(), name) - s_.gauges.begin();
    return at < std::min(gauges.size(), s_.gauges.size()) ? gauges[at] : without;
  }

  const Settings& s_;
  double limit_ = 0;
  bool gate_on_ = false;
  double began_ = 0, next_look_ = 0, next_gate_ = 0, next_signal_ = 0;
  double busy_sum_ = 0, busy_looks_ = 0, signal_ = 0;
};

}  // namespace hingelink::policy

#endif  // HINGELINK_POLICY_LOOKS_H_
