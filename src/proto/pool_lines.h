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

inline constexpr std::size_t kMostLine = 65'536;    // But for remarks, which are as long as the pool likes.
inline constexpr std::size_t kMostResult = 65'536;  // The protocol allows 4 KiB.

enum class RunEnd { kComplete, kError, kCancelled, kUnknown };

struct PoolBound {
  bool warming_up = false;
  std::chrono::duration<double, std::milli> since_start{0};
};
struct RunFinished {
  std::uint64_t number = 0;
  std::uint64_t req = 0;
  RunEnd end = RunEnd::kError;
  std::chrono::duration<double, std::milli> elapsed{0};
  std::string_view result;
};
// A run waits for a call with this body.
struct RunBlocked {
  std::uint64_t number = 0;
  std::uint64_t req = 0;
  std::string_view body;
};
struct PoolVerified {
  std::string_view tag;
  bool good = false;
};
struct PoolPolled {
  std::string_view tag;
  std::vector<double> gauges;
};
struct CommandUnknown {
  std::string_view command;
  std::uint64_t req = 0;  // 0 where the line names none.
};
struct PoolChatter {
  std::uint64_t number = 0;
  bool goes_on = false;  // Only its start has come: what follows up to the next CR LF belongs to it.
};
struct NeedMore {};
struct BadLine {
  const char* why;
};

using PoolMessage = std::variant<NeedMore, BadLine, PoolBound, RunFinished, RunBlocked, PoolPolled,
                                 PoolVerified, CommandUnknown, PoolChatter>;

// Parses the message at the front of `bytes`. `size` is set to the bytes that a whole one takes.
PoolMessage ParsePoolMessage(std::string_view bytes, std::size_t& size);

std::string ReqText(std::uint64_t req);  // 16 hex digits.
std::string BindLine(std::uint64_t last_notice);
// All of a spawn but its body and the CR LF behind that.
std::string SpawnLine(std::uint64_t req, std::string_view kind, std::size_t body_size);
// All of a supply but the reply and the CR LF behind that.
std::string SupplyLine(std::uint64_t req, std::size_t reply_size);
std::string PassLine(std::uint64_t req, std::uint64_t notice);
std::string VerifyLine(std::string_view tag);
std::string PollLine(std::string_view tag);

}  // namespace hingelink::proto

#endif  // HINGELINK_PROTO_POOL_LINES_H_
