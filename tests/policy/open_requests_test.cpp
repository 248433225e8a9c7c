// Tests of OpenRequests, the requests in flight.
#include "policy/open_requests.h"

#include <gtest/gtest.h>

#include "policy_host.h"
#include "policy_parts.h"

namespace hingelink {
namespace {

using policy::OpenRequest;

TEST(OpenRequests, OpenRequestIsFoundUntilItIsClosed) {
  PolicyParts parts;
  EXPECT_EQ(parts.requests.Find(1), nullptr);
  OpenRequest& request = parts.requests.Open(1, kFind);
  EXPECT_EQ(parts.requests.Find(1), &request);
  EXPECT_EQ(request.class_index, kFind);
  EXPECT_EQ(parts.requests.size(), 1u);
  parts.requests.Close(1, request);
  EXPECT_EQ(parts.requests.Find(1), nullptr);
}

TEST(OpenRequests, ClosedRequestHasNoDeadlineAndDoesNotCountForItsClass) {
  PolicyParts parts;
  OpenRequest& request = parts.Open(1, kFind);
  EXPECT_EQ(parts.classes[kFind].open_requests, 1);
  parts.requests.Close(1, request);
  EXPECT_EQ(parts.classes[kFind].open_requests, 0);
  EXPECT_EQ(parts.deadlines.next(), policy::kForever);
}

}  // namespace
}  // namespace hingelink
