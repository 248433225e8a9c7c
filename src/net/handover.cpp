#include "net/handover.h"

#include <sys/socket.h>
#include <sys/un.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdio>
#include <cstring>
#include <string_view>

#include "log/log.h"

namespace hingelink::net {
namespace {

using namespace std::chrono_literals;

constexpr char kName[] = "/hingelink.sock";
constexpr int kBacklog = 4;
// Successors at a time. Guards the descriptors.
constexpr std::size_t kMostChannels = 4;
// For the predecessor to send its listening socket, in the middle of a flood and on part of a core. Guards
// against one that hangs: this process then listens for itself.
constexpr timeval kPatience{2, 0};
// For its word that it takes no more clients.
constexpr auto kSettle = 1s;
// Unsent bytes from which keys are told without their results; the keys alone are told in any case.
constexpr std::size_t kUnsentResults = 4 << 20;

// Whether `path` fits into an address.
bool ToAddress(const std::string& path, sockaddr_un& address) {
  address = {};
  address.sun_family = AF_UNIX;
  if (path.size() >= sizeof address.sun_path) return false;
  std::memcpy(address.sun_path, path.data(), path.size());
  return true;
}

Descriptor UnixSocket(int flags) {
  return Descriptor(socket(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC | flags, 0));
}

// A message of one line that carries one descriptor. Not to be moved: it points into itself.
struct LineWithSocket {
  char line[proto::kHandoverListener.size()];
  iovec text{line, sizeof line};
  alignas(cmsghdr) char control[CMSG_SPACE(sizeof(int))] = {};
  msghdr message{};

  LineWithSocket() {
    message.msg_iov = &text;
    message.msg_iovlen = 1;
    message.msg_control = control;
    message.msg_controllen = sizeof control;
  }
  LineWithSocket(const LineWithSocket&) = delete;
  LineWithSocket& operator=(const LineWithSocket&) = delete;
};

// Sends the first line, with the listening socket.
bool SendListener(evutil_socket_t to, evutil_socket_t listener) {
  LineWithSocket out;
  std::memcpy(out.line, proto::kHandoverListener.data(), sizeof out.line);
  cmsghdr* head = CMSG_FIRSTHDR(&out.message);
  head->cmsg_level = SOL_SOCKET;
  head->cmsg_type = SCM_RIGHTS;
  head->cmsg_len = CMSG_LEN(sizeof(int));
  std::memcpy(CMSG_DATA(head), &listener, sizeof listener);
  return sendmsg(to, &out.message, MSG_NOSIGNAL) == static_cast<ssize_t>(sizeof out.line);
}

Descriptor ReceiveListenerMessage(evutil_socket_t from) {
  LineWithSocket in;
  const ssize_t got = recvmsg(from, &in.message, MSG_CMSG_CLOEXEC | MSG_WAITALL);
  const cmsghdr* head = got > 0 ? CMSG_FIRSTHDR(&in.message) : nullptr;
  if (head == nullptr || head->cmsg_type != SCM_RIGHTS) return Descriptor();
  int fd = -1;
  std::memcpy(&fd, CMSG_DATA(head), sizeof fd);
  Descriptor listener(fd);
  const bool whole = std::string_view(in.line, static_cast<std::size_t>(got)) == proto::kHandoverListener;
  return whole ? std::move(listener) : Descriptor();
}

}  // namespace

class Handover::Channel {
 public:
  Channel(Handover& handover, Descriptor fd, bool to_predecessor)
      : to_predecessor_(to_predecessor),
        handover_(handover),
        bev_(bufferevent_socket_new(handover.base_, fd.release(), BEV_OPT_CLOSE_ON_FREE)) {
    if (!bev_) throw std::runtime_error("libevent: no bufferevent");
    bufferevent_priority_set(bev_.get(), kHighPriority);
    bufferevent_setcb(
        bev_.get(), [](bufferevent*, void* self) { static_cast<Channel*>(self)->Read(); }, nullptr,
        [](bufferevent*, short what, void* self) {
          auto* it = static_cast<Channel*>(self);
          it->handover_.End(*it, (what & BEV_EVENT_EOF) != 0 ? "peer-closed" : "reset");
        },
        this);
    bufferevent_setwatermark(bev_.get(), EV_READ, 0, 2 * proto::kMaxKeyResultBytes);
    bufferevent_enable(bev_.get(), EV_READ | EV_WRITE);
  }

  void Say(std::string_view line) {
    // Guards against a process that hangs and takes nothing: it is told no more.
    if (UnsentBytes(bev_.get()) < 64 * proto::kMaxHandoverLineBytes) Send(bev_.get(), line);
  }
  // Never left out: guards against a key that runs in both processes. Their number has its bound.
  void SayKey(proto::KeyMessage line, std::string_view result) {
    line.has_result = line.has_result && UnsentBytes(bev_.get()) < kUnsentResults;
    Send(bev_.get(), proto::EncodeKeyMessage(line));
    if (!line.has_result) return;
    Send(bev_.get(), result);
    Send(bev_.get(), "\n");
  }
  // At the end of this process, past the loop.
  void SayEnds() {
    const auto size = static_cast<ssize_t>(proto::kHandoverExiting.size());
    if (UnsentBytes(bev_.get()) > 0) return;
    if (send(bufferevent_getfd(bev_.get()), proto::kHandoverExiting.data(), proto::kHandoverExiting.size(),
             MSG_NOSIGNAL | MSG_DONTWAIT) != size) {
      log::Warn("handover-unsaid");
    }
  }
  void Stop() {
    bufferevent_setcb(bev_.get(), nullptr, nullptr, nullptr, nullptr);
    bufferevent_disable(bev_.get(), EV_READ | EV_WRITE);
  }

  const bool to_predecessor_;
  proto::LoadMessage load_;
  bool keys_ = false;   // A successor that takes what is told of keys.
  bool ready_ = false;  // A successor that takes the clients.
  bool ends_ = false;   // It said so.

 private:
  void Read() {
    for (;;) {
      const std::string_view all = ReceivedBytes(bev_.get());
      const std::size_t end = all.find('\n');
      if (end == std::string_view::npos) {
        if (all.size() >= proto::kMaxHandoverLineBytes) handover_.End(*this, "line");
        return;
      }
      std::size_t size = end + 1;
      if (const auto key = proto::ParseKeyMessage(all.substr(0, end)); key && to_predecessor_) {
        const std::size_t behind = key->has_result ? key->size + 1 : 0;
        if (all.size() < size + behind) return;
        handover_.events_.key_received(*key, all.substr(size, key->size));
        size += behind;
      } else {
        handover_.Take(*this, all.substr(0, size));
      }
      Consume(bev_.get(), size);
    }
  }

  Handover& handover_;
  BufferPtr bev_;
};

Handover::Handover(event_base* base, const std::string& folder, Events events)
    : base_(base), events_(std::move(events)), overdue_(base, [this] {
        log::Warn("handover-overdue");
        takeover_complete_ = true;
        events_.takeover_state_changed();
      }) {
  sockaddr_un address;
  if (folder.empty()) return;
  // The longer name that is bound first must fit, too.
  if (ToAddress(folder + kName + '.' + std::to_string(getpid()), address)) {
    path_ = folder + kName;
  } else {
    log::Warn("handover-off", {{"what", "the folder's path is too long"}});
  }
}

void Handover::StopAcceptingSuccessors() {
  // A successor has put its own socket there.
  if (server_.get() >= 0 && !handed_over_) unlink(path_.c_str());
  accept_.reset();
  server_ = Descriptor();
}

Handover::~Handover() {
  // Guards against a predecessor that takes clients again, though a third process does.
  for (const auto& channel : channels_) {
    if (handed_over_ && channel->to_predecessor_) channel->SayEnds();
  }
  StopAcceptingSuccessors();
}

Descriptor Handover::RequestListener() {
  sockaddr_un address;
  if (path_.empty() || !ToAddress(path_, address)) return Descriptor();
  Descriptor channel = UnixSocket(0);
  if (channel.get() < 0) return Descriptor();
  // Also bounds connect().
  setsockopt(channel.get(), SOL_SOCKET, SO_RCVTIMEO, &kPatience, sizeof kPatience);
  setsockopt(channel.get(), SOL_SOCKET, SO_SNDTIMEO, &kPatience, sizeof kPatience);
  // Guards against a file that a killed process left behind: nobody accepts there.
  if (connect(channel.get(), reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
    return Descriptor();
  }
  errno = 0;
  Descriptor listener = ReceiveListenerMessage(channel.get());
  if (listener.get() < 0) {
    const int error = errno;
    log::Warn("handover-failed", {{"what", std::strerror(error)}});
    // It hangs, and may have run anything: it stays the predecessor until it ends, or wakes and tells. Guards
    // against a keyed request that runs here too; its listening socket, once it comes, is not taken any more.
    if (error != EAGAIN && error != EWOULDBLOCK) return Descriptor();
  }
  evutil_make_socket_nonblocking(channel.get());
  takeover_complete_ = keys_known_ = false;
  Add(std::move(channel), true);
  if (listener.get() < 0) return listener;
  log::Info("handover-begins");
  return listener;
}

void Handover::AcceptSuccessors(evutil_socket_t listener) {
  sockaddr_un address;
  const std::string fresh = path_ + '.' + std::to_string(getpid());
  if (path_.empty() || server_.get() >= 0 || !ToAddress(fresh, address)) return;
  listener_ = listener;
  Descriptor server = UnixSocket(SOCK_NONBLOCK);
  unlink(fresh.c_str());
  // Bound under a name of its own and then moved there: at no time is there a socket that nobody serves.
  if (server.get() < 0 ||
      bind(server.get(), reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 ||
      listen(server.get(), kBacklog) != 0 || std::rename(fresh.c_str(), path_.c_str()) != 0) {
    log::Warn("handover-off", {{"what", std::strerror(errno)}});
    unlink(fresh.c_str());
    return;
  }
  server_ = std::move(server);
  accept_.reset(event_new(
      base_, server_.get(), EV_READ | EV_PERSIST,
      [](evutil_socket_t, short, void* self) { static_cast<Handover*>(self)->Accept(); }, this));
  if (!accept_) throw std::runtime_error("libevent: no event");
  event_priority_set(accept_.get(), kHighPriority);
  event_add(accept_.get(), nullptr);
}

void Handover::Accept() {
  Descriptor fd(accept4(server_.get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
  if (fd.get() < 0 || channels_.size() >= kMostChannels) return;
  if (!SendListener(fd.get(), listener_)) return;
  log::Info("handover-begins", {{"successor", true}});
  Add(std::move(fd), false);
  // Right behind the listener: it is there before the successor's worker pool is bound, and its decisions
  // begin.
  for (const proto::LearnedClassMessage& learned : events_.learned()) {
    if (const auto line = proto::EncodeLearnedClassMessage(learned)) channels_.back()->Say(*line);
  }
  events_.siblings_load_changed();
}

void Handover::Add(Descriptor fd, bool to_predecessor) {
  channels_.push_back(std::make_unique<Channel>(*this, std::move(fd), to_predecessor));
  told_ = {};  // As far as it knows: the next SendLoad() says what is true.
}

void Handover::SendReady() {
  for (const auto& channel : channels_) {
    if (!channel->to_predecessor_) continue;
    channel->Say(proto::kHandoverKeys);
    channel->Say(proto::kHandoverReady);
    overdue_.Start(kSettle);
  }
}

void Handover::Take(Channel& channel, std::string_view line) {
  if (line == proto::kHandoverReady && !channel.to_predecessor_) {
    channel.ready_ = true;
    // Before the word that it may run them.
    if (channel.keys_) {
      events_.send_keys(
          [&channel](const proto::KeyMessage& key, std::string_view result) { channel.SayKey(key, result); });
    }
    channel.Say(proto::kHandoverDraining);
    handed_over_ = true;
    events_.successor_ready();
  } else if (line == proto::kHandoverDraining && channel.to_predecessor_) {
    overdue_.Stop();
    takeover_complete_ = keys_known_ = true;
    events_.takeover_state_changed();
    log::Info("handover-done");
  } else if (line == proto::kHandoverKeys) {
    channel.keys_ = true;
  } else if (line == proto::kHandoverExiting) {
    channel.ends_ = true;
  } else if (const auto load = proto::ParseLoadMessage(line.substr(0, line.size() - 1))) {
    channel.load_ = *load;
    events_.siblings_load_changed();
  } else if (const auto learned = proto::ParseLearnedClassMessage(line.substr(0, line.size() - 1));
             learned && channel.to_predecessor_) {
    events_.predecessor_learned(*learned);
  }
}

void Handover::End(Channel& channel, const char* reason) {
  const auto it = std::find_if(channels_.begin(), channels_.end(),
                               [&channel](const auto& entry) { return entry.get() == &channel; });
  if (it == channels_.end()) return;
  log::Info("handover-channel-end", {{"reason", channel.ends_ ? "ended" : reason},
                                     {"other", channel.to_predecessor_ ? "predecessor" : "successor"}});
  channel.Stop();
  ended_.push_back(std::move(*it));
  channels_.erase(it);
  if (channel.to_predecessor_) {
    overdue_.Stop();
    // One that has ended runs nothing more, as behind a crash.
    takeover_complete_ = keys_known_ = true;
    events_.takeover_state_changed();
  }
  events_.siblings_load_changed();
  if (channel.ready_ && !channel.ends_) {
    handed_over_ = std::any_of(channels_.begin(), channels_.end(), [](const auto& c) { return c->ready_; });
    if (handed_over_) return;
    // The lost one has put its socket where this one's was.
    accept_.reset();
    server_ = Descriptor();
    AcceptSuccessors(listener_);
    events_.successor_lost();
  }
}

bool Handover::has_predecessor() const {
  return std::any_of(channels_.begin(), channels_.end(), [](const auto& c) { return c->to_predecessor_; });
}

void Handover::SendKey(const proto::KeyMessage& line, std::string_view result) {
  for (const auto& channel : channels_) {
    if (channel->keys_ && channel->ready_) channel->SayKey(line, result);
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
  if (load == told_) return;
  told_ = load;
  const std::string line = proto::EncodeLoadMessage(load);
  for (const auto& channel : channels_) channel->Say(line);
}

void Handover::Sweep() { ended_.clear(); }

}  // namespace hingelink::net
