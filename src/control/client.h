// The other end of a control socket: blocking, for commands and the console.
#ifndef HINGELINK_CONTROL_CLIENT_H_
#define HINGELINK_CONTROL_CLIENT_H_

#include <chrono>
#include <optional>
#include <string>

#include "control/protocol.h"
#include "net/event.h"

namespace hingelink::control {

// Nobody answers: no socket, no process behind it, or none in time.
class UnreachableError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

class Client {
 public:
  // Throws UnreachableError.
  explicit Client(const std::string& path);

  // The result. Throws Fault where the other side says no, UnreachableError where it does not answer in time.
  nlohmann::json Call(const std::string& op, const nlohmann::json& args = nlohmann::json::object(),
                      std::chrono::milliseconds patience = std::chrono::seconds(5));
  // Asks without waiting; the results come to ReadResult().
  void SendRequest(const std::string& op, const nlohmann::json& args = nlohmann::json::object());
  // The next result that is here within the time; nothing where none is. Throws as Call() does.
  std::optional<nlohmann::json> ReadResult(std::chrono::milliseconds patience);
  int fd() const { return fd_.get(); }

 private:
  net::Descriptor fd_;
  std::string read_;
  std::uint64_t last_id_ = 0;
};

}  // namespace hingelink::control

#endif  // HINGELINK_CONTROL_CLIENT_H_
