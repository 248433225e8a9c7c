// Stores the values that a node learns, and imports them when the node starts again.
#ifndef HINGELINK_BACKGROUND_LEARNED_STATE_PERSISTER_H_
#define HINGELINK_BACKGROUND_LEARNED_STATE_PERSISTER_H_

#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include "background/job_runner.h"
#include "node/node.h"
#include "state/learned_store.h"

namespace hingelink::background {

struct LearnedStatePersisterOptions {
  // The directory of the store. Created if it does not exist.
  std::string directory;
  // Interval between log records. A crash loses at most the values learned since the last record.
  std::chrono::milliseconds record_interval{5'000};
  std::chrono::milliseconds snapshot_interval{300'000};
  decide::JobSchedulerOptions scheduling{};
};

// All calls on the thread of the node's event loop.
class LearnedStatePersister : public node::NodeExtension {
 public:
  // Imports the stored values into the node, which must not run yet. Invalid files or an unreadable directory
  // do not throw: the error is logged, and the node starts without learned values. `node` and `files` must
  // outlive the object.
  LearnedStatePersister(node::Node& node, state::FileSystem& files,
                        const LearnedStatePersisterOptions& options);
  ~LearnedStatePersister() override { node_.RemoveExtension(*this); }

  // Writes the final snapshot. Blocks for at most 1 s. To be called after Node::Run() returned.
  void Finish() { job_runner_->Finish(std::chrono::seconds(1)); }

  [[nodiscard]] std::vector<JobReport> JobReports() const { return job_runner_->JobReports(); }
  // Returns the metrics of each job in the Prometheus text format.
  std::string MetricsText() const override;

 private:
  class Writer;
  enum class EntryKind { kRecord, kSnapshot };

  void ImportStored(const std::string& directory);
  std::vector<Job> MakeJobs(const LearnedStatePersisterOptions& options);
  // Returns a job function that stores the values that the node has learned so far.
  JobFunction MakeStoreFunction(EntryKind kind);

  node::Node& node_;
  // The helper thread uses it while a job runs. It outlives this object if a job hangs.
  std::shared_ptr<Writer> writer_;
  std::unique_ptr<JobRunner> job_runner_;
};

}  // namespace hingelink::background

#endif  // HINGELINK_BACKGROUND_LEARNED_STATE_PERSISTER_H_
