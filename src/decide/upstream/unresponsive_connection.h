// When a connection to the store counts as silent: calls are out on it and nothing comes, for much longer
// than replies take. New calls then go over another connection; those on the silent one are waited for. It is
// dead, and its calls with it, once it has also been overtaken by many calls on others, or has stayed silent
// for kDeadTimeoutFactor times as long: calls in hand are few, and where all of them are stuck on dead ones,
// no other could ever overtake. No clock: times are given.
//
// Time alone would not do: a store that grows ten times slower from one moment to the next looks dead by the
// mean that was, and a call that is broken off may not be made again where it has an effect. But then nobody
// overtakes. A store that stands still looks like connections that have died: each one left in vain doubles
// the patience with the next, so that it costs such a store a handful of connections.
#ifndef HINGELINK_DECIDE_UPSTREAM_UNRESPONSIVE_CONNECTION_H_
#define HINGELINK_DECIDE_UPSTREAM_UNRESPONSIVE_CONNECTION_H_

#include <algorithm>
#include <chrono>
#include <cstdint>

namespace hingelink::decide {

class UnresponsiveConnectionDetector {
 public:
  using Span = std::chrono::duration<double, std::milli>;
  // Bounds of the patience. The least is above the pauses of a machine that others use too.
  static constexpr Span kMinTimeout{150}, kMaxTimeout{3000}, kMaxDeadTimeout{5000};
  static constexpr double kTimeoutFactor =
      8;  // Of the mean reply: by chance one in three thousand takes as long.
  // Calls that overtake one by chance: those in hand beside it, and few more.
  static constexpr std::uint64_t kMinOvertakingReplies = 20;
  static constexpr double kLearn = 0.1;  // Weight of a new reply: the last ten.

  enum class Verdict { kWait, kStopUsing, kClose };
  static constexpr double kDeadTimeoutFactor = 10;

  // `silent`: since the last byte, or the first call. `left_after`: the patience behind which new calls went
  // elsewhere, or 0 where they don't. `may_leave`: another connection may be opened. `overtaken`: replies
  // that came on others since this one was last heard, but for those that turned a call away.
  Verdict Evaluate(Span silent, Span left_after, bool may_leave, std::uint64_t overtaken) {
    if (left_after > Span(0)) {
      const bool dead = overtaken >= kMinOvertakingReplies ||
                        silent >= std::min(kMaxDeadTimeout, kDeadTimeoutFactor * left_after);
      return dead && silent >= left_after ? Verdict::kClose : Verdict::kWait;
    }
    if (silent < timeout() || !may_leave) return Verdict::kWait;
    ++in_vain_;
    return Verdict::kStopUsing;
  }

  void OnReply(Span took) {
    mean_ += (seen_++ == 0 ? 1 : kLearn) * (took - mean_);
    in_vain_ = 0;
  }
  Span timeout() const {
    return std::min(kMaxTimeout,
                    std::max(kMinTimeout, kTimeoutFactor * mean_) * (1 << std::min(in_vain_, 5)));
  }

 private:
  Span mean_{0};
  int seen_ = 0;
  int in_vain_ = 0;
};

}  // namespace hingelink::decide

#endif  // HINGELINK_DECIDE_UPSTREAM_UNRESPONSIVE_CONNECTION_H_
