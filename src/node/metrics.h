// Counts requests, executions and reloads since the start of the node. The admin server reports the counts.
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

// Used by the deciding thread only, except that each counting thread writes its own ClassCounts.
class Metrics {
 public:
  // `counting_threads`: the number of threads that count answers, each in its own ClassCounts.
  Metrics(const std::vector<hingelink::RequestClass>& classes, std::size_t counting_threads);

  // Replaces the classes. New classes count from 0. The last removed classes are still reported.
  void SetClasses(const std::vector<hingelink::RequestClass>& classes);
  // The counts of a current class for one of the counting threads. Null if there is no such class.
  [[nodiscard]] ClassCountsPtr CountsFor(std::string_view class_name, std::size_t thread = 0) const;
  // Like CountsFor(), but also finds a removed class that is still reported.
  [[nodiscard]] ClassCountsPtr CountsForReported(std::string_view class_name, std::size_t thread) const;

  void CountExecution() { ++executions_; }
  void CountReload(bool succeeded) { ++(succeeded ? reloads_succeeded_ : reloads_failed_); }

  // Limit of gateways with counts. A further gateway replaces the least recently active one.
  static constexpr std::size_t kMaxGateways = 256;
  void CountRequest(std::uint32_t gateway_id) { ++Gateway(gateway_id).requests; }
  void CountAnswer(std::uint32_t gateway_id, core::Verdict verdict) {
    Gateway(gateway_id).answers.Count(verdict);
  }
  struct GatewayCounts {
    std::uint64_t requests = 0;
    ClassCounts answers;
    // Sequence number of the last request or answer of the gateway, among those of all gateways.
    std::uint64_t last_event = 0;
  };
  [[nodiscard]] const std::unordered_map<std::uint32_t, GatewayCounts>& gateways() const { return gateways_; }

  // Counts of the reported classes, summed over the counting threads. Includes removed classes; oldest first.
  [[nodiscard]] std::vector<ClassCounts> classes() const;
  // The names of the current classes, in no particular order.
  [[nodiscard]] std::vector<std::string> class_names() const;
  [[nodiscard]] std::uint64_t executions() const { return executions_; }

  // Returns the metrics in the Prometheus text format. `in_flight`: the number of requests without a final
  // answer. The metrics of event loops are omitted if `loops` is empty.
  [[nodiscard]] std::string Text(std::size_t in_flight, const std::vector<LoopSnapshot>& loops) const;

 private:
  GatewayCounts& Gateway(std::uint32_t gateway_id);

  struct Class {
    std::string name;
    // One entry for each counting thread.
    std::vector<ClassCountsPtr> counts;
  };
  using ClassPtr = std::shared_ptr<const Class>;
  [[nodiscard]] std::deque<ClassPtr>::const_iterator FindReported(std::string_view class_name) const;

  std::size_t counting_threads_;
  // The map keys refer to Class::name of the values.
  std::unordered_map<std::string_view, ClassPtr> current_;
  // The current classes and the last removed ones, oldest first.
  std::deque<ClassPtr> reported_;
  std::unordered_map<std::uint32_t, GatewayCounts> gateways_;
  // The number of requests and answers of all gateways, for GatewayCounts::last_event.
  std::uint64_t events_ = 0;
  std::uint64_t executions_ = 0;
  std::uint64_t reloads_succeeded_ = 0;
  std::uint64_t reloads_failed_ = 0;
};

}  // namespace hingelink::node

#endif  // HINGELINK_NODE_METRICS_H_
