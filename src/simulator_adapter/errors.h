// Exceptions of the adapter. The message names the malformed input and its place.
#ifndef HINGELINK_SIMULATOR_ADAPTER_ERRORS_H_
#define HINGELINK_SIMULATOR_ADAPTER_ERRORS_H_

#include <cstddef>
#include <cstdint>
#include <stdexcept>
#include <string>
#include <utility>

namespace hingelink::simulator_adapter {

// Thrown if a frame of the simulator is malformed.
class FrameError : public std::runtime_error {
 public:
  FrameError(std::size_t offset, const std::string& message) : std::runtime_error(message), offset_(offset) {}
  // The offset of the error within the frame, in bytes.
  std::size_t offset() const { return offset_; }

 private:
  std::size_t offset_;
};

// Thrown if a line or a value of the settings is invalid or missing.
class SettingsError : public std::runtime_error {
 public:
  SettingsError(std::string key, const std::string& message)
      : std::runtime_error(message), key_(std::move(key)) {}
  // The key of the value; empty if the line is not a path=value pair.
  const std::string& key() const { return key_; }

 private:
  std::string key_;
};

// Thrown if an event names an instance that is not open, or if the settings of an instance are invalid.
class InstanceError : public std::runtime_error {
 public:
  InstanceError(std::uint32_t instance, const std::string& message)
      : std::runtime_error(message), instance_(instance) {}
  std::uint32_t instance() const { return instance_; }

 private:
  std::uint32_t instance_;
};

}  // namespace hingelink::simulator_adapter

#endif  // HINGELINK_SIMULATOR_ADAPTER_ERRORS_H_
