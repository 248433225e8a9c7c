#include "state/supervisor_state_store.h"

#include <xxhash.h>

#include <cstdio>
#include <fstream>
#include <nlohmann/json.hpp>
#include <utility>

namespace hingelink::state {
namespace {

using Json = nlohmann::json;
using decide::DesiredState;
using decide::Incarnation;
using decide::SupervisorState;

constexpr int kFormat = 1;
constexpr char kName[] = "plan.json";
// Bounds on what is read: a file that was damaged and still checks out must not make the supervisor signal
// processes at random.
constexpr std::int64_t kMostPid = 1 << 22;

std::string CheckOf(const Json& json) {
  const std::string text = json.dump();
  char check[20];
  std::snprintf(check, sizeof check, "%016llx",
                static_cast<unsigned long long>(XXH3_64bits(text.data(), text.size())));
  return check;
}

const char* WantName(DesiredState want) {
  return want == DesiredState::kServing ? "serve" : want == DesiredState::kDrained ? "drained" : "down";
}

Json ToJson(const Incarnation& life) {
  return {{"generation", life.generation},
          {"pid", life.process.pid},
          {"start_ticks", life.process.start_ticks},
          {"ready", life.ready},
          {"leaving", life.draining}};
}

Incarnation ToLife(const Json& json) {
  Incarnation life;
  life.generation = json.at("generation").get<std::uint64_t>();
  life.process.pid = json.at("pid").get<std::int64_t>();
  life.process.start_ticks = json.at("start_ticks").get<std::uint64_t>();
  life.ready = json.at("ready").get<bool>();
  life.draining = json.at("leaving").get<bool>();
  if (life.process.pid < 0 || life.process.pid > kMostPid || life.process.pid == 1) {
    throw std::runtime_error("a pid is out of range");
  }
  return life;
}

}  // namespace

std::string SupervisorStateStore::Encode(const SupervisorState& state, const std::string& boot) {
  Json json = {{"format", kFormat},
               {"boot", boot},
               {"want", WantName(state.desired)},
               {"last_generation", state.last_generation},
               {"crashes_in_row", state.consecutive_crashes}};
  if (state.current) json["current"] = ToJson(*state.current);
  if (state.successor) json["successor"] = ToJson(*state.successor);
  if (state.predecessor) json["predecessor"] = ToJson(*state.predecessor);
  json["check"] = CheckOf(json);
  return json.dump(1) + '\n';
}

LoadedSupervisorState SupervisorStateStore::Decode(const std::string& text, const std::string& boot) {
  LoadedSupervisorState found;
  Json json = Json::parse(text, nullptr, false);
  if (!json.is_object()) throw std::runtime_error("it is no whole JSON object");
  // A newer format may check itself otherwise.
  if (json.contains("format") && json["format"].is_number_integer() && json["format"].get<int>() > kFormat) {
    found.status = LoadedSupervisorState::Status::kUnsupportedVersion;
    found.detail = "its format is " + json["format"].dump() + ", and this program knows up to " +
                   std::to_string(kFormat);
    return found;
  }
  const Json check = json.value("check", Json());
  json.erase("check");
  if (!check.is_string() || check.get<std::string>() != CheckOf(json)) {
    throw std::runtime_error("its check does not match what stands in it");
  }
  try {
    SupervisorState& state = found.state;
    const std::string want = json.at("want").get<std::string>();
    if (want != "serve" && want != "drained" && want != "down") throw std::runtime_error("want: " + want);
    state.desired = want == "serve"     ? DesiredState::kServing
                    : want == "drained" ? DesiredState::kDrained
                                        : DesiredState::kStopped;
    state.last_generation = json.at("last_generation").get<std::uint64_t>();
    state.consecutive_crashes = json.at("crashes_in_row").get<std::uint32_t>();
    if (json.at("boot").get<std::string>() != boot) {
      found.status = LoadedSupervisorState::Status::kPreviousBoot;
      return found;
    }
    if (json.contains("current")) state.current = ToLife(json["current"]);
    if (json.contains("successor")) state.successor = ToLife(json["successor"]);
    if (json.contains("predecessor")) state.predecessor = ToLife(json["predecessor"]);
  } catch (const Json::exception& fault) {
    throw std::runtime_error(fault.what());
  }
  found.status = LoadedSupervisorState::Status::kValid;
  return found;
}

SupervisorStateStore::SupervisorStateStore(FileSystem& files, std::string directory, std::string boot)
    : files_(files), directory_(std::move(directory)), boot_(std::move(boot)) {}

LoadedSupervisorState SupervisorStateStore::Load() {
  const auto text = files_.Read(directory_ + '/' + kName);
  if (!text) return {};
  LoadedSupervisorState found;
  try {
    found = Decode(*text, boot_);
  } catch (const std::runtime_error& fault) {
    found.status = LoadedSupervisorState::Status::kCorrupt;
    found.state = {};
    found.detail = fault.what();
  }
  // Kept for whoever looks into it, and out of the way of what is saved next.
  const char* aside = found.status == LoadedSupervisorState::Status::kCorrupt              ? ".damaged"
                      : found.status == LoadedSupervisorState::Status::kUnsupportedVersion ? ".newer"
                                                                                           : nullptr;
  if (aside != nullptr) files_.Rename(directory_ + '/' + kName, directory_ + '/' + kName + aside);
  return found;
}

void SupervisorStateStore::Save(const SupervisorState& state) {
  WriteFileAtomically(files_, directory_, kName, Encode(state, boot_));
}

std::string BootId() {
  std::ifstream file("/proc/sys/kernel/random/boot_id");
  std::string id;
  std::getline(file, id);
  return id;
}

}  // namespace hingelink::state
