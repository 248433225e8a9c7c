// Stores the values that a node has learned in a directory:
//
//   learned.state     the last snapshot
//   learned.state.1   the snapshot before it
//   learned.log       records since the last snapshot; truncated by the next one
//
// state/learned_codec.h describes the file format. Load() returns the valid entry with the highest sequence
// number.
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

// When the log has reached this size, the next entry must be a snapshot.
inline constexpr std::size_t kMaxLogBytes = 256 << 10;

struct LoadedLearned {
  std::optional<LearnedEntry> entry;
  std::size_t log_records = 0;        // Valid records in the log.
  std::size_t truncated_bytes = 0;    // Bytes of the log after the last valid record.
  std::vector<std::string> warnings;  // One line, with the reason, for each file renamed or partly ignored.
};

// Blocks on files. Not thread-safe. `files` must outlive the object.
class LearnedStore {
 public:
  LearnedStore(FileSystem& files, std::string directory);

  // Returns the newest valid entry. An invalid snapshot is renamed to NAME.damaged or, if a newer version of
  // the program wrote it, to NAME.newer. Invalid content never throws; throws FileError if a file cannot be
  // read or renamed.
  [[nodiscard]] LoadedLearned Load();
  // Writes a snapshot and truncates the log. The entry is durable when the function returns. Throws
  // FileError; earlier entries are then still stored.
  void WriteSnapshot(const LearnedEntry& entry);
  // Appends a record to the log. The entry is durable when the function returns. Throws FileError, also if no
  // snapshot has been written yet. After an error the next entry must be a snapshot.
  void AppendRecord(const LearnedEntry& entry);
  // Whether the next entry must be a snapshot: this object has not written one yet, the log is full, or
  // writing to the log failed.
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
