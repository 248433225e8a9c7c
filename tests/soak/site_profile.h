// What a soak run takes from the settings of a deployment: classes, effects, deadlines, limits and cores.
#ifndef HINGELINK_TESTS_SOAK_SITE_PROFILE_H_
#define HINGELINK_TESTS_SOAK_SITE_PROFILE_H_

#include <chrono>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "draw.h"
#include "standin/core_model.h"
#include "standin/gateways.h"

namespace hingelink::soak {

struct SiteProfile {
  std::string name;
  std::vector<standin::ClassLoad> classes;
  std::vector<standin::TenantLoad> tenants;
  // Values of a node's settings that replace those of the sample, by their keys.
  nlohmann::ordered_json settings;
  standin::Cores cores;
  std::chrono::milliseconds stop_time{0};    // From the drain notice to the kill.
  std::chrono::milliseconds drain_grace{0};  // Requests that arrive later must not run.
  std::chrono::milliseconds answer_slack{0};
  bool tells_wait = true;  // Whether requests say how long their caller waits.

  // Requests per second that `nodes` nodes can just serve.
  [[nodiscard]] double Capacity(int nodes) const;
};

// The settings of cli::SampleConfig().
SiteProfile SampleProfile();
// Draws from the ranges of a site file. Throws std::runtime_error if the file cannot be used.
SiteProfile DrawSiteProfile(const std::string& path, Draw& draw);

}  // namespace hingelink::soak

#endif  // HINGELINK_TESTS_SOAK_SITE_PROFILE_H_
