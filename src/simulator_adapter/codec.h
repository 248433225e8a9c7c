// Decodes batches of the simulator's binary protocol and encodes the replies. The codes and field names of
// the protocol are mapped to the terms of the policy in codec.cpp and nowhere else.
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

// A new instance of the policy begins.
struct OpenInstance {
  std::uint64_t seed = 0;
  std::string settings;  // See ParseSettings().
};

// An instance ends.
struct RetireInstance {};

struct Record {
  std::uint32_t instance = 0;
  std::variant<OpenInstance, RetireInstance, Event> content;
};

// What happened at one moment, to any number of instances, in order.
struct Batch {
  double now_ms = 0;
  std::vector<Record> records;
};

// Clock, length and number of records.
inline constexpr std::size_t kBatchHeaderBytes = 16;

// The length of the whole frame in bytes, from its header of kBatchHeaderBytes. Throws FrameError.
[[nodiscard]] std::size_t FrameLength(std::string_view header);

// Decodes one whole frame. Throws FrameError.
[[nodiscard]] Batch DecodeBatch(std::string_view frame);

// Collects the actions of one batch and encodes the reply frame. Not thread-safe.
class ReplyEncoder {
 public:
  void Add(std::uint32_t instance, const Action& action);
  // Returns the frame of what was added since the last call.
  [[nodiscard]] std::string Finish();

 private:
  std::string body_;
  std::uint32_t action_count_ = 0;
};

}  // namespace hingelink::simulator_adapter

#endif  // HINGELINK_SIMULATOR_ADAPTER_CODEC_H_
