// Distributes connections over event loops by load rather than by count: chooses the loop of a new
// connection, and selects connections to move from an overloaded loop to the least loaded one.
#ifndef HINGELINK_DECIDE_CONNECTIONS_CONNECTION_BALANCER_H_
#define HINGELINK_DECIDE_CONNECTIONS_CONNECTION_BALANCER_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

#include "decide/connections/connection_locations.h"

namespace hingelink::decide {

struct ConnectionBalancerOptions {
  std::size_t loops = 1;
  // Connections are moved if the load of the busiest loop exceeds the load of the least loaded loop by more
  // than `min_gap_fraction` of the busiest loop's load and by more than `min_gap_cores` (a fraction of a
  // core), in `required_reports` consecutive reports of the busiest loop.
  double min_gap_fraction = 0.25;
  double min_gap_cores = 0.10;
  int required_reports = 2;
  // A connection is not selected again for this long after a move was begun or finished, whether the
  // connection moved or stayed.
  std::chrono::milliseconds cooldown{2000};
  std::size_t max_moves_per_report = 16;
};

// What a loop reports about the time since its previous report.
struct LoopReport {
  struct ConnectionWork {
    ConnectionId id = 0;
    std::uint64_t work = 0;  // Frames read and written.
  };

  LoopIndex loop = 0;
  double busy = 0;         // CPU time of the loop's thread, as a fraction of a core.
  std::uint64_t work = 0;  // Frames read and written on all connections of the loop.
  // The connections with the most work, in descending order of work. Not necessarily all connections.
  std::vector<ConnectionWork> heaviest_connections;
};

struct ConnectionMove {
  ConnectionId id = 0;
  LoopIndex from = 0;
  LoopIndex to = 0;
  bool operator==(const ConnectionMove&) const = default;
};

// All times are readings of one monotonic clock of the caller. Not thread-safe.
class ConnectionBalancer {
 public:
  using Time = std::chrono::milliseconds;

  explicit ConnectionBalancer(const ConnectionBalancerOptions& options);

  // Returns the loop for a new connection. `connections`: the number of connections on each loop, without the
  // new one.
  [[nodiscard]] LoopIndex ChooseLoop(const std::vector<std::size_t>& connections);

  // Processes a periodic report of a loop and returns the moves that the caller must begin.
  [[nodiscard]] std::vector<ConnectionMove> OnReport(const LoopReport& report, Time now);
  // A move has finished: the connection either moved or stayed on its loop.
  void OnMoveFinished(ConnectionId id, Time now);
  // A stalled loop receives no connections, and no connections are moved from it. If all loops are stalled,
  // new connections go to the loop with the fewest connections.
  void SetStalled(LoopIndex loop, bool is_stalled);

  // The estimated load of a loop, as a fraction of a core.
  [[nodiscard]] double load(LoopIndex loop) const { return loops_[loop].load + loops_[loop].expected_load; }

 private:
  struct LoopState {
    double load = 0;             // Smoothed over reports, adjusted for moves since the last report.
    double expected_load = 0;    // Of connections that were assigned since the last report.
    int overloaded_reports = 0;  // Consecutive reports in which the loop was overloaded.
    bool is_stalled = false;
    bool has_reported = false;
  };

  void UpdateLoad(const LoopReport& report, double busy);
  // The least loaded loop that is not stalled, or loops_.size() if there is none.
  [[nodiscard]] LoopIndex LeastLoaded() const;
  // Whether connections should move from the reporting loop to `target`. `busy`: the load in its report.
  [[nodiscard]] bool IsOverloaded(LoopIndex reporting, double busy, LoopIndex target) const;
  // Whether a load exceeds the load of `target` by more than the configured minimum gap.
  [[nodiscard]] bool ExceedsMinGap(double busy, LoopIndex target) const;
  std::vector<ConnectionMove> SelectMoves(const LoopReport& report, double busy, LoopIndex target, Time now);

  ConnectionBalancerOptions options_;
  std::vector<LoopState> loops_;
  double mean_connection_load_ = 0;  // Of connections that had work, as a fraction of a core; smoothed.
  std::unordered_map<ConnectionId, Time> cooldown_until_;
};

}  // namespace hingelink::decide

#endif  // HINGELINK_DECIDE_CONNECTIONS_CONNECTION_BALANCER_H_
