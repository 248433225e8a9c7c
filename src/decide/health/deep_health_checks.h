// Deep health checks: whether work gets done, asked of the worker pool by a verify. No clock, no I/O.
//
// Promise: at most one verify is in hand, however many ask; who asks while it is out has its outcome. Each
// that asks has an answer within kTimeout of its question, 'bad' where no outcome has come by then. A verify
// that was overdue stays in hand until the pool answers it or its link was lost: a pool that hangs is not
// given a second one. Askers are bounded: beyond kMaxWaiting one is answered by the last outcome, or 'bad'
// where there was none. An asker that leaves is forgotten.
#ifndef HINGELINK_DECIDE_HEALTH_DEEP_HEALTH_CHECKS_H_
#define HINGELINK_DECIDE_HEALTH_DEEP_HEALTH_CHECKS_H_

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <utility>
#include <vector>

namespace hingelink::decide {

template <class Asker>
class DeepHealthChecks {
 public:
  using Millis = std::chrono::milliseconds;
  static constexpr Millis kTimeout{1000};  // As long as a caller of the second address waits.
  static constexpr std::size_t kMaxWaiting = 64;

  struct Actions {
    std::optional<std::uint64_t> verify;  // Have this tag verified.
    std::vector<std::pair<Asker, bool>> answers;
  };

  Actions OnCheck(const Asker& asker, Millis now) {
    Actions steps;
    if (askers_.size() >= kMaxWaiting) {
      steps.answers.emplace_back(asker, last_.value_or(false));
      return steps;
    }
    askers_.emplace_back(now + kTimeout, asker);
    if (!out_) steps.verify = out_ = ++last_tag_;
    return steps;
  }

  // The pool's answer. One to a verify that is no longer in hand says nothing.
  Actions OnVerified(std::uint64_t tag, bool good) {
    Actions steps;
    if (out_ != tag) return steps;
    out_.reset();
    last_ = good;
    for (auto& [due, asker] : std::exchange(askers_, {})) steps.answers.emplace_back(std::move(asker), good);
    return steps;
  }

  // A new link to the pool carries commands: a verify that was out may be lost with the old one. Asked again
  // under another tag where somebody waits; an answer to the old one says nothing.
  Actions OnReconnected() {
    Actions steps;
    out_.reset();
    if (!askers_.empty()) steps.verify = out_ = ++last_tag_;
    return steps;
  }

  // Where the verify could not be sent: it is not in hand, and is asked when a link is bound.
  void OnSendFailed() { out_.reset(); }

  Actions ExpireWaiting(Millis now) {
    Actions steps;
    for (; !askers_.empty() && askers_.front().first <= now; askers_.pop_front()) {
      last_ = false;
      steps.answers.emplace_back(std::move(askers_.front().second), false);
    }
    return steps;
  }
  std::optional<Millis> next_deadline() const {
    return askers_.empty() ? std::nullopt : std::optional(askers_.front().first);
  }

  void OnCallerDisconnected(const Asker& asker) {
    std::erase_if(askers_, [&asker](const auto& a) { return a.second == asker; });
  }

  bool in_flight() const { return out_.has_value(); }
  std::size_t waiting() const { return askers_.size(); }

 private:
  std::deque<std::pair<Millis, Asker>> askers_;  // By when they are answered; oldest first.
  std::optional<std::uint64_t> out_;
  std::uint64_t last_tag_ = 0;
  std::optional<bool> last_;
};

}  // namespace hingelink::decide

#endif  // HINGELINK_DECIDE_HEALTH_DEEP_HEALTH_CHECKS_H_
