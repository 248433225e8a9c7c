#include "fleet/fleet_snapshot.h"

#include <prometheus/metric_family.h>
#include <prometheus/text_serializer.h>

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <utility>

namespace hingelink::fleet {
namespace {

using prometheus::MetricType;

// A label value and the value of the metric.
using LabelledValue = std::pair<const char*, double>;

double ToDouble(std::uint64_t count) { return static_cast<double>(count); }

// Metric names, labels and label values are a stable interface. Some differ from the names in the code, and
// are mapped to them in this file.
class FamilyBuilder {
 public:
  // Adds a family with one metric for each value of a label.
  void Add(MetricType type, const char* name, const char* help, const char* label,
           const std::vector<LabelledValue>& values) {
    prometheus::MetricFamily family = Family(type, name, help);
    for (const auto& [label_value, value] : values) {
      family.metric.push_back(Metric(type, value));
      family.metric.back().label = {{label, label_value}};
    }
    families_.push_back(std::move(family));
  }
  // Adds a gauge without labels.
  void AddGauge(const char* name, const char* help, double value) {
    prometheus::MetricFamily family = Family(MetricType::Gauge, name, help);
    family.metric.push_back(Metric(MetricType::Gauge, value));
    families_.push_back(std::move(family));
  }

  [[nodiscard]] std::string Serialize() const { return prometheus::TextSerializer().Serialize(families_); }

 private:
  static prometheus::MetricFamily Family(MetricType type, const char* name, const char* help) {
    return {std::string("edge_node_fleet_") + name, help, type, {}};
  }
  static prometheus::ClientMetric Metric(MetricType type, double value) {
    prometheus::ClientMetric metric;
    (type == MetricType::Counter ? metric.counter.value : metric.gauge.value) = value;
    return metric;
  }

  std::vector<prometheus::MetricFamily> families_;
};

// Returns the number of alive, suspect and dead members. This node counts as alive.
std::array<double, 3> CountByState(const FleetSnapshot& snapshot) {
  std::array<double, 3> counts{1, 0, 0};
  for (const decide::MemberView& member : snapshot.members) {
    ++counts[static_cast<std::size_t>(member.record.state)];
  }
  return counts;
}

double MaxSecondsSinceMessage(const FleetSnapshot& snapshot) {
  double longest = 0;
  for (const decide::MemberView& member : snapshot.members) {
    if (!decide::IsLive(member.record.state)) continue;
    longest = std::max(longest, member.since_last_message.count() / 1000);
  }
  return longest;
}

void AddTransport(const net::GossipTransport::Counters& counters, FamilyBuilder& families) {
  families.Add(MetricType::Counter, "messages_total", "Datagrams between nodes.", "direction",
               {{"sent", ToDouble(counters.sent)}, {"received", ToDouble(counters.received)}});
  families.Add(MetricType::Counter, "bytes_total",
               "Bytes of datagrams between nodes, without those of UDP and IP.", "direction",
               {{"sent", ToDouble(counters.sent_bytes)}, {"received", ToDouble(counters.received_bytes)}});
  families.Add(MetricType::Counter, "dropped_total", "Datagrams that were not taken or not sent, by reason.",
               "reason",
               {{"not-ours", ToDouble(counters.malformed)},
                {"wrong-key", ToDouble(counters.unauthenticated)},
                {"again", ToDouble(counters.replayed)},
                {"echo", ToDouble(counters.reflected)},
                {"unsent", ToDouble(counters.unsent)}});
}

}  // namespace

std::string MetricsTextOf(const FleetSnapshot& snapshot) {
  FamilyBuilder families;
  const auto [alive, suspect, dead] = CountByState(snapshot);
  families.Add(MetricType::Gauge, "members",
               "Members by what this node holds of them, itself among the alive.", "state",
               {{"alive", alive}, {"suspect", suspect}, {"gone", dead}});
  families.AddGauge("cut_off", "1 while this node holds its view, as too many are silent.",
                    snapshot.defers_removals ? 1 : 0);
  families.AddGauge("health", "0: well; up to 8: slow to accuse others.", snapshot.local_health);
  families.AddGauge("quiet_seconds", "Since the member that was quiet longest was heard itself.",
                    MaxSecondsSinceMessage(snapshot));
  const decide::MembershipCounters& counters = snapshot.counters;
  families.Add(MetricType::Counter, "suspicions_total",
               "Suspicions by what became of them, and of this node.", "outcome",
               {{"raised", ToDouble(counters.suspicions)},
                {"withdrawn", ToDouble(counters.withdrawn_suspicions)},
                {"gone", ToDouble(counters.removed)},
                {"of-this-node", ToDouble(counters.refutations)}});
  AddTransport(snapshot.transport, families);
  return families.Serialize();
}

}  // namespace hingelink::fleet
