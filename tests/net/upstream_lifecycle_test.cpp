// Tests of the node's connections to the worker pool and to the registry with peers that are unreachable,
// hang, reset connections or send truncated responses. The peers are scripted over real sockets, and the
// tests wait for events and not for fixed times.
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
  // Reads one complete report and returns its body.
  static std::string ReadReport(Socket& connection) {
    std::size_t length = 0;
    EXPECT_EQ(connection.ReadLine(), "PUT /v1/instances/n3 HTTP/1.1");
    for (std::string line = connection.ReadLine(); !line.empty(); line = connection.ReadLine()) {
      constexpr std::string_view kLength = "Content-Length: ";
      if (line.starts_with(kLength)) length = std::stoul(line.substr(kLength.size()));
    }
    return connection.ReadBytes(length);
  }
  bool LastReportSucceeded() {
    bool succeeded = false;
    host_.Do([&] { succeeded = client_->last_report_succeeded(); });
    return succeeded;
  }

  Listener registry_;
  standin::Host host_;
  std::unique_ptr<RegistryClient> client_;
};

const std::string kAccepted = "HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n";

// For each prefix of a response, followed by a close or a reset: the report counts as failed and is repeated
// on a new connection.
TEST_F(RegistryLifecycleTest, TruncatedResponseCountsAsFailedReport) {
  for (std::size_t cut = 0; cut < kAccepted.size(); ++cut) {
    Socket connection = registry_.Accept();
    ReadReport(connection);
    connection.Write(kAccepted.substr(0, cut));
    if (cut % 2 == 0) {
      connection.Close();
    } else {
      connection.Reset();
    }
    EXPECT_FALSE(LastReportSucceeded()) << cut;
  }
  Socket connection = registry_.Accept();
  ReadReport(connection);
  connection.Write(kAccepted);
  ReadReport(connection);  // The next report, on the same connection.
  EXPECT_TRUE(LastReportSucceeded());
}

// The response follows an interim response.
TEST_F(RegistryLifecycleTest, ResponseReceivedByteByByteIsAccepted) {
  Socket connection = registry_.Accept();
  ReadReport(connection);
  for (const char byte : "HTTP/1.1 100 Continue\r\n\r\n" + kAccepted) connection.Write(std::string(1, byte));
  EXPECT_EQ(ReadReport(connection), R"({"state":"ready"})");
  EXPECT_TRUE(LastReportSucceeded());
}

// A registry accepts connections and does not respond: each report times out, and the next uses a new
// connection.
TEST_F(RegistryLifecycleTest, ReportIsRepeatedIfRegistryDoesNotRespond) {
  Socket first = registry_.Accept();
  ReadReport(first);
  Socket second = registry_.Accept();  // The first one is still open.
  ReadReport(second);
  EXPECT_FALSE(LastReportSucceeded());
  second.Write(kAccepted);
  ReadReport(second);
  EXPECT_TRUE(LastReportSucceeded());
}

// A node that starts to drain reports this state even if the previous report is still unanswered.
TEST_F(RegistryLifecycleTest, DrainIsReportedWhileEarlierReportIsUnanswered) {
  Socket first = registry_.Accept();
  EXPECT_EQ(ReadReport(first), R"({"state":"ready"})");
  host_.Do([this] { client_->ReportDraining(); });
  Socket second = registry_.Accept();
  EXPECT_EQ(ReadReport(second), R"({"state":"draining"})");
}

// ---- Worker pool ----

class PoolLifecycleTest : public testing::Test {
 protected:
  PoolLifecycleTest() {
    host_.Do([this] {
      PoolEvents events;
      events.bound = [this](bool) { ++bound_events_; };
      events.finished = [this](const proto::RunFinished& run) { finished_.emplace_back(run.result); };
      events.spawn_unknown = [](std::uint64_t) {};
      events.ready = [this] { ++ready_events_; };
      link_ = std::make_unique<PoolLink>(host_.base(), ParseAddress(pool_.Address()), std::move(events));
    });
  }
  ~PoolLifecycleTest() override {
    host_.Do([this] { link_.reset(); });
  }
  template <class Value>
  void WaitForValue(const Value& value, const Value& expected) {
    const auto deadline = Steady::now() + 20s;
    for (bool reached = false; !reached && Steady::now() < deadline;) {
      host_.Do([&] { reached = value == expected; });
    }
    host_.Do([&] { EXPECT_EQ(value, expected); });
  }

  Listener pool_;
  standin::Host host_;
  std::unique_ptr<PoolLink> link_;
  int bound_events_ = 0, ready_events_ = 0;
  std::vector<std::string> finished_;
};

// A connection is established, but the pool does not accept the link and sends nothing. Before the pool has
// ever accepted a link, the node waits. Afterwards it considers the connection broken and opens another.
TEST_F(PoolLifecycleTest, LinkThatIsNotAcceptedAfterEarlierAcceptanceIsReopened) {
  Socket first = pool_.Accept();
  EXPECT_EQ(first.ReadLine(), "bind 0");
  first.Write("bound hot 1.0\r\n");
  WaitForValue(bound_events_, 1);
  first.Close();
  Socket silent = pool_.Accept();
  EXPECT_EQ(silent.ReadLine(), "bind 0");
  Socket next = pool_.Accept();  // The silent one is still open.
  EXPECT_EQ(next.ReadLine(), "bind 0");
}

// For each prefix of a notice, followed by a close or a reset: the notice is handled once, when a link
// delivers it completely.
TEST_F(PoolLifecycleTest, TruncatedNoticeIsHandledOnceAfterReconnect) {
  const std::string notice = "finished 1 00000000000000a1 complete 3.5 4\r\nwhol\r\n";
  for (std::size_t cut = 0; cut < notice.size(); ++cut) {
    Socket link = pool_.Accept();
    EXPECT_EQ(link.ReadLine(), "bind 0");
    link.Write("bound hot 1.0\r\n" + notice.substr(0, cut));
    WaitForValue(bound_events_, static_cast<int>(cut) + 1);
    if (cut % 2 == 0) {
      link.Close();
    } else {
      link.Reset();
    }
  }
  Socket link = pool_.Accept();
  EXPECT_EQ(link.ReadLine(), "bind 0");
  link.Write("bound hot 1.0\r\n" + notice);
  WaitForValue(finished_, {"whol"});
  link.Close();
  Socket last = pool_.Accept();
  EXPECT_EQ(last.ReadLine(), "bind 1");
}

TEST_F(PoolLifecycleTest, NoticeReceivedByteByByteIsHandled) {
  Socket link = pool_.Accept();
  link.ReadLine();
  for (const char byte :
       std::string("bound hot 1.0\r\nfinished 1 00000000000000a1 complete 3.5 2\r\nok\r\n")) {
    link.Write(std::string(1, byte));
  }
  WaitForValue(finished_, {"ok"});
}

}  // namespace
}  // namespace hingelink::net
