// The interface between a caller-facing protocol and the admission logic. A front end delivers requests and
// receives final answers. The gateways' frame protocol is one front end; other protocols can implement the
// same interface.
#ifndef HINGELINK_CORE_FRONT_END_H_
#define HINGELINK_CORE_FRONT_END_H_

#include <chrono>
#include <functional>
#include <string_view>

#include "core/answer.h"
#include "core/counter.h"
#include "core/request.h"

namespace hingelink::core {

// Call all functions on the thread that runs the event loop of the front end.
class FrontEnd {
 public:
  virtual ~FrontEnd() = default;
  // Sends the final answer to a request. Call it once for each request. Does nothing if the connection that
  // delivered the request has been closed.
  virtual void Deliver(StreamAddress to, const FinalAnswer& answer) = 0;
  // Sets the answer to all health checks received from now on. If `shallow` is true, deep health checks also
  // get this answer at once. Otherwise the front end may report a deep health check through
  // FrontEndEvents::deep_check and leave the answer to AnswerHealthCheck().
  virtual void SetHealth(bool healthy, bool shallow) = 0;
  // Answers a deep health check that FrontEndEvents::deep_check has reported. Does nothing if the connection
  // has been closed.
  virtual void AnswerHealthCheck(StreamAddress to, bool healthy) = 0;
  // Sets the load signal that is sent with answers and health responses from now on.
  virtual void SetLoadSignal(double value) = 0;
  // Closes connections that have been idle for longer than `after`, from now on.
  virtual void CloseIdle(std::chrono::milliseconds after) = 0;
};

// Callbacks of a front end, called on the thread that runs its event loop.
struct FrontEndEvents {
  // A request has arrived.
  std::function<void(const IncomingRequest&)> request;
  // The caller of this request or deep health check no longer waits for the answer.
  std::function<void(StreamAddress)> disconnected;
  // A deep health check has arrived; answer it with FrontEnd::AnswerHealthCheck().
  std::function<void(StreamAddress)> deep_check;
  // Returns the counts of the class with this name, or null if there are none. The front end counts each
  // answer there when it writes the answer.
  std::function<ClassCountsPtr(std::string_view class_name)> class_counts;
};

}  // namespace hingelink::core

#endif  // HINGELINK_CORE_FRONT_END_H_
