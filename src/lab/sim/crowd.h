// Many nodes that share many services below, in simulated time: each node's decide::Spread, unchanged, on
// arrivals that are the same for every way of choosing. One seed gives one run.
#ifndef HINGELINK_LAB_SIM_CROWD_H_
#define HINGELINK_LAB_SIM_CROWD_H_

#include <cstddef>
#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "decide/load_balancing/load_balancer.h"
#include "lab/scenario/scenario.h"

namespace hingelink::lab {

enum class CrowdDo {
  kSlow,       // Work takes `factor` times as long.
  kBlackHole,  // Each run fails at once.
  kLost,       // No link carries anything; back cold, at a quarter of its speed for a second.
  kHang,       // It stands still.
  kReplaced,   // Nodes, not services: each restarts once within the time, and has forgotten all.
};

struct CrowdFault {
  Millis at{0}, lasts{0};
  CrowdDo what = CrowdDo::kSlow;
  std::vector<std::size_t> who;  // Services; nodes for kReplaced.
  double factor = 1;
};

struct CrowdOptions {
  std::uint64_t seed = 1;
  std::size_t nodes = 300, services = 100, zones = 1;
  int cores = 2;  // Of each service.
  decide::LoadBalancerOptions spread;
  bool yardstick = false;  // Chooses by the true state of all services at every moment, instead.
  double load = 0.8;       // Of what all services can do.
  Millis length{12'000}, warm{3'000};
  Millis work{20};    // Mean of a run on one core; two kinds, of half and of twice as much at four to one.
  Millis delay{0.5};  // Each way, and up to as much again.
  Millis figures_age{0};             // So much later asked figures come than they were true.
  std::vector<double> speeds = {1};  // Of the services, in turn; the load is of what they can do together.
  double first_node = 1;             // So many times the traffic of another one.
  Millis deadline{400};
  double refuses_at = 12;  // Runs a core: a service takes no more.
  Millis burst_each{0};    // All nodes get `burst` requests at the same moment; 0: no bursts.
  std::size_t burst = 2;
  Millis wave{0};  // Traffic comes and goes with this period, from none to twice the load; 0: even.
  std::vector<CrowdFault> faults;
  // For tests of the audit: what a service failed is run again elsewhere, writes too.
  bool plants_repeats = false;
};

struct CrowdResult {
  std::uint64_t requests = 0, good = 0, late = 0, refused = 0, failed = 0, repeats = 0, writes_twice = 0;
  double p50_ms = 0, p99_ms = 0;
  // The greatest number of runs sent to a service over its fair share, in windows: mean and worst of them.
  double most_100ms = 0, most_1s = 0, worst_1s = 0;
  double idle_share = 0;  // Of a service's time: it had nothing, while another had over 2 a core.
  double back_most = 0;   // Of services whose fault is over: the greatest over the fair share in 100 ms ...
  double back_hand = 0;   // ... and of the work in hand there over the mean of all, by samples.
  double untried_ms = 0;  // The longest that a node neither tried nor asked a service it uses.
  double aside_most = 0;  // The greatest share of a node's services that it had put aside.
  std::uint64_t outside = 0;  // Choices of what was not told or not up, while another was.
  std::uint64_t asked = 0, asides = 0, widened = 0;
  std::vector<double> good_by_second;  // Share of those that arrived in it.

  nlohmann::ordered_json Json() const;
};

CrowdResult SimulateCrowd(const CrowdOptions& options);

// The kept hard cases, by name. Throws std::invalid_argument that names those there are.
CrowdOptions CrowdCase(const std::string& name, CrowdOptions base);
const std::vector<std::string>& CrowdCases();

}  // namespace hingelink::lab

#endif  // HINGELINK_LAB_SIM_CROWD_H_
