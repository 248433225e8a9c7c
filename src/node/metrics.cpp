#include "node/metrics.h"

#include <algorithm>
#include <utility>

#include "node/metric_families.h"

namespace hingelink::node {
namespace {

using prometheus::MetricType;

// Limit of removed classes whose counts are still reported.
constexpr std::size_t kMaxRemovedClasses = 64;

void AddClasses(const std::vector<ClassCounts>& classes, MetricFamilies& families) {
  families.Begin("calls", MetricType::Counter, "Requests answered, by class and outcome.");
  for (const ClassCounts& counts : classes) {
    const auto add = [&](const char* code, std::uint64_t value) {
      families.Add({{"tier", counts.name}, {"code", code}}, static_cast<double>(value));
    };
    add("success", counts.served);
    add("busy", counts.rejected);
    add("failure", counts.failed);
  }
}

void AddLoops(const std::vector<LoopSnapshot>& loops, MetricFamilies& families) {
  if (loops.empty()) return;
  const auto add = [&](const char* name, MetricType type, const char* help, const auto& value) {
    families.Begin(name, type, help);
    for (std::size_t i = 0; i < loops.size(); ++i) {
      families.Add({{"loop", std::to_string(i + 1)}}, static_cast<double>(value(loops[i])));
    }
  };
  add("loop_connections", MetricType::Gauge, "Connections on a loop.",
      [](const LoopSnapshot& loop) { return loop.connections; });
  add("loop_busy", MetricType::Gauge, "Share of a core that a loop used in the last half second.",
      [](const LoopSnapshot& loop) { return loop.cpu_fraction; });
  add("loop_told_waiting", MetricType::Gauge, "Messages of a loop that wait for the decisions.",
      [](const LoopSnapshot& loop) { return loop.pending_messages; });
  add("loop_orders_waiting", MetricType::Gauge, "Answers and orders that wait for a loop.",
      [](const LoopSnapshot& loop) { return loop.pending_commands; });
  add("loop_connections_taken", MetricType::Counter, "Connections that a loop took over from others.",
      [](const LoopSnapshot& loop) { return loop.connections_received; });
  add("loop_hung", MetricType::Gauge, "1 while a loop does not go round.",
      [](const LoopSnapshot& loop) { return loop.stalled ? 1 : 0; });
}

}  // namespace

Metrics::Metrics(const std::vector<hingelink::RequestClass>& classes, std::size_t counting_threads)
    : counting_threads_(counting_threads) {
  SetClasses(classes);
}

void Metrics::SetClasses(const std::vector<hingelink::RequestClass>& classes) {
  current_.clear();
  for (const hingelink::RequestClass& configured : classes) {
    auto reported = FindReported(configured.name);
    if (reported == reported_.end()) {
      Class added{configured.name, {}};
      for (std::size_t i = 0; i < counting_threads_; ++i) {
        added.counts.push_back(std::make_shared<ClassCounts>(ClassCounts{.name = configured.name}));
      }
      reported_.push_back(std::make_shared<const Class>(std::move(added)));
      reported = reported_.end() - 1;
    }
    current_.emplace((*reported)->name, *reported);
  }
  const std::size_t max_reported = current_.size() + kMaxRemovedClasses;
  for (auto at = reported_.begin(); at != reported_.end() && reported_.size() > max_reported;) {
    at = current_.contains((*at)->name) ? at + 1 : reported_.erase(at);
  }
}

std::deque<Metrics::ClassPtr>::const_iterator Metrics::FindReported(std::string_view class_name) const {
  return std::find_if(reported_.begin(), reported_.end(),
                      [class_name](const ClassPtr& reported) { return reported->name == class_name; });
}

ClassCountsPtr Metrics::CountsFor(std::string_view class_name, std::size_t thread) const {
  const auto found = current_.find(class_name);
  return found == current_.end() ? nullptr : found->second->counts[thread];
}

ClassCountsPtr Metrics::CountsForReported(std::string_view class_name, std::size_t thread) const {
  const auto found = FindReported(class_name);
  return found == reported_.end() ? nullptr : (*found)->counts[thread];
}

std::vector<ClassCounts> Metrics::classes() const {
  std::vector<ClassCounts> sums;
  for (const ClassPtr& reported : reported_) {
    ClassCounts sum{.name = reported->name};
    for (const ClassCountsPtr& of_thread : reported->counts) {
      sum.served += of_thread->served;
      sum.rejected += of_thread->rejected;
      sum.failed += of_thread->failed;
    }
    sums.push_back(std::move(sum));
  }
  return sums;
}

std::vector<std::string> Metrics::class_names() const {
  std::vector<std::string> names;
  for (const auto& [name, counts] : current_) names.emplace_back(name);
  return names;
}

Metrics::GatewayCounts& Metrics::Gateway(std::uint32_t gateway_id) {
  const auto known = gateways_.find(gateway_id);
  if (known == gateways_.end() && gateways_.size() >= kMaxGateways) {
    const auto oldest = std::min_element(
        gateways_.begin(), gateways_.end(),
        [](const auto& left, const auto& right) { return left.second.last_event < right.second.last_event; });
    gateways_.erase(oldest);
  }
  GatewayCounts& counts = known == gateways_.end() ? gateways_[gateway_id] : known->second;
  counts.last_event = ++events_;
  return counts;
}

std::string Metrics::Text(std::size_t in_flight, const std::vector<LoopSnapshot>& loops) const {
  MetricFamilies families;
  const auto add = [&families](const char* name, MetricType type, const char* help, std::uint64_t value) {
    families.AddSingle(name, type, help, static_cast<double>(value));
  };
  AddClasses(classes(), families);
  add("backend_calls", MetricType::Counter, "Runs handed to the worker pool.", executions_);
  add("inflight", MetricType::Gauge, "Requests taken and not ended.", in_flight);
  add("reconfig_ok", MetricType::Counter, "Configuration files taken at SIGHUP.", reloads_succeeded_);
  add("reconfig_failed", MetricType::Counter, "Configuration files turned down at SIGHUP.", reloads_failed_);
  AddLoops(loops, families);
  return families.Text();
}

}  // namespace hingelink::node
