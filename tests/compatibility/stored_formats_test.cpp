// Checks that data kept on disk, sent between nodes or read from files keeps the format and keys of version
// 0.3.0: gossip messages, the control snapshot, learned state, the supervisor's state, scenarios and
// settings.
#include <nlohmann/json.hpp>
#include <string>

#include "control/protocol.h"
#include "decide/learned/learned_state_import.h"
#include "fixtures.h"
#include "fleet/codec.h"
#include "lab/scenario/scenario.h"
#include "log/log.h"
#include "node/config.h"
#include "schema/schema.h"
#include "simulator_adapter/settings_parser.h"
#include "state/learned_store.h"
#include "state/supervisor_state_store.h"

namespace hingelink {
namespace {

using compatibility::ExpectFixture;
using compatibility::FixturePath;
using compatibility::ReadFixture;
using nlohmann::json;

TEST(GossipMessages, AreEncodedAsInFixtureAndDecodedBack) {
  decide::MemberRecord member;
  member.name = "n1";
  member.address = {0x7f000001, 9000};
  member.version = {1796153535000, 4};
  member.phase = decide::MemberPhase::kDraining;
  member.state = decide::MemberState::kSuspect;
  member.zone = "a";
  member.weight = 4;
  member.accuser = "n2";
  decide::GossipMessage message;
  message.kind = decide::GossipMessageKind::kSyncResponse;
  message.sequence_number = 77;
  message.target = "n3";
  message.target_address = {0x7f000002, 9001};
  message.view_digest = 0x0123456789abcdef;
  message.bucket_digests = {0x01020304, 0xfffefdfc};
  message.differing_buckets = {1, 127};
  message.records = {member};
  message.payloads = {{3, "parcel"}};
  ExpectFixture("gossip-message.cbor", fleet::Encode(message));
  EXPECT_EQ(fleet::Decode(ReadFixture("gossip-message.cbor")), message);
}

node::Snapshot SampleSnapshot() {
  node::Snapshot snapshot;
  snapshot.name = "shire-1";
  snapshot.state = node::NodeState::kDraining;
  snapshot.ready = true;
  snapshot.uptime = std::chrono::milliseconds(12345);
  node::ClassSnapshot of_class;
  of_class.name = "usage-view";
  of_class.queued = 1;
  of_class.running = 2;
  of_class.served = 3;
  of_class.rejected = 4;
  of_class.failed = 5;
  snapshot.classes = {of_class};
  node::GatewaySnapshot gateway;
  gateway.gateway_id = 6;
  gateway.open_requests = 7;
  gateway.requests = 8;
  gateway.served = 9;
  gateway.rejected = 10;
  gateway.failed = 11;
  snapshot.gateways = {gateway};
  snapshot.gateway_count = 12;
  node::LoopSnapshot loop;
  loop.connections = 13;
  loop.pending_messages = 14;
  loop.pending_commands = 15;
  loop.cpu_fraction = 0.5;
  loop.connections_received = 16;
  loop.stalled = true;
  snapshot.loops = {loop};
  snapshot.unanswered = 17;
  snapshot.connections = 18;
  snapshot.executions = 19;
  snapshot.pool_connected = true;
  snapshot.pool_address = "127.0.0.1:9300";
  snapshot.pool_cpu_busy = 0.75;
  snapshot.registry_healthy = true;
  snapshot.registry_address = "127.0.0.1:8761";
  snapshot.drain = node::DrainSnapshot{std::chrono::milliseconds(2000), 20};
  return snapshot;
}

TEST(ControlSnapshot, KeepsItsKeysAndOrder) {
  auto snapshot = control::SnapshotJson(SampleSnapshot(), {.version = "0.0.0", .pid = 21, .generation = 22});
  const json with_time = json::parse(snapshot.dump());
  EXPECT_TRUE(schema::Schema(schema::ControlSnapshotSchema()).Check(with_time).empty());
  snapshot.erase("at_ms");
  snapshot.erase("log");
  ExpectFixture("control-snapshot.json", snapshot.dump(1) + '\n');
}

TEST(ControlSnapshot, NodeStatesKeepTheirNames) {
  EXPECT_STREQ(node::NodeStateName(node::NodeState::kStarting), "starting");
  EXPECT_STREQ(node::NodeStateName(node::NodeState::kServing), "serving");
  EXPECT_STREQ(node::NodeStateName(node::NodeState::kHandedOver), "handed-over");
  EXPECT_STREQ(node::NodeStateName(node::NodeState::kDraining), "draining");
}

TEST(LearnedState, IsUnchangedByDecodingAndEncoding) {
  for (const char* name : {"learned/learned.state", "learned/learned.state.1"}) {
    const std::string bytes = ReadFixture(name);
    const state::DecodedLearned decoded = state::DecodeLearned(bytes, state::LearnedFrameKind::kSnapshot);
    ASSERT_EQ(decoded.status, state::DecodedLearned::Status::kValid) << name;
    EXPECT_EQ(decoded.bytes, bytes.size());
    EXPECT_EQ(state::EncodeLearned(decoded.entry, state::LearnedFrameKind::kSnapshot), bytes) << name;
    EXPECT_FALSE(decoded.entry.record.learned.classes.empty());
  }
  const std::string log = ReadFixture("learned/learned.log");
  std::string_view log_bytes = log;
  std::string encoded;
  while (!log_bytes.empty()) {
    const state::DecodedLearned decoded =
        state::DecodeLearned(log_bytes, state::LearnedFrameKind::kLogRecord);
    ASSERT_EQ(decoded.status, state::DecodedLearned::Status::kValid);
    encoded += state::EncodeLearned(decoded.entry, state::LearnedFrameKind::kLogRecord);
    log_bytes.remove_prefix(decoded.bytes);
  }
  EXPECT_EQ(encoded, log);
}

TEST(SupervisorState, IsUnchangedByDecodingAndEncoding) {
  const std::string text = ReadFixture("plan.json");
  const std::string boot = json::parse(text).at("boot").get<std::string>();
  const state::LoadedSupervisorState found = state::SupervisorStateStore::Decode(text, boot);
  ASSERT_EQ(found.status, state::LoadedSupervisorState::Status::kValid);
  EXPECT_TRUE(found.state.current);
  EXPECT_EQ(state::SupervisorStateStore::Encode(found.state, boot), text);
}

TEST(Scenarios, AreUnchangedByReadingAndWriting) {
  const std::string path = FixturePath("scenario.json");
  EXPECT_EQ(lab::WriteScenario(lab::ReadScenario(path)), ReadFixture("scenario.json"));
}

// Returns the value of the settings key `repeat`.
std::string IdempotencyName(Idempotency idempotency) {
  return idempotency == Idempotency::kIdempotent ? "safe"
         : idempotency == Idempotency::kKeyed    ? "keyed"
                                                 : "unsafe";
}

// Returns one line for each field of the settings: the key that the field was read from, and the
// value.
std::string FormatSettings(const Settings& settings) {
  std::string text;
  const auto line = [&text](const std::string& key, double value) {
    text += key + ' ' + std::to_string(value) + '\n';
  };
  for (std::size_t i = 0; i < settings.classes.size(); ++i) {
    const RequestClass& request_class = settings.classes[i];
    const std::string prefix = "requestClasses." + std::to_string(i) + '.';
    text.append(prefix).append("name ").append(request_class.name) += '\n';
    text.append(prefix).append("repeat ").append(IdempotencyName(request_class.idempotency)) += '\n';
    line(prefix + "goalTimeMs", request_class.latency_objective_ms);
    line(prefix + "aimStretch", request_class.latency_objective_work_factor);
    line(prefix + "hardLimitMs", request_class.deadline_ms);
    line(prefix + "lateShare", request_class.late_weight_fraction);
    line(prefix + "windowMs", request_class.idempotency_window_ms);
    line(prefix + "worth", request_class.priority_weight);
    line("specifics.worthWithout." + std::to_string(i), request_class.fallback_weight_fraction);
    line("specifics.classCalls." + std::to_string(i), request_class.may_call_upstream);
  }
  for (std::size_t i = 0; i < settings.tenants.size(); ++i) {
    const std::string prefix = "tenants." + std::to_string(i) + '.';
    text.append(prefix).append("name ").append(settings.tenants[i].name) += '\n';
    line(prefix + "portion", settings.tenants[i].traffic_fraction);
    line(prefix + "quotaRps", settings.tenants[i].quota_rps);
  }
  for (const std::string& gauge : settings.gauges) text += "specifics.gauges " + gauge + '\n';
  line("specifics.cpus", settings.cores);
  line("specifics.memoryKb", settings.memory_kb);
  line("specifics.runFactor", settings.running_memory_factor);
  line("specifics.keyKb", settings.idempotency_key_kb);
  line("specifics.freshMs", settings.read_cache_ttl_ms);
  line("specifics.cold", settings.warming_up);
  line("rules.coldFrom", settings.warm_up_speed_fraction);
  line("rules.coldMs", settings.warm_up_ms);
  line("rules.fallMultiple", settings.max_running_per_core);
  line("rules.fallMs", settings.max_running_window_ms);
  line("rules.answerSlackMs", settings.answer_grace_ms);
  line("rules.drainGraceMs", settings.drain_grace_ms);
  line("quantumMs", settings.min_batch_interval_ms);
  line("specifics.dependsOn", settings.has_upstream);
  line("specifics.callShare", settings.upstream_call_quota);
  line("specifics.callsOverMs", settings.upstream_call_quota_window_ms);
  line("specifics.lingersMs", settings.abandoned_call_ms);
  line("specifics.passesDeadline", settings.callers_send_remaining_wait);
  line("peersTotal", settings.fleet_size);
  line("specifics.clientsTotal", settings.callers);
  line("overShareWorth", settings.over_quota_weight_fraction);
  line("worthBy", settings.weight_by_work);
  line("specifics.signal", static_cast<int>(settings.load_signal));
  line("specifics.heardForMs", settings.load_signal_lifetime_ms);
  line("specifics.stopMode", settings.can_cancel_runs);
  line("limits.retryAfter", settings.sends_retry_after);
  line("limits.maxRetryAfterMs", settings.max_retry_after_ms);
  line("specifics.idleMs", settings.caller_idle_timeout_ms);
  line("goal.whole", settings.goal_weight_overall);
  line("goal.worstWindow", settings.goal_weight_worst_window);
  line("goal.worstClass", settings.goal_weight_worst_class);
  line("goal.worstTenant", settings.goal_weight_worst_tenant);
  return text;
}

// The fixture sets every key to a value that differs from the default.
TEST(SettingsKeys, AreReadFromPathValueLines) {
  ExpectFixture("settings-read.txt",
                FormatSettings(simulator_adapter::ParseSettings(ReadFixture("settings.txt"))));
}

TEST(SettingsKeys, AreReadFromNodeConfiguration) {
  const node::Config config = node::ReadConfig(FixturePath("node-config.json"));
  ExpectFixture("node-config-read.txt",
                config.name + ' ' + config.listen_address + ' ' + config.pool_address + ' ' +
                    config.registry_address + ' ' + config.store_address + ' ' + config.admin_address + ' ' +
                    std::to_string(config.seed) + ' ' + std::to_string(config.drain_timeout.count()) + ' ' +
                    std::to_string(config.max_descriptors) + ' ' + std::to_string(config.memory_limit_mb) +
                    '\n' + FormatSettings(config.settings));
}

TEST(SettingsKeys, AreNamedInErrorMessages) {
  const std::string valid = ReadFixture("settings.txt");
  std::string errors;
  std::size_t start = 0;
  while (start < valid.size()) {
    const std::size_t end = valid.find('\n', start);
    const std::string line = valid.substr(start, end - start);
    const std::string key = line.substr(0, line.find('='));
    std::string invalid = valid;
    invalid.replace(start, line.size(), key + "=?");
    try {
      simulator_adapter::ParseSettings(invalid);
      errors += key + ": taken\n";
    } catch (const std::exception& error) {
      errors += key + ": " + error.what() + '\n';
    }
    start = end + 1;
  }
  ExpectFixture("settings-errors.txt", errors);
}

}  // namespace
}  // namespace hingelink
