// Tests of the learned state that a process passes to its successor.
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

TEST(LearnedState, ImportedCostsApplyToTheFirstRequest) {
  // An execution takes 900 ms; the latency objective is 1,000 ms.
  Learned imported;
  imported.classes = {{"read", 900, 900, 0, 12}};
  for (const bool imports : {false, true}) {
    PolicyHost host(TestSettings(), 7, imports ? imported : Learned{});
    host.FillCores();
    host.SetBusy(true);
    host.Arrive(1);
    host.now += 400;
    host.Step({});
    // With 600 ms left, the request misses its objective by the imported cost but not by the initial
    // estimate.
    EXPECT_EQ(host.rejections[1], imports ? 1 : 0);
  }
}

TEST(LearnedState, NewExecutionsOutweighWrongImportedCosts) {
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
  // As many executions as imported samples move the mean at least about half of the way from 10 to 40 ms.
  EXPECT_GT(serve(12), 24);
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
