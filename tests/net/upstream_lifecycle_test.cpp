// The node's own links, to the worker pool and to the registry, against peers that are down, hang, reset, cut
// an answer short or fall silent. Real sockets; each peer is played step by step, and waits are for events,
// not for time.
#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

#include "../node/scripted_peers.h"
#include "net/pool_link.h"
#include "net/registry_client.h"
#include "standin/host.h"

namespace hingelink::net {
namespace {

using namespace std::chrono_literals;
using peers::Listener;
using peers::Socket;

// ---- Registry ----

class RegistryLifecycleTest : public testing::Test {
 protected:
  RegistryLifecycleTest() {
    host_.Do([this] {
      client_ = std::make_unique<RegistryClient>(host_.base(), ParseAddress(registry_.Address()),
                                                 registry_.Address(), "n3");
    });
  }
  ~RegistryLifecycleTest() override {
    host_.Do([this] { client_.reset(); });
  }
  // Reads one whole call, and gives its body.
  static std::string ReadCall(Socket& at) {
    std::size_t length = 0;
    EXPECT_EQ(at.Line(), "PUT /v1/instances/n3 HTTP/1.1");
    for (std::string line = at.Line(); !line.empty(); line = at.Line()) {
      constexpr std::string_view kLength = "Content-Length: ";
      if (line.starts_with(kLength)) length = std::stoul(line.substr(kLength.size()));
    }
    return at.Bytes(length);
  }
  bool Good() {
    bool good = false;
    host_.Do([&] { good = client_->last_report_succeeded(); });
    return good;
  }

  Listener registry_;
  standin::Host host_;
  std::unique_ptr<RegistryClient> client_;
};

const std::string kTaken = "HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n";

// Each prefix of an answer, then the end or a reset: the call counts as not taken and is made again on a new
// connection.
TEST_F(RegistryLifecycleTest, AnAnswerCutAtEachByteIsNoAnswer) {
  for (std::size_t cut = 0; cut < kTaken.size(); ++cut) {
    Socket connection = registry_.Accept();
    ReadCall(connection);
    connection.Write(kTaken.substr(0, cut));
    if (cut % 2 == 0) {
      connection.Close();
    } else {
      connection.Reset();
    }
    EXPECT_FALSE(Good()) << cut;
  }
  Socket connection = registry_.Accept();
  ReadCall(connection);
  connection.Write(kTaken);
  ReadCall(connection);  // The next report, on the same connection.
  EXPECT_TRUE(Good());
}

// In pieces, with an interim answer before it.
TEST_F(RegistryLifecycleTest, AnAnswerInPiecesIsTaken) {
  Socket connection = registry_.Accept();
  ReadCall(connection);
  for (const char byte : "HTTP/1.1 100 Continue\r\n\r\n" + kTaken) connection.Write(std::string(1, byte));
  EXPECT_EQ(ReadCall(connection), R"({"state":"ready"})");
  EXPECT_TRUE(Good());
}

// A registry that accepts and says nothing: each call is given up, and the next goes over a new connection.
TEST_F(RegistryLifecycleTest, ARegistryThatHangsIsCalledAgain) {
  Socket first = registry_.Accept();
  ReadCall(first);
  Socket second = registry_.Accept();  // While the first hangs on.
  ReadCall(second);
  EXPECT_FALSE(Good());
  second.Write(kTaken);
  ReadCall(second);
  EXPECT_TRUE(Good());
}

// The state that a notice to leave sets goes out even where the report before it hangs.
TEST_F(RegistryLifecycleTest, ADrainIsReportedBehindACallThatHangs) {
  Socket first = registry_.Accept();
  EXPECT_EQ(ReadCall(first), R"({"state":"ready"})");
  host_.Do([this] { client_->ReportDraining(); });
  Socket second = registry_.Accept();
  EXPECT_EQ(ReadCall(second), R"({"state":"draining"})");
}

// ---- Worker pool ----

class PoolLifecycleTest : public testing::Test {
 protected:
  PoolLifecycleTest() {
    host_.Do([this] {
      PoolEvents events;
      events.bound = [this](bool) { ++bound_; };
      events.finished = [this](const proto::RunFinished& run) { finished_.emplace_back(run.result); };
      events.spawn_unknown = [](std::uint64_t) {};
      events.settled = [this] { ++settled_; };
      link_ = std::make_unique<PoolLink>(host_.base(), ParseAddress(pool_.Address()), std::move(events));
    });
  }
  ~PoolLifecycleTest() override {
    host_.Do([this] { link_.reset(); });
  }
  template <class Value>
  void Await(const Value& value, const Value& wanted) {
    const auto until = Steady::now() + 20s;
    for (bool reached = false; !reached && Steady::now() < until;) {
      host_.Do([&] { reached = value == wanted; });
    }
    host_.Do([&] { EXPECT_EQ(value, wanted); });
  }

  Listener pool_;
  standin::Host host_;
  std::unique_ptr<PoolLink> link_;
  int bound_ = 0, settled_ = 0;
  std::vector<std::string> finished_;
};

// A link that is accepted and on which nothing comes: before the pool was ever up that is waited for,
// afterwards it has died without a word and another is opened.
TEST_F(PoolLifecycleTest, ALinkThatDiesSilentlyBeforeItIsBoundIsOpenedAgain) {
  Socket first = pool_.Accept();
  EXPECT_EQ(first.Line(), "bind 0");
  first.Write("bound hot 1.0\r\n");
  Await(bound_, 1);
  first.Close();
  Socket silent = pool_.Accept();
  EXPECT_EQ(silent.Line(), "bind 0");
  Socket next = pool_.Accept();  // The silent one still stands.
  EXPECT_EQ(next.Line(), "bind 0");
}

// A notice cut at each byte, by an end or a reset: it is taken once, from the link that brings it whole.
TEST_F(PoolLifecycleTest, ANoticeCutAtEachByteIsTakenOnce) {
  const std::string notice = "finished 1 00000000000000a1 complete 3.5 4\r\nwhol\r\n";
  for (std::size_t cut = 0; cut < notice.size(); ++cut) {
    Socket link = pool_.Accept();
    EXPECT_EQ(link.Line(), "bind 0");
    link.Write("bound hot 1.0\r\n" + notice.substr(0, cut));
    Await(bound_, static_cast<int>(cut) + 1);
    if (cut % 2 == 0) {
      link.Close();
    } else {
      link.Reset();
    }
  }
  Socket link = pool_.Accept();
  EXPECT_EQ(link.Line(), "bind 0");
  link.Write("bound hot 1.0\r\n" + notice);
  Await(finished_, {"whol"});
  link.Close();
  Socket last = pool_.Accept();
  EXPECT_EQ(last.Line(), "bind 1");
}

// In pieces.
TEST_F(PoolLifecycleTest, ANoticeInPiecesIsTaken) {
  Socket link = pool_.Accept();
  link.Line();
  for (const char byte :
       std::string("bound hot 1.0\r\nfinished 1 00000000000000a1 complete 3.5 2\r\nok\r\n")) {
    link.Write(std::string(1, byte));
  }
  Await(finished_, {"ok"});
}

}  // namespace
}  // namespace hingelink::net
