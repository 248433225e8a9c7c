// Distributes connections over event loops, by load rather than by count: chooses the loop of a new
// connection, and moves connections from an overloaded loop to another.
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
  // Connections are moved if the load of the busiest loop exceeds that of the least loaded one by more than
  // this fraction of its own load ...
  double min_gap_fraction = 0.25;
  // ... and by more than this fraction of a core ...
  double min_gap_cores = 0.10;
  // ... in this many consecutive reports of the busiest loop.
  int required_reports = 2;
  // A connection that was asked to move is not moved again for this long, whether it moved or stayed.
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
  double busy = 0;         // CPU time of its thread, as a fraction of a core.
  std::uint64_t work = 0;  // Frames read and written on all of its connections.
  // The connections with most work, in descending order. May be truncated.
  std::vector<ConnectionWork> heaviest_connections;
};

struct ConnectionMove {
  ConnectionId id = 0;
  LoopIndex from = 0;
  LoopIndex to = 0;
  bool operator==(const ConnectionMove&) const = default;
};

// Times are on the caller's monotonic clock, the same for all calls. Not thread-safe.
class ConnectionBalancer {
 public:
  using Time = std::chrono::milliseconds;

  explicit ConnectionBalancer(const ConnectionBalancerOptions& options);

  // Returns the loop for a new connection. `connections`: how many each loop has, the new one excluded.
  [[nodiscard]] LoopIndex ChooseLoop(const std::vector<std::size_t>& connections);

  // Returns the moves to begin after this report.
  [[nodiscard]] std::vector<ConnectionMove> OnReport(const LoopReport& report, Time now);
  // A move has ended: the connection moved, or it stayed.
  void OnMoveFinished(ConnectionId id, Time now);
  // A stalled loop receives no connections and none are moved from it. If all are stalled, new connections go
  // to the loop with the fewest.
  void SetStalled(LoopIndex loop, bool is_stalled);

  // The estimated load of a loop, as a fraction of a core.
  [[nodiscard]] double load(LoopIndex loop) const { return loops_[loop].load + loops_[loop].expected_load; }

 private:
  struct LoopState {
    double load = 0;             // Smoothed over reports, adjusted by moves since.
    double expected_load = 0;    // Of connections that were assigned since the last report.
    int overloaded_reports = 0;  // Consecutive.
    bool is_stalled = false;
    bool has_reported = false;
  };

  void UpdateLoad(const LoopReport& report, double busy);
  // The least loaded loop that is not stalled, or loops_.size() if there is none.
  [[nodiscard]] LoopIndex LeastLoaded() const;
  // Whether connections should move from the reporting loop to `target`.
  [[nodiscard]] bool IsOverloaded(LoopIndex reporting, double busy, LoopIndex target) const;
  // Whether a loop of this load exceeds `target` by more than the configured gap.
  [[nodiscard]] bool ExceedsGap(double busy, LoopIndex target) const;
  std::vector<ConnectionMove> SelectMoves(const LoopReport& report, double busy, LoopIndex target, Time now);

  ConnectionBalancerOptions options_;
  std::vector<LoopState> loops_;
  double mean_connection_load_ = 0;  // Of connections that had work.
  std::unordered_map<ConnectionId, Time> cooldown_until_;
};

}  // namespace hingelink::decide

#endif  // HINGELINK_DECIDE_CONNECTIONS_CONNECTION_BALANCER_H_
