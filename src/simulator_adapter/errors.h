// Errors of the adapter: each names what is malformed and where.
#ifndef HINGELINK_SIMULATOR_ADAPTER_ERRORS_H_
#define HINGELINK_SIMULATOR_ADAPTER_ERRORS_H_

#include <cstddef>
#include <cstdint>
#include <stdexcept>
#include <string>
#include <utility>

namespace hingelink::simulator_adapter {

// A frame that is malformed.
class FrameError : public std::runtime_error {
 public:
  FrameError(std::size_t offset, const std::string& message) : std::runtime_error(message), offset_(offset) {}
  // Bytes of the frame before the fault.
  std::size_t offset() const { return offset_; }

 private:
  std::size_t offset_;
};

// Settings of which one line or value cannot be used.
class SettingsError : public std::runtime_error {
 public:
  SettingsError(std::string key, const std::string& message)
      : std::runtime_error(message), key_(std::move(key)) {}
  // The path of the value; empty if a line is not a path=value pair.
  const std::string& key() const { return key_; }

 private:
  std::string key_;
};

// An event that does not fit an instance: it is not open, or its settings cannot be used.
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
