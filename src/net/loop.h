// One event loop on a thread of its own, with connections of gateways, and the messages between it and the
// node's own loop, which decides.
#ifndef HINGELINK_NET_LOOP_H_
#define HINGELINK_NET_LOOP_H_

#include <array>
#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <unordered_map>
#include <variant>
#include <vector>

#include "core/front_end.h"
#include "decide/connections/connection_balancer.h"
#include "net/channel.h"
#include "net/connection_set.h"
#include "net/event.h"

namespace hingelink::net {

// The counts of one loop, by the names of the classes. Never changed; replaced as a whole.
using ClassTable = std::unordered_map<std::string, core::ClassCountsPtr>;
using ClassTablePtr = std::shared_ptr<const ClassTable>;

// ---- From a loop to the node ----
struct ReadRequest {
  core::IncomingRequest request;  // Its texts are the three below.
  std::string kind;
  std::string owner;
  std::string body;
};
struct GoneCaller {
  core::StreamAddress from;
};
struct DeepCheck {
  core::StreamAddress from;
};
struct EndedConnection {
  std::uint64_t id = 0;
};
struct ReleasedConnection {
  std::uint64_t id = 0;
  std::unique_ptr<ConnectionSet::TransferState> moving;  // Null where it stays.
};
struct RoomOffer {
  std::optional<decide::ConnectionValue> least;
};
// What came of kMakeRoom; an EndedConnection has come before where it is true.
struct RoomMade {
  bool made = false;
};
struct LoopReportMessage {
  decide::LoopReport report;
  std::vector<ConnectionSet::Snapshot> looks;
};
struct StoppedReading {};
using FromLoop = std::variant<ReadRequest, GoneCaller, DeepCheck, EndedConnection, ReleasedConnection,
                              RoomOffer, RoomMade, LoopReportMessage, StoppedReading>;

// ---- From the node to a loop ----
struct GiveAnswer {
  core::StreamAddress to;
  core::Verdict verdict = core::Verdict::kFailed;
  bool no_other_server = false;
  std::optional<std::chrono::milliseconds> retry_after;
  std::string result;
  std::optional<bool> check = std::nullopt;  // Where set: the answer to a deep check, and no more than that.
};
struct TakeConnection {
  std::uint64_t id = 0;
  Descriptor socket;
  Steady::time_point accepted{};
};
struct AdoptConnection {
  std::unique_ptr<ConnectionSet::TransferState> moving;
};
struct ReleaseConnection {
  std::uint64_t id = 0;
};
struct SetState {
  bool healthy = true, shallow = true;
  std::optional<double> signal;
};
struct SetClasses {
  ClassTablePtr classes;
};
struct CloseIdleAfter {
  std::chrono::milliseconds after{0};
};
enum class LoopOrder { kAskForNoMore, kTakeBack, kCloseQuiet, kOfferRoom, kMakeRoom, kStopReading, kEndAll };
using ToLoop = std::variant<GiveAnswer, TakeConnection, AdoptConnection, ReleaseConnection, SetState,
                            SetClasses, CloseIdleAfter, LoopOrder>;

class Loop {
 public:
  // Starts its thread. `node` wakes the node's own loop.
  Loop(std::size_t index, Waker& node, ClassTablePtr classes);
  // Ends its connections and joins the thread.
  ~Loop();
  Loop(const Loop&) = delete;
  Loop& operator=(const Loop&) = delete;

  Channel<ToLoop>& orders() { return orders_; }
  Channel<FromLoop>& told() { return told_; }

  // ---- From the node's thread, of a loop that runs ----
  // Changes as long as it goes round.
  std::uint64_t beats() const { return beats_.load(std::memory_order_relaxed); }
  // The connection that it reads, or read last.
  std::uint64_t reading() const { return reading_.load(std::memory_order_relaxed); }
  // How many orders it had carried out when all its answers were with the kernel. Kept up behind
  // kAskForNoMore.
  std::uint64_t sent_through() const { return sent_through_.load(std::memory_order_acquire); }
  // Runs on these units of the machine only. False where the system says no.
  bool Bind(const std::vector<unsigned>& units);
  // Ends the loop and all its connections, and gives their peers until then to close as well. The destructor
  // waits for it.
  void End(Steady::time_point until);
  // Has a loop that hangs note where it is. Safe at any moment.
  void AskForStack();
  // The frames it noted since, innermost first; empty where there are none (yet).
  std::string TakeStack();

 private:
  void Run();
  void Look();
  void Do(ToLoop& order);
  void Report();
  void SeeSent();

  const std::size_t index_;
  BasePtr base_;
  Waker waker_;
  Channel<ToLoop> orders_;
  Channel<FromLoop> told_;
  ClassTablePtr classes_;
  ConnectionSet set_;
  EventPtr wake_;
  Timer beat_;
  Timer report_;
  Timer see_sent_;
  std::uint64_t done_ = 0;
  std::uint64_t last_cpu_ns_ = 0;
  Steady::time_point last_report_ = Steady::now();
  bool no_reading_ = false;
  bool closing_ = false;
  bool over_ = false;
  bool told_to_end_ = false;        // Of the node's thread.
  Steady::time_point end_until_{};  // Written before kEndAll is put, read behind it.
  std::atomic<std::uint64_t> beats_{0};
  std::atomic<std::uint64_t> reading_{0};
  std::atomic<std::uint64_t> sent_through_{0};
  std::array<void*, 32> frames_{};
  std::atomic<int> frame_count_{0};
  std::thread thread_;
};

}  // namespace hingelink::net

#endif  // HINGELINK_NET_LOOP_H_
