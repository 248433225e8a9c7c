// Starts and signals processes of the node. A process does not run its program before the supervisor has
// recorded it, so that no node process is unknown to the supervisor. Signals go through a pidfd, so that they
// never reach another program that reuses the pid.
#ifndef HINGELINK_APPLIANCE_PROCESSES_H_
#define HINGELINK_APPLIANCE_PROCESSES_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "decide/supervision/supervisor_state.h"
#include "net/event.h"

namespace hingelink::appliance {

// Returns the start time of the process in clock ticks since boot, or nothing if it does not exist or is a
// zombie.
std::optional<std::uint64_t> StartTicks(std::int64_t pid);

// Refers to one process by a pidfd. The start time is checked once, so the reference stays valid when the pid
// is reused.
class Process {
 public:
  // Returns nothing if the process has exited or if its pid belongs to another process.
  static std::optional<Process> Find(const decide::ProcessId& id);

  // The pidfd, which becomes readable when the process exits.
  int fd() const { return fd_.get(); }
  const decide::ProcessId& id() const { return id_; }
  // Has no effect if the process has exited.
  void Signal(int number) const;

 private:
  Process(const decide::ProcessId& id, net::Descriptor fd) : id_(id), fd_(std::move(fd)) {}
  decide::ProcessId id_;
  net::Descriptor fd_;
};

// A forked child process that waits for Release() before it executes its program. The child exits if this
// object is destroyed, or the parent process exits, before Release().
class PendingProcess {
 public:
  // Forks the child in a session of its own. `environment` is added to the environment of this process.
  // Standard output and standard error of the program are appended to the file `output`. Throws
  // std::runtime_error.
  PendingProcess(const std::string& program, const std::vector<std::string>& args,
                 const std::map<std::string, std::string>& environment, const std::string& output);
  const decide::ProcessId& id() const { return id_; }
  // Lets the child execute the program. Further calls have no effect.
  void Release();

 private:
  decide::ProcessId id_;
  net::Descriptor release_pipe_;
};

}  // namespace hingelink::appliance

#endif  // HINGELINK_APPLIANCE_PROCESSES_H_
