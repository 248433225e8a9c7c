#include "state/learned_store.h"

#include <xxhash.h>

#include <nlohmann/json.hpp>
#include <stdexcept>
#include <utility>

namespace hingelink::state {
namespace {

using Json = nlohmann::json;

constexpr char kSnapshot[] = "learned.state", kBefore[] = "learned.state.1", kLog[] = "learned.log";
constexpr std::string_view kSnapshotMagic = "HLLEARN\n", kRecordMagic = "HLLNREC\n";
constexpr std::size_t kHead = 24;
// Classes and names that are read. Guards the memory of a start against a file that somebody made.
constexpr std::size_t kMostClasses = 4096, kMostName = 256;

std::string Little(std::uint64_t value, std::size_t bytes) {
  std::string out;
  for (std::size_t i = 0; i < bytes; ++i) out += static_cast<char>(value >> 8 * i);
  return out;
}
std::uint64_t FromLittle(std::string_view bytes) {
  std::uint64_t value = 0;
  for (std::size_t i = bytes.size(); i-- > 0;) value = value << 8 | static_cast<unsigned char>(bytes[i]);
  return value;
}

std::uint64_t CheckOf(std::string_view version_and_length, std::string_view payload) {
  std::string all(version_and_length);
  all += payload;
  return XXH3_64bits(all.data(), all.size());
}

Json ToJson(const LearnedEntry& entry) {
  const decide::LearnedRecord& r = entry.record;
  Json told = Json::array(), classes = Json::array();
  for (const decide::ClassSignature& c : r.class_signatures) {
    told.push_back({{"name", c.name}, {"aim_ms", c.latency_objective_ms}, {"deadline_ms", c.deadline_ms}});
  }
  for (const hingelink::LearnedClass& c : r.learned.classes) {
    classes.push_back({{"name", c.name},
                       {"run_ms", c.run_ms},
                       {"cost_ms", c.core_time_ms},
                       {"hint_ms", c.expected_work_ms},
                       {"samples", c.samples}});
  }
  return {{"sequence", entry.sequence}, {"site", r.node_name},     {"at_ms", r.recorded_at.count()},
          {"cores", r.cores},           {"told", std::move(told)}, {"classes", std::move(classes)}};
}

std::string Name(const Json& json) {
  std::string name = json.at("name").get<std::string>();
  if (name.size() > kMostName)
    throw std::runtime_error("a name of " + std::to_string(name.size()) + " bytes");
  return name;
}

const Json& List(const Json& json, const char* name) {
  const Json& list = json.at(name);
  if (!list.is_array() || list.size() > kMostClasses)
    throw std::runtime_error(std::string(name) + " is no list");
  return list;
}

// Types and bounds of the form alone; whether the values can have been learned is decide::Recall's to say.
LearnedEntry FromJson(const Json& json) {
  LearnedEntry entry;
  decide::LearnedRecord& r = entry.record;
  entry.sequence = json.at("sequence").get<std::uint64_t>();
  r.node_name = json.at("site").get<std::string>();
  r.recorded_at = std::chrono::milliseconds(json.at("at_ms").get<std::int64_t>());
  r.cores = json.at("cores").get<int>();
  for (const Json& c : List(json, "told")) {
    r.class_signatures.push_back({Name(c), c.at("aim_ms").get<double>(), c.at("deadline_ms").get<double>()});
  }
  for (const Json& c : List(json, "classes")) {
    r.learned.classes.push_back({Name(c), c.at("run_ms").get<double>(), c.at("cost_ms").get<double>(),
                                 c.at("hint_ms").get<double>(), c.at("samples").get<int>()});
  }
  return entry;
}

}  // namespace

std::string EncodeLearned(const LearnedEntry& entry, bool record) {
  const std::vector<std::uint8_t> cbor = Json::to_cbor(ToJson(entry));
  if (cbor.size() > kMaxLearnedPayloadBytes)
    throw std::length_error("what was learned takes more than 1 MiB");
  const std::string payload(cbor.begin(), cbor.end());
  const std::string head = Little(kLearnedFormatVersion, 4) + Little(payload.size(), 4);
  return std::string(record ? kRecordMagic : kSnapshotMagic) + head + Little(CheckOf(head, payload), 8) +
         payload;
}

DecodedLearned DecodePayload(std::string_view payload) {
  DecodedLearned decoded;
  try {
    decoded.entry = FromJson(Json::from_cbor(payload.begin(), payload.end()));
    decoded.status = DecodedLearned::Status::kValid;
    decoded.bytes = payload.size();
  } catch (const std::exception& fault) {
    decoded.detail = fault.what();
  }
  return decoded;
}

DecodedLearned DecodeLearned(std::string_view bytes, bool record) {
  DecodedLearned decoded;
  const auto say = [&decoded](DecodedLearned::Status status, std::string detail) {
    decoded.status = status;
    decoded.detail = std::move(detail);
    return decoded;
  };
  const std::string_view magic = record ? kRecordMagic : kSnapshotMagic;
  if (bytes.substr(0, magic.size()) != magic.substr(0, bytes.size())) {
    return say(DecodedLearned::Status::kCorrupt, "it does not begin as such a file does");
  }
  if (bytes.size() < kHead) return say(DecodedLearned::Status::kTruncated, "it ends within its head");
  const std::uint64_t version = FromLittle(bytes.substr(8, 4)), length = FromLittle(bytes.substr(12, 4));
  // Before all else that a newer one may do otherwise.
  if (version > kLearnedFormatVersion) {
    return say(DecodedLearned::Status::kUnsupportedVersion, "its version is " + std::to_string(version) +
                                                                ", and this program knows up to " +
                                                                std::to_string(kLearnedFormatVersion));
  }
  if (version == 0 || length > kMaxLearnedPayloadBytes) {
    return say(DecodedLearned::Status::kCorrupt, "its head holds numbers that no program writes");
  }
  if (bytes.size() - kHead < length) return say(DecodedLearned::Status::kTruncated, "it ends too early");
  const std::string_view payload = bytes.substr(kHead, length);
  if (FromLittle(bytes.substr(16, 8)) != CheckOf(bytes.substr(8, 8), payload)) {
    return say(DecodedLearned::Status::kCorrupt, "its check does not match what stands in it");
  }
  decoded = DecodePayload(payload);
  decoded.bytes += kHead;
  return decoded;
}

LearnedStore::LearnedStore(FileSystem& files, std::string directory)
    : files_(files), directory_(std::move(directory)) {}

std::optional<LearnedEntry> LearnedStore::LoadSnapshot(const char* name, LoadedLearned& found) {
  const auto bytes = files_.Read(Path(name));
  if (!bytes) return std::nullopt;
  DecodedLearned decoded = DecodeLearned(*bytes, false);
  if (decoded.status == DecodedLearned::Status::kValid && decoded.bytes != bytes->size()) {
    decoded.status = DecodedLearned::Status::kCorrupt;
    decoded.detail = "bytes follow behind its end";
  }
  if (decoded.status == DecodedLearned::Status::kValid) return std::move(decoded.entry);
  const char* aside = decoded.status == DecodedLearned::Status::kUnsupportedVersion ? ".newer" : ".damaged";
  found.warnings.push_back(std::string(name) + ": " + decoded.detail + "; set aside as " + name + aside);
  files_.Rename(Path(name), Path(name) + aside);
  return std::nullopt;
}

LoadedLearned LearnedStore::Load() {
  LoadedLearned found;
  for (const char* name : {kSnapshot, kBefore}) {
    std::optional<LearnedEntry> entry = LoadSnapshot(name, found);
    if (entry && (!found.entry || entry->sequence > found.entry->sequence)) found.entry = std::move(entry);
  }
  const auto log = files_.Read(Path(kLog));
  if (!log) return found;
  std::string_view rest(*log);
  while (!rest.empty()) {
    DecodedLearned decoded = DecodeLearned(rest, true);
    if (decoded.status != DecodedLearned::Status::kValid) {
      found.truncated_bytes = rest.size();
      found.warnings.push_back(std::string(kLog) + ": " + std::to_string(rest.size()) +
                               " bytes behind record " + std::to_string(found.log_records) +
                               " are left out: " + decoded.detail);
      break;
    }
    ++found.log_records;
    rest.remove_prefix(decoded.bytes);
    // A log that is older than the snapshot was to begin anew when the power went.
    if (!found.entry || decoded.entry.sequence > found.entry->sequence)
      found.entry = std::move(decoded.entry);
  }
  return found;
}

void LearnedStore::Save(const LearnedEntry& entry) {
  const std::string bytes = EncodeLearned(entry, false);
  const std::string fresh = Path(kSnapshot) + ".new";
  {
    const auto file = files_.Create(fresh);
    file->Write(bytes);
    file->Sync();
  }
  // Whichever of the two names the power cut leaves behind: each leads to a whole file.
  if (files_.Read(Path(kSnapshot))) files_.Rename(Path(kSnapshot), Path(kBefore));
  files_.Rename(fresh, Path(kSnapshot));
  files_.SyncDirectory(directory_);
  // Only behind the folder's sync: its records are in the snapshot from here on.
  log_.reset();
  log_bytes_ = 0;
  auto log = files_.Create(Path(kLog));
  // Its name too must last before a record in it does.
  files_.SyncDirectory(directory_);
  log_ = std::move(log);
}

void LearnedStore::Append(const LearnedEntry& entry) {
  if (!log_) throw FileError("append learned.log: no snapshot has been written yet");
  const std::string bytes = EncodeLearned(entry, true);
  try {
    log_->Write(bytes);
    log_->Sync();
  } catch (const FileError&) {
    // Half a record may stand there; what came behind it would not be read.
    log_.reset();
    throw;
  }
  log_bytes_ += bytes.size();
}

}  // namespace hingelink::state
