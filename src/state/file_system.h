// The file operations that durable state rests on, one by one, so that a test can make each of them fail or
// cut the power after it.
#ifndef HINGELINK_STATE_FILE_SYSTEM_H_
#define HINGELINK_STATE_FILE_SYSTEM_H_

#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>

namespace hingelink::state {

// A file operation that failed. The text holds the operation, the path and the system's reason.
class FileError : public std::runtime_error {
 public:
  // `operation` is the name of the system call; `error_number` its errno.
  FileError(std::string operation, std::string path, int error_number);

  const std::string& operation() const { return operation_; }
  const std::string& path() const { return path_; }
  int error_number() const { return error_number_; }

 private:
  std::string operation_;
  std::string path_;
  int error_number_;
};

// A file open for writing; closed by its destructor. All functions throw FileError.
class WritableFile {
 public:
  virtual ~WritableFile() = default;
  virtual void Write(std::string_view bytes) = 0;
  // Returns once everything written is durable.
  virtual void Sync() = 0;
};

// All functions block and throw FileError.
class FileSystem {
 public:
  virtual ~FileSystem() = default;
  // Truncates an existing file.
  [[nodiscard]] virtual std::unique_ptr<WritableFile> Create(const std::string& path) = 0;
  // Replaces an existing file at `to`.
  virtual void Rename(const std::string& from, const std::string& to) = 0;
  // Returns once the names in the directory are durable.
  virtual void SyncDirectory(const std::string& directory) = 0;
  // Empty where there is no such file. At most 64 MiB are read.
  [[nodiscard]] virtual std::optional<std::string> Read(const std::string& path) = 0;
};

// The file system of this machine. Thread-safe.
FileSystem& SystemFileSystem();

// Replaces the file NAME in `directory`. It holds the old bytes or the new ones at any time, and durably the
// new ones once this returns. Throws FileError.
void WriteFileAtomically(FileSystem& files, const std::string& directory, const std::string& name,
                         std::string_view bytes);

// An advisory lock between processes, released when its holder exits.
class DirectoryLock {
 public:
  // Takes the lock file at `path`, which is created if needed. Empty where another process holds it. Throws
  // FileError.
  [[nodiscard]] static std::optional<DirectoryLock> TryAcquire(const std::string& path);
  DirectoryLock(DirectoryLock&& other) noexcept;
  DirectoryLock& operator=(DirectoryLock&&) = delete;
  ~DirectoryLock();

 private:
  explicit DirectoryLock(int fd) : fd_(fd) {}
  int fd_;
};

}  // namespace hingelink::state

#endif  // HINGELINK_STATE_FILE_SYSTEM_H_
