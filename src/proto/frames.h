// The binary frame protocol between gateways and the node: parses frames without copying and encodes them.
// Performs no I/O.
#ifndef HINGELINK_PROTO_FRAMES_H_
#define HINGELINK_PROTO_FRAMES_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "core/request.h"

namespace hingelink::proto {

// Frame types with their protocol numbers.
enum class FrameType : std::uint8_t {
  kRequest = 0,
  kAnswer = 1,
  kCallerDisconnected = 2,
  kHealthCheck = 6,
  kHealthResponse = 7,
  kStopNewRequests = 9,
};

enum class AnswerCode : std::uint8_t { kServed = 0, kRejected = 1, kFailed = 2 };

inline constexpr std::size_t kFrameLengthBytes = 4;
inline constexpr std::size_t kFrameHeaderBytes = 9;  // Length (4 bytes), type (1) and stream (4).
inline constexpr std::uint32_t kMinFrameLength = 5;  // Type and stream without a payload.
inline constexpr std::uint32_t kMaxFrameLength = 262'144;
inline constexpr std::size_t kMaxRequestBodyBytes = 2048;
// The payload of a longer frame is discarded without parsing, which bounds the memory of a connection. Every
// well-formed request is shorter.
inline constexpr std::size_t kMaxBufferedFrameBytes = 16'384;

struct FrameHeader {
  std::uint32_t length = 0;  // Number of bytes after the length field.
  std::uint8_t type = 0;
  std::uint32_t stream = 0;

  [[nodiscard]] bool LengthInRange() const { return length >= kMinFrameLength && length <= kMaxFrameLength; }
  // Size of the whole frame, including the length field, in bytes.
  [[nodiscard]] std::size_t Size() const { return kFrameLengthBytes + length; }
};

// Parses the header of the frame at the front of `bytes`. Returns nullopt while the header is incomplete.
[[nodiscard]] std::optional<FrameHeader> ParseFrameHeader(std::string_view bytes);

// A parsed kRequest frame. The string views refer to the payload. core::IncomingRequest describes the fields.
struct RequestFrame {
  std::string_view class_name;
  std::uint64_t request_id = 0;
  std::chrono::sys_time<std::chrono::milliseconds> sent_at{};  // By the clock of the gateway.
  std::optional<std::chrono::milliseconds> remaining_wait;     // Empty if not given.
  std::chrono::duration<double, std::milli> expected_work{0};
  std::uint32_t caller = 0;
  double reserved_kb = 0;
  double rank = 0;
  std::uint64_t subject = 0;
  std::optional<core::IdempotencyKey> idempotency_key;
  std::string_view tenant;  // Name of the tenant; empty if not given.
  bool is_retry = false;    // The attempt is a retry or a hedged request.
  std::string_view body;
};

// Parses the payload of a kRequest frame into `request`. Returns null on success. Otherwise returns the name
// of the malformed field or a short description of the error.
[[nodiscard]] const char* ParseRequest(std::string_view payload, RequestFrame& request);
// Returns whether a kHealthCheck frame with this payload asks for a deep health check. A malformed payload
// counts as a shallow check.
[[nodiscard]] bool IsDeepHealthCheck(std::string_view payload);

// Optional fields of an answer. Fields that are empty or false are not sent.
struct AnswerFields {
  std::optional<double> load_signal;
  std::optional<std::chrono::milliseconds> retry_after;
  bool no_other_server = false;
};

// Encodes an answer frame without its body. The caller sends the body of `body_size` bytes next.
[[nodiscard]] std::string EncodeAnswerHeader(std::uint32_t stream, AnswerCode code,
                                             const AnswerFields& fields, std::size_t body_size);
// Encodes the response to a health check.
[[nodiscard]] std::string EncodeHealthResponse(std::uint32_t stream, bool healthy,
                                               std::optional<double> load_signal);
// Encodes the frame that asks the gateway to send no new requests on this connection.
[[nodiscard]] std::string EncodeStopNewRequests();

}  // namespace hingelink::proto

#endif  // HINGELINK_PROTO_FRAMES_H_
