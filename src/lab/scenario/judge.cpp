#include "lab/scenario/judge.h"

#include <cmath>
#include <nlohmann/json.hpp>

namespace hingelink::lab {

void KillTimes::Learn(std::size_t known, std::size_t live, Millis after) {
  const auto share = static_cast<double>(known) / static_cast<double>(live);
  if (first.count() < 0) first = after;
  if (half.count() < 0 && share >= 0.5) half = after;
  if (most.count() < 0 && share >= 0.99) most = after;
}

std::vector<std::string> Judge(const Scenario& scenario, const Course& course, Millis grain) {
  std::vector<std::string> wrong;
  for (const Assertion& assertion : scenario.assertions) {
    if (assertion.what == Check::kBytes && course.bytes_a_second > assertion.most) {
      wrong.push_back(std::to_string(std::lround(course.bytes_a_second)) + " bytes a second and node");
    } else if (assertion.what == Check::kGoneKnown) {
      for (const KillTimes& kill : course.kills) {
        const Millis took = assertion.share > 0.5 ? kill.most : kill.half;
        if (kill.open && (took.count() < 0 || took > assertion.within + grain))
          wrong.push_back("the end of " + kill.node + " was known after " +
                          std::to_string(std::lround(took.count())) + " ms");
      }
    } else if (assertion.what == Check::kCutOffSaid) {
      const std::vector<bool> who = NodesOf(scenario, *assertion.who);
      for (std::size_t i = 0; i < who.size(); ++i) {
        if (who[i] && !course.was_cut_off[i])
          wrong.push_back("n" + std::to_string(i) + " never said that it is cut off");
      }
    }
  }
  return wrong;
}

nlohmann::ordered_json KillsJson(const std::vector<KillTimes>& kills) {
  nlohmann::ordered_json json = nlohmann::ordered_json::array();
  for (const KillTimes& kill : kills) {
    json.push_back({{"node", kill.node},
                    {"first_ms", std::lround(kill.first.count())},
                    {"half_ms", std::lround(kill.half.count())},
                    {"most_ms", std::lround(kill.most.count())}});
  }
  return json;
}

nlohmann::ordered_json MillisJson(const std::vector<Millis>& spans) {
  nlohmann::ordered_json json = nlohmann::ordered_json::array();
  for (const Millis& span : spans) json.push_back(std::lround(span.count()));
  return json;
}

}  // namespace hingelink::lab
