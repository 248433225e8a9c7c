#include "fleet/fleet_config.h"

#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <utility>

#include "net/event.h"
#include "schema/schema.h"

namespace hingelink::fleet {
namespace {

std::string JoinErrors(const std::string& path, const std::vector<std::string>& errors) {
  std::string text;
  for (const std::string& error : errors) {
    if (!text.empty()) text += '\n';
    text.append(path).append(error);
  }
  return text;
}

nlohmann::json ReadJson(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) {
    throw FleetConfigError(
        path, {": cannot be read; expected a JSON file as described by deploy/schema/peers.json"});
  }
  const std::string text(std::istreambuf_iterator<char>(file), {});
  nlohmann::json json = nlohmann::json::parse(text, nullptr, false, true);
  if (json.is_discarded()) throw FleetConfigError(path, {": not valid JSON"});
  return json;
}

void CheckSchema(const std::string& path, const nlohmann::json& json) {
  static const schema::Schema peers_schema(schema::PeersSchema());
  std::vector<std::string> errors;
  for (const schema::ValidationError& fault : peers_schema.Check(json)) errors.push_back(' ' + fault.Text());
  if (!errors.empty()) throw FleetConfigError(path, errors);
}

}  // namespace

FleetConfigError::FleetConfigError(std::string path, const std::vector<std::string>& errors)
    : std::runtime_error(JoinErrors(path, errors)), path_(std::move(path)) {}

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
