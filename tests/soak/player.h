// Plays a soak plan on a deployment of real processes and checks the rules of the service.
#ifndef HINGELINK_TESTS_SOAK_PLAYER_H_
#define HINGELINK_TESTS_SOAK_PLAYER_H_

#include <string>
#include <vector>

#include "plan.h"

namespace hingelink::soak {

struct SoakResult {
  std::vector<std::string> violations;
  // The simulated components were later than the slack by which they judge, so the run says nothing.
  bool is_void = false;
  // Counts of the run, for people.
  std::string summary;
  // The folder with the logs of the processes, if a rule was violated.
  std::string kept_folder;
};

SoakResult PlaySoak(const Plan& plan);

}  // namespace hingelink::soak

#endif  // HINGELINK_TESTS_SOAK_PLAYER_H_
