#include "background/learned_state_persister.h"

#include <prometheus/metric_family.h>
#include <prometheus/text_serializer.h>
#include <sys/stat.h>

#include <algorithm>
#include <cmath>
#include <utility>

#include "log/log.h"

namespace hingelink::background {
namespace {

std::chrono::milliseconds UnixNow() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now().time_since_epoch());
}

}  // namespace

LearnedStatePersister::LearnedStatePersister(node::Node& node, state::FileSystem& files,
                                             LearnedStatePersisterOptions options)
    : node_(node), writer_(std::make_shared<Writer>(files, options.directory)) {
  mkdir(options.directory.c_str(), 0700);  // Where that fails, the first job says why.
  try {
    const state::LoadedLearned found = writer_->store.Load();
    for (const std::string& note : found.warnings) log::Warn("learned-left-out", {{"what", note}});
    if (found.entry) {
      writer_->sequence = found.entry->sequence;
      const decide::LearnedImport imported =
          decide::ImportLearnedRecord(found.entry->record, node.name(), UnixNow(), node.settings());
      for (const std::string& what : imported.skipped) log::Info("learned-left-out", {{"what", what}});
      log::Info("learned-taken", {{"classes", imported.classes},
                                  {"faith_percent", std::lround(imported.confidence * 100)},
                                  {"records", found.log_records}});
      node.ImportLearned(imported.learned);
    }
  } catch (const std::exception& fault) {
    log::Warn("learned-unread", {{"what", fault.what()}});
  }
  std::vector<Job> jobs(2);
  jobs[0].spec = {.name = "record",
                  .priority = 2,
                  .period = options.record_interval,
                  .starvation_limit = options.record_interval,
                  .stuck_after = decide::JobTime(5'000),
                  .expected_cpu = decide::JobTime(0.2),
                  .expected_bytes = 1'000};
  jobs[0].prepare = [this](bool) { return Record(false); };
  jobs[1].spec = {.name = "snapshot",
                  .priority = 1,
                  .period = options.snapshot_interval,
                  .starvation_limit = options.snapshot_interval,
                  .stuck_after = decide::JobTime(5'000),
                  .expected_cpu = decide::JobTime(0.5),
                  .expected_bytes = 1'000,
                  .run_on_drain = true};
  jobs[1].prepare = [this](bool) { return Record(true); };
  job_runner_ = std::make_unique<JobRunner>(
      node.base(), options.budgets, std::move(jobs),
      JobRunner::NodeConditions{.under_pressure = [&node] { return node.HasQueuedRequests(); },
                                .draining = [&node] { return node.draining(); }});
  node.AddExtension(*this);
}

std::string LearnedStatePersister::MetricsText() const {
  using prometheus::MetricType;
  std::vector<prometheus::MetricFamily> families;
  const std::vector<JobReport> jobs = JobReports();
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
  using JobStats = decide::JobScheduler::JobStats;
  by_job("runs", MetricType::Counter, "Runs of a job beside the requests.",
         [](const JobStats& stats) { return static_cast<double>(stats.runs); });
  by_job("failures", MetricType::Counter, "Runs that did not do what they were for.",
         [](const JobStats& stats) { return static_cast<double>(stats.failures); });
  by_job("starved", MetricType::Counter, "Runs begun under pressure, as the job had waited long enough.",
         [](const JobStats& stats) { return static_cast<double>(stats.starvation_runs); });
  by_job("cpu_seconds", MetricType::Counter, "CPU time of a job.",
         [](const JobStats& stats) { return stats.cpu.count() / 1000; });
  by_job("bytes", MetricType::Counter, "Bytes that a job wrote.",
         [](const JobStats& stats) { return stats.bytes; });
  by_job("due_seconds", MetricType::Gauge, "How long a job has been due and waits.",
         [](const JobStats& stats) { return stats.overdue_by.count() / 1000; });
  return prometheus::TextSerializer().Serialize(families);
}

JobFunction LearnedStatePersister::Record(bool snapshot) {
  state::LearnedEntry entry{
      0, decide::MakeLearnedRecord(node_.name(), UnixNow(), node_.settings(), node_.ExportLearned())};
  return [writer = writer_, entry = std::move(entry), snapshot](const std::atomic<bool>& cancelled) mutable {
    JobResult result;
    // Nothing learned yet, or given up before it began: what is there stays.
    if (entry.record.learned.classes.empty() || cancelled) return result;
    if (!writer->lock) {
      auto lock = state::DirectoryLock::TryAcquire(writer->lock_path);
      if (!lock) return result;  // The other process of this node writes.
      writer->lock.emplace(std::move(*lock));
      // It may have written since this one read. Guards against an older entry that counts as the newest.
      if (const auto found = writer->store.Load(); found.entry) {
        writer->sequence = std::max(writer->sequence, found.entry->sequence);
      }
    }
    entry.sequence = ++writer->sequence;
    const bool whole = snapshot || writer->store.snapshot_due();
    result.bytes_written = static_cast<double>(state::EncodeLearned(entry, !whole).size());
    if (whole) {
      writer->store.Save(entry);
    } else {
      writer->store.Append(entry);
    }
    return result;
  };
}

}  // namespace hingelink::background
