// The store's lines: parsing into slices of the buffer that they were read into, and encoding. No sockets.
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
  kBusy,      // Never ran.
  kError,     // May have had its effect.
  kTimedOut,  // May have had its effect.
  kNotRun,    // Never ran.
};

struct StoreReply {
  std::uint64_t request_id = 0;
  StoreReplyStatus status = StoreReplyStatus::kError;
  std::string_view body;
};
struct IncompleteStoreReply {};
struct MalformedStoreReply {
  const char* reason;
};
using StoreMessage = std::variant<IncompleteStoreReply, MalformedStoreReply, StoreReply>;

// Parses the reply at the front of `bytes`. Sets `size` to the bytes of a complete one.
[[nodiscard]] StoreMessage ParseStoreReply(std::string_view bytes, std::size_t& size);

// A call without its body and the CR LF after that. `wait` is rounded up to whole milliseconds.
[[nodiscard]] std::string EncodeStoreCallHeader(std::uint64_t request_id,
                                                std::chrono::duration<double, std::milli> wait,
                                                std::size_t body_size);
// Abandons a call.
[[nodiscard]] std::string EncodeStoreDropCommand(std::uint64_t request_id);

}  // namespace hingelink::proto

#endif  // HINGELINK_PROTO_STORE_LINES_H_
