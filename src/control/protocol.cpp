#include "control/protocol.h"

#include <chrono>

#include "log/log.h"
#include "schema/schema.h"

namespace hingelink::control {
namespace {

std::string SerializeLine(const Json& json) {
  return json.dump(-1, ' ', false, Json::error_handler_t::replace) + '\n';
}

template <typename T>
Json OutcomeCounts(const T& counts) {
  return {{"served", counts.served}, {"refused", counts.rejected}, {"failed", counts.failed}};
}

}  // namespace

Request ReadRequest(std::string_view line) {
  const nlohmann::json json = nlohmann::json::parse(line, nullptr, false);
  if (json.is_discarded()) throw RequestError("bad-json", "the line is not valid JSON");
  static const schema::Schema request_schema(schema::ControlRequestSchema());
  if (const auto errors = request_schema.Check(json); !errors.empty()) {
    throw RequestError("bad-request", errors.front().Text());
  }
  Request request;
  request.id = json["id"].get<std::uint64_t>();
  request.op = json["op"].get<std::string>();
  request.args = json.value("args", nlohmann::json::object());
  return request;
}

std::string ResultLine(std::uint64_t id, const Json& result) {
  return SerializeLine({{"v", kVersion}, {"id", id}, {"ok", true}, {"result", result}});
}

std::string ErrorLine(std::uint64_t id, const RequestError& error) {
  return SerializeLine({{"v", kVersion},
                        {"id", id},
                        {"ok", false},
                        {"error", {{"code", error.code()}, {"message", error.what()}}}});
}

Json SnapshotJson(const node::Snapshot& snapshot, const ProcessInfo& process) {
  const auto unix_ms = std::chrono::floor<std::chrono::milliseconds>(std::chrono::system_clock::now());
  Json json = {{"schema", 1},
               {"at_ms", unix_ms.time_since_epoch().count()},
               {"name", snapshot.name},
               {"version", process.version},
               {"pid", process.pid},
               {"generation", process.generation},
               {"state", node::NodeStateName(snapshot.state)},
               {"ready", snapshot.ready},
               {"uptime_ms", snapshot.uptime.count()}};
  if (snapshot.drain)
    json["drain"] = {{"left_ms", snapshot.drain->remaining.count()}, {"owed", snapshot.drain->unanswered}};
  node::ClassSnapshot total;
  Json classes = Json::array();
  for (const node::ClassSnapshot& c : snapshot.classes) {
    total.queued += c.queued;
    total.running += c.running;
    total.served += c.served;
    total.rejected += c.rejected;
    total.failed += c.failed;
    // Escaped because class names come from a configuration file and are shown on terminals.
    Json entry = {{"name", log::Printable(c.name)}, {"held", c.queued}, {"running", c.running}};
    entry.update(OutcomeCounts(c));
    classes.push_back(std::move(entry));
  }
  Json totals = {{"held", total.queued}, {"running", total.running}};
  totals.update(OutcomeCounts(total));
  totals.update(Json{{"owed", snapshot.unanswered},
                     {"connections", snapshot.connections},
                     {"runs", snapshot.executions},
                     {"gateways", snapshot.gateway_count}});
  json["totals"] = std::move(totals);
  json["classes"] = std::move(classes);
  json["gateways"] = Json::array();
  for (const node::GatewaySnapshot& g : snapshot.gateways) {
    Json entry = {{"via", g.gateway_id}, {"open", g.open_requests}, {"requests", g.requests}};
    entry.update(OutcomeCounts(g));
    json["gateways"].push_back(std::move(entry));
  }
  for (const node::LoopSnapshot& loop : snapshot.loops) {
    json["loops"].push_back({{"connections", loop.connections},
                             {"told_waiting", loop.pending_messages},
                             {"orders_waiting", loop.pending_commands},
                             {"busy", loop.cpu_fraction},
                             {"taken", loop.connections_received},
                             {"hung", loop.stalled}});
  }
  Json pool = {{"address", snapshot.pool_address}, {"good", snapshot.pool_connected}};
  if (snapshot.pool_cpu_busy) pool["busy"] = *snapshot.pool_cpu_busy;
  json["links"] = {
      {"pool", std::move(pool)},
      {"registry", {{"address", snapshot.registry_address}, {"good", snapshot.registry_healthy}}}};
  json["log"] = {{"level", log::LevelName(log::CurrentLevel())},
                 {"lost", log::LostLineCount()},
                 {"lines", log::RecentLines()}};
  return json;
}

}  // namespace hingelink::control
