// Reads and writes the simulator's binary frames. Pure translation: nothing here decides anything.
#ifndef HINGELINK_SIMULATOR_ADAPTER_CODEC_H_
#define HINGELINK_SIMULATOR_ADAPTER_CODEC_H_

#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "hingelink/server_policy.h"

namespace hingelink::simulator_adapter {

// What is wrong with the input, and where.
class WireError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

struct OpenInstance {
  std::uint64_t seed = 0;
  std::string settings;
};
struct Retire {};

struct Record {
  std::uint32_t instance = 0;
  std::variant<OpenInstance, Retire, Event> what;
};

struct Batch {
  double now_ms = 0;
  std::vector<Record> records;
};

inline constexpr std::size_t kBatchHeader = 16;

// The length of the whole frame, from its header of kBatchHeader bytes. Throws WireError.
std::size_t FrameLength(std::string_view header);

// Decodes one whole frame. Throws WireError.
Batch DecodeBatch(std::string_view frame);

// Collects actions and gives the reply frame.
class ReplyWriter {
 public:
  void Add(std::uint32_t instance, const Action& action);
  // The finished frame; the writer is empty again.
  std::string Take();

 private:
  std::string body_;
  std::uint32_t count_ = 0;
};

}  // namespace hingelink::simulator_adapter

#endif  // HINGELINK_SIMULATOR_ADAPTER_CODEC_H_
