// What goes over sockets keeps its bytes: gateway frames, pool, store, registry and handover lines, the
// second address.
#include <string>
#include <variant>

#include "fixtures.h"
#include "proto/frames.h"
#include "proto/handover_lines.h"
#include "proto/ops_http.h"
#include "proto/pool_lines.h"
#include "proto/registry_http.h"
#include "proto/store_lines.h"

namespace hingelink::proto {
namespace {

using compatibility::ExpectFixture;
using compatibility::ReadFixture;
using std::chrono::milliseconds;
using Millis = std::chrono::duration<double, std::milli>;

constexpr std::uint64_t kRequestId = 0x0123456789abcdef;

TEST(GatewayFrames, AnswersKeepTheirBytes) {
  std::string bytes;
  bytes += AnswerHead(1, AnswerCode::kServed, {}, 4) + "done";
  bytes +=
      AnswerHead(2, AnswerCode::kRefused, {.signal = 0.25, .holdoff = milliseconds(120), .nomore = true}, 0);
  bytes += AnswerHead(3, AnswerCode::kFailed, {.signal = 1.0, .holdoff = std::nullopt, .nomore = false}, 0);
  bytes += HealthAnswer(4, true, 0.5);
  bytes += HealthAnswer(5, false, std::nullopt);
  bytes += NoNewRequests();
  ExpectFixture("gateway-answers.bin", bytes);
}

// The fixture is one frame with every field, as a gateway writes it.
TEST(GatewayFrames, ARequestIsReadWithEveryField) {
  const std::string bytes = ReadFixture("gateway-request.bin");
  const auto head = ReadHead(bytes);
  ASSERT_TRUE(head);
  EXPECT_EQ(head->type, static_cast<std::uint8_t>(FrameType::kRequest));
  EXPECT_EQ(head->stream, 7u);
  ASSERT_EQ(head->Size(), bytes.size());
  RequestFrame request;
  ASSERT_EQ(ParseRequest(std::string_view(bytes).substr(kHeadBytes), request), nullptr);
  EXPECT_EQ(request.kind, "order-lodge");
  EXPECT_EQ(request.req, kRequestId);
  EXPECT_EQ(request.ts.time_since_epoch(), milliseconds(1796153535000));
  EXPECT_EQ(request.timeout, milliseconds(1500));
  EXPECT_EQ(request.work, Millis(12.5));
  EXPECT_EQ(request.via, 3u);
  EXPECT_EQ(request.need_kb, 20.25);
  EXPECT_EQ(request.level, 0.75);
  EXPECT_EQ(request.subject, 0x1111222233334444u);
  ASSERT_TRUE(request.opkey);
  EXPECT_EQ(request.opkey->high, 0x5555666677778888u);
  EXPECT_EQ(request.opkey->low, 0x9999aaaabbbbccccu);
  EXPECT_EQ(request.owner, "acme");
  EXPECT_TRUE(request.resent);
  EXPECT_EQ(request.body, "the body");
}

TEST(GatewayFrames, ADeepHealthCheckIsToldFromAPlainOne) {
  EXPECT_TRUE(
      AsksForWork(std::string("\1\4real\0\1"
                              "1",
                              9)));
  EXPECT_FALSE(AsksForWork(std::string(1, '\0')));
}

TEST(PoolLines, CommandsKeepTheirBytes) {
  ExpectFixture("pool-commands.txt", BindLine(42) + SpawnLine(kRequestId, "usage-view", 11) +
                                         SupplyLine(kRequestId, 3) + PassLine(kRequestId, 9) +
                                         VerifyLine("v1") + PollLine("p2"));
}

TEST(PoolLines, NoticesAreReadWithEveryField) {
  const std::string bytes = ReadFixture("pool-notices.txt");
  std::string_view rest = bytes;
  const auto next = [&rest] {
    std::size_t size = 0;
    PoolMessage message = ParsePoolMessage(rest, size);
    rest.remove_prefix(size);
    return message;
  };
  const PoolMessage bound = next();
  ASSERT_TRUE(std::holds_alternative<PoolBound>(bound));
  EXPECT_EQ(std::get<PoolBound>(bound).since_start, Millis(2.5));
  EXPECT_TRUE(std::get<PoolBound>(next()).since_start == Millis(1));
  const RunEnd ends[] = {RunEnd::kComplete, RunEnd::kError, RunEnd::kCancelled, RunEnd::kUnknown};
  for (const RunEnd end : ends) {
    const PoolMessage message = next();
    ASSERT_TRUE(std::holds_alternative<RunFinished>(message));
    EXPECT_EQ(std::get<RunFinished>(message).end, end);
    EXPECT_EQ(std::get<RunFinished>(message).req, kRequestId);
    EXPECT_EQ(std::get<RunFinished>(message).elapsed, Millis(30.5));
    EXPECT_EQ(std::get<RunFinished>(message).result, "ok");
  }
  const PoolMessage blocked = next();
  ASSERT_TRUE(std::holds_alternative<RunBlocked>(blocked));
  EXPECT_EQ(std::get<RunBlocked>(blocked).number, 9u);
  EXPECT_EQ(std::get<RunBlocked>(blocked).body, "call");
  EXPECT_TRUE(std::get<PoolVerified>(next()).good);
  EXPECT_FALSE(std::get<PoolVerified>(next()).good);
  EXPECT_EQ(std::get<PoolPolled>(next()).gauges, (std::vector<double>{0.5, 3, 0.25, 17}));
  EXPECT_EQ(std::get<CommandUnknown>(next()).req, kRequestId);
  EXPECT_EQ(std::get<PoolChatter>(next()).number, 12u);
  EXPECT_TRUE(rest.empty());
}

TEST(StoreLines, CallsKeepTheirBytes) {
  ExpectFixture("store-calls.txt",
                CallLine(kRequestId, Millis(120.2), 5) + "hello\r\n" + DropLine(kRequestId));
}

TEST(StoreLines, RepliesAreReadWithEveryKind) {
  const std::string bytes = ReadFixture("store-replies.txt");
  std::string_view rest = bytes;
  const ReplyKind kinds[] = {ReplyKind::kOk, ReplyKind::kBusy, ReplyKind::kErr, ReplyKind::kLate,
                             ReplyKind::kVoid};
  for (const ReplyKind kind : kinds) {
    std::size_t size = 0;
    const StoreMessage message = ParseStoreReply(rest, size);
    ASSERT_TRUE(std::holds_alternative<StoreReply>(message));
    EXPECT_EQ(std::get<StoreReply>(message).kind, kind);
    EXPECT_EQ(std::get<StoreReply>(message).req, kRequestId);
    rest.remove_prefix(size);
  }
  EXPECT_TRUE(rest.empty());
}

TEST(RegistryCalls, ReportsKeepTheirBytes) {
  ExpectFixture("registry-reports.txt", ReportCall("shire-1", "127.0.0.1:8761", false) +
                                            ReportCall("shire-1", "127.0.0.1:8761", true));
}

TEST(SecondAddress, ResponsesKeepTheirBytes) {
  ExpectFixture("second-address-responses.txt", OpsResponse(200, "ready\n") + OpsResponse(404, "") +
                                                    OpsResponse(405, "", "GET, HEAD") +
                                                    OpsResponse(503, "not ready\n") + OpsResponse(400, ""));
}

TEST(HandoverLines, KeepTheirBytesAndAreReadBack) {
  const LoadLine load{.running = 3, .memory_kb = 120.5, .queued_work_ms = 80.25, .connections = 9};
  const KeyLine key{.key = {0x5555666677778888, 0x9999aaaabbbbcccc},
                    .content = kRequestId,
                    .fate = 2,
                    .left = Millis(1500.5),
                    .has_result = true,
                    .size = 4};
  LearnedLine learned;
  learned.name = "usage view";
  learned.aim = 500;
  learned.deadline = 1200;
  learned.run = 31.5;
  learned.cost = 30.25;
  learned.hint = 28;
  learned.samples = 812;
  std::string bytes(kHandoverListener);
  bytes.append(kHandoverKeys).append(kHandoverReady).append(kHandoverLeaving).append(kHandoverEnds);
  bytes += EncodeLoad(load) + EncodeKey(key) + EncodeLearned(learned).value();
  ExpectFixture("handover-lines.txt", bytes);
  const auto without_end = [](std::string line) {
    line.pop_back();
    return line;
  };
  EXPECT_EQ(ReadLoad(without_end(EncodeLoad(load))), load);
  EXPECT_EQ(ReadKey(without_end(EncodeKey(key))), key);
  EXPECT_EQ(ReadLearned(without_end(EncodeLearned(learned).value())), learned);
}

}  // namespace
}  // namespace hingelink::proto
