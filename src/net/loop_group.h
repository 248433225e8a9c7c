// The front end for gateways on several event loops.
//
// The node's main thread accepts connections, assigns them to loops, moves them between loops by load, and
// sends each answer to the loop that owns the connection. All methods are called on the node's main thread.
#ifndef HINGELINK_NET_LOOP_GROUP_H_
#define HINGELINK_NET_LOOP_GROUP_H_

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "decide/connections/connection_admission.h"
#include "decide/connections/connection_balancer.h"
#include "decide/connections/connection_locations.h"
#include "decide/loops/loop_watchdog.h"
#include "net/gateway_front_end.h"
#include "net/listener.h"
#include "net/loop.h"

namespace hingelink::net {

// Owns the listener and the loops.
class LoopGroup : public GatewayFrontEnd {
 public:
  struct Options {
    std::size_t loops = 1;
    std::size_t max_connections = 1;
    decide::ConnectionBalancerOptions balancer;  // Its `loops` is ignored.
    // Returns the counters of a loop for all configured classes.
    std::function<ClassTablePtr(std::size_t loop)> classes;
    // Returns the counters of a loop for one class, which may have been removed from the configuration. May
    // return null.
    std::function<core::ClassCountsPtr(std::string_view class_name, std::size_t loop)> class_counts;
  };

  // Listens on `listen` at once, or on the socket `handed_over` by another process after ResumeListening().
  // Throws std::runtime_error if it cannot listen.
  LoopGroup(event_base* base, const sockaddr_in& listen, Descriptor handed_over, Options options,
            core::FrontEndEvents events);
  ~LoopGroup() override;

  void Deliver(core::StreamAddress to, const core::FinalAnswer& answer) override;
  void SetHealth(bool healthy, bool shallow) override;
  void AnswerHealthCheck(core::StreamAddress to, bool healthy) override;
  void SetLoadSignal(double value) override;
  void CloseIdle(std::chrono::milliseconds after) override;
  void SetAnswerDelayLimit(Steady::duration limit) override;
  void SetBufferLimit(std::size_t bytes) override;
  void StopNewRequests() override { SendToAll(SimpleCommand::kStopNewRequests); }
  void SetMaxConnections(std::size_t max_connections, bool shared) override;
  void PauseListening() override;
  void ResumeListening() override;
  void CloseIdleForHandover() override { SendToAll(SimpleCommand::kCloseIdleForHandover); }
  void StopListening() override { listener_.Stop(); }
  void ReleaseListener() override { listener_.Release(); }
  void CloseListener() override { listener_.CloseQueued(); }
  void ReopenListener() override { listener_.Reopen(); }
  void ReplaceListener(Descriptor listener) override { listener_.Replace(std::move(listener)); }
  void ClassesChanged() override;
  void StopReading() override;
  void Sweep() override;
  void Shutdown(Steady::time_point deadline) override;

  evutil_socket_t listener() const override { return listener_.fd(); }
  std::uint16_t port() const override { return listener_.port(); }
  std::size_t connections() const override { return locations_.size() + admission_.pending(); }
  std::vector<ConnectionSet::Snapshot> TakeSnapshots(std::size_t max_count) const override;
  bool AllSent() const override;

  // Begins to move a connection to the loop `move.to`, as the balancer does. Does nothing if the connection
  // is there already or is being moved.
  void BeginMove(const decide::ConnectionMove& move);

  std::vector<LoopStats> Loops() const override;
  bool PinLoopToCpus(std::size_t loop, const std::vector<unsigned>& cpus) override {
    return members_[loop].loop->PinToCpus(cpus);
  }

 private:
  // A loop and what it last reported.
  struct Member {
    std::unique_ptr<Loop> loop;
    std::vector<ConnectionSet::Snapshot> snapshots;
    double cpu_fraction = 0;
    std::uint64_t connections_received = 0;  // From other loops.
    bool stopped_reading = false;
    bool stalled = false;
  };

  void Accept(evutil_socket_t fd);
  void Execute(const decide::ConnectionAdmission::Actions& actions);
  void ProcessMessages();
  void OnMessage(std::size_t loop, LoopMessage& message);
  // The loop `from` released a connection or keeps it.
  void FinishMove(std::size_t from, ConnectionReleased& released);
  void Send(std::size_t loop, LoopCommand command) {
    members_[loop].loop->commands().Send(std::move(command));
  }
  void SendToAll(SimpleCommand command);
  void CheckForStalledLoops();
  std::vector<std::size_t> ConnectionCounts() const;

  Options options_;
  core::FrontEndEvents events_;
  Waker waker_;
  EventPtr wakeup_event_;
  Listener listener_;
  Timer watchdog_timer_;
  Timer retry_timer_;  // Runs while a sibling process shares the connection limit.
  decide::ConnectionLocations<SendAnswer> locations_;
  decide::ConnectionBalancer balancer_;
  decide::ConnectionAdmission admission_;
  decide::LoopWatchdog watchdog_;
  struct PendingConnection {
    Descriptor socket;
    Steady::time_point accepted;
  };
  std::deque<PendingConnection> pending_;  // Accepted, not yet assigned to a loop; oldest first.
  bool paused_ = false;                    // By PauseListening().
  bool stopping_ = false;                  // StopReading() was called.
  bool healthy_ = true;
  bool shallow_ = true;
  std::optional<double> signal_;
  bool state_changed_ = false;  // Since the last Sweep(): the health, `shallow_` or the load signal.
  std::vector<Member> members_;
};

}  // namespace hingelink::net

#endif  // HINGELINK_NET_LOOP_GROUP_H_
