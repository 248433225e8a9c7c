// Parts that join the node's loop: when they are asked, and for how much.
#include "node/node_extension.h"

#include <gtest/gtest.h>

#include <atomic>
#include <optional>
#include <thread>

#include "net/event.h"
#include "scripted_peers.h"

namespace hingelink::node {
namespace {

// What a batch with requests in it allows.
constexpr std::size_t kBesideRequests = 8;

// Has so many events for the module, from a request on or at once.
class News : public NodeExtension {
 public:
  explicit News(std::size_t events, bool behind_a_request) : left_(events), waits_(behind_a_request) {}

  bool HasPendingEvents() const override { return !waits_ && left_ > 0; }
  void AddEvents(EventBatch& batch) override {
    if (batch.budget().events == kBesideRequests) waits_ = false;
    if (waits_) return;
    std::size_t given = 0;
    while (left_ > 0 && batch.Add(hingelink::SiblingLoad{})) {
      --left_;
      ++given;
    }
    if (given > 0) given_.push_back(given);
  }
  void OnStepCompleted() override { ++steps_; }
  void OnLifecyclePhase(LifecyclePhase phase) override {
    leavings_ += phase == LifecyclePhase::kDraining ? 1 : 0;
  }
  std::string MetricsText() const override { return "news_left " + std::to_string(left_) + "\n"; }

  std::vector<std::size_t> given_;
  std::size_t left_;
  bool waits_;
  int steps_ = 0, leavings_ = 0;
};

// A node with `news`, and a worker pool that is up.
class Rig {
 public:
  explicit Rig(News& news, bool leaves = false)
      : json_(peers::RunningNode::Json(pool_, registry_, 600, 1024)),
        node_(ParseConfig(json_), [this] { return ParseConfig(json_); }) {
    node_.AddExtension(news);
    if (leaves) node_.RemoveExtension(news);
    thread_ = std::thread([this] { node_.Run(); });
  }
  ~Rig() { End(); }
  void End() {
    if (!thread_.joinable()) return;
    EXPECT_EQ(kill(getpid(), SIGTERM), 0);
    thread_.join();
  }
  std::string MetricsText() { return peers::Get(node_.admin_port(), "/ops/stats"); }
  void AwaitReady() {
    while (!peers::Get(node_.admin_port(), "/ops/readiness").starts_with("HTTP/1.1 200 ")) {
    }
  }
  // The notice to leave would be one more event beside the news.
  void AwaitAllTold() {
    while (MetricsText().find("news_left 0") == std::string::npos) {
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

TEST(NodeExtension, NewsIsToldByItselfInBatchesOfABound) {
  News news(150, false);
  Rig rig(news);
  // Nothing is decided before the worker pool is up.
  EXPECT_NE(rig.MetricsText().find("news_left 150"), std::string::npos);
  peers::PoolLink link(rig.pool(), 0);
  link.SendBound();
  rig.AwaitAllTold();
  rig.End();
  // The first batch also has the word on the other processes of this node, which extension before.
  EXPECT_EQ(news.given_, (std::vector<std::size_t>{63, 64, 23}));
  EXPECT_EQ(news.leavings_, 1);
}

TEST(NodeExtension, BesideRequestsLessIsTold) {
  News news(100, true);
  Rig rig(news);
  peers::PoolLink link(rig.pool(), 0);
  link.SendBound();
  rig.AwaitReady();
  peers::Gateway gateway(rig.node().port());
  gateway.Write(peers::Gateway::Request(1, "00000000000000a1", "x", {}));
  rig.AwaitAllTold();
  rig.End();
  EXPECT_EQ(news.given_, (std::vector<std::size_t>{8, 64, 28}));
}

TEST(NodeExtension, APartThatLeftIsAskedNoMore) {
  News news(10, false);
  {
    Rig rig(news, true);
    peers::PoolLink link(rig.pool(), 0);
    link.SendBound();
    rig.AwaitReady();
  }
  EXPECT_EQ(news.steps_ + news.leavings_, 0);
  EXPECT_TRUE(news.given_.empty());
}

}  // namespace
}  // namespace hingelink::node
