// Deals the events of a batch to the instances they name and collects what they do.
#ifndef HINGELINK_BENCHLINK_INSTANCE_TABLE_H_
#define HINGELINK_BENCHLINK_INSTANCE_TABLE_H_

#include <cstdint>
#include <map>
#include <string>

#include "codec.h"
#include "hingelink/server_policy.h"

namespace hingelink::benchlink {

class InstanceTable {
 public:
  // The reply frame to one batch. Throws WireError.
  std::string Answer(const Batch& batch);

 private:
  std::map<std::uint32_t, ServerPolicy> instances_;
};

}  // namespace hingelink::benchlink

#endif  // HINGELINK_BENCHLINK_INSTANCE_TABLE_H_
