// Builds frames and settings of the simulator's protocol for the tests of the adapter.
#ifndef HINGELINK_TESTS_SIMULATOR_ADAPTER_FRAMES_H_
#define HINGELINK_TESTS_SIMULATOR_ADAPTER_FRAMES_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace hingelink::simulator_adapter {

// Decodes pairs of hexadecimal digits to bytes. Ignores spaces.
inline std::string Hex(std::string_view text) {
  std::string bytes;
  int high = -1;
  for (const char character : text) {
    if (character == ' ') continue;
    const int digit = character <= '9' ? character - '0' : character - 'a' + 10;
    if (high < 0) {
      high = digit;
    } else {
      bytes.push_back(static_cast<char>(high * 16 + digit));
      high = -1;
    }
  }
  return bytes;
}

// Appends the bytes of `value`, in little-endian order.
template <typename T>
void AppendValue(std::string& out, T value) {
  out.append(reinterpret_cast<const char*>(&value), sizeof(T));
}

// Returns the frame of a batch with `count` records, which are encoded in `body`.
inline std::string Frame(double now, std::uint32_t count, const std::string& body) {
  std::string frame;
  AppendValue(frame, now);
  AppendValue(frame, static_cast<std::uint32_t>(16 + body.size()));
  AppendValue(frame, count);
  return frame + body;
}

// Settings of a server with one request class.
inline constexpr char kSettings[] =
    "specifics.cpus=2\nspecifics.memoryKb=10000\nspecifics.runFactor=4\nrules.fallMultiple=5\nquantumMs=2\n"
    "requestClasses.count=1\nrequestClasses.0.hardLimitMs=4000\nrequestClasses.0.repeat=safe\n"
    "someday.newKey=7\nspecifics.gauges=cpu_busy,runnable\n";

// Returns the record that opens an instance.
inline std::string OpenInstanceRecord(std::uint32_t instance, const std::string& settings) {
  std::string body = "\1";
  AppendValue(body, instance);
  AppendValue(body, std::uint64_t{9});
  AppendValue(body, static_cast<std::uint32_t>(settings.size()));
  return body + settings;
}

}  // namespace hingelink::simulator_adapter

#endif  // HINGELINK_TESTS_SIMULATOR_ADAPTER_FRAMES_H_
