#include "net/event.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <charconv>
#include <csignal>
#include <stdexcept>
#include <utility>

namespace hingelink::net {

namespace {

constexpr int kMaxNormalCallbacks = 64;

}  // namespace

BasePtr MakeBase() {
  // A write to a connection that its peer has reset reports EPIPE to its caller instead of ending the
  // process.
  std::signal(SIGPIPE, SIG_IGN);
  const std::unique_ptr<event_config, decltype(&event_config_free)> config(event_config_new(),
                                                                           &event_config_free);
  if (!config) throw std::runtime_error("libevent could not allocate an event configuration");
  event_config_set_flag(config.get(), EVENT_BASE_FLAG_NO_CACHE_TIME);
  event_config_set_flag(config.get(), EVENT_BASE_FLAG_PRECISE_TIMER);
  // libevent checks for high-priority events again after kMaxNormalCallbacks callbacks of normal priority, so
  // that a flood of normal events does not delay them.
  event_config_set_max_dispatch_interval(config.get(), nullptr, kMaxNormalCallbacks, kNormalPriority);
  BasePtr base(event_base_new_with_config(config.get()));
  if (!base) throw std::runtime_error("libevent could not create an event base");
  // New events get the middle priority, which is kNormalPriority.
  if (event_base_priority_init(base.get(), kPriorityCount) != 0)
    throw std::runtime_error("libevent could not set the number of event priorities");
  return base;
}

timeval ToTimeval(Steady::duration span) {
  const auto us = std::max<std::int64_t>(0, std::chrono::ceil<std::chrono::microseconds>(span).count());
  return {static_cast<time_t>(us / 1'000'000), static_cast<suseconds_t>(us % 1'000'000)};
}

Timer::Timer(event_base* base, std::function<void()> fire, int priority)
    : fire_(std::move(fire)),
      event_(evtimer_new(
          base, [](evutil_socket_t, short, void* self) { static_cast<Timer*>(self)->fire_(); }, this)) {
  if (!event_) throw std::runtime_error("libevent could not create a timer");
  event_priority_set(event_.get(), priority);
}

void Timer::Start(Steady::duration span) {
  const timeval in = ToTimeval(span);
  evtimer_add(event_.get(), &in);
}

void Timer::Stop() { evtimer_del(event_.get()); }

sockaddr_in ParseAddress(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  sockaddr_in address{};
  address.sin_family = AF_INET;
  std::uint16_t port = 0;
  if (colon != std::string::npos) {
    const char* last = text.data() + text.size();
    const auto [end, fault] = std::from_chars(text.data() + colon + 1, last, port);
    if (fault == std::errc() && end == last &&
        inet_pton(AF_INET, text.substr(0, colon).c_str(), &address.sin_addr) == 1) {
      address.sin_port = htons(port);
      return address;
    }
  }
  throw std::invalid_argument("address '" + text + "' is not of the form 127.0.0.1:80");
}

bool PinThreadToCpus(pthread_t thread, const std::vector<unsigned>& units) {
  cpu_set_t set;
  CPU_ZERO(&set);
  for (const unsigned unit : units) {
    if (unit < CPU_SETSIZE) CPU_SET(unit, &set);
  }
  return pthread_setaffinity_np(thread, sizeof set, &set) == 0;
}

void SetNoDelay(evutil_socket_t fd) {
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

std::uint16_t LocalPort(evutil_socket_t fd) {
  sockaddr_in address{};
  socklen_t size = sizeof address;
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}

std::string_view ReceivedBytes(bufferevent* bev) {
  evbuffer* in = bufferevent_get_input(bev);
  const std::size_t size = evbuffer_get_length(in);
  if (size == 0) return {};
  return {reinterpret_cast<const char*>(evbuffer_pullup(in, -1)), size};
}

void Consume(bufferevent* bev, std::size_t bytes) { evbuffer_drain(bufferevent_get_input(bev), bytes); }

std::size_t UnsentBytes(bufferevent* bev) { return evbuffer_get_length(bufferevent_get_output(bev)); }

void Send(bufferevent* bev, std::string_view bytes) { bufferevent_write(bev, bytes.data(), bytes.size()); }

}  // namespace hingelink::net
