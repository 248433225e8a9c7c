// The link to the worker pool: kept open, bound again after each loss, settled before it carries commands.
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

class PoolLink : public WorkerPool {
 public:
  // For who has several: the link carries no commands any more; gauges have come.
  struct Watch {
    std::function<void()> lost, polled;
  };

  PoolLink(event_base* base, const sockaddr_in& pool, PoolEvents events, Watch watch = {});

  void ChangeAddress(const sockaddr_in& pool) override;
  CommandMark Spawn(std::uint64_t req, std::string_view kind, std::string_view body) override;
  CommandMark SendUpstreamReply(std::uint64_t req, std::string_view reply) override;
  CommandMark SkipUpstreamCall(std::uint64_t req, std::uint64_t notice) override;
  bool Verify(std::uint64_t tag) override;
  void PollGauges() override;
  bool Processed(CommandMark mark) const override { return mark < answered_at_loss_; }

  bool ready() const override { return ready_; }
  const std::vector<double>& gauges() const override;
  // However old.
  const std::vector<double>& last_gauges() const { return gauges_; }

 private:
  void Connect();
  void Lose(const char* reason);
  void LoseSilent();
  void Read();
  bool Take(const proto::PoolMessage& message);
  bool IsNew(std::uint64_t number);
  void SendPoll();

  event_base* base_;
  sockaddr_in address_;
  PoolEvents events_;
  Watch watch_;
  BufferPtr bev_;
  BufferPtr lost_;  // Freed at the next connect, outside its own callbacks.
  Timer reconnect_;
  Timer silence_;
  Steady::duration backoff_;
  bool connected_ = false;
  bool bound_ = false;  // On this link.
  bool ever_bound_ = false;
  bool ready_ = false;  // On this link.
  bool in_remark_ = false;
  std::uint64_t last_notice_ = 0;
  std::uint64_t polls_ = 0;     // Asked so far; also the tag of the last.
  std::uint64_t answered_ = 0;  // The last tag that was answered.
  std::uint64_t barrier_ = 0;   // The tag asked right after `bound`.
  std::uint64_t answered_at_loss_ = 0;
  std::vector<double> gauges_;
  Steady::time_point polled_at_{};
};

}  // namespace hingelink::net

#endif  // HINGELINK_NET_POOL_LINK_H_
