#include "state/file_system.h"

#include <fcntl.h>
#include <sys/file.h>
#include <unistd.h>

#include <cerrno>
#include <cstdio>
#include <cstring>
#include <utility>

namespace hingelink::state {
namespace {

constexpr std::size_t kMaxReadBytes = 64 << 20;
constexpr std::size_t kReadChunkBytes = 16384;

[[noreturn]] void ThrowLastError(const char* operation, const std::string& path) {
  throw FileError(operation, path, errno);
}

// Closes `fd` without changing errno.
void CloseKeepingErrno(int fd) {
  const int error_number = errno;
  close(fd);
  errno = error_number;
}

class PosixFile : public WritableFile {
 public:
  explicit PosixFile(std::string path)
      : path_(std::move(path)), fd_(open(path_.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600)) {
    if (fd_ < 0) ThrowLastError("open", path_);
  }
  ~PosixFile() override { close(fd_); }
  void Write(std::string_view bytes) override {
    while (!bytes.empty()) {
      const ssize_t written = write(fd_, bytes.data(), bytes.size());
      if (written < 0 && errno == EINTR) continue;
      if (written < 0) ThrowLastError("write", path_);
      bytes.remove_prefix(static_cast<std::size_t>(written));
    }
  }
  void Sync() override {
    if (fsync(fd_) != 0) ThrowLastError("fsync", path_);
  }

 private:
  std::string path_;
  int fd_;
};

class PosixFileSystem : public FileSystem {
 public:
  std::unique_ptr<WritableFile> Create(const std::string& path) override {
    return std::make_unique<PosixFile>(path);
  }
  void Rename(const std::string& from, const std::string& to) override {
    if (std::rename(from.c_str(), to.c_str()) != 0) ThrowLastError("rename", from);
  }
  void SyncDirectory(const std::string& directory) override {
    const int fd = open(directory.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (fd < 0) ThrowLastError("open", directory);
    const int result = fsync(fd);
    CloseKeepingErrno(fd);
    if (result != 0) ThrowLastError("fsync", directory);
  }
  std::optional<std::string> Read(const std::string& path) override {
    const int fd = open(path.c_str(), O_RDONLY | O_CLOEXEC);
    if (fd < 0 && errno == ENOENT) return std::nullopt;
    if (fd < 0) ThrowLastError("open", path);
    std::string content;
    char bytes[kReadChunkBytes];
    ssize_t received;
    while ((received = read(fd, bytes, sizeof bytes)) > 0 && content.size() < kMaxReadBytes) {
      content.append(bytes, static_cast<std::size_t>(received));
    }
    CloseKeepingErrno(fd);
    if (received < 0) ThrowLastError("read", path);
    return content;
  }
};

}  // namespace

FileError::FileError(std::string operation, std::string path, int error_number)
    : std::runtime_error(operation + ' ' + path + ": " + std::strerror(error_number)),
      operation_(std::move(operation)),
      path_(std::move(path)),
      error_number_(error_number) {}

FileSystem& SystemFileSystem() {
  static PosixFileSystem system;
  return system;
}

void WriteFileAtomically(FileSystem& files, const std::string& directory, const std::string& name,
                         std::string_view bytes) {
  const std::string path = directory + '/' + name;
  const std::string temporary_path = path + ".new";
  {
    const auto file = files.Create(temporary_path);
    file->Write(bytes);
    // The sync precedes the rename: otherwise the new name could refer to an incomplete file after a power
    // cut.
    file->Sync();
  }
  files.Rename(temporary_path, path);
  files.SyncDirectory(directory);
}

std::optional<DirectoryLock> DirectoryLock::TryAcquire(const std::string& path) {
  const int fd = open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600);
  if (fd < 0) ThrowLastError("open", path);
  if (flock(fd, LOCK_EX | LOCK_NB) != 0) {
    CloseKeepingErrno(fd);
    if (errno != EWOULDBLOCK) ThrowLastError("flock", path);
    return std::nullopt;
  }
  return DirectoryLock(fd);
}

DirectoryLock::DirectoryLock(DirectoryLock&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}

DirectoryLock::~DirectoryLock() {
  if (fd_ >= 0) close(fd_);
}

}  // namespace hingelink::state
