// A blocking client of control sockets, for the command-line tools and the console.
#ifndef HINGELINK_CONTROL_CLIENT_H_
#define HINGELINK_CONTROL_CLIENT_H_

#include <chrono>
#include <optional>
#include <string>

#include "control/protocol.h"
#include "net/event.h"

namespace hingelink::control {

// Thrown when there is no socket at the path, no process listens on it, the connection breaks, or no response
// arrives in time.
class UnreachableError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// One connection. Not thread-safe.
class Client {
 public:
  // Connects to the socket at `path`. Throws UnreachableError.
  explicit Client(const std::string& path);

  // Sends a request and returns its result. Throws RequestError if the server rejects the request, and
  // UnreachableError if no response arrives within `timeout`.
  nlohmann::json Call(const std::string& op, const nlohmann::json& args = nlohmann::json::object(),
                      std::chrono::milliseconds timeout = std::chrono::seconds(5));
  // Sends a request without waiting for the response, which ReadResult() returns.
  void SendRequest(const std::string& op, const nlohmann::json& args = nlohmann::json::object());
  // Returns the next result, or nothing if none arrives within `timeout` or a signal interrupts the wait.
  // Throws RequestError if the server rejected the request, and UnreachableError if the connection is closed.
  std::optional<nlohmann::json> ReadResult(std::chrono::milliseconds timeout);
  int fd() const { return fd_.get(); }

 private:
  net::Descriptor fd_;
  std::string received_;
  std::uint64_t last_request_id_ = 0;
};

}  // namespace hingelink::control

#endif  // HINGELINK_CONTROL_CLIENT_H_
