// The client of the store that all nodes share. It sends upstream calls over a few connections. The store has
// no timeout for calls, so the client keeps one for each call.
//
// Each call ends exactly once, unless it is abandoned by Abandon() or replaced by a new call of its request.
// The outcome shows whether the call may have run:
// - kOk: the call has run, and the reply is passed on.
// - kFull (reply BUSY), kConnectFailed (reply VOID, connection refused, or call never written): it did not
// run.
// - kTimeout (timeout of the client after the call was written, or reply LATE), kError (reply ERR), kReset
// (connection lost): it may have run.
//
// decide::SelectConnection chooses the connection of a call. decide::UnresponsiveConnectionDetector decides
// when an unresponsive connection is no longer used, and when its calls fail. decide::ReconnectBackoff delays
// the reconnects to a failed store. During the delay, calls wait for a connection; if the next attempt is
// refused, all waiting calls end.
//
// Limits: the decision module limits the number of calls. If a connection has more than kMaxUnsentBytes
// unsent bytes, counting the calls that wait until it is established, a new call ends as never written. At
// most decide::kMaxUpstreamConnections connections take new calls, and at most kMaxRetiringConnections are
// retiring.
#ifndef HINGELINK_NET_STORE_STORE_CLIENT_H_
#define HINGELINK_NET_STORE_STORE_CLIENT_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "decide/upstream/connection_selection.h"
#include "decide/upstream/reconnect_backoff.h"
#include "decide/upstream/unresponsive_connection.h"
#include "hingelink/server_policy.h"
#include "net/event.h"
#include "net/store/store_connection.h"

namespace hingelink::net {

// Not thread-safe: used on the thread of the event loop only.
class StoreClient {
 public:
  using Millis = std::chrono::duration<double, std::milli>;
  // Called from the event loop, never from within Call() or Abandon(). `elapsed`: time since Call(). `reply`
  // is valid during the call only.
  using FinishedCallback = std::function<void(std::uint64_t req, hingelink::Outcome outcome, Millis elapsed,
                                              std::string_view reply)>;
  struct Counts {
    // `refused`: calls that did not run for another reason than `busy`. `broken`: calls on lost connections.
    // `dropped`: abandoned calls.
    std::uint64_t calls = 0, ok = 0, busy = 0, errors = 0, late = 0, refused = 0, broken = 0, dropped = 0;
    // `connects`: attempts to connect. `unresponsive`: connections that were retired as unresponsive.
    std::uint64_t connects = 0, unresponsive = 0;
  };
  static constexpr std::size_t kMaxRetiringConnections = decide::kMaxUpstreamConnections;

  // `seed`: for the random numbers of the reconnect backoff.
  StoreClient(event_base* base, const sockaddr_in& store, std::uint64_t seed, FinishedCallback finished);
  ~StoreClient();
  StoreClient(const StoreClient&) = delete;
  StoreClient& operator=(const StoreClient&) = delete;

  // Starts a call of the request `req`. A call of this request that is in flight is abandoned.
  void Call(std::uint64_t req, Millis timeout, std::string_view body);
  // Abandons the call of the request without calling FinishedCallback. Does nothing if none is in flight.
  void Abandon(std::uint64_t req);
  // New calls go to this address. Calls in flight stay on their connections.
  void ChangeAddress(const sockaddr_in& store);

  // Frees the connections that ended since the last call. Must not be called from a callback.
  void FreeEndedConnections();

  // Calls in flight, including those that wait for a connection.
  std::size_t in_flight() const { return calls_.size(); }
  bool connected() const;
  // Connections that take new calls.
  std::size_t open_connections() const { return open_connections_.size(); }
  const Counts& counts() const { return counts_; }

 private:
  using ConnectionPtr = std::unique_ptr<StoreConnection>;
  struct PendingCall {
    StoreConnection* connection = nullptr;  // Null while the call waits for a connection.
    std::string body;                       // Empty while the call has a connection, which has the body.
    Steady::time_point started{};
    Steady::time_point deadline{};
  };
  using Calls = std::unordered_map<std::uint64_t, PendingCall>;

  // Passes the call to a connection, or leaves it waiting if there is none.
  void Write(std::uint64_t req, PendingCall& call);
  void WriteWaitingCalls();
  // Returns the connection for a call, and opens one if needed. Null while the client waits to reconnect, and
  // if the attempt to connect fails at once.
  StoreConnection* ConnectionFor(std::uint64_t req);
  void FinishCall(Calls::iterator it, hingelink::Outcome outcome, std::string_view reply = {});
  void EraseCall(Calls::iterator it);
  // Ends the calls whose timeout has expired, and the calls in unwritten_calls_.
  void FinishDueCalls();
  // Sets the timer to the next call of FinishDueCalls().
  void ScheduleDeadline();
  // Ends a call as never written from the event loop, because Call() must not call FinishedCallback.
  void FinishUnwrittenLater(std::uint64_t req);
  void ScheduleReconnect();
  // Stops and removes a connection. Returns whether it took new calls, and the request ids of its calls.
  std::pair<bool, std::vector<std::uint64_t>> RemoveConnection(StoreConnection& connection);
  void OnConnectFailed(StoreConnection& connection);
  void OnConnectionLost(StoreConnection& connection);
  // The connection takes no new calls from now on. `timeout`: the time without a received byte after which
  // it is retired; 0 if it is retired for another reason. A connection that is not established is removed,
  // and its calls wait for another one.
  void Retire(StoreConnection& connection, Millis timeout);
  void OnSilenceTimeout(StoreConnection& connection);
  void OnReply(StoreConnection& connection, const proto::StoreReply& reply);

  event_base* base_;
  sockaddr_in address_;
  FinishedCallback finished_;
  std::mt19937_64 random_;
  decide::ReconnectBackoff backoff_;
  decide::UnresponsiveConnectionDetector unresponsive_detector_;
  // Replies on all connections. Rejections are not counted, because the store sends them at once.
  std::uint64_t replies_ = 0;
  Calls calls_;                                                       // By request id.
  std::set<std::pair<Steady::time_point, std::uint64_t>> deadlines_;  // With request ids.
  StoreConnection::Events events_;
  std::vector<ConnectionPtr> open_connections_, retiring_, ended_connections_;
  std::vector<std::uint64_t> unwritten_calls_;  // To be ended by FinishDueCalls().
  Timer reconnect_timer_;
  Timer deadline_timer_;
  bool reconnect_pending_ = false;  // New connections wait for reconnect_timer_.
  bool failure_logged_ = false;     // Until the next reply, further failures are not logged.
  Counts counts_;
};

}  // namespace hingelink::net

#endif  // HINGELINK_NET_STORE_STORE_CLIENT_H_
