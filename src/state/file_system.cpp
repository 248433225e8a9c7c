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

constexpr std::size_t kMostRead = 64 << 20;

[[noreturn]] void Fail(const char* call, const std::string& path) {
  throw FileError(std::string(call) + ' ' + path + ": " + std::strerror(errno));
}

class SystemWritableFile : public WritableFile {
 public:
  explicit SystemWritableFile(std::string path)
      : path_(std::move(path)), fd_(open(path_.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600)) {
    if (fd_ < 0) Fail("open", path_);
  }
  ~SystemWritableFile() override { close(fd_); }
  void Write(std::string_view bytes) override {
    while (!bytes.empty()) {
      const ssize_t got = write(fd_, bytes.data(), bytes.size());
      if (got < 0 && errno == EINTR) continue;
      if (got < 0) Fail("write", path_);
      bytes.remove_prefix(static_cast<std::size_t>(got));
    }
  }
  void Sync() override {
    if (fsync(fd_) != 0) Fail("fsync", path_);
  }

 private:
  std::string path_;
  int fd_;
};

class SystemFileSystemImpl : public FileSystem {
 public:
  std::unique_ptr<WritableFile> Create(const std::string& path) override {
    return std::make_unique<SystemWritableFile>(path);
  }
  void Rename(const std::string& from, const std::string& to) override {
    if (std::rename(from.c_str(), to.c_str()) != 0) Fail("rename", from);
  }
  void SyncDirectory(const std::string& directory) override {
    const int fd = open(directory.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (fd < 0) Fail("open", directory);
    const int got = fsync(fd);
    const int error = errno;
    close(fd);
    errno = error;
    if (got != 0) Fail("fsync", directory);
  }
  std::optional<std::string> Read(const std::string& path) override {
    const int fd = open(path.c_str(), O_RDONLY | O_CLOEXEC);
    if (fd < 0 && errno == ENOENT) return std::nullopt;
    if (fd < 0) Fail("open", path);
    std::string all;
    char bytes[16384];
    ssize_t got;
    while ((got = read(fd, bytes, sizeof bytes)) > 0 && all.size() < kMostRead) {
      all.append(bytes, static_cast<std::size_t>(got));
    }
    const int error = errno;
    close(fd);
    errno = error;
    if (got < 0) Fail("read", path);
    return all;
  }
};

}  // namespace

FileSystem& SystemFileSystem() {
  static SystemFileSystemImpl system;
  return system;
}

void WriteFileAtomically(FileSystem& files, const std::string& directory, const std::string& name,
                         std::string_view bytes) {
  const std::string path = directory + '/' + name, fresh = path + ".new";
  {
    const auto file = files.Create(fresh);
    file->Write(bytes);
    // Before the rename: a name that leads to bytes which are not on the disk yet is a torn file.
    file->Sync();
  }
  files.Rename(fresh, path);
  files.SyncDirectory(directory);
}

std::optional<DirectoryLock> DirectoryLock::TryAcquire(const std::string& path) {
  const int fd = open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600);
  if (fd < 0) Fail("open", path);
  if (flock(fd, LOCK_EX | LOCK_NB) != 0) {
    const int error = errno;
    close(fd);
    errno = error;
    if (error != EWOULDBLOCK) Fail("flock", path);
    return std::nullopt;
  }
  return DirectoryLock(fd);
}

DirectoryLock::DirectoryLock(DirectoryLock&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}

DirectoryLock::~DirectoryLock() {
  if (fd_ >= 0) close(fd_);
}

}  // namespace hingelink::state
