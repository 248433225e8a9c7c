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
  if (path.size() >= sizeof address.sun_path) throw UnreachableError("the path is too long: " + path);
  std::memcpy(address.sun_path, path.data(), path.size());
  if (connect(fd_.get(), reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
    throw UnreachableError("nobody answers at " + path + ": " + std::strerror(errno));
  }
}

void Client::SendRequest(const std::string& op, const nlohmann::json& args) {
  const nlohmann::json request = {{"v", kVersion}, {"id", ++last_id_}, {"op", op}, {"args", args}};
  const std::string line = request.dump() + '\n';
  if (send(fd_.get(), line.data(), line.size(), MSG_NOSIGNAL) != static_cast<ssize_t>(line.size())) {
    throw UnreachableError(std::string("the other side has gone: ") + std::strerror(errno));
  }
}

std::optional<nlohmann::json> Client::ReadResult(std::chrono::milliseconds patience) {
  const Steady::time_point until = Steady::now() + patience;
  std::size_t end;
  while ((end = read_.find('\n')) == std::string::npos) {
    if (read_.size() > kMaxResponseBytes) throw UnreachableError("what came is no response");
    const auto left = std::chrono::ceil<std::chrono::milliseconds>(until - Steady::now());
    pollfd ready{fd_.get(), POLLIN, 0};
    const int got = poll(&ready, 1, static_cast<int>(std::max<std::int64_t>(0, left.count())));
    if (got < 0 && errno == EINTR) return std::nullopt;
    if (got <= 0) return std::nullopt;
    char bytes[16384];
    const ssize_t size = recv(fd_.get(), bytes, sizeof bytes, 0);
    if (size < 0 && errno == EINTR) continue;
    if (size <= 0) throw UnreachableError("the other side has gone");
    read_.append(bytes, static_cast<std::size_t>(size));
  }
  const nlohmann::json response = nlohmann::json::parse(read_.substr(0, end), nullptr, false);
  read_.erase(0, end + 1);
  if (!response.is_object() || !response.contains("ok")) throw UnreachableError("what came is no response");
  if (!response["ok"].get<bool>()) {
    throw RequestError(response["error"].value("code", ""), response["error"].value("message", ""));
  }
  return response["result"];
}

nlohmann::json Client::Call(const std::string& op, const nlohmann::json& args,
                            std::chrono::milliseconds patience) {
  SendRequest(op, args);
  const Steady::time_point until = Steady::now() + patience;
  for (;;) {
    const auto left = std::chrono::ceil<std::chrono::milliseconds>(until - Steady::now());
    if (auto result = ReadResult(std::max(left, std::chrono::milliseconds(0)))) return *result;
    if (Steady::now() >= until) throw UnreachableError("no answer within the time");
  }
}

}  // namespace hingelink::control
