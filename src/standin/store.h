// A stand-in of the store that all nodes share: its side of the protocol page. It has slots; it slows down in
// a crowd, and dies of one that lasts. Its account rests on what it read and wrote alone.
#ifndef HINGELINK_STANDIN_STORE_H_
#define HINGELINK_STANDIN_STORE_H_

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "net/event.h"
#include "standin/core_model.h"

namespace hingelink::standin {

// What a call with this body is answered with. Can be told from any other call's.
std::string ReplyOf(std::string_view call_body);
// A call's body says whether it may run twice; see PoolOptions.
inline constexpr std::string_view kOnceOnly = "once ";

struct StoreOptions {
  std::string listen = "127.0.0.1:0";
  Cores slots{.count = 8, .crowd_at = 2, .crowd_share = 0.5};  // Slots, as cores that calls share.
  Millis work{10};                                             // Of a call, alone.
  double busy_above = 1e9;   // Calls in hand above which more are turned away.
  double falls_above = 1e9;  // Mean calls in hand, over `falls_over`, of which it dies.
  Millis falls_over{5000};
  Millis down{3000};   // How long it is away once it has died.
  Millis linger{200};  // A call given up stays in hand this long at most.
  double errors = 0;   // Share of calls that end with ERR, having run.
  // Whether a call that reaches its caller's time limit is answered with LATE, or worked on until it is
  // dropped.
  bool answers_late = true;
  std::uint64_t seed = 1;
};

struct StoreCounts {
  std::uint64_t connections = 0, calls = 0, begun = 0, ok = 0, busy = 0, errors = 0, late = 0, dropped = 0;
  std::uint64_t bad_lines = 0;
  std::uint64_t twice = 0;  // Calls that may run once, begun again.
  std::uint64_t deaths = 0;
  std::uint64_t most_in_hand = 0;
  std::uint64_t most_accepts_100ms = 0;  // Connections taken within 100 ms.
  double most_mean = 0;                  // Of calls in hand over `falls_over`.
};

class Store {
 public:
  // Listens at once. Throws where it cannot.
  Store(event_base* base, const StoreOptions& options);
  ~Store();

  const std::string& address() const { return address_; }
  const StoreCounts& counts() const { return counts_; }
  std::size_t in_hand() const { return calls_.size(); }

  // ---- Faults, from now on ----
  // Breaks all connections and refuses new ones; or takes them again, with nothing in hand.
  void SetDown(bool down);
  // Work stands still, and nothing is told, though all is read; or goes on.
  void SetStill(bool still);
  // The connections that stand, at most so many, are read and never answered any more; new ones are.
  void Silence(std::size_t most = SIZE_MAX);
  // What calls take that come from now on.
  void SetWork(Millis work) { options_.work = work; }
  void Break();

 private:
  class Connection;
  struct Call {
    std::uint64_t connection = 0;  // 0 where its end is told to nobody.
    std::uint64_t req = 0;
    std::string body;
    Millis until{0};
  };

  void Listen();
  void Accept(evutil_socket_t fd);
  void Take(Connection& connection, std::uint64_t req, Millis wait, std::string_view body);
  void Drop(std::uint64_t connection, std::uint64_t req);
  void GiveUp(std::uint64_t call);
  void Tell(const Call& call, std::string_view word, std::string_view reply, bool has_reply);
  void Look();
  Millis Now() const { return net::Steady::now() - began_; }

  event_base* base_;
  StoreOptions options_;
  net::Steady::time_point began_ = net::Steady::now();
  std::mt19937_64 draw_;
  net::ListenerPtr listener_;
  std::string address_;
  std::map<std::uint64_t, std::unique_ptr<Connection>> connections_;
  std::vector<std::unique_ptr<Connection>> ended_;
  CoreModel slots_;
  std::map<std::uint64_t, Call> calls_;
  std::multimap<Millis, std::uint64_t> lingering_;  // Calls given up, by when they are gone at the latest.
  std::unordered_map<std::string, int> once_;       // Bodies of calls that may run once, begun so often.
  std::uint64_t last_call_ = 0, last_connection_ = 0;
  std::vector<Millis> accepts_;
  double mean_ = 0;
  Millis mean_at_{0};
  bool still_ = false;
  net::Timer look_;
  net::Timer up_;
  StoreCounts counts_;
};

}  // namespace hingelink::standin

#endif  // HINGELINK_STANDIN_STORE_H_
