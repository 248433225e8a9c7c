// Several worker pools ("services") as one, shared with other nodes: links to those that this node uses, and
// the decisions of decide::LoadBalancer executed. Each pool has an address of its own for each node, as the
// protocol has one link at each address.
//
// A run stays where it was sent: what was sent there again is sent there, whatever the load balancer would
// choose now. It goes elsewhere only if the service proves that it never ran, or if the service is away and
// the class may run twice; both within the load balancer's budget. The first end that is told counts, and
// there is one. What a service owes that never comes back ends as an error, and runs nowhere else.
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

struct ServiceEndpoint {
  std::string name, zone;
  double cores = 1;
  std::string address;  // This node's own at that pool; empty: not to be reached from here, but counted.
  bool operator==(const ServiceEndpoint&) const = default;
};

struct PoolGroupOptions {
  std::vector<ServiceEndpoint> services;
  decide::LoadBalancerOptions load_balancing;
  std::string self, zone;  // This node.
  // Safe runs leave a service that is away for so long.
  std::chrono::milliseconds leave_after{400};
  // What is still owed by one that is away for so long has failed. Longer than any request waits.
  std::chrono::milliseconds lost_after{30'000};
  decide::RandomSource random;
};

class PoolGroup : public WorkerPool {
 public:
  PoolGroup(event_base* base, PoolGroupOptions options, PoolEvents events, PoolGroupCallbacks callbacks);
  ~PoolGroup() override;

  // Another list: links to what is no longer in it end once nothing is owed there. Not to be called from
  // within a link's own callbacks.
  void SetServices(std::vector<ServiceEndpoint> services);
  // The nodes that share the services, this one too.
  void SetNodes(std::vector<decide::SubsetNode> nodes);

  // ---- WorkerPool ----
  // The addresses are those of the services.
  void ChangeAddress(const sockaddr_in& pool) override { static_cast<void>(pool); }
  CommandMark Spawn(std::uint64_t req, std::string_view kind, std::string_view body) override;
  CommandMark SendUpstreamReply(std::uint64_t req, std::string_view reply) override;
  CommandMark SkipUpstreamCall(std::uint64_t req, std::uint64_t notice) override;
  bool Verify(std::uint64_t tag) override;
  void PollGauges() override {}
  bool Processed(CommandMark mark) const override;
  bool ready() const override { return up_ > 0; }
  // Means of the services in use, by their cores.
  const std::vector<double>& gauges() const override { return gauges_; }

  const decide::LoadBalancer& load_balancer() const { return load_balancer_; }
  decide::Milliseconds Now() const { return Steady::now() - began_; }
  std::size_t link_count() const;
  std::size_t in_flight() const { return sent_.size(); }

 private:
  using Id = decide::EndpointId;
  struct Service {
    ServiceEndpoint at;
    bool told = true;  // In the list.
    std::unique_ptr<PoolLink> link;
    bool up = false;
    decide::Milliseconds down_since{0};
    std::optional<decide::Milliseconds> asked;
    std::vector<double> gauges;
    decide::Milliseconds gauges_at{0};
    std::size_t owed = 0;  // Runs.
  };
  struct Sent {
    Id service = decide::kNoEndpoint;
    decide::RequestTraits run;
    int tries = 1;
    Id before = decide::kNoEndpoint;  // Where it may have run first, and may still end.
  };

  void Tick();
  void Connect(Id id);
  void SetUp(Id id, bool up);
  void Settled(Id id);
  void Finished(Id id, const proto::RunFinished& run);
  void Blocked(Id id, const proto::RunBlocked& run);
  CommandMark AtItsService(std::uint64_t req, const std::function<CommandMark(PoolLink&)>& send);
  void Unknown(Id id, std::uint64_t req);
  void Polled(Id id);
  void Again(std::uint64_t req, Sent& sent, bool never_ran);
  void MoveTo(Sent& sent, Id service);
  void SeeAway();
  void MixGauges();
  void Drop(std::unordered_map<std::uint64_t, Sent>::iterator it);
  std::uint32_t KindOf(std::string_view kind);

  event_base* base_;
  PoolGroupOptions options_;
  PoolEvents events_;
  PoolGroupCallbacks callbacks_;
  Steady::time_point began_ = Steady::now();
  decide::LoadBalancer load_balancer_;
  std::map<Id, Service> services_;
  std::unordered_map<std::uint64_t, Sent> sent_;
  std::map<std::string, std::uint32_t, std::less<>> kinds_;
  Id settling_ = decide::kNoEndpoint;
  bool bound_ = false;
  std::size_t up_ = 0;
  std::vector<double> gauges_;
  Timer timer_;
};

}  // namespace hingelink::net

#endif  // HINGELINK_NET_POOL_GROUP_H_
