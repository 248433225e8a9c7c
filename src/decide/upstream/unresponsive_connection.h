// Decides whether a connection to the upstream is unresponsive: calls are in flight on it, and nothing was
// received for much longer than replies usually take.
//
// New calls then use another connection, and the calls in flight on the unresponsive connection continue to
// wait for their replies. The connection is closed, and its calls fail, only if in addition many replies
// arrived on other connections, or if nothing was received for a multiple of the timeout. Exceeding the
// timeout does not prove that the connection is broken: an upstream that suddenly becomes ten times slower
// appears unresponsive, and an abandoned call that has an effect must not be repeated.
//
// Each connection that is given up doubles the timeout until the next reply, so that only a few connections
// are opened to an upstream that has stopped.
#ifndef HINGELINK_DECIDE_UPSTREAM_UNRESPONSIVE_CONNECTION_H_
#define HINGELINK_DECIDE_UPSTREAM_UNRESPONSIVE_CONNECTION_H_

#include <cstdint>

#include "decide/milliseconds.h"

namespace hingelink::decide {

// One detector serves all connections to an upstream. Not thread-safe.
class UnresponsiveConnectionDetector {
 public:
  // Longer than the scheduling pauses on a machine that is shared with other processes.
  static constexpr Milliseconds kMinTimeout{150};
  static constexpr Milliseconds kMaxTimeout{3000};
  // A connection that new calls no longer use is closed after this time without a received byte at the
  // latest.
  static constexpr Milliseconds kMaxDeadTimeout{5000};
  // The timeout as a multiple of the mean reply time. If reply times are exponentially distributed, one reply
  // in three thousand takes longer.
  static constexpr double kTimeoutFactor = 8;
  // A connection is closed after this multiple of the timeout after which new calls stopped using it.
  static constexpr double kDeadTimeoutFactor = 10;
  // Number of replies on other connections that proves a connection broken. It exceeds the number of calls in
  // flight on other connections, so that some of the replies must belong to later calls.
  static constexpr std::uint64_t kMinOvertakingReplies = 20;

  enum class Verdict {
    kWait,       // No change.
    kStopUsing,  // New calls use another connection from now on.
    kClose,      // The connection is broken: its calls fail.
  };

  // Returns what to do with a connection that has calls in flight. `unresponsive_for`: time since the last
  // byte was received, or since the first call. `stopped_after`: 0 while new calls may use the connection;
  // after kStopUsing, the value that timeout() had then. `may_open`: whether another connection may be
  // opened. `overtaking_replies`: number of replies on other connections since the last byte was received on
  // this connection. Replies that reject a call are not counted.
  [[nodiscard]] Verdict Evaluate(Milliseconds unresponsive_for, Milliseconds stopped_after, bool may_open,
                                 std::uint64_t overtaking_replies);

  // To be called when a reply was received `elapsed` after its call.
  void OnReply(Milliseconds elapsed);
  // The time without a received byte after which new calls stop using a connection.
  [[nodiscard]] Milliseconds timeout() const;

 private:
  Milliseconds mean_reply_{0};
  bool has_reply_ = false;
  int given_up_connections_ = 0;  // Since the last reply.
};

}  // namespace hingelink::decide

#endif  // HINGELINK_DECIDE_UPSTREAM_UNRESPONSIVE_CONNECTION_H_
