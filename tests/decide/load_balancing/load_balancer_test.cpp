// Subsets and choices: what holds whatever comes.
#include "decide/load_balancing/load_balancer.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <cmath>
#include <numeric>
#include <set>

namespace hingelink::decide {
namespace {

std::vector<SubsetNode> Nodes(std::size_t count, std::size_t zones = 1) {
  std::vector<SubsetNode> nodes;
  for (std::size_t i = 0; i < count; ++i)
    nodes.push_back({"n" + std::to_string(i), "z" + std::to_string(i % zones)});
  return nodes;
}
std::vector<SubsetEndpoint> Services(std::size_t count, std::size_t zones = 1, double capacity = 1) {
  std::vector<SubsetEndpoint> services;
  for (std::size_t i = 0; i < count; ++i)
    services.push_back({"s" + std::to_string(i), "z" + std::to_string(i % zones), capacity});
  return services;
}

// Pairs of names.
std::set<std::pair<std::string, std::string>> Pairs(const std::vector<SubsetNode>& nodes,
                                                    const std::vector<SubsetEndpoint>& services,
                                                    std::size_t size) {
  std::set<std::pair<std::string, std::string>> pairs;
  const auto subsets = AssignSubsets(nodes, services, size);
  for (std::size_t n = 0; n < nodes.size(); ++n) {
    for (const std::uint32_t s : subsets[n]) pairs.emplace(nodes[n].name, services[s].name);
  }
  return pairs;
}

TEST(Subsetting, EveryServiceHasItsShareWithinOneAndEveryNodeItsNumber) {
  EXPECT_TRUE(rc::check([] {
    const auto count = *rc::gen::inRange<std::size_t>(1, 60);
    const auto zones = *rc::gen::inRange<std::size_t>(1, 4);
    const auto size = *rc::gen::inRange<std::size_t>(1, 12);
    const auto nodes = Nodes(count, zones);
    auto services = Services(*rc::gen::inRange<std::size_t>(1, 30), *rc::gen::inRange<std::size_t>(1, 4));
    for (SubsetEndpoint& s : services) s.capacity = *rc::gen::inRange(1, 4);
    const auto subsets = AssignSubsets(nodes, services, size);
    const std::size_t each = std::min(size, services.size());
    std::vector<std::size_t> used(services.size(), 0);
    for (const auto& row : subsets) {
      RC_ASSERT(row.size() == each);
      RC_ASSERT(std::set<std::uint32_t>(row.begin(), row.end()).size() == row.size());
      for (const std::uint32_t s : row) ++used[s];
    }
    RC_ASSERT(used == SlotsPerEndpoint(count, services, size));
    // By capacity, within one, but for those that all nodes use.
    double capacity = 0;
    std::size_t places = 0;
    for (std::size_t s = 0; s < services.size(); ++s) {
      if (used[s] == count) continue;
      capacity += services[s].capacity;
      places += used[s];
    }
    for (std::size_t s = 0; s < services.size(); ++s) {
      if (used[s] == count) continue;
      const double exact = static_cast<double>(places) * services[s].capacity / capacity;
      RC_ASSERT(std::abs(static_cast<double>(used[s]) - exact) < 1 + 1e-6);
    }
  }));
}

TEST(Subsetting, AJoinOrALeaveMovesNearTheLeast) {
  for (const std::size_t count : {10u, 50u, 300u}) {
    auto nodes = Nodes(count);
    auto services = Services(40);
    const auto before = Pairs(nodes, services, 8);
    const auto moved = [&](const std::vector<SubsetNode>& n, const std::vector<SubsetEndpoint>& s) {
      const auto after = Pairs(n, s, 8);
      std::size_t gone = 0;
      for (const auto& pair : before) gone += after.contains(pair) ? 0 : 1;
      return gone;
    };
    auto more_nodes = nodes;
    more_nodes.push_back({"new", "z0"});
    // A node that joins need move nobody but for the places that shift by one.
    EXPECT_LE(moved(more_nodes, services), 4 * 8u) << count;
    auto fewer_nodes = nodes;
    fewer_nodes.erase(fewer_nodes.begin() + 3);
    EXPECT_LE(moved(fewer_nodes, services), 8 + 4 * 8u) << count;
    // A service that goes takes its places, one that comes takes its share of all: the least, and half as
    // much.
    auto fewer = services;
    fewer.erase(fewer.begin() + 7);
    const std::size_t its = count * 8 / 40;
    EXPECT_LE(moved(nodes, fewer), its * 2 + 8) << count;
    auto more = services;
    more.push_back({"new", "z0", 1});
    EXPECT_LE(moved(nodes, more), count * 8 / 41 * 2 + 8) << count;
  }
}

TEST(Subsetting, AZoneIsUsedFirstAndWhatItLacksIsTakenElsewhere) {
  // Half the nodes in each zone, a quarter of the services in the first.
  const auto nodes = Nodes(40, 2);
  std::vector<SubsetEndpoint> services;
  for (std::size_t i = 0; i < 20; ++i) services.push_back({"s" + std::to_string(i), i < 5 ? "z0" : "z1", 1});
  const auto subsets = AssignSubsets(nodes, services, 4);
  for (std::size_t n = 0; n < nodes.size(); ++n) {
    const auto home = std::count_if(subsets[n].begin(), subsets[n].end(),
                                    [&](std::uint32_t s) { return services[s].zone == nodes[n].zone; });
    EXPECT_EQ(home, nodes[n].zone == "z1" ? 4 : 2);
  }
}

// A node with services that answer as they are told.
class Table {
 public:
  explicit Table(std::size_t services, LoadBalancerOptions options = {}, std::uint64_t seed = 7)
      : draw_(seed), spread_(options, "n0", "", [this] { return Next(); }) {
    spread_.SetEndpoints(now, Services(services));
    for (const EndpointId id : spread_.endpoints()) spread_.SetConnected(now, id, true);
    Pass(Milliseconds(5'000));
  }
  std::uint64_t Next() {
    draw_ += 0x9e3779b97f4a7c15ULL;
    std::uint64_t z = draw_;
    z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
    z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
    return z ^ (z >> 31);
  }
  void Pass(Milliseconds span) {
    now += span;
    spread_.Tick(now);
  }
  // One run, answered after so long.
  Choice Run(Milliseconds took, RequestOutcome end = RequestOutcome::kSuccess, RequestTraits run = {}) {
    const auto start = spread_.ChooseEndpoint(now, run);
    now += took;
    spread_.OnRequestFinished(now, start->endpoint, run, end, took);
    spread_.Tick(now);
    return *start;
  }
  // Until all are well known.
  void Warm(std::size_t runs) {
    for (std::size_t i = 0; i < runs; ++i) Run(Milliseconds(10));
  }
  LoadBalancer& spread() { return spread_; }
  Milliseconds now{1e7};

 private:
  std::uint64_t draw_;
  LoadBalancer spread_;
};

TEST(LoadBalancer, EveryWayChoosesOnlyWhatIsTold) {
  EXPECT_TRUE(rc::check([] {
    LoadBalancerOptions options;
    options.policy = static_cast<Policy>(*rc::gen::inRange(0, static_cast<int>(kPolicies)));
    options.subset_size = *rc::gen::inRange<std::size_t>(1, 6);
    Table table(*rc::gen::inRange<std::size_t>(1, 9), options, *rc::gen::inRange<std::uint64_t>(1, 1 << 20));
    LoadBalancer& spread = table.spread();
    std::vector<std::pair<EndpointId, RequestTraits>> open;
    std::uint64_t starts = 0, repeats = 0;
    std::size_t aside_before = 0;
    for (int step = 0; step < 300; ++step) {
      table.now += Milliseconds(*rc::gen::inRange(0, 300));
      const auto any = [&] { return spread.endpoints()[table.Next() % spread.endpoints().size()]; };
      switch (*rc::gen::inRange(0, 8)) {
        case 0:
          spread.SetConnected(table.now, any(), table.Next() % 3 != 0);
          break;
        case 1: {
          auto services = Services(1 + table.Next() % 9);
          std::rotate(services.begin(),
                      services.begin() + static_cast<std::ptrdiff_t>(table.Next() % services.size()),
                      services.end());
          spread.SetEndpoints(table.now, services);
          break;
        }
        case 2:
          spread.OnLoadReport(table.now, any(), static_cast<double>(table.Next() % 20),
                              table.now - Milliseconds(5));
          break;
        case 3:
          for (const EndpointId id : spread.EndpointsToPoll(table.now))
            RC_ASSERT(spread.Snapshot(table.now, id).state != EndpointState::kDisconnected);
          break;
        case 4:
          if (!open.empty()) {
            spread.OnRequestFinished(table.now, open.back().first, open.back().second,
                                     static_cast<RequestOutcome>(table.Next() % 3),
                                     Milliseconds(static_cast<double>(table.Next() % 200)));
            open.pop_back();
          }
          break;
        default: {
          RequestTraits run{static_cast<std::uint32_t>(table.Next() % 3), table.Next() % 4 != 0};
          EndpointId not_at = kNoEndpoint;
          if (table.Next() % 8 == 0 && spread.TryConsumeRetry()) {
            not_at = any();
            ++repeats;
          }
          const auto start = spread.ChooseEndpoint(table.now, run, not_at);
          bool any_up = false;
          for (const EndpointId id : spread.endpoints())
            any_up = any_up || spread.Snapshot(table.now, id).state != EndpointState::kDisconnected;
          RC_ASSERT(start.has_value() == any_up);
          if (!start) break;
          ++starts;
          const auto look = spread.Snapshot(table.now, start->endpoint);
          RC_ASSERT(!look.name.empty() && look.state != EndpointState::kDisconnected);
          if (start->reason == ChoiceReason::kHalfOpenProbe)
            RC_ASSERT(run.is_idempotent && look.local_in_flight == 1u);
          open.emplace_back(start->endpoint, run);
        }
      }
      spread.Tick(table.now);
      std::size_t aside = 0, up = 0;
      for (const EndpointId id : spread.active_endpoints()) {
        const auto standing = spread.Snapshot(table.now, id).state;
        up += standing != EndpointState::kDisconnected ? 1 : 0;
        aside += standing == EndpointState::kEjected || standing == EndpointState::kHalfOpen ? 1 : 0;
      }
      // What is aside may stay so while others leave; more are put aside below the cap alone.
      if (aside > aside_before) {
        RC_ASSERT(static_cast<double>(aside) <= options.max_ejected_fraction * static_cast<double>(up));
      }
      aside_before = aside;
      RC_ASSERT(static_cast<double>(repeats) <=
                options.max_retry_budget + options.retry_budget_fraction * static_cast<double>(starts));
      RC_ASSERT(spread.recent_choices().size() <= options.max_recent_choices);
    }
  }));
}

TEST(LoadBalancer, OneThatFailsAtOnceIsPutAsideThoughItLooksIdle) {
  Table table(8);
  LoadBalancer& spread = table.spread();
  table.Warm(200);
  const EndpointId hole = spread.active_endpoints().front();
  std::size_t at_hole = 0;
  for (int i = 0; i < 400; ++i) {
    const auto start = spread.ChooseEndpoint(table.now, {});
    const bool bad = start->endpoint == hole;
    at_hole += bad ? 1 : 0;
    table.now += Milliseconds(bad ? 0.2 : 10);
    spread.OnRequestFinished(table.now, start->endpoint, {},
                             bad ? RequestOutcome::kError : RequestOutcome::kSuccess,
                             Milliseconds(bad ? 0.2 : 10));
    spread.OnLoadReport(table.now, hole, 0, table.now);
    spread.Tick(table.now);
  }
  // An eighth of 400 is 50.
  EXPECT_LT(at_hole, 25u);
  const auto look = spread.Snapshot(table.now, hole);
  EXPECT_EQ(look.ejection_cause, EjectionCause::kErrorRate);
  EXPECT_GE(look.ejections, 2u);  // A trial failed.
}

TEST(LoadBalancer, WhatFailsEverywherePutsNobodyAside) {
  Table table(8);
  table.Warm(200);
  for (int i = 0; i < 300; ++i)
    table.Run(Milliseconds(10), i % 3 != 0 ? RequestOutcome::kError : RequestOutcome::kSuccess);
  EXPECT_EQ(table.spread().counters().ejections, 0u);
}

TEST(LoadBalancer, OneThatIsSlowIsPutAsideAndComesBackBySingleRuns) {
  Table table(8);
  LoadBalancer& spread = table.spread();
  table.Warm(300);
  const EndpointId slow = spread.active_endpoints()[2];
  const auto run = [&](double factor) {
    const auto start = spread.ChooseEndpoint(table.now, {});
    const Milliseconds took(start->endpoint == slow ? 10 * factor : 10);
    table.now += took;
    spread.OnRequestFinished(table.now, start->endpoint, {}, RequestOutcome::kSuccess, took);
    spread.Tick(table.now);
    return *start;
  };
  // It is chosen less at once; only what is still tried there can tell.
  for (int i = 0; i < 4'000 && spread.Snapshot(table.now, slow).state != EndpointState::kEjected; ++i) run(8);
  ASSERT_EQ(spread.Snapshot(table.now, slow).ejection_cause, EjectionCause::kLatency);
  // Writes are never trials.
  table.now += Milliseconds(1'300);
  spread.Tick(table.now);
  ASSERT_EQ(spread.Snapshot(table.now, slow).state, EndpointState::kHalfOpen);
  for (int i = 0; i < 30; ++i) {
    const RequestTraits write{0, false};
    const auto start = spread.ChooseEndpoint(table.now, write);
    EXPECT_NE(start->endpoint, slow);
    spread.OnRequestFinished(table.now, start->endpoint, write, RequestOutcome::kSuccess, Milliseconds(10));
  }
  std::size_t trials = 0;
  for (int i = 0; i < 10; ++i) trials += run(1).reason == ChoiceReason::kHalfOpenProbe ? 1 : 0;
  EXPECT_EQ(trials, 3u);
  EXPECT_NE(spread.Snapshot(table.now, slow).state, EndpointState::kHalfOpen);
  EXPECT_EQ(spread.counters().recoveries, 1u);
}

TEST(LoadBalancer, ASilentOneIsPutAside) {
  Table table(4);
  LoadBalancer& spread = table.spread();
  table.Warm(100);
  const auto start = spread.ChooseEndpoint(table.now, {});
  for (int i = 0; i < 300; ++i) {
    const auto other = spread.ChooseEndpoint(table.now, {});
    table.now += Milliseconds(10);
    if (other->endpoint == start->endpoint) continue;
    spread.OnRequestFinished(table.now, other->endpoint, {}, RequestOutcome::kSuccess, Milliseconds(10));
    spread.Tick(table.now);
  }
  EXPECT_EQ(spread.Snapshot(table.now, start->endpoint).ejection_cause, EjectionCause::kUnresponsive);
}

TEST(LoadBalancer, AThirdAtMostIsPutAsideAndOfFewNobody) {
  for (const std::size_t count : {1u, 2u, 3u, 9u}) {
    LoadBalancerOptions options;
    options.subset_size = 9;
    Table table(count, options);
    LoadBalancer& spread = table.spread();
    table.Warm(300);
    for (int i = 0; i < 600; ++i) {
      const auto start = spread.ChooseEndpoint(table.now, {});
      // All but the last are slow, by different times.
      const bool well = start->endpoint == spread.active_endpoints().back();
      const Milliseconds took(well ? 10 : 100);
      table.now += took;
      spread.OnRequestFinished(table.now, start->endpoint, {},
                               well ? RequestOutcome::kSuccess : RequestOutcome::kError, took);
      spread.Tick(table.now);
      std::size_t aside = 0;
      for (const EndpointId id : spread.active_endpoints()) {
        const auto standing = spread.Snapshot(table.now, id).state;
        aside += standing == EndpointState::kEjected || standing == EndpointState::kHalfOpen ? 1 : 0;
      }
      ASSERT_LE(aside, count * 34 / 100) << count;
    }
  }
}

TEST(LoadBalancer, AllAsideAreUsedAsIfNoneWere) {
  LoadBalancerOptions options;
  options.max_ejected_fraction = 1;
  Table table(3, options);
  LoadBalancer& spread = table.spread();
  table.Warm(200);
  // Nobody answers.
  for (int i = 0; i < 60; ++i) {
    ASSERT_TRUE(spread.ChooseEndpoint(table.now, {0, false}).has_value());
    table.Pass(Milliseconds(100));
  }
  EXPECT_GT(spread.counters().all_ejected_choices, 10u);
}

TEST(LoadBalancer, OneThatIsBackGetsMoreAsItAnswers) {
  Table table(2);
  LoadBalancer& spread = table.spread();
  table.Warm(300);
  const EndpointId back = spread.active_endpoints()[1];
  spread.SetConnected(table.now, back, false);
  for (int i = 0; i < 50; ++i) EXPECT_NE(table.Run(Milliseconds(10)).endpoint, back);
  spread.SetConnected(table.now, back, true);
  // It says that it has nothing to do, and all others are busy.
  std::size_t open = 0, most_open = 0;
  for (int i = 0; i < 40; ++i) {
    for (const EndpointId id : spread.active_endpoints())
      spread.OnLoadReport(table.now, id, id == back ? 0 : 6, table.now);
    const auto start = spread.ChooseEndpoint(table.now, {});
    if (start->endpoint == back) {
      most_open = std::max(most_open, ++open);
    } else {
      spread.OnRequestFinished(table.now, start->endpoint, {}, RequestOutcome::kSuccess, Milliseconds(10));
    }
    table.now += Milliseconds(1);
  }
  // It has answered nothing yet: one run at a time, whatever it says.
  EXPECT_LE(most_open, 1u);
  for (std::size_t i = 0; i < open; ++i)
    spread.OnRequestFinished(table.now, back, {}, RequestOutcome::kSuccess, Milliseconds(10));
  for (int i = 0; i < 200; ++i) table.Run(Milliseconds(10));
  EXPECT_EQ(spread.Snapshot(table.now, back).state, EndpointState::kHealthy);
}

TEST(LoadBalancer, ManyThatHearOfAReturnDoNotStartAtOnce) {
  // 200 nodes share each; each waits for a time of its own.
  LoadBalancerOptions options;
  options.subset_size = 2;
  std::size_t at_once = 0;
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    Table table(2, options, seed * 977);
    LoadBalancer& spread = table.spread();
    spread.SetNodes(table.now, Nodes(200));
    table.Warm(200);
    const EndpointId back = spread.active_endpoints()[1];
    spread.SetConnected(table.now, back, false);
    spread.SetConnected(table.now, back, true);
    for (int i = 0; i < 3; ++i) at_once += spread.ChooseEndpoint(table.now, {})->endpoint == back ? 1 : 0;
  }
  EXPECT_LT(at_once, 20u);
}

TEST(LoadBalancer, AnOldFigureGivesWayToTheMeanOfAll) {
  LoadBalancerOptions options;
  options.policy = Policy::kTwoChoicesReportedLoad;
  Table table(4, options);
  LoadBalancer& spread = table.spread();
  table.Warm(100);
  const auto& ids = spread.active_endpoints();
  for (const EndpointId id : ids) spread.OnLoadReport(table.now, id, id == ids[0] ? 0 : 8, table.now);
  EXPECT_NEAR(spread.Snapshot(table.now, ids[0]).estimated_load, 0, 0.01);
  table.now += options.load_report_half_life;
  EXPECT_NEAR(spread.Snapshot(table.now, ids[0]).estimated_load, 3, 0.01);
  table.now += options.load_report_half_life * 5;
  EXPECT_NEAR(spread.Snapshot(table.now, ids[0]).estimated_load, 6, 0.3);
  // Its own starts since count at once.
  spread.ChooseEndpoint(table.now, {});
  double most = 0;
  for (const EndpointId id : ids) most = std::max(most, spread.Snapshot(table.now, id).estimated_load);
  EXPECT_GT(most, 6.5);
}

TEST(LoadBalancer, ANodeWhoseServicesAreAllBusyUsesMoreAndLaterFewerAgain) {
  LoadBalancerOptions options;
  options.subset_size = 2;
  Table table(6, options);
  LoadBalancer& spread = table.spread();
  table.Warm(50);
  ASSERT_EQ(spread.active_endpoints().size(), 2u);
  for (int i = 0; i < 20; ++i) {
    for (const EndpointId id : spread.active_endpoints()) spread.OnLoadReport(table.now, id, 9, table.now);
    table.Pass(Milliseconds(60));
  }
  EXPECT_EQ(spread.active_endpoints().size(), 6u);
  for (int i = 0; i < 400; ++i) {
    for (const EndpointId id : spread.active_endpoints()) spread.OnLoadReport(table.now, id, 0, table.now);
    table.Pass(Milliseconds(100));
  }
  EXPECT_EQ(spread.active_endpoints().size(), 2u);
}

TEST(LoadBalancer, NobodyIsLeftUntried) {
  for (std::size_t w = 0; w < kPolicies; ++w) {
    LoadBalancerOptions options;
    options.policy = static_cast<Policy>(w);
    Table table(8, options);
    LoadBalancer& spread = table.spread();
    table.Warm(100);
    std::map<EndpointId, Milliseconds> touched;
    for (const EndpointId id : spread.active_endpoints()) touched[id] = table.now;
    Milliseconds longest{0};
    // One says that it is full, and stays so.
    for (int i = 0; i < 3'000; ++i) {
      touched[table.Run(Milliseconds(5)).endpoint] = table.now;
      for (const EndpointId id : spread.EndpointsToPoll(table.now)) {
        touched[id] = table.now;
        spread.OnLoadReport(table.now, id, id == spread.active_endpoints()[0] ? 50 : 0, table.now);
      }
      for (const auto& [id, at] : touched) longest = std::max(longest, table.now - at);
    }
    EXPECT_LE(longest.count(), options.max_unprobed_time.count() * 1.5) << PolicyName(options.policy);
  }
}

TEST(LoadBalancer, OneThatIsBackIsDrawnSeldomAtFirst) {
  std::size_t chosen = 0;
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    LoadBalancerOptions options;
    options.reaction_delay_factor = 0;
    Table table(8, options, seed * 31);
    LoadBalancer& spread = table.spread();
    table.Warm(100);
    const EndpointId back = spread.active_endpoints()[3];
    spread.SetConnected(table.now, back, false);
    spread.SetConnected(table.now, back, true);
    chosen += spread.ChooseEndpoint(table.now, {})->endpoint == back ? 1 : 0;
  }
  // One of eight would have 12, and the idle one of two drawn 25.
  EXPECT_LT(chosen, 6u);
}

TEST(LoadBalancer, TheTimeAsideDoublesAndIsForgivenWhenItWasWellForLong) {
  Table table(8);
  LoadBalancer& spread = table.spread();
  table.Warm(200);
  const EndpointId bad = spread.active_endpoints()[4];
  Milliseconds longest{0};
  const auto runs = [&](int count, bool fails) {
    for (int i = 0; i < count; ++i) {
      const auto start = spread.ChooseEndpoint(table.now, {});
      const bool error = fails && start->endpoint == bad;
      table.now += Milliseconds(10);
      spread.OnRequestFinished(table.now, start->endpoint, {},
                               error ? RequestOutcome::kError : RequestOutcome::kSuccess, Milliseconds(10));
      spread.Tick(table.now);
      longest = std::max(longest, spread.Snapshot(table.now, bad).ejection_time_left);
    }
  };
  runs(1'500, true);
  EXPECT_GT(longest.count(), 3 * 1.25 * 1'000);
  runs(6'000, false);
  longest = Milliseconds(0);
  for (int i = 0; i < 400 && longest.count() == 0; ++i) runs(1, true);
  EXPECT_GT(longest.count(), 500);
  EXPECT_LT(longest.count(), 1'251);
}

TEST(LoadBalancer, NodesThatJudgedAlikeDoNotReturnAlike) {
  std::set<double> times;
  for (std::uint64_t seed = 1; seed <= 8; ++seed) {
    Table table(8, {}, seed);
    LoadBalancer& spread = table.spread();
    table.Warm(200);
    const EndpointId bad = spread.active_endpoints()[0];
    for (int i = 0; i < 2'000 && spread.Snapshot(table.now, bad).state != EndpointState::kEjected; ++i) {
      const auto start = spread.ChooseEndpoint(table.now, {});
      // It refuses all: it never fails, and it does no work either.
      spread.OnRequestFinished(
          table.now, start->endpoint, {},
          start->endpoint == bad ? RequestOutcome::kNotExecuted : RequestOutcome::kSuccess, Milliseconds(10));
      table.now += Milliseconds(10);
    }
    ASSERT_EQ(spread.Snapshot(table.now, bad).state, EndpointState::kEjected);
    times.insert(std::round(spread.Snapshot(table.now, bad).ejection_time_left.count() / 20));
  }
  EXPECT_GT(times.size(), 4u);
}

TEST(LoadBalancer, ANodeWithMuchTrafficUsesMoreThoughNothingIsBusy) {
  LoadBalancerOptions options;
  options.subset_size = 2;
  Table table(8, options);
  LoadBalancer& spread = table.spread();
  spread.SetNodes(table.now, Nodes(40));
  table.Warm(50);
  const std::size_t before = spread.active_endpoints().size();
  for (int i = 0; i < 12; ++i) {
    for (const EndpointId id : spread.active_endpoints()) spread.OnLoadReport(table.now, id, 0, table.now);
    spread.ChooseEndpoint(table.now, {});
    table.now += Milliseconds(200);
  }
  EXPECT_GT(spread.active_endpoints().size(), before + 1);
}

TEST(LoadBalancer, FiguresCountFromWhenTheyWereAskedFor) {
  LoadBalancerOptions options;
  options.policy = Policy::kTwoChoicesReportedLoad;
  Table table(2, options);
  LoadBalancer& spread = table.spread();
  table.Warm(50);
  table.now += Milliseconds(5'000);
  spread.EndpointsToPoll(table.now);
  const Milliseconds asked = table.now;
  const EndpointId one = spread.active_endpoints()[0], other = spread.active_endpoints()[1];
  std::uint64_t own = 0;
  for (int i = 0; i < 6; ++i) own += spread.ChooseEndpoint(table.now, {})->endpoint == one ? 1 : 0;
  ASSERT_GT(own, 0u);
  spread.OnLoadReport(table.now, one, 10, asked);
  spread.OnLoadReport(table.now, other, 10, asked);
  // What was started since it was asked comes on top.
  EXPECT_NEAR(spread.Snapshot(table.now, one).estimated_load, 10 + static_cast<double>(own), 0.1);
  // An older answer that comes later changes nothing.
  spread.OnLoadReport(table.now, one, 0, asked - Milliseconds(50));
  EXPECT_NEAR(spread.Snapshot(table.now, one).estimated_load, 10 + static_cast<double>(own), 0.1);
  // The mean that an old figure gives way to is of the newest figures, at the same moment, too.
  table.now += Milliseconds(600);
  spread.OnLoadReport(table.now, other, 20, table.now);
  const double high = spread.Snapshot(table.now, one).estimated_load;
  table.now += Milliseconds(0.001);
  spread.OnLoadReport(table.now, other, 20, table.now);
  static_cast<void>(spread.Snapshot(table.now, one));
  spread.OnLoadReport(table.now, other, 0, table.now);
  EXPECT_LT(spread.Snapshot(table.now, one).estimated_load, high - 5);
}

TEST(LoadBalancer, ARepeatGoesElsewhereAndAServiceThatComesBackKeepsItsRuns) {
  Table table(3);
  LoadBalancer& spread = table.spread();
  table.Warm(100);
  const EndpointId first = spread.active_endpoints()[0];
  for (int i = 0; i < 60; ++i) {
    const auto start = spread.ChooseEndpoint(table.now, {}, first);
    EXPECT_NE(start->endpoint, first);
    spread.OnRequestFinished(table.now, start->endpoint, {}, RequestOutcome::kSuccess, Milliseconds(10));
  }
  const auto start = spread.ChooseEndpoint(table.now, {});
  const std::string name = spread.Snapshot(table.now, start->endpoint).name;
  auto fewer = Services(3);
  std::erase_if(fewer, [&](const SubsetEndpoint& s) { return s.name == name; });
  spread.SetEndpoints(table.now, fewer);
  spread.SetEndpoints(table.now, Services(3));
  EXPECT_EQ(spread.FindEndpoint(name), start->endpoint);
  EXPECT_EQ(spread.Snapshot(table.now, start->endpoint).local_in_flight, 1u);
}

}  // namespace
}  // namespace hingelink::decide
