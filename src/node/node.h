// The portal node: connects the gateways, the worker pool and the server policy in one event loop.
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

// One portal node process. The methods must be called on the thread that calls Run().
class Node {
 public:
  using WorkerPoolFactory = std::function<std::unique_ptr<net::WorkerPool>(
      event_base* base, const std::string& name, net::PoolEvents events, net::PoolGroupCallbacks callbacks)>;
  // Opens the listening sockets and starts to connect to the peers. Throws if an address is invalid or a
  // socket cannot be opened.
  // - `load_config` reads the configuration again for a reload; throws if the configuration is invalid.
  // - `handover_folder`: the processes of one node that share this directory hand over the clients to each
  //   other. Empty: no handover.
  // - `threads`: with more than one, the thread that calls Run() makes all decisions, and each other thread
  //   runs an event loop that carries gateway connections.
  // - `create_pool` creates the worker pool. Without it, the node connects to the pool in its configuration.
  Node(Config config, std::function<Config()> load_config, const std::string& handover_folder = {},
       std::size_t threads = 1, const WorkerPoolFactory& create_pool = {});
  ~Node();
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

  // Pins the calling thread to the CPUs `cpus[0]` and the event loop i to `cpus[i + 1]`. Must be called
  // before Run(), on the thread that calls Run().
  void BindThreads(const std::vector<std::vector<unsigned>>& cpus);
  // Sets the learned state of an earlier process, from which the policy starts. Must be called before Run().
  void ImportLearned(const hingelink::Learned& learned);
  // Serves until a drain or a handover is complete.
  void Run();

  // ---- For the control server, the background jobs and the fleet: called from callbacks on base() ----
  event_base* base() const { return base_.get(); }
  Snapshot TakeSnapshot() const;
  std::vector<LoopSnapshot> TakeLoopSnapshots() const;
  // Describes at most `max_connections` gateway connections.
  std::vector<ConnectionSnapshot> TakeConnectionSnapshots(std::size_t max_connections) const;
  // Starts the drain, as SIGTERM does. Returns false if the drain has already started.
  bool StartDrain();
  // Reloads the configuration, as SIGHUP does. Returns the error message, or an empty text on success.
  std::string Reload();

  // The learned state of the policy; empty before the worker pool has connected.
  hingelink::Learned ExportLearned() const {
    return policy_ ? policy_->ExportLearned() : hingelink::Learned{};
  }
  // Whether requests wait for a start.
  bool HasQueuedRequests() const { return policy_ && policy_->CurrentLoad().queued_work_ms > 0; }
  bool draining() const { return draining_; }
  // Whether this process accepts clients.
  bool ready() const { return Ready(); }
  // Calls `extension` in each round of the loop, after the extensions added earlier, until RemoveExtension().
  // The node doesn't own it. Neither method may be called from a method of an extension.
  void AddExtension(NodeExtension& extension) { extensions_.push_back(&extension); }
  void RemoveExtension(const NodeExtension& extension) { std::erase(extensions_, &extension); }
  const std::string& name() const { return config_.name; }
  const hingelink::Settings& settings() const { return config_.settings; }

  std::uint16_t port() const { return front_->port(); }
  std::uint16_t admin_port() const { return admin_server_->port(); }

 private:
  using Steady = net::Steady;

  // Descriptors reserved for the pool link, the registry, the log, epoll, and sockets that are closing.
  static constexpr std::size_t kReservedDescriptors = 32;

  // Number of descriptors that gateway connections must not use: kReservedDescriptors, three for each loop
  // (epoll, its timer and its wake-up descriptor), and one for each connection of the store client.
  std::size_t ReservedDescriptors() const {
    const std::size_t store = config_.store_address.empty() ? 0
                                                            : decide::kMaxUpstreamConnections +
                                                                  net::StoreClient::kMaxRetiringConnections;
    return kReservedDescriptors + 3 * loops() + store;
  }
  // Event loops that carry connections, without the loop of the deciding thread.
  std::size_t loops() const { return threads_ - 1; }
  std::unique_ptr<net::GatewayFrontEnd> CreateFront();
  void HandleRequest(const IncomingRequest& request);
  void Step();
  void ExecuteAction(const hingelink::Action& action);
  void FireTimers(std::vector<hingelink::Event>& events);
  void ArmTimers();
  void OnPoolConnected(bool warming_up);
  void DrainStep();
  // Whether a successor serves the clients, nothing is in flight here, and the successor has been sent all
  // keys or reads nothing for too long.
  bool MayExitAfterHandover();
  // When this process stops waiting for siblings that have not read its last messages. Requires
  // sibling_read_deadline_.
  Steady::time_point SiblingDeadline() const;
  // Whether this process accepts clients.
  bool Ready() const { return listening_ && policy_ && !draining_ && handover_.takeover_complete(); }
  // Takes over the clients from the predecessor, if there is one.
  void StartServing();
  // This process, which does not serve yet, has another predecessor.
  void OnPredecessorChanged(net::Descriptor listener);
  // The successor is ready: stops accepting clients. `own_listener`: the successor does not share the
  // listener.
  void HandOverToSuccessor(bool own_listener);
  // The successor has crashed or has given the clients back: accepts clients again.
  void ResumeServing();
  // The successor has received the drain notice of the node: requests that arrive later than the grace period
  // are not executed here either.
  void OnSuccessorDraining();
  // The successor has ended on purpose: this process never accepts clients again.
  void OnSuccessorExited();
  // The load or the number of the sibling processes, or the descriptor limit, has changed.
  void OnSiblingLoadChanged();
  // Tells the request table whether the idempotency keys of the siblings are known.
  void UpdateSiblingKeys();
  // To be called when a sibling has ended without having reported all its keys. Until no caller repeats a
  // request that the sibling may have executed, keys without a record in this process are not executed.
  void OnSiblingKeysLost();
  // Calls `each` for every idempotency key that this process retains.
  void ReportKeys(const net::Handover::KeyVisitor& each) const;
  // Sends the state of a key to the successor, if there is one.
  void ReportKey(const core::IdempotencyKey& key);
  // The predecessor has sent the state of one of its keys.
  void OnKeyReported(const proto::KeyMessage& line, std::string_view result);
  // The predecessor has started an attempt.
  void OnAttemptReported(std::uint64_t attempt_id);
  std::string MetricsText() const;
  void NotifyLifecyclePhase(NodeExtension::LifecyclePhase phase);
  bool AnyExtensionHasEvents() const;
  // The learned state is passed from a process to its successor, since the state stored in files is older.
  std::vector<proto::LearnedClassMessage> LearnedForSuccessor() const;
  void OnPredecessorLearned(const proto::LearnedClassMessage& line);
  Millis Clock() const { return Steady::now() - started_at_; }

  Config config_;
  std::function<Config()> load_config_;
  const std::size_t threads_;
  net::BasePtr base_;
  Steady::time_point started_at_ = Steady::now();
  Metrics metrics_;
  // Passes the load of the sibling processes to the policy and reports the load of this process to them.
  class SiblingProcesses : public NodeExtension {
   public:
    explicit SiblingProcesses(Node& node) : node_(node) {}
    void MarkLoadChanged() { load_changed_ = true; }
    bool HasPendingEvents() const override { return load_changed_; }
    void AddEvents(EventBatch& batch) override;
    void OnStepCompleted() override;
    void OnRoundCompleted() override { node_.handover_.Sweep(); }

   private:
    Node& node_;
    bool load_changed_ = false;
    Steady::time_point reported_at_{};
  };

  std::unique_ptr<net::WorkerPool> CreatePool(const WorkerPoolFactory& create_pool);
  // The functions by which the request table makes upstream calls.
  UpstreamCalls::Links UpstreamLinks();
  void ConnectStore(const std::string& address);
  KeyTable::Limits KeyLimits() const;
  // Limit of the bytes that all gateway connections together hold.
  std::size_t BufferLimit() const;
  // The time after its arrival within which each request is due to be answered at the latest.
  Steady::duration AnswerDelayLimit() const;

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
  // The learned state that the policy starts from.
  hingelink::Learned imported_;
  // The expiry of a policy timer and its token.
  using PolicyTimer = std::pair<Steady::time_point, std::uint32_t>;
  std::priority_queue<PolicyTimer, std::vector<PolicyTimer>, std::greater<>> timers_;
  net::Timer timer_;
  net::Timer gauge_timer_;
  bool step_requested_ = false;
  net::EventPtr sigterm_;
  net::EventPtr sigint_;
  net::EventPtr sighup_;
  bool draining_ = false;
  // Set while the policy has yet to receive a DrainNotice: when it must have answered all requests.
  std::optional<Steady::time_point> pending_drain_notice_;
  bool listening_;
  bool handed_over_ = false;
  // A sibling ended without having reported all keys that it executed. They are unknown until the timer
  // expires.
  bool sibling_keys_lost_ = false;
  net::Timer sibling_keys_timer_;
  bool stopped_ = false;  // The policy is no longer called; new requests are rejected.
  // When the supervisor kills the process at the latest; set by StartDrain().
  Steady::time_point kill_at_{};
  // When the wait for siblings to read the last messages ends; set once nothing else is left to do.
  std::optional<Steady::time_point> sibling_read_deadline_;
  net::Timer drain_timer_;
};

}  // namespace hingelink::node

#endif  // HINGELINK_NODE_NODE_H_
