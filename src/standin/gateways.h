// Stand-ins of gateways: an open loop of requests over frames, and an account of what became of each.
//
// Arrivals follow a schedule drawn from the seed and never wait for answers; how far the sender fell behind
// it is reported. The account rests on what this side sent and read alone.
#ifndef HINGELINK_STANDIN_GATEWAYS_H_
#define HINGELINK_STANDIN_GATEWAYS_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "net/event.h"
#include "standin/core_model.h"

namespace hingelink::standin {

struct ClassLoad {
  std::string name;
  double share = 1;     // Of the arrivals, beside the other classes'.
  Millis work{20};      // Mean, on a standard core; log-normal.
  double spread = 0.7;  // Standard deviation over mean.
  Millis timeout{2000};
  double need_kb = 10;
  bool repeats = true;  // A failed try may be sent again; a refused one always may.
  // Tries carry a key. One that may have run is followed by the next at the same node, and any try's result
  // is good.
  bool keyed = false;
  int calls = 0;  // That a run makes to the store.
};

struct TenantLoad {
  std::string name;
  double share = 1;  // Of the arrivals, beside the other tenants'.
};

// How an attempt ended, other than by its caller's own doing.
enum class AttemptOutcome : std::uint8_t {
  kServed,
  kRefused,
  kFailed,
  kUnanswered,  // No answer came in its time.
  kLost,        // Its connection ended with no answer.
};

// An attempt at its end. Times are those of the steady clock.
struct AttemptReport {
  AttemptOutcome outcome = AttemptOutcome::kServed;
  std::uint64_t request_id = 0;
  std::string class_name;
  std::size_t target = 0;
  std::uint64_t connection = 0;  // 0 if the connection has ended.
  bool connected = false;        // Whether the connection was established.
  std::size_t unread_bytes = 0;  // That have arrived on the connection and were not read.
  net::Steady::time_point sent{}, due{}, ended{};
};

struct GatewaysOptions {
  std::vector<std::string> targets;  // A gateway's list of nodes, tried in turn.
  int gateways = 3;
  int most_connections = 64;  // Of each gateway.
  std::vector<ClassLoad> classes;
  std::vector<TenantLoad> tenants;  // None: no tenant is told.
  bool tells_wait = true;           // Whether requests say how long their caller waits.
  double rate = 50;                 // First tries a second, of all gateways together.
  Millis length{0};                 // Arrivals end after this; 0: they go on until Stop().
  int retries = 0;                  // Further tries of one request.
  Millis slack{100};                // Past the time of an attempt, before it counts as unanswered or late.
  double heeds = 1;                 // Share of gateways that heed holdoff, nomore and signal.
  double leaves = 0;  // Share of requests whose caller gives up early (type 2); a keyed one tries again.
  Millis leaves_within{0};  // ... within this time of the send; 0: of its whole time.
  // What gateways that heed make of the free value.
  enum class Signal {
    kIgnored,
    kWindow,             // At most so many open at this node.
    kThreshold,          // Nothing is sent there whose rank is under it.
    kAcceptProbability,  // The chance that a request that would go there does.
  };
  Signal signal = Signal::kIgnored;
  double resets = 0;  // Share of answers at which the gateway's side resets the connection, with all on it.
  std::uint64_t seed = 1;
  // Tells its tries from those of all other runs; 0: drawn at the start. Guards against a node that takes a
  // second run with the same seed for repeats of the first, and fails them.
  std::uint64_t run = 0;
  // Share of gateways that send requests also on connections on which they were asked to send no more.
  double ignores_no_more = 0;
  // Called for each attempt when it ends as one of the outcomes.
  std::function<void(const AttemptReport& attempt)> on_attempt_ended;
};

struct ClassAccount {
  std::string name;
  std::uint64_t requests = 0;                         // First tries that came due.
  std::uint64_t tries = 0;                            // Frames written.
  std::uint64_t served = 0, refused = 0, failed = 0;  // Tries by answer.
  std::uint64_t left = 0;                             // Tries given up by their caller (type 2).
  std::uint64_t lost = 0;                             // Tries whose connection ended with no answer.
  std::uint64_t unanswered = 0;                       // No answer 100 ms after the time was over.
  std::uint64_t late = 0;                             // Answers past the time and 100 ms.
  std::uint64_t wrong = 0;                            // 'Served' with what no run made of this request.
  std::uint64_t twice = 0;                            // Second answers.
  std::uint64_t again = 0;                            // Served tries of what had been served.
  std::uint64_t cut = 0;                              // Tries whose connection this side reset.
  std::uint64_t not_sent = 0;            // No node could be reached, or advice kept the gateway away.
  std::uint64_t good = 0;                // Requests served in time by one of their tries.
  Millis work_asked{0}, work_served{0};  // Of requests, and of those served.
};

struct TenantAccount {
  std::string name;
  std::uint64_t requests = 0;  // First tries that came due.
  std::uint64_t good = 0;      // Served in time by one of their tries.
};

struct Account {
  std::vector<ClassAccount> classes;
  std::vector<TenantAccount> tenants;
  Millis worst_lag{0};        // Of a send behind its schedule.
  Millis worst_sweep_lag{0};  // Of the check for overdue attempts behind its schedule.
  std::vector<float> waits;   // Milliseconds to each answer 'served'; at most 1,000,000, then a fair sample.
  std::uint64_t connections = 0;
  std::uint64_t resent = 0;  // Requests that crossed a close.
  std::size_t open = 0;      // Tries that still wait.

  ClassAccount Sum() const;
  // Of the waits; 0 where there are none. `part` from 0 to 1.
  double Wait(double part) const;
};

class Gateways {
 public:
  Gateways(event_base* base, const GatewaysOptions& options);
  ~Gateways();

  // No further arrivals; what is open is waited for.
  void Stop();
  // From now on; the schedule goes on.
  void SetRate(double rate) { options_.rate = rate; }
  void SetTargets(std::vector<std::string> targets);
  // The same tenants with other shares of the arrivals.
  void SetTenants(const std::vector<TenantLoad>& tenants) { options_.tenants = tenants; }
  // The gateway at `place` starts anew: its connections are reset with all on them, and it knows nothing of
  // what nodes told it.
  void Restart(std::size_t place);
  std::size_t size() const { return gateways_.size(); }
  // All that arrived has been answered, left or given up.
  bool idle() const { return stopped_ && tries_.empty() && resting_ == 0; }
  const Account& account() const { return account_; }

 private:
  class Connection;
  struct Gateway;
  struct Request {
    int cls = 0;
    std::uint64_t number = 0;
    Millis work{0};
    std::string body;
    net::Steady::time_point due{};  // The caller's patience.
    int tries_left = 0;
    double rank = 0;
    std::set<std::size_t> refused_by;  // Targets that are not asked again.
    std::vector<std::uint64_t> reqs;   // Of its tries; the last few.
    std::optional<std::size_t> stays;  // Where a keyed one may have run.
    std::string key, owner;
    bool served = false;
  };
  struct Try {
    Gateway* gateway = nullptr;
    std::uint64_t connection = 0;
    std::uint32_t stream = 0;
    std::uint64_t req = 0;
    std::size_t target = 0;
    std::shared_ptr<Request> request;
    net::Steady::time_point sent{};
    net::Steady::time_point due{};
    net::Steady::time_point leaves{};  // Far off where the caller stays.
    bool resent = false;
  };

  void Arrive();
  std::string Owner();
  TenantAccount& OwnerAccount(const std::string& name);
  void Send(Gateway& gateway, std::shared_ptr<Request> request, bool resent = false);
  Connection* Choose(Gateway& gateway, std::size_t target);
  void Answered(Connection& connection, std::uint32_t stream, int code, std::string_view fields_and_body);
  void Lost(Connection& connection, bool in_order);
  bool MayGo(Gateway& gateway, std::size_t target, const Request& request);
  void Cut(Connection& connection);
  void Again(Gateway& gateway, const std::shared_ptr<Request>& request, Millis wait);
  void Sweep();
  // Reports an attempt that ends now to on_attempt_ended.
  void Report(const Try& attempt, AttemptOutcome outcome) const;

  event_base* base_;
  GatewaysOptions options_;
  std::mt19937_64 draw_, owner_draw_;
  net::Steady::time_point began_ = net::Steady::now();
  net::Steady::time_point next_{};
  net::Steady::time_point next_sweep_{};
  net::Timer arrival_;
  net::Timer sweep_;
  std::vector<std::unique_ptr<Gateway>> gateways_;
  std::unordered_map<std::uint64_t, Try> tries_;  // By req.
  std::uint64_t last_number_ = 0, last_connection_ = 0;
  std::uint64_t seen_waits_ = 0;
  std::size_t resting_ = 0;  // Requests whose next try waits for its time.
  std::vector<std::pair<net::Steady::time_point, std::function<void()>>> later_;
  bool stopped_ = false;
  Account account_;
};

}  // namespace hingelink::standin

#endif  // HINGELINK_STANDIN_GATEWAYS_H_
