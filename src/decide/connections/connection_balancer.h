// Which loop takes a new connection, and which connection goes to another loop. By load, not by count.
// No I/O and no clock: the caller tells what each loop required_reports, and when.
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
  // A move needs the busiest loop to be so much busier than the least busy one, both as a share of the
  // busiest one's load and as a share of a core...
  double min_gap_fraction = 0.25;
  double min_gap_cores = 0.10;
  // ... at so many required_reports of the busiest loop in a row.
  int required_reports = 2;
  // A connection that has moved, or was asked to and stayed, is let be for so long.
  std::chrono::milliseconds cooldown{2000};
  std::size_t max_moves_per_report = 16;  // Asked at one time.
};

// What a loop tells of the time since its last report.
struct LoopReport {
  LoopIndex loop = 0;
  double busy = 0;         // Share of a core its thread used, 0 to 1.
  std::uint64_t work = 0;  // Frames read and written on all of its connections.
  struct ConnectionWork {
    ConnectionId id = 0;
    std::uint64_t work = 0;
  };
  std::vector<ConnectionWork> heaviest_connections;  // Those with most work, most first. May be cut short.
};

struct Move {
  ConnectionId id = 0;
  LoopIndex from = 0;
  LoopIndex to = 0;
  bool operator==(const Move&) const = default;
};

class ConnectionBalancer {
 public:
  using Time = std::chrono::milliseconds;  // Since any moment, the same for all calls.

  explicit ConnectionBalancer(const ConnectionBalancerOptions& options);

  // The loop for a new connection. `connections` gives how many each loop has, itself not among them.
  LoopIndex ChooseLoop(const std::vector<std::size_t>& connections);

  // Takes a report and gives the moves to ask for.
  std::vector<Move> OnReport(const LoopReport& report, Time now);
  // A move that was asked for has been carried out, or turned down: the connection rests from now on.
  void OnMoveFinished(ConnectionId id, Time now);
  // A loop that does not answer gets no connections until it does, and none is asked of it.
  void SetStalled(LoopIndex loop, bool hung);

  // The load of a loop as it is believed now, in shares of a core.
  double load(LoopIndex loop) const { return loops_[loop].load + loops_[loop].expected; }

 private:
  struct LoopState {
    double load = 0;      // As last reported, and changed by moves since.
    double expected = 0;  // Of the connections placed since.
    int uneven = 0;       // Reports in a row at which it was the busiest by far.
    bool hung = false;
    bool known = false;  // It has reported.
  };

  LoopIndex LeastLoaded() const;
  // Whether a loop of this load is so much busier than `least` that a move is worth its while.
  bool Uneven(double busiest, LoopIndex least) const;

  ConnectionBalancerOptions options_;
  std::vector<LoopState> loops_;
  double mean_load_ = 0;                            // Of one connection, over all that worked.
  std::unordered_map<ConnectionId, Time> resting_;  // Until when.
};

}  // namespace hingelink::decide

#endif  // HINGELINK_DECIDE_CONNECTIONS_CONNECTION_BALANCER_H_
