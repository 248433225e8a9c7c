#include "policy/stall_detector.h"

#include <algorithm>

namespace hingelink::policy {
namespace {

// Executions that should have finished meanwhile, at their mean length, before they count as stalled. Chance
// alone delays as many once in about 3,000 times.
constexpr double kMissedFinishes = 8;
// A stall lasts at least this long: a broken link to the workers can lose the starts of its last 50 ms, and
// the first execution that is started again must be able to finish.
constexpr double kMinStallMs = 100;
// Executions that must have finished before a stall is reported: the learned means are not reliable before.
constexpr std::uint64_t kMinFinished = 34;

}  // namespace

void StallDetector::OnFinished(double now) {
  OnProgress(now);
  ++finished_;
}

StallDetector::Change StallDetector::Update(double now, int running, double longest_mean_run_ms) {
  if (running < settings_.cores) OnProgress(now);
  const double timeout_ms =
      std::max(kMinStallMs, kMissedFinishes * longest_mean_run_ms / std::max(1, running));
  const bool was_stalled = is_stalled_;
  is_stalled_ = finished_ >= kMinFinished && now - last_progress_at_ > timeout_ms;
  if (is_stalled_ == was_stalled) return Change::kNone;
  return is_stalled_ ? Change::kStalled : Change::kRecovered;
}

}  // namespace hingelink::policy
