// An event loop on its own thread that reads and writes the connections of gateways.
//
// The node's main thread decides about requests and connections. It sends commands to the loop, and the loop
// sends messages back, each through a Channel.
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

// The counters of one loop, by class name. The table is immutable; a new configuration replaces it.
using ClassTable = std::unordered_map<std::string, core::ClassCountsPtr>;
using ClassTablePtr = std::shared_ptr<const ClassTable>;

// ---- Messages from a loop to the node's main thread ----
struct RequestReceived {
  // The receiver must point its string views to the three members below.
  core::IncomingRequest request;
  std::string class_name;
  std::string tenant;
  std::string body;
};
// A caller no longer waits for the answer to a request or a deep health check.
struct CallerDisconnected {
  core::StreamAddress from;
};
// A gateway requested a deep health check.
struct DeepCheckReceived {
  core::StreamAddress from;
};
struct ConnectionClosed {
  std::uint64_t id = 0;
};
// The result of ReleaseConnection.
struct ConnectionReleased {
  std::uint64_t id = 0;
  std::unique_ptr<ConnectionSet::TransferState> state;  // Null if the loop keeps the connection.
};
// The result of kReportEvictionCandidate.
struct EvictionCandidateReport {
  std::optional<decide::ConnectionValue> candidate;
};
// The result of kEvictOne. If a connection was evicted, its ConnectionClosed was sent before.
struct EvictionResult {
  bool evicted = false;
};
// Sent periodically.
struct LoopReportMessage {
  decide::LoopReport report;
  std::vector<ConnectionSet::Snapshot> snapshots;
};
// The loop executed kStopReading; it sends no more requests.
struct ReadingStopped {};
using LoopMessage =
    std::variant<RequestReceived, CallerDisconnected, DeepCheckReceived, ConnectionClosed, ConnectionReleased,
                 EvictionCandidateReport, EvictionResult, LoopReportMessage, ReadingStopped>;

// ---- Commands from the node's main thread to a loop ----
// The answer to a request or a deep health check.
struct SendAnswer {
  core::StreamAddress to;
  core::Verdict verdict = core::Verdict::kFailed;
  bool no_other_server = false;
  std::optional<std::chrono::milliseconds> retry_after;
  std::string result;
  // If set, this is the answer to a deep health check, and only `to` is used besides.
  std::optional<bool> is_healthy = std::nullopt;
};
// Adds an accepted connection.
struct AddConnection {
  std::uint64_t id = 0;
  Descriptor socket;
  Steady::time_point accepted{};
};
// Adds a connection that another loop released.
struct AdoptConnection {
  std::unique_ptr<ConnectionSet::TransferState> state;
};
// Releases a connection that moves to another loop. The loop replies with ConnectionReleased.
struct ReleaseConnection {
  std::uint64_t id = 0;
};
struct SetHealthAndLoad {
  // `shallow`: the loop answers all health checks itself, without a deep check.
  bool healthy = true, shallow = true;
  std::optional<double> signal;  // The load signal that is sent to gateways.
};
struct SetClasses {
  ClassTablePtr classes;
};
struct CloseIdleConnections {
  std::chrono::milliseconds after{0};
};
// See ConnectionSet::SetAnswerDelayLimit().
struct LimitAnswerDelay {
  Steady::duration limit{0};
};
// See ConnectionSet::SetBufferLimit().
struct LimitBuffers {
  std::size_t bytes = 0;
};
// Commands without parameters.
enum class SimpleCommand {
  kStopNewRequests,
  kCancelDrain,
  kCloseIdleForHandover,
  kReportEvictionCandidate,
  kEvictOne,
  kStopReading,
  kShutdown
};
using LoopCommand =
    std::variant<SendAnswer, AddConnection, AdoptConnection, ReleaseConnection, SetHealthAndLoad, SetClasses,
                 CloseIdleConnections, LimitAnswerDelay, LimitBuffers, SimpleCommand>;

// Owns its thread, its connections and both channels. All public methods are called on the node's main
// thread.
class Loop {
 public:
  // Starts the thread. `index` is counted from 0. `node_waker` wakes the node's main thread.
  Loop(std::size_t index, Waker& node_waker, ClassTablePtr classes);
  // Closes the connections and joins the thread.
  ~Loop();
  Loop(const Loop&) = delete;
  Loop& operator=(const Loop&) = delete;

  Channel<LoopCommand>& commands() { return commands_; }
  Channel<LoopMessage>& messages() { return messages_; }

  // Grows as long as the event loop is not stalled.
  std::uint64_t heartbeats() const { return heartbeats_.load(std::memory_order_relaxed); }
  // Id of the connection that the loop is reading or has read last.
  std::uint64_t last_read_connection() const { return last_read_connection_.load(std::memory_order_relaxed); }
  // The number of commands that the loop had executed when it last had written all answers to the sockets.
  // Only updated after kStopNewRequests or kStopReading.
  std::uint64_t flushed_command_count() const {
    return flushed_command_count_.load(std::memory_order_acquire);
  }
  // Restricts the thread to these CPUs. Returns false if the operating system refuses.
  bool PinToCpus(const std::vector<unsigned>& cpus);
  // Closes all connections and stops the loop without waiting for it. Peers have until `deadline` to close
  // their side. The destructor waits for the loop to stop.
  void RequestShutdown(Steady::time_point deadline);
  // Interrupts the thread of a stalled loop to capture its stack trace. Safe at any time.
  void RequestStackTrace();
  // Returns and clears the captured stack trace, innermost frame first. Empty if there is none (yet).
  std::string TakeStackTrace();

 private:
  void Run();
  void ProcessCommands();
  void Execute(LoopCommand& command);
  void SendReport();
  void UpdateFlushedCommandCount();

  const std::size_t index_;
  BasePtr base_;
  Waker waker_;
  Channel<LoopCommand> commands_;
  Channel<LoopMessage> messages_;
  ClassTablePtr classes_;
  ConnectionSet connections_;
  EventPtr wakeup_event_;
  Timer heartbeat_timer_;
  Timer report_timer_;
  // Only causes an iteration of the event loop, after which Run() checks for unsent answers.
  Timer unsent_check_timer_;
  std::uint64_t executed_command_count_ = 0;
  std::uint64_t last_cpu_ns_ = 0;
  Steady::time_point last_report_ = Steady::now();
  bool reading_stopped_ = false;            // kStopReading was executed.
  bool draining_ = false;                   // kStopNewRequests or kStopReading was executed.
  bool stopped_ = false;                    // kShutdown was executed.
  bool shutdown_requested_ = false;         // Only used by the node's main thread.
  Steady::time_point shutdown_deadline_{};  // Written before kShutdown is sent, read after it is received.
  std::atomic<std::uint64_t> heartbeats_{0};
  std::atomic<std::uint64_t> last_read_connection_{0};
  std::atomic<std::uint64_t> flushed_command_count_{0};
  // The captured stack trace, written by the signal handler.
  std::array<void*, 32> frames_{};
  std::atomic<int> frame_count_{0};
  std::thread thread_;
};

}  // namespace hingelink::net

#endif  // HINGELINK_NET_LOOP_H_
