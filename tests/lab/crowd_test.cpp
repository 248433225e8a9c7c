// Many nodes that share many services, in simulated time: each hard case.
#include "lab/sim/crowd.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <nlohmann/json.hpp>

namespace hingelink::lab {
namespace {

CrowdOptions Base() {
  CrowdOptions options;
  options.length = Millis(9'000);
#ifdef __SANITIZE_ADDRESS__
  // A tenth as fast there: the sizes that the cases are about are played without.
  options.nodes = 50;
  options.services = 16;
#endif
  return options;
}

TEST(Crowd, OneSeedIsOneRun) {
  CrowdOptions options = Base();
  options.nodes = 40;
  options.services = 20;
  options.length = Millis(5'000);
  EXPECT_EQ(SimulateCrowd(options).Json(), SimulateCrowd(options).Json());
  CrowdOptions other = options;
  other.seed = 2;
  EXPECT_NE(SimulateCrowd(other).Json(), SimulateCrowd(options).Json());
  EXPECT_THROW(CrowdCase("none", options), std::invalid_argument);
}

TEST(Crowd, TheAuditFindsPlantedFaults) {
  CrowdOptions options = CrowdCase("black-hole", Base());
  options.nodes = 40;
  options.services = 20;
  options.plants_repeats = true;
  EXPECT_GT(SimulateCrowd(options).writes_twice, 0u);
  // A node that never looks back at what it does not use.
  options.spread.policy = decide::Policy::kTwoChoicesLocalLoad;
  options.spread.max_unprobed_time = options.spread.idle_poll_interval = decide::Milliseconds(1e9);
  EXPECT_GT(SimulateCrowd(options).untried_ms, 3'500);
}

// What holds in every case: nothing outside those told and up, no write twice, nobody untried, the cap.
class HardCase : public testing::TestWithParam<std::string> {};

TEST_P(HardCase, KeepsItsRulesWith300Nodes) {
  CrowdOptions options = CrowdCase(GetParam(), Base());
  const CrowdResult result = SimulateCrowd(options);
  SCOPED_TRACE(result.Json().dump());
  EXPECT_GT(result.requests, options.services * 100);
  EXPECT_EQ(result.outside, 0u);
  EXPECT_EQ(result.writes_twice, 0u);
  EXPECT_LE(result.untried_ms, 1.5 * options.spread.max_unprobed_time.count() + 500);
  // Over the cap only where others went down behind it.
  EXPECT_LE(result.aside_most, GetParam() == "zone-lost" ? 0.51 : options.spread.max_ejected_fraction);
  EXPECT_LE(static_cast<double>(result.repeats),
            options.spread.retry_budget_fraction * static_cast<double>(result.requests) +
                options.spread.max_retry_budget * static_cast<double>(options.nodes));
}

INSTANTIATE_TEST_SUITE_P(Kept, HardCase, testing::ValuesIn(CrowdCases()), [](const auto& instance) {
  std::string name = instance.param;
  std::replace(name.begin(), name.end(), '-', '_');
  return name;
});

}  // namespace
}  // namespace hingelink::lab
