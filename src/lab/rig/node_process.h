// A process of the program that a rig starts, signals and waits for.
#ifndef HINGELINK_LAB_RIG_NODE_PROCESS_H_
#define HINGELINK_LAB_RIG_NODE_PROCESS_H_

#include <sys/types.h>

#include <chrono>
#include <deque>
#include <string>
#include <vector>

#include "lab/scenario/scenario.h"

namespace hingelink::lab {

// Not thread-safe. The process is killed when the object is destroyed or the rig's process ends.
class NodeProcess {
 public:
  NodeProcess() = default;
  ~NodeProcess() { Kill(); }
  NodeProcess(const NodeProcess&) = delete;
  NodeProcess& operator=(const NodeProcess&) = delete;

  // Starts the program `words[0]` with its arguments, unless it runs. Its output goes to `folder`/log, its
  // temporary folder is `folder`/run. Throws std::runtime_error if there can be no process.
  void Start(const std::vector<std::string>& words, const std::string& folder);
  void Signal(int number) const;
  void Kill();
  // Whether it has ended by itself.
  bool Ended();
  bool running() const { return pid_ > 0; }
  // Reads what the kernel counts of the process.
  void Gather();
  // As of the last Gather(), over all processes that were started.
  double cpu_seconds() const { return cpu_seconds_; }
  double rss_mb() const { return rss_mb_; }
  // The time for which the process was ready to run and had no core, within the last `window` before the last
  // Gather().
  Millis CoreWait(Millis window) const;

 private:
  // The accumulated wait for a core at a time.
  struct CoreWaitSample {
    std::chrono::steady_clock::time_point at{};
    Millis waited{0};
  };
  void GatherCoreWait();

  pid_t pid_ = -1;
  double cpu_seconds_ = 0;
  double earlier_seconds_ = 0;  // Of processes that have ended.
  double rss_mb_ = 0;
  std::deque<CoreWaitSample> core_waits_;  // Oldest first.
};

}  // namespace hingelink::lab

#endif  // HINGELINK_LAB_RIG_NODE_PROCESS_H_
