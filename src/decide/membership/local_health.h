// How far this node trusts its own observations: Lifeguard's local health multiplier (Dadgar, Phillips,
// Currey 2017). A node that misses answers, or that others suspect, may itself be the slow one: it then waits
// longer for answers before it suspects others.
#ifndef HINGELINK_DECIDE_MEMBERSHIP_LOCAL_HEALTH_H_
#define HINGELINK_DECIDE_MEMBERSHIP_LOCAL_HEALTH_H_

#include <algorithm>

namespace hingelink::decide::membership {

// Not thread-safe.
class LocalHealth {
 public:
  explicit LocalHealth(int max_score) : max_score_(max_score) {}

  // 0: healthy.
  [[nodiscard]] int score() const { return score_; }
  // The score as a fraction of the worst one.
  [[nodiscard]] double fraction() const { return static_cast<double>(score_) / max_score_; }

  // Positive steps are for the worse. The score stays between 0 and its maximum.
  void Adjust(int step) { score_ = std::clamp(score_ + step, 0, max_score_); }
  void SetWorst() { score_ = max_score_; }

 private:
  int max_score_;
  int score_ = 0;
};

}  // namespace hingelink::decide::membership

#endif  // HINGELINK_DECIDE_MEMBERSHIP_LOCAL_HEALTH_H_
