// What must not have happened, by the accounts of the stand-ins alone: an answer that no run made, two
// answers or none, a key run twice at one pool, a call run twice, a reply or a call changed on its way.
#ifndef HINGELINK_STANDIN_AUDIT_H_
#define HINGELINK_STANDIN_AUDIT_H_

#include <string>
#include <vector>

#include "standin/gateways.h"
#include "standin/pool.h"
#include "standin/store.h"

namespace hingelink::standin {

struct AuditOptions {
  // Nodes were killed: answers may be lost with their connections.
  bool may_lose = false;
};

// One line for each kind of fault, with how often it was seen; none where all is well.
std::vector<std::string> Audit(const std::vector<Account>& gateways, const std::vector<PoolCounts>& pools,
                               const StoreCounts& store, const AuditOptions& options = {});

}  // namespace hingelink::standin

#endif  // HINGELINK_STANDIN_AUDIT_H_
