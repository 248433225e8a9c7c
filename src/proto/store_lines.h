// The line protocol of the upstream store: parses replies without copying and encodes calls. Performs no I/O.
#ifndef HINGELINK_PROTO_STORE_LINES_H_
#define HINGELINK_PROTO_STORE_LINES_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

namespace hingelink::proto {

inline constexpr std::size_t kMaxStoreLineBytes = 256;
inline constexpr std::size_t kMaxStoreReplyBytes = 65'536;

enum class StoreReplyStatus {
  kOk,
  kBusy,      // The store was overloaded and did not execute the call.
  kError,     // The call failed; it may have taken effect.
  kTimedOut,  // The call timed out; it may have taken effect.
  kNotRun,    // The store did not execute the call.
};

struct StoreReply {
  std::uint64_t request_id = 0;
  StoreReplyStatus status = StoreReplyStatus::kError;
  std::string_view body;  // Refers to the parsed buffer.
};
// More bytes are needed to parse the reply.
struct IncompleteStoreReply {};
struct MalformedStoreReply {
  const char* reason;  // Description for the log.
};
using StoreMessage = std::variant<IncompleteStoreReply, MalformedStoreReply, StoreReply>;

// Parses the reply at the front of `bytes`. If the reply is complete, sets `size` to its size in bytes.
[[nodiscard]] StoreMessage ParseStoreReply(std::string_view bytes, std::size_t& size);

// Encodes a call without the body and the CR LF that follow. `wait` is the time limit of the call; it is
// rounded up to whole milliseconds and limited to between 1 ms and one day.
[[nodiscard]] std::string EncodeStoreCallHeader(std::uint64_t request_id,
                                                std::chrono::duration<double, std::milli> wait,
                                                std::size_t body_size);
// Encodes the command that abandons a call.
[[nodiscard]] std::string EncodeStoreDropCommand(std::uint64_t request_id);

}  // namespace hingelink::proto

#endif  // HINGELINK_PROTO_STORE_LINES_H_
