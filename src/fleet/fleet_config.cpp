#include "fleet/fleet_config.h"

#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <utility>

#include "net/event.h"
#include "schema/schema.h"

namespace hingelink::fleet {
namespace {

std::string JoinFaults(const std::string& path, const std::vector<std::string>& faults) {
  std::string text;
  for (const std::string& fault : faults) {
    if (!text.empty()) text += '\n';
    text.append(path).append(fault);
  }
  return text;
}

nlohmann::json ReadJson(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) {
    throw FleetConfigError(path, {": cannot be read; wanted a file by deploy/schema/peers.json"});
  }
  const std::string text(std::istreambuf_iterator<char>(file), {});
  nlohmann::json json = nlohmann::json::parse(text, nullptr, false, true);
  if (json.is_discarded()) throw FleetConfigError(path, {": no JSON"});
  return json;
}

void CheckSchema(const std::string& path, const nlohmann::json& json) {
  static const schema::Schema peers_schema(schema::PeersSchema());
  std::vector<std::string> faults;
  for (const schema::ValidationError& fault : peers_schema.Check(json)) faults.push_back(' ' + fault.Text());
  if (!faults.empty()) throw FleetConfigError(path, faults);
}

}  // namespace

FleetConfigError::FleetConfigError(std::string path, const std::vector<std::string>& faults)
    : std::runtime_error(JoinFaults(path, faults)), path_(std::move(path)) {}

FleetConfig ReadFleetConfig(const std::string& path) {
  const nlohmann::json json = ReadJson(path);
  CheckSchema(path, json);
  FleetConfig config;
  config.listen = json["listen"];
  config.advertise = json.value("advertise", "");
  config.keys = json["keys"];
  config.zone = json.value("zone", "");
  config.seeds = json.value("seeds", config.seeds);
  config.weight = json.value("weight", config.weight);
  for (const std::string& address : config.seeds) net::ParseAddress(address);
  return config;
}

}  // namespace hingelink::fleet
