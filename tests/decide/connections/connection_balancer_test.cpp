#include "decide/connections/connection_balancer.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>
#include <set>

namespace hingelink::decide {
namespace {

using namespace std::chrono_literals;

constexpr auto kReportInterval = 500ms;

// Returns a report of a loop. `work`: the work of each of its connections, in descending order.
LoopReport MakeReport(LoopIndex loop, double busy, const std::vector<std::uint64_t>& work) {
  LoopReport report{.loop = loop, .busy = busy, .work = 0, .heaviest_connections = {}};
  for (std::size_t i = 0; i < work.size(); ++i) {
    report.work += work[i];
    report.heaviest_connections.push_back({loop << 56 | (i + 1), work[i]});
  }
  return report;
}

TEST(ConnectionBalancer, ChoosesTheLoopWithFewestConnectionsBeforeAnyReport) {
  ConnectionBalancer balancer({.loops = 3});
  std::vector<std::size_t> connections(3);
  for (int i = 0; i < 30; ++i) ++connections[balancer.ChooseLoop(connections)];
  EXPECT_EQ(connections, (std::vector<std::size_t>{10, 10, 10}));
}

TEST(ConnectionBalancer, ChoosesTheLeastLoadedLoopRegardlessOfConnectionCounts) {
  ConnectionBalancer balancer({.loops = 2});
  static_cast<void>(balancer.OnReport(MakeReport(0, 0.9, {900}), 0ms));     // One connection with much work.
  static_cast<void>(balancer.OnReport(MakeReport(1, 0.1, {50, 50}), 0ms));  // Two with little work.
  EXPECT_EQ(balancer.ChooseLoop({1, 40}), 1u);
}

// Simulates event loops that execute all moves. All connections have the same work and start on loop 0.
class EqualConnections {
 public:
  EqualConnections(std::size_t loops, std::size_t connections) : loops_(loops), balancer_({.loops = loops}) {
    for (std::size_t i = 0; i < connections; ++i) loop_of_[i + 1] = 0;
  }
  void ReportAll(std::chrono::milliseconds now) {
    for (LoopIndex loop = 0; loop < loops_; ++loop) {
      for (const ConnectionMove& move : balancer_.OnReport(ReportOf(loop), now)) {
        EXPECT_EQ(loop_of_.at(move.id), move.from);
        loop_of_[move.id] = move.to;
        balancer_.OnMoveFinished(move.id, now);
      }
    }
  }
  std::vector<int> Counts() const {
    std::vector<int> counts(loops_);
    for (const auto& [id, loop] : loop_of_) ++counts[loop];
    return counts;
  }

 private:
  static constexpr std::uint64_t kWork = 32;
  static constexpr double kMaxWorkPerCore = 3200;  // Work that takes all CPU time of a core.
  static constexpr std::size_t kMaxReportedConnections = 64;

  LoopReport ReportOf(LoopIndex loop) const {
    LoopReport report{.loop = loop, .busy = 0, .work = 0, .heaviest_connections = {}};
    for (const auto& [id, owner] : loop_of_) {
      if (owner != loop) continue;
      report.work += kWork;
      if (report.heaviest_connections.size() < kMaxReportedConnections)
        report.heaviest_connections.push_back({id, kWork});
    }
    report.busy = static_cast<double>(report.work) / kMaxWorkPerCore;
    return report;
  }

  std::size_t loops_;
  ConnectionBalancer balancer_;
  std::map<ConnectionId, LoopIndex> loop_of_;
};

TEST(ConnectionBalancer, SpreadsTheConnectionsOfOneOverloadedLoopOverAllLoops) {
  EqualConnections model(4, 100);
  for (int i = 0; i < 60; ++i) model.ReportAll(i * kReportInterval);
  for (const int count : model.Counts()) {
    EXPECT_GE(count, 15);
    EXPECT_LE(count, 40);
  }
}

TEST(ConnectionBalancer, DoesNotMoveAConnectionThatWouldOverloadTheTargetLoop) {
  ConnectionBalancer balancer({.loops = 2});
  for (int i = 0; i < 20; ++i) {
    EXPECT_TRUE(balancer.OnReport(MakeReport(1, 0.0, {}), i * kReportInterval).empty());
    EXPECT_TRUE(balancer.OnReport(MakeReport(0, 0.9, {1000}), i * kReportInterval).empty());
  }
}

TEST(ConnectionBalancer, MovesNoConnectionAfterASingleHighReport) {
  ConnectionBalancer balancer({.loops = 2});
  for (int i = 0; i < 20; ++i) {
    static_cast<void>(balancer.OnReport(MakeReport(1, 0.2, {10, 10}), i * kReportInterval));
    const double busy = i % 3 == 2 ? 0.8 : 0.2;
    EXPECT_TRUE(balancer.OnReport(MakeReport(0, busy, {10, 10, 10, 10}), i * kReportInterval).empty()) << i;
  }
}

TEST(ConnectionBalancer, AStalledLoopReceivesNeitherNewNorMovedConnections) {
  ConnectionBalancer balancer({.loops = 2});
  balancer.SetStalled(0, true);
  EXPECT_EQ(balancer.ChooseLoop({0, 50}), 1u);
  for (int i = 0; i < 4; ++i) {
    EXPECT_TRUE(balancer.OnReport(MakeReport(0, 0, {}), i * kReportInterval).empty());
    EXPECT_TRUE(balancer.OnReport(MakeReport(1, 0.9, {10, 10, 10, 10}), i * kReportInterval).empty());
  }
}

TEST(ConnectionBalancer, ARecoveredLoopReceivesConnections) {
  ConnectionBalancer balancer({.loops = 2});
  balancer.SetStalled(0, true);
  static_cast<void>(balancer.OnReport(MakeReport(1, 0.9, {10, 10, 10, 10}), 0ms));
  balancer.SetStalled(0, false);
  EXPECT_EQ(balancer.ChooseLoop({0, 50}), 0u);
}

TEST(ConnectionBalancer, LimitsMovesPerReportAndMovesAConnectionOncePerCooldown) {
  ConnectionBalancer balancer({.loops = 2, .max_moves_per_report = 4});
  const std::vector<std::uint64_t> work(100, 10);
  std::set<ConnectionId> moved;
  // No move is executed, so that all connections stay on loop 0.
  for (std::chrono::milliseconds now{0}; now < ConnectionBalancerOptions().cooldown; now += 200ms) {
    static_cast<void>(balancer.OnReport(MakeReport(1, 0, {}), now));
    const auto moves = balancer.OnReport(MakeReport(0, 1, work), now);
    EXPECT_LE(moves.size(), 4u);
    for (const ConnectionMove& move : moves) EXPECT_TRUE(moved.insert(move.id).second);
  }
  EXPECT_GT(moved.size(), 8u);
}

RC_GTEST_PROP(ConnectionBalancer, MovesAtMostHalfOfTheGapAndOnlyFromTheBusiestLoop, ()) {
  auto work = *rc::gen::container<std::vector<std::uint64_t>>(rc::gen::inRange<std::uint64_t>(0, 1000));
  const double busy = *rc::gen::inRange(0, 101) / 100.0;
  const double other_busy = *rc::gen::inRange(0, 101) / 100.0;
  ConnectionBalancer balancer({.loops = 2});
  std::sort(work.rbegin(), work.rend());
  double total_work = 0;
  for (const std::uint64_t connection_work : work) total_work += static_cast<double>(connection_work);
  for (int i = 0; i < 3; ++i) {
    const auto moves_back = balancer.OnReport(MakeReport(1, other_busy, {5, 5}), i * kReportInterval);
    const auto moves = balancer.OnReport(MakeReport(0, busy, work), i * kReportInterval);
    if (busy >= other_busy) RC_ASSERT(moves_back.empty());
    if (busy <= other_busy) RC_ASSERT(moves.empty());
    double moved_load = 0;
    for (const ConnectionMove& move : moves) {
      moved_load += busy * static_cast<double>(work[(move.id & 0xffffff) - 1]) / total_work;
    }
    RC_ASSERT(moved_load <= (busy - other_busy) / 2 + 1e-9 || moves.empty());
    if (!moves.empty()) break;
  }
}

}  // namespace
}  // namespace hingelink::decide
