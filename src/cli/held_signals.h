// Signals that arrive before the program handles them wait until it does.
#ifndef HINGELINK_CLI_HELD_SIGNALS_H_
#define HINGELINK_CLI_HELD_SIGNALS_H_

#include <csignal>

namespace hingelink::cli {

// Blocks the signals that steer a node in the calling thread, from the construction to Release() or the
// destructor. Guards against a notice to leave or a new configuration that ends a starting process by its
// default action.
class HeldSignals {
 public:
  HeldSignals() {
    sigset_t held;
    sigemptyset(&held);
    for (const int number : {SIGHUP, SIGINT, SIGTERM}) sigaddset(&held, number);
    sigprocmask(SIG_BLOCK, &held, &before_);
  }
  HeldSignals(const HeldSignals&) = delete;
  HeldSignals& operator=(const HeldSignals&) = delete;
  ~HeldSignals() { Release(); }

  // Those that have arrived are delivered now.
  void Release() { sigprocmask(SIG_SETMASK, &before_, nullptr); }

 private:
  sigset_t before_{};
};

}  // namespace hingelink::cli

#endif  // HINGELINK_CLI_HELD_SIGNALS_H_
