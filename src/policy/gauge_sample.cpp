#include "policy/gauge_sample.h"

#include <algorithm>
#include <cstddef>
#include <string_view>

namespace hingelink::policy {
namespace {

double GaugeOr(const Settings& settings, const std::vector<double>& gauges, std::string_view name,
               double default_value) {
  const auto found = std::find(settings.gauges.begin(), settings.gauges.end(), name);
  const auto index = static_cast<std::size_t>(found - settings.gauges.begin());
  const bool is_present = found != settings.gauges.end() && index < gauges.size();
  return is_present ? gauges[index] : default_value;
}

}  // namespace

GaugeSample ReadGauges(const Settings& settings, const std::vector<double>& gauges, int running) {
  return {.cpu_busy = GaugeOr(settings, gauges, "cpu_busy", 1),
          .runnable = GaugeOr(settings, gauges, "runnable", running)};
}

}  // namespace hingelink::policy
