#include "standin/host.h"

#include <event2/thread.h>

#include <exception>
#include <stdexcept>

namespace hingelink::standin {

Host::Host() {
  // Before any base that two threads know of is made.
  if (evthread_use_pthreads() != 0) throw std::runtime_error("libevent: no threads");
  base_ = net::MakeBase();
  wake_.reset(event_new(
      base_.get(), -1, EV_PERSIST,
      [](evutil_socket_t, short, void* self) { static_cast<Host*>(self)->Take(); }, this));
  if (!wake_) throw std::runtime_error("libevent: no event");
  thread_ = std::thread([this] { event_base_loop(base_.get(), EVLOOP_NO_EXIT_ON_EMPTY); });
}

Host::~Host() {
  {
    const std::lock_guard lock(mutex_);
    stop_ = true;
  }
  event_active(wake_.get(), 0, 0);
  thread_.join();
}

void Host::Take() {
  std::unique_lock lock(mutex_);
  while (!work_.empty()) {
    const std::function<void()> work = std::move(work_.front());
    work_.pop_front();
    lock.unlock();
    work();
    lock.lock();
  }
  if (stop_) event_base_loopbreak(base_.get());
}

void Host::Do(const std::function<void()>& work) {
  std::exception_ptr fault;
  bool done = false;
  std::unique_lock lock(mutex_);
  work_.push_back([&] {
    try {
      work();
    } catch (...) {
      fault = std::current_exception();
    }
    const std::lock_guard over(mutex_);
    done = true;
    taken_.notify_all();
  });
  event_active(wake_.get(), 0, 0);
  taken_.wait(lock, [&done] { return done; });
  if (fault) std::rethrow_exception(fault);
}

}  // namespace hingelink::standin
