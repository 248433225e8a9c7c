#include "proto/frames.h"

#include <charconv>
#include <cmath>
#include <cstdio>

namespace hingelink::proto {
namespace {

// Bounds on what is taken from outside: a year 2200 stamp and a day's wait, far beyond any real one.
constexpr std::uint64_t kMostStampMs = 7'258'118'400'000;
constexpr std::uint64_t kMostTimeoutMs = 86'400'000;
constexpr double kMostWorkMs = 86'400'000;
constexpr double kNeedUnderKb = 2000;

std::uint64_t BigEndian(std::string_view bytes) {
  std::uint64_t value = 0;
  for (const char c : bytes) value = value << 8 | static_cast<unsigned char>(c);
  return value;
}

void PutBigEndian(std::string& out, std::uint64_t value, int bytes) {
  while (bytes-- > 0) out.push_back(static_cast<char>(value >> (8 * bytes) & 0xff));
}

bool Whole(std::string_view text, std::uint64_t most, std::uint64_t& value, int base = 10) {
  const auto [end, fault] = std::from_chars(text.data(), text.data() + text.size(), value, base);
  return fault == std::errc() && end == text.data() + text.size() && value <= most;
}

bool Decimal(std::string_view text, double& value) {
  const auto [end, fault] = std::from_chars(text.data(), text.data() + text.size(), value);
  return fault == std::errc() && end == text.data() + text.size() && std::isfinite(value);
}

bool HexId(std::string_view text, std::uint64_t& value) {
  return text.size() == 16 && Whole(text, UINT64_MAX, value, 16);
}

bool HexKey(std::string_view text, core::IdempotencyKey& key) {
  return text.size() == 32 && HexId(text.substr(0, 16), key.high) && HexId(text.substr(16), key.low);
}

// Takes `count` bytes off the front. False where there are fewer.
bool Take(std::string_view& from, std::size_t count, std::string_view& taken) {
  if (from.size() < count) return false;
  taken = from.substr(0, count);
  from.remove_prefix(count);
  return true;
}

bool TakeSized(std::string_view& from, std::size_t size_bytes, std::string_view& taken) {
  std::string_view size;
  return Take(from, size_bytes, size) && Take(from, BigEndian(size), taken);
}

std::string FieldsOf(const AnswerFields& fields) {
  std::string out(1, '\0');
  const auto add = [&out](std::string_view name, std::string_view value) {
    ++out[0];
    PutBigEndian(out, name.size(), 1);
    out.append(name);
    PutBigEndian(out, value.size(), 2);
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

std::string Head(FrameType type, std::uint32_t stream, std::size_t payload) {
  std::string out;
  PutBigEndian(out, kMinFrameLength + payload, 4);
  out.push_back(static_cast<char>(type));
  PutBigEndian(out, stream, 4);
  return out;
}

}  // namespace

std::optional<FrameHeader> ParseFrameHeader(std::string_view bytes) {
  if (bytes.size() < kFrameHeaderBytes) return std::nullopt;
  return FrameHeader{static_cast<std::uint32_t>(BigEndian(bytes.substr(0, 4))),
                     static_cast<std::uint8_t>(bytes[4]),
                     static_cast<std::uint32_t>(BigEndian(bytes.substr(5, 4)))};
}

const char* ParseRequest(std::string_view payload, RequestFrame& request) {
  std::string_view count;
  if (!Take(payload, 1, count)) return "no fields";
  bool has_ts = false, has_need = false, has_req = false;
  for (std::uint64_t left = BigEndian(count); left > 0; --left) {
    std::string_view name, value;
    if (!TakeSized(payload, 1, name) || !TakeSized(payload, 2, value)) return "fields run past the frame";
    std::uint64_t whole = 0;
    if (name == "kind") {
      request.class_name = value;
    } else if (name == "req") {
      if (!HexId(value, request.request_id)) return "req";
      has_req = true;
    } else if (name == "ts") {
      if (!Whole(value, kMostStampMs, whole)) return "ts";
      request.sent_at = std::chrono::sys_time<std::chrono::milliseconds>(std::chrono::milliseconds(whole));
      has_ts = true;
    } else if (name == "via") {
      if (!Whole(value, UINT32_MAX, whole)) return "via";
      request.caller = static_cast<std::uint32_t>(whole);
    } else if (name == "timeout") {
      if (!Whole(value, kMostTimeoutMs, whole)) return "timeout";
      request.remaining_wait = std::chrono::milliseconds(whole);
    } else if (name == "ms") {
      double work = 0;
      if (!Decimal(value, work) || work < 0 || work > kMostWorkMs) return "ms";
      request.expected_work = std::chrono::duration<double, std::milli>(work);
    } else if (name == "need") {
      if (!Decimal(value, request.reserved_kb) || request.reserved_kb <= 0 ||
          request.reserved_kb >= kNeedUnderKb) {
        return "need";
      }
      has_need = true;
    } else if (name == "level") {
      if (!Decimal(value, request.rank) || request.rank < 0 || request.rank >= 1) return "level";
    } else if (name == "subject") {
      if (!HexId(value, request.subject)) return "subject";
    } else if (name == "owner") {
      if (value.empty()) return "owner";
      request.tenant = value;
    } else if (name == "resent") {
      if (value != "1") return "resent";
      request.is_retry = true;
    } else if (name == "opkey") {
      if (!HexKey(value, request.idempotency_key.emplace())) return "opkey";
    }
  }
  if (!has_req || !has_ts || !has_need || request.class_name.empty()) return "a field is missing";
  if (payload.size() > kMaxRequestBodyBytes) return "body too long";
  request.body = payload;
  return nullptr;
}

bool IsDeepHealthCheck(std::string_view payload) {
  std::string_view count;
  if (!Take(payload, 1, count)) return false;
  for (std::uint64_t left = BigEndian(count); left > 0; --left) {
    std::string_view name, value;
    if (!TakeSized(payload, 1, name) || !TakeSized(payload, 2, value)) return false;
    if (name == "real") return value == "1";
  }
  return false;
}

std::string EncodeAnswerHeader(std::uint32_t stream, AnswerCode code, const AnswerFields& fields,
                               std::size_t body_size) {
  const std::string list = FieldsOf(fields);
  std::string out = Head(FrameType::kAnswer, stream, 1 + list.size() + body_size);
  out.push_back(static_cast<char>(code));
  return out + list;
}

std::string EncodeHealthResponse(std::uint32_t stream, bool good, std::optional<double> signal) {
  const std::string list =
      FieldsOf({.load_signal = signal, .retry_after = std::nullopt, .no_other_server = false});
  std::string out = Head(FrameType::kHealthResponse, stream, 1 + list.size());
  out.push_back(good ? '\0' : '\1');
  return out + list;
}

std::string EncodeStopNewRequests() { return Head(FrameType::kStopNewRequests, 0, 0); }

}  // namespace hingelink::proto
