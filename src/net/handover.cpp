#include "net/handover.h"

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <stdexcept>
#include <string_view>
#include <thread>
#include <utility>

#include "log/log.h"
#include "net/handover_channel.h"

namespace hingelink::net {
namespace {

using namespace std::chrono_literals;

constexpr char kSocketName[] = "/hingelink.sock";
// Maximum number of sibling connections; bounds the file descriptors that they use.
constexpr std::size_t kMaxChannels = 4;
// Timeout for the predecessor to send its listening socket. Long enough for a predecessor that is flooded
// with requests and has only part of a core. If the predecessor hangs, this process opens a listener of its
// own.
constexpr timeval kListenerTimeout{2, 0};
// How long a process that starts waits for a process that answers and closes without having sent its
// listener.
constexpr auto kAcceptTimeout = 2s;
constexpr auto kAcceptRetryInterval = 20ms;
// Timeout for the predecessor's confirmation that it accepts no more clients.
constexpr auto kDrainConfirmationTimeout = 1s;
bool IsTimeout(int error) { return error == EAGAIN || error == EWOULDBLOCK; }

}  // namespace

Handover::Handover(event_base* base, const std::string& folder, Events events)
    : base_(base),
      events_(std::move(events)),
      drain_timeout_(base,
                     [this] {
                       log::Warn("handover-overdue");
                       takeover_complete_ = true;
                       events_.takeover_state_changed();
                     }),
      chain_timer_(base, [this] { TakePlaceInChain(); }) {
  if (folder.empty()) return;
  if (IsValidSocketPath(folder + kSocketName)) {
    path_ = folder + kSocketName;
  } else {
    log::Warn("handover-off", {{"what", "the folder's path is too long"}});
  }
}

void Handover::StopAcceptingSuccessors() {
  // After a handover the path is that of the successor's socket, which must stay.
  if (server_.get() >= 0 && !handed_over_) unlink(path_.c_str());
  accept_.reset();
  server_ = Descriptor();
}

Handover::~Handover() { StopAcceptingSuccessors(); }

Descriptor Handover::RequestListener() {
  if (path_.empty()) return Descriptor();
  const auto deadline = Steady::now() + kAcceptTimeout;
  for (;;) {
    start_lock_.emplace(path_);
    Descriptor channel = ConnectToOwner(path_, kListenerTimeout);
    if (channel.get() < 0) return Descriptor();
    start_lock_.reset();
    Descriptor listener = ReceiveListener(channel.get());
    const int error = errno;
    if (listener.get() < 0) log::Warn("handover-failed", {{"what", std::strerror(error)}});
    // On a timeout the predecessor hangs and may still be executing requests. The channel is kept until the
    // predecessor exits or recovers and reports its keys, so that no request with an idempotency key is
    // executed by both processes. A listening socket that arrives later is not used.
    if (listener.get() >= 0 || IsTimeout(error)) return Connected(std::move(channel), std::move(listener));
    // The process ends, or has too many successors already.
    if (Steady::now() > deadline)
      throw std::runtime_error("the process that serves the clients accepts no successor: " + path_);
    std::this_thread::sleep_for(kAcceptRetryInterval);
  }
}

Descriptor Handover::Connected(Descriptor channel, Descriptor listener) {
  evutil_make_socket_nonblocking(channel.get());
  takeover_complete_ = keys_known_ = false;
  has_own_listener_ = listener.get() < 0;
  Add(std::move(channel), true);
  if (!has_own_listener_) log::Info("handover-begins");
  return listener;
}

void Handover::TakePlaceInChain() {
  if (ready_sent_ || exiting_ || path_.empty()) return;
  Descriptor channel = ConnectToOwner(path_, kListenerTimeout);
  const bool is_served = channel.get() >= 0 && PeerProcess(channel.get()) != getpid();
  if (!is_served) {
    if (!has_predecessor()) OnPredecessorLost();
    return events_.predecessor_changed(Descriptor());
  }
  Descriptor listener = ReceiveListener(channel.get());
  if (listener.get() < 0 && !IsTimeout(errno)) return chain_timer_.Start(kAcceptRetryInterval);
  for (auto at = channels_.begin(); at != channels_.end();) {
    if ((*at)->to_predecessor_) {
      (*at)->Stop();
      ended_.push_back(std::move(*at));
      at = channels_.erase(at);
    } else {
      ++at;
    }
  }
  events_.predecessor_changed(Connected(std::move(channel), std::move(listener)));
  events_.siblings_load_changed();
}

// There are no more keys to wait for.
void Handover::OnPredecessorLost() {
  drain_timeout_.Stop();
  takeover_complete_ = true;
  if (!std::exchange(keys_known_, true)) events_.predecessor_keys_lost();
  events_.takeover_state_changed();
}

bool Handover::AcceptSuccessors(evutil_socket_t listener) {
  if (path_.empty() || server_.get() >= 0) return true;
  std::optional<PathLock> lock = std::exchange(start_lock_, std::nullopt);
  if (!lock) lock.emplace(path_);
  const pid_t owner = lock->owner();
  const auto is_owner = [owner](const auto& channel) {
    return channel->to_predecessor_ && channel->process_ == owner;
  };
  const bool is_next =
      owner == 0 || owner == getpid() || std::any_of(channels_.begin(), channels_.end(), is_owner);
  // A process that has ended is no longer the owner.
  if (!is_next && ConnectToOwner(path_, kListenerTimeout).get() >= 0) return false;
  listener_ = listener;
  Descriptor server = TakeOverPath(path_);
  if (server.get() < 0) {
    log::Warn("handover-off", {{"what", std::strerror(errno)}});
    return true;
  }
  lock->SetOwner(getpid());
  server_ = std::move(server);
  accept_.reset(event_new(
      base_, server_.get(), EV_READ | EV_PERSIST,
      [](evutil_socket_t, short, void* self) { static_cast<Handover*>(self)->Accept(); }, this));
  if (!accept_) throw std::runtime_error("libevent cannot create the accept event for a handover");
  event_priority_set(accept_.get(), kHighPriority);
  event_add(accept_.get(), nullptr);
  return true;
}

void Handover::Accept() {
  Descriptor fd(accept4(server_.get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
  if (fd.get() < 0 || channels_.size() >= kMaxChannels) return;
  if (!SendListener(fd.get(), listener_)) return;
  log::Info("handover-begins", {{"successor", true}});
  Add(std::move(fd), false);
  // Sent right after the listener, so that the successor has the learned values before its worker pool is
  // connected and it begins to admit requests.
  for (const proto::LearnedClassMessage& learned : events_.learned()) {
    if (const auto line = proto::EncodeLearnedClassMessage(learned)) channels_.back()->SendReport(*line);
  }
  events_.siblings_load_changed();
}

void Handover::Add(Descriptor fd, bool to_predecessor) {
  channels_.push_back(std::make_unique<Channel>(*this, std::move(fd), to_predecessor));
  channels_.back()->SendLine(proto::EncodeStartedMessage(started_at_.time_since_epoch()));
  // Sent at once, because the predecessor may exit before this process is ready.
  if (to_predecessor) channels_.back()->SendLine(proto::kHandoverKeys);
}

void Handover::SendReady() {
  ready_sent_ = true;
  for (const auto& channel : channels_) {
    if (!channel->to_predecessor_) continue;
    if (has_own_listener_) channel->SendLine(proto::kHandoverOwnListener);
    channel->SendLine(proto::kHandoverReady);
    drain_timeout_.Start(kDrainConfirmationTimeout);
  }
}

void Handover::SendDraining() {
  if (!ready_sent_) return;
  for (const auto& channel : channels_) {
    if (!channel->to_predecessor_) continue;
    channel->returning_ = channel->started_at_ > started_at_.time_since_epoch();
    channel->SendLineNow(channel->returning_ ? proto::kHandoverReturning : proto::kHandoverNodeDraining);
  }
}

void Handover::OnLine(Channel& channel, std::string_view line) {
  if (line == proto::kHandoverReady && !channel.to_predecessor_) {
    OnSuccessorReady(channel);
  } else if (line == proto::kHandoverDraining && channel.to_predecessor_) {
    drain_timeout_.Stop();
    takeover_complete_ = keys_known_ = true;
    events_.takeover_state_changed();
    log::Info("handover-done");
  } else if (line == proto::kHandoverKeys) {
    channel.accepts_keys_ = true;
  } else if (line == proto::kHandoverExiting) {
    channel.exiting_ = true;
  } else if (line == proto::kHandoverDraining && channel.returning_) {
    channel.keys_returned_ = true;
  } else if (line == proto::kHandoverReturning && channel.ready_) {
    channel.returning_ = true;
  } else if (line == proto::kHandoverSuperseded && channel.to_predecessor_) {
    if (!ready_sent_) chain_timer_.Start(0ms);
  } else if (line == proto::kHandoverOwnListener) {
    channel.own_listener_ = true;
  } else if (const auto started = proto::ParseStartedMessage(line.substr(0, line.size() - 1))) {
    channel.started_at_ = *started;
  } else if (line == proto::kHandoverNodeDraining && channel.ready_) {
    channel.exiting_ = true;
    if (!exiting_) events_.node_draining();
  } else if (const auto ids = proto::ParseAttemptsMessage(line.substr(0, line.size() - 1));
             ids && channel.SendsExecuted()) {
    for (const std::uint64_t id : *ids) events_.attempt_received(id);
  } else if (const auto load = proto::ParseLoadMessage(line.substr(0, line.size() - 1))) {
    channel.load_ = *load;
    events_.siblings_load_changed();
  } else if (const auto learned = proto::ParseLearnedClassMessage(line.substr(0, line.size() - 1));
             learned && channel.to_predecessor_) {
    events_.predecessor_learned(*learned);
  }
}

void Handover::OnSuccessorReady(Channel& channel) {
  // Only the first line counts, so that a sibling cannot make this process send its keys again and again.
  if (exiting_ || std::exchange(channel.ready_, true)) return;
  SendExecuted(channel);
  ConfirmKeys(channel);
  handed_over_ = true;
  // The others must take over from the successor that is ready.
  for (const auto& other : channels_) {
    if (!other->to_predecessor_ && !other->ready_) other->SendLine(proto::kHandoverSuperseded);
  }
  events_.successor_ready(channel.own_listener_);
}

void Handover::SendExecuted(Channel& channel) {
  if (channel.accepts_keys_ && !std::exchange(channel.keys_sent_, true)) SendExecutedTo(channel);
}

void Handover::SendExecutedTo(Channel& channel) {
  std::vector<std::uint64_t> ids;
  const auto send_line = [&] {
    if (!ids.empty()) channel.SendLine(proto::EncodeAttemptsMessage(ids));
    ids.clear();
  };
  events_.send_attempts([&](std::uint64_t id) {
    ids.push_back(id);
    if (ids.size() == proto::kMaxAttemptsPerLine) send_line();
  });
  send_line();
  events_.send_keys(
      [&channel](const proto::KeyMessage& key, std::string_view result) { channel.SendKey(key, result); });
}

// Without the confirmation, the successor does not execute a key that it has no record of.
void Handover::ConfirmKeys(Channel& channel) {
  if (channel.accepts_keys_ && !events_.keys_complete()) return;
  if (!std::exchange(channel.keys_confirmed_, true)) channel.SendLine(proto::kHandoverDraining);
}

void Handover::ConfirmKeys() {
  for (const auto& channel : channels_) {
    if (channel->ready_) ConfirmKeys(*channel);
  }
}

bool Handover::AllSent() const {
  return std::all_of(channels_.begin(), channels_.end(), [](const auto& c) { return c->all_sent(); });
}

void Handover::SendLastMessages() {
  exiting_ = true;
  for (const auto& channel : channels_) {
    if (!channel->to_predecessor_) {
      SendExecuted(*channel);
      ConfirmKeys(*channel);
    } else if (channel->returning_) {
      SendExecutedTo(*channel);
      if (events_.keys_complete()) channel->SendLine(proto::kHandoverDraining);
    } else {
      // The predecessor must not accept clients again: a successor of this process accepts them, or the node
      // drains.
      channel->SendLine(proto::kHandoverExiting);
    }
    channel->CloseWhenSent();
  }
}

void Handover::AwaitSiblings(const std::function<Steady::time_point()>& deadline) {
  Timer wake_up(base_, [] {});
  for (auto now = Steady::now(); !channels_.empty() && now < deadline(); now = Steady::now()) {
    wake_up.Start(deadline() - now);
    event_base_loop(base_, EVLOOP_ONCE);
    Sweep();
  }
  if (!AllSent()) log::Warn("handover-exit-not-sent");
}

void Handover::EndChannel(Channel& channel, const char* reason) {
  const auto it = std::find_if(channels_.begin(), channels_.end(),
                               [&channel](const auto& entry) { return entry.get() == &channel; });
  if (it == channels_.end()) return;
  log::Info("handover-channel-end", {{"reason", channel.exiting_ ? "ended" : reason},
                                     {"other", channel.to_predecessor_ ? "predecessor" : "successor"}});
  channel.Stop();
  ended_.push_back(std::move(*it));
  channels_.erase(it);
  if (channel.to_predecessor_ && (ready_sent_ || exiting_)) {
    OnPredecessorLost();
  } else if (channel.to_predecessor_) {
    // Another process may have taken over from the predecessor.
    chain_timer_.Start(0ms);
  }
  events_.siblings_load_changed();
  if (channel.ready_ && !exiting_) OnSuccessorEnd(channel);
}

void Handover::OnSuccessorEnd(const Channel& channel) {
  if (channel.exiting_) {
    events_.successor_exited();
    return;
  }
  handed_over_ = std::any_of(channels_.begin(), channels_.end(), [](const auto& c) { return c->ready_; });
  if (handed_over_) return;
  // The lost successor replaced the UNIX socket of this process, which is therefore created again. If a
  // successor of the lost one has taken over meanwhile, that one serves.
  accept_.reset();
  server_ = Descriptor();
  handed_over_ = !AcceptSuccessors(events_.listener());
  if (handed_over_) return;
  if (channel.keys_returned_) {
    events_.successor_returned();
  } else {
    events_.successor_lost();
  }
}

bool Handover::may_serve_again() const {
  const auto is_older = [this](const auto& channel) {
    return channel->ready_ && !channel->exiting_ && channel->started_at_.count() > 0 &&
           channel->started_at_ < started_at_.time_since_epoch();
  };
  return std::any_of(channels_.begin(), channels_.end(), is_older);
}

bool Handover::has_predecessor() const {
  return std::any_of(channels_.begin(), channels_.end(), [](const auto& c) { return c->to_predecessor_; });
}

void Handover::SendKey(const proto::KeyMessage& line, std::string_view result) {
  for (const auto& channel : channels_) {
    if (channel->accepts_keys_ && channel->ready_) channel->SendKey(line, result);
  }
}

void Handover::SendAttempt(std::uint64_t attempt_id) {
  const std::string line = proto::EncodeAttemptsMessage({&attempt_id, 1});
  for (const auto& channel : channels_) {
    if (channel->accepts_keys_ && channel->ready_) channel->SendLine(line);
  }
}

proto::LoadMessage Handover::siblings_load() const {
  proto::LoadMessage sum;
  for (const auto& channel : channels_) {
    sum.running += channel->load_.running;
    sum.memory_kb += channel->load_.memory_kb;
    sum.queued_work_ms += channel->load_.queued_work_ms;
    sum.connections += channel->load_.connections;
  }
  return sum;
}

void Handover::SendLoad(const proto::LoadMessage& load) {
  for (const auto& channel : channels_) {
    if (load == channel->sent_load_) continue;
    if (channel->SendReport(proto::EncodeLoadMessage(load))) channel->sent_load_ = load;
  }
}

void Handover::Sweep() { ended_.clear(); }

}  // namespace hingelink::net
