// Tests of UpstreamCalls: which execution may call the upstream, and how failed calls are handled.
#include "policy/upstream_calls.h"

#include <gtest/gtest.h>

#include "policy_host.h"
#include "policy_parts.h"

namespace hingelink {
namespace {

TEST(UpstreamCalls, CallThatIsNotIdempotentIsRetriedOnlyIfProvenNotRun) {
  for (const ClassIndex class_index : {kPay, kOnce}) {
    for (const Outcome outcome : {Outcome::kError, Outcome::kTimeout, Outcome::kReset}) {
      PolicyHost host;
      host.Arrive(1, class_index);
      host.Step({UpstreamCallRequested{1}});
      ASSERT_EQ(host.upstream_calls[1], 1);
      host.Step({UpstreamCallFinished{1, outcome, 50}});
      EXPECT_EQ(host.upstream_calls[1], 1);
      EXPECT_EQ(host.failures[1], 1);
      EXPECT_EQ(host.rejections[1], 0);
    }
    PolicyHost host;
    host.Arrive(1, class_index);
    host.Step({UpstreamCallRequested{1}});
    host.Step({UpstreamCallFinished{1, Outcome::kConnectFailed, 1}});
    host.AdvanceTo(host.now + 1000);
    EXPECT_GE(host.upstream_calls[1], 2);
    EXPECT_EQ(host.rejections[1], 0);
  }
}

// An upstream that rejects a call is likely to reject an immediate retry too.
TEST(UpstreamCalls, RejectedCallIsRetriedLaterNotAtOnce) {
  Settings settings = TestSettings();
  settings.upstream_call_quota = 1.5;  // One call at a time.
  PolicyHost host(settings);
  host.Arrive(1, kPay);
  host.Step({UpstreamCallRequested{1}});
  for (int attempts = 1; attempts <= 8; ++attempts) {
    ASSERT_EQ(host.upstream_calls[1], attempts);
    host.Step({UpstreamCallFinished{1, Outcome::kFull, 1}});
    host.AdvanceTo(host.now + settings.abandoned_call_ms / 2);
    ASSERT_EQ(host.upstream_calls[1], attempts);
    host.AdvanceTo(host.now + settings.abandoned_call_ms);
  }
  EXPECT_EQ(host.failures[1], 0);
}

TEST(UpstreamCalls, LeastValuableWaitingCallFallsBackWhenTooManyWait) {
  Settings settings = TestSettings();
  settings.upstream_call_quota = 1;
  settings.cores = 8;
  settings.memory_kb = 1e6;
  PolicyHost host(settings);
  for (RequestId id = 1; id <= 2; ++id) {
    host.Arrive(id, kFind);
    host.Step({UpstreamCallRequested{id}});
  }
  host.Arrive(3, kPay);
  host.Step({UpstreamCallRequested{3}});
  // One call is in flight and two calls wait, of which one is above the limit.
  EXPECT_EQ(host.upstream_calls[1], 1);
  EXPECT_EQ(host.fallbacks[2], 1);
  EXPECT_EQ(host.fallbacks[3] + host.failures[3], 0);
}

TEST(UpstreamCalls, TimedOutCallUsesTheFallbackIfItHasAWeight) {
  PolicyHost host;
  host.Arrive(1, kFind);
  host.Step({UpstreamCallRequested{1}});
  host.Step({UpstreamCallFinished{1, Outcome::kTimeout, 500}});
  EXPECT_EQ(host.fallbacks[1], 1);
  EXPECT_EQ(host.failures[1], 0);
}

TEST(UpstreamCalls, CallIsAllowedWithoutAnUpstreamQuota) {
  Settings settings = TestSettings();
  settings.has_upstream = false;
  settings.upstream_call_quota = 0;
  PolicyHost host(settings);
  host.Arrive(1, kPay);
  host.Step({UpstreamCallRequested{1}});
  EXPECT_EQ(host.upstream_calls[1], 1);
}

TEST(UpstreamCalls, MostValuableCallStartsFirst) {
  Settings settings = TestSettings();
  settings.upstream_call_quota = 2;  // One call at a time.
  PolicyParts parts(settings);
  parts.Open(1, kFind).state = policy::RequestState::kRunning;
  parts.Open(2, kPay).state = policy::RequestState::kRunning;
  parts.calls.OnRequested({.id = 1}, 0);
  parts.calls.OnRequested({.id = 2}, 0);
  parts.calls.StartWaiting(0);
  ASSERT_EQ(parts.Emitted<StartUpstreamCall>().size(), 1u);
  EXPECT_EQ(parts.Emitted<StartUpstreamCall>()[0].id, 2u);
}

TEST(UpstreamCalls, TimeoutOfACallWithFallbackLeavesTimeForTheObjective) {
  PolicyParts parts;
  parts.Open(1, kFind).state = policy::RequestState::kRunning;
  parts.calls.OnRequested({.id = 1}, 0);
  parts.calls.StartWaiting(0);
  ASSERT_EQ(parts.Emitted<StartUpstreamCall>().size(), 1u);
  // The objective of 1,000 ms minus 0.8 of the estimated duration of 150 ms.
  EXPECT_DOUBLE_EQ(parts.Emitted<StartUpstreamCall>()[0].timeout_ms, 880);
}

TEST(UpstreamCalls, CallOfAnAnsweredRequestFailsWithoutStarting) {
  PolicyParts parts;
  policy::OpenRequest& request = parts.Open(1, kPay);
  request.state = policy::RequestState::kRunning;
  request.answered = true;
  parts.calls.OnRequested({.id = 1}, 0);
  parts.calls.StartWaiting(0);
  EXPECT_EQ(parts.Emitted<Fail>().size(), 1u);
  EXPECT_TRUE(parts.Emitted<StartUpstreamCall>().empty());
}

}  // namespace
}  // namespace hingelink
