// Lifeguard's local health multiplier (Dadgar, Phillips, Currey 2017). A node that misses acks or is
// suspected by other members may itself be slow. Its score then rises, and it waits longer for acks before it
// suspects other members.
#ifndef HINGELINK_DECIDE_MEMBERSHIP_LOCAL_HEALTH_H_
#define HINGELINK_DECIDE_MEMBERSHIP_LOCAL_HEALTH_H_

#include <algorithm>

namespace hingelink::decide::membership {

// Not thread-safe.
class LocalHealth {
 public:
  explicit LocalHealth(int max_score) : max_score_(max_score) {}

  // 0 is healthy; greater scores are worse.
  [[nodiscard]] int score() const { return score_; }
  // The score as a fraction of the maximum.
  [[nodiscard]] double fraction() const { return static_cast<double>(score_) / max_score_; }

  // Adds `step` to the score: a positive step worsens it. The score stays between 0 and its maximum.
  void Adjust(int step) { score_ = std::clamp(score_ + step, 0, max_score_); }
  void SetWorst() { score_ = max_score_; }

 private:
  int max_score_;
  int score_ = 0;
};

}  // namespace hingelink::decide::membership

#endif  // HINGELINK_DECIDE_MEMBERSHIP_LOCAL_HEALTH_H_
