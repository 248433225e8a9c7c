// Tests of ClassTable: configured classes and their learned costs.
#include "policy/class_table.h"

#include <gtest/gtest.h>

#include <cstddef>
#include <optional>
#include <utility>
#include <variant>
#include <vector>

#include "policy_host.h"

namespace hingelink {
namespace {

using policy::ClassTable;
using policy::OpenRequest;

// Returns the number of reads that an overloaded server starts if another class has twice as many arrivals
// and three times the weight.
int CountReadStarts(double goal_weight_worst_class) {
  Settings settings = TestSettings();
  settings.goal_weight_worst_class = goal_weight_worst_class;
  settings.classes[kFind].priority_weight = 3;
  PolicyHost host(settings);
  host.runnable = 4;
  RequestId id = 1;
  std::vector<RequestId> running;
  const auto note_starts = [&running](const std::vector<Action>& actions) {
    for (const Action& action : actions) {
      if (const auto* start = std::get_if<Start>(&action)) running.push_back(start->id);
    }
  };
  for (int i = 0; i < 300; ++i) {
    for (const ClassIndex class_index : {kRead, kFind, kFind})
      note_starts(host.Step({host.MakeArrival(id++, class_index)}));
    host.AdvanceTo(host.now + 100);
    for (const RequestId done : std::exchange(running, {}))
      note_starts(host.Step({Finished{done, Outcome::kOk, 150}}));
  }
  int reads = 0;
  for (const auto& [started, count] : host.starts) reads += started % 3 == 1 ? count : 0;
  return reads;
}

TEST(ClassTable, GoalWeightOfTheWorstClassPreventsStarvation) {
  EXPECT_LT(CountReadStarts(0), 60);
  EXPECT_GT(CountReadStarts(0.5), 90);
}

TEST(ClassTable, NewClassStartsWithAnEstimateFromItsObjective) {
  const Settings settings = TestSettings();
  ClassTable classes(settings);
  classes.Configure();
  EXPECT_DOUBLE_EQ(classes[kRead].learned.run_ms, 0.15 * settings.classes[kRead].latency_objective_ms);
  EXPECT_EQ(classes[kRead].learned.samples, 1);
}

TEST(ClassTable, FirstExecutionIsAveragedWithTheInitialEstimate) {
  const Settings settings = TestSettings();
  ClassTable classes(settings);
  classes.Configure();
  OpenRequest request;
  request.class_index = kRead;
  request.time_in_calls_ms = 100;
  classes.Learn(request, 350);
  EXPECT_DOUBLE_EQ(classes[kRead].learned.run_ms, 250);
  EXPECT_DOUBLE_EQ(classes[kRead].learned.core_time_ms, 200);  // Excludes the time in upstream calls.
}

TEST(ClassTable, PaceIsTheLengthOfExecutionsRelativeToTheirMeans) {
  const Settings settings = TestSettings();
  ClassTable classes(settings);
  classes.Configure();
  OpenRequest request;
  request.class_index = kRead;
  classes.Learn(request, 300);  // Twice the estimate; a sample has a weight of 0.2.
  EXPECT_DOUBLE_EQ(classes.pace(), 1.2);
}

TEST(ClassTable, RemovedClassKeepsItsEntryWhileRequestsAreInFlight) {
  Settings settings = TestSettings();
  ClassTable classes(settings);
  classes.Configure();
  classes.RequestOpened(kRead);
  settings.classes = {{.name = "store", .latency_objective_ms = 1000, .deadline_ms = 4000}};
  classes.Configure();
  EXPECT_EQ(classes[kRead].config.name, "read");
  EXPECT_FALSE(classes[kRead].configured);
  EXPECT_NE(classes.IndexOf(0), std::optional<std::size_t>(kRead));
  classes.RequestClosed(kRead);
  settings.classes.push_back({.name = "list", .latency_objective_ms = 1000, .deadline_ms = 4000});
  const std::size_t entries = classes.size();
  classes.Configure();
  EXPECT_EQ(classes.size(), entries);
}

TEST(ClassTable, UnknownClassHasNoEntry) {
  const Settings settings = TestSettings();
  ClassTable classes(settings);
  classes.Configure();
  EXPECT_FALSE(classes.IndexOf(settings.classes.size()));
}

}  // namespace
}  // namespace hingelink
