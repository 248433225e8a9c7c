#include "decide/loops/core_pinning.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>

namespace hingelink::decide {
namespace {

using Units = std::vector<std::vector<unsigned>>;

// Returns the units of `cores` cores with two units each, numbered as most operating systems do: first the
// first units of all cores, then the second units. `on_first_node`: number of cores on the first NUMA node.
std::vector<ProcessingUnit> MakeUnits(unsigned cores, unsigned on_first_node) {
  std::vector<ProcessingUnit> units;
  for (unsigned i = 0; i < 2 * cores; ++i) {
    units.push_back({.os_index = i, .core = i % cores, .numa_node = i % cores < on_first_node ? 0u : 1u});
  }
  return units;
}

bool Mentions(const CorePinningPlan& plan, const char* text) {
  return plan.description.find(text) != std::string::npos;
}

TEST(CorePinning, PinsEachThreadToAllUnitsOfOneCore) {
  const CorePinningPlan plan = PlanCorePinning(MakeUnits(4, 4), 4);
  EXPECT_EQ(plan.units, (Units{{0, 4}, {1, 5}, {2, 6}, {3, 7}}));
  EXPECT_EQ(plan.description, "4 threads on 4 cores");
}

TEST(CorePinning, EventLoopsShareCoresButNotTheCoreOfTheMainThread) {
  const CorePinningPlan plan = PlanCorePinning(MakeUnits(3, 3), 6);
  EXPECT_EQ(plan.units, (Units{{0, 3}, {1, 4}, {2, 5}, {1, 4}, {2, 5}, {1, 4}}));
  EXPECT_TRUE(Mentions(plan, "loops share cores"));
}

TEST(CorePinning, PinsNoThreadWithFewerThanTwoCoresOrThreads) {
  EXPECT_TRUE(PlanCorePinning(MakeUnits(1, 1), 2).units.empty());
  EXPECT_TRUE(PlanCorePinning({}, 2).units.empty());
  EXPECT_TRUE(PlanCorePinning(MakeUnits(4, 4), 1).units.empty());
}

TEST(CorePinning, PrefersTheNumaNodeWithMostCores) {
  const CorePinningPlan plan = PlanCorePinning(MakeUnits(6, 2), 4);
  EXPECT_EQ(plan.units, (Units{{2, 8}, {3, 9}, {4, 10}, {5, 11}}));
  EXPECT_FALSE(Mentions(plan, "far"));
}

TEST(CorePinning, ReportsThreadsOnAnotherNumaNode) {
  EXPECT_TRUE(Mentions(PlanCorePinning(MakeUnits(6, 2), 5), "far"));
}

bool IsAllowed(const std::vector<ProcessingUnit>& allowed, unsigned os_index) {
  return std::any_of(allowed.begin(), allowed.end(),
                     [os_index](const ProcessingUnit& unit) { return unit.os_index == os_index; });
}

RC_GTEST_PROP(CorePinning, UsesAllowedUnitsKeepsTheMainThreadAloneAndSpreadsLoopsEvenly, ()) {
  const auto cores = *rc::gen::inRange(1u, 20u);
  const auto threads = *rc::gen::inRange<std::size_t>(1, 65);
  std::vector<ProcessingUnit> allowed;
  for (const ProcessingUnit& unit : MakeUnits(cores, *rc::gen::inRange(0u, 20u))) {
    if (*rc::gen::arbitrary<bool>()) allowed.push_back(unit);
  }
  const CorePinningPlan plan = PlanCorePinning(allowed, threads);
  RC_ASSERT(!plan.description.empty());
  if (plan.units.empty()) return;
  RC_ASSERT(plan.units.size() == threads);
  std::map<std::vector<unsigned>, std::size_t> threads_on;
  for (const auto& units : plan.units) {
    RC_ASSERT(!units.empty());
    ++threads_on[units];
    for (const unsigned unit : units) RC_ASSERT(IsAllowed(allowed, unit));
  }
  RC_ASSERT(threads_on[plan.units[0]] == 1u);
  threads_on.erase(plan.units[0]);
  std::size_t fewest = threads;
  std::size_t most = 0;
  for (const auto& [units, count] : threads_on) {
    fewest = std::min(fewest, count);
    most = std::max(most, count);
  }
  RC_ASSERT(most - fewest <= 1u);
}

}  // namespace
}  // namespace hingelink::decide
