// An in-memory file system that records its operations. From the recording it rebuilds each state that a
// power cut could leave: after any operation, with any subset of the directory changes since the last sync of
// the directory, and with none, half or all of the unsynced bytes.
#ifndef HINGELINK_TESTS_STATE_RECORDING_DISK_H_
#define HINGELINK_TESTS_STATE_RECORDING_DISK_H_

#include <cerrno>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "state/file_system.h"

namespace hingelink::state {

class RecordingDisk : public FileSystem {
 public:
  int fail_at = 0;  // The number of the operation that fails, counted from 1; 0 for none.
  int calls = 0;    // Operations so far.

  RecordingDisk() = default;
  explicit RecordingDisk(const std::map<std::string, std::string>& files) {
    for (const auto& [path, bytes] : files) {
      names_[path] = static_cast<int>(bytes_.size());
      bytes_.push_back(bytes);
    }
    first_names_ = names_;
    first_bytes_ = bytes_;
  }

  std::unique_ptr<WritableFile> Create(const std::string& path) override {
    Call("open", path);
    // An existing file is truncated and keeps its inode.
    if (const auto it = names_.find(path); it != names_.end()) {
      operations_.push_back({.kind = Kind::kTruncate, .inode = it->second});
      bytes_[static_cast<std::size_t>(it->second)].clear();
      return std::make_unique<File>(*this, it->second);
    }
    const int inode = static_cast<int>(bytes_.size());
    bytes_.emplace_back();
    names_[path] = inode;
    operations_.push_back({.kind = Kind::kName, .inode = inode, .to = path});
    return std::make_unique<File>(*this, inode);
  }
  void Rename(const std::string& from, const std::string& to) override {
    Call("rename", from);
    operations_.push_back({.kind = Kind::kRename, .from = from, .to = to});
    names_[to] = names_.at(from);
    names_.erase(from);
  }
  void SyncDirectory(const std::string& directory) override {
    Call("fsync", directory);
    operations_.push_back({.kind = Kind::kSyncNames});
  }
  std::optional<std::string> Read(const std::string& path) override {
    const auto it = names_.find(path);
    if (it == names_.end()) return std::nullopt;
    return bytes_[static_cast<std::size_t>(it->second)];
  }
  bool Has(const std::string& path) const { return names_.count(path) != 0; }
  std::size_t recorded() const { return operations_.size(); }

  // Visits each state that a power cut after the first `count` recorded operations could leave.
  void EachCut(std::size_t count,
               const std::function<void(const std::map<std::string, std::string>&)>& visit) const {
    std::size_t names_synced = 0;
    for (std::size_t i = 0; i < count; ++i) {
      if (operations_[i].kind == Kind::kSyncNames) names_synced = i;
    }
    std::vector<std::size_t> unsynced_changes;
    for (std::size_t i = names_synced; i < count; ++i) {
      if (operations_[i].kind == Kind::kName || operations_[i].kind == Kind::kRename)
        unsynced_changes.push_back(i);
    }
    for (std::size_t subset = 0; subset < (std::size_t{1} << unsynced_changes.size()); ++subset) {
      for (const UnsyncedPart part : {UnsyncedPart::kNone, UnsyncedPart::kHalf, UnsyncedPart::kAll})
        visit(Rebuild(count, names_synced, subset, part));
    }
  }

 private:
  // The part of the unsynced bytes that survives a power cut.
  enum class UnsyncedPart { kNone, kHalf, kAll };
  enum class Kind { kName, kRename, kWrite, kTruncate, kSync, kSyncNames };
  struct Operation {
    Kind kind = Kind::kName;
    int inode = 0;
    std::string from{};
    std::string to{};
    std::string bytes{};
  };
  class File : public WritableFile {
   public:
    File(RecordingDisk& disk, int inode) : disk_(disk), inode_(inode) {}
    void Write(std::string_view bytes) override {
      disk_.Call("write");
      disk_.bytes_[static_cast<std::size_t>(inode_)].append(bytes);
      disk_.operations_.push_back({.kind = Kind::kWrite, .inode = inode_, .bytes = std::string(bytes)});
    }
    void Sync() override {
      disk_.Call("fsync");
      disk_.operations_.push_back({.kind = Kind::kSync, .inode = inode_});
    }

   private:
    RecordingDisk& disk_;
    int inode_;
  };

  void Call(const char* operation, const std::string& path = "file") {
    if (++calls == fail_at) throw FileError(operation, path, ENOSPC);
  }

  std::map<std::string, std::string> Rebuild(std::size_t count, std::size_t names_synced, std::size_t subset,
                                             UnsyncedPart part) const {
    const std::vector<std::string> bytes = RebuildBytes(count, part);
    std::map<std::string, std::string> files;
    for (const auto& [path, inode] : RebuildNames(count, names_synced, subset)) {
      files[path] = bytes[static_cast<std::size_t>(inode)];
    }
    return files;
  }

  // `subset`: one bit for each directory change since operation `names_synced`, set if the change became
  // durable.
  std::map<std::string, int> RebuildNames(std::size_t count, std::size_t names_synced,
                                          std::size_t subset) const {
    std::map<std::string, int> names = first_names_;
    std::size_t next_change = 0;
    for (std::size_t i = 0; i < count; ++i) {
      const Operation& operation = operations_[i];
      if (operation.kind != Kind::kName && operation.kind != Kind::kRename) continue;
      if (i >= names_synced && (subset >> next_change++ & 1) == 0) continue;
      if (operation.kind == Kind::kName) {
        names[operation.to] = operation.inode;
      } else if (const auto it = names.find(operation.from); it != names.end()) {
        names[operation.to] = it->second;
        names.erase(operation.from);
      }
    }
    return names;
  }

  // Returns the contents by inode.
  std::vector<std::string> RebuildBytes(std::size_t count, UnsyncedPart part) const {
    std::vector<std::string> bytes = first_bytes_;
    bytes.resize(bytes_.size());
    // Changes since the last sync of each inode. A truncation is also lost without a sync.
    std::map<int, std::string> unsynced;
    std::map<int, bool> truncated;
    for (std::size_t i = 0; i < count; ++i) {
      const Operation& operation = operations_[i];
      if (operation.kind == Kind::kTruncate) {
        truncated[operation.inode] = true;
        unsynced[operation.inode].clear();
      } else if (operation.kind == Kind::kWrite) {
        unsynced[operation.inode] += operation.bytes;
      } else if (operation.kind == Kind::kSync) {
        std::string& content = bytes[static_cast<std::size_t>(operation.inode)];
        if (std::exchange(truncated[operation.inode], false)) content.clear();
        content += std::exchange(unsynced[operation.inode], {});
      }
    }
    if (part == UnsyncedPart::kNone) return bytes;
    for (const auto& [inode, unsynced_bytes] : unsynced) {
      std::string& content = bytes[static_cast<std::size_t>(inode)];
      if (truncated[inode]) content.clear();
      content += unsynced_bytes.substr(
          0, part == UnsyncedPart::kHalf ? unsynced_bytes.size() / 2 : unsynced_bytes.size());
    }
    return bytes;
  }

  // Inodes by path, now and before the first operation.
  std::map<std::string, int> names_;
  std::map<std::string, int> first_names_;
  // Contents by inode, now and before the first operation.
  std::vector<std::string> bytes_;
  std::vector<std::string> first_bytes_;
  std::vector<Operation> operations_;
};

}  // namespace hingelink::state

#endif  // HINGELINK_TESTS_STATE_RECORDING_DISK_H_
