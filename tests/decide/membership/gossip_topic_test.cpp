#include "decide/membership/gossip_topic.h"

#include <gtest/gtest.h>

#include <string>
#include <string_view>
#include <vector>

#include "member_records.h"

namespace hingelink::decide {
namespace {

constexpr std::size_t kMaxMessageBytes = 1200;

// Returns bodies of fixed sizes, and records the payloads that it receives.
class FixedSizeTopic : public GossipTopic {
 public:
  FixedSizeTopic(std::uint8_t id, std::size_t delta_bytes, std::size_t state_bytes)
      : id_(id), delta_(delta_bytes, 'd'), state_(state_bytes, 's') {}

  std::uint8_t id() const override { return id_; }
  std::string EncodeDelta(Milliseconds, const PeerAddress&, std::size_t) override { return delta_; }
  std::string EncodeFullState(Milliseconds, const PeerAddress&, std::size_t) override { return state_; }
  void OnMessage(Milliseconds, const MemberRecord& from, std::string_view body) override {
    received.push_back(from.name + ":" + std::string(body));
  }

  std::vector<std::string> received;

 private:
  std::uint8_t id_;
  std::string delta_;
  std::string state_;
};

std::vector<Payload> PayloadsOf(GossipTopics& topics, GossipMessageKind kind) {
  GossipMessage message = MakeGossip({MakeRecord("a", 5)});
  message.kind = kind;
  topics.AppendPayloads(Milliseconds(0), {}, message, kMaxMessageBytes);
  EXPECT_LE(MaxEncodedSize(message), kMaxMessageBytes);
  return message.payloads;
}

TEST(GossipTopics, AppendsDeltasToAnyMessageAndFullStateToSyncMessagesOnly) {
  FixedSizeTopic topic(3, 10, 20);
  GossipTopics topics;
  topics.Register(topic);
  const Payload delta{3, std::string(10, 'd')};
  const Payload state{3, std::string(20, 's')};
  EXPECT_EQ(PayloadsOf(topics, GossipMessageKind::kPing), std::vector<Payload>{delta});
  EXPECT_EQ(PayloadsOf(topics, GossipMessageKind::kSyncRequest), (std::vector<Payload>{delta, state}));
  EXPECT_EQ(PayloadsOf(topics, GossipMessageKind::kSyncResponse), (std::vector<Payload>{delta, state}));
}

TEST(GossipTopics, DropsBodyThatIsTooLong) {
  FixedSizeTopic too_long(1, kMaxPayloadBytes, 5);
  GossipTopics topics;
  topics.Register(too_long);
  EXPECT_EQ(PayloadsOf(topics, GossipMessageKind::kSyncRequest),
            (std::vector<Payload>{{1, std::string(5, 's')}}));
}

TEST(GossipTopics, AlternatesWhichTopicIsFirst) {
  FixedSizeTopic left(1, 400, 0);
  FixedSizeTopic right(2, 400, 0);
  GossipTopics topics;
  topics.Register(left);
  topics.Register(right);
  const std::uint8_t first = PayloadsOf(topics, GossipMessageKind::kPing).front().topic;
  const std::uint8_t second = PayloadsOf(topics, GossipMessageKind::kPing).front().topic;
  EXPECT_NE(first, second);
}

TEST(GossipTopics, DispatchesPayloadsByTopicAndIgnoresUnknownTopics) {
  FixedSizeTopic topic(3, 0, 0);
  GossipTopics topics;
  topics.Register(topic);
  GossipMessage message = MakeGossip({MakeRecord("a", 5)});
  message.payloads = {{3, "known"}, {4, "unknown"}};
  topics.Dispatch(Milliseconds(0), message);
  EXPECT_EQ(topic.received, std::vector<std::string>{"a:known"});
}

}  // namespace
}  // namespace hingelink::decide
