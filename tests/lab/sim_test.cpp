// The members' decisions in simulated time: each hard case as a property over seeds.
#include <gtest/gtest.h>

#include <algorithm>
#include <filesystem>

#include "fleet_of.h"
#include "lab/sim/network.h"

namespace hingelink::lab {
namespace {

// All seeds of a scenario; the first that breaks a rule is told with what it broke.
void Holds(Scenario scenario, std::uint64_t seeds) {
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    scenario.seed = seed;
    const SimResult result = Simulate(scenario);
    for (const Violation& violation : result.violations) {
      ADD_FAILURE() << scenario.name << " seed " << seed << " at " << violation.at.count()
                    << " ms: " << violation.what;
    }
    if (result.broken > 0) return;
  }
}

TEST(Simulated, OneSeedIsOneRunToTheByte) {
  const Scenario scenario = RandomScenario(3, 20, Millis(40'000));
  const SimResult one = Simulate(scenario), two = Simulate(scenario);
  EXPECT_EQ(one.digest, two.digest);
  EXPECT_EQ(one.bytes, two.bytes);
  Scenario other = scenario;
  other.seed = 4;
  EXPECT_NE(Simulate(other).digest, one.digest);
}

TEST(Simulated, AFleetThatStartsTogetherKnowsItselfSoon) {
  for (const std::size_t nodes : {1, 2, 3, 10, 100}) {
    Scenario scenario = FleetOf(nodes, 10);
    Assertion agree;
    agree.within = Millis(4'000);
    scenario.assertions.push_back(agree);
    Holds(scenario, 20);
  }
}

// Each kept scenario, as it stands in its file.
class KeptScenario : public testing::TestWithParam<std::string> {};

TEST_P(KeptScenario, HoldsOverSeeds) { Holds(ReadScenario(GetParam()), 40); }

std::vector<std::string> Files() {
  std::vector<std::string> files;
  for (const auto& entry : std::filesystem::directory_iterator(HINGELINK_SOURCE_DIR "/deploy/scenarios")) {
    files.push_back(entry.path());
  }
  std::sort(files.begin(), files.end());
  return files;
}
INSTANTIATE_TEST_SUITE_P(Deploy, KeptScenario, testing::ValuesIn(Files()), [](const auto& instance) {
  std::string name = std::filesystem::path(instance.param).stem();
  std::replace(name.begin(), name.end(), '-', '_');
  return name;
});

// Who signs with a key that nobody believes any more is not heard, and is back with the right one.
TEST(Simulated, ARetiredKeyEntersNowhere) {
  Scenario scenario = FleetOf(8, 30);
  Fault keys;
  keys.at = Millis(5'000);
  keys.do_ = Do::kKeys;
  keys.who = ParseWho("nodes:0-6");
  keys.keys = {"second"};
  scenario.faults = {keys};
  SimOptions options;
  std::size_t joined = 0, gone = 0;
  options.words = [&](Millis at, std::size_t node, const decide::MembershipEvent& word) {
    if (at < Millis(6'000) || node == 7 || word.member != "n7") return;
    if (word.kind == decide::MembershipEventKind::kMemberDead) ++gone;
    if (word.kind == decide::MembershipEventKind::kMemberJoined ||
        word.kind == decide::MembershipEventKind::kMemberReturned)
      ++joined;
  };
  const SimResult result = Simulate(scenario, options);
  EXPECT_EQ(gone, 7u);
  EXPECT_EQ(joined, 0u);
  EXPECT_GT(result.wrong_key, 50u);
}

// The start of hundreds falls on all of them, not on the seeds, and is over soon under the link's own bound.
TEST(Simulated, AStartOfHundredsIsSpread) {
  Scenario scenario = FleetOf(250, 5);
  scenario.fleet.seeds = 4;
  Assertion agree;
  agree.within = Millis(4'500);
  scenario.assertions = {agree};
  const SimResult result = Simulate(scenario);
  EXPECT_EQ(result.broken, 0u);
  EXPECT_LT(result.bytes_a_second, 45'000);
  EXPECT_EQ(result.suspicions, 0u);
  // Where all compare with the seeds, these have no bytes left for their answers to probes.
  SimOptions seeds_alone;
  seeds_alone.membership.bootstrap_period = decide::Milliseconds(0);
  EXPECT_GT(Simulate(scenario, seeds_alone).suspicions, 50u);
}

// The auditor reads what nodes tell, and finds what is planted there.
TEST(Simulated, TheAuditorFindsPlantedMistakes) {
  Scenario scenario = FleetOf(8, 25);
  Fault kill;
  kill.at = Millis(8'000);
  kill.do_ = Do::kKill;
  kill.who = ParseWho("node:3");
  scenario.faults = {kill};
  using Tamper = std::function<void(std::size_t, decide::GossipMessage&)>;
  const auto broken = [&](const Tamper& tamper) {
    SimOptions options;
    options.tamper = tamper;
    const SimResult result = Simulate(scenario, options);
    return result.violations.empty() ? std::string() : result.violations.front().what;
  };
  EXPECT_EQ(broken({}), "");
  // One node brings back whom it told as gone.
  EXPECT_NE(
      broken([](std::size_t node, decide::GossipMessage& message) {
        for (decide::MemberRecord& record : message.records) {
          if (node == 1 && record.state == decide::MemberState::kDead && message.sequence_number % 2 == 0)
            record.state = decide::MemberState::kAlive;
        }
      }).find("brings back n3"),
      std::string::npos);
  // One raises an incarnation that is not its own.
  EXPECT_NE(broken([](std::size_t node, decide::GossipMessage& message) {
              if (node == 2 && message.records.size() > 1) message.records[1].version.incarnation += 9;
            }).find("n2 raises the version of"),
            std::string::npos);
  // One makes its messages longer than the link takes.
  EXPECT_NE(broken([](std::size_t node, decide::GossipMessage& message) {
              if (node == 5) message.payloads.push_back({1, std::string(2'000, 'x')});
            }).find("n5 sends"),
            std::string::npos);
}

// A suspicion behind a hold was due at the moment of its own look, by rounding: the look came again without
// end.
TEST(Simulated, ALookAtAMomentIsOver) {
  const SimResult result = Simulate(RandomScenario(787, 12, Millis(45'000)));
  EXPECT_EQ(result.broken, 0u);
}

TEST(Simulated, RandomFaultsBreakNoRule) {
  for (std::uint64_t seed = 1; seed <= 150; ++seed) {
    const Scenario scenario = RandomScenario(seed, 3 + seed % 20, Millis(45'000));
    const SimResult result = Simulate(scenario);
    for (const Violation& violation : result.violations) {
      ADD_FAILURE() << "seed " << seed << " at " << violation.at.count() << " ms: " << violation.what;
    }
  }
}

}  // namespace
}  // namespace hingelink::lab
