// Hosts instances of the module behind the simulator's wire: batches on standard input, replies on standard
// output, one line on standard error and a non-zero exit for input that is malformed.
#include <algorithm>
#include <cstdio>
#include <exception>
#include <string>

#include "simulator_adapter/codec.h"
#include "simulator_adapter/instance_table.h"

namespace {

using hingelink::simulator_adapter::WireError;

// Appends `count` bytes of standard input, in pieces, so that a false length claims no memory. Returns how
// many there were.
std::size_t ReadBytes(std::string& into, std::size_t count) {
  constexpr std::size_t kPiece = 1 << 20;
  std::size_t done = 0;
  while (done < count) {
    const std::size_t want = std::min(kPiece, count - done);
    const std::size_t old = into.size();
    into.resize(old + want);
    const std::size_t got = std::fread(into.data() + old, 1, want, stdin);
    into.resize(old + got);
    done += got;
    if (got < want) break;
  }
  return done;
}

void Serve() {
  hingelink::simulator_adapter::InstanceTable table;
  std::string frame;
  for (;;) {
    frame.clear();
    const std::size_t got = ReadBytes(frame, hingelink::simulator_adapter::kBatchHeader);
    if (got == 0) return;
    if (got < hingelink::simulator_adapter::kBatchHeader) {
      throw WireError("input ends inside a header, after " + std::to_string(got) + " bytes");
    }
    const std::size_t length = hingelink::simulator_adapter::FrameLength(frame);
    ReadBytes(frame, length - frame.size());
    if (frame.size() < length) {
      throw WireError("input ends inside a frame, after " + std::to_string(frame.size()) + " of " +
                      std::to_string(length) + " bytes");
    }
    const std::string reply = table.Answer(hingelink::simulator_adapter::DecodeBatch(frame));
    if (std::fwrite(reply.data(), 1, reply.size(), stdout) != reply.size() || std::fflush(stdout) != 0) {
      throw WireError("standard output cannot be written");
    }
  }
}

}  // namespace

int main() {
  try {
    Serve();
    return 0;
  } catch (const std::exception& fault) {
    std::fprintf(stderr, "hingelink_benchlink: %s\n", fault.what());
    return 1;
  }
}
