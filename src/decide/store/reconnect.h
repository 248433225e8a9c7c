// When a client of a store that many nodes share tries to connect again. No clock: times are given.
//
// Promise: behind the n-th failure in a row the next try lies between kLeast and min(kLeast * 2^n, kMost)
// away, evenly spread (full jitter), so that a store that comes back is not met by all nodes at once. A try
// that succeeds forgets the failures only once a reply has come: a store that accepts and dies counts as
// failing.
#ifndef HINGELINK_DECIDE_STORE_RECONNECT_H_
#define HINGELINK_DECIDE_STORE_RECONNECT_H_

#include <algorithm>
#include <chrono>
#include <functional>
#include <utility>

namespace hingelink::decide {

class StoreReconnect {
 public:
  using Span = std::chrono::duration<double, std::milli>;
  // ms. The least is a few round trips; at the most, 300 nodes together make 600 tries a second.
  static constexpr Span kLeast{20}, kMost{1000};

  // `draw` gives numbers from 0 to under 1.
  explicit StoreReconnect(std::function<double()> draw) : draw_(std::move(draw)) {}

  // How long to wait before the next try.
  Span Failed() {
    const Span most = std::min(kMost, kLeast * (2 << std::min(failures_, 8)));
    ++failures_;
    return kLeast + (most - kLeast) * draw_();
  }
  void Good() { failures_ = 0; }
  bool good() const { return failures_ == 0; }

 private:
  std::function<double()> draw_;
  int failures_ = 0;
};

}  // namespace hingelink::decide

#endif  // HINGELINK_DECIDE_STORE_RECONNECT_H_
