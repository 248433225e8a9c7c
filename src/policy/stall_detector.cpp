#include "policy/stall_detector.h"

#include <algorithm>

namespace hingelink::policy {
namespace {

// A stall is reported after the time in which the running executions, at the longest mean duration, should
// have finished this many times. Without a stall, a delay this long occurs by chance once in about 3,000
// times.
constexpr double kMissedFinishes = 8;
// Shortest time without progress that counts as a stall. A broken link to the workers can lose the starts of
// its last 50 ms, and the first execution that is started again must have time to finish.
constexpr double kMinStallMs = 100;
// Number of executions that must have finished before a stall is reported. With fewer, the learned means are
// not reliable.
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
