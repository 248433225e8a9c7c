#include "background/learned_state_persister.h"

#include <prometheus/metric_family.h>
#include <prometheus/text_serializer.h>
#include <sys/stat.h>

#include <algorithm>
#include <cmath>
#include <optional>
#include <utility>

#include "log/log.h"

namespace hingelink::background {
namespace {

// A job that runs longer than this is logged as hung.
constexpr decide::JobTime kHungAfter{5'000};
// Expected cost of a run, used until a run has completed.
constexpr decide::JobTime kRecordCpu{0.2};
constexpr decide::JobTime kSnapshotCpu{0.5};
constexpr double kEntryBytes = 1'000;

std::chrono::milliseconds UnixNow() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now().time_since_epoch());
}

}  // namespace

// Reads and writes the store. During an upgrade several processes of one node run; only the process that
// holds the lock writes.
class LearnedStatePersister::Writer {
 public:
  Writer(state::FileSystem& files, const std::string& directory)
      : store_(files, directory), lock_path_(directory + "/learned.lock") {}

  state::LoadedLearned Load() {
    state::LoadedLearned loaded = store_.Load();
    if (loaded.entry) last_sequence_ = std::max(last_sequence_, loaded.entry->sequence);
    return loaded;
  }

  // Stores the entry with the next sequence number. Does nothing, without an error, while another process
  // holds the lock.
  JobResult Store(state::LearnedEntry& entry, EntryKind kind) {
    JobResult result;
    if (!AcquireLock()) return result;
    entry.sequence = ++last_sequence_;
    const bool writes_snapshot = kind == EntryKind::kSnapshot || store_.snapshot_due();
    const auto frame_kind =
        writes_snapshot ? state::LearnedFrameKind::kSnapshot : state::LearnedFrameKind::kLogRecord;
    result.bytes_written = static_cast<double>(state::EncodeLearned(entry, frame_kind).size());
    if (writes_snapshot) {
      store_.WriteSnapshot(entry);
    } else {
      store_.AppendRecord(entry);
    }
    return result;
  }

 private:
  bool AcquireLock() {
    if (lock_) return true;
    auto lock = state::DirectoryLock::TryAcquire(lock_path_);
    if (!lock) return false;
    lock_.emplace(std::move(*lock));
    // The previous holder may have written since the last load. The next sequence number must be greater than
    // the last number that it used.
    (void)Load();
    return true;
  }

  state::LearnedStore store_;
  std::string lock_path_;
  std::optional<state::DirectoryLock> lock_;
  std::uint64_t last_sequence_ = 0;
};

LearnedStatePersister::LearnedStatePersister(node::Node& node, state::FileSystem& files,
                                             const LearnedStatePersisterOptions& options)
    : node_(node), writer_(std::make_shared<Writer>(files, options.directory)) {
  ImportStored(options.directory);
  job_runner_ = std::make_unique<JobRunner>(
      node.base(), options.scheduling, MakeJobs(options),
      JobRunner::NodeConditions{.overloaded = [&node] { return node.HasQueuedRequests(); },
                                .draining = [&node] { return node.draining(); }});
  node.AddExtension(*this);
}

void LearnedStatePersister::ImportStored(const std::string& directory) {
  // An error is not handled here: the first job then fails and logs the reason.
  mkdir(directory.c_str(), 0700);
  try {
    const state::LoadedLearned loaded = writer_->Load();
    for (const std::string& warning : loaded.warnings) log::Warn("learned-skipped", {{"what", warning}});
    if (!loaded.entry) return;
    const decide::LearnedImport imported =
        decide::ImportLearnedRecord(loaded.entry->record, node_.name(), UnixNow(), node_.settings());
    for (const std::string& skipped : imported.skipped) log::Info("learned-skipped", {{"what", skipped}});
    log::Info("learned-imported", {{"classes", imported.learned.classes.size()},
                                   {"confidence_percent", std::lround(imported.confidence * 100)},
                                   {"records", loaded.log_records}});
    node_.ImportLearned(imported.learned);
  } catch (const std::exception& error) {
    log::Warn("learned-unreadable", {{"what", error.what()}});
  }
}

std::vector<Job> LearnedStatePersister::MakeJobs(const LearnedStatePersisterOptions& options) {
  Job record;
  record.spec = {.name = "record",
                 .priority = 2,
                 .period = options.record_interval,
                 .starvation_limit = options.record_interval,
                 .hung_after = kHungAfter,
                 .expected_cpu = kRecordCpu,
                 .expected_bytes = kEntryBytes};
  record.prepare = [this](bool) { return MakeStoreFunction(EntryKind::kRecord); };
  Job snapshot;
  snapshot.spec = {.name = "snapshot",
                   .priority = 1,
                   .period = options.snapshot_interval,
                   .starvation_limit = options.snapshot_interval,
                   .hung_after = kHungAfter,
                   .expected_cpu = kSnapshotCpu,
                   .expected_bytes = kEntryBytes,
                   .run_on_drain = true};
  snapshot.prepare = [this](bool) { return MakeStoreFunction(EntryKind::kSnapshot); };
  return {std::move(record), std::move(snapshot)};
}

JobFunction LearnedStatePersister::MakeStoreFunction(EntryKind kind) {
  state::LearnedEntry entry{
      0, decide::MakeLearnedRecord(node_.name(), UnixNow(), node_.settings(), node_.ExportLearned())};
  return [writer = writer_, entry = std::move(entry), kind](const std::atomic<bool>& cancelled) mutable {
    // Without any learned values nothing is written, so that the stored values are kept.
    if (entry.record.learned.classes.empty() || cancelled) return JobResult{};
    return writer->Store(entry, kind);
  };
}

std::string LearnedStatePersister::MetricsText() const {
  using prometheus::MetricType;
  std::vector<prometheus::MetricFamily> families;
  const std::vector<JobReport> jobs = JobReports();
  // Metric names and help texts are a stable interface.
  const auto by_job = [&](const char* name, MetricType type, const char* help, const auto& value) {
    prometheus::MetricFamily family{std::string("edge_node_background_") + name, help, type, {}};
    for (const JobReport& job : jobs) {
      prometheus::ClientMetric metric;
      metric.label = {{"job", job.name}};
      (type == MetricType::Counter ? metric.counter.value : metric.gauge.value) = value(job.stats);
      family.metric.push_back(std::move(metric));
    }
    families.push_back(std::move(family));
  };
  using JobStats = decide::JobStats;
  by_job("runs", MetricType::Counter, "Runs of a job beside the requests.",
         [](const JobStats& stats) { return static_cast<double>(stats.runs); });
  by_job("failures", MetricType::Counter, "Runs that did not do what they were for.",
         [](const JobStats& stats) { return static_cast<double>(stats.failures); });
  by_job("starved", MetricType::Counter, "Runs begun under pressure, as the job had waited long enough.",
         [](const JobStats& stats) { return static_cast<double>(stats.starvation_runs); });
  by_job("cpu_seconds", MetricType::Counter, "CPU time of a job.",
         [](const JobStats& stats) { return stats.total_cost.cpu.count() / 1000; });
  by_job("bytes", MetricType::Counter, "Bytes that a job wrote.",
         [](const JobStats& stats) { return stats.total_cost.bytes; });
  by_job("due_seconds", MetricType::Gauge, "How long a job has been due and waits.",
         [](const JobStats& stats) { return stats.overdue_by.count() / 1000; });
  return prometheus::TextSerializer().Serialize(families);
}

}  // namespace hingelink::background
