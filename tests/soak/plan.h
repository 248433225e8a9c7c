// What happens in a soak run, drawn from its seed.
#ifndef HINGELINK_TESTS_SOAK_PLAN_H_
#define HINGELINK_TESTS_SOAK_PLAN_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "site_profile.h"

namespace hingelink::soak {

using std::chrono::milliseconds;

enum class OperationKind : std::uint8_t {
  kRestart,              // SIGTERM, SIGKILL after the stop time, and a new process.
  kRestartAll,           // The same of all nodes at once.
  kReload,               // A series of SIGHUP with other configurations, some of them invalid.
  kUpgrade,              // A second process takes over; then the first one gets SIGTERM.
  kTerminateInHandover,  // The first process gets SIGTERM while the second one starts.
  kKillSuccessor,        // The second process is killed while it starts or soon after.
  kTerminateAtStart,     // SIGTERM before the process is ready.
  kPoolFault,
  kStoreFault,
  kRegistryFault,
  kIdleClients,  // Idle and incomplete connections, almost up to the descriptor limit.
};

// A signal that is sent during a drain, `after` the first SIGTERM.
struct DrainSignal {
  milliseconds after{0};
  int number = 0;
};

struct Operation {
  OperationKind kind = OperationKind::kRestart;
  std::size_t node = 0;
  milliseconds pause{0};  // Before the operation.
  milliseconds delay{0};  // Between its two signals, or the duration of a fault.
  std::vector<DrainSignal> signals;
  int count = 0;           // Of signals or connections.
  bool has_burst = false;  // The arrivals are doubled during the drain.
};

struct Plan {
  std::uint64_t seed = 0;
  SiteProfile profile;
  int nodes = 2;
  int gateways = 2;
  int retries = 0;
  int max_descriptors = 1024;
  double load = 0.5;              // Arrivals as a multiple of the capacity.
  double ignores_no_more = 0;     // Share of gateways that use their open connections until the kill.
  double abandoned_fraction = 0;  // Share of requests whose caller gives up early.
  std::vector<Operation> operations;
};

// `sites`: paths of site files. Equal seeds give equal plans.
Plan DrawPlan(std::uint64_t seed, const std::vector<std::string>& sites);

}  // namespace hingelink::soak

#endif  // HINGELINK_TESTS_SOAK_PLAN_H_
