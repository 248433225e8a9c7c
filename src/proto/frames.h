// The gateways' binary frames: parsing into slices of the buffer they were read into, and encoding.
// No sockets.
#ifndef HINGELINK_PROTO_FRAMES_H_
#define HINGELINK_PROTO_FRAMES_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "core/front_end.h"

namespace hingelink::proto {

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
// No well-formed request comes near this. Longer frames are skipped unread, so that a connection never makes
// the node hold more than this of a frame.
inline constexpr std::size_t kMaxBufferedFrameBytes = 16'384;

struct FrameHeader {
  std::uint32_t length = 0;  // Counts all that follows the length field.
  std::uint8_t type = 0;
  std::uint32_t stream = 0;

  bool LengthInRange() const { return length >= kMinFrameLength && length <= kMaxFrameLength; }
  std::size_t Size() const { return kFrameLengthBytes + length; }
};

// The head of a frame; nothing while it has not arrived whole.
std::optional<FrameHeader> ParseFrameHeader(std::string_view bytes);

// What a request says. The text fields are slices of the payload.
struct RequestFrame {
  std::string_view class_name;
  std::uint64_t request_id = 0;
  std::chrono::sys_time<std::chrono::milliseconds> sent_at{};
  std::optional<std::chrono::milliseconds> remaining_wait;  // Nothing where callers' waits are not told.
  std::chrono::duration<double, std::milli> expected_work{0};
  std::uint32_t caller = 0;
  double reserved_kb = 0;
  double rank = 0;
  std::uint64_t subject = 0;
  std::optional<core::IdempotencyKey> idempotency_key;
  std::string_view tenant;  // The tenant's name; empty where none is told.
  bool is_retry = false;    // A further try or a second copy.
  std::string_view body;
};

// Parses the payload of a kRequest frame. Returns what is wrong with it, or null.
const char* ParseRequest(std::string_view payload, RequestFrame& request);
// Whether a kHealthCheck frame with this payload asks whether work gets done. What cannot be read asks for
// no more than a plain check does.
bool IsDeepHealthCheck(std::string_view payload);

// The fields an answer may carry.
struct AnswerFields {
  std::optional<double> load_signal;
  std::optional<std::chrono::milliseconds> retry_after;
  bool no_other_server = false;
};

// All but the body of an answer whose body has `body_size` bytes.
std::string EncodeAnswerHeader(std::uint32_t stream, AnswerCode code, const AnswerFields& fields,
                               std::size_t body_size);
std::string EncodeHealthResponse(std::uint32_t stream, bool good, std::optional<double> signal);
std::string EncodeStopNewRequests();

}  // namespace hingelink::proto

#endif  // HINGELINK_PROTO_FRAMES_H_
