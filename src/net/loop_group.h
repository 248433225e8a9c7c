// The gateways' side on several loops: the listener on the node's own, which places connections, moves them
// and sends each answer to the loop that has its connection. All calls come from the node's thread.
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

class LoopGroup : public GatewayFrontEnd {
 public:
  struct Options {
    std::size_t loops = 1;
    std::size_t max_connections = 1;
    decide::ConnectionBalancerOptions balancer;  // But for its `loops`.
    // The counts of a loop for all classes there are, and for one that may have been dropped since (or null).
    std::function<ClassTablePtr(std::size_t loop)> classes;
    std::function<core::ClassCountsPtr(std::string_view kind, std::size_t loop)> class_counts;
  };

  // Listens at once; on a socket that was handed over, from ResumeListening() on. Throws std::runtime_error
  // where it cannot.
  LoopGroup(event_base* base, const sockaddr_in& listen, Descriptor handed_over, Options options,
            core::FrontEndEvents events);
  ~LoopGroup() override;

  void Deliver(core::StreamAddress to, const core::FinalAnswer& answer) override;
  void SetHealth(bool good, bool shallow) override;
  void AnswerHealthCheck(core::StreamAddress to, bool good) override;
  void SetLoadSignal(double value) override;
  void CloseIdle(std::chrono::milliseconds after) override;
  void StopNewRequests() override { Order(LoopOrder::kAskForNoMore); }
  void SetMaxConnections(std::size_t most, bool shared) override;
  void PauseListening() override;
  void ResumeListening() override;
  void CloseIdleForHandover() override { Order(LoopOrder::kCloseQuiet); }
  void StopListening() override { listener_.Stop(); }
  void ClassesChanged() override;
  void StopReading() override;
  void Sweep() override;
  void Shutdown(Steady::time_point until) override;

  evutil_socket_t listener() const override { return listener_.fd(); }
  std::uint16_t port() const override { return listener_.port(); }
  std::size_t connections() const override { return book_.size() + door_.pending(); }
  std::vector<ConnectionSet::Snapshot> TakeSnapshots(std::size_t most) const override;
  bool AllSent() const override;

  // Asks for a move, as the placement does.
  void Move(const decide::ConnectionMove& move);

  std::vector<LoopStats> Loops() const override;
  bool PinLoopToCpus(std::size_t loop, const std::vector<unsigned>& units) override {
    return members_[loop].loop->Bind(units);
  }

 private:
  struct Member {
    std::unique_ptr<Loop> loop;
    std::vector<ConnectionSet::Snapshot> looks;
    double busy = 0;
    std::uint64_t taken = 0;
    bool stopped_reading = false;
    bool hung = false;
  };

  void Accept(evutil_socket_t fd);
  void CarryOut(const decide::ConnectionAdmission::Actions& steps);
  void Look();
  void Hear(std::size_t at, FromLoop& message);
  void SettleMove(std::size_t from, ReleasedConnection& released);
  void Send(std::size_t loop, ToLoop order) { members_[loop].loop->orders().Put(std::move(order)); }
  void Order(LoopOrder order);
  void WatchLoops();
  std::vector<std::size_t> Counts() const;

  Options options_;
  core::FrontEndEvents events_;
  Waker waker_;
  EventPtr wake_;
  Listener listener_;
  Timer watch_;
  Timer room_;  // Runs beside another process.
  decide::ConnectionLocations<GiveAnswer> book_;
  decide::ConnectionBalancer placement_;
  decide::ConnectionAdmission door_;
  decide::LoopWatchdog watchdog_;
  struct Newcomer {
    Descriptor socket;
    Steady::time_point accepted;
  };
  std::deque<Newcomer> at_the_door_;  // Accepted sockets that wait for room, oldest first.
  bool paused_ = false;
  bool stopping_ = false;
  bool healthy_ = true;
  bool shallow_ = true;
  std::optional<double> signal_;
  bool state_changed_ = false;
  std::vector<Member> members_;
};

}  // namespace hingelink::net

#endif  // HINGELINK_NET_LOOP_GROUP_H_
