// Serves instances of the policy to the simulator: batches on standard input, replies on standard output, one
// line on standard error and a non-zero exit status for malformed input.
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

// Bytes that are read at once, so that a false length in a header claims no memory.
constexpr std::size_t kChunkBytes = 1 << 20;

// Appends up to `count` bytes of standard input to `buffer`. Returns how many there were.
std::size_t ReadBytes(std::string& buffer, std::size_t count) {
  std::size_t done = 0;
  while (done < count) {
    const std::size_t wanted = std::min(kChunkBytes, count - done);
    const std::size_t old_size = buffer.size();
    buffer.resize(old_size + wanted);
    const std::size_t received = std::fread(buffer.data() + old_size, 1, wanted, stdin);
    buffer.resize(old_size + received);
    done += received;
    if (received < wanted) break;
  }
  return done;
}

// Reads the next frame into `frame`. Returns false at the end of the input.
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
    const std::string reply = table.Answer(hingelink::simulator_adapter::DecodeBatch(frame));
    if (std::fwrite(reply.data(), 1, reply.size(), stdout) != reply.size() || std::fflush(stdout) != 0)
      throw std::runtime_error("standard output cannot be written");
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
