// The instances of the policy behind the simulator's protocol.
#ifndef HINGELINK_SIMULATOR_ADAPTER_INSTANCE_TABLE_H_
#define HINGELINK_SIMULATOR_ADAPTER_INSTANCE_TABLE_H_

#include <cstdint>
#include <map>
#include <string>

#include "hingelink/server_policy.h"
#include "simulator_adapter/codec.h"

namespace hingelink::simulator_adapter {

// Not thread-safe.
class InstanceTable {
 public:
  // Distributes the events of a batch to their instances and returns the reply frame with the actions of all.
  // Throws InstanceError, after which the table must not be used any more.
  [[nodiscard]] std::string Answer(const Batch& batch);

 private:
  void Open(std::uint32_t instance, const OpenInstance& open);

  std::map<std::uint32_t, ServerPolicy> instances_;
};

}  // namespace hingelink::simulator_adapter

#endif  // HINGELINK_SIMULATOR_ADAPTER_INSTANCE_TABLE_H_
