// A connection to the store. It writes calls, reads replies, and measures how long nothing was received and
// how long it was idle. Its owner chooses the calls of the connection and handles their ends.
//
// States: connecting -> connected -> retiring (takes no new calls) -> stopped. An idle connection reports
// itself as lost before the store would close it, so that no call is sent while the store closes the
// connection.
//
// Until the connection is established, it keeps its calls whole and sends nothing. So the store is told the
// time that then remains, and the owner can take the calls back and send them on another connection.
#ifndef HINGELINK_NET_STORE_STORE_CONNECTION_H_
#define HINGELINK_NET_STORE_STORE_CONNECTION_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "net/event.h"
#include "proto/store_lines.h"

namespace hingelink::net {

// Not thread-safe: used on the thread of the event loop only.
class StoreConnection {
 public:
  using Millis = std::chrono::duration<double, std::milli>;
  // Called from the event loop, never from within a method of the connection. After `connect_failed` and
  // `lost`, the owner calls Stop().
  struct Events {
    // The connection was never established: its calls did not run.
    std::function<void(StoreConnection&)> connect_failed;
    // The connection is broken, was closed by the store, received a malformed reply, or was idle for too
    // long.
    std::function<void(StoreConnection&)> lost;
    std::function<void(StoreConnection&, const proto::StoreReply&)> reply;
    // The time of StartSilenceTimer() has passed. The owner checks whether the connection is unresponsive.
    std::function<void(StoreConnection&)> silent;
  };

  // `replies`: counter of the replies on all connections of the owner. `events` and `replies` must outlive
  // the connection.
  StoreConnection(event_base* base, const sockaddr_in& address, const Events& events,
                  const std::uint64_t& replies);
  StoreConnection(const StoreConnection&) = delete;
  StoreConnection& operator=(const StoreConnection&) = delete;

  // A call that was not written, because the connection is not established.
  struct UnwrittenCall {
    std::uint64_t req = 0;
    Steady::time_point deadline{};
    std::string body;
  };

  // Writes a call, or keeps it until the connection is established. `deadline`: when the call times out.
  void Write(std::uint64_t req, Steady::time_point deadline, std::string body);
  // Returns the calls that were not written. They are no longer calls of this connection.
  std::vector<UnwrittenCall> TakeUnwrittenCalls();
  // Whether the call may have reached the store. False only if it is a call that waits for the connection.
  bool HasWritten(std::uint64_t req) const;
  // A call of this connection is over. `abandoned`: the store has not replied yet, and is sent a DROP if the
  // call was written.
  void EndCall(std::uint64_t req, bool abandoned);
  // Whether a call of this request was recently abandoned on this connection. A new call of the request must
  // use another connection: a late reply to the abandoned call would be taken for the reply to the new call.
  bool AbandonedRecently(std::uint64_t req);
  // Closes the connection, which makes the store drop its calls. No events are called from now on.
  void Stop();
  // The owner sends no new calls on this connection, which is lost once it has no calls. `timeout`: the time
  // without a received byte after which it is retired; 0 if it is retired for another reason.
  void Retire(Millis timeout);
  // Calls Events::silent when nothing was received for `duration`, or almost at once if that time has already
  // passed. Does nothing if the timer is running.
  void StartSilenceTimer(Millis duration);

  // Whether the connection has neither failed to start nor been stopped.
  bool usable() const { return usable_; }
  bool connected() const { return connected_; }
  bool retiring() const { return retiring_; }
  // The timeout that was passed to Retire(), or 0.
  Millis retired_after() const { return retired_after_; }
  // Calls in flight.
  std::size_t calls() const { return calls_; }
  // Unsent bytes, including the bodies of unwritten calls.
  std::size_t unsent() const { return UnsentBytes(bev_.get()) + unwritten_bytes_; }
  // When the last byte was received, or the first call was written to the idle connection.
  Steady::time_point last_received() const { return last_received_; }
  // Replies on other connections since the last byte was received on this one.
  std::uint64_t overtaking_replies() const { return replies_ - replies_at_last_receive_; }

 private:
  using UnwrittenCalls = std::vector<UnwrittenCall>;

  void SendCall(std::uint64_t req, Steady::time_point deadline, std::string_view body);
  // Removes a call that was not written. False if there is none.
  bool EraseUnwritten(std::uint64_t req);
  void RecordReceive();
  void StartIdleTimerIfIdle();
  void Read();
  void OnEvent(short events);

  const Events& events_;
  const std::uint64_t& replies_;
  std::uint64_t replies_at_last_receive_ = 0;
  BufferPtr bev_;
  Timer idle_timer_;
  Timer silence_timer_;
  bool silence_timer_running_ = false;
  std::size_t calls_ = 0;
  UnwrittenCalls unwritten_calls_;  // In the order of Write(); empty once the connection is established.
  std::size_t unwritten_bytes_ = 0;
  bool usable_ = false;
  bool connected_ = false;
  bool retiring_ = false;
  Millis retired_after_{0};
  Steady::time_point last_received_ = Steady::now();
  std::deque<std::pair<Steady::time_point, std::uint64_t>>
      abandoned_calls_;  // Recent ones, with request ids.
};

}  // namespace hingelink::net

#endif  // HINGELINK_NET_STORE_STORE_CONNECTION_H_
