#include "control/client.h"

#include <poll.h>
#include <sys/socket.h>
#include <sys/un.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>

namespace hingelink::control {

using net::Steady;

Client::Client(const std::string& path) : fd_(socket(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
  sockaddr_un address{};
  address.sun_family = AF_UNIX;
  if (path.size() >= sizeof address.sun_path)
    throw UnreachableError("control socket path is too long (" + std::to_string(path.size()) +
                           " bytes of at most " + std::to_string(sizeof address.sun_path - 1) + "): " + path);
  std::memcpy(address.sun_path, path.data(), path.size());
  if (connect(fd_.get(), reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
    throw UnreachableError("nobody answers at " + path + ": " + std::strerror(errno));
  }
}

void Client::SendRequest(const std::string& op, const nlohmann::json& args) {
  const nlohmann::json request = {{"v", kVersion}, {"id", ++last_request_id_}, {"op", op}, {"args", args}};
  const std::string line = request.dump() + '\n';
  if (send(fd_.get(), line.data(), line.size(), MSG_NOSIGNAL) != static_cast<ssize_t>(line.size())) {
    throw UnreachableError(std::string("cannot send to the control socket: ") + std::strerror(errno));
  }
}

std::optional<nlohmann::json> Client::ReadResult(std::chrono::milliseconds timeout) {
  const Steady::time_point deadline = Steady::now() + timeout;
  std::size_t end;
  while ((end = received_.find('\n')) == std::string::npos) {
    if (received_.size() > kMaxResponseBytes) throw UnreachableError("the server sent an invalid response");
    const auto remaining = std::chrono::ceil<std::chrono::milliseconds>(deadline - Steady::now());
    pollfd ready{fd_.get(), POLLIN, 0};
    const int ready_count = poll(&ready, 1, static_cast<int>(std::max<std::int64_t>(0, remaining.count())));
    if (ready_count < 0 && errno == EINTR) return std::nullopt;
    if (ready_count <= 0) return std::nullopt;
    char bytes[16384];
    const ssize_t size = recv(fd_.get(), bytes, sizeof bytes, 0);
    if (size < 0 && errno == EINTR) continue;
    if (size <= 0) throw UnreachableError("the server closed the control connection");
    received_.append(bytes, static_cast<std::size_t>(size));
  }
  const nlohmann::json response = nlohmann::json::parse(received_.substr(0, end), nullptr, false);
  received_.erase(0, end + 1);
  if (!response.is_object() || !response.contains("ok"))
    throw UnreachableError("the server sent an invalid response");
  if (!response["ok"].get<bool>()) {
    throw RequestError(response["error"].value("code", ""), response["error"].value("message", ""));
  }
  return response["result"];
}

nlohmann::json Client::Call(const std::string& op, const nlohmann::json& args,
                            std::chrono::milliseconds timeout) {
  SendRequest(op, args);
  const Steady::time_point deadline = Steady::now() + timeout;
  for (;;) {
    const auto remaining = std::chrono::ceil<std::chrono::milliseconds>(deadline - Steady::now());
    if (auto result = ReadResult(std::max(remaining, std::chrono::milliseconds(0)))) return *result;
    if (Steady::now() >= deadline)
      throw UnreachableError("no response to '" + op + "' within " + std::to_string(timeout.count()) + " ms");
  }
}

}  // namespace hingelink::control
