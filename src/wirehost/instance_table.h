// Deals the events of a batch to the instances they name and collects what they do.
#ifndef WORKSPITCH_WIREHOST_INSTANCE_TABLE_H_
#define WORKSPITCH_WIREHOST_INSTANCE_TABLE_H_

#include <cstdint>
#include <map>
#include <string>

#include "codec.h"
#include "workspitch/server_policy.h"

namespace workspitch::wirehost {

class InstanceTable {
 public:
  // The reply frame to one batch. Throws WireError.
  std::string Answer(const Batch& batch);

 private:
  std::map<std::uint32_t, ServerPolicy> instances_;
};

}  // namespace workspitch::wirehost

#endif  // WORKSPITCH_WIREHOST_INSTANCE_TABLE_H_
