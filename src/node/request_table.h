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

#include "core/front_end.h"
#include "hingelink/server_policy.h"
#include "node/calls.h"
#include "node/keys/key_table.h"
#include "node/keys/shared_reads.h"
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

  // A key of this process has changed what it stands for.
  using KeyChanged = std::function<void(const IdempotencyKey&)>;

  RequestTable(const hingelink::Settings& settings, FrontEnd& front, Metrics& metrics, Spawn spawn,
               Calls::Below below, KeyTable::Limits keys, KeyChanged key_changed);

  // The settings have changed: their classes hold for what comes from now on. The events must have been
  // taken.
  void Reconfigure();

  // ---- What came; each adds what the module must know to events(). ----
  void Take(const IncomingRequest& request);
  void CallerDisconnected(StreamAddress from);
  void Finished(const RunResult& run);
  // A run stands at a call, and: a call has ended.
  void Blocked(std::uint64_t req, std::uint64_t notice, std::string_view body);
  void UpstreamCallFinished(std::uint64_t req, hingelink::Outcome outcome, Millis elapsed,
                            std::string_view reply);
  // The pool knows nothing of this spawn.
  void SpawnUnknown(std::uint64_t req);
  // Nothing of this spawn was started where it was sent, or it may run twice: sends it anew. False where
  // nobody waits for it any more.
  bool SpawnAgain(std::uint64_t req);
  // Sends again what the pool may not have read.
  void Resend(const std::function<bool(Mark)>& processed);

  // The events since the last call, with the times of arrivals as of `now`.
  std::vector<hingelink::Event> TakeEvents(UnixTime now);
  bool has_events() const { return !events_.empty(); }

  // ---- The module's actions on requests ----
  void Do(const hingelink::Start& action);
  void Do(const hingelink::Reject& action);
  void Do(const hingelink::Fail& action);
  void Do(const hingelink::RetainKey& action);
  void Do(const hingelink::ReleaseKey& action);
  void Do(const hingelink::Replay& action);
  void Do(const hingelink::StartUpstreamCall& action);
  void Do(const hingelink::UseFallback& action);

  // ---- Other processes of this node ----
  // Whether this process knows what the others ran of keyed requests. Not yet: their tries are kept back
  // until it does. Never: they are refused, as they may have run. Elsewhere: another process takes the
  // clients, and what is not known here may run there.
  enum class Others { kKnown, kNotYet, kNever, kElsewhere };
  void SetOthers(Others others);
  void Hear(const KeyNews& news);
  void OthersEnded();
  const KeyTable& keys() const { return keys_; }
  const Calls& calls() const { return calls_; }

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
    hingelink::Idempotency idempotency = hingelink::Idempotency::kIdempotent;
    std::uint64_t id = 0;     // Never used again.
    std::uint16_t place = 0;  // In the settings told last.
  };
  using ClassPtr = std::shared_ptr<const Class>;
  struct Entry {
    StreamAddress reply_to;
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
    hingelink::RequestId original = 0;
    std::optional<IdempotencyKey> key;  // In keyed classes.
    bool replaying = false;             // It waits for what comes of another try.
  };
  // Flat tables: a request is entered in four of them and taken out again, and a node of its own in each is a
  // malloc and a free. Entering one moves others; taking one out does not.
  using Entries = absl::flat_hash_map<hingelink::RequestId, Entry>;
  struct StreamAddressHash {
    std::size_t operator()(const StreamAddress& to) const { return absl::HashOf(to.connection, to.stream); }
  };

  using TenantPlaces = std::unordered_map<std::string, std::uint16_t>;  // Places in the settings, by name.

  void Answer(Entries::iterator it, const FinalAnswer& answer);
  void Leave(Entries::iterator it);
  void SendSpawn(Entry& entry);
  bool Shares(const Entry& entry) const;
  // A refusal promises that no try of the request ran: failed, where one may have.
  FinalAnswer NotRun(const Entry& entry) const;
  // Names what an arrival repeats. False where it has been answered instead.
  bool NameForerunner(hingelink::RequestId id, hingelink::Arrival& arrival, UnixTime arrived, UnixTime now);
  void AnswerOverdueKeptBack(UnixTime now);
  void PlaceKeptBackAnew(const TenantPlaces& before);
  bool AnswerReplay(hingelink::RequestId id);
  void AnswerRepeats(const IdempotencyKey& key);
  // How long past its time a try may still be read.
  Millis Late() const;
  Entries::iterator ByReq(std::uint64_t req);

  const hingelink::Settings& settings_;
  FrontEnd& front_;
  Metrics& metrics_;
  Spawn spawn_;
  std::unordered_map<std::string_view, ClassPtr> classes_;  // The names lie in the classes.
  std::uint64_t last_class_ = 0;
  hingelink::RequestId last_id_ = 0;
  Entries entries_;
  absl::flat_hash_map<std::uint64_t, hingelink::RequestId> by_req_;
  absl::flat_hash_map<StreamAddress, hingelink::RequestId, StreamAddressHash> waiting_;
  SharedReads reads_;
  KeyTable keys_;
  KeyChanged key_changed_;
  Calls calls_;
  TenantPlaces tenants_;
  Others others_ = Others::kKnown;
  std::deque<std::uint64_t> recent_order_;  // Tries that have ended, oldest first.
  absl::flat_hash_set<std::uint64_t> recent_;
  struct Clocked {
    UnixTime arrived;
    UnixTime due;
  };
  std::vector<hingelink::Event> events_;
  std::vector<Clocked> arrivals_;  // One for each Arrival in events_, in order.
  std::vector<std::pair<hingelink::Arrival, Clocked>> kept_back_;
};

}  // namespace hingelink::node

#endif  // HINGELINK_NODE_REQUEST_TABLE_H_
