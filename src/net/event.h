// RAII wrappers of libevent objects, with durations as std::chrono types.
#ifndef HINGELINK_NET_EVENT_H_
#define HINGELINK_NET_EVENT_H_

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <event2/util.h>
#include <netinet/in.h>
#include <pthread.h>

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace hingelink::net {

using Steady = std::chrono::steady_clock;

// Event priorities: ready events of high priority run before those of normal priority.
inline constexpr int kHighPriority = 0, kNormalPriority = 1, kPriorityCount = 2;

struct LibeventDeleter {
  void operator()(event_base* base) const { event_base_free(base); }
  void operator()(event* e) const { event_free(e); }
  void operator()(bufferevent* bev) const { bufferevent_free(bev); }
  void operator()(evconnlistener* listener) const { evconnlistener_free(listener); }
};
using BasePtr = std::unique_ptr<event_base, LibeventDeleter>;
using EventPtr = std::unique_ptr<event, LibeventDeleter>;
using BufferPtr = std::unique_ptr<bufferevent, LibeventDeleter>;
using ListenerPtr = std::unique_ptr<evconnlistener, LibeventDeleter>;

// Owns a file descriptor and closes it on destruction.
class Descriptor {
 public:
  explicit Descriptor(evutil_socket_t fd = -1) : fd_(fd) {}
  Descriptor(Descriptor&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
  Descriptor& operator=(Descriptor&& other) noexcept {
    std::swap(fd_, other.fd_);
    return *this;
  }
  ~Descriptor() {
    if (fd_ >= 0) evutil_closesocket(fd_);
  }
  evutil_socket_t get() const { return fd_; }
  evutil_socket_t release() { return std::exchange(fd_, -1); }

 private:
  evutil_socket_t fd_;
};

// Creates an event base without libevent's cached time, which is outdated after long callbacks. The process
// ignores SIGPIPE from then on. Throws std::runtime_error.
BasePtr MakeBase();

timeval ToTimeval(Steady::duration span);

// One-shot timer: fires `span` after the last Start().
class Timer {
 public:
  Timer(event_base* base, std::function<void()> fire, int priority = kNormalPriority);
  void Start(Steady::duration span);
  void Stop();

 private:
  std::function<void()> fire_;
  EventPtr event_;
};

// Parses an address of the form 127.0.0.1:80. Throws std::invalid_argument that quotes the text.
sockaddr_in ParseAddress(const std::string& text);

// Restricts a thread to these CPUs. Returns false if the system call fails.
bool PinThreadToCpus(pthread_t thread, const std::vector<unsigned>& units);

void SetNoDelay(evutil_socket_t fd);
std::uint16_t LocalPort(evutil_socket_t fd);

// The received bytes that are not consumed yet, as one contiguous view.
std::string_view ReceivedBytes(bufferevent* bev);
void Consume(bufferevent* bev, std::size_t bytes);
std::size_t UnsentBytes(bufferevent* bev);
void Send(bufferevent* bev, std::string_view bytes);

}  // namespace hingelink::net

#endif  // HINGELINK_NET_EVENT_H_
