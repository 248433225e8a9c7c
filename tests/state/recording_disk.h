// A disk in memory that records what is done to it, and rebuilds every state in which a power cut could leave
// it: behind each call, with each subset of the name changes since the folder's last sync, and with none,
// half or all of the bytes that no sync has followed.
#ifndef HINGELINK_TESTS_STATE_RECORDING_DISK_H_
#define HINGELINK_TESTS_STATE_RECORDING_DISK_H_

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
  int fail_at = 0;  // This call fails, from 1 on.
  int calls = 0;

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
    Call("open " + path);
    // A file that is there is emptied and keeps its place.
    if (const auto it = names_.find(path); it != names_.end()) {
      ops_.push_back({.kind = Op::kTruncate, .inode = it->second});
      bytes_[static_cast<std::size_t>(it->second)].clear();
      return std::make_unique<File>(*this, it->second);
    }
    const int inode = static_cast<int>(bytes_.size());
    bytes_.emplace_back();
    names_[path] = inode;
    ops_.push_back({.kind = Op::kName, .inode = inode, .to = path});
    return std::make_unique<File>(*this, inode);
  }
  void Rename(const std::string& from, const std::string& to) override {
    Call("rename " + from);
    ops_.push_back({.kind = Op::kRename, .from = from, .to = to});
    names_[to] = names_.at(from);
    names_.erase(from);
  }
  void SyncDirectory(const std::string& directory) override {
    Call("fsync " + directory);
    ops_.push_back({.kind = Op::kSyncNames});
  }
  std::optional<std::string> Read(const std::string& path) override {
    const auto it = names_.find(path);
    if (it == names_.end()) return std::nullopt;
    return bytes_[static_cast<std::size_t>(it->second)];
  }
  bool Has(const std::string& path) const { return names_.count(path) != 0; }
  std::size_t recorded() const { return ops_.size(); }

  // `see` gets each state that a cut behind the first `count` recorded calls could leave.
  void EachCut(std::size_t count,
               const std::function<void(const std::map<std::string, std::string>&)>& see) const {
    std::size_t names_synced = 0;
    for (std::size_t i = 0; i < count; ++i) {
      if (ops_[i].kind == Op::kSyncNames) names_synced = i;
    }
    std::vector<std::size_t> open_names;
    for (std::size_t i = names_synced; i < count; ++i) {
      if (ops_[i].kind == Op::kName || ops_[i].kind == Op::kRename) open_names.push_back(i);
    }
    for (std::size_t subset = 0; subset < (std::size_t{1} << open_names.size()); ++subset) {
      for (int part = 0; part <= 2; ++part) see(Rebuild(count, names_synced, subset, part));
    }
  }

 private:
  struct Op {
    enum Kind { kName, kRename, kWrite, kTruncate, kSync, kSyncNames };
    Kind kind = kName;
    int inode = 0;
    std::string from{}, to{}, bytes{};
  };
  class File : public WritableFile {
   public:
    File(RecordingDisk& disk, int inode) : disk_(disk), inode_(inode) {}
    void Write(std::string_view bytes) override {
      disk_.Call("write");
      disk_.bytes_[static_cast<std::size_t>(inode_)].append(bytes);
      disk_.ops_.push_back({.kind = Op::kWrite, .inode = inode_, .bytes = std::string(bytes)});
    }
    void Sync() override {
      disk_.Call("fsync");
      disk_.ops_.push_back({.kind = Op::kSync, .inode = inode_});
    }

   private:
    RecordingDisk& disk_;
    int inode_;
  };

  void Call(const std::string& status) {
    if (++calls == fail_at) throw FileError(status + ": No space left on device");
  }

  std::map<std::string, std::string> Rebuild(std::size_t count, std::size_t names_synced, std::size_t subset,
                                             int part) const {
    std::map<std::string, int> names = first_names_;
    std::size_t next = 0;
    for (std::size_t i = 0; i < count; ++i) {
      const Op& op = ops_[i];
      if (op.kind != Op::kName && op.kind != Op::kRename) continue;
      if (i >= names_synced && (subset >> next++ & 1) == 0) continue;
      if (op.kind == Op::kName) {
        names[op.to] = op.inode;
      } else if (const auto it = names.find(op.from); it != names.end()) {
        names[op.to] = it->second;
        names.erase(op.from);
      }
    }
    std::vector<std::string> bytes = first_bytes_;
    bytes.resize(bytes_.size());
    std::map<int, std::string>
        pending;  // Behind the last sync of each; a truncation that no sync followed too.
    std::map<int, bool> emptied;
    for (std::size_t i = 0; i < count; ++i) {
      const Op& op = ops_[i];
      if (op.kind == Op::kTruncate) {
        emptied[op.inode] = true;
        pending[op.inode].clear();
      } else if (op.kind == Op::kWrite) {
        pending[op.inode] += op.bytes;
      } else if (op.kind == Op::kSync) {
        std::string& all = bytes[static_cast<std::size_t>(op.inode)];
        if (std::exchange(emptied[op.inode], false)) all.clear();
        all += std::exchange(pending[op.inode], {});
      }
    }
    for (const auto& [inode, more] : pending) {
      if (part == 0) continue;  // Nothing of it, the emptying neither.
      std::string& all = bytes[static_cast<std::size_t>(inode)];
      if (emptied[inode]) all.clear();
      all += more.substr(0, part == 1 ? more.size() / 2 : more.size());
    }
    std::map<std::string, std::string> files;
    for (const auto& [path, inode] : names) files[path] = bytes[static_cast<std::size_t>(inode)];
    return files;
  }

  std::map<std::string, int> names_, first_names_;
  std::vector<std::string> bytes_, first_bytes_;  // By inode.
  std::vector<Op> ops_;
};

}  // namespace hingelink::state

#endif  // HINGELINK_TESTS_STATE_RECORDING_DISK_H_
