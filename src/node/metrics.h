// Counts of requests, executions and reloads since the start of the node, for the admin server.
#ifndef HINGELINK_NODE_METRICS_H_
#define HINGELINK_NODE_METRICS_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "core/front_end.h"
#include "hingelink/server_policy.h"
#include "node/snapshot.h"

namespace hingelink::node {

using core::ClassCounts;
using core::ClassCountsPtr;
using core::Failed;
using core::FinalAnswer;
using core::FrontEnd;
using core::IncomingRequest;
using core::Millis;
using core::Rejected;
using core::Served;
using core::StreamAddress;
using core::UnixTime;

// Used by the deciding thread alone, except for the ClassCounts that it hands out.
class Metrics {
 public:
  // `counting_threads`: threads that count answers, each in counts of its own.
  Metrics(const std::vector<hingelink::RequestClass>& classes, std::size_t counting_threads);

  // Replaces the classes. New ones count from 0; counts of removed ones are kept for a while.
  void SetClasses(const std::vector<hingelink::RequestClass>& classes);
  // The counts of a current class for one of the counting threads; null without such a class.
  [[nodiscard]] ClassCountsPtr CountsFor(std::string_view class_name, std::size_t thread = 0) const;
  // The same, also of a removed class as long as it is reported.
  [[nodiscard]] ClassCountsPtr CountsForReported(std::string_view class_name, std::size_t thread) const;

  void CountExecution() { ++executions_; }
  void CountReload(bool succeeded) { ++(succeeded ? reloads_succeeded_ : reloads_failed_); }

  // A gateway beyond these replaces the one whose last event is the oldest.
  static constexpr std::size_t kMaxGateways = 256;
  void CountRequest(std::uint32_t gateway_id) { ++Gateway(gateway_id).requests; }
  void CountAnswer(std::uint32_t gateway_id, core::Verdict verdict) {
    Gateway(gateway_id).answers.Count(verdict);
  }
  struct GatewayCounts {
    std::uint64_t requests = 0;
    ClassCounts answers;
    // Its number among the events of all gateways.
    std::uint64_t last_event = 0;
  };
  [[nodiscard]] const std::unordered_map<std::uint32_t, GatewayCounts>& gateways() const { return gateways_; }

  // Summed over the counting threads; removed classes too, oldest first.
  [[nodiscard]] std::vector<ClassCounts> classes() const;
  // Names of the current classes.
  [[nodiscard]] std::vector<std::string> class_names() const;
  [[nodiscard]] std::uint64_t executions() const { return executions_; }

  // In the Prometheus text format.
  [[nodiscard]] std::string Text(std::size_t in_flight, const std::vector<LoopSnapshot>& loops) const;

 private:
  GatewayCounts& Gateway(std::uint32_t gateway_id);

  struct Class {
    std::string name;
    // One for each counting thread.
    std::vector<ClassCountsPtr> counts;
  };
  using ClassPtr = std::shared_ptr<const Class>;
  [[nodiscard]] std::deque<ClassPtr>::const_iterator FindReported(std::string_view class_name) const;

  std::size_t counting_threads_;
  // The keys lie in the classes.
  std::unordered_map<std::string_view, ClassPtr> current_;
  // Removed classes too, oldest first.
  std::deque<ClassPtr> reported_;
  std::unordered_map<std::uint32_t, GatewayCounts> gateways_;
  std::uint64_t events_ = 0;
  std::uint64_t executions_ = 0;
  std::uint64_t reloads_succeeded_ = 0;
  std::uint64_t reloads_failed_ = 0;
};

}  // namespace hingelink::node

#endif  // HINGELINK_NODE_METRICS_H_
