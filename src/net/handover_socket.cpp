#include "net/handover_socket.h"

#include <fcntl.h>
#include <sys/file.h>
#include <sys/socket.h>
#include <sys/un.h>
#include <unistd.h>

#include <cerrno>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <string_view>
#include <thread>

#include "log/log.h"
#include "proto/handover_lines.h"

namespace hingelink::net {
namespace {

using namespace std::chrono_literals;

constexpr int kListenBacklog = 4;
constexpr std::size_t kMaxPidLength = 20;
// The lock is held for a few system calls. Only a process that is stopped meanwhile holds it for longer.
constexpr auto kLockTimeout = 1s;
constexpr auto kLockPollInterval = 2ms;

// Returns false if `path` is too long for the address of a UNIX socket.
bool ToAddress(const std::string& path, sockaddr_un& address) {
  address = {};
  address.sun_family = AF_UNIX;
  if (path.size() >= sizeof address.sun_path) return false;
  std::memcpy(address.sun_path, path.data(), path.size());
  return true;
}

Descriptor UnixSocket(int flags) {
  return Descriptor(socket(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC | flags, 0));
}

std::string TemporaryPath(const std::string& path) { return path + '.' + std::to_string(getpid()); }

// A message of one line that carries one descriptor. Neither copyable nor movable, as it points into itself.
struct ListenerMessage {
  char line[proto::kHandoverListener.size()];
  iovec text{line, sizeof line};
  alignas(cmsghdr) char control[CMSG_SPACE(sizeof(int))] = {};
  msghdr message{};

  ListenerMessage() {
    message.msg_iov = &text;
    message.msg_iovlen = 1;
    message.msg_control = control;
    message.msg_controllen = sizeof control;
  }
  ListenerMessage(const ListenerMessage&) = delete;
  ListenerMessage& operator=(const ListenerMessage&) = delete;
};

}  // namespace

bool IsValidSocketPath(const std::string& path) {
  // TakeOverPath() first binds a longer name, which must fit as well.
  sockaddr_un address;
  return ToAddress(TemporaryPath(path), address);
}

Descriptor ConnectToOwner(const std::string& path, const timeval& timeout) {
  sockaddr_un address;
  if (!ToAddress(path, address)) return Descriptor();
  Descriptor channel = UnixSocket(0);
  if (channel.get() < 0) return channel;
  // The send timeout also bounds connect().
  setsockopt(channel.get(), SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
  setsockopt(channel.get(), SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof timeout);
  const auto* to = reinterpret_cast<const sockaddr*>(&address);
  return connect(channel.get(), to, sizeof address) == 0 ? std::move(channel) : Descriptor();
}

pid_t PeerProcess(evutil_socket_t connected) {
  ucred peer{};
  socklen_t size = sizeof peer;
  return getsockopt(connected, SOL_SOCKET, SO_PEERCRED, &peer, &size) == 0 ? peer.pid : 0;
}

Descriptor TakeOverPath(const std::string& path) {
  sockaddr_un address;
  const std::string temporary_path = TemporaryPath(path);
  if (!ToAddress(temporary_path, address)) return Descriptor();
  Descriptor server = UnixSocket(SOCK_NONBLOCK);
  unlink(temporary_path.c_str());
  // Bound under a temporary name and then renamed, so that the path always leads to a listening socket.
  if (server.get() >= 0 &&
      bind(server.get(), reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0 &&
      listen(server.get(), kListenBacklog) == 0 && std::rename(temporary_path.c_str(), path.c_str()) == 0) {
    return server;
  }
  const int error = errno;
  unlink(temporary_path.c_str());
  errno = error;
  return Descriptor();
}

bool SendListener(evutil_socket_t to, evutil_socket_t listener) {
  ListenerMessage out;
  std::memcpy(out.line, proto::kHandoverListener.data(), sizeof out.line);
  cmsghdr* head = CMSG_FIRSTHDR(&out.message);
  head->cmsg_level = SOL_SOCKET;
  head->cmsg_type = SCM_RIGHTS;
  head->cmsg_len = CMSG_LEN(sizeof(int));
  std::memcpy(CMSG_DATA(head), &listener, sizeof listener);
  return sendmsg(to, &out.message, MSG_NOSIGNAL) == static_cast<ssize_t>(sizeof out.line);
}

Descriptor ReceiveListener(evutil_socket_t from) {
  errno = 0;
  ListenerMessage in;
  const ssize_t got = recvmsg(from, &in.message, MSG_CMSG_CLOEXEC | MSG_WAITALL);
  const cmsghdr* head = got > 0 ? CMSG_FIRSTHDR(&in.message) : nullptr;
  if (head == nullptr || head->cmsg_type != SCM_RIGHTS) return Descriptor();
  int fd = -1;
  std::memcpy(&fd, CMSG_DATA(head), sizeof fd);
  Descriptor listener(fd);
  const bool is_valid = std::string_view(in.line, static_cast<std::size_t>(got)) == proto::kHandoverListener;
  return is_valid ? std::move(listener) : Descriptor();
}

PathLock::PathLock(const std::string& path)
    : file_(open((path + ".lock").c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600)) {
  if (file_.get() < 0) return;
  const auto deadline = Steady::now() + kLockTimeout;
  while (flock(file_.get(), LOCK_EX | LOCK_NB) != 0) {
    if (errno != EWOULDBLOCK && errno != EINTR) return;
    if (Steady::now() > deadline) {
      log::Warn("handover-lock-held");
      return;
    }
    std::this_thread::sleep_for(kLockPollInterval);
  }
}

pid_t PathLock::owner() const {
  char text[kMaxPidLength + 1] = {};
  if (pread(file_.get(), text, kMaxPidLength, 0) <= 0) return 0;
  return static_cast<pid_t>(std::strtol(text, nullptr, 10));
}

void PathLock::SetOwner(pid_t owner) {
  const std::string text = std::to_string(owner);
  // Without the record, the owner counts as unknown.
  if (ftruncate(file_.get(), 0) != 0 || pwrite(file_.get(), text.data(), text.size(), 0) < 0)
    log::Warn("handover-lock-failed", {{"what", std::strerror(errno)}});
}

}  // namespace hingelink::net
