// Several worker pools, called services, that this node shares with other nodes and uses like one pool. The
// group holds the links to the services that this node uses, and decide::LoadBalancer chooses the service of
// each execution. A pool accepts one link at each of its addresses, so it has a separate address for each
// node.
//
// An execution stays at the service that received it: if the command is sent again, it is sent to the same
// service, even if the load balancer would now choose another. The execution moves to another service only if
// the service reports that it was not started, or if the service is disconnected and the class may run twice.
// Both consume the load balancer's retry budget. Only the first end that is reported for an execution counts;
// a failure at the service from which it was restarted is ignored.
// An execution that stays at a disconnected service ends as an error after PoolGroupOptions::fail_after and
// is not started elsewhere.
#ifndef HINGELINK_NET_POOL_GROUP_H_
#define HINGELINK_NET_POOL_GROUP_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "decide/load_balancing/load_balancer.h"
#include "net/pool_link.h"
#include "net/worker_pool.h"

namespace hingelink::net {

// A worker pool of the group.
struct ServiceEndpoint {
  std::string name, zone;
  double cores = 1;
  // The address of the pool for this node. Empty if this node cannot reach the pool, which then still counts
  // when the services are distributed over the nodes.
  std::string address;
  bool operator==(const ServiceEndpoint&) const = default;
};

struct PoolGroupOptions {
  std::vector<ServiceEndpoint> services;
  decide::LoadBalancerOptions load_balancing;
  std::string self, zone;  // Name and zone of this node.
  // Executions that may run twice are restarted elsewhere if their service is disconnected for this long.
  std::chrono::milliseconds restart_after{400};
  // Executions fail if their service is disconnected for this long, which is longer than any request waits.
  std::chrono::milliseconds fail_after{30'000};
  decide::RandomSource random;
};

// Not thread-safe: used on the thread of the event loop only.
class PoolGroup : public WorkerPool {
 public:
  PoolGroup(event_base* base, PoolGroupOptions options, PoolEvents events, PoolGroupCallbacks callbacks);
  ~PoolGroup() override;

  // Replaces the list of services. The link to a service that is no longer listed is closed once no execution
  // is in flight there. Must not be called from a callback of a link.
  void SetServices(std::vector<ServiceEndpoint> services);
  // Replaces the list of the nodes that share the services, including this node.
  void SetNodes(std::vector<decide::SubsetNode> nodes);

  // ---- WorkerPool ----
  // Does nothing: the addresses are set by SetServices().
  void ChangeAddress(const sockaddr_in& pool) override { static_cast<void>(pool); }
  CommandMark Spawn(std::uint64_t req, std::string_view kind, std::string_view body) override;
  CommandMark SendUpstreamReply(std::uint64_t req, std::string_view reply) override;
  CommandMark SkipUpstreamCall(std::uint64_t req, std::uint64_t notice) override;
  bool Verify(std::uint64_t tag) override;
  // Does nothing: Tick() polls the services when the load balancer requests it.
  void PollGauges() override {}
  bool Processed(CommandMark mark) const override;
  bool ready() const override { return ready_services_ > 0; }
  // The mean gauges of the active services, weighted by their cores.
  const std::vector<double>& gauges() const override { return gauges_; }

  const decide::LoadBalancer& load_balancer() const { return load_balancer_; }
  // Time since the group was created: the clock of the load balancer.
  decide::Milliseconds Now() const { return Steady::now() - start_time_; }
  // Open links, ready or not.
  std::size_t link_count() const;
  // Executions in flight.
  std::size_t in_flight() const { return executions_.size(); }

 private:
  using Id = decide::EndpointId;
  struct Service {
    ServiceEndpoint endpoint;
    bool listed = true;  // In the latest list of services.
    std::unique_ptr<PoolLink> link;
    bool is_ready = false;  // The link is ready for commands.
    decide::Milliseconds disconnected_since{0};
    std::optional<decide::Milliseconds> polled_at;  // Set while a poll is unanswered.
    std::vector<double> gauges;
    decide::Milliseconds gauges_at{0};
    std::size_t executions = 0;  // Executions of this node in flight at the service.
  };
  // An execution in flight.
  struct Execution {
    Id service = decide::kNoEndpoint;
    decide::RequestTraits traits;
    int attempts = 1;  // Services that have received it.
    // The disconnected service from which it was restarted. It may still run and end there.
    Id previous_service = decide::kNoEndpoint;
  };

  void Tick();
  // Creates the link, unless the service has one or has no address.
  void Connect(Id id);
  // Updates the service, the load balancer and the gauges if the state has changed.
  void SetReady(Id id, bool is_ready);
  void OnLinkReady(Id id);
  void OnFinished(Id id, const proto::RunFinished& run);
  void OnBlocked(Id id, const proto::RunBlocked& run);
  // Sends a command by `send` on the link of the service that received the execution. Returns kNeverSent if
  // the execution is unknown.
  CommandMark SendToService(std::uint64_t req, const std::function<CommandMark(PoolLink&)>& send);
  // The service has not started the execution.
  void OnUnknown(Id id, std::uint64_t req);
  void OnGaugesReceived(Id id);
  // Restarts the execution at another service. If that is not possible, an execution that never ran ends, and
  // one that may have run stays at its service.
  void RestartElsewhere(std::uint64_t req, Execution& execution, bool never_ran);
  void AssignTo(Execution& execution, Id service);
  // Restarts or fails the executions whose service has been disconnected for too long.
  void HandleDisconnectedServices();
  void UpdateMeanGauges();
  void EraseExecution(std::unordered_map<std::uint64_t, Execution>::iterator it);
  // Returns the number by which the load balancer identifies the class.
  std::uint32_t ClassIndex(std::string_view kind);

  event_base* base_;
  PoolGroupOptions options_;
  PoolEvents events_;
  PoolGroupCallbacks callbacks_;
  Steady::time_point start_time_ = Steady::now();
  decide::LoadBalancer load_balancer_;
  std::map<Id, Service> services_;
  std::unordered_map<std::uint64_t, Execution> executions_;  // By request id.
  std::map<std::string, std::uint32_t, std::less<>> class_indexes_;
  Id newly_ready_ = decide::kNoEndpoint;  // The service for which PoolEvents::ready is being called.
  bool ever_bound_ = false;               // A service has accepted a link.
  std::size_t ready_services_ = 0;
  std::vector<double> gauges_;
  Timer timer_;
};

}  // namespace hingelink::net

#endif  // HINGELINK_NET_POOL_GROUP_H_
