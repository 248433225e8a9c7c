// The line protocol of the worker pool: parses notices without copying and encodes commands. pool_lines.cpp
// maps the keywords of the protocol to these types. Performs no I/O. The string views of parsed messages
// refer to the buffer that was parsed.
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

// Applies to all lines except remarks, which have no limit.
inline constexpr std::size_t kMaxPoolLineBytes = 65'536;
// The protocol limits results to 4 KiB; longer results are accepted up to this size.
inline constexpr std::size_t kMaxPoolResultBytes = 65'536;

// How an execution ended, as the pool reports it.
enum class RunOutcome { kComplete, kError, kCancelled, kUnknown };

// Answer to EncodeBindCommand(): the pool has accepted the connection.
struct BindAcknowledged {
  bool warming_up = false;
  std::chrono::duration<double, std::milli> since_start{0};  // Time since the pool started.
};
// An execution has ended.
struct RunFinished {
  std::uint64_t notice_number = 0;  // Increasing; see EncodeBindCommand().
  std::uint64_t request_id = 0;
  RunOutcome outcome = RunOutcome::kError;
  std::chrono::duration<double, std::milli> elapsed{0};  // Duration of the execution.
  std::string_view result;
};
// An execution is suspended until an upstream call with this body completes.
struct RunBlocked {
  std::uint64_t notice_number = 0;
  std::uint64_t request_id = 0;
  std::string_view body;
};
// Answer to EncodeVerifyCommand() with the same tag.
struct RoundTripVerified {
  std::string_view tag;
  bool good = false;
};
// Answer to EncodePollCommand() with the same tag.
struct GaugesReported {
  std::string_view tag;
  std::vector<double> gauges;
};
// The pool does not know a command, or the class, request or notice that the command names.
struct UnknownCommand {
  std::string_view command;
  std::uint64_t request_id = 0;  // 0 if not given.
};
// A text for operators; the text itself is discarded.
struct PoolRemark {
  std::uint64_t notice_number = 0;
  bool is_partial = false;  // The rest of the text, up to the next CR LF, has not been received.
};
// More bytes are needed to parse the message.
struct IncompleteMessage {};
struct MalformedMessage {
  const char* reason;  // Description for the log.
};

using PoolMessage = std::variant<IncompleteMessage, MalformedMessage, BindAcknowledged, RunFinished,
                                 RunBlocked, GaugesReported, RoundTripVerified, UnknownCommand, PoolRemark>;

// Parses the message at the front of `bytes`. If the message is complete or is the first part of a long
// remark, sets `size` to the number of bytes to consume.
[[nodiscard]] PoolMessage ParsePoolMessage(std::string_view bytes, std::size_t& size);

// Formats the id as 16 hexadecimal digits.
[[nodiscard]] std::string FormatRequestId(std::uint64_t request_id);
// Encodes the first command on a connection. The pool repeats the notices with higher numbers than
// `last_notice`.
[[nodiscard]] std::string EncodeBindCommand(std::uint64_t last_notice);
// Encodes the command that starts an execution, without the body and the CR LF that follow.
[[nodiscard]] std::string EncodeSpawnHeader(std::uint64_t request_id, std::string_view class_name,
                                            std::size_t body_size);
// Encodes the command that resumes an execution with the reply to its upstream call, without the reply and
// the CR LF that follow.
[[nodiscard]] std::string EncodeSupplyHeader(std::uint64_t request_id, std::size_t reply_size);
// Encodes the command that resumes an execution without a reply to its upstream call. `notice_number` is the
// number of the RunBlocked notice.
[[nodiscard]] std::string EncodePassCommand(std::uint64_t request_id, std::uint64_t notice_number);
// Encodes the command that tests a round trip through a worker.
[[nodiscard]] std::string EncodeVerifyCommand(std::string_view tag);
// Encodes the command that queries the gauges of the pool.
[[nodiscard]] std::string EncodePollCommand(std::string_view tag);

}  // namespace hingelink::proto

#endif  // HINGELINK_PROTO_POOL_LINES_H_
