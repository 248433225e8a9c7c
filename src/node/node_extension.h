// Interface for extensions of the node's event loop: sibling processes, fleet membership, background jobs.
//
// The loop collects events, runs a step of the policy and executes the resulting actions. The loop calls the
// methods of an extension on its own thread; an extension buffers its events until the loop calls
// AddEvents().
#ifndef HINGELINK_NODE_NODE_EXTENSION_H_
#define HINGELINK_NODE_NODE_EXTENSION_H_

#include <chrono>
#include <cstddef>
#include <string>
#include <utility>
#include <vector>

#include "hingelink/server_policy.h"

namespace hingelink::node {

// Limits on the work of an extension in one batch. The budget is smaller if the batch contains requests,
// since requests take precedence.
struct BatchBudget {
  std::size_t events = 0;  // Maximum number of events of all extensions.
  // Approximate limit on the time of one AddEvents() call.
  std::chrono::microseconds work{0};
};

// The events of one policy step. Extensions add their events to it.
class EventBatch {
 public:
  EventBatch(std::vector<hingelink::Event>& events, BatchBudget budget)
      : events_(events), budget_(budget), max_events_(events.size() + budget.events) {}

  const BatchBudget& budget() const { return budget_; }
  // Returns false if the event budget is used up; the caller must keep the event for the next batch.
  [[nodiscard]] bool Add(hingelink::Event event) {
    if (events_.size() >= max_events_) return false;
    events_.push_back(std::move(event));
    return true;
  }

 private:
  std::vector<hingelink::Event>& events_;
  BatchBudget budget_;
  std::size_t max_events_;
};

class NodeExtension {
 public:
  virtual ~NodeExtension() = default;

  // Whether the extension has events for the policy. If so, the loop runs a step even if there is no other
  // event. Called in each round of the loop, so it must be cheap. Must stay true while events wait for the
  // next batch.
  virtual bool HasPendingEvents() const { return false; }
  // Called before each step, after the events of gateways and worker pool and before those of timers.
  virtual void AddEvents(EventBatch& batch) { static_cast<void>(batch); }
  // Called after each step, when its actions have been executed.
  virtual void OnStepCompleted() {}
  // kReloaded: a new configuration has been applied. kResumed: the successor has exited and this process
  // serves clients again.
  enum class LifecyclePhase { kDraining, kHandedOver, kResumed, kReloaded };
  virtual void OnLifecyclePhase(LifecyclePhase phase) { static_cast<void>(phase); }
  // Called between two rounds of the loop, never from within a callback.
  virtual void OnRoundCompleted() {}
  // Metrics for the admin server, in the Prometheus text format.
  virtual std::string MetricsText() const { return {}; }
};

}  // namespace hingelink::node

#endif  // HINGELINK_NODE_NODE_EXTENSION_H_
