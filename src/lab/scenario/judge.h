// What must hold of a run, judged alike for simulated time and for real processes.
#ifndef HINGELINK_LAB_SCENARIO_JUDGE_H_
#define HINGELINK_LAB_SCENARIO_JUDGE_H_

#include <cstddef>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "lab/scenario/scenario.h"

namespace hingelink::lab {

// How long after the end of a process so many of the others that live held it as gone.
struct KillTimes {
  std::string node;
  Millis first{-1}, half{-1}, most{-1};  // `most`: 99 in 100. -1: never, before it came back.
  bool open = true;                      // It has not come back.

  // By now `known` of `live` others hold it as gone.
  void Learn(std::size_t known, std::size_t live, Millis after);
};

// As results have them.
nlohmann::ordered_json KillsJson(const std::vector<KillTimes>& kills);
nlohmann::ordered_json MillisJson(const std::vector<Millis>& spans);

// What a run came to, by node where there is a list.
struct Course {
  double bytes_a_second = 0;  // Of a node.
  std::vector<KillTimes> kills;
  std::vector<bool> was_cut_off;
};

// The assertions on the whole of a run that do not hold, a line each. `grain`: of the times in it.
std::vector<std::string> Judge(const Scenario& scenario, const Course& course, Millis grain = Millis(0));

}  // namespace hingelink::lab

#endif  // HINGELINK_LAB_SCENARIO_JUDGE_H_
