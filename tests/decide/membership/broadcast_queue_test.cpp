#include "decide/membership/broadcast_queue.h"

#include <gtest/gtest.h>

#include <deque>
#include <string>
#include <vector>

#include "member_records.h"

namespace hingelink::decide::membership {
namespace {

constexpr std::size_t kMaxBytes = 1200;
constexpr std::size_t kLiveMembers = 10;

class BroadcastQueueTest : public testing::Test {
 protected:
  Member& Enqueue(const std::string& name) {
    Member& member = members_.emplace_back();
    member.record = MakeRecord(name, 5);
    queue_.Enqueue(member);
    return member;
  }
  // Appends queued records to a message, and returns the names of these records.
  std::vector<std::string> Send(std::size_t max_bytes = kMaxBytes, const std::string& receiver = {}) {
    GossipMessage message;
    queue_.AppendRecords(message, max_bytes, receiver, kLiveMembers);
    std::vector<std::string> names;
    for (const MemberRecord& record : message.records) names.push_back(record.name);
    EXPECT_LE(MaxEncodedSize(message), max_bytes);
    return names;
  }

  std::deque<Member> members_;
  BroadcastQueue queue_{4};
};

TEST_F(BroadcastQueueTest, SendsLeastTransmittedRecordFirst) {
  Enqueue("a");
  Send();
  Enqueue("b");
  EXPECT_EQ(Send(), (std::vector<std::string>{"b", "a"}));
}

TEST_F(BroadcastQueueTest, DropsEntryAtTransmitLimit) {
  Enqueue("a");
  const unsigned limit = queue_.TransmitLimit(kLiveMembers);
  for (unsigned i = 0; i < limit; ++i) EXPECT_EQ(Send().size(), 1U);
  EXPECT_TRUE(Send().empty());
  EXPECT_TRUE(queue_.empty());
}

TEST_F(BroadcastQueueTest, KeepsOneEntryPerMember) {
  Member& member = Enqueue("a");
  Send();
  queue_.Enqueue(member);
  EXPECT_EQ(queue_.size(), 1U);
}

TEST_F(BroadcastQueueTest, KeepsMessageWithinMaxBytes) {
  for (int i = 0; i < 30; ++i) Enqueue("n" + std::to_string(i));
  EXPECT_EQ(Send(200).size(), 3U);
}

TEST_F(BroadcastQueueTest, OmitsRecordOfTheReceiver) {
  Enqueue("a");
  Enqueue("b");
  EXPECT_EQ(Send(kMaxBytes, "a"), std::vector<std::string>{"b"});
}

TEST_F(BroadcastQueueTest, LowersTransmitLimitOfALongQueue) {
  const unsigned limit = queue_.TransmitLimit(1'000);
  for (int i = 0; i < 128; ++i) Enqueue("n" + std::to_string(i));
  EXPECT_EQ(queue_.TransmitLimit(1'000), limit / 2);
}

}  // namespace
}  // namespace hingelink::decide::membership
