// The classes that ServerPolicy consists of, connected to each other, for tests of a single class.
#ifndef HINGELINK_TESTS_POLICY_POLICY_PARTS_H_
#define HINGELINK_TESTS_POLICY_POLICY_PARTS_H_

#include <cstddef>
#include <cstdint>
#include <variant>
#include <vector>

#include "hingelink/server_policy.h"
#include "policy/action_sink.h"
#include "policy/admission.h"
#include "policy/arrival_stats.h"
#include "policy/busy_gate.h"
#include "policy/class_table.h"
#include "policy/concurrency_limiter.h"
#include "policy/deadline_queue.h"
#include "policy/dispatch.h"
#include "policy/drain.h"
#include "policy/idempotency_table.h"
#include "policy/load_totals.h"
#include "policy/open_requests.h"
#include "policy/request_completion.h"
#include "policy/request_intake.h"
#include "policy/stall_detector.h"
#include "policy/start_queue.h"
#include "policy/tenant_quotas.h"
#include "policy/upstream_calls.h"
#include "policy_host.h"

namespace hingelink {

struct PolicyParts {
  explicit PolicyParts(const Settings& chosen = TestSettings()) : settings(chosen) {
    classes.Configure();
    queue.Resize(classes.size());
    quotas.Reset();
    limiter.Begin(0);
    busy_gate.Begin(0);
  }
  PolicyParts(const PolicyParts&) = delete;
  PolicyParts& operator=(const PolicyParts&) = delete;

  // Opens a request that is not queued yet, with an objective and a deadline in ms.
  policy::OpenRequest& Open(RequestId id, std::size_t class_index, double objective = 1000,
                            double deadline = 4000) {
    policy::OpenRequest& request = requests.Open(id, class_index);
    request.reserved_kb = 10;
    request.core_time_ms = 100;
    request.objective = objective;
    request.deadline = deadline;
    totals.ReserveMemory(request);
    deadlines.ScheduleAnswer(id, request);
    return request;
  }

  // The actions of type T since the last Clear(), in order.
  template <typename T>
  std::vector<T> Emitted() const {
    std::vector<T> found;
    for (const Action& action : actions.actions()) {
      if (const auto* each = std::get_if<T>(&action)) found.push_back(*each);
    }
    return found;
  }

  Settings settings;
  policy::ActionSink actions;
  policy::ClassTable classes{settings};
  policy::DeadlineQueue deadlines{settings};
  policy::OpenRequests requests{classes, deadlines};
  policy::StartQueue queue;
  policy::LoadTotals totals{settings};
  policy::ConcurrencyLimiter limiter{settings};
  policy::BusyGate busy_gate{settings};
  policy::StallDetector stall{settings};
  policy::Drain drain{settings};
  policy::TenantQuotas quotas{settings};
  policy::ArrivalStats arrivals;
  policy::IdempotencyTable idempotency{settings, classes, requests, totals, drain, actions};
  policy::UpstreamCalls calls{{settings, classes, requests, deadlines, totals, stall, actions}, 1};
  policy::Admission admission{{settings, classes, requests, queue, totals, limiter, busy_gate, stall, drain,
                               arrivals, idempotency, actions}};
  policy::Dispatch dispatch{
      {classes, requests, queue, totals, limiter, busy_gate, stall, calls, admission, idempotency, actions}};
  policy::RequestIntake intake{{settings, classes, requests, deadlines, totals, busy_gate, stall, drain,
                                quotas, arrivals, admission, idempotency}};
  policy::RequestCompletion completion{
      {settings, classes, requests, deadlines, queue, totals, stall, calls, admission, idempotency, actions}};
};

}  // namespace hingelink

#endif  // HINGELINK_TESTS_POLICY_POLICY_PARTS_H_
