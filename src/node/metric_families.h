// Builds metrics in the Prometheus text format. Include only in .cpp files of the node, so that the header of
// the Prometheus library stays out of other headers.
#ifndef HINGELINK_NODE_METRIC_FAMILIES_H_
#define HINGELINK_NODE_METRIC_FAMILIES_H_

#include <prometheus/metric_family.h>

#include <string>
#include <utility>
#include <vector>

namespace hingelink::node {

class MetricFamilies {
 public:
  using Labels = std::vector<prometheus::ClientMetric::Label>;

  // Starts the metric family "edge_node_" + `name`. Later calls of Add() add samples to this family.
  void Begin(const char* name, prometheus::MetricType type, const char* help) {
    families_.push_back({std::string("edge_node_") + name, help, type, {}});
  }
  // Adds a sample to the family that was started last.
  void Add(Labels labels, double value);
  // Adds a family with one sample without labels.
  void AddSingle(const char* name, prometheus::MetricType type, const char* help, double value) {
    Begin(name, type, help);
    Add({}, value);
  }

  // Returns all families in the Prometheus text format.
  [[nodiscard]] std::string Text() const;

 private:
  std::vector<prometheus::MetricFamily> families_;
};

}  // namespace hingelink::node

#endif  // HINGELINK_NODE_METRIC_FAMILIES_H_
