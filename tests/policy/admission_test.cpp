// Tests of Admission: queueing, load shedding and the advice in rejections.
#include "policy/admission.h"

#include <gtest/gtest.h>

#include <variant>

#include "policy_host.h"
#include "policy_parts.h"

namespace hingelink {
namespace {

using policy::OpenRequest;

TEST(Admission, RejectsArrivalsBeyondTheQueueLimit) {
  PolicyHost host;
  host.FillCores();
  int rejected = 0;
  for (RequestId id = 1; id <= 50; ++id) host.Arrive(id);
  for (const auto& [id, count] : host.rejections) rejected += count;
  EXPECT_GT(rejected, 20);
}

TEST(Admission, ShedsTheClassOfLowestPriorityWeight) {
  PolicyHost host;
  host.FillCores();
  for (RequestId id = 1; id <= 20; ++id) host.Arrive(id, kRead);
  host.Arrive(100, kPay);
  EXPECT_EQ(host.rejections[100], 0);
  host.Finish(1000);
  host.Finish(1001);
}

TEST(Admission, QueueLimitShrinksAfterAFewSlowRuns) {
  const auto queued_before_rejection = [](double elapsed_ms) {
    PolicyHost host;
    host.runnable = 4;
    RequestId id = 1;
    for (; id <= 40; ++id) {
      host.Arrive(id);
      host.Finish(id, Outcome::kOk, 100);
    }
    for (; id <= 48; ++id) {
      host.Arrive(id);
      host.Finish(id, Outcome::kOk, elapsed_ms);
    }
    host.FillCores();
    int count = 0;
    for (id = 100; host.rejections.empty() && count < 100; ++id) {
      host.Arrive(id);
      ++count;
    }
    return count;
  };
  EXPECT_LT(queued_before_rejection(500) * 2, queued_before_rejection(100));
}

// If a few callers all stayed away for the whole queue wait, the cores would become idle before they return.
TEST(Admission, RetryAfterIsShorterThanTheQueueWait) {
  PolicyHost host;
  host.runnable = 4;
  for (RequestId id = 1; id <= 20; ++id) {
    host.Arrive(id);
    host.Finish(id, Outcome::kOk, 200);
  }
  host.FillCores();
  double retry_after_ms = 0;
  int queued = 0;
  for (RequestId id = 100; retry_after_ms == 0 && queued < 100; ++id) {
    for (const Action& action : host.Step({host.MakeArrival(id)})) {
      if (const auto* reject = std::get_if<Reject>(&action)) retry_after_ms = reject->retry_after_ms;
    }
    queued += retry_after_ms == 0 ? 1 : 0;
  }
  EXPECT_GT(retry_after_ms, 0);
  EXPECT_LT(retry_after_ms, 0.8 * queued * 200 / 2);
}

TEST(Admission, RejectionAdvisesNoOtherServerOnlyInARetryStorm) {
  for (const bool retries : {false, true}) {
    PolicyHost host;
    host.FillCores();
    host.SetBusy(true);
    bool advises_no_other = false;
    for (RequestId id = 1; id <= 400; ++id) {
      Arrival arrival = host.MakeArrival(id);
      arrival.is_retry = retries && id % 2 == 0;
      for (const Action& action : host.Step({arrival})) {
        const auto* reject = std::get_if<Reject>(&action);
        if (reject != nullptr && reject->id == id && !arrival.is_retry)
          advises_no_other = reject->no_other_server;
      }
    }
    EXPECT_EQ(advises_no_other, retries);
  }
}

TEST(Admission, EnqueuedRequestWaitsForAStart) {
  PolicyParts parts;
  OpenRequest& request = parts.Open(1, kRead);
  parts.admission.Enqueue(1, request);
  EXPECT_EQ(request.state, policy::RequestState::kQueued);
  EXPECT_EQ(parts.queue.First({kRead, false}), 1u);
  EXPECT_EQ(parts.totals.queued_work_with_sibling_ms(), request.core_time_ms);
}

TEST(Admission, RejectedRequestIsForgotten) {
  PolicyParts parts;
  OpenRequest& request = parts.Open(1, kRead);
  parts.admission.Enqueue(1, request);
  parts.admission.RejectRequest(1, request);
  ASSERT_EQ(parts.Emitted<Reject>().size(), 1u);
  EXPECT_EQ(parts.requests.Find(1), nullptr);
  EXPECT_TRUE(parts.queue.IsEmpty({kRead, false}));
  EXPECT_EQ(parts.totals.Current(), Load{});
}

TEST(Admission, RejectionIsNotSentToADisconnectedCaller) {
  PolicyParts parts;
  OpenRequest& request = parts.Open(1, kRead);
  request.caller_disconnected = true;
  parts.admission.RejectRequest(1, request);
  EXPECT_TRUE(parts.Emitted<Reject>().empty());
  EXPECT_EQ(parts.requests.Find(1), nullptr);
}

TEST(Admission, RejectionWhileDrainingAdvisesTheLongestRetryAfterAndOtherServers) {
  PolicyParts parts;
  ASSERT_TRUE(parts.drain.Begin(0, 3000));
  parts.admission.RejectRequest(1, parts.Open(1, kRead));
  ASSERT_EQ(parts.Emitted<Reject>().size(), 1u);
  EXPECT_EQ(parts.Emitted<Reject>()[0].retry_after_ms, parts.settings.max_retry_after_ms);
  EXPECT_FALSE(parts.Emitted<Reject>()[0].no_other_server);
}

TEST(Admission, RetryAfterIsOnlySentIfConfigured) {
  Settings settings = TestSettings();
  settings.sends_retry_after = false;
  PolicyParts parts(settings);
  ASSERT_TRUE(parts.drain.Begin(0, 3000));
  parts.admission.RejectRequest(1, parts.Open(1, kRead));
  ASSERT_EQ(parts.Emitted<Reject>().size(), 1u);
  EXPECT_EQ(parts.Emitted<Reject>()[0].retry_after_ms, 0);
}

}  // namespace
}  // namespace hingelink
