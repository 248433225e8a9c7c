// The connection to a worker pool. It is reconnected after each loss. It is ready for commands once the pool
// has accepted it and has answered a first poll: by then, all notices from the time without a connection have
// been received.
#ifndef HINGELINK_NET_POOL_LINK_H_
#define HINGELINK_NET_POOL_LINK_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string_view>
#include <vector>

#include "net/event.h"
#include "net/worker_pool.h"
#include "proto/pool_lines.h"

namespace hingelink::net {

// Not thread-safe: used on the thread of the event loop only.
class PoolLink : public WorkerPool {
 public:
  // For the owner of several links.
  struct Callbacks {
    std::function<void()> not_ready;        // The link was ready and no longer is.
    std::function<void()> gauges_received;  // last_gauges() has changed.
  };

  PoolLink(event_base* base, const sockaddr_in& pool, PoolEvents events, Callbacks callbacks = {});

  // Must not be called from a callback of this link.
  void ChangeAddress(const sockaddr_in& pool) override;
  CommandMark Spawn(std::uint64_t req, std::string_view kind, std::string_view body) override;
  CommandMark SendUpstreamReply(std::uint64_t req, std::string_view reply) override;
  CommandMark SkipUpstreamCall(std::uint64_t req, std::uint64_t notice) override;
  bool Verify(std::uint64_t tag) override;
  void PollGauges() override;
  bool Processed(CommandMark mark) const override { return mark < last_answer_before_loss_; }

  bool ready() const override { return ready_; }
  const std::vector<double>& gauges() const override;
  // The latest gauges, also if they are outdated.
  const std::vector<double>& last_gauges() const { return gauges_; }

 private:
  void Connect();
  // Disconnects and schedules the next attempt to connect.
  void Disconnect(const char* reason);
  void OnSilenceTimeout();
  void Read();
  // Returns false if the message is malformed and the link was disconnected.
  bool HandleMessage(const proto::PoolMessage& message);
  // Records the number of a notice. Returns false if the notice was received before.
  bool RecordNotice(std::uint64_t number);
  void SendPoll();

  event_base* base_;
  sockaddr_in address_;
  PoolEvents events_;
  Callbacks callbacks_;
  BufferPtr bev_;
  BufferPtr closed_bev_;  // Freed by the next Connect(), because its own callback may still be running.
  Timer reconnect_timer_;
  Timer silence_timer_;
  Steady::duration backoff_;
  bool connected_ = false;
  bool bound_ = false;  // The pool has accepted this connection.
  bool ever_bound_ = false;
  bool ready_ = false;
  bool in_remark_ = false;  // The rest of a remark up to its CR LF is skipped.
  std::uint64_t last_notice_ = 0;
  std::uint64_t last_poll_ = 0;    // Tag of the last poll. Tags count up from 1.
  std::uint64_t last_answer_ = 0;  // Tag of the last answered poll.
  // Tag of the poll that is sent right after the pool accepts the connection. Its answer makes the link
  // ready.
  std::uint64_t ready_poll_ = 0;
  // last_answer_ when the link was last lost while it was ready.
  std::uint64_t last_answer_before_loss_ = 0;
  std::vector<double> gauges_;
  Steady::time_point gauges_received_at_{};
};

}  // namespace hingelink::net

#endif  // HINGELINK_NET_POOL_LINK_H_
