#include "decide/connections/connection_balancer.h"

#include <algorithm>
#include <cmath>

namespace hingelink::decide {
namespace {

// How much of a new report is believed at once. Guards against moves after one odd half second.
constexpr double kFresh = 0.5;
// The load of a connection of which nothing is known: a place in the order, and no more.
constexpr double kUnknownLoad = 0.0005;

}  // namespace

ConnectionBalancer::ConnectionBalancer(const ConnectionBalancerOptions& options)
    : options_(options), loops_(options.loops) {}

LoopIndex ConnectionBalancer::LeastLoaded() const {
  LoopIndex least = loops_.size();
  for (LoopIndex i = 0; i < loops_.size(); ++i) {
    if (!loops_[i].hung && (least == loops_.size() || load(i) < load(least))) least = i;
  }
  return least;
}

LoopIndex ConnectionBalancer::ChooseLoop(const std::vector<std::size_t>& connections) {
  // What one more is expected to bring. Loads that differ by less are the same, and the count decides.
  const double one = std::max(kUnknownLoad, mean_load_);
  LoopIndex best = loops_.size();
  for (LoopIndex i = 0; i < loops_.size(); ++i) {
    if (loops_[i].hung) continue;
    if (best == loops_.size()) {
      best = i;
    } else if (std::abs(load(i) - load(best)) < one) {
      if (connections[i] < connections[best]) best = i;
    } else if (load(i) < load(best)) {
      best = i;
    }
  }
  // Where all hang, any is as good as another.
  if (best == loops_.size()) {
    best = static_cast<LoopIndex>(std::min_element(connections.begin(), connections.end()) -
                                  connections.begin());
  }
  loops_[best].expected += one;
  return best;
}

bool ConnectionBalancer::Uneven(double busiest, LoopIndex least) const {
  const double gap = busiest - load(least);
  return gap > options_.min_gap_cores && gap > options_.min_gap_fraction * busiest;
}

std::vector<Move> ConnectionBalancer::OnReport(const LoopReport& report, Time now) {
  LoopState& from = loops_[report.loop];
  const double busy = std::clamp(report.busy, 0.0, 1.0);
  from.load = from.known ? (1 - kFresh) * from.load + kFresh * busy : busy;
  from.known = true;
  from.expected = 0;
  std::erase_if(resting_, [now](const auto& entry) { return entry.second <= now; });
  std::size_t working = 0;
  for (const auto& heavy : report.heaviest_connections) working += heavy.work > 0 ? 1 : 0;
  if (working > 0) mean_load_ = (1 - kFresh) * mean_load_ + kFresh * busy / static_cast<double>(working);

  const LoopIndex to = LeastLoaded();
  const bool busiest = std::all_of(loops_.begin(), loops_.end(), [&](const LoopState& other) {
    return other.hung || other.load + other.expected <= from.load;
  });
  if (from.hung || to >= loops_.size() || to == report.loop || !loops_[to].known || !busiest ||
      // Also by this report alone: guards against one odd report, whose mark stays on the load for a while.
      !Uneven(std::min(from.load, busy), to)) {
    from.uneven = 0;
    return {};
  }
  if (++from.uneven < options_.required_reports || report.work == 0) return {};

  std::vector<Move> moves;
  const double each = busy / static_cast<double>(report.work);
  double gap = load(report.loop) - load(to);
  for (const auto& heavy : report.heaviest_connections) {
    if (moves.size() >= options_.max_moves_per_report || heavy.work == 0) break;
    const double load = each * static_cast<double>(heavy.work);
    // Past half of the gap it would only change which of the two is the busy one.
    if (load > gap / 2 || resting_.count(heavy.id) != 0) continue;
    moves.push_back({heavy.id, report.loop, to});
    resting_[heavy.id] = now + options_.cooldown;
    gap -= 2 * load;
    from.load -= load;
    loops_[to].load += load;
    if (gap <= options_.min_gap_cores / 2) break;
  }
  from.uneven = 0;
  return moves;
}

void ConnectionBalancer::OnMoveFinished(ConnectionId id, Time now) { resting_[id] = now + options_.cooldown; }

void ConnectionBalancer::SetStalled(LoopIndex loop, bool hung) {
  loops_[loop].hung = hung;
  loops_[loop].uneven = 0;
}

}  // namespace hingelink::decide
