// The supervisor: carries out what decide::Supervise decides, on a loop of its own.
//
// In the state folder:
//   lock                held as long as a supervisor lives
//   plan.json           what lasts (state/supervisor_state_store.h)
//   node-N.json         the configuration of start N
//   peers-N.json        how it joins the other nodes; only where the appliance's file says so
//   node-N.sock         the control socket of start N
//   node-N.sock.ended   left by a node that has ended well
//   control.sock        leads to the socket of the node that serves
//   supervisor.sock     the supervisor's own control socket
//   node.log, supervisor.log, node.err
//   run/                what the processes of one node share, for the handover
#ifndef HINGELINK_APPLIANCE_SUPERVISOR_H_
#define HINGELINK_APPLIANCE_SUPERVISOR_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "appliance/config.h"
#include "appliance/processes.h"
#include "control/server.h"
#include "decide/supervision/supervisor.h"
#include "net/event.h"
#include "state/file_system.h"
#include "state/supervisor_state_store.h"

namespace hingelink::appliance {

struct SupervisorOptions {
  std::string folder;   // Of its state; must be there.
  std::string config;   // deploy/appliance.json or one like it.
  std::string program;  // What a node is started from.
  std::uint64_t seed = 0;
  // Whether it was asked for (`up`) or goes on with what was planned (`resume`).
  bool start_requested = true;
  // For tests: called before each action, with its name and a count of them.
  std::function<void(const char* action, std::uint64_t count)> before_action;
};

// Another supervisor holds the folder.
class AlreadyRunningError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

class Supervisor {
 public:
  // Throws AlreadyRunningError, ConfigError, FileError or std::runtime_error.
  explicit Supervisor(SupervisorOptions options);
  ~Supervisor();

  // Until nothing is left to do.
  void Run();

 private:
  struct Held;  // One process of the node.

  void Adopt();
  // Guards against a second node where no plan tells of the first: asks at each socket that is there.
  decide::SupervisorState Search() const;
  void Take(const decide::SupervisorEvent& event);
  void Work();
  void Carry(const decide::SupervisorAction& action);
  void StartProcess(std::uint64_t generation);
  void HoldProcess(std::uint64_t generation, Process process);
  void Ended(std::uint64_t generation);
  void Save();
  void Point(std::uint64_t generation);
  void Look();
  void WriteNodeConfig(std::uint64_t generation);
  control::Json Status() const;
  control::Json Ask(const decide::SupervisorEvent& event);
  control::Json Reload();
  std::string Path(const std::string& name) const { return options_.folder + '/' + name; }
  std::string SocketOf(std::uint64_t generation) const;
  bool EndedWell(std::uint64_t generation) const;
  decide::SupervisorTime Now() const;

  SupervisorOptions options_;
  state::DirectoryLock lock_;
  Config config_;
  net::BasePtr base_;
  state::SupervisorStateStore store_;
  decide::Supervisor decide_;
  std::map<std::uint64_t, std::unique_ptr<Held>> held_;
  std::vector<std::unique_ptr<Held>> ended_;  // Freed outside their own callbacks.
  std::unique_ptr<PendingProcess> waiting_;
  std::uint64_t waiting_generation_ = 0;
  net::Timer tick_;
  net::Timer look_;
  std::deque<decide::SupervisorEvent> events_;
  bool taking_ = false;
  bool saved_ = true;
  std::optional<decide::OperatorReply> answer_;
  std::uint64_t actions_ = 0;
  std::string last_report_;
  std::unique_ptr<control::Server> server_;
  std::vector<net::EventPtr> signals_;
  bool exit_ = false;
};

}  // namespace hingelink::appliance

#endif  // HINGELINK_APPLIANCE_SUPERVISOR_H_
