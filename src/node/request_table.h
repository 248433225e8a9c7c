// The one owner of each request's state and of its one final answer. It turns what the fronts and the worker
// pool tell into events for the module, and carries out the module's actions. It knows no protocol.
#ifndef HINGELINK_NODE_REQUEST_TABLE_H_
#define HINGELINK_NODE_REQUEST_TABLE_H_

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "core/front.h"
#include "hingelink/server_policy.h"
#include "node/metrics.h"

namespace hingelink::node {

// How a run ended, as the worker pool tells.
struct RunResult {
  std::uint64_t req = 0;
  hingelink::Outcome outcome = hingelink::Outcome::kError;
  Millis elapsed{0};
  std::string_view result;
};

class RequestTable {
 public:
  using Mark = std::uint64_t;
  using SteadyTime = std::chrono::steady_clock::time_point;
  static constexpr Mark kNeverSent = UINT64_MAX;
  // Sends a run to the pool. Gives a mark for Resend(), or kNeverSent.
  using Spawn = std::function<Mark(std::uint64_t req, std::string_view kind, std::string_view body)>;

  RequestTable(const hingelink::Settings& settings, Front& front, Metrics& metrics, Spawn spawn);

  // The settings have changed: their classes hold for what comes from now on. The events must have been
  // taken.
  void Retune();

  // ---- What came; each adds what the module must know to events(). ----
  void Take(const IncomingRequest& request);
  void CallerGone(ReplyTo from);
  void Finished(const RunResult& run);
  // The pool knows nothing of this spawn.
  void SpawnUnknown(std::uint64_t req);
  // Nothing of this spawn was started where it was sent, or it may run twice: sends it anew. False where
  // nobody waits for it any more.
  bool SpawnAgain(std::uint64_t req);
  // Sends again the spawns that the pool may not have read.
  void Resend(const std::function<bool(Mark)>& processed);

  // The events since the last call, with the times of arrivals as of `now`.
  std::vector<hingelink::Event> TakeEvents(UnixTime now);
  bool has_events() const { return !events_.empty(); }

  // ---- The module's actions on requests ----
  void Do(const hingelink::Start& action);
  void Do(const hingelink::Refuse& action);
  void Do(const hingelink::Fail& action);
  void Do(const hingelink::KeepKey& action);
  void Do(const hingelink::DropKey& action);
  void Do(const hingelink::Replay& action);

  // Nothing is in hand: no answer is owed, and no run goes on.
  bool empty() const { return entries_.empty(); }
  // Requests that are still owed an answer.
  std::size_t unanswered() const { return waiting_.size(); }
  // How many requests of each class are held and run, by the names of their classes; and how many of each
  // gateway are open. Counted anew at each call, so that they agree with each other.
  struct InHand {
    struct Count {
      std::uint64_t held = 0, running = 0;
    };
    std::map<std::string, Count> classes;
    std::unordered_map<std::uint32_t, std::uint64_t> open_by_gateway;
  };
  InHand Count() const;
  // Answers all that is still owed one. The module has had its last say.
  void AnswerAll();

 private:
  // Held by each request of it, so that a dropped class goes with its last one.
  struct Class {
    std::string name;
    hingelink::Repeat repeat = hingelink::Repeat::kSafe;
    std::uint64_t id = 0;     // Never used again.
    std::uint16_t place = 0;  // In the settings told last.
  };
  using ClassPtr = std::shared_ptr<const Class>;
  struct Entry {
    ReplyTo reply_to;
    std::uint64_t req = 0;
    std::uint32_t caller = 0;
    ClassPtr cls;
    std::string body;     // Held until the run is over: a lost link may have swallowed the spawn.
    bool told = false;    // To the module.
    bool waiting = true;  // An answer is owed.
    bool running = false;
    int spawns = 0;
    Mark mark = kNeverSent;
    std::uint64_t subject = 0;
    hingelink::RequestId forerunner = 0;
  };
  // A read whose answer serves others on its subject while it is fresh.
  struct Kept {
    hingelink::RequestId id = 0;
    SteadyTime until{};
    std::optional<SteadyTime> ended_well;
    std::string result;
  };
  using Key = std::pair<std::uint64_t, std::uint64_t>;  // Class id and subject.
  // Flat tables: a request is entered in four of them and taken out again, and a node of its own in each is a
  // malloc and a free. Entering one moves others; taking one out does not.
  using Entries = absl::flat_hash_map<hingelink::RequestId, Entry>;
  struct ReplyToHash {
    std::size_t operator()(const ReplyTo& to) const { return absl::HashOf(to.connection, to.stream); }
  };

  void Answer(Entries::iterator it, const FinalAnswer& answer);
  void Leave(Entries::iterator it);
  void SendSpawn(Entry& entry);
  bool Shares(const Entry& entry) const;
  // The kept read that a new one on `key` repeats, or null.
  const Kept* Fresh(const Key& key, SteadyTime now) const;
  Entries::iterator ByReq(std::uint64_t req);

  const hingelink::Settings& settings_;
  Front& front_;
  Metrics& metrics_;
  Spawn spawn_;
  std::unordered_map<std::string_view, ClassPtr> classes_;  // The names lie in the classes.
  std::uint64_t last_class_ = 0;
  hingelink::RequestId last_id_ = 0;
  Entries entries_;
  absl::flat_hash_map<std::uint64_t, hingelink::RequestId> by_req_;
  absl::flat_hash_map<ReplyTo, hingelink::RequestId, ReplyToHash> waiting_;
  std::map<Key, Kept> keys_;
  std::deque<std::uint64_t> recent_order_;  // Tries that have ended, oldest first.
  absl::flat_hash_set<std::uint64_t> recent_;
  struct Clocked {
    UnixTime arrived;
    UnixTime due;
  };
  std::vector<hingelink::Event> events_;
  std::vector<Clocked> arrivals_;  // One for each Arrival in events_, in order.
};

}  // namespace hingelink::node

#endif  // HINGELINK_NODE_REQUEST_TABLE_H_
