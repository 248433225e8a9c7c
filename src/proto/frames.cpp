#include "proto/frames.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstdio>
#include <iterator>

namespace hingelink::proto {
namespace {

// Limits of the values that a gateway may send.
constexpr std::uint64_t kMaxUnixMs = 7'258'118'400'000;  // The start of the year 2200.
constexpr std::uint64_t kMaxWaitMs = 86'400'000;         // One day.
constexpr double kMaxWorkMs = 86'400'000;                // One day.
constexpr double kReservedKbBound = 2000;                // Exclusive.

std::uint64_t DecodeBigEndian(std::string_view bytes) {
  std::uint64_t value = 0;
  for (const char byte : bytes) value = value << 8 | static_cast<unsigned char>(byte);
  return value;
}

// Appends the `bytes` low-order bytes of `value`.
void AppendBigEndian(std::string& out, std::uint64_t value, int bytes) {
  while (bytes-- > 0) out.push_back(static_cast<char>(value >> (8 * bytes) & 0xff));
}

bool ParseWhole(std::string_view text, std::uint64_t max, std::uint64_t& value, int base = 10) {
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value, base);
  return error == std::errc() && end == text.data() + text.size() && value <= max;
}

bool ParseDecimal(std::string_view text, double& value) {
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  return error == std::errc() && end == text.data() + text.size() && std::isfinite(value);
}

bool ParseHexId(std::string_view text, std::uint64_t& value) {
  return text.size() == 16 && ParseWhole(text, UINT64_MAX, value, 16);
}

bool ParseHexKey(std::string_view text, core::IdempotencyKey& key) {
  return text.size() == 32 && ParseHexId(text.substr(0, 16), key.high) &&
         ParseHexId(text.substr(16), key.low);
}

// Moves `count` bytes from the front of `from` to `value`. Returns false if `from` is shorter.
bool ConsumeBytes(std::string_view& from, std::size_t count, std::string_view& value) {
  if (from.size() < count) return false;
  value = from.substr(0, count);
  from.remove_prefix(count);
  return true;
}

// Moves a length-prefixed value from the front of `from` to `value`. The length is a number of `size_bytes`
// bytes. Returns false if `from` is too short.
bool ConsumeLengthPrefixed(std::string_view& from, std::size_t size_bytes, std::string_view& value) {
  std::string_view size;
  return ConsumeBytes(from, size_bytes, size) && ConsumeBytes(from, DecodeBigEndian(size), value);
}

// Encodes the number of fields, followed by the length-prefixed name and value of each field.
std::string EncodeFields(const AnswerFields& fields) {
  std::string out(1, '\0');
  const auto add = [&out](std::string_view name, std::string_view value) {
    ++out[0];
    AppendBigEndian(out, name.size(), 1);
    out.append(name);
    AppendBigEndian(out, value.size(), 2);
    out.append(value);
  };
  if (fields.load_signal) {
    char text[32];
    const int size = std::snprintf(text, sizeof text, "%.4f", *fields.load_signal);
    add("signal", std::string_view(text, static_cast<std::size_t>(size)));
  }
  if (fields.retry_after) add("holdoff", std::to_string(fields.retry_after->count()));
  if (fields.no_other_server) add("nomore", "1");
  return out;
}

std::string EncodeFrameHeader(FrameType type, std::uint32_t stream, std::size_t payload_size) {
  std::string out;
  AppendBigEndian(out, kMinFrameLength + payload_size, 4);
  out.push_back(static_cast<char>(type));
  AppendBigEndian(out, stream, 4);
  return out;
}

// A field of a kRequest frame.
struct RequestField {
  const char* name;  // In the protocol.
  bool required;
  // Parses the value into `request`. Returns false if the value is malformed.
  bool (*parse)(std::string_view value, RequestFrame& request);
};

bool ParseSentAt(std::string_view value, RequestFrame& request) {
  std::uint64_t unix_ms = 0;
  if (!ParseWhole(value, kMaxUnixMs, unix_ms)) return false;
  request.sent_at = std::chrono::sys_time<std::chrono::milliseconds>(std::chrono::milliseconds(unix_ms));
  return true;
}

bool ParseCaller(std::string_view value, RequestFrame& request) {
  std::uint64_t caller = 0;
  if (!ParseWhole(value, UINT32_MAX, caller)) return false;
  request.caller = static_cast<std::uint32_t>(caller);
  return true;
}

bool ParseRemainingWait(std::string_view value, RequestFrame& request) {
  std::uint64_t wait_ms = 0;
  if (!ParseWhole(value, kMaxWaitMs, wait_ms)) return false;
  request.remaining_wait = std::chrono::milliseconds(wait_ms);
  return true;
}

bool ParseExpectedWork(std::string_view value, RequestFrame& request) {
  double work_ms = 0;
  if (!ParseDecimal(value, work_ms) || work_ms < 0 || work_ms > kMaxWorkMs) return false;
  request.expected_work = std::chrono::duration<double, std::milli>(work_ms);
  return true;
}

bool ParseReservedMemory(std::string_view value, RequestFrame& request) {
  return ParseDecimal(value, request.reserved_kb) && request.reserved_kb > 0 &&
         request.reserved_kb < kReservedKbBound;
}

bool ParseRank(std::string_view value, RequestFrame& request) {
  return ParseDecimal(value, request.rank) && request.rank >= 0 && request.rank < 1;
}

// Maps the field names of the protocol to the members of RequestFrame.
constexpr RequestField kRequestFields[] = {
    {"kind", true,
     [](std::string_view value, RequestFrame& request) {
       request.class_name = value;
       return true;
     }},
    {"req", true,
     [](std::string_view value, RequestFrame& request) { return ParseHexId(value, request.request_id); }},
    {"ts", true, ParseSentAt},
    {"via", false, ParseCaller},
    {"timeout", false, ParseRemainingWait},
    {"ms", false, ParseExpectedWork},
    {"need", true, ParseReservedMemory},
    {"level", false, ParseRank},
    {"subject", false,
     [](std::string_view value, RequestFrame& request) { return ParseHexId(value, request.subject); }},
    {"owner", false,
     [](std::string_view value, RequestFrame& request) {
       request.tenant = value;
       return !value.empty();
     }},
    {"resent", false,
     [](std::string_view value, RequestFrame& request) {
       request.is_retry = value == "1";
       return request.is_retry;
     }},
    {"opkey", false,
     [](std::string_view value, RequestFrame& request) {
       return ParseHexKey(value, request.idempotency_key.emplace());
     }},
};

const RequestField* FindField(std::string_view name) {
  const auto* found = std::find_if(std::begin(kRequestFields), std::end(kRequestFields),
                                   [name](const RequestField& field) { return field.name == name; });
  return found == std::end(kRequestFields) ? nullptr : found;
}

// The bit that marks `field` as present in a request.
unsigned FieldBit(const RequestField* field) { return 1u << (field - std::begin(kRequestFields)); }

}  // namespace

std::optional<FrameHeader> ParseFrameHeader(std::string_view bytes) {
  if (bytes.size() < kFrameHeaderBytes) return std::nullopt;
  return FrameHeader{static_cast<std::uint32_t>(DecodeBigEndian(bytes.substr(0, 4))),
                     static_cast<std::uint8_t>(bytes[4]),
                     static_cast<std::uint32_t>(DecodeBigEndian(bytes.substr(5, 4)))};
}

const char* ParseRequest(std::string_view payload, RequestFrame& request) {
  std::string_view count;
  if (!ConsumeBytes(payload, 1, count)) return "field count is missing";
  unsigned present_fields = 0;  // A set of FieldBit() values.
  for (std::uint64_t remaining = DecodeBigEndian(count); remaining > 0; --remaining) {
    std::string_view name;
    std::string_view value;
    if (!ConsumeLengthPrefixed(payload, 1, name) || !ConsumeLengthPrefixed(payload, 2, value))
      return "fields exceed the frame";
    const RequestField* field = FindField(name);
    if (field == nullptr) continue;  // Added by a later version of the protocol.
    if (!field->parse(value, request)) return field->name;
    present_fields |= FieldBit(field);
  }
  const bool is_complete = std::all_of(std::begin(kRequestFields), std::end(kRequestFields),
                                       [present_fields](const RequestField& field) {
                                         return !field.required || (present_fields & FieldBit(&field)) != 0;
                                       });
  if (!is_complete || request.class_name.empty()) return "required field is missing";
  if (payload.size() > kMaxRequestBodyBytes) return "body is too long";
  request.body = payload;
  return nullptr;
}

bool IsDeepHealthCheck(std::string_view payload) {
  std::string_view count;
  if (!ConsumeBytes(payload, 1, count)) return false;
  for (std::uint64_t remaining = DecodeBigEndian(count); remaining > 0; --remaining) {
    std::string_view name;
    std::string_view value;
    if (!ConsumeLengthPrefixed(payload, 1, name) || !ConsumeLengthPrefixed(payload, 2, value)) return false;
    if (name == "real") return value == "1";
  }
  return false;
}

std::string EncodeAnswerHeader(std::uint32_t stream, AnswerCode code, const AnswerFields& fields,
                               std::size_t body_size) {
  const std::string encoded_fields = EncodeFields(fields);
  std::string out = EncodeFrameHeader(FrameType::kAnswer, stream, 1 + encoded_fields.size() + body_size);
  out.push_back(static_cast<char>(code));
  return out + encoded_fields;
}

std::string EncodeHealthResponse(std::uint32_t stream, bool healthy, std::optional<double> load_signal) {
  const std::string encoded_fields =
      EncodeFields({.load_signal = load_signal, .retry_after = std::nullopt, .no_other_server = false});
  std::string out = EncodeFrameHeader(FrameType::kHealthResponse, stream, 1 + encoded_fields.size());
  out.push_back(healthy ? '\0' : '\1');
  return out + encoded_fields;
}

std::string EncodeStopNewRequests() { return EncodeFrameHeader(FrameType::kStopNewRequests, 0, 0); }

}  // namespace hingelink::proto
