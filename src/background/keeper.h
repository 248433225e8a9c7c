// Keeps what a node learns in a folder that lasts, and gives it to the next life.
#ifndef HINGELINK_BACKGROUND_KEEPER_H_
#define HINGELINK_BACKGROUND_KEEPER_H_

#include <chrono>
#include <memory>
#include <optional>
#include <string>

#include "background/runner.h"
#include "node/node.h"
#include "state/learned_store.h"

namespace hingelink::background {

struct KeeperOptions {
  std::string folder;
  // At most so much learning is lost at a kill; and a snapshot is written at least so often.
  std::chrono::milliseconds record_each{5'000}, snapshot_each{300'000};
  decide::BackgroundOptions budgets{};
};

class Keeper : public node::NodeExtension {
 public:
  // Reads what there is and has the node begin with what counts of it. Never throws for what stands there,
  // nor for a folder that cannot be read: it is logged, and the node learns anew. The node must not run yet.
  Keeper(node::Node& node, state::Files& files, KeeperOptions options);
  ~Keeper() override { node_.RemoveExtension(*this); }
  // To be called behind the node's Run(): the last snapshot.
  void Finish() { runner_->Finish(std::chrono::seconds(1)); }

  std::vector<JobLook> LookAt() const { return runner_->LookAt(); }
  // Of each job, in the Prometheus text format: runs, failures, CPU, bytes, and how long it is due.
  std::string MetricsText() const override;

 private:
  // The store is used by the helper thread alone, and may outlive this where a call hangs.
  struct Writer {
    Writer(state::Files& files, const std::string& folder)
        : store(files, folder), lock_path(folder + "/learned.lock") {}
    state::LearnedStore store;
    std::string lock_path;
    std::optional<state::FolderLock> lock;  // Of two processes at an upgrade one writes.
    std::uint64_t sequence = 0;             // Of the last entry that is known here.
  };

  Work Record(bool snapshot);

  node::Node& node_;
  std::shared_ptr<Writer> writer_;
  std::unique_ptr<Runner> runner_;
};

}  // namespace hingelink::background

#endif  // HINGELINK_BACKGROUND_KEEPER_H_
