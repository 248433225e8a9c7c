// Serves all gateway connections on the node's own event loop. Owns the listener and the connections.
#ifndef HINGELINK_NET_SINGLE_LOOP_FRONT_END_H_
#define HINGELINK_NET_SINGLE_LOOP_FRONT_END_H_

#include "net/gateway_front_end.h"
#include "net/listener.h"

namespace hingelink::net {

class SingleLoopFrontEnd : public GatewayFrontEnd {
 public:
  // Listens at once, or from ResumeListening() on if the socket was handed over. Throws std::runtime_error if
  // it cannot listen.
  SingleLoopFrontEnd(event_base* base, const sockaddr_in& listen, Descriptor handed_over,
                     std::size_t max_connections, core::FrontEndEvents events);

  void Deliver(core::StreamAddress to, const core::FinalAnswer& answer) override { set_.Deliver(to, answer); }
  void SetHealth(bool good, bool shallow) override { set_.SetHealth(good, shallow); }
  void AnswerHealthCheck(core::StreamAddress to, bool good) override { set_.AnswerHealthCheck(to, good); }
  void SetLoadSignal(double value) override { set_.SetLoadSignal(value); }
  void CloseIdle(std::chrono::milliseconds after) override { set_.CloseIdle(after); }
  void SetAnswerDelayLimit(Steady::duration limit) override { set_.SetAnswerDelayLimit(limit); }
  void SetBufferLimit(std::size_t bytes) override { set_.SetBufferLimit(bytes); }
  void StopNewRequests() override { set_.StopNewRequests(); }
  void SetMaxConnections(std::size_t max_connections, bool shared) override;
  void PauseListening() override;
  void ResumeListening() override;
  void CloseIdleForHandover() override { set_.CloseIdleForHandover(); }
  void StopListening() override;
  void ReleaseListener() override { listener_.Release(); }
  void CloseListener() override { listener_.CloseQueued(); }
  void ReopenListener() override { listener_.Reopen(); }
  void ReplaceListener(Descriptor listener) override { listener_.Replace(std::move(listener)); }
  void ClassesChanged() override {}
  // Requests are reported as soon as they are read, so the node rejects new ones by itself.
  void StopReading() override {}
  void Sweep() override { set_.Sweep(); }
  void Shutdown(Steady::time_point until) override { set_.Shutdown(until); }

  evutil_socket_t listener() const override { return listener_.fd(); }
  std::uint16_t port() const override { return listener_.port(); }
  std::size_t connections() const override { return set_.size() + (pending_.get() >= 0 ? 1 : 0); }
  std::vector<ConnectionSet::Snapshot> TakeSnapshots(std::size_t most) const override {
    return set_.TakeSnapshots(most);
  }
  bool AllSent() const override { return set_.AllSent(); }
  std::vector<LoopStats> Loops() const override { return {}; }
  bool PinLoopToCpus(std::size_t, const std::vector<unsigned>&) override { return false; }

 private:
  void Accept(evutil_socket_t fd);
  // Pauses the listener until the number of connections is below the limit.
  void PauseAtLimit();
  void RetryAccept();

  ConnectionSet set_;
  std::size_t max_connections_;
  Listener listener_;
  Timer retry_timer_;
  bool paused_ = false;
  bool shared_ = false;
  bool paused_at_limit_ = false;
  bool stopping_ = false;
  Descriptor pending_;  // Accepted at the connection limit; not read yet.
  std::uint64_t last_id_ = 0;
};

}  // namespace hingelink::net

#endif  // HINGELINK_NET_SINGLE_LOOP_FRONT_END_H_
