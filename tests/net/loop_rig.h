// Connections on several loops with the decisions played by the test, on the deciding thread of a stand-in
// host.
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

class Rig {
 public:
  explicit Rig(std::size_t loops, std::size_t most = 1000, double min_gap_cores = 0.1) {
    host.Do([&] {
      LoopGroup::Options options;
      options.loops = loops;
      options.max_connections = most;
      options.balancer.min_gap_cores = min_gap_cores;
      options.classes = [this](std::size_t loop) { return Table(loop); };
      options.class_counts = [this](std::string_view kind, std::size_t loop) {
        return kind == "order-lodge" ? counts_[loop] : nullptr;
      };
      for (std::size_t i = 0; i < loops; ++i) {
        counts_.push_back(std::make_shared<core::ClassCounts>(core::ClassCounts{.name = "order-lodge"}));
      }
      core::FrontEndEvents events;
      events.request = [this](const core::IncomingRequest& request) { Take(request); };
      events.disconnected = [this](core::StreamAddress from) {
        ++gone;
        std::erase_if(held, [from](const auto& entry) { return entry.first == from; });
      };
      group = std::make_unique<LoopGroup>(host.base(), ParseAddress("127.0.0.1:0"), Descriptor(),
                                          std::move(options), std::move(events));
      // The node does this after each round of its loop.
      sweep_ = std::make_unique<Timer>(host.base(), [this] {
        group->Sweep();
        sweep_->Start(500us);
      });
      sweep_->Start(500us);
      port = group->port();
    });
  }
  ~Rig() {
    host.Do([this] {
      sweep_.reset();
      group.reset();
    });
  }

  // On the deciding thread.
  void Do(const std::function<void()>& work) { host.Do(work); }
  bool Await(const std::function<bool()>& holds) {
    const auto until = Steady::now() + 40s;
    for (;;) {
      bool good = false;
      Do([&] { good = holds(); });
      if (good || Steady::now() > until) return good;
      std::this_thread::sleep_for(1ms);
    }
  }
  std::vector<LoopGroup::LoopStats> Loops() {
    std::vector<LoopGroup::LoopStats> looks;
    Do([&] { looks = group->Loops(); });
    return looks;
  }
  // The loop stops in the middle of a step until the gate opens: what it lets go of waits there.
  void Hang(std::size_t loop, Gate& gate) {
    Do([&] {
      hang_ = loop;
      gate_ = &gate;
      group->ClassesChanged();
      hang_.reset();
      group->ClassesChanged();  // Replaces the table whose end waits.
    });
    gate.AwaitWaiter();
  }
  void AnswerAll() {
    Do([this] {
      for (const auto& [to, body] : std::exchange(held, {})) group->Deliver(to, core::Served(body));
    });
  }
  std::uint64_t refused() const {
    std::uint64_t sum = 0;
    for (const auto& one : counts_) sum += one->rejected;
    return sum;
  }
  std::uint64_t counted() const {
    std::uint64_t sum = 0;
    for (const auto& one : counts_) sum += one->served;
    return sum;
  }

  standin::Host host;
  std::unique_ptr<LoopGroup> group;
  std::uint16_t port = 0;
  // ---- Of the deciding thread ----
  bool hold = false;  // Requests are answered when told, not at once.
  std::vector<std::pair<core::StreamAddress, std::string>> held;
  std::vector<core::StreamAddress> came;
  int gone = 0;
  bool dropped = false;  // The class is no more.

 private:
  ClassTablePtr Table(std::size_t loop) {
    auto* table = new ClassTable;
    if (!dropped) table->emplace("order-lodge", counts_[loop]);
    Gate* gate = hang_ == loop ? gate_ : nullptr;
    return ClassTablePtr(table, [gate](const ClassTable* old) {
      if (gate != nullptr) gate->Wait();
      delete old;
    });
  }
  void Take(const core::IncomingRequest& request) {
    came.push_back(request.reply_to);
    if (dropped) {
      group->Deliver(request.reply_to, core::Rejected());
    } else if (hold) {
      held.emplace_back(request.reply_to, std::string(request.body));
    } else {
      group->Deliver(request.reply_to, core::Served(request.body));
    }
  }

  std::vector<core::ClassCountsPtr> counts_;
  std::optional<std::size_t> hang_;
  Gate* gate_ = nullptr;
  std::unique_ptr<Timer> sweep_;
};

inline std::string Req(std::uint64_t number) {
  char text[17];
  std::snprintf(text, sizeof text, "%016lx", static_cast<unsigned long>(number + 1));
  return text;
}
inline std::string Request(std::uint32_t stream, std::uint64_t number) {
  return Gateway::Request(stream, Req(number), "body " + std::to_string(number));
}

}  // namespace hingelink::net

#endif  // HINGELINK_TESTS_NET_LOOP_RIG_H_
