#include "log/standard_error_sink.h"

#include <poll.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <climits>

namespace hingelink::log {
namespace {

// Whether standard error accepts bytes now. Also true if it is closed or broken: the write then fails at
// once.
bool IsWritable() {
  pollfd descriptor{.fd = STDERR_FILENO, .events = POLLOUT, .revents = 0};
  return poll(&descriptor, 1, 0) > 0;
}

bool IsSocket() {
  struct stat status {};
  return fstat(STDERR_FILENO, &status) == 0 && S_ISSOCK(status.st_mode);
}

// Writes what is accepted without waiting. Returns the number of bytes, or -1 with errno.
ssize_t WriteSome(const std::string& bytes) {
  // A pipe that poll() reports as writable accepts this many bytes at once.
  const std::size_t size = std::min<std::size_t>(bytes.size(), PIPE_BUF);
  // A socket that poll() reports as writable may have less room.
  if (IsSocket()) return send(STDERR_FILENO, bytes.data(), size, MSG_DONTWAIT | MSG_NOSIGNAL);
  return write(STDERR_FILENO, bytes.data(), size);
}

}  // namespace

void StandardErrorSink::sink_it_(const spdlog::details::log_msg& message) {
  spdlog::memory_buf_t formatted;
  formatter_->format(message, formatted);
  queue_.emplace_back(formatted.data(), formatted.size());
  WriteQueued();
  if (queue_.size() <= max_queued_lines_) return;
  // The first line may have been written in part, so the second one is dropped.
  queue_.erase(queue_.begin() + 1);
  ++lost_;
}

void StandardErrorSink::WriteQueued() {
  while (!queue_.empty() && IsWritable()) {
    std::string& line = queue_.front();
    const ssize_t written = WriteSome(line);
    if (written < 0 && errno == EINTR) continue;
    if (written < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) return;
    if (written < 0) {
      ++lost_;
      queue_.pop_front();
      continue;
    }
    line.erase(0, static_cast<std::size_t>(written));
    if (line.empty()) queue_.pop_front();
  }
}

}  // namespace hingelink::log
