// Keeps what a node learns in a folder that lasts, and gives it to the next life.
#ifndef HINGELINK_BACKGROUND_LEARNED_STATE_PERSISTER_H_
#define HINGELINK_BACKGROUND_LEARNED_STATE_PERSISTER_H_

#include <chrono>
#include <memory>
#include <optional>
#include <string>

#include "background/job_runner.h"
#include "node/node.h"
#include "state/learned_store.h"

namespace hingelink::background {

struct LearnedStatePersisterOptions {
  std::string directory;
  // At most so much learning is lost at a kill; and a snapshot is written at least so often.
  std::chrono::milliseconds record_interval{5'000}, snapshot_interval{300'000};
  decide::JobSchedulerOptions budgets{};
};

class LearnedStatePersister : public node::NodeExtension {
 public:
  // Reads what there is and has the node begin with what counts of it. Never throws for what stands there,
  // nor for a folder that cannot be read: it is logged, and the node learns anew. The node must not run yet.
  LearnedStatePersister(node::Node& node, state::FileSystem& files, LearnedStatePersisterOptions options);
  ~LearnedStatePersister() override { node_.RemoveExtension(*this); }
  // To be called behind the node's Run(): the last snapshot.
  void Finish() { job_runner_->Finish(std::chrono::seconds(1)); }

  std::vector<JobReport> JobReports() const { return job_runner_->JobReports(); }
  // Of each job, in the Prometheus text format: runs, failures, CPU, bytes, and how long it is due.
  std::string MetricsText() const override;

 private:
  // The store is used by the helper thread alone, and may outlive this where a call hangs.
  struct Writer {
    Writer(state::FileSystem& files, const std::string& directory)
        : store(files, directory), lock_path(directory + "/learned.lock") {}
    state::LearnedStore store;
    std::string lock_path;
    std::optional<state::DirectoryLock> lock;  // Of two processes at an upgrade one writes.
    std::uint64_t sequence = 0;                // Of the last entry that is known here.
  };

  JobFunction Record(bool snapshot);

  node::Node& node_;
  std::shared_ptr<Writer> writer_;
  std::unique_ptr<JobRunner> job_runner_;
};

}  // namespace hingelink::background

#endif  // HINGELINK_BACKGROUND_LEARNED_STATE_PERSISTER_H_
