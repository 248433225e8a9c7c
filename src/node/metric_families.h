// Builds metrics in the Prometheus text format. Included by sources of the node alone, as the header of the
// library is.
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

  // Begins the family edge_node_`name`: later samples belong to it.
  void Begin(const char* name, prometheus::MetricType type, const char* help) {
    families_.push_back({std::string("edge_node_") + name, help, type, {}});
  }
  // Adds a sample to the family that was begun last.
  void Add(Labels labels, double value);
  // A family of one sample without labels.
  void AddSingle(const char* name, prometheus::MetricType type, const char* help, double value) {
    Begin(name, type, help);
    Add({}, value);
  }

  [[nodiscard]] std::string Text() const;

 private:
  std::vector<prometheus::MetricFamily> families_;
};

}  // namespace hingelink::node

#endif  // HINGELINK_NODE_METRIC_FAMILIES_H_
