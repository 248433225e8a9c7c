// The file operations that the stores of durable state use. The interface has one function for each
// operation, so that tests can make each operation fail or simulate a power cut after it.
#ifndef HINGELINK_STATE_FILE_SYSTEM_H_
#define HINGELINK_STATE_FILE_SYSTEM_H_

#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>

namespace hingelink::state {

// Thrown for a failed file operation. The text holds the operation, the path and the text of errno.
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

// A file that is open for writing. The destructor closes it. All functions block and throw FileError.
class WritableFile {
 public:
  virtual ~WritableFile() = default;
  virtual void Write(std::string_view bytes) = 0;
  // Returns when all written bytes are durable.
  virtual void Sync() = 0;
};

// All functions block and throw FileError.
class FileSystem {
 public:
  virtual ~FileSystem() = default;
  // Creates the file, or truncates an existing one.
  [[nodiscard]] virtual std::unique_ptr<WritableFile> Create(const std::string& path) = 0;
  // Renames a file, and replaces an existing file at `to`.
  virtual void Rename(const std::string& from, const std::string& to) = 0;
  // Returns when the directory's entries (created and renamed files) are durable.
  virtual void SyncDirectory(const std::string& directory) = 0;
  // Returns the content, of which about 64 MiB are read at most, or nullopt if the file does not exist.
  [[nodiscard]] virtual std::optional<std::string> Read(const std::string& path) = 0;
};

// The file system of this machine. Thread-safe.
FileSystem& SystemFileSystem();

// Replaces the file `name` in `directory`. At any time, also after a power cut, the file holds either the old
// or the new bytes; when the function returns, the new bytes are durable. Throws FileError.
void WriteFileAtomically(FileSystem& files, const std::string& directory, const std::string& name,
                         std::string_view bytes);

// An advisory lock between processes. Released by the destructor, or when the process exits.
class DirectoryLock {
 public:
  // Locks the file at `path`, which is created if needed. Does not block: returns nullopt if another process
  // holds the lock. Throws FileError.
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
