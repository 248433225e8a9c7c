#include "background/keeper.h"

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

Keeper::Keeper(node::Node& node, state::Files& files, KeeperOptions options)
    : node_(node), writer_(std::make_shared<Writer>(files, options.folder)) {
  mkdir(options.folder.c_str(), 0700);  // Where that fails, the first job says why.
  try {
    const state::FoundLearned found = writer_->store.Load();
    for (const std::string& note : found.notes) log::Warn("learned-left-out", {{"what", note}});
    if (found.stored) {
      writer_->sequence = found.stored->sequence;
      const decide::Recalled recalled =
          decide::Recall(found.stored->remembered, node.name(), UnixNow(), node.settings());
      for (const std::string& what : recalled.left_out) log::Info("learned-left-out", {{"what", what}});
      log::Info("learned-taken", {{"classes", recalled.classes},
                                  {"faith_percent", std::lround(recalled.faith * 100)},
                                  {"records", found.records}});
      node.ImportLearned(recalled.learned);
    }
  } catch (const std::exception& fault) {
    log::Warn("learned-unread", {{"what", fault.what()}});
  }
  std::vector<Job> jobs(2);
  jobs[0].spec = {.name = "record",
                  .priority = 2,
                  .every = options.record_each,
                  .starves = options.record_each,
                  .stuck = decide::JobTime(5'000),
                  .cpu = decide::JobTime(0.2),
                  .bytes = 1'000};
  jobs[0].prepare = [this](bool) { return Record(false); };
  jobs[1].spec = {.name = "snapshot",
                  .priority = 1,
                  .every = options.snapshot_each,
                  .starves = options.snapshot_each,
                  .stuck = decide::JobTime(5'000),
                  .cpu = decide::JobTime(0.5),
                  .bytes = 1'000,
                  .last_chance = true};
  jobs[1].prepare = [this](bool) { return Record(true); };
  runner_ =
      std::make_unique<Runner>(node.base(), options.budgets, std::move(jobs),
                               Runner::Sees{.under_pressure = [&node] { return node.HasQueuedRequests(); },
                                            .leaving = [&node] { return node.draining(); }});
  node.AddExtension(*this);
}

std::string Keeper::MetricsText() const {
  using prometheus::MetricType;
  std::vector<prometheus::MetricFamily> families;
  const std::vector<JobLook> jobs = LookAt();
  const auto by_job = [&](const char* name, MetricType type, const char* help, const auto& value) {
    prometheus::MetricFamily family{std::string("edge_node_background_") + name, help, type, {}};
    for (const JobLook& job : jobs) {
      prometheus::ClientMetric metric;
      metric.label = {{"job", job.name}};
      (type == MetricType::Counter ? metric.counter.value : metric.gauge.value) = value(job.look);
      family.metric.push_back(std::move(metric));
    }
    families.push_back(std::move(family));
  };
  using Look = decide::Background::Look;
  by_job("runs", MetricType::Counter, "Runs of a job beside the requests.",
         [](const Look& look) { return static_cast<double>(look.runs); });
  by_job("failures", MetricType::Counter, "Runs that did not do what they were for.",
         [](const Look& look) { return static_cast<double>(look.failures); });
  by_job("starved", MetricType::Counter, "Runs begun under pressure, as the job had waited long enough.",
         [](const Look& look) { return static_cast<double>(look.starved); });
  by_job("cpu_seconds", MetricType::Counter, "CPU time of a job.",
         [](const Look& look) { return look.cpu.count() / 1000; });
  by_job("bytes", MetricType::Counter, "Bytes that a job wrote.",
         [](const Look& look) { return look.bytes; });
  by_job("due_seconds", MetricType::Gauge, "How long a job has been due and waits.",
         [](const Look& look) { return look.due_for.count() / 1000; });
  return prometheus::TextSerializer().Serialize(families);
}

Work Keeper::Record(bool snapshot) {
  state::Stored stored{0, decide::Remember(node_.name(), UnixNow(), node_.settings(), node_.ExportLearned())};
  return
      [writer = writer_, stored = std::move(stored), snapshot](const std::atomic<bool>& cancelled) mutable {
        Took took;
        // Nothing learned yet, or given up before it began: what is there stays.
        if (stored.remembered.learned.classes.empty() || cancelled) return took;
        if (!writer->lock) {
          auto lock = state::FolderLock::Take(writer->lock_path);
          if (!lock) return took;  // The other process of this node writes.
          writer->lock.emplace(std::move(*lock));
          // It may have written since this one read. Guards against an older entry that counts as the newest.
          if (const auto found = writer->store.Load(); found.stored) {
            writer->sequence = std::max(writer->sequence, found.stored->sequence);
          }
        }
        stored.sequence = ++writer->sequence;
        const bool whole = snapshot || writer->store.wants_snapshot();
        took.bytes = static_cast<double>(state::EncodeLearned(stored, !whole).size());
        if (whole) {
          writer->store.Save(stored);
        } else {
          writer->store.Append(stored);
        }
        return took;
      };
}

}  // namespace hingelink::background
