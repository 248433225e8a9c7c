// One connection to the store: lines out, replies in, and how long it has been silent or idle. Which calls go
// over it, and what their ends mean, is its owner's.
//
// States: connecting -> up -> retiring (takes no new calls) -> stopped. An idle connection tells so before
// the store would close it, so that no call crosses the close.
#ifndef HINGELINK_NET_STORE_STORE_CONNECTION_H_
#define HINGELINK_NET_STORE_STORE_CONNECTION_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <string_view>
#include <utility>

#include "net/event.h"
#include "proto/store_lines.h"

namespace hingelink::net {

class StoreConnection {
 public:
  using Millis = std::chrono::duration<double, std::milli>;
  // From the loop, never from within the calls below. After `refused` and `lost` the owner stops it.
  struct Events {
    std::function<void(StoreConnection&)> refused;  // Never connected: what was written never ran.
    std::function<void(StoreConnection&)> lost;     // Broken, closed, unreadable, or idle for long.
    std::function<void(StoreConnection&, const proto::StoreReply&)> reply;
    std::function<void(StoreConnection&)> look;  // Whether it counts as silent; see ListenOn().
  };

  // `replies` counts those on all connections of the owner.
  StoreConnection(event_base* base, const sockaddr_in& address, const Events& events,
                  const std::uint64_t& replies);
  StoreConnection(const StoreConnection&) = delete;
  StoreConnection& operator=(const StoreConnection&) = delete;

  // `left`: what is left of the call's wait.
  void Write(std::uint64_t req, Millis left, std::string_view body);
  // One of its calls is over. `given_up`: the store still has it.
  void Over(std::uint64_t req, bool given_up);
  // Whether a call of this request was given up on it lately. Guards against the reply to that one, on its
  // way by then, which would be taken for the reply to the request's next call.
  bool GaveUp(std::uint64_t req);
  // No more callbacks; at the store, what is still out on it is given up.
  void Stop();
  // Takes no new calls, as it was silent for `patience`, or for another reason (0).
  void Retire(Millis patience);
  // Calls `look` once it has been silent for so long, at once where it has.
  void ListenFor(Millis silent);

  bool good() const { return good_; }
  bool connected() const { return connected_; }
  bool retiring() const { return retiring_; }
  Millis left_after() const { return left_after_; }
  std::size_t calls() const { return calls_; }
  std::size_t unsent() const { return UnsentBytes(bev_.get()); }
  Steady::time_point heard() const { return heard_; }
  // Replies that came on others since this one was last heard.
  std::uint64_t overtaken() const { return replies_ - replies_then_; }

 private:
  void Heard();
  void RestIfIdle();
  void Read();
  void Event(short what);

  const Events& events_;
  const std::uint64_t& replies_;
  std::uint64_t replies_then_ = 0;
  BufferPtr bev_;
  Timer idle_;
  Timer silence_;
  bool listening_ = false;
  std::size_t calls_ = 0;
  bool good_ = false;
  bool connected_ = false;
  bool retiring_ = false;
  Millis left_after_{0};
  Steady::time_point heard_ = Steady::now();
  std::deque<std::pair<Steady::time_point, std::uint64_t>> given_up_;  // Lately.
};

}  // namespace hingelink::net

#endif  // HINGELINK_NET_STORE_STORE_CONNECTION_H_
