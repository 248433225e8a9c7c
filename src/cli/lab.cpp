// `hingelink lab`: scenarios of faults, with real processes or in simulated time.
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <memory>
#include <nlohmann/json.hpp>

#include "cli/commands.h"
#include "cli/lab_rig.h"
#include "cli/process.h"
#include "lab/scenario/scenario.h"
#include "lab/sim/network.h"

namespace hingelink::cli {
namespace {

struct LabOptions {
  std::string file, keep, out;
  std::uint64_t seed = 0, seeds = 1, first = 1;
  std::size_t nodes = 12;
  double seconds = 45;
  bool json = false, words = false, no_peers = false, shrink = false;
};

lab::Scenario Read(const LabOptions& options) {
  lab::Scenario scenario = lab::ReadScenario(options.file);
  if (options.seed != 0) scenario.seed = options.seed;
  return scenario;
}

int Simulate(const LabOptions& options) {
  lab::Scenario scenario = Read(options);
  std::size_t broken = 0;
  for (std::uint64_t i = 0; i < options.seeds; ++i, ++scenario.seed) {
    lab::SimOptions sim;
    if (options.words) {
      sim.words = [](lab::Millis at, std::size_t node, const decide::MembershipEvent& word) {
        std::printf("%10.1f n%zu %s %s %.0f\n", at.count(), node, decide::MembershipEventName(word.kind),
                    word.member.c_str(), word.value);
      };
    }
    const lab::SimResult result = lab::Simulate(scenario, sim);
    broken += result.broken;
    if (options.json) {
      std::printf("%s\n", result.Json().dump().c_str());
    } else {
      std::printf("%s seed %llu: %zu violations, %ld bytes/s a node, %llu suspicions, %llu gone\n",
                  scenario.name.c_str(), static_cast<unsigned long long>(scenario.seed), result.broken,
                  std::lround(result.bytes_a_second), static_cast<unsigned long long>(result.suspicions),
                  static_cast<unsigned long long>(result.gone));
      for (const lab::Violation& v : result.violations)
        std::printf("  at %.0f ms: %s\n", v.at.count(), v.what.c_str());
    }
  }
  return broken == 0 ? 0 : 1;
}

lab::Scenario Drawn(const LabOptions& options, std::uint64_t seed) {
  return lab::RandomScenario(seed, options.nodes, lab::Millis(options.seconds * 1000));
}

// Random faults over many seeds; the first that breaks a rule is shrunk and printed.
int Hunt(const LabOptions& options) {
  std::size_t failing = 0;
  for (std::uint64_t seed = options.first; seed < options.first + options.seeds; ++seed) {
    const lab::SimResult result = lab::Simulate(Drawn(options, seed));
    if (result.broken == 0) continue;
    ++failing;
    std::printf("seed %llu: at %.0f ms %s\n", static_cast<unsigned long long>(seed),
                result.violations.front().at.count(), result.violations.front().what.c_str());
  }
  std::printf("%llu seeds, %zu with violations\n", static_cast<unsigned long long>(options.seeds), failing);
  return failing == 0 ? 0 : 1;
}

int Replay(const LabOptions& options) {
  lab::Scenario scenario = Drawn(options, options.seed);
  const auto fails = [](const lab::Scenario& s) { return lab::Simulate(s).broken > 0; };
  const bool failed = fails(scenario);
  if (failed && options.shrink) scenario = lab::Shrink(std::move(scenario), fails);
  if (!options.out.empty()) std::ofstream(options.out) << lab::WriteScenario(scenario);
  if (options.out.empty()) std::printf("%s", lab::WriteScenario(scenario).c_str());
  for (const lab::Violation& v : lab::Simulate(scenario).violations)
    std::printf("at %.0f ms: %s\n", v.at.count(), v.what.c_str());
  return failed ? 1 : 0;
}

int Run(const LabOptions& options) {
  const lab::Scenario scenario = Read(options);
  std::optional<TemporaryFolder> own;
  std::string folder = options.keep;
  if (folder.empty()) {
    own.emplace();
    folder = own->path();
  } else if (std::filesystem::exists(folder) && !std::filesystem::is_empty(folder)) {
    throw std::runtime_error(folder + ": is there and not empty; name a new one");
  }
  std::filesystem::create_directories(folder);
  lab::RigOptions rig = ProgramsRig(OwnProgram(), folder);
  rig.peers = !options.no_peers;
  rig.progress = [](const std::string& line) { std::fprintf(stderr, "%s\n", line.c_str()); };
  const lab::RigResult result = lab::RunRig(scenario, rig);
  const nlohmann::ordered_json json = result.Json();
  if (!options.keep.empty()) std::ofstream(folder + "/result.json") << json.dump(2) << '\n';
  if (options.json) {
    std::printf("%s\n", json.dump(2).c_str());
  } else {
    const standin::ClassAccount& a = result.account;
    std::printf("%s: %s\n", scenario.name.c_str(), scenario.why.c_str());
    std::printf(
        "requests %llu, in time %llu, refused %llu, failed %llu, lost %llu, unanswered %llu, wrong %llu, "
        "twice %llu\n",
        static_cast<unsigned long long>(a.requests), static_cast<unsigned long long>(a.good),
        static_cast<unsigned long long>(a.refused), static_cast<unsigned long long>(a.failed),
        static_cast<unsigned long long>(a.lost), static_cast<unsigned long long>(a.unanswered),
        static_cast<unsigned long long>(a.wrong), static_cast<unsigned long long>(a.twice));
    std::printf(
        "a node: %.0f bytes/s to others, %.2f%% of a core, %.1f MB; rig late by %.1f ms (99%%), %.1f ms "
        "(worst)%s\n",
        result.bytes_a_second, result.cpu_share * 100, result.rss_mb, result.late_99.count(),
        result.late_worst.count(), result.is_void ? ": VOID, the rig was the bound" : "");
    for (const auto& k : result.kills)
      std::printf("end of %s known to the first after %.0f ms, half %.0f, 99%% %.0f\n", k.node.c_str(),
                  k.first.count(), k.half.count(), k.most.count());
    for (const lab::Millis& after : result.agreed_after)
      std::printf("all agree %.0f ms behind a fault\n", after.count());
    for (const std::string& v : result.violations) std::printf("VIOLATION %s\n", v.c_str());
  }
  return result.is_void ? 2 : result.violations.empty() ? 0 : 1;
}

}  // namespace

void AddLab(CLI::App& app, int& status) {
  const auto options = std::make_shared<LabOptions>();
  CLI::App* lab = app.add_subcommand("lab", "Scenarios of faults, with real processes or in simulated time");
  lab->require_subcommand(1);
  lab->footer("deploy/scenarios holds those that are kept; docs/operators/lab.md explains their form.");
  const auto add = [&](const char* name, const char* help, int (*run)(const LabOptions&)) {
    CLI::App* one = lab->add_subcommand(name, help);
    one->callback([options, run, &status] { status = run(*options); });
    return one;
  };
  CLI::App* check = add("check", "Say what is wrong with a scenario", [](const LabOptions& o) {
    std::printf("%s: good, %zu faults\n", o.file.c_str(), lab::ReadScenario(o.file).faults.size());
    return 0;
  });
  CLI::App* run = add("run", "Play a scenario with real processes; exit 0 held, 1 broken, 2 void", Run);
  CLI::App* sim = add("sim", "Play it in simulated time, with the members' decisions alone", Simulate);
  CLI::App* hunt = add("hunt", "Random faults in simulated time over many seeds", Hunt);
  CLI::App* replay = add("replay", "A seed of hunt again; prints its schedule", Replay);
  for (CLI::App* one : {check, run, sim}) one->add_option("file", options->file, "A scenario")->required();
  for (CLI::App* one : {run, sim}) {
    one->add_option("--seed", options->seed, "Instead of the file's");
    one->add_flag("--json", options->json, "The result as JSON");
  }
  run->add_option("--keep", options->keep, "Keep logs, sockets and the result in this folder");
  run->add_flag("--no-peers", options->no_peers, "The nodes know nothing of each other");
  sim->add_option("--seeds", options->seeds, "So many, from the first on")->capture_default_str();
  sim->add_flag("--words", options->words, "Print what each node would log");
  hunt->add_option("--seeds", options->seeds, "How many")->capture_default_str();
  hunt->add_option("--first", options->first, "From this one on")->capture_default_str();
  replay->add_option("seed", options->seed, "The seed")->required();
  replay->add_flag("--shrink", options->shrink, "Take away what it fails without");
  replay->add_option("--out", options->out, "Write the schedule to this file");
  AddLabSeries(*lab, status);
  AddLabCrowd(*lab, status);
  for (CLI::App* one : {hunt, replay}) {
    one->add_option("--nodes", options->nodes, "Of the fleet")->capture_default_str();
    one->add_option("--seconds", options->seconds, "Of a run")->capture_default_str();
  }
}

}  // namespace hingelink::cli
