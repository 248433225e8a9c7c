// The policy instances that the simulator has opened.
#ifndef HINGELINK_SIMULATOR_ADAPTER_INSTANCE_TABLE_H_
#define HINGELINK_SIMULATOR_ADAPTER_INSTANCE_TABLE_H_

#include <cstdint>
#include <map>
#include <string>

#include "hingelink/server_policy.h"
#include "simulator_adapter/codec.h"

namespace hingelink::simulator_adapter {

// Owns the policy instances by their ids. Not thread-safe.
class InstanceTable {
 public:
  // Applies a batch: opens and closes instances, passes the events to their instances, and returns the reply
  // frame with the actions of all instances. Throws InstanceError if a record is invalid. The table must not
  // be used after an exception.
  [[nodiscard]] std::string ProcessBatch(const Batch& batch);

 private:
  void Open(std::uint32_t instance, const OpenInstance& open);

  std::map<std::uint32_t, ServerPolicy> instances_;
};

}  // namespace hingelink::simulator_adapter

#endif  // HINGELINK_SIMULATOR_ADAPTER_INSTANCE_TABLE_H_
