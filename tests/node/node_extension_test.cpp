// Tests of node extensions: when the loop calls them and which budget they get.
#include "node/node_extension.h"

#include <gtest/gtest.h>

#include <atomic>
#include <optional>
#include <thread>

#include "net/event.h"
#include "scripted_peers.h"

namespace hingelink::node {
namespace {

// The event budget of a batch with requests.
constexpr std::size_t kBudgetWithRequests = 8;

// Has `events` events for the policy, either at once or after the first request.
class EventSource : public NodeExtension {
 public:
  explicit EventSource(std::size_t events, bool after_a_request)
      : remaining_(events), waits_(after_a_request) {}

  bool HasPendingEvents() const override { return !waits_ && remaining_ > 0; }
  void AddEvents(EventBatch& batch) override {
    if (batch.budget().events == kBudgetWithRequests) waits_ = false;
    if (waits_) return;
    std::size_t added = 0;
    while (remaining_ > 0 && batch.Add(hingelink::SiblingLoad{})) {
      --remaining_;
      ++added;
    }
    if (added > 0) batch_sizes_.push_back(added);
  }
  void OnStepCompleted() override { ++steps_; }
  void OnLifecyclePhase(LifecyclePhase phase) override {
    drains_ += phase == LifecyclePhase::kDraining ? 1 : 0;
  }
  std::string MetricsText() const override { return "events_remaining " + std::to_string(remaining_) + "\n"; }

  std::vector<std::size_t> batch_sizes_;
  std::size_t remaining_;
  bool waits_;
  int steps_ = 0, drains_ = 0;
};

// A node with the extension `source`.
class NodeSetup {
 public:
  explicit NodeSetup(EventSource& source, bool remove = false)
      : json_(peers::RunningNode::Json(pool_, registry_, 600, 1024)),
        node_(ParseConfig(json_), [this] { return ParseConfig(json_); }) {
    node_.AddExtension(source);
    if (remove) node_.RemoveExtension(source);
    thread_ = std::thread([this] { node_.Run(); });
  }
  ~NodeSetup() { Drain(); }
  void Drain() {
    if (!thread_.joinable()) return;
    EXPECT_EQ(kill(getpid(), SIGTERM), 0);
    thread_.join();
  }
  std::string MetricsText() { return peers::Get(node_.admin_port(), "/ops/stats"); }
  void AwaitReady() {
    while (!peers::Get(node_.admin_port(), "/ops/readiness").starts_with("HTTP/1.1 200 ")) {
    }
  }
  // Called before Drain(), since the drain notice would be another event in the batch.
  void AwaitAllEventsAdded() {
    while (MetricsText().find("events_remaining 0") == std::string::npos) {
    }
  }
  Node& node() { return node_; }
  peers::Listener& pool() { return pool_; }

 private:
  peers::Listener pool_, registry_;
  std::string json_;
  Node node_;
  std::thread thread_;
};

TEST(NodeExtension, PendingEventsAreAddedInBoundedBatches) {
  EventSource source(150, false);
  NodeSetup setup(source);
  // The policy does not exist before the worker pool has connected.
  EXPECT_NE(setup.MetricsText().find("events_remaining 150"), std::string::npos);
  peers::PoolLink link(setup.pool(), 0);
  link.SendBound();
  setup.AwaitAllEventsAdded();
  setup.Drain();
  // The first batch also contains the SiblingLoad event of the built-in extension, which is called earlier.
  EXPECT_EQ(source.batch_sizes_, (std::vector<std::size_t>{63, 64, 23}));
  EXPECT_EQ(source.drains_, 1);
}

TEST(NodeExtension, BatchWithRequestsHasASmallerBudget) {
  EventSource source(100, true);
  NodeSetup setup(source);
  peers::PoolLink link(setup.pool(), 0);
  link.SendBound();
  setup.AwaitReady();
  peers::Gateway gateway(setup.node().port());
  gateway.Write(peers::Gateway::Request(1, "00000000000000a1", "x", {}));
  setup.AwaitAllEventsAdded();
  setup.Drain();
  EXPECT_EQ(source.batch_sizes_, (std::vector<std::size_t>{8, 64, 28}));
}

TEST(NodeExtension, RemovedExtensionIsNotCalled) {
  EventSource source(10, false);
  {
    NodeSetup setup(source, true);
    peers::PoolLink link(setup.pool(), 0);
    link.SendBound();
    setup.AwaitReady();
  }
  EXPECT_EQ(source.steps_ + source.drains_, 0);
  EXPECT_TRUE(source.batch_sizes_.empty());
}

}  // namespace
}  // namespace hingelink::node
