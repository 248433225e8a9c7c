// Runs the membership protocol on the node's event loop, with its UDP socket and its log.
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

// A node's membership in its fleet: owns the gossip transport, the membership protocol and the gossip topics.
// All calls on the thread of the node's event loop.
class Fleet : public node::NodeExtension {
 public:
  // `node` must outlive the object. `read_config` is called by the constructor and after each reload of the
  // node; it may throw. Throws what `read_config` throws, net::GossipKeyError, and std::runtime_error or
  // std::invalid_argument for an invalid name or address. If the address is in use, for example by the
  // predecessor process during a handover, the node joins the fleet as soon as the address is free.
  Fleet(node::Node& node, const std::function<FleetConfig()>& read_config);
  ~Fleet() override;
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  // Adds a topic, whose payloads are sent along with gossip messages. `topic` must outlive the object. To be
  // called before Node::Run().
  void RegisterTopic(decide::GossipTopic& topic) { topics_.Register(topic); }
  // Announces to the other members that this node has left. To be called after Node::Run() returned.
  void AnnounceLeave();

  [[nodiscard]] FleetSnapshot TakeSnapshot() const;

  // ---- node::NodeExtension ----
  void OnLifecyclePhase(LifecyclePhase phase) override;
  std::string MetricsText() const override { return MetricsTextOf(TakeSnapshot()); }

 private:
  // Binds the address, or schedules another attempt if that fails. The first success starts the membership
  // protocol.
  void OpenTransport();
  void StartMembership();
  // Reads the configuration again and replaces the keys and seeds; other changes have no effect. If the
  // configuration is invalid, the previous keys and seeds stay in use.
  void Reload();
  void OnDatagram(const sockaddr_in& from, std::string_view body);
  void OnTimer();
  void ScheduleTimer();
  void ExecuteActions(decide::MembershipActions actions);
  // Announces the member phase that corresponds to the node's state, if it has changed.
  void UpdatePhase();
  [[nodiscard]] decide::MemberPhase CurrentPhase() const;
  [[nodiscard]] decide::Milliseconds Now() const { return net::Steady::now() - started_at_; }

  node::Node& node_;
  std::function<FleetConfig()> read_config_;
  FleetConfig config_;
  std::vector<net::GossipKey> keys_;
  net::Steady::time_point started_at_ = net::Steady::now();
  decide::GossipTopics topics_;
  std::optional<net::GossipTransport> transport_;  // Empty while the address is not bound.
  std::optional<decide::Membership> membership_;   // Set since the address was first bound.
  net::Timer timer_;
  net::Timer bind_retry_timer_;
  bool is_handed_over_ = false;
  bool has_logged_bind_failure_ = false;
};

}  // namespace hingelink::fleet

#endif  // HINGELINK_FLEET_FLEET_H_
