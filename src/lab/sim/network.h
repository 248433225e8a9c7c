// A fleet in simulated time: the members' decisions of each node, unchanged, on a network whose links fail as
// the scenario says. One seed gives one run, to the byte.
#ifndef HINGELINK_LAB_SIM_NETWORK_H_
#define HINGELINK_LAB_SIM_NETWORK_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <pcg_random.hpp>
#include <queue>
#include <string>
#include <vector>

#include "decide/membership/membership.h"
#include "lab/scenario/judge.h"
#include "lab/scenario/scenario.h"

namespace hingelink::lab {

struct Violation {
  Millis at{0};
  std::string what;
};

struct SimResult {
  std::string scenario;
  std::uint64_t seed = 0;
  std::vector<Violation> violations;  // At most 20; `broken` counts all.
  std::size_t broken = 0;
  std::uint64_t messages = 0, bytes = 0, lost = 0;
  std::uint64_t unsent = 0;     // Over the link's bytes a second.
  std::uint64_t wrong_key = 0;  // Came under a key that was not believed.
  std::uint64_t suspicions = 0, false_suspicions = 0, withdrawn = 0, gone = 0, false_gone = 0;
  double bytes_a_second = 0;       // A node's, mean.
  double most_bytes_a_second = 0;  // The busiest node's, mean of its life.
  std::size_t most_queued = 0, most_message = 0;
  std::vector<KillTimes> kills;
  std::vector<Millis> agreed_after;  // Behind the end of each fault: until all views were equal and true.
  std::vector<bool> was_cut_off;     // By node.
  std::uint64_t digest = 0;          // Of all that happened: equal for equal seeds.
  std::uint64_t events = 0;

  nlohmann::ordered_json Json() const;
};

struct SimOptions {
  decide::MembershipOptions membership;
  double bytes_per_second =
      64'000;  // Of each node's link (net/gossip_transport.h); two seconds of it may be saved up.
  // Given each message before it is sent, to plant a mistake in it.
  std::function<void(std::size_t node, decide::GossipMessage&)> tamper;
  // Told of each word that a node would log.
  std::function<void(Millis at, std::size_t node, const decide::MembershipEvent&)> words;
};

// Throws nothing but what memory does.
SimResult Simulate(const Scenario& scenario, const SimOptions& options = {});

// Takes faults away, one by one and then by halves of their time, as long as `fails` holds.
Scenario Shrink(Scenario scenario, const std::function<bool(const Scenario&)>& fails);

}  // namespace hingelink::lab

#endif  // HINGELINK_LAB_SIM_NETWORK_H_
