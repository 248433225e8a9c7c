// The calls on files that state rests on, one by one, so that a test can let each of them fail or cut the
// power behind it.
#ifndef HINGELINK_STATE_FILE_SYSTEM_H_
#define HINGELINK_STATE_FILE_SYSTEM_H_

#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>

namespace hingelink::state {

// A call that failed. The text names the call, the path and the system's reason.
class FileError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// A file that is being written.
class WritableFile {
 public:
  virtual ~WritableFile() = default;
  virtual void Write(std::string_view bytes) = 0;
  virtual void Sync() = 0;
};

class FileSystem {
 public:
  virtual ~FileSystem() = default;
  // Empties what is there.
  virtual std::unique_ptr<WritableFile> Create(const std::string& path) = 0;
  virtual void Rename(const std::string& from, const std::string& to) = 0;
  virtual void SyncDirectory(const std::string& directory) = 0;
  // Nothing where there is no such file.
  virtual std::optional<std::string> Read(const std::string& path) = 0;
};

// The machine's own.
FileSystem& SystemFileSystem();

// The file has the old bytes or the new ones, whatever happens, and the new ones once this returns. Throws
// FileError.
void WriteFileAtomically(FileSystem& files, const std::string& directory, const std::string& name,
                         std::string_view bytes);

// A lock that ends with the process that holds it. Nothing where another process holds it.
class DirectoryLock {
 public:
  static std::optional<DirectoryLock> TryAcquire(const std::string& path);
  DirectoryLock(DirectoryLock&& other) noexcept;
  DirectoryLock& operator=(DirectoryLock&&) = delete;
  ~DirectoryLock();

 private:
  explicit DirectoryLock(int fd) : fd_(fd) {}
  int fd_;
};

}  // namespace hingelink::state

#endif  // HINGELINK_STATE_FILE_SYSTEM_H_
