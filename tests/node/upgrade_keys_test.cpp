// Tests of the idempotency keys in an upgrade: a process hands over to a successor, or ends while a successor
// starts, and callers repeat requests that the process has executed.
#include <sys/un.h>

#include <cstdio>
#include <map>
#include <set>

#include "deployment.h"
#include "proto/handover_lines.h"
#include "scripted_peers.h"

namespace hingelink::standin {
namespace {

using peers::Frame;
using peers::kFailed;
using peers::kServed;
using ScriptedGateway = peers::Gateway;

// Enough keys that the messages to the successor exceed what one write to its channel takes.
constexpr int kManyClaims = 400;

// A caller of numbered claims. A claim has the same key and body in each attempt, and its body may be
// executed once.
class ClaimCaller {
 public:
  explicit ClaimCaller(const std::string& address) : gateway_(address) {}

  static std::string BodyOf(int claim) {
    return WorkBody(Millis(1), "claim " + std::to_string(claim), {.calls = 0, .once = true});
  }
  static std::uint64_t IdOf(int claim, int attempt) {
    return 0xa0000000 + static_cast<std::uint64_t>(attempt) * 0x100000 + static_cast<std::uint64_t>(claim);
  }
  // The result of the first attempt of the claim.
  static std::string ResultOfFirst(int claim) { return ResultOf(IdOf(claim, 0), BodyOf(claim)); }

  // Sends this attempt of all claims from 0 to `count` - 1. Returns the answers by claim.
  std::map<int, Frame> SendAll(int count, int attempt) {
    // Few enough that a node does not shed load.
    constexpr int kMaxOpenRequests = 8;
    std::map<int, Frame> answers;
    for (int first = 0; first < count; first += kMaxOpenRequests) {
      const int end = std::min(count, first + kMaxOpenRequests);
      const std::uint32_t first_stream = next_stream_;
      for (int claim = first; claim < end; ++claim) gateway_.Write(Encode(next_stream_++, claim, attempt));
      for (int claim = first; claim < end; ++claim) {
        Frame answer = gateway_.Read();
        if (answer.type == peers::kStopNewRequestsFrame) answer = gateway_.Read();
        const int answered = first + static_cast<int>(answer.stream - first_stream);
        answers.emplace(answered, std::move(answer));
      }
    }
    return answers;
  }
  Frame Send(int claim, int attempt) {
    gateway_.Write(Encode(next_stream_++, claim, attempt));
    return gateway_.Read();
  }

 private:
  static std::string Encode(std::uint32_t stream, int claim, int attempt) {
    char key[33], id[17];
    std::snprintf(key, sizeof key, "%032x", 0xabc0000 + claim);
    std::snprintf(id, sizeof id, "%016llx", static_cast<unsigned long long>(IdOf(claim, attempt)));
    return ScriptedGateway::Request(stream, id, BodyOf(claim),
                                    {{"kind", "claim"},
                                     {"opkey", key},
                                     {"owner", "north"},
                                     {"timeout", std::string(ScriptedGateway::kOmitted)}});
  }

  ScriptedGateway gateway_;
  std::uint32_t next_stream_ = 1;
};

// A request without a key that is executed for so long.
std::string LongMatch(Millis work) {
  return ScriptedGateway::Request(
      1, "00000000000000d0", WorkBody(work, "u"),
      {{"kind", "match"}, {"owner", "west"}, {"timeout", std::string(ScriptedGateway::kOmitted)}});
}

// The successor's end of a handover channel. It reads nothing but the first line until ReadToEnd().
class ScriptedSuccessor {
 public:
  explicit ScriptedSuccessor(const std::string& folder)
      : socket_(::socket(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    sockaddr_un address{};
    address.sun_family = AF_UNIX;
    std::snprintf(address.sun_path, sizeof address.sun_path, "%s/hingelink.sock", folder.c_str());
    EXPECT_EQ(connect(socket_.fd(), reinterpret_cast<const sockaddr*>(&address), sizeof address), 0);
    // The descriptor that comes with the line is not taken.
    EXPECT_EQ(socket_.ReadBytes(proto::kHandoverListener.size()), proto::kHandoverListener);
  }
  void SendReady() {
    socket_.Write(proto::kHandoverKeys);
    socket_.Write(proto::kHandoverReady);
  }
  std::string ReadToEnd() { return socket_.ReadToEnd(); }

 private:
  peers::Socket socket_;
};

class UpgradeKeysTest : public testing::Test {
 protected:
  static constexpr std::uint64_t kWindowMs = 4'000;

  UpgradeKeysTest() : deployment_(Options()) {
    deployment_.ResetNode(0);
    predecessor_ = deployment_.SpawnProcess(0, 0);
    EXPECT_TRUE(Deployment::AwaitEvent(predecessor_, "pool-bound", 20s));
  }
  // Executes claims at the predecessor. The connection is closed afterwards.
  void RunClaims(int count) {
    ClaimCaller caller(deployment_.ListenOf(0));
    for (const auto& [claim, answer] : caller.SendAll(count, 0)) {
      ASSERT_EQ(answer.code, kServed) << claim;
      ASSERT_EQ(answer.body, ClaimCaller::ResultOfFirst(claim));
    }
  }
  // Repeats the claims. Each must be answered with the result of its first attempt.
  void ExpectReplays(int count, int attempt) {
    ClaimCaller caller(deployment_.ListenOf(0));
    int replayed = 0;
    for (const auto& [claim, answer] : caller.SendAll(count, attempt))
      replayed += answer.code == kServed && answer.body == ClaimCaller::ResultOfFirst(claim);
    EXPECT_EQ(replayed, count);
    ExpectNoneRanTwice();
  }
  void ExpectNoneRanTwice() { EXPECT_EQ(deployment_.CountsOfPool(0).run_twice, 0u); }
  // A worker pool that is not up yet, as the next process finds it.
  void UsePoolThatIsNotUp() { absent_pool_.emplace(); }
  // The pool is up at its real address, which the process learns by a reload.
  void MovePool(const Deployment::Process& process, std::size_t pool_address) {
    absent_pool_.reset();
    std::ofstream(process.config) << deployment_.ConfigOf(0, pool_address);
    kill(process.pid, SIGHUP);
  }
  // Kills a process without notice.
  void Kill(const Deployment::Process& process) {
    kill(process.pid, SIGKILL);
    waitpid(process.pid, nullptr, 0);
    deployment_.ForgetProcess(0, process.pid);
  }

  Deployment deployment_;
  Deployment::Process predecessor_;

 private:
  Deployment::Options Options() {
    return {.nodes = 1,
            .window_ms = kWindowMs,
            .tenant_quota_rps = 1e6,
            .starts_nodes = false,
            .edit_config = [this](nlohmann::ordered_json& config) {
              if (absent_pool_) config["pool"] = absent_pool_->Address();
            }};
  }

  std::optional<peers::Listener> absent_pool_;
};

// Guards against claims that are rejected although the successor has their results: the confirmation that all
// keys were sent was dropped behind a long list of keys, and a predecessor with a request in flight stayed.
TEST_F(UpgradeKeysTest, ClaimsThatRanAreReplayedWhileThePredecessorHasARequestInFlight) {
  RunClaims(kManyClaims);
  ScriptedGateway in_flight(deployment_.ListenOf(0));
  in_flight.Write(LongMatch(Millis(3'000)));
  const Deployment::Process successor = deployment_.SpawnProcess(0, 1);
  ASSERT_TRUE(Deployment::AwaitEvent(predecessor_, "handed-over", 20s));
  ExpectReplays(kManyClaims, 1);
  EXPECT_EQ(Deployment::LogOf(successor).find("handover-overdue"), std::string::npos);
  EXPECT_EQ(in_flight.Read().type, peers::kStopNewRequestsFrame);
  EXPECT_EQ(in_flight.ReadAnswer(1, kServed).body, ResultOf(0xd0, WorkBody(Millis(3'000), "u")));
}

}  // namespace
}  // namespace hingelink::standin
