// The metrics of a fleet. Names, labels and label values are a stable interface.
#include "fleet/fleet_snapshot.h"

#include <gtest/gtest.h>

namespace hingelink::fleet {
namespace {

decide::MemberView MakeView(decide::MemberState state, decide::Milliseconds since_last_message) {
  decide::MemberView view;
  view.record.state = state;
  view.since_last_message = since_last_message;
  return view;
}

bool HasLine(const std::string& text, const std::string& line) {
  return ("\n" + text).find("\n" + line + "\n") != std::string::npos;
}

TEST(FleetMetrics, CountMembersByStateAndThisNodeAsAlive) {
  FleetSnapshot snapshot;
  snapshot.members = {MakeView(decide::MemberState::kAlive, decide::Milliseconds(10)),
                      MakeView(decide::MemberState::kSuspect, decide::Milliseconds(20)),
                      MakeView(decide::MemberState::kDead, decide::Milliseconds(30))};
  const std::string text = MetricsTextOf(snapshot);
  EXPECT_TRUE(HasLine(text, "edge_node_fleet_members{state=\"alive\"} 2")) << text;
  EXPECT_TRUE(HasLine(text, "edge_node_fleet_members{state=\"suspect\"} 1")) << text;
  EXPECT_TRUE(HasLine(text, "edge_node_fleet_members{state=\"gone\"} 1")) << text;
}

TEST(FleetMetrics, QuietSecondsIsTheLongestTimeSinceAMessageFromALiveMember) {
  FleetSnapshot snapshot;
  snapshot.members = {MakeView(decide::MemberState::kAlive, decide::Milliseconds(500)),
                      MakeView(decide::MemberState::kSuspect, decide::Milliseconds(2'000)),
                      MakeView(decide::MemberState::kDead, decide::Milliseconds(9'000))};
  EXPECT_TRUE(HasLine(MetricsTextOf(snapshot), "edge_node_fleet_quiet_seconds 2"));
}

TEST(FleetMetrics, KeepTheirNamesAndLabelValues) {
  FleetSnapshot snapshot;
  snapshot.defers_removals = true;
  snapshot.local_health = 3;
  snapshot.counters.suspicions = 11;
  snapshot.counters.withdrawn_suspicions = 12;
  snapshot.counters.removed = 13;
  snapshot.counters.refutations = 14;
  snapshot.transport = {.sent = 21,
                        .sent_bytes = 22,
                        .received = 23,
                        .received_bytes = 24,
                        .malformed = 25,
                        .unauthenticated = 26,
                        .replayed = 27,
                        .reflected = 28,
                        .unsent = 29,
                        .read_pauses = 30};
  const std::string text = MetricsTextOf(snapshot);
  for (const char* line :
       {"cut_off 1", "health 3", "suspicions_total{outcome=\"raised\"} 11",
        "suspicions_total{outcome=\"withdrawn\"} 12", "suspicions_total{outcome=\"gone\"} 13",
        "suspicions_total{outcome=\"of-this-node\"} 14", "messages_total{direction=\"sent\"} 21",
        "bytes_total{direction=\"sent\"} 22", "messages_total{direction=\"received\"} 23",
        "bytes_total{direction=\"received\"} 24", "dropped_total{reason=\"not-ours\"} 25",
        "dropped_total{reason=\"wrong-key\"} 26", "dropped_total{reason=\"again\"} 27",
        "dropped_total{reason=\"echo\"} 28", "dropped_total{reason=\"unsent\"} 29"}) {
    EXPECT_TRUE(HasLine(text, std::string("edge_node_fleet_") + line)) << line << '\n' << text;
  }
}

}  // namespace
}  // namespace hingelink::fleet
