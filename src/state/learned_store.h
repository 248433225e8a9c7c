// Stores what the node has learned in a directory:
//
//   learned.state     the last snapshot
//   learned.state.1   the snapshot before it
//   learned.log       records since the last snapshot; truncated by the next one
//
// state/learned_codec.h describes the files. The valid entry of the highest sequence number is loaded.
#ifndef HINGELINK_STATE_LEARNED_STORE_H_
#define HINGELINK_STATE_LEARNED_STORE_H_

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "state/file_system.h"
#include "state/learned_codec.h"

namespace hingelink::state {

// Size of the log past which a snapshot is due.
inline constexpr std::size_t kMaxLogBytes = 256 << 10;

struct LoadedLearned {
  std::optional<LearnedEntry> entry;
  std::size_t log_records = 0;        // Valid ones in the log.
  std::size_t truncated_bytes = 0;    // Bytes of the log after them.
  std::vector<std::string> warnings;  // What was set aside or ignored and why, a line each.
};

// Blocks on files. Not thread-safe. `files` must outlive the object.
class LearnedStore {
 public:
  LearnedStore(FileSystem& files, std::string directory);

  // The newest valid entry. An invalid snapshot is renamed to NAME.damaged or NAME.newer. Never throws for
  // what the files hold; throws FileError where they cannot be read or renamed.
  [[nodiscard]] LoadedLearned Load();
  // Writes a snapshot and truncates the log. Durable once this returns. Throws FileError; the entries stored
  // before are then still there.
  void WriteSnapshot(const LearnedEntry& entry);
  // Appends a record to the log. Durable once this returns. Throws FileError, also before the first snapshot;
  // after an error a snapshot is due.
  void AppendRecord(const LearnedEntry& entry);
  // Whether the next entry must be a snapshot: there was none yet, the log is full, or it could not be
  // written.
  bool snapshot_due() const { return !log_ || log_bytes_ >= kMaxLogBytes; }

 private:
  std::string PathOf(const char* name) const { return directory_ + '/' + name; }
  std::optional<LearnedEntry> LoadSnapshot(const char* name, LoadedLearned& loaded);
  void LoadLog(std::string_view log, LoadedLearned& loaded) const;

  FileSystem& files_;
  std::string directory_;
  std::unique_ptr<WritableFile> log_;
  std::size_t log_bytes_ = 0;
};

}  // namespace hingelink::state

#endif  // HINGELINK_STATE_LEARNED_STORE_H_
