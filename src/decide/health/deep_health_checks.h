// Deep health checks: whether the worker pool executes work, verified by a command to the pool.
//
// At most one verification is in flight. Callers that arrive while it is in flight wait for the same outcome.
// Each caller is answered within kTimeout; if there is no outcome by then, the answer is unhealthy. A
// verification that exceeds the timeout stays in flight until the pool answers it or the connection to the
// pool is replaced, so that a pool that hangs does not receive a second one. The number of waiting callers is
// bounded.
#ifndef HINGELINK_DECIDE_HEALTH_DEEP_HEALTH_CHECKS_H_
#define HINGELINK_DECIDE_HEALTH_DEEP_HEALTH_CHECKS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <utility>
#include <vector>

namespace hingelink::decide {

// `Caller` identifies the connection of a caller and is equality-comparable. Times are on the monotonic clock
// of the owner of this object, which also executes the returned actions. Not thread-safe.
template <class Caller>
class DeepHealthChecks {
 public:
  using Millis = std::chrono::milliseconds;
  // Callers of the health endpoint, such as gateways, do not wait longer.
  static constexpr Millis kTimeout{1000};
  // Maximum number of waiting callers. Further callers are answered at once with the last outcome, or as
  // unhealthy if there was none.
  static constexpr std::size_t kMaxWaiting = 64;

  struct Answer {
    Caller caller;
    bool healthy = false;
    bool operator==(const Answer&) const = default;
  };
  // To be executed by the owner.
  struct Actions {
    std::optional<std::uint64_t> verify;  // Send a verification with this tag to the pool.
    std::vector<Answer> answers;
  };

  // To be called when a caller requests a check.
  [[nodiscard]] Actions OnCheck(const Caller& caller, Millis now) {
    Actions actions;
    if (waiting_.size() >= kMaxWaiting) {
      actions.answers.push_back({caller, last_outcome_.value_or(false)});
      return actions;
    }
    waiting_.push_back({now + kTimeout, caller});
    if (!in_flight_tag_) actions.verify = NextVerification();
    return actions;
  }

  // To be called when the pool has answered the verification with this tag. Ignored if that verification is
  // not in flight.
  [[nodiscard]] Actions OnVerified(std::uint64_t tag, bool healthy) {
    Actions actions;
    if (in_flight_tag_ != tag) return actions;
    in_flight_tag_.reset();
    last_outcome_ = healthy;
    for (Waiting& waiting : std::exchange(waiting_, {})) {
      actions.answers.push_back({std::move(waiting.caller), healthy});
    }
    return actions;
  }

  // To be called when the connection to the pool was replaced. The verification in flight may be lost with
  // the old connection, so it is repeated under a new tag if a caller waits.
  [[nodiscard]] Actions OnReconnected() {
    Actions actions;
    in_flight_tag_.reset();
    if (!waiting_.empty()) actions.verify = NextVerification();
    return actions;
  }

  // To be called when the verification of Actions::verify could not be sent. OnReconnected() repeats it.
  void OnSendFailed() { in_flight_tag_.reset(); }

  // Answers the callers whose deadline has passed as unhealthy. To be called at next_deadline().
  [[nodiscard]] Actions ExpireWaiting(Millis now) {
    Actions actions;
    for (; !waiting_.empty() && waiting_.front().deadline <= now; waiting_.pop_front()) {
      last_outcome_ = false;
      actions.answers.push_back({std::move(waiting_.front().caller), false});
    }
    return actions;
  }
  // The earliest deadline of a waiting caller, or nothing while no caller waits.
  [[nodiscard]] std::optional<Millis> next_deadline() const {
    return waiting_.empty() ? std::nullopt : std::optional(waiting_.front().deadline);
  }

  // To be called when a caller has disconnected. The caller gets no answer.
  void OnCallerDisconnected(const Caller& caller) {
    std::erase_if(waiting_, [&caller](const Waiting& waiting) { return waiting.caller == caller; });
  }

  // Whether a verification is in flight.
  [[nodiscard]] bool in_flight() const { return in_flight_tag_.has_value(); }
  // Number of callers that wait for an answer.
  [[nodiscard]] std::size_t waiting() const { return waiting_.size(); }

 private:
  struct Waiting {
    Millis deadline;
    Caller caller;
  };

  std::uint64_t NextVerification() {
    in_flight_tag_ = ++last_tag_;
    return last_tag_;
  }

  std::deque<Waiting> waiting_;  // Oldest first.
  std::optional<std::uint64_t> in_flight_tag_;
  std::uint64_t last_tag_ = 0;
  std::optional<bool> last_outcome_;
};

}  // namespace hingelink::decide

#endif  // HINGELINK_DECIDE_HEALTH_DEEP_HEALTH_CHECKS_H_
