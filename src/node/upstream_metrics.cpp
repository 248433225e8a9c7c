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
  add("keys", MetricType::Gauge, "Keys kept of keyed requests.", keys.keys());
  add("key_result_bytes", MetricType::Gauge, "Bytes of the results kept with them.", keys.result_bytes());
  add("key_replays", MetricType::Counter, "Tries answered with the result of another.", counters.replays);
  add("key_no_room", MetricType::Counter, "Tries refused as their key had no room.",
      counters.rejected_at_capacity);
  add("key_results_gone", MetricType::Counter, "Results let go before their window was over.",
      counters.results_dropped);
  add("key_mismatches", MetricType::Counter, "Tries with another class or body than their key's first.",
      counters.mismatches);
}

void AddUpstreamCalls(const UpstreamCalls& calls, const net::StoreClient& store, MetricFamilies& families) {
  const net::StoreClient::Counts& counts = store.counts();
  families.Begin("store_calls", MetricType::Counter, "Calls to the store that ended, by outcome.");
  for (const auto& [outcome, value] : {std::pair{"ok", counts.ok},
                                       {"busy", counts.busy},
                                       {"error", counts.errors},
                                       {"late", counts.late},
                                       {"refused", counts.refused},
                                       {"broken", counts.broken},
                                       {"dropped", counts.dropped}}) {
    families.Add({{"outcome", outcome}}, static_cast<double>(value));
  }
  families.AddSingle("store_connects", MetricType::Counter, "Connections to the store that were tried.",
                     static_cast<double>(counts.connects));
  families.AddSingle("store_in_hand", MetricType::Gauge, "Calls to the store in hand.",
                     static_cast<double>(store.in_hand()));
  families.AddSingle("runs_at_calls", MetricType::Gauge, "Runs that have stood at a call and not ended.",
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
