// Calls to the store that all nodes share. Many calls on one connection; each has a limit of its own, kept
// here, as the store keeps none.
//
// What each end of a call tells (Outcome): kOk with the reply; kFull (BUSY) and kConnectFailed (VOID,
// refused, or never written) prove that it never ran; kTimeout (limit, LATE), kError (ERR) and kReset (broken
// off) prove nothing. Every call ends once, or is dropped by Drop(), or replaced by a second call for its
// request.
//
// States of a connection: connecting -> up -> retiring (takes no new calls, as the address moved or nothing
// is heard) -> ended. Calls made while none is up wait for the next try, whose time StoreReconnect gives; one
// that is refused ends all that wait. An idle connection is closed before the store does it, so that no call
// crosses the close.
//
// A connection on which calls are out and nothing comes is left by new calls (StoreSilence); once a newer one
// has answered while it stayed silent, it is ended, and its calls are broken off.
//
// Bounds: calls are as many as the module lets out. Unsent bytes above kUnsentMost: a new call ends at once
// as never written. Connections: the current one and kRetiringMost retiring ones.
#ifndef HINGELINK_NET_STORE_STORE_CLIENT_H_
#define HINGELINK_NET_STORE_STORE_CLIENT_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "decide/store/reconnect.h"
#include "decide/store/silence.h"
#include "hingelink/server_policy.h"
#include "net/event.h"
#include "proto/store_lines.h"

namespace hingelink::net {

class StoreClient {
 public:
  using Millis = std::chrono::duration<double, std::milli>;
  // From the loop, never from within Call() or Drop(). `reply` is good during the call only.
  using Ended = std::function<void(std::uint64_t req, hingelink::Outcome outcome, Millis elapsed,
                                   std::string_view reply)>;
  struct Counts {
    std::uint64_t calls = 0, ok = 0, busy = 0, errors = 0, late = 0, refused = 0, broken = 0, dropped = 0;
    std::uint64_t connects = 0;
  };

  StoreClient(event_base* base, const sockaddr_in& store, std::uint64_t seed, Ended ended);
  ~StoreClient();
  StoreClient(const StoreClient&) = delete;
  StoreClient& operator=(const StoreClient&) = delete;

  // A call for `req`; one that is still out for it is given up without a word.
  void Call(std::uint64_t req, Millis limit, std::string_view body);
  // Gives a call up without a word. Does nothing where none is out.
  void Drop(std::uint64_t req);
  // Another address from now on. Calls that are out stay on the connections they went over.
  void Move(const sockaddr_in& store);

  // Frees the connections that ended since the last call. Not to be called from within a callback.
  void Sweep();

  std::size_t in_hand() const { return calls_.size(); }
  bool up() const;
  const Counts& counts() const { return counts_; }

 private:
  class Connection;
  struct Out {
    Connection* on = nullptr;  // Null: waits for a connection, with its body.
    std::string body;
    Steady::time_point since{};
    Steady::time_point until{};
    Millis limit{0};
  };
  using Calls = std::unordered_map<std::uint64_t, Out>;

  void Connect();
  void Write(std::uint64_t req, Out& call);
  void End(Calls::iterator it, hingelink::Outcome outcome, std::string_view reply = {});
  void Forget(Calls::iterator it);
  void EndDue();
  void Arm();
  void Later(std::uint64_t req);
  void NoteGivenUp(std::uint64_t req, const Connection* on);
  bool SawGivenUp(std::uint64_t req, Steady::time_point now);
  void Refused(Connection& connection);
  void Lost(Connection& connection);
  void Retire();
  void SeeSilent(Connection& connection);
  void Took(Connection& connection, const proto::StoreReply& reply);

  event_base* base_;
  sockaddr_in address_;
  Ended ended_;
  std::mt19937_64 draw_;
  decide::StoreReconnect backoff_;
  decide::StoreSilence silence_;
  Steady::time_point answered_at_{};
  Calls calls_;
  std::set<std::pair<Steady::time_point, std::uint64_t>> due_;
  std::unique_ptr<Connection> current_;
  std::vector<std::unique_ptr<Connection>> retiring_, over_;
  std::vector<std::uint64_t> never_written_;  // To be ended in the loop's next round.
  std::deque<std::pair<Steady::time_point, std::uint64_t>> given_up_;  // Lately, on the current connection.
  Timer reconnect_;
  Timer limit_;
  bool waiting_ = false;  // For the next try to connect.
  bool failing_ = false;  // Said so in the log.
  Counts counts_;
};

}  // namespace hingelink::net

#endif  // HINGELINK_NET_STORE_STORE_CLIENT_H_
