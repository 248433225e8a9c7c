// The supervisor process of an appliance: starts, monitors, upgrades and stops the node's processes. It
// executes the actions of decide::Supervisor on its own event loop.
//
// Files in the state directory:
//   lock                locked while a supervisor runs
//   plan.json           the durable state (state/supervisor_state_store.h)
//   node-N.json         the node configuration of generation N
//   peers-N.json        the fleet configuration of generation N, if the appliance has one
//   node-N.sock         the control socket of generation N
//   node-N.sock.ended   written by a node that exits cleanly
//   control.sock        symbolic link to the control socket of the serving node
//   supervisor.sock     the supervisor's own control socket
//   node-0.log, node-1.log   logs of the nodes of even and odd generations
//   supervisor.log      log of the supervisor
//   node.err            standard output and standard error of the nodes
//   learned             learned state, kept for the next node
//   run/                files that the processes of one node share for a handover
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
  std::string folder;      // State directory; must exist.
  std::string config;      // Path of the appliance's configuration file.
  std::string program;     // Path of the program that runs a node.
  std::uint64_t seed = 0;  // For the jitter of restarts and the seeds of the nodes.
  // True if the operator requests that the node runs (`up`). False if the supervisor continues with its
  // durable state (`resume`).
  bool start_requested = true;
  // For tests: called before each action with its name and its number, which starts at 1.
  std::function<void(const char* action, std::uint64_t count)> before_action;
};

// Thrown when another supervisor holds the lock of the state directory.
class AlreadyRunningError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Runs on one thread.
class Supervisor {
 public:
  // Locks the state directory, listens on supervisor.sock and adopts the node processes of an earlier
  // supervisor. Throws AlreadyRunningError, ConfigError, FileError or std::runtime_error.
  explicit Supervisor(SupervisorOptions options);
  ~Supervisor();

  // Runs the event loop until the state machine requests the exit of the supervisor.
  void Run();

 private:
  struct MonitoredProcess;

  // Loads the durable state, adopts the node processes that still run and starts the state machine.
  void RecoverState();
  // Reconstructs the state from the nodes that answer on their control sockets. Without it, a supervisor that
  // has no valid state would start a second node next to a running one.
  decide::SupervisorState FindRunningNodes() const;
  // Queues the event and processes the queue.
  void HandleEvent(const decide::SupervisorEvent& event);
  void ProcessEvents();
  void ExecuteAction(const decide::SupervisorAction& action);
  void StartProcess(std::uint64_t generation);
  void MonitorProcess(std::uint64_t generation, Process process);
  void OnProcessExit(std::uint64_t generation);
  void SaveState();
  // Points control.sock at the socket of this generation.
  void RedirectControlSocket(std::uint64_t generation);
  // Requests the status of each process and retries a failed save.
  void PollStatus();
  void WriteNodeConfig(std::uint64_t generation);
  control::Json Status() const;
  // Returns the result of an operator's request, or throws control::RequestError.
  control::Json HandleOperatorRequest(const decide::SupervisorEvent& event);
  control::Json Reload();
  std::string StatePath(const std::string& name) const { return options_.folder + '/' + name; }
  std::string NodeSocketPath(std::uint64_t generation) const;
  // Whether the node left its .ended file.
  bool ExitedCleanly(std::uint64_t generation) const;
  // The time since boot, including the time that the machine was suspended.
  decide::SupervisorTime Now() const;

  SupervisorOptions options_;
  state::DirectoryLock lock_;
  Config config_;
  net::BasePtr base_;
  state::SupervisorStateStore state_store_;
  decide::Supervisor state_machine_;
  std::map<std::uint64_t, std::unique_ptr<MonitoredProcess>> processes_;
  std::vector<std::unique_ptr<MonitoredProcess>> exited_processes_;  // Freed outside their own callbacks.
  std::unique_ptr<PendingProcess> pending_process_;
  std::uint64_t pending_generation_ = 0;
  net::Timer timer_;
  net::Timer status_poll_timer_;
  std::deque<decide::SupervisorEvent> event_queue_;
  bool processing_events_ = false;
  bool state_saved_ = true;
  std::optional<decide::OperatorReply> operator_reply_;
  std::uint64_t action_count_ = 0;
  std::string last_event_code_;
  std::unique_ptr<control::Server> server_;
  std::vector<net::EventPtr> signals_;
  bool exit_requested_ = false;
};

}  // namespace hingelink::appliance

#endif  // HINGELINK_APPLIANCE_SUPERVISOR_H_
