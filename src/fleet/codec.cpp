#include "fleet/codec.h"

#include <cstdint>
#include <limits>
#include <nlohmann/json.hpp>
#include <utility>
#include <vector>

namespace hingelink::fleet {
namespace {

using decide::GossipMessage;
using decide::MemberRecord;
using decide::Payload;
using Json = nlohmann::json;
using Bytes = std::vector<std::uint8_t>;

// More elements than fit into a datagram when they hold data. Bounds the memory for lists of many empty
// elements.
constexpr std::size_t kMaxRecords = 64;
constexpr std::size_t kMaxPayloads = 16;
// Minimum number of array elements; later versions of the protocol may append elements.
constexpr std::size_t kRecordElements = 10;
constexpr std::size_t kMessageElements = 10;
constexpr std::size_t kDigestBytes = 4;
constexpr auto kLastMessageKind = static_cast<std::uint8_t>(decide::GossipMessageKind::kSyncResponse);
constexpr auto kLastPhase = static_cast<std::uint8_t>(decide::MemberPhase::kLeft);
constexpr auto kLastState = static_cast<std::uint8_t>(decide::MemberState::kDead);

// ---- Encoding ----

Json EncodeRecord(const MemberRecord& record) {
  return Json::array({record.name, record.address.ip, record.address.port, record.version.process_epoch,
                      record.version.incarnation, static_cast<unsigned>(record.phase),
                      static_cast<unsigned>(record.state), record.zone, record.weight, record.accuser});
}

Json EncodePayload(const Payload& payload) {
  return Json::array({payload.topic, Json::binary(Bytes(payload.body.begin(), payload.body.end()))});
}

// Big-endian.
Bytes EncodeDigests(const std::vector<std::uint32_t>& digests) {
  Bytes bytes;
  bytes.reserve(digests.size() * kDigestBytes);
  for (const std::uint32_t digest : digests) {
    for (int shift = 24; shift >= 0; shift -= 8) bytes.push_back(static_cast<std::uint8_t>(digest >> shift));
  }
  return bytes;
}

// ---- Decoding: the functions throw Json::exception if a value has the wrong type or is out of bounds. ----

[[noreturn]] void ThrowOutOfBounds(const char* value) {
  throw Json::out_of_range::create(401, value, nullptr);
}

template <class Number>
Number DecodeNumber(const Json& json, std::uint64_t max = std::numeric_limits<Number>::max()) {
  if (!json.is_number_unsigned() || json.get<std::uint64_t>() > max) ThrowOutOfBounds("number");
  return static_cast<Number>(json.get<std::uint64_t>());
}

std::string DecodeText(const Json& json, std::size_t max_bytes) {
  std::string text = json.get<std::string>();
  if (text.size() > max_bytes) ThrowOutOfBounds("text");
  return text;
}

const Bytes& DecodeBinary(const Json& json, std::size_t max_bytes = std::numeric_limits<std::size_t>::max()) {
  const Bytes& bytes = json.get_ref<const Json::binary_t&>();
  if (bytes.size() > max_bytes) ThrowOutOfBounds("binary");
  return bytes;
}

const Json& DecodeArray(const Json& json, std::size_t min_elements,
                        std::size_t max_elements = std::numeric_limits<std::size_t>::max()) {
  if (!json.is_array() || json.size() < min_elements || json.size() > max_elements) ThrowOutOfBounds("array");
  return json;
}

std::vector<std::uint32_t> DecodeDigests(const Json& json) {
  const Bytes& bytes = DecodeBinary(json, kDigestBytes * decide::kDigestBuckets);
  if (bytes.size() % kDigestBytes != 0) ThrowOutOfBounds("digests");
  std::vector<std::uint32_t> digests;
  digests.reserve(bytes.size() / kDigestBytes);
  for (std::size_t offset = 0; offset < bytes.size(); offset += kDigestBytes) {
    std::uint32_t digest = 0;
    for (std::size_t i = 0; i < kDigestBytes; ++i) digest = digest << 8 | bytes[offset + i];
    digests.push_back(digest);
  }
  return digests;
}

MemberRecord DecodeRecord(const Json& json) {
  DecodeArray(json, kRecordElements);
  MemberRecord record;
  record.name = DecodeText(json[0], decide::kMaxNameBytes);
  record.address = {DecodeNumber<std::uint32_t>(json[1]), DecodeNumber<std::uint16_t>(json[2])};
  record.version = {DecodeNumber<std::uint64_t>(json[3]), DecodeNumber<std::uint32_t>(json[4])};
  record.phase = static_cast<decide::MemberPhase>(DecodeNumber<std::uint8_t>(json[5], kLastPhase));
  record.state = static_cast<decide::MemberState>(DecodeNumber<std::uint8_t>(json[6], kLastState));
  record.zone = DecodeText(json[7], decide::kMaxZoneBytes);
  record.weight = DecodeNumber<std::uint16_t>(json[8]);
  record.accuser = DecodeText(json[9], decide::kMaxNameBytes);
  return record;
}

Payload DecodePayload(const Json& json) {
  const Bytes& body = DecodeBinary(json.at(1));
  return {DecodeNumber<std::uint8_t>(json.at(0)), std::string(body.begin(), body.end())};
}

GossipMessage DecodeMessage(const Json& json) {
  DecodeArray(json, kMessageElements);
  GossipMessage message;
  message.kind =
      static_cast<decide::GossipMessageKind>(DecodeNumber<std::uint8_t>(json[0], kLastMessageKind));
  message.sequence_number = DecodeNumber<std::uint32_t>(json[1]);
  message.target = DecodeText(json[2], decide::kMaxNameBytes);
  message.target_address = {DecodeNumber<std::uint32_t>(json[3]), DecodeNumber<std::uint16_t>(json[4])};
  message.view_digest = DecodeNumber<std::uint64_t>(json[5]);
  message.bucket_digests = DecodeDigests(json[6]);
  message.differing_buckets = DecodeBinary(json[7], decide::kDigestBuckets);
  for (const Json& record : DecodeArray(json[8], 1, kMaxRecords))
    message.records.push_back(DecodeRecord(record));
  for (const Json& payload : DecodeArray(json[9], 0, kMaxPayloads))
    message.payloads.push_back(DecodePayload(payload));
  // The first record is that of the sender, which must have a name.
  if (message.records.front().name.empty()) ThrowOutOfBounds("name");
  return message;
}

}  // namespace

std::string Encode(const GossipMessage& message) {
  Json records = Json::array();
  for (const MemberRecord& record : message.records) records.push_back(EncodeRecord(record));
  Json payloads = Json::array();
  for (const Payload& payload : message.payloads) payloads.push_back(EncodePayload(payload));
  const Json json =
      Json::array({static_cast<unsigned>(message.kind), message.sequence_number, message.target,
                   message.target_address.ip, message.target_address.port, message.view_digest,
                   Json::binary(EncodeDigests(message.bucket_digests)),
                   Json::binary(message.differing_buckets), std::move(records), std::move(payloads)});
  std::string bytes;
  Json::to_cbor(json, bytes);
  return bytes;
}

std::optional<GossipMessage> Decode(std::string_view bytes) {
  // Apart from Json::exception, the library throws std::length_error for a list with an impossible size.
  try {
    return DecodeMessage(Json::from_cbor(bytes, true, false));
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

}  // namespace hingelink::fleet
