// Scenarios: what is wrong with a file is told with place and mend; what is good can be written and read
// again.
#include "lab/scenario/scenario.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <filesystem>

#include "lab/scenario/weather.h"

namespace hingelink::lab {
namespace {

std::string With(const std::string& rest) {
  return R"({"name":"x","why":"y","length_ms":1000,"fleet":{"nodes":6,"zones":["a","b"]})" + rest + "}";
}

std::string Fault(const std::string& text) {
  try {
    ParseScenario(text, "f.json");
    return "none";
  } catch (const ScenarioError& fault) {
    return fault.what();
  }
}

TEST(Scenario, FaultsOfAFileAreToldAllAtOnce) {
  EXPECT_EQ(Fault(With("")), "none");
  EXPECT_NE(Fault("{\n\n]").find("f.json line 3: no JSON"), std::string::npos);
  const std::string two = Fault(R"({"name":"x","why":"","length_ms":-1,"fleet":{"nodes":0}})");
  EXPECT_NE(two.find("f.json /length_ms: found -1"), std::string::npos) << two;
  EXPECT_NE(two.find("f.json /fleet/nodes: found 0"), std::string::npos) << two;
  EXPECT_NE(Fault(With(R"(,"faults":[{"at_ms":1,"do":"cutt","who":"all"}])")).find("/faults/0/do"),
            std::string::npos);
  EXPECT_NE(Fault(With(R"(,"faults":[{"at_ms":1,"do":"cut","who":"nodes:3-9"}])"))
                .find("f.json /faults/0/who: found \"nodes:3-9\"; wanted nodes from 0 to 5"),
            std::string::npos);
  EXPECT_NE(Fault(With(R"(,"faults":[{"at_ms":1,"do":"cut","who":"zone:c"}])"))
                .find("wanted a zone of /fleet/zones"),
            std::string::npos);
  EXPECT_NE(
      Fault(With(R"(,"faults":[{"at_ms":5000,"do":"cut","who":"all"}])")).find("wanted at most /length_ms"),
      std::string::npos);
  EXPECT_NE(Fault(With(R"(,"faults":[{"at_ms":1,"do":"kill","who":"gateways"}])"))
                .find("a process fault wants nodes"),
            std::string::npos);
  EXPECT_NE(
      Fault(With(R"(,"faults":[{"at_ms":1,"do":"throttle","who":"all"}])")).find("wanted bytes a second"),
      std::string::npos);
  EXPECT_NE(
      Fault(With(R"(,"faults":[{"at_ms":1,"do":"forge","who":"all"}])")).find("wanted datagrams a second"),
      std::string::npos);
  EXPECT_NE(Fault(With(R"(,"faults":[{"at_ms":1,"do":"keys","who":"all"}])")).find("the first signs"),
            std::string::npos);
  EXPECT_NE(Fault(With(R"(,"assert":[{"what":"cut-off-said"}])")).find("wants a \"who\""), std::string::npos);
  EXPECT_THROW(ReadScenario("/nowhere.json"), ScenarioError);
}

TEST(Scenario, KeptOnesAndDrawnOnesCanBeWrittenAndReadAgain) {
  std::size_t count = 0;
  for (const auto& entry : std::filesystem::directory_iterator(HINGELINK_SOURCE_DIR "/deploy/scenarios")) {
    const Scenario scenario = ReadScenario(entry.path());
    EXPECT_EQ(scenario.name, entry.path().stem());
    const std::string text = WriteScenario(scenario);
    EXPECT_EQ(WriteScenario(ParseScenario(text, "again")), text);
    ++count;
  }
  EXPECT_GE(count, 15u);
  for (std::uint64_t seed = 1; seed < 40; ++seed) {
    const std::string text = WriteScenario(RandomScenario(seed, 9, Millis(40'000)));
    EXPECT_EQ(WriteScenario(ParseScenario(text, "again")), text);
  }
}

TEST(Scenario, ALinkFaultIsOnItsDirectionsAndNoOther) {
  const Scenario scenario =
      ParseScenario(With(R"(,"faults":[{"at_ms":1,"do":"cut","who":"node:1","to":"rest","both":false},
                                       {"at_ms":1,"do":"cut","who":"gateways","to":"node:2"}])"),
                    "f");
  Weather weather(scenario);
  const Chance never = [] { return 1.0; };
  const Parties parties = weather.parties();
  EXPECT_FALSE(weather.Datagram(1, 0, 10, Millis(0), never).lost);
  weather.Switch(0, true);
  weather.Switch(1, true);
  EXPECT_TRUE(weather.Datagram(1, 0, 10, Millis(0), never).lost);
  EXPECT_FALSE(weather.Datagram(0, 1, 10, Millis(0), never).lost);
  EXPECT_FALSE(weather.Datagram(0, 2, 10, Millis(0), never).lost);
  EXPECT_TRUE(weather.Piece(parties.Gateways(), 2, 10, Millis(0), never).lost);
  EXPECT_TRUE(weather.Piece(2, parties.Gateways(), 10, Millis(0), never).lost);
  EXPECT_FALSE(weather.Piece(1, parties.Pool(1), 10, Millis(0), never).lost);
  EXPECT_TRUE(weather.Touches(1, 2, parties.Gateways()));
  EXPECT_FALSE(weather.Touches(1, 3, parties.Gateways()));
}

TEST(Scenario, AThrottledLinkDelaysAndThenLoses) {
  const Scenario scenario = ParseScenario(
      With(R"(,"faults":[{"at_ms":1,"do":"throttle","who":"node:0","to":"node:1","bytes":1000}])"), "f");
  Weather weather(scenario);
  weather.Switch(0, true);
  const Chance never = [] { return 1.0; };
  EXPECT_EQ(weather.Datagram(0, 1, 1'000, Millis(0), never).delay, Millis(1'000));
  EXPECT_EQ(weather.Datagram(0, 1, 1'000, Millis(0), never).delay, Millis(2'000));
  EXPECT_TRUE(weather.Datagram(0, 1, 1'000, Millis(0), never).lost);
  EXPECT_EQ(weather.Datagram(0, 1, 1'000, Millis(1'000), never).delay, Millis(2'000));
}

}  // namespace
}  // namespace hingelink::lab
