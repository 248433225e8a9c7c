// Collects the actions of one step.
#ifndef HINGELINK_POLICY_ACTION_SINK_H_
#define HINGELINK_POLICY_ACTION_SINK_H_

#include <utility>
#include <vector>

#include "hingelink/server_policy.h"

namespace hingelink::policy {

class ActionSink {
 public:
  // Adds an action behind those of this step so far.
  void Emit(Action action) { actions_.push_back(std::move(action)); }
  // Begins a step.
  void Clear() { actions_.clear(); }
  const std::vector<Action>& actions() const { return actions_; }

 private:
  std::vector<Action> actions_;
};

}  // namespace hingelink::policy

#endif  // HINGELINK_POLICY_ACTION_SINK_H_
