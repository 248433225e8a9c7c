#include "lab/series/plan.h"

#include <filesystem>
#include <fstream>
#include <iterator>

#include "schema/schema.h"

namespace hingelink::lab {
namespace {

using Json = nlohmann::ordered_json;

void SetAt(Json& json, const std::string& at, const Json& value, const std::string& file) {
  const Json::json_pointer pointer(at);
  // A slip in a place would otherwise add a key that nothing reads.
  if (!json.contains(pointer.parent_pointer()))
    throw ScenarioError({file + " " + at + ": the scenario has no such place"});
  json[pointer] = value;
}

}  // namespace

SeriesPlan ReadSeries(const std::string& path) {
  const auto text = [](const std::string& from, const char* wanted) {
    std::ifstream file(from, std::ios::binary);
    if (!file) throw ScenarioError({from + ": cannot be read; wanted " + wanted});
    return std::string(std::istreambuf_iterator<char>(file), {});
  };
  const Json json = ParseLines(text(path, "a series, as in deploy/series"), path);
  static const schema::Schema form(schema::SeriesSchema());
  std::vector<std::string> faults;
  for (const schema::ValidationError& fault : form.Check(nlohmann::json::parse(json.dump())))
    faults.push_back(path + ' ' + fault.Text());
  if (!faults.empty()) throw ScenarioError(faults);
  SeriesPlan plan;
  plan.name = json["name"];
  plan.why = json["why"];
  plan.real = json["kind"] == "real";
  const std::string scenario =
      (std::filesystem::path(path).parent_path() / json["scenario"].get<std::string>()).lexically_normal();
  plan.source = ParseLines(text(scenario, "the scenario of the series"), scenario);
  plan.source.erase("$schema");
  if (json.contains("set")) {
    for (const auto& [at, value] : json["set"].items()) SetAt(plan.source, at, value, path);
  }
  if (json.contains("seeds")) {
    plan.first_seed = json["seeds"]["first"];
    plan.seeds = json["seeds"]["count"];
  }
  if (json.contains("vary")) {
    for (const Json& one : json["vary"])
      plan.vary.push_back({one["at"], one["values"].get<std::vector<Json>>()});
  }
  if (json.contains("peers")) {
    plan.peers.clear();
    for (const Json& one : json["peers"]) plan.peers.push_back(one == "with");
  }
  plan.figures = json.value("figures", plan.figures);
  // Each value is tried before the first run: a series that stops in the night helps nobody.
  SeriesPlan once = plan;
  once.seeds = 1;
  RunsOf(once);
  return plan;
}

std::vector<SeriesRun> RunsOf(const SeriesPlan& plan) {
  std::vector<SeriesRun> runs;
  std::size_t combinations = 1;
  for (const Varied& varied : plan.vary) combinations *= varied.values.size();
  for (std::size_t s = 0; s < plan.seeds; ++s) {
    const std::uint64_t seed = plan.first_seed + s;
    for (std::size_t c = 0; c < combinations; ++c) {
      Json source = plan.source;
      std::vector<std::pair<std::string, std::string>> params;
      std::size_t rest = c;
      std::string where = plan.name;
      for (const Varied& varied : plan.vary) {
        const Json& value = varied.values[rest % varied.values.size()];
        rest /= varied.values.size();
        SetAt(source, varied.at, value, plan.name);
        params.emplace_back(varied.at, value.dump());
        where += ' ' + varied.at + '=' + value.dump();
      }
      source["seed"] = seed;
      const Scenario scenario = ParseScenario(source.dump(), where);
      for (const bool peers : plan.peers) {
        SeriesRun run{params, scenario, peers};
        if (plan.peers.size() > 1) run.params.emplace_back("peers", peers ? "with" : "without");
        run.params.emplace_back("seed", std::to_string(seed));
        runs.push_back(std::move(run));
      }
    }
  }
  return runs;
}

std::string SeriesRun::Key(const std::string& series, const std::string& program) const {
  // The scenario itself, so that a changed file makes other runs of the same values.
  return series + '\n' + program + '\n' + (peers ? "peers" : "alone") + '\n' + WriteScenario(scenario);
}

}  // namespace hingelink::lab
