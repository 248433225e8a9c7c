// The worker pool's lines: parsing into slices of the buffer they were read into, and encoding. No sockets.
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

inline constexpr std::size_t kMaxPoolLineBytes =
    65'536;  // But for remarks, which are as long as the pool likes.
inline constexpr std::size_t kMaxPoolResultBytes = 65'536;  // The protocol allows 4 KiB.

enum class RunOutcome { kComplete, kError, kCancelled, kUnknown };

struct BindAcknowledged {
  bool warming_up = false;
  std::chrono::duration<double, std::milli> since_start{0};
};
struct RunFinished {
  std::uint64_t notice_number = 0;
  std::uint64_t request_id = 0;
  RunOutcome outcome = RunOutcome::kError;
  std::chrono::duration<double, std::milli> elapsed{0};
  std::string_view result;
};
// A run waits for a call with this body.
struct RunBlocked {
  std::uint64_t notice_number = 0;
  std::uint64_t request_id = 0;
  std::string_view body;
};
struct RoundTripVerified {
  std::string_view tag;
  bool good = false;
};
struct GaugesReported {
  std::string_view tag;
  std::vector<double> gauges;
};
struct UnknownCommand {
  std::string_view command;
  std::uint64_t request_id = 0;  // 0 where the line names none.
};
struct PoolRemark {
  std::uint64_t notice_number = 0;
  bool is_partial = false;  // Only its start has come: what follows up to the next CR LF belongs to it.
};
struct IncompleteMessage {};
struct MalformedMessage {
  const char* reason;
};

using PoolMessage = std::variant<IncompleteMessage, MalformedMessage, BindAcknowledged, RunFinished,
                                 RunBlocked, GaugesReported, RoundTripVerified, UnknownCommand, PoolRemark>;

// Parses the message at the front of `bytes`. `size` is set to the bytes that a whole one takes.
PoolMessage ParsePoolMessage(std::string_view bytes, std::size_t& size);

std::string FormatRequestId(std::uint64_t req);  // 16 hex digits.
std::string EncodeBindCommand(std::uint64_t last_notice);
// All of a spawn but its body and the CR LF behind that.
std::string EncodeSpawnHeader(std::uint64_t req, std::string_view kind, std::size_t body_size);
// All of a supply but the reply and the CR LF behind that.
std::string EncodeSupplyHeader(std::uint64_t req, std::size_t reply_size);
std::string EncodePassCommand(std::uint64_t req, std::uint64_t notice);
std::string EncodeVerifyCommand(std::string_view tag);
std::string EncodePollCommand(std::string_view tag);

}  // namespace hingelink::proto

#endif  // HINGELINK_PROTO_POOL_LINES_H_
