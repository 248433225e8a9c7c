// Collects the actions that one call of ServerPolicy::Step() returns.
#ifndef HINGELINK_POLICY_ACTION_SINK_H_
#define HINGELINK_POLICY_ACTION_SINK_H_

#include <utility>
#include <vector>

#include "hingelink/server_policy.h"

namespace hingelink::policy {

// Not thread-safe.
class ActionSink {
 public:
  // Appends an action to those of the current step.
  void Emit(Action action) { actions_.push_back(std::move(action)); }
  // Removes the actions of the previous step.
  void Clear() { actions_.clear(); }
  const std::vector<Action>& actions() const { return actions_; }

 private:
  std::vector<Action> actions_;
};

}  // namespace hingelink::policy

#endif  // HINGELINK_POLICY_ACTION_SINK_H_
