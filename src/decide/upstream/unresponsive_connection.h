// Decides when a connection to the upstream counts as unresponsive: calls are in flight on it, and nothing
// was received for much longer than replies take.
//
// New calls then use another connection; the calls in flight on the unresponsive one are still awaited. It is
// closed, and its calls fail, only if in addition many later calls were answered on other connections, or if
// it stayed silent for a multiple of the timeout. Time alone is no proof: an upstream that suddenly becomes
// ten times slower appears unresponsive, and a call with an effect must not be repeated once it was
// abandoned.
//
// Each connection that is given up without a reply in between doubles the timeout, so that an upstream that
// has stopped costs only a handful of connections.
#ifndef HINGELINK_DECIDE_UPSTREAM_UNRESPONSIVE_CONNECTION_H_
#define HINGELINK_DECIDE_UPSTREAM_UNRESPONSIVE_CONNECTION_H_

#include <chrono>
#include <cstdint>

namespace hingelink::decide {

// One for all connections to an upstream. Not thread-safe.
class UnresponsiveConnectionDetector {
 public:
  using Span = std::chrono::duration<double, std::milli>;

  // Above the pauses of a machine that is shared with other processes.
  static constexpr Span kMinTimeout{150};
  static constexpr Span kMaxTimeout{3000};
  // A connection that is silent for this long is closed.
  static constexpr Span kMaxDeadTimeout{5000};
  // Timeout as a multiple of the mean reply time. If reply times are exponential, one reply in three thousand
  // takes longer.
  static constexpr double kTimeoutFactor = 8;
  // A connection is closed after this multiple of the timeout.
  static constexpr double kDeadTimeoutFactor = 10;
  // More replies on other connections than calls in flight beside it can explain.
  static constexpr std::uint64_t kMinOvertakingReplies = 20;

  enum class Verdict {
    kWait,
    kStopUsing,  // New calls go to another connection.
    kClose,
  };

  // `unresponsive_for`: time since the last byte was received, or since the first call. `stopped_after`: the
  // timeout after which new calls stopped to use the connection; 0: they still use it. `may_open`: whether
  // another connection may be opened. `overtaking`: replies on other connections since this one was last
  // heard, rejections excluded.
  [[nodiscard]] Verdict Evaluate(Span unresponsive_for, Span stopped_after, bool may_open,
                                 std::uint64_t overtaking);

  // A reply was received `elapsed` after its call.
  void OnReply(Span elapsed);
  // The silence after which new calls stop to use a connection.
  [[nodiscard]] Span timeout() const;

 private:
  Span mean_reply_{0};
  bool has_reply_ = false;
  int given_up_ = 0;  // Connections since the last reply.
};

}  // namespace hingelink::decide

#endif  // HINGELINK_DECIDE_UPSTREAM_UNRESPONSIVE_CONNECTION_H_
