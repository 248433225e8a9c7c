// The portal node: connects gateways, worker pool and policy in one event loop.
#ifndef HINGELINK_NODE_NODE_H_
#define HINGELINK_NODE_NODE_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <string>
#include <utility>
#include <vector>

#include "hingelink/server_policy.h"
#include "net/event.h"
#include "net/gateway_front_end.h"
#include "net/handover.h"
#include "net/ops_server.h"
#include "net/registry_client.h"
#include "net/store/store_client.h"
#include "net/worker_pool.h"
#include "node/checks/deep_checks.h"
#include "node/config.h"
#include "node/metrics.h"
#include "node/node_extension.h"
#include "node/request_table.h"
#include "node/snapshot.h"

namespace hingelink::node {

class Node {
 public:
  // Listens and connects at once. Throws where that cannot be.
  // `reread` gives the configuration anew, or throws what is wrong with it.
  // Processes of one node that share `handover_folder` take over from each other there; empty: none does.
  // With more than one thread, this one decides and the others carry the gateways' connections.
  // Without `create_pool` it has the one worker pool of its configuration.
  using WorkerPoolFactory = std::function<std::unique_ptr<net::WorkerPool>(
      event_base* base, const std::string& name, net::PoolEvents events, net::PoolGroupCallbacks callbacks)>;
  Node(Config config, std::function<Config()> reread, const std::string& handover_folder = {},
       std::size_t threads = 1, const WorkerPoolFactory& create_pool = {});
  ~Node();
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

  // Binds the calling thread, which is to Run(), and then each loop. To be called before Run().
  void BindThreads(const std::vector<std::vector<unsigned>>& units);
  // What an earlier process learned, for the policy to start from. To be called before Run().
  void ImportLearned(const hingelink::Learned& learned);
  // Serves until a notice to leave has been carried out.
  void Run();

  // ---- For those who watch and steer it, on its own loop, from callbacks of their own ----
  event_base* base() const { return base_.get(); }
  Snapshot TakeSnapshot() const;
  std::vector<LoopSnapshot> TakeLoopSnapshots() const;
  // At most so many of the gateways' connections.
  std::vector<ConnectionSnapshot> TakeConnectionSnapshots(std::size_t most) const;
  // What SIGTERM and SIGHUP do. StartDrain() says whether it was told before.
  bool StartDrain();
  // Empty, or what is wrong with the file.
  std::string Reload();

  // What the policy has learned so far; nothing before it exists.
  hingelink::Learned ExportLearned() const {
    return policy_ ? policy_->ExportLearned() : hingelink::Learned{};
  }
  // Requests wait to be run.
  bool HasQueuedRequests() const { return policy_ && policy_->CurrentLoad().queued_work_ms > 0; }
  bool draining() const { return draining_; }
  // Whether this process takes clients.
  bool ready() const { return Ready(); }
  // Takes part in the loop from now on, behind those that were added before, until RemoveExtension(). Not to
  // be called from within its own calls.
  void AddExtension(NodeExtension& extension) { extensions_.push_back(&extension); }
  void RemoveExtension(const NodeExtension& extension) { std::erase(extensions_, &extension); }
  const std::string& name() const { return config_.name; }
  const hingelink::Settings& settings() const { return config_.settings; }

  std::uint16_t port() const { return front_->port(); }
  std::uint16_t admin_port() const { return admin_server_->port(); }

 private:
  using Steady = net::Steady;

  // Descriptors kept from the gateways: the pool link, the registry, the log, epoll, and what is closing.
  static constexpr std::size_t kReservedDescriptors = 32;

  // Descriptors that are not the gateways': a loop has its epoll, its timer and its wake; the store its
  // connections.
  std::size_t ReservedDescriptors() const {
    const std::size_t store = config_.store_address.empty() ? 0
                                                            : decide::kMaxUpstreamConnections +
                                                                  net::StoreClient::kMaxRetiringConnections;
    return kReservedDescriptors + 3 * loops() + store;
  }
  std::size_t loops() const { return threads_ - 1; }  // Those that carry connections, beside this one.
  std::unique_ptr<net::GatewayFrontEnd> CreateFront();
  void HandleRequest(const IncomingRequest& request);
  void Step();
  void ExecuteAction(const hingelink::Action& action);
  void FireTimers(std::vector<hingelink::Event>& events);
  void ArmTimers();
  void OnPoolConnected(bool warming_up);
  void DrainStep();
  // Whether this process takes clients.
  bool Ready() const { return listening_ && policy_ && !draining_ && handover_.takeover_complete(); }
  // Another process takes the clients from now on, or none does any more.
  void HandOverToSuccessor();
  void ResumeServing();
  // What the other processes of this node have in hand has changed.
  void OnSiblingLoadChanged();
  // What is known of their keys has changed; a key of this process has; another tells of one of its own.
  void UpdateSiblingKeys();
  void ReportKeys(const net::Handover::KeyVisitor& each) const;
  void ReportKey(const core::IdempotencyKey& key);
  void OnKeyReported(const proto::KeyMessage& line, std::string_view result);
  std::string MetricsText() const;
  void NotifyLifecyclePhase(NodeExtension::LifecyclePhase phase);
  // Whether an extension has events for the policy.
  bool AnyExtensionHasEvents() const;
  // What a predecessor has learned is newer than what any folder holds.
  std::vector<proto::LearnedClassMessage> LearnedForSuccessor() const;
  void OnPredecessorLearned(const proto::LearnedClassMessage& line);
  Millis Clock() const { return Steady::now() - started_at_; }

  Config config_;
  std::function<Config()> reread_;
  const std::size_t threads_;
  net::BasePtr base_;
  Steady::time_point started_at_ = Steady::now();
  Metrics metrics_;
  // The other processes of this node, as a part that joins the loop: their load in, this one's out.
  class SiblingProcesses : public NodeExtension {
   public:
    explicit SiblingProcesses(Node& node) : node_(node) {}
    void Changed() { changed_ = true; }
    bool HasPendingEvents() const override { return changed_; }
    void AddEvents(EventBatch& batch) override;
    void OnStepCompleted() override;
    void OnRoundCompleted() override { node_.handover_.Sweep(); }

   private:
    Node& node_;
    bool changed_ = false;
    Steady::time_point reported_at_{};
  };

  std::unique_ptr<net::WorkerPool> CreatePool(const WorkerPoolFactory& create_pool);
  // What the table's runs stand on.
  UpstreamCalls::Links UpstreamLinks();
  void ConnectStore(const std::string& address);
  KeyTable::Limits KeyLimits() const;

  SiblingProcesses sibling_processes_{*this};
  std::vector<NodeExtension*> extensions_{&sibling_processes_};
  net::Handover handover_;
  std::unique_ptr<net::GatewayFrontEnd> front_;
  RequestTable table_;
  std::unique_ptr<net::WorkerPool> pool_;
  std::optional<net::StoreClient> store_;
  DeepChecks checks_;
  net::RegistryClient registry_;
  std::optional<net::OpsServer> admin_server_;
  std::optional<hingelink::ServerPolicy> policy_;
  hingelink::Learned imported_;
  using Due = std::pair<Steady::time_point, std::uint32_t>;
  std::priority_queue<Due, std::vector<Due>, std::greater<>> timers_;
  net::Timer timer_;
  net::Timer gauge_timer_;
  bool step_due_ = false;
  net::EventPtr sigterm_;
  net::EventPtr sigint_;
  net::EventPtr sighup_;
  bool draining_ = false;
  bool notice_given_ = false;
  bool listening_;
  bool handed_over_ = false;
  bool stopped_ = false;  // The module has had its last say.
  Steady::time_point kill_at_{};
  net::Timer drain_timer_;
};

}  // namespace hingelink::node

#endif  // HINGELINK_NODE_NODE_H_
