// One line to standard error. The lines are explained in docs/on-call.md.
#ifndef HINGELINK_NET_LOG_H_
#define HINGELINK_NET_LOG_H_

#include <chrono>

namespace hingelink::net {

[[gnu::format(printf, 1, 2)]] void LogLine(const char* format, ...);
// For lines that a peer can cause as often as it likes: those over the budget are counted, and told of in
// one.
[[gnu::format(printf, 1, 2)]] void LogPeerLine(const char* format, ...);

// Lines in stock, which grow with time up to a burst.
class LogBudget {
 public:
  using Time = std::chrono::steady_clock::time_point;
  static constexpr int kBurst = 1000, kEachSecond = 100;

  // Whether a line may be written now.
  bool Take(Time now);
  // The lines that might not be written since the last call.
  long TakeLeftOut();

 private:
  double stock_ = kBurst;
  Time last_{};
  long left_out_ = 0;
};

}  // namespace hingelink::net

#endif  // HINGELINK_NET_LOG_H_
