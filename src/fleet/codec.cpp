#include "fleet/codec.h"

#include <nlohmann/json.hpp>

namespace hingelink::fleet {
namespace {

using Json = nlohmann::json;
using decide::MemberRecord;
using decide::PeerMessage;

// Beyond what a datagram can hold; guards against lists that are all heads and no bodies.
constexpr std::size_t kMostRecords = 64, kMostParcels = 16;

Json ToJson(const MemberRecord& r) {
  return Json::array({r.name, r.address.ip, r.address.port, r.version.life, r.version.incarnation,
                      static_cast<unsigned>(r.phase), static_cast<unsigned>(r.belief), r.zone, r.weight,
                      r.by});
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
  r.name = GetText(json[0], decide::kMostNameBytes);
  r.address = {Get<std::uint32_t>(json[1]), Get<std::uint16_t>(json[2])};
  r.version = {Get<std::uint64_t>(json[3]), Get<std::uint32_t>(json[4])};
  r.phase = static_cast<decide::MemberPhase>(Get<std::uint8_t>(json[5], 4));
  r.belief = static_cast<decide::Belief>(Get<std::uint8_t>(json[6], 2));
  r.zone = GetText(json[7], decide::kMostZoneBytes);
  r.weight = Get<std::uint16_t>(json[8]);
  r.by = GetText(json[9], decide::kMostNameBytes);
  return r;
}

}  // namespace

std::string Encode(const PeerMessage& m) {
  Json records = Json::array(), parcels = Json::array();
  for (const MemberRecord& record : m.records) records.push_back(ToJson(record));
  for (const decide::Parcel& parcel : m.parcels) {
    parcels.push_back(Json::array({parcel.topic, Binary(parcel.body.data(), parcel.body.size())}));
  }
  std::vector<std::uint8_t> digests;
  for (const std::uint32_t digest : m.digests) {
    for (int shift = 24; shift >= 0; shift -= 8)
      digests.push_back(static_cast<std::uint8_t>(digest >> shift));
  }
  const Json json =
      Json::array({static_cast<unsigned>(m.kind), m.number, m.subject, m.address.ip, m.address.port, m.view,
                   Json::binary(digests), Binary(m.differing.data(), m.differing.size()), std::move(records),
                   std::move(parcels)});
  std::string bytes;
  Json::to_cbor(json, bytes);
  return bytes;
}

std::optional<PeerMessage> Decode(std::string_view bytes) {
  // The library throws for a list of an impossible size, also where it is told to throw nothing.
  try {
    const Json json = Json::from_cbor(bytes, true, false);
    if (!json.is_array() || json.size() < 10) return std::nullopt;
    PeerMessage m;
    m.kind = static_cast<decide::MessageKind>(Get<std::uint8_t>(json[0], 6));
    m.number = Get<std::uint32_t>(json[1]);
    m.subject = GetText(json[2], decide::kMostNameBytes);
    m.address = {Get<std::uint32_t>(json[3]), Get<std::uint16_t>(json[4])};
    m.view = Get<std::uint64_t>(json[5]);
    const auto& digests = GetBinary(json[6]);
    if (digests.size() % 4 != 0 || digests.size() > 4 * decide::kBuckets) return std::nullopt;
    for (std::size_t i = 0; i < digests.size(); i += 4) {
      m.digests.push_back(static_cast<std::uint32_t>(digests[i]) << 24 |
                          static_cast<std::uint32_t>(digests[i + 1]) << 16 |
                          static_cast<std::uint32_t>(digests[i + 2]) << 8 | digests[i + 3]);
    }
    m.differing = GetBinary(json[7]);
    const Json &records = json[8], &parcels = json[9];
    if (!records.is_array() || records.empty() || records.size() > kMostRecords || !parcels.is_array() ||
        parcels.size() > kMostParcels || m.differing.size() > decide::kBuckets) {
      return std::nullopt;
    }
    for (const Json& record : records) m.records.push_back(ToRecord(record));
    for (const Json& parcel : parcels) {
      const auto& body = GetBinary(parcel.at(1));
      m.parcels.push_back({Get<std::uint8_t>(parcel.at(0)), std::string(body.begin(), body.end())});
    }
    if (m.records.front().name.empty()) return std::nullopt;
    return m;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

}  // namespace hingelink::fleet
