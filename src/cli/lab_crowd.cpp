// `hingelink lab crowd`: ways of choosing among many services, compared on the same arrivals.
#include <atomic>
#include <cstdio>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <thread>

#include "cli/commands.h"
#include "lab/sim/crowd.h"

namespace hingelink::cli {
namespace {

struct CrowdCommand {
  std::vector<std::string> ways = {"weighted"}, cases = {"even"};
  std::vector<double> loads = {0.8}, ages = {0};
  std::size_t nodes = 300, services = 100, subset = 8, jobs = 1;
  double seconds = 12;
  std::uint64_t seed = 1, seeds = 1;
  bool json = false;
};

struct Line {
  std::string name, way;
  double load = 0, age = 0;
  lab::CrowdOptions options;
  std::vector<nlohmann::ordered_json> results;
};

// Of one figure: least and most beside the mean, where there are several seeds.
std::string Figure(const Line& line, const char* name, const char* form, double times = 1) {
  double sum = 0;
  for (const auto& result : line.results) sum += result.at(name).get<double>();
  char text[32];
  std::snprintf(text, sizeof text, form, times * sum / static_cast<double>(line.results.size()));
  return text;
}

int Crowd(const CrowdCommand& command) {
  std::vector<Line> lines;
  for (const std::string& name : command.cases) {
    for (const double load : command.loads) {
      for (const double age : command.ages) {
        for (const std::string& way : command.ways) {
          lab::CrowdOptions options;
          options.nodes = command.nodes;
          options.services = command.services;
          options.load = load;
          options.figures_age = lab::Millis(age);
          options.length = lab::Millis(command.seconds * 1000);
          options.spread.subset_size = command.subset;
          options = lab::CrowdCase(name, options);
          options.yardstick = way == "yardstick";
          if (!options.yardstick) {
            const auto known = decide::ParsePolicy(way);
            if (!known)
              throw std::runtime_error("--way: found \"" + way +
                                       "\"; wanted random, round-robin, "
                                       "least-own, two-own, two-asked, probes, weighted or yardstick");
            options.spread.policy = *known;
          }
          lines.push_back({name, way, load, age, options, {}});
        }
      }
    }
  }
  // Seeds of one line are played by whoever is free; each has its place.
  for (Line& line : lines) line.results.resize(command.seeds);
  std::atomic<std::size_t> next = 0;
  const auto work = [&] {
    for (std::size_t i; (i = next++) < lines.size() * command.seeds;) {
      Line& line = lines[i / command.seeds];
      lab::CrowdOptions options = line.options;
      options.seed = command.seed + i % command.seeds;
      line.results[i % command.seeds] = lab::SimulateCrowd(options).Json();
    }
  };
  {
    std::vector<std::jthread> threads;
    for (std::size_t j = 1; j < command.jobs; ++j) threads.emplace_back(work);
    work();
  }
  if (command.json) {
    for (const Line& line : lines) {
      for (const auto& result : line.results) {
        nlohmann::ordered_json one = {
            {"case", line.name}, {"way", line.way}, {"load", line.load}, {"age_ms", line.age}};
        one.update(result);
        std::printf("%s\n", one.dump().c_str());
      }
    }
    return 0;
  }
  std::printf(
      "| case | load | figures | way | in time | p50 ms | p99 ms | most, 100 ms | most, 1 s | idle | back, "
      "sent | back, in hand |\n"
      "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n");
  for (const Line& line : lines) {
    std::printf("| %s | %.0f%% | %.0f ms | %s | %s%% | %s | %s | %s | %s | %s%% | %s | %s |\n",
                line.name.c_str(), line.options.load * 100, line.options.figures_age.count(),
                line.way.c_str(), Figure(line, "good", "%.2f", 100).c_str(),
                Figure(line, "p50_ms", "%.1f").c_str(), Figure(line, "p99_ms", "%.1f").c_str(),
                Figure(line, "most_100ms", "%.2f").c_str(), Figure(line, "most_1s", "%.2f").c_str(),
                Figure(line, "idle_share", "%.2f", 100).c_str(), Figure(line, "back_most", "%.2f").c_str(),
                Figure(line, "back_hand", "%.2f").c_str());
  }
  return 0;
}

}  // namespace

void AddLabCrowd(CLI::App& lab, int& status) {
  const auto command = std::make_shared<CrowdCommand>();
  CLI::App* crowd = lab.add_subcommand(
      "crowd", "Many nodes that share many services, by ways of choosing, in simulated time");
  crowd->add_option("--case", command->cases, "A hard case, or several")
      ->delimiter(',')
      ->capture_default_str();
  crowd->add_option("--way", command->ways, "Ways of choosing, and yardstick")
      ->delimiter(',')
      ->capture_default_str();
  crowd->add_option("--load", command->loads, "Of what all services can do")
      ->delimiter(',')
      ->capture_default_str();
  crowd->add_option("--age", command->ages, "Of asked figures, ms")->delimiter(',')->capture_default_str();
  crowd->add_option("--nodes", command->nodes, "Nodes")->check(CLI::Range(1, 4096))->capture_default_str();
  crowd->add_option("--services", command->services, "Services of two cores")
      ->check(CLI::Range(1, 1000))
      ->capture_default_str();
  crowd->add_option("--subset", command->subset, "Services that a node uses")
      ->check(CLI::Range(1, 1000))
      ->capture_default_str();
  crowd->add_option("--seconds", command->seconds, "Of a run, the first three for warming")
      ->capture_default_str();
  crowd->add_option("--seed", command->seed, "The first")->capture_default_str();
  crowd->add_option("--seeds", command->seeds, "How many")
      ->check(CLI::Range(1, 10000))
      ->capture_default_str();
  crowd->add_option("--jobs", command->jobs, "Runs at a time")
      ->check(CLI::Range(1, 256))
      ->capture_default_str();
  crowd->add_flag("--json", command->json, "A line of JSON a run");
  crowd->callback([command, &status] { status = Crowd(*command); });
}

}  // namespace hingelink::cli
