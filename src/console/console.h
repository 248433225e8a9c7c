// The console: watches a node over its control socket and draws what it sees. It runs in a process of its
// own; whatever becomes of it, the node goes on.
#ifndef HINGELINK_CONSOLE_CONSOLE_H_
#define HINGELINK_CONSOLE_CONSOLE_H_

#include <chrono>
#include <functional>
#include <string>

namespace hingelink::console {

struct Options {
  std::string socket;      // The node's control socket.
  std::string supervisor;  // The appliance's; empty without one. It is told to drain where there is one.
  std::chrono::milliseconds every{500};
  bool once = false;            // Prints one screen and ends.
  std::function<bool()> ended;  // Asked now and then: whether there is nothing more to watch.
};

// Gives the exit status. Without a terminal, or on a dumb one, it prints a plain line a second.
int Run(const Options& options);

}  // namespace hingelink::console

#endif  // HINGELINK_CONSOLE_CONSOLE_H_
