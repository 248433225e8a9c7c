// Series of runs: what was played is kept whole, and played once.
#include <gtest/gtest.h>

#include <atomic>
#include <fstream>

#include "cli/process.h"
#include "lab/series/chart.h"
#include "lab/series/store.h"

namespace hingelink::lab {
namespace {

class SeriesTest : public testing::Test {
 protected:
  SeriesTest() {
    std::ofstream(folder_.path() + "/s.json")
        << R"({"name":"s","why":"w","length_ms":1000,"fleet":{"nodes":4}})";
  }
  std::string Write(const std::string& rest) {
    const std::string path = folder_.path() + "/plan.json";
    std::ofstream(path) << R"({"name":"p","why":"w","scenario":"s.json","kind":"real")" + rest + "}";
    return path;
  }
  std::string Fault(const std::string& rest) {
    try {
      ReadSeries(Write(rest));
      return "none";
    } catch (const ScenarioError& fault) {
      return fault.what();
    }
  }
  // Each run's result is the number of its nodes and the seed.
  SeriesOptions Options() {
    SeriesOptions options;
    options.program = "a";
    options.said = [this](const std::string& line) { said_ += line + '\n'; };
    options.play = [this](const SeriesRun& run) {
      ++played_;
      nlohmann::ordered_json result = {{"x", {{"sum", run.scenario.fleet.nodes * 10 + run.scenario.seed}}},
                                       {"peers", run.peers}};
      return Played{result, false};
    };
    return options;
  }
  std::string db() const { return folder_.path() + "/runs.db"; }

  cli::TemporaryFolder folder_;
  std::size_t played_ = 0;
  std::string said_;
};

constexpr const char* kPlan =
    R"(,"seeds":{"first":1,"count":3},"vary":[{"at":"/fleet/nodes","values":[4,12]}],)"
    R"("peers":["with","without"])";

TEST_F(SeriesTest, ThoseOfAPairFollowEachOther) {
  const auto runs = RunsOf(ReadSeries(Write(kPlan)));
  ASSERT_EQ(runs.size(), 12u);
  for (std::size_t i = 0; i < runs.size(); i += 2) {
    EXPECT_TRUE(runs[i].peers);
    EXPECT_FALSE(runs[i + 1].peers);
    EXPECT_EQ(WriteScenario(runs[i].scenario), WriteScenario(runs[i + 1].scenario));
    EXPECT_NE(runs[i].Key("p", "a"), runs[i + 1].Key("p", "a"));
  }
  EXPECT_EQ(runs[0].scenario.seed, runs[2].scenario.seed);
  EXPECT_EQ(runs[2].scenario.fleet.nodes, 12u);
}

TEST_F(SeriesTest, WhatIsWrongInAPlanIsToldWithItsPlace) {
  EXPECT_EQ(Fault(kPlan), "none");
  EXPECT_NE(Fault(R"(,"vary":[{"at":"/flet/nodes","values":[1]}])").find("/flet/nodes: the scenario has no"),
            std::string::npos);
  // A value of which no scenario can be made is found before anything runs.
  EXPECT_NE(Fault(R"(,"vary":[{"at":"/fleet/nodes","values":[4,0]}])").find("/fleet/nodes=0"),
            std::string::npos);
  EXPECT_NE(Fault(R"(,"seeds":{"first":0,"count":1})").find("plan.json /seeds/first: found 0"),
            std::string::npos);
  std::ofstream(folder_.path() + "/s.json") << "{\n{";
  EXPECT_NE(Fault("").find("s.json line 2: no JSON"), std::string::npos);
}

TEST_F(SeriesTest, WhatEndsItLosesNothingThatWasPlayedAndNothingIsPlayedTwice) {
  const SeriesPlan plan = ReadSeries(Write(kPlan));
  for (const std::size_t jobs : {1u, 4u}) {
    const std::string path = db() + std::to_string(jobs);
    played_ = 0;
    {
      SeriesStore store(path);
      SeriesOptions options = Options();
      options.jobs = jobs;
      std::atomic<std::size_t> begun = 0;
      options.play = [&](const SeriesRun& run) -> Played {
        if (++begun > 5) throw std::runtime_error("the machine went away");
        return {{{"nodes", run.scenario.fleet.nodes}}, false};
      };
      EXPECT_THROW(RunSeries(plan, store, options), std::runtime_error);
    }
    SeriesStore store(path);
    EXPECT_EQ(RunSeries(plan, store, Options()), 7u);
    EXPECT_EQ(RunSeries(plan, store, Options()), 0u);
    // Another program's are others.
    SeriesOptions other = Options();
    other.program = "b";
    EXPECT_EQ(RunSeries(plan, store, other), 12u);
  }
}

TEST_F(SeriesTest, AVoidRunIsTriedAgainAndCountsNowhere) {
  const SeriesPlan plan = ReadSeries(Write(R"(,"seeds":{"first":1,"count":2})"));
  SeriesStore store(db());
  SeriesOptions options = Options();
  options.play = [&](const SeriesRun& run) {
    ++played_;
    // The first comes out at its third try, the second never.
    return Played{{{"x", 5}}, run.scenario.seed == 2 || played_ < 3};
  };
  EXPECT_EQ(RunSeries(plan, store, options), 6u);
  EXPECT_NE(said_.find("2 of 2 seed=2: given up, void 3 times"), std::string::npos) << said_;
  const auto table = store.Table("p", {"seed"}, {"/x"});
  ASSERT_EQ(table.size(), 1u);
  EXPECT_EQ(table[0].by[0], "1");
}

TEST_F(SeriesTest, TablesAndChartsSayWhatTheRunsCameTo) {
  const SeriesPlan plan = ReadSeries(Write(kPlan));
  SeriesStore store(db());
  RunSeries(plan, store, Options());
  const std::vector<std::string> by = {"/fleet/nodes", "peers"}, figures = {"/x/sum", "/none"};
  const auto table = store.Table("p", by, figures);
  ASSERT_EQ(table.size(), 4u);
  EXPECT_EQ(table[0].by, (std::vector<std::string>{"4", "with"}));
  // As numbers: 12 behind 4.
  EXPECT_EQ(table[2].by, (std::vector<std::string>{"12", "with"}));
  EXPECT_EQ(TableText(by, figures, table),
            "| /fleet/nodes | peers | runs | /x/sum | /none |\n| --- | --- | --- | --- | --- |\n"
            "| 4 | with | 3 | 42 (41 to 43) | - |\n| 4 | without | 3 | 42 (41 to 43) | - |\n"
            "| 12 | with | 3 | 122 (121 to 123) | - |\n| 12 | without | 3 | 122 (121 to 123) | - |\n");
  EXPECT_EQ(TableJson(by, figures, table)[2]["figures"]["/x/sum"]["most"], 123.0);
  Chart chart;
  chart.title = "it's";
  chart.out = folder_.path() + "/c.svg";
  const std::string script = ChartScript(chart, table);
  EXPECT_NE(script.find("'it''s'"), std::string::npos);
  EXPECT_NE(script.find("12 122 121 123"), std::string::npos);
  Draw(chart, table, folder_.path());
  std::ifstream drawn(chart.out);
  const std::string svg(std::istreambuf_iterator<char>(drawn), {});
  EXPECT_NE(svg.find("<svg"), std::string::npos);
  EXPECT_THROW(ChartScript(chart, store.Table("p", {"peers"}, {"/x/sum"})), std::invalid_argument);
  chart.out = folder_.path() + "/no/where.svg";
  EXPECT_THROW(Draw(chart, table, folder_.path()), std::runtime_error);
}

TEST_F(SeriesTest, AFileThatIsNoneIsToldAndLeftAsItIs) {
  const std::string text(5'000, 'x');
  std::ofstream(db()) << text;
  try {
    SeriesStore store(db());
    ADD_FAILURE();
  } catch (const StoreError& fault) {
    EXPECT_NE(std::string(fault.what()).find(db()), std::string::npos);
  }
  std::ifstream file(db());
  EXPECT_EQ(std::string(std::istreambuf_iterator<char>(file), {}), text);
  EXPECT_THROW(SeriesStore(folder_.path() + "/no/runs.db"), StoreError);
}

}  // namespace
}  // namespace hingelink::lab
