#include "state/learned_store.h"

#include <cerrno>
#include <utility>

namespace hingelink::state {
namespace {

using Status = DecodedLearned::Status;

constexpr char kSnapshotName[] = "learned.state";
constexpr char kPreviousSnapshotName[] = "learned.state.1";
constexpr char kLogName[] = "learned.log";

bool IsNewer(const LearnedEntry& entry, const std::optional<LearnedEntry>& other) {
  return !other || entry.sequence > other->sequence;
}

}  // namespace

LearnedStore::LearnedStore(FileSystem& files, std::string directory)
    : files_(files), directory_(std::move(directory)) {}

std::optional<LearnedEntry> LearnedStore::LoadSnapshot(const char* name, LoadedLearned& loaded) {
  const auto bytes = files_.Read(PathOf(name));
  if (!bytes) return std::nullopt;
  DecodedLearned decoded = DecodeLearned(*bytes, LearnedFrameKind::kSnapshot);
  if (decoded.status == Status::kValid && decoded.bytes != bytes->size()) {
    decoded.status = Status::kCorrupt;
    decoded.detail = "unexpected bytes after the frame";
  }
  if (decoded.status == Status::kValid) return std::move(decoded.entry);
  const char* suffix = decoded.status == Status::kUnsupportedVersion ? ".newer" : ".damaged";
  loaded.warnings.push_back(std::string(name) + ": " + decoded.detail + "; renamed to " + name + suffix);
  files_.Rename(PathOf(name), PathOf(name) + suffix);
  return std::nullopt;
}

LoadedLearned LearnedStore::Load() {
  LoadedLearned loaded;
  for (const char* name : {kSnapshotName, kPreviousSnapshotName}) {
    std::optional<LearnedEntry> snapshot = LoadSnapshot(name, loaded);
    if (snapshot && IsNewer(*snapshot, loaded.entry)) loaded.entry = std::move(snapshot);
  }
  if (const auto log = files_.Read(PathOf(kLogName))) LoadLog(*log, loaded);
  return loaded;
}

void LearnedStore::LoadLog(std::string_view log, LoadedLearned& loaded) const {
  while (!log.empty()) {
    DecodedLearned decoded = DecodeLearned(log, LearnedFrameKind::kLogRecord);
    if (decoded.status != Status::kValid) {
      loaded.truncated_bytes = log.size();
      loaded.warnings.push_back(std::string(kLogName) + ": " + std::to_string(log.size()) +
                                " bytes after record " + std::to_string(loaded.log_records) +
                                " are ignored: " + decoded.detail);
      return;
    }
    ++loaded.log_records;
    log.remove_prefix(decoded.bytes);
    // If the truncation of the log was interrupted, the log is older than the snapshot.
    if (IsNewer(decoded.entry, loaded.entry)) loaded.entry = std::move(decoded.entry);
  }
}

void LearnedStore::WriteSnapshot(const LearnedEntry& entry) {
  const std::string bytes = EncodeLearned(entry, LearnedFrameKind::kSnapshot);
  const std::string temporary_path = PathOf(kSnapshotName) + ".new";
  {
    const auto file = files_.Create(temporary_path);
    file->Write(bytes);
    file->Sync();
  }
  // After a power cut, each of the two names refers to a complete file, whichever of the renames became
  // durable.
  if (files_.Read(PathOf(kSnapshotName))) files_.Rename(PathOf(kSnapshotName), PathOf(kPreviousSnapshotName));
  files_.Rename(temporary_path, PathOf(kSnapshotName));
  files_.SyncDirectory(directory_);
  // The log is truncated after the sync, because the snapshot that replaces its records is durable only then.
  log_.reset();
  log_bytes_ = 0;
  auto log = files_.Create(PathOf(kLogName));
  // The directory entry of the log must be durable before a record in the log counts as durable.
  files_.SyncDirectory(directory_);
  log_ = std::move(log);
}

void LearnedStore::AppendRecord(const LearnedEntry& entry) {
  if (!log_) throw FileError("append", PathOf(kLogName), EBADF);
  const std::string bytes = EncodeLearned(entry, LearnedFrameKind::kLogRecord);
  try {
    log_->Write(bytes);
    log_->Sync();
  } catch (const FileError&) {
    // The log may now end with an incomplete record. Load() would ignore any record after it.
    log_.reset();
    throw;
  }
  log_bytes_ += bytes.size();
}

}  // namespace hingelink::state
