// Processes of the node: made so that none is ever unknown, held by pidfd so that no signal ever reaches
// another program.
#ifndef HINGELINK_APPLIANCE_PROCESSES_H_
#define HINGELINK_APPLIANCE_PROCESSES_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "decide/supervision/supervisor_state.h"
#include "net/event.h"

namespace hingelink::appliance {

// The process's start in ticks since the boot; nothing where there is none (or it has ended).
std::optional<std::uint64_t> StartTicks(std::int64_t pid);

// A process that is known for good: by a pidfd, checked against its start.
class Process {
 public:
  // Nothing where the process has ended, or the number belongs to another by now.
  static std::optional<Process> Find(const decide::ProcessId& id);

  // Readable once it has ended.
  int fd() const { return fd_.get(); }
  const decide::ProcessId& id() const { return id_; }
  // Does nothing where it has ended.
  void Signal(int number) const;

 private:
  Process(const decide::ProcessId& id, net::Descriptor fd) : id_(id), fd_(std::move(fd)) {}
  decide::ProcessId id_;
  net::Descriptor fd_;
};

// A process that waits to be let go. If this one ends before, or drops it, the process ends too.
class PendingProcess {
 public:
  // In a session of its own; what it writes is appended to `output`. Throws std::runtime_error.
  PendingProcess(const std::string& program, const std::vector<std::string>& args,
                 const std::map<std::string, std::string>& environment, const std::string& output);
  const decide::ProcessId& id() const { return id_; }
  // It becomes the program now. At most once.
  void Release();

 private:
  decide::ProcessId id_;
  net::Descriptor go_;
};

}  // namespace hingelink::appliance

#endif  // HINGELINK_APPLIANCE_PROCESSES_H_
