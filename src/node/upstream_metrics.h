// Metrics of idempotency keys and of upstream calls, for the admin server.
#ifndef HINGELINK_NODE_UPSTREAM_METRICS_H_
#define HINGELINK_NODE_UPSTREAM_METRICS_H_

#include <string>

#include "net/store/store_client.h"
#include "node/keys/key_table.h"
#include "node/upstream_calls.h"

namespace hingelink::node {

// Returns the metrics in the Prometheus text format. `store` is null if no upstream store is configured; the
// metrics of upstream calls are then omitted.
[[nodiscard]] std::string UpstreamMetricsText(const KeyTable& keys, const UpstreamCalls& calls,
                                              const net::StoreClient* store);

}  // namespace hingelink::node

#endif  // HINGELINK_NODE_UPSTREAM_METRICS_H_
