// A test fixture that runs a LoopGroup on the thread of a stand-in host. The test takes the place of the
// node's decisions.
#ifndef HINGELINK_TESTS_NET_LOOP_RIG_H_
#define HINGELINK_TESTS_NET_LOOP_RIG_H_

#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "../node/gate.h"
#include "../node/scripted_peers.h"
#include "net/loop_group.h"
#include "standin/host.h"

namespace hingelink::net {

using namespace std::chrono_literals;
using peers::Frame;
using peers::Gate;
using peers::Gateway;

// By default each request is answered at once with its own body. The public methods are called on the test's
// thread.
class Rig {
 public:
  explicit Rig(std::size_t loops, std::size_t max_connections = 1000, double min_gap_cores = 0.1) {
    host.Do([&] {
      LoopGroup::Options options;
      options.loops = loops;
      options.max_connections = max_connections;
      options.balancer.min_gap_cores = min_gap_cores;
      options.classes = [this](std::size_t loop) { return MakeClassTable(loop); };
      options.class_counts = [this](std::string_view class_name, std::size_t loop) {
        return class_name == "order-lodge" ? counts_[loop] : nullptr;
      };
      for (std::size_t i = 0; i < loops; ++i) {
        counts_.push_back(std::make_shared<core::ClassCounts>(core::ClassCounts{.name = "order-lodge"}));
      }
      core::FrontEndEvents events;
      events.request = [this](const core::IncomingRequest& request) { OnRequest(request); };
      events.disconnected = [this](core::StreamAddress from) {
        ++disconnected_count;
        std::erase_if(unanswered, [from](const auto& entry) { return entry.first == from; });
      };
      group = std::make_unique<LoopGroup>(host.base(), ParseAddress("127.0.0.1:0"), Descriptor(),
                                          std::move(options), std::move(events));
      // The node calls this after each iteration of its event loop.
      sweep_timer_ = std::make_unique<Timer>(host.base(), [this] {
        group->Sweep();
        sweep_timer_->Start(500us);
      });
      sweep_timer_->Start(500us);
      port = group->port();
    });
  }
  ~Rig() {
    host.Do([this] {
      sweep_timer_.reset();
      group.reset();
    });
  }

  // Runs `work` on the node thread and waits for it.
  void RunOnNodeThread(const std::function<void()>& work) { host.Do(work); }
  // Returns whether the condition holds within 40 s. It is evaluated on the node thread.
  bool Await(const std::function<bool()>& holds) {
    const auto until = Steady::now() + 40s;
    for (;;) {
      bool good = false;
      RunOnNodeThread([&] { good = holds(); });
      if (good || Steady::now() > until) return good;
      std::this_thread::sleep_for(1ms);
    }
  }
  std::vector<LoopGroup::LoopStats> Loops() {
    std::vector<LoopGroup::LoopStats> stats;
    RunOnNodeThread([&] { stats = group->Loops(); });
    return stats;
  }
  // Stalls a loop until the gate opens: the loop releases a class table whose deleter waits at the gate.
  // Returns once the loop is stalled.
  void StallLoop(std::size_t loop, Gate& gate) {
    RunOnNodeThread([&] {
      stalled_loop_ = loop;
      gate_ = &gate;
      group->ClassesChanged();
      stalled_loop_.reset();
      group->ClassesChanged();  // Replaces the table whose deleter waits.
    });
    gate.AwaitWaiter();
  }
  void AnswerAll() {
    RunOnNodeThread([this] {
      for (const auto& [to, body] : std::exchange(unanswered, {})) group->Deliver(to, core::Served(body));
    });
  }
  std::uint64_t rejected_count() const {
    std::uint64_t sum = 0;
    for (const auto& counts : counts_) sum += counts->rejected;
    return sum;
  }
  std::uint64_t served_count() const {
    std::uint64_t sum = 0;
    for (const auto& counts : counts_) sum += counts->served;
    return sum;
  }

  standin::Host host;
  std::unique_ptr<LoopGroup> group;
  std::uint16_t port = 0;
  // ---- Only used on the node thread ----
  bool hold_answers = false;  // Requests are answered by the test, not at once.
  // Requests with their bodies, while `hold_answers` is set.
  std::vector<std::pair<core::StreamAddress, std::string>> unanswered;
  std::vector<core::StreamAddress> received;  // Of all requests.
  int disconnected_count = 0;
  bool class_removed = false;  // The class "order-lodge" is not configured.

 private:
  ClassTablePtr MakeClassTable(std::size_t loop) {
    auto* table = new ClassTable;
    if (!class_removed) table->emplace("order-lodge", counts_[loop]);
    Gate* gate = stalled_loop_ == loop ? gate_ : nullptr;
    return ClassTablePtr(table, [gate](const ClassTable* replaced) {
      if (gate != nullptr) gate->Wait();
      delete replaced;
    });
  }
  void OnRequest(const core::IncomingRequest& request) {
    received.push_back(request.reply_to);
    if (class_removed) {
      group->Deliver(request.reply_to, core::Rejected());
    } else if (hold_answers) {
      unanswered.emplace_back(request.reply_to, std::string(request.body));
    } else {
      group->Deliver(request.reply_to, core::Served(request.body));
    }
  }

  std::vector<core::ClassCountsPtr> counts_;
  std::optional<std::size_t> stalled_loop_;
  Gate* gate_ = nullptr;
  std::unique_ptr<Timer> sweep_timer_;
};

inline std::string RequestId(std::uint64_t number) {
  char text[17];
  std::snprintf(text, sizeof text, "%016lx", static_cast<unsigned long>(number + 1));
  return text;
}
inline std::string Request(std::uint32_t stream, std::uint64_t number) {
  return Gateway::Request(stream, RequestId(number), "body " + std::to_string(number));
}

}  // namespace hingelink::net

#endif  // HINGELINK_TESTS_NET_LOOP_RIG_H_
