// Subsets and choices: what holds whatever comes.
#include "decide/spread.h"

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
std::vector<SubsetService> Services(std::size_t count, std::size_t zones = 1, double capacity = 1) {
  std::vector<SubsetService> services;
  for (std::size_t i = 0; i < count; ++i)
    services.push_back({"s" + std::to_string(i), "z" + std::to_string(i % zones), capacity});
  return services;
}

// Pairs of names.
std::set<std::pair<std::string, std::string>> Pairs(const std::vector<SubsetNode>& nodes,
                                                    const std::vector<SubsetService>& services,
                                                    std::size_t size) {
  std::set<std::pair<std::string, std::string>> pairs;
  const auto subsets = Subsets(nodes, services, size);
  for (std::size_t n = 0; n < nodes.size(); ++n) {
    for (const std::uint32_t s : subsets[n]) pairs.emplace(nodes[n].name, services[s].name);
  }
  return pairs;
}

TEST(Subset, EveryServiceHasItsShareWithinOneAndEveryNodeItsNumber) {
  EXPECT_TRUE(rc::check([] {
    const auto count = *rc::gen::inRange<std::size_t>(1, 60);
    const auto zones = *rc::gen::inRange<std::size_t>(1, 4);
    const auto size = *rc::gen::inRange<std::size_t>(1, 12);
    const auto nodes = Nodes(count, zones);
    auto services = Services(*rc::gen::inRange<std::size_t>(1, 30), *rc::gen::inRange<std::size_t>(1, 4));
    for (SubsetService& s : services) s.capacity = *rc::gen::inRange(1, 4);
    const auto subsets = Subsets(nodes, services, size);
    const std::size_t each = std::min(size, services.size());
    std::vector<std::size_t> used(services.size(), 0);
    for (const auto& row : subsets) {
      RC_ASSERT(row.size() == each);
      RC_ASSERT(std::set<std::uint32_t>(row.begin(), row.end()).size() == row.size());
      for (const std::uint32_t s : row) ++used[s];
    }
    RC_ASSERT(used == PlacesOf(count, services, size));
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

TEST(Subset, AJoinOrALeaveMovesNearTheLeast) {
  for (const std::size_t count : {10u, 50u, 300u}) {
    auto nodes = Nodes(count);
    auto services = Services(40);
    const auto before = Pairs(nodes, services, 8);
    const auto moved = [&](const std::vector<SubsetNode>& n, const std::vector<SubsetService>& s) {
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

TEST(Subset, AZoneIsUsedFirstAndWhatItLacksIsTakenElsewhere) {
  // Half the nodes in each zone, a quarter of the services in the first.
  const auto nodes = Nodes(40, 2);
  std::vector<SubsetService> services;
  for (std::size_t i = 0; i < 20; ++i) services.push_back({"s" + std::to_string(i), i < 5 ? "z0" : "z1", 1});
  const auto subsets = Subsets(nodes, services, 4);
  for (std::size_t n = 0; n < nodes.size(); ++n) {
    const auto home = std::count_if(subsets[n].begin(), subsets[n].end(),
                                    [&](std::uint32_t s) { return services[s].zone == nodes[n].zone; });
    EXPECT_EQ(home, nodes[n].zone == "z1" ? 4 : 2);
  }
}

// A node with services that answer as they are told.
class Table {
 public:
  explicit Table(std::size_t services, SpreadOptions options = {}, std::uint64_t seed = 7)
      : draw_(seed), spread_(options, "n0", "", [this] { return Next(); }) {
    spread_.SetServices(now, Services(services));
    for (const Spread::Id id : spread_.all()) spread_.SetUp(now, id, true);
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
  Spread::Start Run(Milliseconds took, RunEndsAs end = RunEndsAs::kWell, SpreadRun run = {}) {
    const auto start = spread_.Choose(now, run);
    now += took;
    spread_.Ended(now, start->service, run, end, took);
    spread_.Tick(now);
    return *start;
  }
  // Until all are well known.
  void Warm(std::size_t runs) {
    for (std::size_t i = 0; i < runs; ++i) Run(Milliseconds(10));
  }
  Spread& spread() { return spread_; }
  Milliseconds now{1e7};

 private:
  std::uint64_t draw_;
  Spread spread_;
};

TEST(Spread, EveryWayChoosesOnlyWhatIsTold) {
  EXPECT_TRUE(rc::check([] {
    SpreadOptions options;
    options.way = static_cast<Way>(*rc::gen::inRange(0, static_cast<int>(kWays)));
    options.subset = *rc::gen::inRange<std::size_t>(1, 6);
    Table table(*rc::gen::inRange<std::size_t>(1, 9), options, *rc::gen::inRange<std::uint64_t>(1, 1 << 20));
    Spread& spread = table.spread();
    std::vector<std::pair<Spread::Id, SpreadRun>> open;
    std::uint64_t starts = 0, repeats = 0;
    std::size_t aside_before = 0;
    for (int step = 0; step < 300; ++step) {
      table.now += Milliseconds(*rc::gen::inRange(0, 300));
      const auto any = [&] { return spread.all()[table.Next() % spread.all().size()]; };
      switch (*rc::gen::inRange(0, 8)) {
        case 0:
          spread.SetUp(table.now, any(), table.Next() % 3 != 0);
          break;
        case 1: {
          auto services = Services(1 + table.Next() % 9);
          std::rotate(services.begin(),
                      services.begin() + static_cast<std::ptrdiff_t>(table.Next() % services.size()),
                      services.end());
          spread.SetServices(table.now, services);
          break;
        }
        case 2:
          spread.Told(table.now, any(), static_cast<double>(table.Next() % 20), table.now - Milliseconds(5));
          break;
        case 3:
          for (const Spread::Id id : spread.ToAsk(table.now))
            RC_ASSERT(spread.LookAt(table.now, id).standing != Standing::kDown);
          break;
        case 4:
          if (!open.empty()) {
            spread.Ended(table.now, open.back().first, open.back().second,
                         static_cast<RunEndsAs>(table.Next() % 3),
                         Milliseconds(static_cast<double>(table.Next() % 200)));
            open.pop_back();
          }
          break;
        default: {
          SpreadRun run{static_cast<std::uint32_t>(table.Next() % 3), table.Next() % 4 != 0};
          Spread::Id not_at = Spread::kNone;
          if (table.Next() % 8 == 0 && spread.MayRepeat()) {
            not_at = any();
            ++repeats;
          }
          const auto start = spread.Choose(table.now, run, not_at);
          bool any_up = false;
          for (const Spread::Id id : spread.all())
            any_up = any_up || spread.LookAt(table.now, id).standing != Standing::kDown;
          RC_ASSERT(start.has_value() == any_up);
          if (!start) break;
          ++starts;
          const auto look = spread.LookAt(table.now, start->service);
          RC_ASSERT(!look.name.empty() && look.standing != Standing::kDown);
          if (start->why == Why::kTrial) RC_ASSERT(run.safe && look.own == 1u);
          open.emplace_back(start->service, run);
        }
      }
      spread.Tick(table.now);
      std::size_t aside = 0, up = 0;
      for (const Spread::Id id : spread.in_use()) {
        const auto standing = spread.LookAt(table.now, id).standing;
        up += standing != Standing::kDown ? 1 : 0;
        aside += standing == Standing::kAside || standing == Standing::kTrial ? 1 : 0;
      }
      // What is aside may stay so while others leave; more are put aside below the cap alone.
      if (aside > aside_before) {
        RC_ASSERT(static_cast<double>(aside) <= options.aside_share * static_cast<double>(up));
      }
      aside_before = aside;
      RC_ASSERT(static_cast<double>(repeats) <=
                options.most_repeats + options.repeat_share * static_cast<double>(starts));
      RC_ASSERT(spread.recent().size() <= options.most_recent);
    }
  }));
}

TEST(Spread, OneThatFailsAtOnceIsPutAsideThoughItLooksIdle) {
  Table table(8);
  Spread& spread = table.spread();
  table.Warm(200);
  const Spread::Id hole = spread.in_use().front();
  std::size_t at_hole = 0;
  for (int i = 0; i < 400; ++i) {
    const auto start = spread.Choose(table.now, {});
    const bool bad = start->service == hole;
    at_hole += bad ? 1 : 0;
    table.now += Milliseconds(bad ? 0.2 : 10);
    spread.Ended(table.now, start->service, {}, bad ? RunEndsAs::kError : RunEndsAs::kWell,
                 Milliseconds(bad ? 0.2 : 10));
    spread.Told(table.now, hole, 0, table.now);
    spread.Tick(table.now);
  }
  // An eighth of 400 is 50.
  EXPECT_LT(at_hole, 25u);
  const auto look = spread.LookAt(table.now, hole);
  EXPECT_EQ(look.fault, Fault::kErrors);
  EXPECT_GE(look.asides, 2u);  // A trial failed.
}

TEST(Spread, WhatFailsEverywherePutsNobodyAside) {
  Table table(8);
  table.Warm(200);
  for (int i = 0; i < 300; ++i)
    table.Run(Milliseconds(10), i % 3 != 0 ? RunEndsAs::kError : RunEndsAs::kWell);
  EXPECT_EQ(table.spread().counts().asides, 0u);
}

TEST(Spread, OneThatIsSlowIsPutAsideAndComesBackBySingleRuns) {
  Table table(8);
  Spread& spread = table.spread();
  table.Warm(300);
  const Spread::Id slow = spread.in_use()[2];
  const auto run = [&](double factor) {
    const auto start = spread.Choose(table.now, {});
    const Milliseconds took(start->service == slow ? 10 * factor : 10);
    table.now += took;
    spread.Ended(table.now, start->service, {}, RunEndsAs::kWell, took);
    spread.Tick(table.now);
    return *start;
  };
  // It is chosen less at once; only what is still tried there can tell.
  for (int i = 0; i < 4'000 && spread.LookAt(table.now, slow).standing != Standing::kAside; ++i) run(8);
  ASSERT_EQ(spread.LookAt(table.now, slow).fault, Fault::kLatency);
  // Writes are never trials.
  table.now += Milliseconds(1'300);
  spread.Tick(table.now);
  ASSERT_EQ(spread.LookAt(table.now, slow).standing, Standing::kTrial);
  for (int i = 0; i < 30; ++i) {
    const SpreadRun write{0, false};
    const auto start = spread.Choose(table.now, write);
    EXPECT_NE(start->service, slow);
    spread.Ended(table.now, start->service, write, RunEndsAs::kWell, Milliseconds(10));
  }
  std::size_t trials = 0;
  for (int i = 0; i < 10; ++i) trials += run(1).why == Why::kTrial ? 1 : 0;
  EXPECT_EQ(trials, 3u);
  EXPECT_NE(spread.LookAt(table.now, slow).standing, Standing::kTrial);
  EXPECT_EQ(spread.counts().returns, 1u);
}

TEST(Spread, ASilentOneIsPutAside) {
  Table table(4);
  Spread& spread = table.spread();
  table.Warm(100);
  const auto start = spread.Choose(table.now, {});
  for (int i = 0; i < 300; ++i) {
    const auto other = spread.Choose(table.now, {});
    table.now += Milliseconds(10);
    if (other->service == start->service) continue;
    spread.Ended(table.now, other->service, {}, RunEndsAs::kWell, Milliseconds(10));
    spread.Tick(table.now);
  }
  EXPECT_EQ(spread.LookAt(table.now, start->service).fault, Fault::kSilence);
}

TEST(Spread, AThirdAtMostIsPutAsideAndOfFewNobody) {
  for (const std::size_t count : {1u, 2u, 3u, 9u}) {
    SpreadOptions options;
    options.subset = 9;
    Table table(count, options);
    Spread& spread = table.spread();
    table.Warm(300);
    for (int i = 0; i < 600; ++i) {
      const auto start = spread.Choose(table.now, {});
      // All but the last are slow, by different times.
      const bool well = start->service == spread.in_use().back();
      const Milliseconds took(well ? 10 : 100);
      table.now += took;
      spread.Ended(table.now, start->service, {}, well ? RunEndsAs::kWell : RunEndsAs::kError, took);
      spread.Tick(table.now);
      std::size_t aside = 0;
      for (const Spread::Id id : spread.in_use()) {
        const auto standing = spread.LookAt(table.now, id).standing;
        aside += standing == Standing::kAside || standing == Standing::kTrial ? 1 : 0;
      }
      ASSERT_LE(aside, count * 34 / 100) << count;
    }
  }
}

TEST(Spread, AllAsideAreUsedAsIfNoneWere) {
  SpreadOptions options;
  options.aside_share = 1;
  Table table(3, options);
  Spread& spread = table.spread();
  table.Warm(200);
  // Nobody answers.
  for (int i = 0; i < 60; ++i) {
    ASSERT_TRUE(spread.Choose(table.now, {0, false}).has_value());
    table.Pass(Milliseconds(100));
  }
  EXPECT_GT(spread.counts().all_aside, 10u);
}

TEST(Spread, OneThatIsBackGetsMoreAsItAnswers) {
  Table table(2);
  Spread& spread = table.spread();
  table.Warm(300);
  const Spread::Id back = spread.in_use()[1];
  spread.SetUp(table.now, back, false);
  for (int i = 0; i < 50; ++i) EXPECT_NE(table.Run(Milliseconds(10)).service, back);
  spread.SetUp(table.now, back, true);
  // It says that it has nothing to do, and all others are busy.
  std::size_t open = 0, most_open = 0;
  for (int i = 0; i < 40; ++i) {
    for (const Spread::Id id : spread.in_use()) spread.Told(table.now, id, id == back ? 0 : 6, table.now);
    const auto start = spread.Choose(table.now, {});
    if (start->service == back) {
      most_open = std::max(most_open, ++open);
    } else {
      spread.Ended(table.now, start->service, {}, RunEndsAs::kWell, Milliseconds(10));
    }
    table.now += Milliseconds(1);
  }
  // It has answered nothing yet: one run at a time, whatever it says.
  EXPECT_LE(most_open, 1u);
  for (std::size_t i = 0; i < open; ++i)
    spread.Ended(table.now, back, {}, RunEndsAs::kWell, Milliseconds(10));
  for (int i = 0; i < 200; ++i) table.Run(Milliseconds(10));
  EXPECT_EQ(spread.LookAt(table.now, back).standing, Standing::kGood);
}

TEST(Spread, ManyThatHearOfAReturnDoNotStartAtOnce) {
  // 200 nodes share each; each waits for a time of its own.
  SpreadOptions options;
  options.subset = 2;
  std::size_t at_once = 0;
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    Table table(2, options, seed * 977);
    Spread& spread = table.spread();
    spread.SetNodes(table.now, Nodes(200));
    table.Warm(200);
    const Spread::Id back = spread.in_use()[1];
    spread.SetUp(table.now, back, false);
    spread.SetUp(table.now, back, true);
    for (int i = 0; i < 3; ++i) at_once += spread.Choose(table.now, {})->service == back ? 1 : 0;
  }
  EXPECT_LT(at_once, 20u);
}

TEST(Spread, AnOldFigureGivesWayToTheMeanOfAll) {
  SpreadOptions options;
  options.way = Way::kTwoAsked;
  Table table(4, options);
  Spread& spread = table.spread();
  table.Warm(100);
  const auto& ids = spread.in_use();
  for (const Spread::Id id : ids) spread.Told(table.now, id, id == ids[0] ? 0 : 8, table.now);
  EXPECT_NEAR(spread.LookAt(table.now, ids[0]).believed, 0, 0.01);
  table.now += options.old;
  EXPECT_NEAR(spread.LookAt(table.now, ids[0]).believed, 3, 0.01);
  table.now += options.old * 5;
  EXPECT_NEAR(spread.LookAt(table.now, ids[0]).believed, 6, 0.3);
  // Its own starts since count at once.
  spread.Choose(table.now, {});
  double most = 0;
  for (const Spread::Id id : ids) most = std::max(most, spread.LookAt(table.now, id).believed);
  EXPECT_GT(most, 6.5);
}

TEST(Spread, ANodeWhoseServicesAreAllBusyUsesMoreAndLaterFewerAgain) {
  SpreadOptions options;
  options.subset = 2;
  Table table(6, options);
  Spread& spread = table.spread();
  table.Warm(50);
  ASSERT_EQ(spread.in_use().size(), 2u);
  for (int i = 0; i < 20; ++i) {
    for (const Spread::Id id : spread.in_use()) spread.Told(table.now, id, 9, table.now);
    table.Pass(Milliseconds(60));
  }
  EXPECT_EQ(spread.in_use().size(), 6u);
  for (int i = 0; i < 400; ++i) {
    for (const Spread::Id id : spread.in_use()) spread.Told(table.now, id, 0, table.now);
    table.Pass(Milliseconds(100));
  }
  EXPECT_EQ(spread.in_use().size(), 2u);
}

TEST(Spread, NobodyIsLeftUntried) {
  for (std::size_t w = 0; w < kWays; ++w) {
    SpreadOptions options;
    options.way = static_cast<Way>(w);
    Table table(8, options);
    Spread& spread = table.spread();
    table.Warm(100);
    std::map<Spread::Id, Milliseconds> touched;
    for (const Spread::Id id : spread.in_use()) touched[id] = table.now;
    Milliseconds longest{0};
    // One says that it is full, and stays so.
    for (int i = 0; i < 3'000; ++i) {
      touched[table.Run(Milliseconds(5)).service] = table.now;
      for (const Spread::Id id : spread.ToAsk(table.now)) {
        touched[id] = table.now;
        spread.Told(table.now, id, id == spread.in_use()[0] ? 50 : 0, table.now);
      }
      for (const auto& [id, at] : touched) longest = std::max(longest, table.now - at);
    }
    EXPECT_LE(longest.count(), options.untried.count() * 1.5) << WayName(options.way);
  }
}

TEST(Spread, OneThatIsBackIsDrawnSeldomAtFirst) {
  std::size_t chosen = 0;
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    SpreadOptions options;
    options.reaction = 0;
    Table table(8, options, seed * 31);
    Spread& spread = table.spread();
    table.Warm(100);
    const Spread::Id back = spread.in_use()[3];
    spread.SetUp(table.now, back, false);
    spread.SetUp(table.now, back, true);
    chosen += spread.Choose(table.now, {})->service == back ? 1 : 0;
  }
  // One of eight would have 12, and the idle one of two drawn 25.
  EXPECT_LT(chosen, 6u);
}

TEST(Spread, TheTimeAsideDoublesAndIsForgivenWhenItWasWellForLong) {
  Table table(8);
  Spread& spread = table.spread();
  table.Warm(200);
  const Spread::Id bad = spread.in_use()[4];
  Milliseconds longest{0};
  const auto runs = [&](int count, bool fails) {
    for (int i = 0; i < count; ++i) {
      const auto start = spread.Choose(table.now, {});
      const bool error = fails && start->service == bad;
      table.now += Milliseconds(10);
      spread.Ended(table.now, start->service, {}, error ? RunEndsAs::kError : RunEndsAs::kWell,
                   Milliseconds(10));
      spread.Tick(table.now);
      longest = std::max(longest, spread.LookAt(table.now, bad).aside_for);
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

TEST(Spread, NodesThatJudgedAlikeDoNotReturnAlike) {
  std::set<double> times;
  for (std::uint64_t seed = 1; seed <= 8; ++seed) {
    Table table(8, {}, seed);
    Spread& spread = table.spread();
    table.Warm(200);
    const Spread::Id bad = spread.in_use()[0];
    for (int i = 0; i < 2'000 && spread.LookAt(table.now, bad).standing != Standing::kAside; ++i) {
      const auto start = spread.Choose(table.now, {});
      // It refuses all: it never fails, and it does no work either.
      spread.Ended(table.now, start->service, {},
                   start->service == bad ? RunEndsAs::kNeverRan : RunEndsAs::kWell, Milliseconds(10));
      table.now += Milliseconds(10);
    }
    ASSERT_EQ(spread.LookAt(table.now, bad).standing, Standing::kAside);
    times.insert(std::round(spread.LookAt(table.now, bad).aside_for.count() / 20));
  }
  EXPECT_GT(times.size(), 4u);
}

TEST(Spread, ANodeWithMuchTrafficUsesMoreThoughNothingIsBusy) {
  SpreadOptions options;
  options.subset = 2;
  Table table(8, options);
  Spread& spread = table.spread();
  spread.SetNodes(table.now, Nodes(40));
  table.Warm(50);
  const std::size_t before = spread.in_use().size();
  for (int i = 0; i < 12; ++i) {
    for (const Spread::Id id : spread.in_use()) spread.Told(table.now, id, 0, table.now);
    spread.Choose(table.now, {});
    table.now += Milliseconds(200);
  }
  EXPECT_GT(spread.in_use().size(), before + 1);
}

TEST(Spread, FiguresCountFromWhenTheyWereAskedFor) {
  SpreadOptions options;
  options.way = Way::kTwoAsked;
  Table table(2, options);
  Spread& spread = table.spread();
  table.Warm(50);
  table.now += Milliseconds(5'000);
  spread.ToAsk(table.now);
  const Milliseconds asked = table.now;
  const Spread::Id one = spread.in_use()[0], other = spread.in_use()[1];
  std::uint64_t own = 0;
  for (int i = 0; i < 6; ++i) own += spread.Choose(table.now, {})->service == one ? 1 : 0;
  ASSERT_GT(own, 0u);
  spread.Told(table.now, one, 10, asked);
  spread.Told(table.now, other, 10, asked);
  // What was started since it was asked comes on top.
  EXPECT_NEAR(spread.LookAt(table.now, one).believed, 10 + static_cast<double>(own), 0.1);
  // An older answer that comes later changes nothing.
  spread.Told(table.now, one, 0, asked - Milliseconds(50));
  EXPECT_NEAR(spread.LookAt(table.now, one).believed, 10 + static_cast<double>(own), 0.1);
  // The mean that an old figure gives way to is of the newest figures, at the same moment, too.
  table.now += Milliseconds(600);
  spread.Told(table.now, other, 20, table.now);
  const double high = spread.LookAt(table.now, one).believed;
  table.now += Milliseconds(0.001);
  spread.Told(table.now, other, 20, table.now);
  static_cast<void>(spread.LookAt(table.now, one));
  spread.Told(table.now, other, 0, table.now);
  EXPECT_LT(spread.LookAt(table.now, one).believed, high - 5);
}

TEST(Spread, ARepeatGoesElsewhereAndAServiceThatComesBackKeepsItsRuns) {
  Table table(3);
  Spread& spread = table.spread();
  table.Warm(100);
  const Spread::Id first = spread.in_use()[0];
  for (int i = 0; i < 60; ++i) {
    const auto start = spread.Choose(table.now, {}, first);
    EXPECT_NE(start->service, first);
    spread.Ended(table.now, start->service, {}, RunEndsAs::kWell, Milliseconds(10));
  }
  const auto start = spread.Choose(table.now, {});
  const std::string name = spread.LookAt(table.now, start->service).name;
  auto fewer = Services(3);
  std::erase_if(fewer, [&](const SubsetService& s) { return s.name == name; });
  spread.SetServices(table.now, fewer);
  spread.SetServices(table.now, Services(3));
  EXPECT_EQ(spread.Find(name), start->service);
  EXPECT_EQ(spread.LookAt(table.now, start->service).own, 1u);
}

}  // namespace
}  // namespace hingelink::decide
