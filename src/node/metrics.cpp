#include "node/metrics.h"

#include <prometheus/metric_family.h>
#include <prometheus/text_serializer.h>

#include <algorithm>
#include <utility>

namespace hingelink::node {
namespace {

// Dropped classes whose counts are still shown. Guards against a table that grows with every retune.
constexpr std::size_t kMostDropped = 64;

}  // namespace

Metrics::Metrics(const std::vector<hingelink::RequestClass>& classes, std::size_t counting)
    : counting_(counting) {
  SetClasses(classes);
}

void Metrics::SetClasses(const std::vector<hingelink::RequestClass>& classes) {
  current_.clear();
  for (const hingelink::RequestClass& c : classes) {
    auto known =
        std::find_if(shown_.begin(), shown_.end(), [&c](const auto& s) { return s->name == c.name; });
    if (known == shown_.end()) {
      Class fresh{c.name, {}};
      for (std::size_t i = 0; i < counting_; ++i) {
        fresh.counts.push_back(std::make_shared<ClassCounts>(ClassCounts{.name = c.name}));
      }
      shown_.push_back(std::make_shared<const Class>(std::move(fresh)));
      known = shown_.end() - 1;
    }
    current_.emplace((*known)->name, *known);
  }
  for (auto it = shown_.begin(); it != shown_.end() && shown_.size() > current_.size() + kMostDropped;) {
    it = current_.count((*it)->name) != 0 ? it + 1 : shown_.erase(it);
  }
}

ClassCountsPtr Metrics::Of(std::string_view kind, std::size_t counter) const {
  const auto it = current_.find(kind);
  return it == current_.end() ? nullptr : it->second->counts[counter];
}

ClassCountsPtr Metrics::OfAny(std::string_view kind, std::size_t counter) const {
  const auto it =
      std::find_if(shown_.begin(), shown_.end(), [kind](const auto& s) { return s->name == kind; });
  return it == shown_.end() ? nullptr : (*it)->counts[counter];
}

std::vector<ClassCounts> Metrics::classes() const {
  std::vector<ClassCounts> sums;
  for (const ClassPtr& shown : shown_) {
    ClassCounts sum{.name = shown->name};
    for (const ClassCountsPtr& one : shown->counts) {
      sum.served += one->served;
      sum.rejected += one->rejected;
      sum.failed += one->failed;
    }
    sums.push_back(std::move(sum));
  }
  return sums;
}

std::vector<std::string> Metrics::current_names() const {
  std::vector<std::string> names;
  for (const auto& [name, counts] : current_) names.emplace_back(name);
  return names;
}

Metrics::GatewayCounts& Metrics::Gateway(std::uint32_t via) {
  const auto known = gateways_.find(via);
  if (known != gateways_.end()) {
    known->second.last_event = ++events_;
    return known->second;
  }
  if (gateways_.size() >= kMostGateways) {
    // Guards against numbers of gateways that are ever new.
    gateways_.erase(std::min_element(gateways_.begin(), gateways_.end(), [](const auto& a, const auto& b) {
      return a.second.last_event < b.second.last_event;
    }));
  }
  GatewayCounts& fresh = gateways_[via];
  fresh.via = via;
  fresh.last_event = ++events_;
  return fresh;
}

std::string Metrics::Text(std::size_t in_flight, const std::vector<LoopSnapshot>& loops) const {
  using prometheus::MetricType;
  std::vector<prometheus::MetricFamily> families;
  const auto family = [&families](const char* name, MetricType type, const char* help) -> auto& {
    return families.emplace_back(prometheus::MetricFamily{std::string("edge_node_") + name, help, type, {}})
        .metric;
  };
  const auto sample = [](MetricType type, std::vector<prometheus::ClientMetric::Label> labels, double value) {
    prometheus::ClientMetric metric;
    metric.label = std::move(labels);
    (type == MetricType::Counter ? metric.counter.value : metric.gauge.value) = value;
    return metric;
  };
  const auto plain = [&](const char* name, MetricType type, const char* help, std::uint64_t value) {
    family(name, type, help).push_back(sample(type, {}, static_cast<double>(value)));
  };
  auto& calls = family("calls", MetricType::Counter, "Requests answered, by class and outcome.");
  for (const ClassCounts& c : classes()) {
    const auto add = [&](const char* code, std::uint64_t value) {
      calls.push_back(
          sample(MetricType::Counter, {{"tier", c.name}, {"code", code}}, static_cast<double>(value)));
    };
    add("success", c.served);
    add("busy", c.rejected);
    add("failure", c.failed);
  }
  plain("backend_calls", MetricType::Counter, "Runs handed to the worker pool.", runs_);
  plain("inflight", MetricType::Gauge, "Requests taken and not ended.", in_flight);
  plain("reconfig_ok", MetricType::Counter, "Configuration files taken at SIGHUP.", reloads_ok_);
  plain("reconfig_failed", MetricType::Counter, "Configuration files turned down at SIGHUP.",
        reloads_failed_);
  const auto by_loop = [&](const char* name, MetricType type, const char* help, const auto& value) {
    if (loops.empty()) return;
    auto& samples = family(name, type, help);
    for (std::size_t i = 0; i < loops.size(); ++i) {
      samples.push_back(
          sample(type, {{"loop", std::to_string(i + 1)}}, static_cast<double>(value(loops[i]))));
    }
  };
  by_loop("loop_connections", MetricType::Gauge, "Connections on a loop.",
          [](const LoopSnapshot& loop) { return loop.connections; });
  by_loop("loop_busy", MetricType::Gauge, "Share of a core that a loop used in the last half second.",
          [](const LoopSnapshot& loop) { return loop.cpu_fraction; });
  by_loop("loop_told_waiting", MetricType::Gauge, "Messages of a loop that wait for the decisions.",
          [](const LoopSnapshot& loop) { return loop.pending_messages; });
  by_loop("loop_orders_waiting", MetricType::Gauge, "Answers and orders that wait for a loop.",
          [](const LoopSnapshot& loop) { return loop.pending_commands; });
  by_loop("loop_connections_taken", MetricType::Counter, "Connections that a loop took over from others.",
          [](const LoopSnapshot& loop) { return loop.connections_received; });
  by_loop("loop_hung", MetricType::Gauge, "1 while a loop does not go round.",
          [](const LoopSnapshot& loop) { return loop.stalled ? 1 : 0; });
  return prometheus::TextSerializer().Serialize(families);
}

}  // namespace hingelink::node
