// What joins the node's loop beside its own ends: processes of an upgrade, peers' news, shared limits, jobs.
//
// The loop gathers, steps and carries out. A extension part takes part in each of the three, on the loop's
// own thread, and never beside it: it keeps what it hears until it is asked. Nothing extension: nothing is
// called.
#ifndef HINGELINK_NODE_NODE_EXTENSION_H_
#define HINGELINK_NODE_NODE_EXTENSION_H_

#include <chrono>
#include <cstddef>
#include <string>
#include <utility>
#include <vector>

#include "hingelink/server_policy.h"

namespace hingelink::node {

// What a extension part may do in one batch. Requests go first: with any of them in the batch it is told
// less.
struct BatchBudget {
  std::size_t events = 0;             // For the module, at most.
  std::chrono::microseconds work{0};  // On the loop, in all of AddEvents(), about.
};

// One step's events, as a extension part may add to them.
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

  // Whether it has something for the module: a step is made for it, even if nothing else asks for one. To be
  // cheap: it is asked in each round of the loop. What does not fit into a batch keeps it true.
  virtual bool HasPendingEvents() const { return false; }
  // Before each step, behind what gateways and the worker pool told and before the timers.
  virtual void AddEvents(EventBatch& batch) { static_cast<void>(batch); }
  // Behind each step: its actions have been carried out.
  virtual void OnStepCompleted() {}
  // A phase of the node's life has come; kReloaded comes behind a file that was taken.
  enum class LifecyclePhase { kDraining, kHandedOver, kResumed, kReloaded };
  virtual void OnLifecyclePhase(LifecyclePhase phase) { static_cast<void>(phase); }
  // Between two rounds of the loop, never from within a callback.
  virtual void OnRoundCompleted() {}
  // For the second address, in the Prometheus text format.
  virtual std::string MetricsText() const { return {}; }
};

}  // namespace hingelink::node

#endif  // HINGELINK_NODE_NODE_EXTENSION_H_
