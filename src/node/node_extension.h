// Extensions of the node's event loop: sibling processes, fleet membership, background jobs.
//
// The loop collects events, lets the policy step and executes its actions. An extension takes part in each of
// the three on the loop's own thread: it keeps what it receives until the loop asks for it. With no
// extension, nothing is called.
#ifndef HINGELINK_NODE_NODE_EXTENSION_H_
#define HINGELINK_NODE_NODE_EXTENSION_H_

#include <chrono>
#include <cstddef>
#include <string>
#include <utility>
#include <vector>

#include "hingelink/server_policy.h"

namespace hingelink::node {

// What an extension may do in one batch. Requests go first: with any of them in the batch the budget is
// smaller.
struct BatchBudget {
  std::size_t events = 0;             // For the policy, at most.
  std::chrono::microseconds work{0};  // On the loop, in all of AddEvents(), about.
};

// The events of one step, to which extensions add theirs.
class EventBatch {
 public:
  EventBatch(std::vector<hingelink::Event>& events, BatchBudget budget)
      : events_(events), budget_(budget), most_(events.size() + budget.events) {}

  const BatchBudget& budget() const { return budget_; }
  // False where the budget is used up: the event stays with its owner, for the next batch.
  [[nodiscard]] bool Add(hingelink::Event event) {
    if (events_.size() >= most_) return false;
    events_.push_back(std::move(event));
    return true;
  }

 private:
  std::vector<hingelink::Event>& events_;
  BatchBudget budget_;
  std::size_t most_;
};

class NodeExtension {
 public:
  virtual ~NodeExtension() = default;

  // Whether it has events for the policy: a step is made for them even if nothing else needs one. Called in
  // each round of the loop, so it must be cheap. Stays true while events did not fit into a batch.
  virtual bool HasPendingEvents() const { return false; }
  // Called before each step, after the events of gateways and worker pool and before those of timers.
  virtual void AddEvents(EventBatch& batch) { static_cast<void>(batch); }
  // Called after each step, when its actions have been executed.
  virtual void OnStepCompleted() {}
  // The node has entered a phase; kReloaded follows a configuration that was applied.
  enum class LifecyclePhase { kDraining, kHandedOver, kResumed, kReloaded };
  virtual void OnLifecyclePhase(LifecyclePhase phase) { static_cast<void>(phase); }
  // Between two rounds of the loop, never from within a callback.
  virtual void OnRoundCompleted() {}
  // For the second address, in the Prometheus text format.
  virtual std::string MetricsText() const { return {}; }
};

}  // namespace hingelink::node

#endif  // HINGELINK_NODE_NODE_EXTENSION_H_
