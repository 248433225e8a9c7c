// How many calls to the shared dependency this server has out, and may have.
#ifndef HINGELINK_POLICY_CALL_SHARE_H_
#define HINGELINK_POLICY_CALL_SHARE_H_

#include <algorithm>
#include <cmath>
#include <deque>
#include <random>

#include "policy/request.h"

namespace hingelink::policy {

// Share of the told call share that this server fills: the dependency slows long before it falls, so it moves
// by what calls took against the quickest mean, which by chance is half the true one; down twice as fast.
constexpr double kCallFillLeast = 0.31, kCallFillMost = 0.7, kCallFill = 0.5;  // The last at first.
constexpr double kCallSlow = 2.5, kCallStep = 0.01, kCallLearn = 0.1;
// Share of the told share up to which a call that drags on is let go on, where the share is under one call.
constexpr double kCallHard = 0.6;
constexpr double kCallDrift = 1.001;  // The quickest mean is let go of slowly, a call at a time.
// Calls waiting for a place, per call in hand allowed: beyond it the poorer answer is taken at once.
constexpr double kCallQueue = 1.5;

class CallShare {
 public:
  // Servers that started together would all make their first call at once: each begins somewhere in its
  // account of calls, by the seed.
  CallShare(const Settings& settings, std::uint64_t seed) : s_(settings) {
    Take();
    std::mt19937_64 draw(seed);
    if (cap_ < 1) mean_ = cap_ * std::generate_canonical<double, 32>(draw);
  }
  void Take() { cap_ = s_.call_share > 0 ? s_.call_share * fill_ : kForever; }

  bool Crowded(std::size_t waiting) const { return waiting > kCallQueue * std::max(1.0, cap_); }

  void Begin(double now) {
    while (!lingering_.empty() && lingering_.front() <= now) lingering_.pop_front();
    // A share under one call cannot be kept by a count: the mean over the told span is kept instead.
    if (s_.calls_over_ms > 0) {
      const double fade = std::exp(-(now - begun_at_) / s_.calls_over_ms);
      mean_ = fade * mean_ + (1 - fade) * in_hand_before_;
    }
    begun_at_ = now;
  }
  // The call about to be made counts at its usual length. Guards against a fleet of servers that each may
  // have less than one call: by the mean so far alone, all of them called a slow dependency at once.
  bool MayCall() const {
    return out_ + lingering_.size() + 1 <= std::max(1.0, cap_) &&
           (cap_ >= 1 || mean_ + std::min(cap_ / 2, time_ / s_.calls_over_ms) <= cap_);
  }
  void Made() { ++out_; }
  void Settle() { in_hand_before_ = out_ + lingering_.size(); }
  void Over() { --out_; }
  // Given up, or broken off: it loads the dependency a while longer. Or turned away: it is crowded.
  void Linger(double now) { lingering_.push_back(now + s_.call_linger_ms); }

  // Guards against a dependency that is slow or crowded: more calls at once make it slower.
  void See(const CallEnded& e) {
    if (s_.call_share <= 0 || (e.outcome != Outcome::kOk && e.outcome != Outcome::kTimeout)) return;
    time_ += std::max(kCallLearn, 1.0 / ++seen_) * (e.elapsed_ms - time_);
    if (seen_ < 1 / kCallLearn) return;
    best_ = std::min(best_ * kCallDrift, time_);
    fill_ += time_ > kCallSlow * best_ ? -2 * kCallStep : kCallStep;
    fill_ = std::clamp(fill_, kCallFillLeast, kCallFillMost);
    Take();
  }

  // ms until one call in hand brings the mean to kCallHard of a share under one; a call of usual length fits
  // always. Guards against calls that never end: each server's one would be more than all shares together.
  double Room() const {
    const double hard = kCallHard * s_.call_share;
    if (s_.call_share <= 0 || cap_ >= 1 || hard >= 1) return kForever;
    const double room = s_.calls_over_ms * std::log((1 - mean_) / (1 - hard)) - s_.call_linger_ms;
    return std::max({room, s_.call_linger_ms, 2 * time_});
  }

 private:
  const Settings& s_;
  std::deque<double> lingering_;
  int out_ = 0, seen_ = 0;
  double cap_ = 0, fill_ = kCallFill;
  double time_ = 0;  // Recent mean of a call's ms.
  double best_ = kForever;
  double mean_ = 0, in_hand_before_ = 0, begun_at_ = 0;
};

}  // namespace hingelink::policy

#endif  // HINGELINK_POLICY_CALL_SHARE_H_
