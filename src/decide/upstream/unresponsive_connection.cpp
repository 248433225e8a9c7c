#include "decide/upstream/unresponsive_connection.h"

#include <algorithm>
#include <utility>

namespace hingelink::decide {
namespace {

// Weight of a new reply in the mean: the last ten.
constexpr double kReplyWeight = 0.1;
// Doublings of the timeout by connections that were given up.
constexpr int kMaxDoublings = 5;

}  // namespace

UnresponsiveConnectionDetector::Verdict UnresponsiveConnectionDetector::Evaluate(Span unresponsive_for,
                                                                                 Span stopped_after,
                                                                                 bool may_open,
                                                                                 std::uint64_t overtaking) {
  const bool is_used = stopped_after <= Span(0);
  if (!is_used) {
    const bool is_overtaken = overtaking >= kMinOvertakingReplies;
    const bool is_dead = unresponsive_for >= std::min(kMaxDeadTimeout, kDeadTimeoutFactor * stopped_after);
    return (is_overtaken || is_dead) && unresponsive_for >= stopped_after ? Verdict::kClose : Verdict::kWait;
  }
  if (unresponsive_for < timeout() || !may_open) return Verdict::kWait;
  ++given_up_;
  return Verdict::kStopUsing;
}

void UnresponsiveConnectionDetector::OnReply(Span elapsed) {
  const double weight = std::exchange(has_reply_, true) ? kReplyWeight : 1;
  mean_reply_ += weight * (elapsed - mean_reply_);
  given_up_ = 0;
}

UnresponsiveConnectionDetector::Span UnresponsiveConnectionDetector::timeout() const {
  const int backoff_factor = 1 << std::min(given_up_, kMaxDoublings);
  return std::min(kMaxTimeout, std::max(kMinTimeout, kTimeoutFactor * mean_reply_) * backoff_factor);
}

}  // namespace hingelink::decide
