// Figures of what lies below a node's runs and of the keys that it keeps, for the second address.
#ifndef HINGELINK_NODE_BELOW_FIGURES_H_
#define HINGELINK_NODE_BELOW_FIGURES_H_

#include <string>

#include "net/store/store_client.h"
#include "node/calls.h"
#include "node/keys/key_table.h"

namespace hingelink::node {

// In the Prometheus text format. `store` may be null: then there are no calls to count.
std::string BelowFigures(const KeyTable& keys, const Calls& calls, const net::StoreClient* store);

}  // namespace hingelink::node

#endif  // HINGELINK_NODE_BELOW_FIGURES_H_
