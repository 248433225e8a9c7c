// Joins the members' decisions to the node's loop, the link and the log. No decision of its own.
#ifndef HINGELINK_FLEET_FLEET_H_
#define HINGELINK_FLEET_FLEET_H_

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "decide/membership/gossip_topic.h"
#include "decide/membership/membership.h"
#include "net/gossip_transport.h"
#include "node/node.h"
#include "node/node_extension.h"

namespace hingelink::fleet {

// By deploy/schema/peers.json.
struct FleetConfig {
  std::string listen, advertise, keys, zone;
  std::vector<std::string> seeds;
  std::uint16_t weight = 1;
};
// Throws std::runtime_error that names the file, the place in it and what is wanted, a line for each fault.
FleetConfig ReadFleetConfig(const std::string& path);

class Fleet : public node::NodeExtension {
 public:
  // Throws what is wrong with the configuration or its keys. `reread` gives it anew at SIGHUP, or throws.
  Fleet(node::Node& node, const std::function<FleetConfig()>& reread);
  ~Fleet() override;

  // What rides along with the members' messages. To be called before the node runs.
  void RegisterTopic(decide::GossipTopic& topic) { topics_.Register(topic); }
  // Behind the node's Run(): tells the others that it has left.
  void AnnounceLeave();

  struct Snapshot {
    decide::MemberRecord self;
    std::vector<decide::MemberView> members;  // By name.
    int local_health = 0;
    bool holds_removals = false;
    bool is_transport_open = false;
    decide::MembershipCounters counters;
    net::GossipTransport::Counters transport;
  };
  Snapshot TakeSnapshot() const;

  // ---- node::Joined ----
  void OnLifecyclePhase(LifecyclePhase phase) override;
  std::string MetricsText() const override;

 private:
  void Open();
  void Hear(const sockaddr_in& from, std::string_view body);
  void Tick();
  void Carry(decide::MembershipActions actions);
  void SetPhase();
  decide::Milliseconds Now() const { return net::Steady::now() - began_; }

  node::Node& node_;
  std::function<FleetConfig()> reread_;
  FleetConfig config_;
  std::vector<net::GossipKey> keys_;
  net::Steady::time_point began_ = net::Steady::now();
  decide::GossipTopics topics_;
  std::optional<net::GossipTransport> link_;
  std::optional<decide::Membership> members_;
  net::Timer timer_;
  net::Timer open_;
  bool handed_over_ = false;
  bool warned_ = false;  // Of an address that is taken.
};

}  // namespace hingelink::fleet

#endif  // HINGELINK_FLEET_FLEET_H_
