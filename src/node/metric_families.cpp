#include "node/metric_families.h"

#include <prometheus/text_serializer.h>

namespace hingelink::node {

void MetricFamilies::Add(Labels labels, double value) {
  prometheus::MetricFamily& family = families_.back();
  prometheus::ClientMetric metric;
  metric.label = std::move(labels);
  if (family.type == prometheus::MetricType::Counter) {
    metric.counter.value = value;
  } else {
    metric.gauge.value = value;
  }
  family.metric.push_back(std::move(metric));
}

std::string MetricFamilies::Text() const { return prometheus::TextSerializer().Serialize(families_); }

}  // namespace hingelink::node
