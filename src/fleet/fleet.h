// Connects the membership protocol to the node's event loop, its UDP socket and its log.
#ifndef HINGELINK_FLEET_FLEET_H_
#define HINGELINK_FLEET_FLEET_H_

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "decide/membership/gossip_topic.h"
#include "decide/membership/membership.h"
#include "decide/milliseconds.h"
#include "fleet/fleet_config.h"
#include "fleet/fleet_snapshot.h"
#include "net/event.h"
#include "net/gossip_transport.h"
#include "node/node.h"
#include "node/node_extension.h"

namespace hingelink::fleet {

// A node's membership in its fleet. All calls on the thread of the node's loop.
class Fleet : public node::NodeExtension {
 public:
  // `node` must outlive the object. `read_config` is called now and at each SIGHUP; it may throw. Throws what
  // `read_config` throws, net::GossipKeyError, and std::runtime_error or std::invalid_argument for a name or
  // an address that cannot be used. If the address is in use, as while this process takes over from another
  // one, the node joins as soon as it is free.
  Fleet(node::Node& node, const std::function<FleetConfig()>& read_config);
  ~Fleet() override;
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  // State that travels with the messages; it must outlive the object. To be called before the node runs.
  void RegisterTopic(decide::GossipTopic& topic) { topics_.Register(topic); }
  // After Node::Run(): announces to other members that this one has left.
  void AnnounceLeave();

  [[nodiscard]] FleetSnapshot TakeSnapshot() const;

  // ---- node::NodeExtension ----
  void OnLifecyclePhase(LifecyclePhase phase) override;
  std::string MetricsText() const override { return MetricsTextOf(TakeSnapshot()); }

 private:
  // Binds the address, or schedules another attempt; the first time it also starts the membership protocol.
  void OpenTransport();
  void StartMembership();
  // Reads the configuration again: keys and seeds are replaced. If it cannot be used, the old ones stay.
  void Reload();
  void OnDatagram(const sockaddr_in& from, std::string_view body);
  void OnTimer();
  void ScheduleTimer();
  void ExecuteActions(decide::MembershipActions actions);
  // Announces the phase that follows from the node's state.
  void UpdatePhase();
  [[nodiscard]] decide::MemberPhase CurrentPhase() const;
  [[nodiscard]] decide::Milliseconds Now() const { return net::Steady::now() - began_at_; }

  node::Node& node_;
  std::function<FleetConfig()> read_config_;
  FleetConfig config_;
  std::vector<net::GossipKey> keys_;
  net::Steady::time_point began_at_ = net::Steady::now();
  decide::GossipTopics topics_;
  std::optional<net::GossipTransport> transport_;  // Not while another process has the address.
  std::optional<decide::Membership> membership_;   // From the first time that the transport is open.
  net::Timer timer_;
  net::Timer open_timer_;
  bool is_handed_over_ = false;
  bool has_warned_of_address_ = false;
};

}  // namespace hingelink::fleet

#endif  // HINGELINK_FLEET_FLEET_H_
