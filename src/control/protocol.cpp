#include "control/protocol.h"

#include <chrono>

#include "log/log.h"
#include "schema/schema.h"

namespace hingelink::control {
namespace {

std::string Line(const Json& json) {
  return json.dump(-1, ' ', false, Json::error_handler_t::replace) + '\n';
}

template <typename T>
Json Counts(const T& counts) {
  return {{"served", counts.served}, {"refused", counts.rejected}, {"failed", counts.failed}};
}

}  // namespace

Request ReadRequest(std::string_view line) {
  const nlohmann::json json = nlohmann::json::parse(line, nullptr, false);
  if (json.is_discarded()) throw RequestError("bad-json", "the line is no JSON");
  static const schema::Schema form(schema::ControlRequestSchema());
  if (const auto faults = form.Check(json); !faults.empty()) {
    throw RequestError("bad-request", faults.front().Text());
  }
  Request request;
  request.id = json["id"].get<std::uint64_t>();
  request.op = json["op"].get<std::string>();
  request.args = json.value("args", nlohmann::json::object());
  return request;
}

std::string ResultLine(std::uint64_t id, const Json& result) {
  return Line({{"v", kVersion}, {"id", id}, {"ok", true}, {"result", result}});
}

std::string ErrorLine(std::uint64_t id, const RequestError& error) {
  return Line({{"v", kVersion},
               {"id", id},
               {"ok", false},
               {"error", {{"code", error.code()}, {"message", error.what()}}}});
}

Json SnapshotJson(const node::Snapshot& seen, const ProcessInfo& process) {
  const auto unix_ms = std::chrono::floor<std::chrono::milliseconds>(std::chrono::system_clock::now());
  Json json = {{"schema", 1},
               {"at_ms", unix_ms.time_since_epoch().count()},
               {"name", seen.name},
               {"version", process.version},
               {"pid", process.pid},
               {"generation", process.generation},
               {"state", node::NodeStateName(seen.state)},
               {"ready", seen.ready},
               {"uptime_ms", seen.uptime.count()}};
  if (seen.drain)
    json["drain"] = {{"left_ms", seen.drain->remaining.count()}, {"owed", seen.drain->unanswered}};
  node::ClassSnapshot sum;
  Json classes = Json::array();
  for (const node::ClassSnapshot& c : seen.classes) {
    sum.queued += c.queued;
    sum.running += c.running;
    sum.served += c.served;
    sum.rejected += c.rejected;
    sum.failed += c.failed;
    // Names come from a file, and end on terminals.
    Json entry = {{"name", log::Printable(c.name)}, {"held", c.queued}, {"running", c.running}};
    entry.update(Counts(c));
    classes.push_back(std::move(entry));
  }
  Json totals = {{"held", sum.queued}, {"running", sum.running}};
  totals.update(Counts(sum));
  totals.update(Json{{"owed", seen.unanswered},
                     {"connections", seen.connections},
                     {"runs", seen.executions},
                     {"gateways", seen.gateway_count}});
  json["totals"] = std::move(totals);
  json["classes"] = std::move(classes);
  json["gateways"] = Json::array();
  for (const node::GatewaySnapshot& g : seen.gateways) {
    Json entry = {{"via", g.gateway_id}, {"open", g.open_requests}, {"requests", g.requests}};
    entry.update(Counts(g));
    json["gateways"].push_back(std::move(entry));
  }
  for (const node::LoopSnapshot& loop : seen.loops) {
    json["loops"].push_back({{"connections", loop.connections},
                             {"told_waiting", loop.pending_messages},
                             {"orders_waiting", loop.pending_commands},
                             {"busy", loop.cpu_fraction},
                             {"taken", loop.connections_received},
                             {"hung", loop.stalled}});
  }
  Json pool = {{"address", seen.pool_address}, {"good", seen.pool_connected}};
  if (seen.pool_cpu_busy) pool["busy"] = *seen.pool_cpu_busy;
  json["links"] = {{"pool", std::move(pool)},
                   {"registry", {{"address", seen.registry_address}, {"good", seen.registry_healthy}}}};
  json["log"] = {{"level", log::LevelName(log::CurrentLevel())},
                 {"lost", log::LostLineCount()},
                 {"lines", log::RecentLines()}};
  return json;
}

}  // namespace hingelink::control
