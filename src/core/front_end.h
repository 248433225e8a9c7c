// The interface between the callers' side and the decisions: requests come in, final answers go out. The
// gateways' frames are one front end; another protocol implements the same interface.
#ifndef HINGELINK_CORE_FRONT_END_H_
#define HINGELINK_CORE_FRONT_END_H_

#include <chrono>
#include <functional>
#include <string_view>

#include "core/answer.h"
#include "core/counter.h"
#include "core/request.h"

namespace hingelink::core {

// To be used on the thread that runs its event loop.
class FrontEnd {
 public:
  virtual ~FrontEnd() = default;
  // Delivers the one final answer of a request. Does nothing if its connection has ended.
  virtual void Deliver(StreamAddress to, const FinalAnswer& answer) = 0;
  // The answer to health checks from now on. If `shallow`, deep checks get it too; else each deep check is
  // reported by FrontEndEvents::deep_check and waits for AnswerHealthCheck().
  virtual void SetHealth(bool good, bool shallow) = 0;
  virtual void AnswerHealthCheck(StreamAddress to, bool good) = 0;
  // The load signal that accompanies answers and health checks from now on.
  virtual void SetLoadSignal(double value) = 0;
  // Closes connections that are idle for this long.
  virtual void CloseIdle(std::chrono::milliseconds after) = 0;
};

// What a front end reports, on the thread that runs its event loop.
struct FrontEndEvents {
  std::function<void(const IncomingRequest&)> request;
  // Nobody waits for this answer, or for that of a health check, any more.
  std::function<void(StreamAddress)> disconnected;
  std::function<void(StreamAddress)> deep_check;
  // The counts of a class by its name, or null. The front end counts each answer there as it writes it.
  std::function<ClassCountsPtr(std::string_view class_name)> class_counts;
};

}  // namespace hingelink::core

#endif  // HINGELINK_CORE_FRONT_END_H_
