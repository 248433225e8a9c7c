// The gateways' binary frames: parsing into slices of the buffer that they were read into, and encoding.
// No sockets.
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

// The types of frames, with their numbers in the protocol.
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
inline constexpr std::size_t kFrameHeaderBytes = 9;  // Length, type and stream.
inline constexpr std::uint32_t kMinFrameLength = 5;
inline constexpr std::uint32_t kMaxFrameLength = 262'144;
inline constexpr std::size_t kMaxRequestBodyBytes = 2048;
// Longer frames are skipped unread, which bounds the memory of a connection. No well-formed request is as
// long.
inline constexpr std::size_t kMaxBufferedFrameBytes = 16'384;

struct FrameHeader {
  std::uint32_t length = 0;  // Counts all that follows the length field.
  std::uint8_t type = 0;
  std::uint32_t stream = 0;

  [[nodiscard]] bool LengthInRange() const { return length >= kMinFrameLength && length <= kMaxFrameLength; }
  // Of the whole frame, in bytes.
  [[nodiscard]] std::size_t Size() const { return kFrameLengthBytes + length; }
};

// The header of the frame at the front of `bytes`; nothing while it is incomplete.
[[nodiscard]] std::optional<FrameHeader> ParseFrameHeader(std::string_view bytes);

// The texts are slices of the payload.
struct RequestFrame {
  std::string_view class_name;
  std::uint64_t request_id = 0;
  std::chrono::sys_time<std::chrono::milliseconds> sent_at{};
  std::optional<std::chrono::milliseconds> remaining_wait;  // Nothing if not given.
  std::chrono::duration<double, std::milli> expected_work{0};
  std::uint32_t caller = 0;
  double reserved_kb = 0;
  double rank = 0;
  std::uint64_t subject = 0;
  std::optional<core::IdempotencyKey> idempotency_key;
  std::string_view tenant;  // Its name; empty if not given.
  bool is_retry = false;    // A retry or a hedged request.
  std::string_view body;
};

// Parses the payload of a kRequest frame. Returns null, or what is wrong: the name of a field or a short
// text.
[[nodiscard]] const char* ParseRequest(std::string_view payload, RequestFrame& request);
// Whether a kHealthCheck frame with this payload is a deep check. A malformed one counts as a plain check.
[[nodiscard]] bool IsDeepHealthCheck(std::string_view payload);

// The optional fields of an answer.
struct AnswerFields {
  std::optional<double> load_signal;
  std::optional<std::chrono::milliseconds> retry_after;
  bool no_other_server = false;
};

// The frame of an answer up to its body of `body_size` bytes.
[[nodiscard]] std::string EncodeAnswerHeader(std::uint32_t stream, AnswerCode code,
                                             const AnswerFields& fields, std::size_t body_size);
// The answer to a health check.
[[nodiscard]] std::string EncodeHealthResponse(std::uint32_t stream, bool good, std::optional<double> signal);
// Asks the gateway to send no new requests on this connection.
[[nodiscard]] std::string EncodeStopNewRequests();

}  // namespace hingelink::proto

#endif  // HINGELINK_PROTO_FRAMES_H_
