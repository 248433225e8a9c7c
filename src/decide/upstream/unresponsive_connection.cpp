#include "decide/upstream/unresponsive_connection.h"

#include <algorithm>
#include <utility>

namespace hingelink::decide {
namespace {

// Weight of a new reply in the mean reply time, which then covers about the last ten replies.
constexpr double kReplyWeight = 0.1;
// Maximum number of times that connections given up double the timeout.
constexpr int kMaxDoublings = 5;

}  // namespace

UnresponsiveConnectionDetector::Verdict UnresponsiveConnectionDetector::Evaluate(
    Milliseconds unresponsive_for, Milliseconds stopped_after, bool may_open,
    std::uint64_t overtaking_replies) {
  const bool is_used = stopped_after <= Milliseconds(0);
  if (!is_used) {
    const bool is_overtaken = overtaking_replies >= kMinOvertakingReplies;
    const bool is_dead = unresponsive_for >= std::min(kMaxDeadTimeout, kDeadTimeoutFactor * stopped_after);
    return (is_overtaken || is_dead) && unresponsive_for >= stopped_after ? Verdict::kClose : Verdict::kWait;
  }
  if (unresponsive_for < timeout() || !may_open) return Verdict::kWait;
  ++given_up_connections_;
  return Verdict::kStopUsing;
}

void UnresponsiveConnectionDetector::OnReply(Milliseconds elapsed) {
  const double weight = std::exchange(has_reply_, true) ? kReplyWeight : 1;
  mean_reply_ += weight * (elapsed - mean_reply_);
  given_up_connections_ = 0;
}

Milliseconds UnresponsiveConnectionDetector::timeout() const {
  const int backoff_factor = 1 << std::min(given_up_connections_, kMaxDoublings);
  return std::min(kMaxTimeout, std::max(kMinTimeout, kTimeoutFactor * mean_reply_) * backoff_factor);
}

}  // namespace hingelink::decide
