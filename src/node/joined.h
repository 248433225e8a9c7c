// What joins the node's loop beside its own ends: processes of an upgrade, peers' news, shared limits, jobs.
//
// The loop gathers, steps and carries out. A joined part takes part in each of the three, on the loop's own
// thread, and never beside it: it keeps what it hears until it is asked. Nothing joined: nothing is called.
#ifndef HINGELINK_NODE_JOINED_H_
#define HINGELINK_NODE_JOINED_H_

#include <chrono>
#include <cstddef>
#include <string>
#include <utility>
#include <vector>

#include "hingelink/server_policy.h"

namespace hingelink::node {

// What a joined part may do in one batch. Requests go first: with any of them in the batch it is told less.
struct Allowance {
  std::size_t events = 0;             // For the module, at most.
  std::chrono::microseconds work{0};  // On the loop, in all of Gather(), about.
};

// One step's events, as a joined part may add to them.
class Batch {
 public:
  Batch(std::vector<hingelink::Event>& events, Allowance allowance)
      : events_(events), allowance_(allowance), most_(events.size() + allowance.events) {}

  const Allowance& allowance() const { return allowance_; }
  // False where the allowance is used up: the event stays with its owner, for the next batch.
  [[nodiscard]] bool Add(hingelink::Event event) {
    if (events_.size() >= most_) return false;
    events_.push_back(std::move(event));
    return true;
  }

 private:
  std::vector<hingelink::Event>& events_;
  Allowance allowance_;
  std::size_t most_;
};

class Joined {
 public:
  virtual ~Joined() = default;

  // Whether it has something for the module: a step is made for it, even if nothing else asks for one. To be
  // cheap: it is asked in each round of the loop. What does not fit into a batch keeps it true.
  virtual bool HasNews() const { return false; }
  // Before each step, behind what gateways and the worker pool told and before the timers.
  virtual void Gather(Batch& batch) { static_cast<void>(batch); }
  // Behind each step: its actions have been carried out.
  virtual void Stepped() {}
  // A turn of the node's life has come; kReloaded comes behind a file that was taken.
  enum class Turn { kLeaving, kHandedOver, kTakenBack, kReloaded };
  virtual void Turned(Turn turn) { static_cast<void>(turn); }
  // Between two rounds of the loop, never from within a callback.
  virtual void Sweep() {}
  // For the second address, in the Prometheus text format.
  virtual std::string Figures() const { return {}; }
};

}  // namespace hingelink::node

#endif  // HINGELINK_NODE_JOINED_H_
