#include "state/learned_codec.h"

#include <xxhash.h>

#include <nlohmann/json.hpp>
#include <stdexcept>
#include <utility>
#include <vector>

namespace hingelink::state {
namespace {

using Json = nlohmann::json;
using Status = DecodedLearned::Status;

constexpr std::string_view kSnapshotMagic = "HLLEARN\n";
constexpr std::string_view kLogRecordMagic = "HLLNREC\n";
// Size of the frame header, and offsets of its fields.
constexpr std::size_t kHeaderBytes = 24;
constexpr std::size_t kVersionOffset = 8;
constexpr std::size_t kLengthOffset = 12;
constexpr std::size_t kChecksumOffset = 16;
// Bounds on decoded values, so that a damaged file cannot exhaust the memory at startup.
constexpr std::size_t kMaxClasses = 4096;
constexpr std::size_t kMaxNameBytes = 256;

std::string_view MagicFor(LearnedFrameKind kind) {
  return kind == LearnedFrameKind::kLogRecord ? kLogRecordMagic : kSnapshotMagic;
}

std::string ToLittleEndian(std::uint64_t value, std::size_t size) {
  std::string bytes;
  for (std::size_t i = 0; i < size; ++i) bytes += static_cast<char>(value >> 8 * i);
  return bytes;
}

std::uint64_t FromLittleEndian(std::string_view bytes) {
  std::uint64_t value = 0;
  for (std::size_t i = bytes.size(); i-- > 0;) value = value << 8 | static_cast<unsigned char>(bytes[i]);
  return value;
}

std::uint64_t Checksum(std::string_view version_and_length, std::string_view payload) {
  std::string content(version_and_length);
  content += payload;
  return XXH3_64bits(content.data(), content.size());
}

Json ToJson(const LearnedEntry& entry) {
  const decide::LearnedRecord& record = entry.record;
  Json signatures = Json::array();
  for (const decide::ClassSignature& signature : record.class_signatures) {
    signatures.push_back({{"name", signature.name},
                          {"aim_ms", signature.latency_objective_ms},
                          {"deadline_ms", signature.deadline_ms}});
  }
  Json classes = Json::array();
  for (const hingelink::LearnedClass& learned : record.learned.classes) {
    classes.push_back({{"name", learned.name},
                       {"run_ms", learned.run_ms},
                       {"cost_ms", learned.core_time_ms},
                       {"hint_ms", learned.expected_work_ms},
                       {"samples", learned.samples}});
  }
  return {{"sequence", entry.sequence},          {"site", record.node_name},
          {"at_ms", record.recorded_at.count()}, {"cores", record.cores},
          {"told", std::move(signatures)},       {"classes", std::move(classes)}};
}

std::string ReadName(const Json& json) {
  std::string name = json.at("name").get<std::string>();
  if (name.size() > kMaxNameBytes)
    throw std::runtime_error("a name has " + std::to_string(name.size()) + " bytes; the limit is " +
                             std::to_string(kMaxNameBytes));
  return name;
}

const Json& ReadList(const Json& json, const char* key) {
  const Json& list = json.at(key);
  if (!list.is_array() || list.size() > kMaxClasses)
    throw std::runtime_error(std::string(key) + ": expected a list of at most " +
                             std::to_string(kMaxClasses) + " elements");
  return list;
}

// Checks only types and sizes; decide::SanityCheckFailure() checks the values. Throws std::exception.
LearnedEntry FromJson(const Json& json) {
  LearnedEntry entry;
  decide::LearnedRecord& record = entry.record;
  entry.sequence = json.at("sequence").get<std::uint64_t>();
  record.node_name = json.at("site").get<std::string>();
  record.recorded_at = std::chrono::milliseconds(json.at("at_ms").get<std::int64_t>());
  record.cores = json.at("cores").get<int>();
  for (const Json& item : ReadList(json, "told")) {
    record.class_signatures.push_back(
        {ReadName(item), item.at("aim_ms").get<double>(), item.at("deadline_ms").get<double>()});
  }
  for (const Json& item : ReadList(json, "classes")) {
    record.learned.classes.push_back({ReadName(item), item.at("run_ms").get<double>(),
                                      item.at("cost_ms").get<double>(), item.at("hint_ms").get<double>(),
                                      item.at("samples").get<int>()});
  }
  return entry;
}

DecodedLearned Invalid(Status status, std::string detail) {
  DecodedLearned decoded;
  decoded.status = status;
  decoded.detail = std::move(detail);
  return decoded;
}

}  // namespace

std::string EncodeLearned(const LearnedEntry& entry, LearnedFrameKind kind) {
  const std::vector<std::uint8_t> cbor = Json::to_cbor(ToJson(entry));
  if (cbor.size() > kMaxLearnedPayloadBytes)
    throw std::length_error("the encoded learned values exceed 1 MiB");
  const std::string payload(cbor.begin(), cbor.end());
  const std::string version_and_length =
      ToLittleEndian(kLearnedFormatVersion, 4) + ToLittleEndian(payload.size(), 4);
  std::string frame(MagicFor(kind));
  frame += version_and_length;
  frame += ToLittleEndian(Checksum(version_and_length, payload), 8);
  frame += payload;
  return frame;
}

DecodedLearned DecodePayload(std::string_view payload) {
  DecodedLearned decoded;
  try {
    decoded.entry = FromJson(Json::from_cbor(payload.begin(), payload.end()));
    decoded.status = Status::kValid;
    decoded.bytes = payload.size();
  } catch (const std::exception& error) {
    decoded.detail = error.what();
  }
  return decoded;
}

DecodedLearned DecodeLearned(std::string_view bytes, LearnedFrameKind kind) {
  const std::string_view magic = MagicFor(kind);
  if (bytes.substr(0, magic.size()) != magic.substr(0, bytes.size())) {
    return Invalid(Status::kCorrupt, "the magic number is wrong");
  }
  if (bytes.size() < kHeaderBytes) return Invalid(Status::kTruncated, "truncated within the header");
  const std::uint64_t version = FromLittleEndian(bytes.substr(kVersionOffset, 4));
  const std::uint64_t length = FromLittleEndian(bytes.substr(kLengthOffset, 4));
  // The version is checked first, because a newer version may define the other fields differently.
  if (version > kLearnedFormatVersion) {
    return Invalid(Status::kUnsupportedVersion, "version " + std::to_string(version) +
                                                    " is not supported; the highest supported version is " +
                                                    std::to_string(kLearnedFormatVersion));
  }
  if (version == 0 || length > kMaxLearnedPayloadBytes) {
    return Invalid(Status::kCorrupt, "the header is out of range: version " + std::to_string(version) +
                                         ", payload of " + std::to_string(length) + " bytes");
  }
  if (bytes.size() - kHeaderBytes < length)
    return Invalid(Status::kTruncated, "truncated within the payload");
  const std::string_view payload = bytes.substr(kHeaderBytes, length);
  const std::uint64_t checksum = FromLittleEndian(bytes.substr(kChecksumOffset, 8));
  if (checksum != Checksum(bytes.substr(kVersionOffset, 8), payload)) {
    return Invalid(Status::kCorrupt, "checksum mismatch");
  }
  DecodedLearned decoded = DecodePayload(payload);
  decoded.bytes += kHeaderBytes;
  return decoded;
}

}  // namespace hingelink::state
