#include "node/upstream_metrics.h"

#include <utility>

#include "node/metric_families.h"

namespace hingelink::node {
namespace {

using prometheus::MetricType;

void AddKeys(const KeyTable& keys, MetricFamilies& families) {
  const KeyTable::Counters& counters = keys.counters();
  const auto add = [&families](const char* name, MetricType type, const char* help, std::uint64_t value) {
    families.AddSingle(name, type, help, static_cast<double>(value));
  };
  add("keys", MetricType::Gauge, "Idempotency keys in the key table.", keys.keys());
  add("key_result_bytes", MetricType::Gauge, "Bytes of results stored in the key table.",
      keys.result_bytes());
  add("key_replays", MetricType::Counter, "Attempts answered with the result of another attempt.",
      counters.replays);
  add("key_no_room", MetricType::Counter, "Keys not retained because the key table was full.",
      counters.rejected_at_capacity);
  add("key_results_gone", MetricType::Counter, "Results dropped before their window ended, to limit memory.",
      counters.results_dropped);
  add("key_mismatches", MetricType::Counter,
      "Attempts whose class or body differs from the first attempt with their key.", counters.mismatches);
}

void AddUpstreamCalls(const UpstreamCalls& calls, const net::StoreClient& store, MetricFamilies& families) {
  const net::StoreClient::Counts& counts = store.counts();
  families.Begin("store_calls", MetricType::Counter, "Finished calls to the store, by outcome.");
  for (const auto& [outcome, value] : {std::pair{"ok", counts.ok},
                                       {"busy", counts.busy},
                                       {"error", counts.errors},
                                       {"late", counts.late},
                                       {"refused", counts.refused},
                                       {"broken", counts.broken},
                                       {"dropped", counts.dropped}}) {
    families.Add({{"outcome", outcome}}, static_cast<double>(value));
  }
  families.AddSingle("store_connects", MetricType::Counter, "Attempted connections to the store.",
                     static_cast<double>(counts.connects));
  families.AddSingle("store_in_hand", MetricType::Gauge,
                     "Calls to the store in flight or waiting for a connection.",
                     static_cast<double>(store.in_hand()));
  families.AddSingle("runs_at_calls", MetricType::Gauge, "Unfinished executions that have requested a call.",
                     static_cast<double>(calls.executions()));
}

}  // namespace

std::string UpstreamMetricsText(const KeyTable& keys, const UpstreamCalls& calls,
                                const net::StoreClient* store) {
  MetricFamilies families;
  AddKeys(keys, families);
  if (store != nullptr) AddUpstreamCalls(calls, *store, families);
  return families.Text();
}

}  // namespace hingelink::node
