// Runs instances of the policy for the simulator. Reads batches from standard input and writes replies to
// standard output. If the input is malformed, prints one line to standard error and exits with status 1.
#include <algorithm>
#include <cstdio>
#include <exception>
#include <stdexcept>
#include <string>

#include "simulator_adapter/codec.h"
#include "simulator_adapter/errors.h"
#include "simulator_adapter/instance_table.h"

namespace {

using hingelink::simulator_adapter::FrameError;

// Input is read in chunks of this size, so that an invalid length in a header cannot allocate memory for
// bytes that never arrive.
constexpr std::size_t kChunkBytes = 1 << 20;

// Appends up to `count` bytes from standard input to `buffer`. Returns the number of bytes read.
std::size_t ReadBytes(std::string& buffer, std::size_t count) {
  std::size_t total = 0;
  while (total < count) {
    const std::size_t chunk_size = std::min(kChunkBytes, count - total);
    const std::size_t old_size = buffer.size();
    buffer.resize(old_size + chunk_size);
    const std::size_t received = std::fread(buffer.data() + old_size, 1, chunk_size, stdin);
    buffer.resize(old_size + received);
    total += received;
    if (received < chunk_size) break;
  }
  return total;
}

// Reads the next frame into `frame`. Returns false at the end of the input. Throws FrameError if the input
// ends inside a frame.
bool ReadFrame(std::string& frame) {
  using hingelink::simulator_adapter::kBatchHeaderBytes;
  frame.clear();
  const std::size_t received = ReadBytes(frame, kBatchHeaderBytes);
  if (received == 0) return false;
  if (received < kBatchHeaderBytes)
    throw FrameError(received, "input ends inside a header, after " + std::to_string(received) + " bytes");
  const std::size_t length = hingelink::simulator_adapter::FrameLength(frame);
  ReadBytes(frame, length - frame.size());
  if (frame.size() < length) {
    throw FrameError(frame.size(), "input ends inside a frame, after " + std::to_string(frame.size()) +
                                       " of " + std::to_string(length) + " bytes");
  }
  return true;
}

void Serve() {
  hingelink::simulator_adapter::InstanceTable table;
  std::string frame;
  while (ReadFrame(frame)) {
    const std::string reply = table.ProcessBatch(hingelink::simulator_adapter::DecodeBatch(frame));
    if (std::fwrite(reply.data(), 1, reply.size(), stdout) != reply.size() || std::fflush(stdout) != 0)
      throw std::runtime_error("cannot write the reply to standard output");
  }
}

}  // namespace

int main() {
  try {
    Serve();
    return 0;
  } catch (const std::exception& error) {
    std::fprintf(stderr, "hingelink_benchlink: %s\n", error.what());
    return 1;
  }
}
