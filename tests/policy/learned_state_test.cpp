// What one process hands on to the next.
#include <gtest/gtest.h>

#include "policy_host.h"

namespace hingelink {
namespace {

TEST(LearnedState, ExportsLearnedCostsAndNoInitialEstimates) {
  PolicyHost host;
  EXPECT_TRUE(host.ExportLearned().classes.empty());
  for (RequestId id = 1; id <= 40; ++id) {
    host.Arrive(id);
    host.now += 50;
    host.Finish(id, Outcome::kOk, 50);
  }
  const Learned learned = host.ExportLearned();
  ASSERT_EQ(learned.classes.size(), 1u);
  EXPECT_EQ(learned.classes[0].name, "read");
  EXPECT_EQ(learned.classes[0].samples, 41);
  EXPECT_NEAR(learned.classes[0].run_ms, 50, 15);
  EXPECT_NEAR(learned.classes[0].core_time_ms, 50, 15);
}

TEST(LearnedState, ImportedCostsCountFromTheFirstRequest) {
  // A run takes 900 of the 1,000 ms of the latency objective.
  Learned imported;
  imported.classes = {{"read", 900, 900, 0, 12}};
  for (const bool imports : {false, true}) {
    PolicyHost host(TestSettings(), 7, imports ? imported : Learned{});
    host.FillCores();
    host.SetBusy(true);
    host.Arrive(1);
    host.now += 400;
    host.Step({});
    // With 600 ms left it cannot meet its objective, but the initial estimate is shorter.
    EXPECT_EQ(host.rejections[1], imports ? 1 : 0);
  }
}

TEST(LearnedState, NewRunsOutweighWrongImportedCosts) {
  Learned imported;
  imported.classes = {{"read", 10, 10, 0, 12}};
  PolicyHost host(TestSettings(), 7, imported);
  RequestId id = 0;
  const auto serve = [&](int count) {
    for (int i = 0; i < count; ++i) {
      host.Arrive(++id);
      host.now += 40;
      host.Finish(id, Outcome::kOk, 40);
    }
    return host.ExportLearned().classes.at(0).run_ms;
  };
  EXPECT_GT(serve(12), 24);  // At least half way after as many runs as the import has samples.
  EXPECT_GT(serve(40), 34);
}

TEST(LearnedState, UnknownClassesAndRecordsWithoutSamplesAreIgnored) {
  Learned imported;
  imported.classes = {{"other", 900, 900, 0, 12}, {"read", 900, 900, 0, 0}};
  PolicyHost host(TestSettings(), 7, imported);
  EXPECT_TRUE(host.ExportLearned().classes.empty());
}

}  // namespace
}  // namespace hingelink
