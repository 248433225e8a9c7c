// What the node counts since its start, for the operators. Each figure is counted at one place.
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

class Metrics {
 public:
  // Answers are counted by so many threads, each with counts of its own.
  Metrics(const std::vector<hingelink::RequestClass>& classes, std::size_t counting);

  // The classes from now on, each with a figure from 0 on. What was counted of others stays.
  void SetClasses(const std::vector<hingelink::RequestClass>& classes);
  // The counts of a class for one of those threads, or null for a name that is none now.
  ClassCountsPtr Of(std::string_view kind, std::size_t counter = 0) const;
  // Also of a class that was dropped, as long as it is shown.
  ClassCountsPtr OfAny(std::string_view kind, std::size_t counter) const;
  void CountRun() { ++runs_; }
  // By gateway, of at most kMostGateways: one more takes the place of that which was quiet longest.
  static constexpr std::size_t kMostGateways = 256;
  void CountRequest(std::uint32_t gateway) { ++Gateway(gateway).requests; }
  void CountAnswer(std::uint32_t gateway, core::Verdict verdict) { Gateway(gateway).answers.Count(verdict); }
  struct GatewayCounts {
    std::uint32_t via = 0;
    std::uint64_t requests = 0;
    ClassCounts answers;
    std::uint64_t last_event = 0;  // By a count of all events.
  };
  const std::unordered_map<std::uint32_t, GatewayCounts>& gateways() const { return gateways_; }
  // Over all that count. Dropped classes too, oldest first.
  std::vector<ClassCounts> classes() const;
  // The names of those that are no dropped ones.
  std::vector<std::string> current_names() const;
  std::uint64_t runs() const { return runs_; }
  void CountReload(bool good) { ++(good ? reloads_ok_ : reloads_failed_); }

  // All figures in the Prometheus text format.
  std::string Text(std::size_t in_flight, const std::vector<LoopSnapshot>& loops) const;

 private:
  GatewayCounts& Gateway(std::uint32_t via);

  struct Class {
    std::string name;
    std::vector<ClassCountsPtr> counts;  // One for each thread that counts.
  };
  using ClassPtr = std::shared_ptr<const Class>;

  std::size_t counting_;
  std::unordered_map<std::string_view, ClassPtr> current_;  // The names lie in the classes.
  std::deque<ClassPtr> shown_;                              // Dropped classes too, oldest first.
  std::unordered_map<std::uint32_t, GatewayCounts> gateways_;
  std::uint64_t events_ = 0;
  std::uint64_t runs_ = 0, reloads_ok_ = 0, reloads_failed_ = 0;
};

}  // namespace hingelink::node

#endif  // HINGELINK_NODE_METRICS_H_
