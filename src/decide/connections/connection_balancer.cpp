#include "decide/connections/connection_balancer.h"

#include <algorithm>
#include <cmath>

namespace hingelink::decide {
namespace {

// Weight of a new report in the exponentially smoothed loads.
constexpr double kReportWeight = 0.5;
// Minimum load that a connection is assumed to cause, as a fraction of a core. It applies while no load has
// been reported, and is small enough only to break ties between equally loaded loops.
constexpr double kMinConnectionLoad = 0.0005;

}  // namespace

ConnectionBalancer::ConnectionBalancer(const ConnectionBalancerOptions& options)
    : options_(options), loops_(options.loops) {}

LoopIndex ConnectionBalancer::LeastLoaded() const {
  LoopIndex least = loops_.size();
  for (LoopIndex i = 0; i < loops_.size(); ++i) {
    if (!loops_[i].is_stalled && (least == loops_.size() || load(i) < load(least))) least = i;
  }
  return least;
}

LoopIndex ConnectionBalancer::ChooseLoop(const std::vector<std::size_t>& connections) {
  // Loads that differ by less than the load of one connection count as equal; the loop with fewer connections
  // is then chosen.
  const double connection_load = std::max(kMinConnectionLoad, mean_connection_load_);
  LoopIndex best = loops_.size();
  for (LoopIndex i = 0; i < loops_.size(); ++i) {
    if (loops_[i].is_stalled) continue;
    if (best == loops_.size()) {
      best = i;
    } else if (std::abs(load(i) - load(best)) < connection_load) {
      if (connections[i] < connections[best]) best = i;
    } else if (load(i) < load(best)) {
      best = i;
    }
  }
  if (best == loops_.size()) {
    best = static_cast<LoopIndex>(std::min_element(connections.begin(), connections.end()) -
                                  connections.begin());
  }
  loops_[best].expected_load += connection_load;
  return best;
}

bool ConnectionBalancer::ExceedsMinGap(double busy, LoopIndex target) const {
  const double gap = busy - load(target);
  return gap > options_.min_gap_cores && gap > options_.min_gap_fraction * busy;
}

void ConnectionBalancer::UpdateLoad(const LoopReport& report, double busy) {
  LoopState& state = loops_[report.loop];
  state.load = state.has_reported ? (1 - kReportWeight) * state.load + kReportWeight * busy : busy;
  state.has_reported = true;
  state.expected_load = 0;
  std::size_t working = 0;
  for (const auto& connection : report.heaviest_connections) working += connection.work > 0 ? 1 : 0;
  if (working == 0) return;
  mean_connection_load_ =
      (1 - kReportWeight) * mean_connection_load_ + kReportWeight * busy / static_cast<double>(working);
}

bool ConnectionBalancer::IsOverloaded(LoopIndex reporting, double busy, LoopIndex target) const {
  const LoopState& state = loops_[reporting];
  if (state.is_stalled || target >= loops_.size() || target == reporting) return false;
  if (!loops_[target].has_reported) return false;
  const bool is_busiest = std::all_of(loops_.begin(), loops_.end(), [&state](const LoopState& other) {
    return other.is_stalled || other.load + other.expected_load <= state.load;
  });
  // Both the smoothed load and the latest report must exceed the gap, so that a single high report moves no
  // connection.
  return is_busiest && ExceedsMinGap(std::min(state.load, busy), target);
}

std::vector<ConnectionMove> ConnectionBalancer::OnReport(const LoopReport& report, Time now) {
  const double busy = std::clamp(report.busy, 0.0, 1.0);
  UpdateLoad(report, busy);
  std::erase_if(cooldown_until_, [now](const auto& entry) { return entry.second <= now; });

  LoopState& state = loops_[report.loop];
  const LoopIndex target = LeastLoaded();
  if (!IsOverloaded(report.loop, busy, target)) {
    state.overloaded_reports = 0;
    return {};
  }
  if (++state.overloaded_reports < options_.required_reports || report.work == 0) return {};
  state.overloaded_reports = 0;
  return SelectMoves(report, busy, target, now);
}

std::vector<ConnectionMove> ConnectionBalancer::SelectMoves(const LoopReport& report, double busy,
                                                            LoopIndex target, Time now) {
  std::vector<ConnectionMove> moves;
  const double load_per_work = busy / static_cast<double>(report.work);
  double gap = load(report.loop) - load(target);
  for (const auto& connection : report.heaviest_connections) {
    if (moves.size() >= options_.max_moves_per_report || connection.work == 0) break;
    const double connection_load = load_per_work * static_cast<double>(connection.work);
    // Moving a connection whose load exceeds half of the gap would make the target the busier loop.
    if (connection_load > gap / 2 || cooldown_until_.contains(connection.id)) continue;
    moves.push_back({connection.id, report.loop, target});
    cooldown_until_[connection.id] = now + options_.cooldown;
    gap -= 2 * connection_load;
    loops_[report.loop].load -= connection_load;
    loops_[target].load += connection_load;
    if (gap <= options_.min_gap_cores / 2) break;
  }
  return moves;
}

void ConnectionBalancer::OnMoveFinished(ConnectionId id, Time now) {
  cooldown_until_[id] = now + options_.cooldown;
}

void ConnectionBalancer::SetStalled(LoopIndex loop, bool is_stalled) {
  loops_[loop].is_stalled = is_stalled;
  loops_[loop].overloaded_reports = 0;
}

}  // namespace hingelink::decide
