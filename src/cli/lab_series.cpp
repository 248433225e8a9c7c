// `hingelink lab series|table|chart`: many runs, kept in one file, and what they came to.
#include <xxhash.h>

#include <cstdio>
#include <fstream>
#include <iterator>
#include <memory>

#include "cli/commands.h"
#include "cli/lab_rig.h"
#include "cli/process.h"
#include "lab/series/chart.h"
#include "lab/series/store.h"
#include "lab/sim/network.h"

namespace hingelink::cli {
namespace {

struct SeriesCommand {
  std::string file, db, series, keep, figure;
  std::vector<std::string> by, figures;
  std::size_t jobs = 1;
  bool json = false;
  lab::Chart chart;
};

std::string DigestOfProgram() {
  std::ifstream file(OwnProgram(), std::ios::binary);
  const std::string bytes(std::istreambuf_iterator<char>(file), {});
  char text[17];
  std::snprintf(text, sizeof text, "%016llx",
                static_cast<unsigned long long>(XXH3_64bits(bytes.data(), bytes.size())));
  return text;
}

lab::Played PlayReal(const lab::SeriesRun& run) {
  const TemporaryFolder folder;
  lab::RigOptions rig = ProgramsRig(OwnProgram(), folder.path());
  rig.peers = run.peers;
  const lab::RigResult result = lab::RunRig(run.scenario, rig);
  return {result.Json(), result.is_void};
}

int Series(const SeriesCommand& command) {
  const lab::SeriesPlan plan = lab::ReadSeries(command.file);
  lab::SeriesStore store(command.db);
  lab::SeriesOptions options;
  options.program = DigestOfProgram();
  options.said = [](const std::string& line) { std::fprintf(stderr, "%s\n", line.c_str()); };
  if (plan.real) {
    // Side by side they would be each other's bound.
    options.play = PlayReal;
  } else {
    options.jobs = command.jobs;
    options.play = [](const lab::SeriesRun& run) {
      return lab::Played{lab::Simulate(run.scenario).Json(), false};
    };
  }
  const std::size_t played = lab::RunSeries(plan, store, options);
  std::printf("%s: %zu runs played, the others were there\n", plan.name.c_str(), played);
  if (plan.figures.empty()) return 0;
  std::vector<std::string> by;
  for (const lab::Varied& varied : plan.vary) by.push_back(varied.at);
  if (plan.peers.size() > 1) by.emplace_back("peers");
  std::printf("%s", lab::TableText(by, plan.figures, store.Table(plan.name, by, plan.figures)).c_str());
  return 0;
}

// The one that was named, or the only one that is there.
std::string SeriesIn(const lab::SeriesStore& store, const SeriesCommand& command) {
  const std::vector<std::string> there = store.Series();
  std::string names;
  for (const std::string& name : there) {
    if (name == command.series || (command.series.empty() && there.size() == 1)) return name;
    names += (names.empty() ? "" : ", ") + name;
  }
  throw std::runtime_error(command.db + ": --series " + (command.series.empty() ? "wanted" : "unknown") +
                           "; it has " + (names.empty() ? "none" : names));
}

int Table(const SeriesCommand& command) {
  const lab::SeriesStore store(command.db);
  const auto table = store.Table(SeriesIn(store, command), command.by, command.figures);
  if (command.json) {
    std::printf("%s\n", lab::TableJson(command.by, command.figures, table).dump(2).c_str());
  } else {
    std::printf("%s", lab::TableText(command.by, command.figures, table).c_str());
  }
  return 0;
}

int Chart(const SeriesCommand& command) {
  const lab::SeriesStore store(command.db);
  const std::string name = SeriesIn(store, command);
  lab::Chart chart = command.chart;
  if (chart.title.empty()) chart.title = name;
  if (chart.x_label.empty()) chart.x_label = command.by.front();
  if (chart.y_label.empty()) chart.y_label = command.figure;
  const TemporaryFolder folder;
  lab::Draw(chart, store.Table(name, command.by, {command.figure}), folder.path());
  return 0;
}

}  // namespace

void AddLabSeries(CLI::App& lab, int& status) {
  const auto command = std::make_shared<SeriesCommand>();
  const auto add = [&](const char* name, const char* help, int (*run)(const SeriesCommand&)) {
    CLI::App* one = lab.add_subcommand(name, help);
    one->add_option("--db", command->db, "The file of runs (SQLite)")->required();
    one->callback([command, run, &status] { status = run(*command); });
    return one;
  };
  CLI::App* series = add("series", "Play what is not yet there of a series of runs", Series);
  series->add_option("file", command->file, "A series, as in deploy/series")->required();
  series->add_option("--jobs", command->jobs, "Simulated runs at a time")
      ->check(CLI::Range(1, 256))
      ->capture_default_str();
  CLI::App* table = add("table", "What the runs of a series came to: median, least and most", Table);
  table->add_option("--by", command->by, "Rows by these parameters: places, peers, seed")->delimiter(',');
  table->add_option("--figures", command->figures, "Places in a run's result, as /account/good")
      ->delimiter(',')
      ->required();
  table->add_flag("--json", command->json, "As JSON");
  CLI::App* chart = add("chart", "Draw a figure of a series as SVG (needs Debian's gnuplot-nox)", Chart);
  chart->add_option("--by", command->by, "Along x, and if two: a line for each value of the second")
      ->delimiter(',')
      ->expected(1, 2)
      ->required();
  chart->add_option("--figure", command->figure, "A place in a run's result")->required();
  chart->add_option("--out", command->chart.out, "The file to write")->required();
  chart->add_option("--title", command->chart.title, "Above it");
  chart->add_option("--x-label", command->chart.x_label, "Below it");
  chart->add_option("--y-label", command->chart.y_label, "Beside it");
  chart->add_flag("--log-x", command->chart.log_x, "x by powers");
  chart->add_flag("--log-y", command->chart.log_y, "y by powers");
  for (CLI::App* one : {table, chart}) one->add_option("--series", command->series, "Which of them");
}

}  // namespace hingelink::cli
