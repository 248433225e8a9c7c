// When a connection to the store counts as silent: calls are out on it and nothing comes, for much longer
// than replies take. New calls then go over another connection; those on the silent one are waited for. It is
// dead, and its calls with it, once it has stayed silent while a newer one answers, or for kDead times as
// long: calls in hand are few, and where all of them are stuck there, no newer one could ever answer. No
// clock: times are given.
//
// A store that merely stands still looks the same as a connection that has died: each connection tried in
// vain doubles the patience with the next, so that it costs such a store a handful of connections.
#ifndef HINGELINK_DECIDE_STORE_SILENCE_H_
#define HINGELINK_DECIDE_STORE_SILENCE_H_

#include <algorithm>
#include <chrono>

namespace hingelink::decide {

class StoreSilence {
 public:
  using Span = std::chrono::duration<double, std::milli>;
  // Bounds of the patience. The least is above the pauses of a machine that others use too.
  static constexpr Span kLeast{150}, kMost{3000};
  static constexpr double kTimes = 8;    // Of the mean reply: by chance one in three thousand takes as long.
  static constexpr double kLearn = 0.1;  // Weight of a new reply: the last ten.

  enum class Verdict { kWait, kLeave, kEnd };
  static constexpr double kDead = 4;

  // `silent`: since the last byte, or the first call. `left`: new calls go elsewhere. `may_leave`: another
  // connection may be opened. `newer_answers`: one has, since this one was last heard.
  Verdict See(Span silent, bool left, bool may_leave, bool newer_answers) {
    const Span patience = left ? left_after_ : Patience();
    if (silent < patience) return Verdict::kWait;
    if (!left) {
      if (!may_leave) return Verdict::kWait;
      left_after_ = patience;
      ++in_vain_;
      return Verdict::kLeave;
    }
    return newer_answers || silent >= kDead * patience ? Verdict::kEnd : Verdict::kWait;
  }

  void Replied(Span took) {
    mean_ += (seen_++ == 0 ? 1 : kLearn) * (took - mean_);
    in_vain_ = 0;
  }
  Span Patience() const {
    return std::min(kMost, std::max(kLeast, kTimes * mean_) * (1 << std::min(in_vain_, 5)));
  }

 private:
  Span mean_{0};
  Span left_after_{kLeast};  // The patience with the connection that was left last.
  int seen_ = 0;
  int in_vain_ = 0;
};

}  // namespace hingelink::decide

#endif  // HINGELINK_DECIDE_STORE_SILENCE_H_
