#include "node/below_figures.h"

#include <prometheus/metric_family.h>
#include <prometheus/text_serializer.h>

#include <vector>

namespace hingelink::node {

std::string BelowFigures(const KeyTable& keys, const Calls& calls, const net::StoreClient* store) {
  using prometheus::MetricType;
  std::vector<prometheus::MetricFamily> families;
  const auto add = [&families](const char* name, MetricType type, const char* help, const char* outcome,
                               std::uint64_t value) {
    const std::string full = std::string("edge_node_") + name;
    if (families.empty() || families.back().name != full)
      families.push_back(prometheus::MetricFamily{full, help, type, {}});
    prometheus::ClientMetric metric;
    if (outcome != nullptr) metric.label.push_back({"outcome", outcome});
    (type == MetricType::Counter ? metric.counter.value : metric.gauge.value) = static_cast<double>(value);
    families.back().metric.push_back(metric);
  };
  add("keys", MetricType::Gauge, "Keys kept of keyed requests.", nullptr, keys.keys());
  add("key_result_bytes", MetricType::Gauge, "Bytes of the results kept with them.", nullptr,
      keys.result_bytes());
  add("key_replays", MetricType::Counter, "Tries answered with the result of another.", nullptr,
      keys.counts().replayed);
  add("key_no_room", MetricType::Counter, "Tries refused as their key had no room.", nullptr,
      keys.counts().no_room);
  add("key_results_gone", MetricType::Counter, "Results let go before their window was over.", nullptr,
      keys.counts().results_gone);
  add("key_mismatches", MetricType::Counter, "Tries with another class or body than their key's first.",
      nullptr, keys.counts().mismatched);
  if (store != nullptr) {
    const net::StoreClient::Counts& c = store->counts();
    const char* help = "Calls to the store that ended, by outcome.";
    for (const auto& [outcome, value] : {std::pair{"ok", c.ok},
                                         {"busy", c.busy},
                                         {"error", c.errors},
                                         {"late", c.late},
                                         {"refused", c.refused},
                                         {"broken", c.broken},
                                         {"dropped", c.dropped}}) {
      add("store_calls", MetricType::Counter, help, outcome, value);
    }
    add("store_connects", MetricType::Counter, "Connections to the store that were tried.", nullptr,
        c.connects);
    add("store_in_hand", MetricType::Gauge, "Calls to the store in hand.", nullptr, store->in_hand());
    add("runs_at_calls", MetricType::Gauge, "Runs that have stood at a call and not ended.", nullptr,
        calls.standing());
  }
  return prometheus::TextSerializer().Serialize(families);
}

}  // namespace hingelink::node
