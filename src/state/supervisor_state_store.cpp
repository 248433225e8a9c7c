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
using Status = LoadedSupervisorState::Status;

constexpr int kFormatVersion = 1;
constexpr char kFileName[] = "plan.json";
// The kernel's upper bound of process ids. A pid out of range is rejected, so that a damaged file cannot make
// the supervisor send signals to unrelated processes.
constexpr std::int64_t kMaxPid = 1 << 22;

std::string Checksum(const Json& json) {
  const std::string text = json.dump();
  char digits[20];
  std::snprintf(digits, sizeof digits, "%016llx",
                static_cast<unsigned long long>(XXH3_64bits(text.data(), text.size())));
  return digits;
}

const char* DesiredStateName(DesiredState desired) {
  switch (desired) {
    case DesiredState::kServing:
      return "serve";
    case DesiredState::kDrained:
      return "drained";
    case DesiredState::kStopped:
      break;
  }
  return "down";
}

DesiredState ParseDesiredState(const std::string& name) {
  for (const DesiredState desired :
       {DesiredState::kServing, DesiredState::kDrained, DesiredState::kStopped}) {
    if (name == DesiredStateName(desired)) return desired;
  }
  throw CorruptSupervisorState("want is \"" + name + "\"; allowed are serve, drained and down");
}

Json ToJson(const Incarnation& incarnation) {
  return {{"generation", incarnation.generation},
          {"pid", incarnation.process.pid},
          {"start_ticks", incarnation.process.start_ticks},
          {"ready", incarnation.ready},
          {"leaving", incarnation.draining}};
}

Incarnation ToIncarnation(const Json& json) {
  Incarnation incarnation;
  incarnation.generation = json.at("generation").get<std::uint64_t>();
  incarnation.process.pid = json.at("pid").get<std::int64_t>();
  incarnation.process.start_ticks = json.at("start_ticks").get<std::uint64_t>();
  incarnation.ready = json.at("ready").get<bool>();
  incarnation.draining = json.at("leaving").get<bool>();
  const std::int64_t pid = incarnation.process.pid;
  if (pid < 0 || pid > kMaxPid || pid == 1)
    throw CorruptSupervisorState("pid " + std::to_string(pid) + " is out of range; allowed are 0 and 2 to " +
                                 std::to_string(kMaxPid));
  return incarnation;
}

// Decodes the JSON of a file whose checksum is correct. Throws Json::exception and CorruptSupervisorState.
LoadedSupervisorState FromJson(const Json& json, const std::string& boot_id) {
  LoadedSupervisorState loaded;
  SupervisorState& state = loaded.state;
  state.desired = ParseDesiredState(json.at("want").get<std::string>());
  state.last_generation = json.at("last_generation").get<std::uint64_t>();
  state.consecutive_crashes = json.at("crashes_in_row").get<std::uint32_t>();
  if (json.at("boot").get<std::string>() != boot_id) {
    loaded.status = Status::kPreviousBoot;
    return loaded;
  }
  if (json.contains("current")) state.current = ToIncarnation(json["current"]);
  if (json.contains("successor")) state.successor = ToIncarnation(json["successor"]);
  if (json.contains("predecessor")) state.predecessor = ToIncarnation(json["predecessor"]);
  loaded.status = Status::kValid;
  return loaded;
}

}  // namespace

std::string SupervisorStateStore::Encode(const SupervisorState& state, const std::string& boot_id) {
  Json json = {{"format", kFormatVersion},
               {"boot", boot_id},
               {"want", DesiredStateName(state.desired)},
               {"last_generation", state.last_generation},
               {"crashes_in_row", state.consecutive_crashes}};
  if (state.current) json["current"] = ToJson(*state.current);
  if (state.successor) json["successor"] = ToJson(*state.successor);
  if (state.predecessor) json["predecessor"] = ToJson(*state.predecessor);
  json["check"] = Checksum(json);
  return json.dump(1) + '\n';
}

LoadedSupervisorState SupervisorStateStore::Decode(const std::string& text, const std::string& boot_id) {
  Json json = Json::parse(text, nullptr, false);
  if (!json.is_object()) throw CorruptSupervisorState("not a complete JSON object");
  const Json format = json.value("format", Json());
  // The format is checked before the checksum, because a newer format may compute the checksum differently.
  if (format.is_number_integer() && format.get<int>() > kFormatVersion) {
    LoadedSupervisorState loaded;
    loaded.status = Status::kUnsupportedVersion;
    loaded.detail = "format " + format.dump() + " is not supported; the highest supported format is " +
                    std::to_string(kFormatVersion);
    return loaded;
  }
  const Json checksum = json.value("check", Json());
  json.erase("check");
  if (!checksum.is_string() || checksum.get<std::string>() != Checksum(json)) {
    throw CorruptSupervisorState("checksum mismatch");
  }
  try {
    return FromJson(json, boot_id);
  } catch (const Json::exception& error) {
    throw CorruptSupervisorState(error.what());
  }
}

SupervisorStateStore::SupervisorStateStore(FileSystem& files, std::string directory, std::string boot_id)
    : files_(files), directory_(std::move(directory)), boot_id_(std::move(boot_id)) {}

LoadedSupervisorState SupervisorStateStore::Load() {
  const std::string path = directory_ + '/' + kFileName;
  const auto text = files_.Read(path);
  if (!text) return {};
  LoadedSupervisorState loaded;
  try {
    loaded = Decode(*text, boot_id_);
  } catch (const CorruptSupervisorState& error) {
    loaded.status = Status::kCorrupt;
    loaded.detail = error.what();
  }
  // The file is kept for inspection, under a name that the next Save() does not overwrite.
  if (loaded.status == Status::kCorrupt) files_.Rename(path, path + ".damaged");
  if (loaded.status == Status::kUnsupportedVersion) files_.Rename(path, path + ".newer");
  return loaded;
}

void SupervisorStateStore::Save(const SupervisorState& state) {
  WriteFileAtomically(files_, directory_, kFileName, Encode(state, boot_id_));
}

std::string BootId() {
  std::ifstream file("/proc/sys/kernel/random/boot_id");
  std::string id;
  std::getline(file, id);
  return id;
}

}  // namespace hingelink::state
