#include "cli/control_of_node.h"

#include <arpa/inet.h>
#include <unistd.h>

#include "background/learned_state_persister.h"
#include "control/server.h"
#include "fleet/fleet.h"
#include "log/log.h"

namespace hingelink::cli {
namespace {

using control::Json;

class Control : public ControlOfNode {
 public:
  Control(node::Node& node, const std::string& path, std::uint64_t generation, const StateOfNode* state,
          const FleetOfNode* fleet, const ServicesOfNode* services)
      : server_(node.base(), {.path = path},
                [&node, generation, fleet] {
                  Json json =
                      control::SnapshotJson(node.TakeSnapshot(), {HINGELINK_VERSION, getpid(), generation});
                  if (fleet != nullptr) json["fleet"] = Json::parse(fleet->Short());
                  return json;
                },
                {{"drain",
                  [&node](const nlohmann::json&) {
                    return Json{{"already", !node.StartDrain()}};
                  }},
                 {"reload",
                  [&node](const nlohmann::json&) {
                    const std::string wrong = node.Reload();
                    if (!wrong.empty()) throw control::RequestError("reload-failed", wrong);
                    return Json{{"reloaded", true}};
                  }},
                 {"connections",
                  [&node](const nlohmann::json& args) {
                    Json list = Json::array();
                    for (const auto& c : node.TakeConnectionSnapshots(args.value("most", std::size_t{64}))) {
                      list.push_back({{"id", c.id},
                                      {"requests", c.requests},
                                      {"open", c.open_requests},
                                      {"unsent_bytes", c.unsent_bytes},
                                      {"quiet_ms", c.idle.count()}});
                    }
                    return Json{{"connections", std::move(list)}};
                  }},
                 {"log-level",
                  [](const nlohmann::json& args) {
                    log::Level level = log::CurrentLevel();
                    if (args.contains("level") && log::ParseLevel(args["level"].get<std::string>(), level)) {
                      log::SetLevel(level);
                      log::Info("log-level", {{"level", log::LevelName(level)}});
                    }
                    return Json{{"level", log::LevelName(level)}};
                  }},
                 {"background",
                  [state](const nlohmann::json&) {
                    return Json{{"jobs", state == nullptr ? Json::array() : Json::parse(state->Jobs())}};
                  }},
                 {"members",
                  [fleet](const nlohmann::json& args) {
                    if (fleet == nullptr)
                      throw control::RequestError("no-fleet",
                                                  "this node was started without peers; name them in the "
                                                  "appliance's file, or with serve --peers");
                    return Json::parse(fleet->Members(args.value("brief", false)));
                  }},
                 {"spread",
                  [services](const nlohmann::json&) {
                    if (services == nullptr)
                      throw control::RequestError(
                          "no-services",
                          "this node has one worker pool of its own; name services in the "
                          "appliance's file, or with serve --services");
                    return Json::parse(services->Spread());
                  }},
                 {"version", [](const nlohmann::json&) {
                    return Json{{"version", HINGELINK_VERSION}, {"control", control::kVersion}};
                  }}}) {}

 private:
  control::Server server_;
};

class KeptState : public StateOfNode {
 public:
  KeptState(node::Node& node, const std::string& folder)
      : keeper_(node, state::SystemFileSystem(), {.directory = folder}) {}
  void Finish() override { keeper_.Finish(); }
  std::string Jobs() const override {
    static constexpr const char* kStates[] = {"resting", "due", "running"};
    Json jobs = Json::array();
    for (const background::JobReport& job : keeper_.JobReports()) {
      jobs.push_back({{"name", job.name},
                      {"priority", job.priority},
                      {"state", kStates[static_cast<int>(job.stats.state)]},
                      {"runs", job.stats.runs},
                      {"failures", job.stats.failures},
                      {"starved", job.stats.starvation_runs},
                      {"cancelled", job.stats.cancelled},
                      {"due_for_ms", job.stats.overdue_by.count()},
                      {"last_took_ms", job.stats.last_duration.count()},
                      {"cpu_ms", job.stats.total_cost.cpu.count()},
                      {"bytes", job.stats.total_cost.bytes}});
    }
    return jobs.dump();
  }

 private:
  background::LearnedStatePersister keeper_;
};

class MembersOfFleet : public FleetOfNode {
 public:
  MembersOfFleet(node::Node& node, const std::string& path)
      : fleet_(node, [path] { return fleet::ReadFleetConfig(path); }) {}
  void Finish() override { fleet_.AnnounceLeave(); }
  std::string Members(bool brief) const override {
    const fleet::FleetSnapshot snapshot = fleet_.TakeSnapshot();
    if (brief) {
      Json json = {{"self", {{"life", snapshot.self.version.process_epoch}}},
                   {"cut_off", snapshot.defers_removals}};
      Json& members = json["members"] = Json::array();
      for (const auto& other : snapshot.members) {
        members.push_back({{"name", log::Printable(other.record.name)},
                           {"life", other.record.version.process_epoch},
                           {"state", decide::MemberStateName(other.record.state)}});
      }
      return json.dump();
    }
    Json json = {{"self", RecordJson(snapshot.self)},
                 {"linked", snapshot.is_transport_open},
                 {"cut_off", snapshot.defers_removals},
                 {"health", snapshot.local_health}};
    json["members"] = Json::array();
    for (const auto& other : snapshot.members) {
      Json member = RecordJson(other.record);
      member["state"] = decide::MemberStateName(other.record.state);
      member["held"] = other.is_removal_deferred;
      if (other.since_last_message.count() >= 0)
        member["heard_ms"] = std::llround(other.since_last_message.count());
      if (!other.record.accuser.empty()) member["by"] = log::Printable(other.record.accuser);
      json["members"].push_back(std::move(member));
    }
    json["counts"] = {
        {"suspicions", snapshot.counters.suspicions}, {"withdrawn", snapshot.counters.withdrawn_suspicions},
        {"gone", snapshot.counters.removed},          {"returned", snapshot.counters.returned},
        {"refuted", snapshot.counters.refutations},   {"thaws", snapshot.counters.pauses}};
    json["link"] = {
        {"sent", snapshot.transport.sent},          {"sent_bytes", snapshot.transport.sent_bytes},
        {"received", snapshot.transport.received},  {"received_bytes", snapshot.transport.received_bytes},
        {"not_ours", snapshot.transport.malformed}, {"wrong_key", snapshot.transport.unauthenticated},
        {"again", snapshot.transport.replayed},     {"unsent", snapshot.transport.unsent}};
    return json.dump();
  }
  std::string Short() const override {
    const fleet::FleetSnapshot snapshot = fleet_.TakeSnapshot();
    std::size_t by_state[3] = {1, 0, 0};
    for (const auto& other : snapshot.members) ++by_state[static_cast<std::size_t>(other.record.state)];
    return Json{{"alive", by_state[0]},
                {"suspect", by_state[1]},
                {"gone", by_state[2]},
                {"cut_off", snapshot.defers_removals},
                {"linked", snapshot.is_transport_open}}
        .dump();
  }

  std::vector<std::pair<std::string, std::string>> Here() const override {
    const fleet::FleetSnapshot snapshot = fleet_.TakeSnapshot();
    std::vector<std::pair<std::string, std::string>> here = {{snapshot.self.name, snapshot.self.zone}};
    for (const auto& other : snapshot.members) {
      // Suspects may be back any moment: what moves for them moves twice.
      if (other.record.state != decide::MemberState::kDead &&
          other.record.phase != decide::MemberPhase::kLeft)
        here.emplace_back(other.record.name, other.record.zone);
    }
    return here;
  }

 private:
  static Json RecordJson(const decide::MemberRecord& record) {
    const in_addr ip{htonl(record.address.ip)};
    char text[INET_ADDRSTRLEN];
    inet_ntop(AF_INET, &ip, text, sizeof text);
    // Names come from other processes, and end on terminals.
    return {{"name", log::Printable(record.name)},
            {"address", std::string(text) + ':' + std::to_string(record.address.port)},
            {"life", record.version.process_epoch},
            {"incarnation", record.version.incarnation},
            {"phase", decide::MemberPhaseName(record.phase)},
            {"zone", log::Printable(record.zone)},
            {"weight", record.weight}};
  }

  fleet::Fleet fleet_;
};

}  // namespace

std::unique_ptr<ControlOfNode> MakeControl(node::Node& node, const std::string& path,
                                           std::uint64_t generation, const StateOfNode* state,
                                           const FleetOfNode* fleet, const ServicesOfNode* services) {
  return std::make_unique<Control>(node, path, generation, state, fleet, services);
}

std::unique_ptr<FleetOfNode> JoinFleet(node::Node& node, const std::string& path) {
  return std::make_unique<MembersOfFleet>(node, path);
}

std::unique_ptr<StateOfNode> KeepState(node::Node& node, const std::string& folder) {
  return std::make_unique<KeptState>(node, folder);
}

}  // namespace hingelink::cli
