// A stand-in of the platform's worker pool: its side of the protocol page, on one or more addresses.
//
// Each address numbers its own notices and keeps the last 4,000; each new link replaces the one before; runs
// go on without a link. The cores are those of core_model.h and shared by all addresses. A run's work is what
// its body asks for (see WorkBody), and its result can be told from any other's (see ResultOf).
#ifndef HINGELINK_STANDIN_POOL_H_
#define HINGELINK_STANDIN_POOL_H_

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "net/event.h"
#include "standin/core_model.h"

namespace hingelink::standin {

// What a body may ask for beside work.
struct Extras {
  int calls = 0;      // Made one after the other, between even parts of the work.
  bool once = false;  // A run of this body is to happen once at a pool, and so are its calls.
  // Length of the result, if it is longer than what identifies the request.
  std::size_t result_bytes = 0;
};
// The body of a request that asks for so much work, on one standard core. `filler` makes it differ.
std::string WorkBody(Millis work, std::string_view filler, const Extras& extras = {});
// The body of the call that a run makes as its `nth`, from 1 on.
std::string CallBody(std::uint64_t req, int nth, bool once);
// What a run of this request gives: changes with the id and with each byte of the body.
std::string ResultOf(std::uint64_t req, std::string_view body);

// Something that goes wrong at a time since the start. Times are relative to the stand-in's own start.
struct PoolFault {
  enum class Kind {
    kBreakLinks,  // All links end; commands of the last 50 ms that no answer has followed are lost.
    kHang,        // For `lasts`, nothing is read or told, and the cores stand still.
    kSlow,        // For `lasts`, work is `factor` times slower.
    kErrors,      // For `lasts`, each run ends with an error.
    kRemark,      // A remark of `factor` bytes on each link.
  };
  Kind kind = Kind::kBreakLinks;
  Millis at{0};
  Millis lasts{0};
  double factor = 1;
};

struct PoolOptions {
  std::vector<std::string> listen = {"127.0.0.1:0"};  // An address for each process of the node.
  Cores cores{};
  Millis default_work{20};             // Of a body that asks for none.
  Millis up_after{0};                  // Links are accepted before, but not bound.
  int cold_calls = 0;                  // A run begun while the cores are cold makes so many calls more.
  std::vector<std::string> classes{};  // Others are `unknown`. Empty: any class is good.
  std::vector<PoolFault> faults{};
  // A run that stands at a call for longer ends there (`cancelled`): its request is taken for over.
  Millis call_patience{15'000};
};

// Counted by the stand-in itself.
struct PoolCounts {
  std::uint64_t links = 0;
  std::uint64_t spawns = 0;     // Commands read.
  std::uint64_t started = 0;    // Runs begun.
  std::uint64_t repeated = 0;   // Spawns of what ran or had run: nothing was started.
  std::uint64_t swallowed = 0;  // Runs undone by a link that broke.
  std::uint64_t complete = 0;
  std::uint64_t errors = 0;
  std::uint64_t bad_commands = 0;
  std::uint64_t most_running = 0;
  std::uint64_t blocked = 0, supplied = 0, passed = 0, cancelled = 0, verified = 0;
  std::uint64_t wrong_replies = 0;  // Supplied with what the store did not say to this call.
  std::uint64_t bad_passes = 0;     // For a notice that is not the one the run stands at.
  std::uint64_t run_twice = 0;      // Bodies that are to run once, begun again.
  Millis work_done{0};              // Of the complete runs.
};

class Pool {
 public:
  // Listens at once. Throws where it cannot.
  Pool(event_base* base, const PoolOptions& options);
  ~Pool();

  std::string address(std::size_t place = 0) const;
  const PoolCounts& counts() const { return counts_; }
  std::size_t running() const { return cores_.running(); }
  // What became of a run. kNone: it was never started, or its end lies too far back to be known.
  enum class RunState : std::uint8_t { kNone, kRunning, kEnded };
  RunState StateOf(std::uint64_t request_id) const;
  // Carries out a fault now.
  void Cause(const PoolFault& fault);

 private:
  struct Place;
  class Link;
  struct Run {
    Place* place = nullptr;
    std::string body;
    Millis work{0};
    Millis since{0};
    std::uint64_t command = 0;  // In the order of its link's commands.
    Extras asks;
    int calls_made = 0;
    std::uint64_t stands_at = 0;  // The notice of the call that it waits for; 0: it works.
    Millis stood_since{0};
    Millis moved_on{0};  // The last supply or pass, and its place among the commands.
    std::uint64_t moved_by = 0;
    std::uint64_t moved_from = 0;  // The notice it stood at.
  };

  void Accept(Place& place, evutil_socket_t fd);
  bool Command(Link& link, std::string_view line);
  void Spawn(Place& place, std::uint64_t req, std::string body, std::uint64_t command);
  std::uint64_t Tell(Place& place, std::string_view what, std::string notice);
  void Block(std::uint64_t req, Run& run);
  // False where no run waits for it.
  bool GoOn(std::uint64_t req, std::uint64_t command);
  bool Supply(std::uint64_t req, std::string_view reply, std::uint64_t command);
  bool Pass(std::uint64_t req, std::uint64_t notice, std::uint64_t command);
  void SeeStanding();
  void EndRuns();
  void Arm();
  void BreakLinks();
  void Up();
  Millis Now() const { return net::Steady::now() - began_; }

  event_base* base_;
  PoolOptions options_;
  net::Steady::time_point began_ = net::Steady::now();
  CoreModel cores_;
  std::vector<std::unique_ptr<Place>> places_;
  std::unordered_map<std::uint64_t, Run> runs_;
  std::deque<std::uint64_t> over_order_;  // Ids whose runs are over, oldest first.
  std::unordered_map<std::uint64_t, bool> over_;
  std::unordered_map<std::uint64_t, int> once_;  // By a hash of the body: begun so often.
  std::unordered_map<std::uint64_t, std::pair<Place*, std::string>> checks_;  // Deep checks, with their tags.
  std::uint64_t last_check_ = 0;
  net::Timer next_end_;
  net::Timer standing_;
  net::Timer up_;
  std::vector<std::unique_ptr<net::Timer>> script_;
  bool hangs_ = false;
  bool errors_ = false;
  PoolCounts counts_;
};

}  // namespace hingelink::standin

#endif  // HINGELINK_STANDIN_POOL_H_
