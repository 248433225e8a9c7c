// Tests the decoding of the simulator's batches and the encoding of the replies on literal bytes.
#include "simulator_adapter/codec.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "frames.h"
#include "simulator_adapter/errors.h"

namespace hingelink::simulator_adapter {
namespace {

TEST(Codec, DecodesEveryFieldOfArrival) {
  const std::string arrival_record =
      Hex("02 03000000 c4913a5d3b790400 192b6f0ee7bc0800 0000c441 640ad2557c3bf091 0000203f 0500"
          "9a9999999999fd3f 11000000 0300 0000000000002840 0000000000006e40 0200");
  const Batch batch = DecodeBatch(Frame(241, 1, arrival_record));
  EXPECT_EQ(batch.now_ms, 241);
  ASSERT_EQ(batch.records.size(), 1u);
  EXPECT_EQ(batch.records[0].instance, 3u);
  const auto& arrival = std::get<Arrival>(std::get<Event>(batch.records[0].content));
  EXPECT_EQ(arrival.id, 0x0004793b5d3a91c4u);
  EXPECT_EQ(arrival.original, 0x0008bce70e6f2b19u);
  EXPECT_EQ(arrival.reserved_kb, 24.5);
  EXPECT_EQ(arrival.rank, 0.625);
  EXPECT_EQ(arrival.tenant, 5);
  EXPECT_NEAR(arrival.read_delay_ms, 1.85, 1e-9);
  EXPECT_EQ(arrival.caller, 17u);
  EXPECT_TRUE(arrival.is_retry);
  EXPECT_EQ(arrival.expected_work_ms, 12);
  EXPECT_EQ(arrival.remaining_wait_ms, 240);
  EXPECT_EQ(arrival.request_class, 2);
}

TEST(Codec, IgnoresExpectedWorkWithoutItsOptionBit) {
  std::string body = "\2";
  AppendValue(body, std::uint32_t{1});
  body += std::string(8 + 8 + 4 + 8 + 4 + 2 + 8 + 4 + 2, '\0');
  AppendValue(body, 12.0);
  body += std::string(8 + 2, '\0');
  const Batch batch = DecodeBatch(Frame(0, 1, body));
  EXPECT_EQ(std::get<Arrival>(std::get<Event>(batch.records[0].content)).expected_work_ms, 0);
}

TEST(Codec, DecodesOtherEvents) {
  const std::string body =
      Hex("08 03000000 4d000000 02 0000003f 00004040") + Hex("07 03000000 0500000000000000") +
      Hex("03 03000000 0500000000000000 0000000000803240 0600") +
      Hex("05 03000000 0500000000000000 0300 0000000000003240") + Hex("04 03000000 0500000000000000") +
      Hex("06 03000000 0000000000407f40") + Hex("09 03000000");
  const Batch batch = DecodeBatch(Frame(1, 7, body));
  ASSERT_EQ(batch.records.size(), 7u);
  const auto event = [&batch](int index) { return std::get<Event>(batch.records[index].content); };
  EXPECT_EQ(std::get<TimerFired>(event(0)).token, 77u);
  EXPECT_EQ(std::get<TimerFired>(event(0)).gauges, (std::vector<double>{0.5, 3}));
  EXPECT_EQ(std::get<CallerDisconnected>(event(1)).id, 5u);
  EXPECT_EQ(std::get<Finished>(event(2)).outcome, Outcome::kCancelled);
  EXPECT_EQ(std::get<Finished>(event(2)).elapsed_ms, 18.5);
  EXPECT_EQ(std::get<UpstreamCallFinished>(event(3)).outcome, Outcome::kTimeout);
  EXPECT_EQ(std::get<UpstreamCallFinished>(event(3)).elapsed_ms, 18);
  EXPECT_EQ(std::get<UpstreamCallRequested>(event(4)).id, 5u);
  EXPECT_EQ(std::get<DrainNotice>(event(5)).remaining_ms, 500);
  EXPECT_TRUE(std::holds_alternative<RetireInstance>(batch.records[6].content));
}

TEST(Codec, EncodesReplyOfProtocolDocument) {
  ReplyEncoder reply;
  reply.Add(3, Start{0x0004793b5d3a91c4u});
  reply.Add(3, SetTimer{500, 77});
  reply.Add(5, Log{"two servers known"});
  EXPECT_EQ(reply.Finish(),
            Hex("03000000 3e000000 08 03000000 c4913a5d3b790400 02 03000000 0000000000407f40 4d000000"
                "06 05000000 1100 74776f2073657276657273206b6e6f776e"));
  EXPECT_EQ(reply.Finish(), Hex("00000000 08000000"));
}

TEST(Codec, EncodesEveryAction) {
  const auto bytes = [](const Action& action) {
    ReplyEncoder reply;
    reply.Add(1, action);
    return reply.Finish().substr(8);
  };
  EXPECT_EQ(bytes(Reject{25, true, 250}), Hex("03 01000000 1900000000000000 01 0000000000406f40"));
  EXPECT_EQ(bytes(PublishLoadSignal{0.25}), Hex("01 01000000 0000803e"));
  EXPECT_EQ(bytes(Replay{5}), Hex("0c 01000000 0500000000000000"));
  EXPECT_EQ(bytes(SetHealth{false, true}), Hex("0f 01000000 00 01"));
  EXPECT_EQ(bytes(CloseIdle{500}), Hex("0a 01000000 0000000000407f40"));
  EXPECT_EQ(bytes(RetainKey{5, 500}), Hex("05 01000000 0500000000000000 0000000000407f40"));
  EXPECT_EQ(bytes(ReleaseKey{5}), Hex("0d 01000000 0500000000000000"));
  EXPECT_EQ(bytes(Fail{5}), Hex("0e 01000000 0500000000000000"));
  EXPECT_EQ(bytes(UseFallback{5}), Hex("09 01000000 0500000000000000"));
  EXPECT_EQ(bytes(StartUpstreamCall{5, 500}), Hex("04 01000000 0500000000000000 0000000000407f40"));
}

TEST(Codec, RejectsMalformedFrames) {
  EXPECT_THROW(static_cast<void>(DecodeBatch(Frame(0, 1, ""))), FrameError);   // A record is missing.
  EXPECT_THROW(static_cast<void>(DecodeBatch(Frame(0, 0, "x"))), FrameError);  // Bytes after the last record.
  EXPECT_THROW(static_cast<void>(DecodeBatch(Frame(0, 1, Hex("3f 01000000")))),
               FrameError);  // Unknown event code.
  EXPECT_THROW(static_cast<void>(DecodeBatch(Frame(0, 1, Hex("07 01000000 05")))),
               FrameError);  // The record is truncated.
  EXPECT_THROW(static_cast<void>(DecodeBatch(Frame(0, 1, Hex("01 01000000 0000000000000000 ffffffff")))),
               FrameError);
  EXPECT_THROW(static_cast<void>(DecodeBatch(Frame(0, 1, Hex("08 01000000 4d000000 ff 0000003f")))),
               FrameError);
  EXPECT_THROW(
      static_cast<void>(DecodeBatch(Frame(0, 1, Hex("03 01000000 0500000000000000 0000000000803240 0900")))),
      FrameError);
  EXPECT_THROW(static_cast<void>(DecodeBatch(Frame(0, 1, Hex("06 01000000 000000000000f87f")))),
               FrameError);  // Not a number.
  EXPECT_THROW(static_cast<void>(DecodeBatch(Frame(0, 0, "").substr(0, 15))), FrameError);
}

}  // namespace
}  // namespace hingelink::simulator_adapter
