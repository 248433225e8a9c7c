// Persists what a node learns, and imports it into the next incarnation.
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
  // Created where it does not exist.
  std::string directory;
  // Bounds what a crash loses.
  std::chrono::milliseconds record_interval{5'000};
  std::chrono::milliseconds snapshot_interval{300'000};
  decide::JobSchedulerOptions scheduling{};
};

// All functions are to be called on the node's thread.
class LearnedStatePersister : public node::NodeExtension {
 public:
  // Imports what is stored into the node, which must not run yet. Never throws for what the files hold nor
  // for an unreadable directory: that is logged, and the node starts without learned state. `node` and
  // `files` must outlive the object.
  LearnedStatePersister(node::Node& node, state::FileSystem& files,
                        const LearnedStatePersisterOptions& options);
  ~LearnedStatePersister() override { node_.RemoveExtension(*this); }

  // Writes the final snapshot. To be called after the node's Run() returned. Blocks for at most a second.
  void Finish() { job_runner_->Finish(std::chrono::seconds(1)); }

  [[nodiscard]] std::vector<JobReport> JobReports() const { return job_runner_->JobReports(); }
  // The metrics of each job, in the Prometheus text format.
  std::string MetricsText() const override;

 private:
  class Writer;
  enum class EntryKind { kRecord, kSnapshot };

  void ImportStored(const std::string& directory);
  std::vector<Job> MakeJobs(const LearnedStatePersisterOptions& options);
  // The job that stores what the node has learned by now.
  JobFunction StoreLearned(EntryKind kind);

  node::Node& node_;
  // Used by the helper thread once jobs run; outlives this object where a job hangs.
  std::shared_ptr<Writer> writer_;
  std::unique_ptr<JobRunner> job_runner_;
};

}  // namespace hingelink::background

#endif  // HINGELINK_BACKGROUND_LEARNED_STATE_PERSISTER_H_
