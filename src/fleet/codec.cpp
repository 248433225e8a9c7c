#include "fleet/codec.h"

#include <nlohmann/json.hpp>

namespace hingelink::fleet {
namespace {

using Json = nlohmann::json;
using decide::GossipMessage;
using decide::MemberRecord;

// Beyond what a datagram can hold; guards against lists that are all heads and no bodies.
constexpr std::size_t kMostRecords = 64, kMostParcels = 16;

Json ToJson(const MemberRecord& r) {
  return Json::array({r.name, r.address.ip, r.address.port, r.version.process_epoch, r.version.incarnation,
                      static_cast<unsigned>(r.phase), static_cast<unsigned>(r.state), r.zone, r.weight,
                      r.accuser});
}

Json Binary(const void* data, std::size_t bytes) {
  const auto* from = static_cast<const std::uint8_t*>(data);
  return Json::binary(std::vector<std::uint8_t>(from, from + bytes));
}

// Throws Json::exception, as at() and get() do, where a value is another one than wanted.
template <class Number>
Number Get(const Json& json, std::uint64_t most = std::numeric_limits<Number>::max()) {
  if (!json.is_number_unsigned() || json.get<std::uint64_t>() > most)
    throw Json::out_of_range::create(401, "number", nullptr);
  return static_cast<Number>(json.get<std::uint64_t>());
}
std::string GetText(const Json& json, std::size_t most) {
  std::string text = json.get<std::string>();
  if (text.size() > most) throw Json::out_of_range::create(401, "text", nullptr);
  return text;
}
const std::vector<std::uint8_t>& GetBinary(const Json& json) { return json.get_ref<const Json::binary_t&>(); }

MemberRecord ToRecord(const Json& json) {
  if (!json.is_array() || json.size() < 10) throw Json::out_of_range::create(401, "record", nullptr);
  MemberRecord r;
  r.name = GetText(json[0], decide::kMaxNameBytes);
  r.address = {Get<std::uint32_t>(json[1]), Get<std::uint16_t>(json[2])};
  r.version = {Get<std::uint64_t>(json[3]), Get<std::uint32_t>(json[4])};
  r.phase = static_cast<decide::MemberPhase>(Get<std::uint8_t>(json[5], 4));
  r.state = static_cast<decide::MemberState>(Get<std::uint8_t>(json[6], 2));
  r.zone = GetText(json[7], decide::kMaxZoneBytes);
  r.weight = Get<std::uint16_t>(json[8]);
  r.accuser = GetText(json[9], decide::kMaxNameBytes);
  return r;
}

}  // namespace

std::string Encode(const GossipMessage& m) {
  Json records = Json::array(), parcels = Json::array();
  for (const MemberRecord& record : m.records) records.push_back(ToJson(record));
  for (const decide::Payload& parcel : m.payloads) {
    parcels.push_back(Json::array({parcel.topic, Binary(parcel.body.data(), parcel.body.size())}));
  }
  std::vector<std::uint8_t> digests;
  for (const std::uint32_t digest : m.bucket_digests) {
    for (int shift = 24; shift >= 0; shift -= 8)
      digests.push_back(static_cast<std::uint8_t>(digest >> shift));
  }
  const Json json = Json::array(
      {static_cast<unsigned>(m.kind), m.sequence_number, m.target, m.target_address.ip, m.target_address.port,
       m.view_digest, Json::binary(digests), Binary(m.differing_buckets.data(), m.differing_buckets.size()),
       std::move(records), std::move(parcels)});
  std::string bytes;
  Json::to_cbor(json, bytes);
  return bytes;
}

std::optional<GossipMessage> Decode(std::string_view bytes) {
  // The library throws for a list of an impossible size, also where it is told to throw nothing.
  try {
    const Json json = Json::from_cbor(bytes, true, false);
    if (!json.is_array() || json.size() < 10) return std::nullopt;
    GossipMessage m;
    m.kind = static_cast<decide::GossipMessageKind>(Get<std::uint8_t>(json[0], 6));
    m.sequence_number = Get<std::uint32_t>(json[1]);
    m.target = GetText(json[2], decide::kMaxNameBytes);
    m.target_address = {Get<std::uint32_t>(json[3]), Get<std::uint16_t>(json[4])};
    m.view_digest = Get<std::uint64_t>(json[5]);
    const auto& digests = GetBinary(json[6]);
    if (digests.size() % 4 != 0 || digests.size() > 4 * decide::kDigestBuckets) return std::nullopt;
    for (std::size_t i = 0; i < digests.size(); i += 4) {
      m.bucket_digests.push_back(static_cast<std::uint32_t>(digests[i]) << 24 |
                                 static_cast<std::uint32_t>(digests[i + 1]) << 16 |
                                 static_cast<std::uint32_t>(digests[i + 2]) << 8 | digests[i + 3]);
    }
    m.differing_buckets = GetBinary(json[7]);
    const Json &records = json[8], &parcels = json[9];
    if (!records.is_array() || records.empty() || records.size() > kMostRecords || !parcels.is_array() ||
        parcels.size() > kMostParcels || m.differing_buckets.size() > decide::kDigestBuckets) {
      return std::nullopt;
    }
    for (const Json& record : records) m.records.push_back(ToRecord(record));
    for (const Json& parcel : parcels) {
      const auto& body = GetBinary(parcel.at(1));
      m.payloads.push_back({Get<std::uint8_t>(parcel.at(0)), std::string(body.begin(), body.end())});
    }
    if (m.records.front().name.empty()) return std::nullopt;
    return m;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

}  // namespace hingelink::fleet
