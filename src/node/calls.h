// The calls below that runs stand at: what the worker pool asked for, what the store said, and what the pool
// has been told of it, across links to either that break.
//
// States of a run's stand: waits (for the module's word) -> calls -> supplied | waits again; waits -> passed.
// A supply or a pass that the pool may not have read is sent again once its link has settled, and no call is
// made a second time for it. What is told again is the same reply to the same notice.
//
// Bounds: one stand for each run, with the call's body while it may still be made, and the reply until the
// run moves on; each at most proto::kMostResult bytes.
#ifndef HINGELINK_NODE_CALLS_H_
#define HINGELINK_NODE_CALLS_H_

#include <absl/container/flat_hash_map.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "hingelink/server_policy.h"

namespace hingelink::node {

class Calls {
 public:
  using Mark = std::uint64_t;
  using Millis = std::chrono::duration<double, std::milli>;
  // What lies below; each as net::PoolSide and net::StoreClient have it.
  struct Below {
    std::function<Mark(std::uint64_t req, std::string_view reply)> supply;
    std::function<Mark(std::uint64_t req, std::uint64_t notice)> pass;
    // False where there is no store: the call is proven not to run.
    std::function<bool(std::uint64_t req, Millis limit, std::string_view body)> call;
    std::function<void(std::uint64_t req)> drop;
  };
  explicit Calls(Below below) : below_(std::move(below)) {}

  // A run stands at a call. A stand of it before this one is over.
  void Blocked(std::uint64_t req, std::uint64_t notice, std::string_view body);
  // Makes the call. False where it cannot be made, and never ran.
  bool Make(std::uint64_t req, Millis limit);
  // Its call has ended. False where none was out.
  bool Ended(std::uint64_t req, hingelink::Outcome outcome, std::string_view reply);
  // Goes on without the call.
  void Pass(std::uint64_t req);
  // The run is over; a call that is still out is given up.
  void Over(std::uint64_t req);
  // The pool's link has settled: tells again what it may not have read.
  void Resend(const std::function<bool(Mark)>& processed);

  std::size_t standing() const { return stands_.size(); }
  std::size_t out() const { return out_; }

 private:
  enum class State { kWaits, kCalls, kSupplied, kPassed };
  struct Stand {
    State state = State::kWaits;
    std::uint64_t notice = 0;
    std::string text;  // The call's body; once it was supplied, the reply.
    Mark mark = 0;
  };
  void Send(std::uint64_t req, Stand& stand);

  Below below_;
  absl::flat_hash_map<std::uint64_t, Stand> stands_;
  std::size_t out_ = 0;
};

}  // namespace hingelink::node

#endif  // HINGELINK_NODE_CALLS_H_
