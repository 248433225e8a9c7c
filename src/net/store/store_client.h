// Calls to the store that all nodes share, over a few connections. Each call has a limit of its own, kept
// here, as the store keeps none.
//
// What each end of a call tells (Outcome): kOk with the reply; kFull (BUSY) and kConnectFailed (VOID,
// refused, or never written) prove that it never ran; kTimeout (limit, LATE), kError (ERR) and kReset (broken
// off) prove nothing. Every call ends once, or is dropped by Abandon(), or replaced by a second call for its
// request.
//
// Which connection a call goes over is decide::SelectConnection's; when a silent one is left, and when its
// calls are broken off, decide::UnresponsiveConnectionDetector's; when to try again at a store that fails,
// ReconnectBackoff's: until then calls wait, and a try that is refused ends all that wait.
//
// Bounds: calls are as many as the module lets out. Unsent bytes of a connection above kUnsentMost: a new
// call ends at once as never written. Connections: decide::kMaxUpstreamConnections, and
// kMaxRetiringConnections retiring ones.
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

class StoreClient {
 public:
  using Millis = std::chrono::duration<double, std::milli>;
  // From the loop, never from within Call() or Abandon(). `reply` is good during the call only.
  using Ended = std::function<void(std::uint64_t req, hingelink::Outcome outcome, Millis elapsed,
                                   std::string_view reply)>;
  struct Counts {
    std::uint64_t calls = 0, ok = 0, busy = 0, errors = 0, late = 0, refused = 0, broken = 0, dropped = 0;
    std::uint64_t connects = 0, silent = 0;  // The latter: connections that were left as silent.
  };
  static constexpr std::size_t kMaxRetiringConnections = decide::kMaxUpstreamConnections;

  StoreClient(event_base* base, const sockaddr_in& store, std::uint64_t seed, Ended ended);
  ~StoreClient();
  StoreClient(const StoreClient&) = delete;
  StoreClient& operator=(const StoreClient&) = delete;

  // A call for `req`; one that is still out for it is given up without a word.
  void Call(std::uint64_t req, Millis limit, std::string_view body);
  // Gives a call up without a word. Does nothing where none is out.
  void Abandon(std::uint64_t req);
  // Another address from now on. Calls that are out stay on the connections they went over.
  void ChangeAddress(const sockaddr_in& store);

  // Frees the connections that ended since the last call. Not to be called from within a callback.
  void FreeEndedConnections();

  std::size_t in_flight() const { return calls_.size(); }
  bool up() const;
  // Connections that take new calls.
  std::size_t open() const { return open_.size(); }
  const Counts& counts() const { return counts_; }

 private:
  using ConnectionPtr = std::unique_ptr<StoreConnection>;
  struct Out {
    StoreConnection* on = nullptr;  // Null: waits for a connection, with its body.
    std::string body;
    Steady::time_point since{};
    Steady::time_point until{};
  };
  using Calls = std::unordered_map<std::uint64_t, Out>;

  // Writes a call over a connection, or leaves it waiting for one.
  void Place(std::uint64_t req, Out& call);
  void PlaceWaiting();
  StoreConnection* ConnectionFor(std::uint64_t req);
  void End(Calls::iterator it, hingelink::Outcome outcome, std::string_view reply = {});
  void Forget(Calls::iterator it);
  void EndDue();
  void Arm();
  // Ends a call in the loop's next round, never from within Call(), as never written.
  void EndLater(std::uint64_t req);
  void Failed();
  // Takes a connection out, stopped. Gives whether it took new calls, and the calls that were on it.
  std::pair<bool, std::vector<std::uint64_t>> TakeOut(StoreConnection& connection);
  void Refused(StoreConnection& connection);
  void Lost(StoreConnection& connection);
  // It takes no new calls; `patience`: where it was silent for so long.
  void Retire(StoreConnection& connection, Millis patience);
  void Look(StoreConnection& connection);
  void Took(StoreConnection& connection, const proto::StoreReply& reply);

  event_base* base_;
  sockaddr_in address_;
  Ended ended_;
  std::mt19937_64 draw_;
  decide::ReconnectBackoff backoff_;
  decide::UnresponsiveConnectionDetector silence_;
  std::uint64_t replies_ = 0;  // But for those that turned a call away, which come at once.
  Calls calls_;
  std::set<std::pair<Steady::time_point, std::uint64_t>> due_;
  StoreConnection::Events events_;
  std::vector<ConnectionPtr> open_, retiring_, over_;
  std::vector<std::uint64_t> never_written_;  // To be ended in the loop's next round.
  Timer reconnect_;
  Timer limit_;
  bool waiting_ = false;  // For the next try to connect.
  bool failing_ = false;  // Said so in the log.
  Counts counts_;
};

}  // namespace hingelink::net

#endif  // HINGELINK_NET_STORE_STORE_CLIENT_H_
