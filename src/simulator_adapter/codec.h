// Decodes batches of the simulator's binary protocol and encodes the replies. Only codec.cpp knows the codes
// and field names of the protocol; it maps them to the types of the policy.
#ifndef HINGELINK_SIMULATOR_ADAPTER_CODEC_H_
#define HINGELINK_SIMULATOR_ADAPTER_CODEC_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "hingelink/server_policy.h"

namespace hingelink::simulator_adapter {

// Opens a new instance of the policy.
struct OpenInstance {
  std::uint64_t seed = 0;  // Of the random numbers of the instance.
  std::string settings;    // In the format of ParseSettings().
};

// Closes an instance.
struct RetireInstance {};

// An event for one instance, or a command that opens or closes the instance.
struct Record {
  std::uint32_t instance = 0;
  std::variant<OpenInstance, RetireInstance, Event> content;
};

// All records of one point in time, for any number of instances, in order.
struct Batch {
  double now_ms = 0;
  std::vector<Record> records;
};

// Clock (8 bytes), frame length (4) and number of records (4).
inline constexpr std::size_t kBatchHeaderBytes = 16;

// Returns the length of the whole frame in bytes. `header` holds at least the first kBatchHeaderBytes of the
// frame. Throws FrameError if the length is invalid.
[[nodiscard]] std::size_t FrameLength(std::string_view header);

// Decodes one whole frame. Throws FrameError if the frame is malformed.
[[nodiscard]] Batch DecodeBatch(std::string_view frame);

// Collects the actions of one batch and encodes the reply frame. Not thread-safe.
class ReplyEncoder {
 public:
  // Adds an action of an instance.
  void Add(std::uint32_t instance, const Action& action);
  // Returns a reply frame with the actions added since the last call.
  [[nodiscard]] std::string Finish();

 private:
  std::string body_;
  std::uint32_t action_count_ = 0;
};

}  // namespace hingelink::simulator_adapter

#endif  // HINGELINK_SIMULATOR_ADAPTER_CODEC_H_
