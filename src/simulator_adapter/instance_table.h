// Deals the events of a batch to the instances they name and collects what they do.
#ifndef HINGELINK_SIMULATOR_ADAPTER_INSTANCE_TABLE_H_
#define HINGELINK_SIMULATOR_ADAPTER_INSTANCE_TABLE_H_

#include <cstdint>
#include <map>
#include <string>

#include "hingelink/server_policy.h"
#include "simulator_adapter/codec.h"

namespace hingelink::simulator_adapter {

class InstanceTable {
 public:
  // The reply frame to one batch. Throws WireError.
  std::string Answer(const Batch& batch);

 private:
  std::map<std::uint32_t, ServerPolicy> instances_;
};

}  // namespace hingelink::simulator_adapter

#endif  // HINGELINK_SIMULATOR_ADAPTER_INSTANCE_TABLE_H_
