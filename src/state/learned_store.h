// What the node has learned, on the disk, in a folder that lasts:
//
//   learned.state     the last snapshot
//   learned.state.1   the one before it
//   learned.log       what was learned since, a record each; begins anew with each snapshot
//
// Snapshot and record are both one frame, numbers little-endian:
//
//   magic 8 | version u32 | length u32 | check u64 | payload of `length` bytes
//
// `check` is XXH3 (64 bits) over version, length and payload; the payload is CBOR (RFC 8949) of
//
//   {"sequence":17,"site":"shire-1","at_ms":1796153535000,"cores":4,
//    "told":[{"name":"usage-view","aim_ms":500.0,"deadline_ms":1200.0}],
//    "classes":[{"name":"usage-view","run_ms":31.5,"cost_ms":31.5,"hint_ms":30.0,"samples":812}]}
//
// The newest by `sequence` of all that is whole counts. XXH3 rather than CRC32C: a file of some hundred bytes
// is read once a start, so speed is nothing, and 64 bits let a disk's whole-block faults pass far more
// seldom; the program links it already.
#ifndef HINGELINK_STATE_LEARNED_STORE_H_
#define HINGELINK_STATE_LEARNED_STORE_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "decide/learned/learned_state_import.h"
#include "state/file_system.h"

namespace hingelink::state {

inline constexpr std::uint32_t kLearnedFormatVersion = 1;
// Of a payload, and of the log: past it a snapshot is due.
inline constexpr std::size_t kMaxLearnedPayloadBytes = 1 << 20, kMaxLogBytes = 256 << 10;

struct LearnedEntry {
  std::uint64_t sequence = 0;
  decide::LearnedRecord record;
};

// One frame. Throws std::length_error where it would be larger than kMostLearned.
std::string EncodeLearned(const LearnedEntry& entry, bool record);

struct DecodedLearned {
  enum class Status {
    kValid,
    kTruncated,           // Ends too early, as a write that the power cut.
    kCorrupt,             // Not what was written, or of another kind.
    kUnsupportedVersion,  // Of a version that this program does not know.
  };
  Status status = Status::kCorrupt;
  LearnedEntry entry;
  std::size_t bytes = 0;  // Of the frame.
  std::string detail;
};
// The frame at the start of `bytes`.
DecodedLearned DecodeLearned(std::string_view bytes, bool record);

// A payload alone, without head and check.
DecodedLearned DecodePayload(std::string_view payload);

struct LoadedLearned {
  std::optional<LearnedEntry> entry;
  std::size_t log_records = 0;        // Whole ones in the log.
  std::size_t truncated_bytes = 0;    // Bytes behind them.
  std::vector<std::string> warnings;  // What was set aside or passed over, and why; a line each.
};

class LearnedStore {
 public:
  LearnedStore(FileSystem& files, std::string directory);

  // The newest that is whole. Files that are not are set aside as NAME.damaged or NAME.newer. Never throws
  // for what stands in them; FileError where they cannot be read.
  LoadedLearned Load();
  // A snapshot: lasts once this returns, and the log begins anew. Throws FileError; what was there before is
  // then still there.
  void Save(const LearnedEntry& entry);
  // A record behind the snapshot: lasts once this returns. Throws FileError.
  void Append(const LearnedEntry& entry);
  // The log has reached its bound, or cannot be written behind: a snapshot is due.
  bool snapshot_due() const { return !log_ || log_bytes_ >= kMaxLogBytes; }

 private:
  std::string Path(const char* name) const { return directory_ + '/' + name; }
  std::optional<LearnedEntry> LoadSnapshot(const char* name, LoadedLearned& found);

  FileSystem& files_;
  std::string directory_;
  std::unique_ptr<WritableFile> log_;  // Since the snapshot of this process.
  std::size_t log_bytes_ = 0;
};

}  // namespace hingelink::state

#endif  // HINGELINK_STATE_LEARNED_STORE_H_
