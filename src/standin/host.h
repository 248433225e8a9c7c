// A thread with a libevent loop for stand-ins, so that a test or a tool can drive them from its own thread.
#ifndef HINGELINK_STANDIN_HOST_H_
#define HINGELINK_STANDIN_HOST_H_

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>

#include "net/event.h"

namespace hingelink::standin {

class Host {
 public:
  Host();
  // Stops the loop. Stand-ins on it must be gone by then, or be made and ended within Do().
  ~Host();
  event_base* base() const { return base_.get(); }
  // Runs `work` on the loop and waits for it. What it throws is thrown here.
  void Do(const std::function<void()>& work);

 private:
  void Take();

  net::BasePtr base_;
  net::EventPtr wake_;
  std::mutex mutex_;
  std::condition_variable taken_;
  std::deque<std::function<void()>> work_;
  bool stop_ = false;
  std::thread thread_;
};

}  // namespace hingelink::standin

#endif  // HINGELINK_STANDIN_HOST_H_
