// Stands in for control_of_node.cpp and topology.cpp in a build without HINGELINK_TOOLS.
#include <stdexcept>

#include "cli/control_of_node.h"
#include "cli/topology.h"

namespace hingelink::cli {

std::unique_ptr<ControlOfNode> MakeControl(node::Node&, const std::string&, std::uint64_t, const StateOfNode*,
                                           const FleetOfNode*, const ServicesOfNode*) {
  throw std::runtime_error("--control: this program was built without HINGELINK_TOOLS");
}

std::unique_ptr<ServicesOfNode> ReadServices(const std::string&) {
  throw std::runtime_error("--services: this program was built without HINGELINK_TOOLS");
}

std::unique_ptr<StateOfNode> KeepState(node::Node&, const std::string&) {
  throw std::runtime_error("--learned: this program was built without HINGELINK_TOOLS");
}

std::unique_ptr<FleetOfNode> JoinFleet(node::Node&, const std::string&) {
  throw std::runtime_error("--peers: this program was built without HINGELINK_TOOLS");
}

std::vector<decide::ProcessingUnit> AllowedUnits() {
  throw std::runtime_error("--pin: this program was built without HINGELINK_TOOLS");
}

}  // namespace hingelink::cli
