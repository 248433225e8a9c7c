// A series of runs: one scenario over values of what is varied and over seeds, in an order in which what is
// to be compared runs side by side. A file of JSON by deploy/schema/series.json; docs/operators/lab.md
// explains it.
#ifndef HINGELINK_LAB_SERIES_PLAN_H_
#define HINGELINK_LAB_SERIES_PLAN_H_

#include <cstddef>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "lab/scenario/scenario.h"

namespace hingelink::lab {

struct Varied {
  std::string at;                              // A JSON pointer into the scenario.
  std::vector<nlohmann::ordered_json> values;  // At least one.
};

struct SeriesPlan {
  std::string name, why;
  bool real = false;              // Or simulated.
  nlohmann::ordered_json source;  // The scenario's, with what is set for all runs.
  std::uint64_t first_seed = 1;
  std::size_t seeds = 1;
  std::vector<Varied> vary;
  std::vector<bool> peers = {true};
  std::vector<std::string> figures;  // JSON pointers into a run's result.
};

// One run. Two runs of one program with equal keys have equal scenarios.
struct SeriesRun {
  std::vector<std::pair<std::string, std::string>>
      params;  // Place and value, as JSON; "peers" and "seed" too.
  Scenario scenario;
  bool peers = true;
  std::string Key(const std::string& series, const std::string& program) const;
};

// Throws ScenarioError that names the file, the place and what is wanted; also where some value makes a
// scenario that is none.
SeriesPlan ReadSeries(const std::string& path);
// Seeds outermost and what is varied innermost: the runs of a pair follow each other, so that what changes on
// the machine in the course of a series falls on both. Throws ScenarioError.
std::vector<SeriesRun> RunsOf(const SeriesPlan& plan);

}  // namespace hingelink::lab

#endif  // HINGELINK_LAB_SERIES_PLAN_H_
