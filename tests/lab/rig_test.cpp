// Several processes of the program with faults between them, through the relays.
#include "lab/rig/rig.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <fstream>

#include "cli/lab_rig.h"
#include "cli/process.h"
#include "fleet_of.h"

namespace hingelink::lab {
namespace {

// Under load.
Scenario LoadedFleetOf(std::size_t nodes, double seconds) {
  Scenario scenario = FleetOf(nodes, seconds);
  scenario.load = {{Millis(0), 0.3}};
  return scenario;
}

Fault FaultOf(double at, Do what, const char* who, const char* to = "all", double lasts = 0) {
  Fault fault;
  fault.at = Millis(at);
  fault.do_ = what;
  fault.who = ParseWho(who);
  fault.to = ParseWho(to);
  fault.lasts = Millis(lasts);
  return fault;
}

Assertion Must(Check what, double within = 4'000, const char* who = nullptr) {
  Assertion assertion;
  assertion.what = what;
  assertion.within = Millis(within);
  if (who != nullptr) assertion.who = ParseWho(who);
  return assertion;
}

// Runs that the machine made void are repeated so often in all.
constexpr int kMaxRuns = 3;

// Keeps the logs and the result of a run that violated an assertion.
void KeepEvidence(cli::TemporaryFolder& folder, RigResult& result) {
  folder.Keep();
  std::ofstream(folder.path() + "/result.json") << result.Json().dump(2) << '\n';
  result.violations.push_back(std::string(result.is_void ? "void run, " : "") + "kept in " + folder.path());
}

enum class Evidence : std::uint8_t { kKeep, kDiscard };

RigResult Play(const Scenario& scenario, Evidence evidence = Evidence::kKeep) {
  // A machine that is busy with other tests may hold up the rig itself: such a run is void, and played again.
  for (int runs = 1;; ++runs) {
    cli::TemporaryFolder folder;
    RigResult result = RunRig(scenario, cli::ProgramsRig(HINGELINK_PROGRAM, folder.path()));
    if (result.is_void && runs < kMaxRuns) continue;
    if (!result.violations.empty() && evidence == Evidence::kKeep) KeepEvidence(folder, result);
    return result;
  }
}

std::string Lines(const std::vector<std::string>& lines) {
  std::string all;
  for (const std::string& line : lines) all += line + '\n';
  return all;
}

TEST(Rig, ANodeThatHearsNobodyHoldsItsViewAndServesOn) {
  Scenario scenario = LoadedFleetOf(6, 18);
  scenario.faults = {FaultOf(2'000, Do::kCut, "rest", "node:3", 9'000)};
  scenario.faults[0].both = false;
  scenario.assertions = {Must(Check::kCutOffSaid, 0, "node:3"), Must(Check::kNobodyGone, 0, "nodes:4-5"),
                         Must(Check::kAgree, 6'000), Must(Check::kWhole)};
  const RigResult result = Play(scenario);
  EXPECT_EQ(Lines(result.violations), "");
  EXPECT_GT(result.account.good, 100u);
  EXPECT_GT(result.relay.lost, 50u);  // The fault was there.
}

TEST(Rig, AKillIsKnownAndANewLifeUnderTheSameNameTakesItsPlace) {
  Scenario scenario = LoadedFleetOf(6, 22);
  scenario.faults = {FaultOf(1'500, Do::kKill, "node:1"), FaultOf(12'000, Do::kKill, "nodes:2-3")};
  scenario.faults[1].restart = Millis(200);
  scenario.assertions = {Must(Check::kGoneKnown, 10'000), Must(Check::kAgree, 6'000),
                         Must(Check::kNobodyGone, 0)};
  const RigResult result = Play(scenario);
  EXPECT_EQ(Lines(result.violations), "");
  ASSERT_EQ(result.kills.size(), 3u);
  EXPECT_GT(result.kills[0].most.count(), 0);
}

TEST(Rig, OneThatStoodStillAccusesNobody) {
  Scenario scenario = LoadedFleetOf(6, 18);
  scenario.faults = {FaultOf(1'500, Do::kFreeze, "node:0", "all", 9'000)};
  scenario.assertions = {Must(Check::kNobodyGone, 0, "nodes:1-5"), Must(Check::kAgree, 6'000)};
  const RigResult result = Play(scenario);
  EXPECT_EQ(Lines(result.violations), "");
}

TEST(Rig, TwoThirdsThatEndAtOnceAreNotDropped) {
  Scenario scenario = LoadedFleetOf(9, 14);
  scenario.faults = {FaultOf(1'500, Do::kKill, "nodes:0-5")};
  scenario.assertions = {Must(Check::kNoneDropped), Must(Check::kCutOffSaid, 0, "nodes:6-8")};
  const RigResult result = Play(scenario);
  EXPECT_EQ(Lines(result.violations), "");
}

TEST(Rig, DatagramsTwiceLateAndLostChangeNothing) {
  Scenario scenario = LoadedFleetOf(6, 14);
  scenario.faults = {FaultOf(1'000, Do::kDuplicate, "nodes", "nodes", 9'000),
                     FaultOf(1'000, Do::kReorder, "nodes", "nodes", 9'000),
                     FaultOf(1'000, Do::kLoss, "nodes", "nodes", 9'000)};
  scenario.faults[0].share = scenario.faults[1].share = 0.5;
  scenario.faults[1].ms = 250;
  scenario.faults[2].share = 0.05;
  scenario.assertions = {Must(Check::kNobodyGone), Must(Check::kAgree, 4'000), Must(Check::kWhole)};
  const RigResult result = Play(scenario);
  EXPECT_EQ(Lines(result.violations), "");
}

TEST(Rig, AFifthThatIsSilentIsBackSoonAndDropsNobody) {
  Scenario scenario = LoadedFleetOf(10, 15);
  scenario.faults = {FaultOf(1'500, Do::kCut, "nodes:8-9", "rest", 6'000)};
  scenario.assertions = {Must(Check::kNobodyGone, 0, "nodes:0-7"), Must(Check::kAgree, 5'000),
                         Must(Check::kWhole)};
  const RigResult result = Play(scenario);
  EXPECT_EQ(Lines(result.violations), "");
  EXPECT_GT(result.relay.lost, 20u);
}

TEST(Rig, ThreePartsHoldTheirViewsAndMeetAgain) {
  Scenario scenario = LoadedFleetOf(9, 15);
  scenario.faults = {FaultOf(1'500, Do::kCut, "zone:a", "rest", 7'000),
                     FaultOf(1'500, Do::kCut, "zone:b", "rest", 7'000)};
  scenario.assertions = {Must(Check::kNoneDropped), Must(Check::kCutOffSaid, 0, "nodes"),
                         Must(Check::kAgree, 5'000), Must(Check::kWhole)};
  const RigResult result = Play(scenario);
  EXPECT_EQ(Lines(result.violations), "");
}

TEST(Rig, SixInTenAreReplacedWithinSevenSeconds) {
  Scenario scenario = LoadedFleetOf(10, 14);
  scenario.faults = {FaultOf(1'500, Do::kKill, "nodes:4-9")};
  scenario.faults[0].stagger = Millis(1'200);
  scenario.faults[0].restart = Millis(300);
  scenario.assertions = {Must(Check::kNobodyGone), Must(Check::kAgree, 5'000)};
  const RigResult result = Play(scenario);
  EXPECT_EQ(Lines(result.violations), "");
  EXPECT_EQ(result.kills.size(), 6u);
  EXPECT_EQ(result.account.wrong + result.account.twice, 0u);
}

TEST(Rig, TwoRestartsWithinAProbeLeaveTheNewestLife) {
  Scenario scenario = LoadedFleetOf(6, 9);
  scenario.faults = {FaultOf(1'500, Do::kKill, "node:2"), FaultOf(1'800, Do::kKill, "node:2")};
  scenario.faults[0].restart = Millis(100);
  scenario.faults[1].restart = Millis(20);
  scenario.assertions = {Must(Check::kNobodyGone), Must(Check::kAgree, 4'000)};
  const RigResult result = Play(scenario);
  EXPECT_EQ(Lines(result.violations), "");
  EXPECT_EQ(result.kills.size(), 2u);
}

TEST(Rig, ARestartFindsItsDiskOrHasLostIt) {
  // What is learned is written each 5 s.
  Scenario scenario = LoadedFleetOf(3, 13);
  scenario.faults = {FaultOf(8'000, Do::kKill, "node:0"), FaultOf(8'000, Do::kKill, "node:1")};
  scenario.faults[0].restart = scenario.faults[1].restart = Millis(200);
  scenario.faults[0].disk_lost = false;
  scenario.assertions = {Must(Check::kAgree, 4'000)};
  const RigResult result = Play(scenario);
  EXPECT_EQ(Lines(result.violations), "");
  EXPECT_EQ(result.recalled, (std::vector<std::string>{"n0"}));
}

TEST(Rig, AKeyIsReplacedInServiceAndOneThatWasForgottenIsHeardNoMore) {
  Scenario scenario = LoadedFleetOf(5, 19);
  const auto keys = [](double at, const char* who, std::vector<std::string> names) {
    Fault fault = FaultOf(at, Do::kKeys, who);
    fault.keys = std::move(names);
    return fault;
  };
  // All but the last go over in three steps; the last keeps the retired key until it is told.
  scenario.faults = {keys(1'000, "nodes:0-3", {"first", "second"}),
                     keys(2'000, "nodes:0-3", {"second", "first"}), keys(3'000, "nodes:0-3", {"second"}),
                     keys(13'000, "node:4", {"second"})};
  scenario.assertions = {Must(Check::kNobodyGone, 0, "nodes:0-3"), Must(Check::kCutOffSaid, 0, "node:4"),
                         Must(Check::kAgree, 5'000), Must(Check::kWhole)};
  const RigResult result = Play(scenario);
  EXPECT_EQ(Lines(result.violations), "");
}

TEST(Rig, ASuccessorTakesTheAddressOverUnderLoad) {
  Scenario scenario = LoadedFleetOf(5, 12);
  scenario.faults = {FaultOf(1'500, Do::kUpgrade, "nodes")};
  scenario.faults[0].stagger = Millis(900);
  scenario.assertions = {Must(Check::kNobodyGone), Must(Check::kAgree, 5'000), Must(Check::kWhole)};
  const RigResult result = Play(scenario);
  EXPECT_EQ(Lines(result.violations), "");
  EXPECT_GT(result.account.good, 100u);
  EXPECT_EQ(result.account.lost + result.account.unanswered, 0u);
}

TEST(Rig, AFloodOfForgedDatagramsDropsNobodyAndAddsNobody) {
  Scenario scenario = LoadedFleetOf(3, 9);
  scenario.faults = {FaultOf(1'500, Do::kForge, "node:0", "all", 6'000)};
  scenario.faults[0].rate = 20'000;
  scenario.assertions = {Must(Check::kNobodyGone), Must(Check::kAgree, 1'000), Must(Check::kWhole)};
  const RigResult result = Play(scenario);
  EXPECT_EQ(Lines(result.violations), "");
  EXPECT_GT(result.forged, 20'000u);
}

// Eight nodes that share eight services, four of them each.
Scenario SharedServices(double seconds) {
  Scenario scenario = FleetOf(8, seconds);
  scenario.fleet.zones = {"a", "b"};
  scenario.fleet.services = 8;
  scenario.fleet.subset = 4;
  scenario.load = {{Millis(0), 0.5}};
  return scenario;
}

Assertion Served(double least) {
  Assertion assertion = Must(Check::kServed);
  assertion.least = least;
  return assertion;
}

TEST(Rig, ASlowServiceAndOneThatFailsAtOnceAreLeftAlone) {
  Scenario scenario = SharedServices(13);
  scenario.faults = {FaultOf(3'000, Do::kDegrade, "service:2", "all", 8'000),
                     FaultOf(3'000, Do::kErrors, "service:5", "all", 8'000)};
  scenario.faults[0].share = 8;
  scenario.assertions = {Served(0.9), Must(Check::kWhole)};
  const RigResult result = Play(scenario);
  EXPECT_EQ(Lines(result.violations), "");
  ASSERT_EQ(result.started.size(), 8u);
  std::uint64_t others = 0;
  for (std::size_t s = 0; s < 8; ++s) others += s == 2 || s == 5 ? 0 : result.started[s];
  // For eight of thirteen seconds they have little: over all at most two thirds of another one's.
  EXPECT_LT(result.started[2] * 6, others * 2 / 3);
  EXPECT_LT(result.started[5] * 6, others * 2 / 3);
  EXPECT_GT(result.errors[5], 0u);
}

TEST(Rig, ServicesThatAreLostAndBackCostLittleAndRunNothingTwice) {
  Scenario scenario = SharedServices(12);
  scenario.faults = {FaultOf(3'000, Do::kCut, "nodes", "services:0-1", 4'000),
                     FaultOf(5'000, Do::kReset, "nodes", "services:4-6")};
  scenario.assertions = {Served(0.85), Must(Check::kWhole)};
  const RigResult result = Play(scenario);
  EXPECT_EQ(Lines(result.violations), "");
  EXPECT_GT(result.relay.resets, 0u);
  EXPECT_EQ(result.account.wrong + result.account.twice, 0u);
}

TEST(Rig, NodesThatAreReplacedWhileTheyShareServicesLoseNoAnswer) {
  Scenario scenario = SharedServices(13);
  scenario.faults = {FaultOf(2'000, Do::kKill, "nodes:3-7")};
  scenario.faults[0].stagger = Millis(1'000);
  scenario.faults[0].restart = Millis(300);
  scenario.assertions = {Served(0.8), Must(Check::kAgree, 5'000), Must(Check::kEven)};
  scenario.assertions.back().most = 2;
  const RigResult result = Play(scenario);
  EXPECT_EQ(Lines(result.violations), "");
  EXPECT_EQ(result.account.wrong + result.account.twice, 0u);
}

// The rig itself: what does not hold is told, and what the relays do to connections is seen by the stand-ins.
TEST(Rig, WhatDoesNotHoldIsTold) {
  Scenario scenario = LoadedFleetOf(4, 9);
  scenario.faults = {FaultOf(500, Do::kCut, "node:0", "rest", 8'000),
                     FaultOf(3'000, Do::kReset, "gateways", "nodes")};
  scenario.assertions = {Must(Check::kCutOffSaid, 0, "node:1"), Must(Check::kWhole),
                         Must(Check::kBytes)};  // At most 0 a second.
  scenario.assertions.push_back(Must(Check::kServed));
  scenario.assertions.back().least = 1;
  const RigResult result = Play(scenario, Evidence::kDiscard);
  EXPECT_NE(Lines(result.violations).find("n1 never said that it is cut off"), std::string::npos);
  EXPECT_NE(Lines(result.violations).find("bytes a second"), std::string::npos);
  EXPECT_GT(result.relay.resets, 0u);
  EXPECT_GT(result.account.lost, 0u);
  EXPECT_EQ(result.account.wrong + result.account.twice, 0u);
}

}  // namespace
}  // namespace hingelink::lab
