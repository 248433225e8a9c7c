// The worker pool's lines: parsing into slices of the buffer that they were read into, and encoding. The
// words of the protocol are mapped to these types in pool_lines.cpp. No sockets.
#ifndef HINGELINK_PROTO_POOL_LINES_H_
#define HINGELINK_PROTO_POOL_LINES_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace hingelink::proto {

inline constexpr std::size_t kMaxPoolLineBytes = 65'536;    // Remarks excepted, which have no bound.
inline constexpr std::size_t kMaxPoolResultBytes = 65'536;  // The protocol allows 4 KiB.

enum class RunOutcome { kComplete, kError, kCancelled, kUnknown };

// The pool has accepted the connection.
struct BindAcknowledged {
  bool warming_up = false;
  std::chrono::duration<double, std::milli> since_start{0};
};
// An execution has ended.
struct RunFinished {
  std::uint64_t notice_number = 0;
  std::uint64_t request_id = 0;
  RunOutcome outcome = RunOutcome::kError;
  std::chrono::duration<double, std::milli> elapsed{0};
  std::string_view result;
};
// An execution waits for an upstream call with this body.
struct RunBlocked {
  std::uint64_t notice_number = 0;
  std::uint64_t request_id = 0;
  std::string_view body;
};
// The answer to EncodeVerifyCommand().
struct RoundTripVerified {
  std::string_view tag;
  bool good = false;
};
// The answer to EncodePollCommand().
struct GaugesReported {
  std::string_view tag;
  std::vector<double> gauges;
};
// The pool does not know a command.
struct UnknownCommand {
  std::string_view command;
  std::uint64_t request_id = 0;  // 0 if not given.
};
// A text for operators, which is skipped.
struct PoolRemark {
  std::uint64_t notice_number = 0;
  bool is_partial = false;  // The rest, up to the next CR LF, has not arrived.
};
// The message has not arrived as a whole.
struct IncompleteMessage {};
struct MalformedMessage {
  const char* reason;
};

using PoolMessage = std::variant<IncompleteMessage, MalformedMessage, BindAcknowledged, RunFinished,
                                 RunBlocked, GaugesReported, RoundTripVerified, UnknownCommand, PoolRemark>;

// Parses the message at the front of `bytes`. Sets `size` to the bytes of a complete one.
[[nodiscard]] PoolMessage ParsePoolMessage(std::string_view bytes, std::size_t& size);

// As 16 hexadecimal digits.
[[nodiscard]] std::string FormatRequestId(std::uint64_t request_id);
// Opens a connection; notices up to this number are not repeated.
[[nodiscard]] std::string EncodeBindCommand(std::uint64_t last_notice);
// Starts an execution: the command without its body and the CR LF after that.
[[nodiscard]] std::string EncodeSpawnHeader(std::uint64_t request_id, std::string_view class_name,
                                            std::size_t body_size);
// Hands over the reply to an upstream call: the command without the reply and the CR LF after that.
[[nodiscard]] std::string EncodeSupplyHeader(std::uint64_t request_id, std::size_t reply_size);
// Lets an execution go on without its upstream call.
[[nodiscard]] std::string EncodePassCommand(std::uint64_t request_id, std::uint64_t notice_number);
// Asks for a round trip through a worker.
[[nodiscard]] std::string EncodeVerifyCommand(std::string_view tag);
// Asks for the gauges.
[[nodiscard]] std::string EncodePollCommand(std::string_view tag);

}  // namespace hingelink::proto

#endif  // HINGELINK_PROTO_POOL_LINES_H_
