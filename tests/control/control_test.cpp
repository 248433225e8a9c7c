// Tests of the control socket with well-behaved, faulty and malicious clients.
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/un.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <ctime>
#include <filesystem>
#include <thread>

#include "cli/process.h"
#include "control/client.h"
#include "control/protocol.h"
#include "control/server.h"
#include "schema/schema.h"
#include "standin/host.h"

namespace {

using namespace std::chrono_literals;
using hingelink::control::Client;
using hingelink::control::Json;
using hingelink::control::RequestError;
using hingelink::control::Server;
using hingelink::control::UnreachableError;
using nlohmann::json;

// A server on its own event loop whose snapshots carry a sequence number.
class ServerFixture {
 public:
  explicit ServerFixture(uid_t owner = geteuid(), std::size_t snapshot_bytes = 100) {
    path = folder_.path() + "/c.sock";
    host.Do([&] {
      server.emplace(
          host.base(), Server::Options{.path = path, .owner = owner},
          [this, snapshot_bytes] {
            return Json{{"number", ++snapshots}, {"fill", std::string(snapshot_bytes, 'x')}};
          },
          std::map<std::string, Server::Handler>{
              {"version",
               [](const json&) {
                 return Json{{"version", "t"}};
               }},
              {"drain", [](const json&) -> Json { throw RequestError("no", "not now"); }}});
    });
  }
  ~ServerFixture() {
    host.Do([this] { server.reset(); });
  }
  std::size_t clients() {
    std::size_t count = 0;
    host.Do([&] { count = server->clients(); });
    return count;
  }
  std::uint64_t skipped_snapshots() {
    std::uint64_t count = 0;
    host.Do([&] { count = server->skipped_snapshots(); });
    return count;
  }

  hingelink::standin::Host host;
  std::string path;
  std::atomic<int> snapshots{0};
  std::optional<Server> server;

 private:
  hingelink::cli::TemporaryFolder folder_;
};

// A raw connection, for sending invalid requests.
class RawConnection {
 public:
  explicit RawConnection(const std::string& path) : fd_(socket(AF_UNIX, SOCK_STREAM, 0)) {
    sockaddr_un at{};
    at.sun_family = AF_UNIX;
    path.copy(at.sun_path, sizeof at.sun_path - 1);
    connected = connect(fd_, reinterpret_cast<sockaddr*>(&at), sizeof at) == 0;
    const timeval receive_timeout{20, 0};
    setsockopt(fd_, SOL_SOCKET, SO_RCVTIMEO, &receive_timeout, sizeof receive_timeout);
  }
  ~RawConnection() { close(fd_); }
  void Write(const std::string& text) const { (void)!send(fd_, text.data(), text.size(), MSG_NOSIGNAL); }
  // Returns all bytes received until the server closes the connection.
  std::string ReadUntilClosed() const {
    std::string all;
    char bytes[4096];
    for (ssize_t got; (got = recv(fd_, bytes, sizeof bytes, 0)) > 0;)
      all.append(bytes, static_cast<std::size_t>(got));
    return all;
  }
  bool connected = false;

 private:
  int fd_;
};

TEST(Control, ReturnsResultsAndErrorCodes) {
  ServerFixture fixture;
  Client client(fixture.path);
  EXPECT_EQ(client.Call("version")["version"], "t");
  EXPECT_EQ(client.Call("status")["number"], 1);
  try {
    client.Call("drain");
    FAIL();
  } catch (const RequestError& error) {
    EXPECT_EQ(error.code(), "no");
  }
  try {
    client.Call("reload");
    FAIL();
  } catch (const RequestError& error) {
    EXPECT_EQ(error.code(), "not-here");
  }
  // The connection is still usable after the errors.
  EXPECT_EQ(client.Call("version")["version"], "t");
}

TEST(Control, InvalidRequestGetsErrorAndConnectionStaysOpen) {
  ServerFixture fixture;
  const std::pair<const char*, const char*> faults[] = {
      {"nonsense\n", "bad-json"},
      {"[]\n", "bad-request"},
      {"\n", "bad-json"},
      {"{\"v\":2,\"id\":1,\"op\":\"status\"}\n", "bad-request"},
      {"{\"v\":1,\"id\":-1,\"op\":\"status\"}\n", "bad-request"},
      {"{\"v\":1,\"id\":1}\n", "bad-request"},
      {"{\"v\":1,\"id\":1,\"op\":\"shutdown\"}\n", "bad-request"},
      {"{\"v\":1,\"id\":1,\"op\":\"status\",\"more\":1}\n", "bad-request"},
      {"{\"v\":1,\"id\":1,\"op\":\"watch\",\"args\":{\"every_ms\":1}}\n", "bad-request"},
      {"{\"v\":1,\"id\":1,\"op\":\"status\"\xff}\n", "bad-json"},
  };
  for (const auto& [line, code] : faults) {
    RawConnection raw(fixture.path);
    raw.Write(line);
    raw.Write("{\"v\":1,\"id\":7,\"op\":\"version\"}\n");
    raw.Write(std::string(5000, 'x'));  // Makes the server close the connection after both responses.
    const std::string got = raw.ReadUntilClosed();
    EXPECT_NE(got.find(code), std::string::npos) << line << got;
    EXPECT_NE(got.find("\"id\":7,\"ok\":true"), std::string::npos) << line << got;
  }
}

TEST(Control, OverlongLineClosesConnection) {
  ServerFixture fixture;
  RawConnection raw(fixture.path);
  for (int i = 0; i < 300; ++i) raw.Write(std::string(1000, 'x'));
  EXPECT_NE(raw.ReadUntilClosed().find("line-too-long"), std::string::npos);
  EXPECT_EQ(Client(fixture.path).Call("version")["version"], "t");
}

TEST(Control, IncompleteLineClosesConnectionAfterTimeout) {
  ServerFixture fixture;
  RawConnection raw(fixture.path);
  raw.Write("{\"v\":1,");
  EXPECT_EQ(raw.ReadUntilClosed(), "");  // The server closes the connection after kClientTimeout.
  EXPECT_EQ(fixture.clients(), 0u);
}

TEST(Control, OnlyTheOwnerMayConnect) {
  ServerFixture fixture;
  struct stat socket_stat {};
  ASSERT_EQ(stat(fixture.path.c_str(), &socket_stat), 0);
  EXPECT_EQ(socket_stat.st_mode & 0777, 0600u);
  // The uid is checked in addition to the mode: this server accepts only another user.
  ServerFixture other_user(geteuid() + 1);
  RawConnection raw(other_user.path);
  raw.Write("{\"v\":1,\"id\":1,\"op\":\"version\"}\n");
  EXPECT_EQ(raw.ReadUntilClosed(), "");
  EXPECT_EQ(other_user.clients(), 0u);
}

// Guards against a client that sends requests without reading the responses: the server buffers at most one
// response, closes the client after a timeout and keeps serving other clients.
TEST(Control, ClientThatDoesNotReadIsClosedAndDelaysNoOtherClient) {
  ServerFixture fixture(geteuid(), 100'000);
  RawConnection raw(fixture.path);
  std::string many;
  for (int i = 0; i < 40; ++i) many += "{\"v\":1,\"id\":1,\"op\":\"status\"}\n";
  raw.Write(many);
  const auto began = std::chrono::steady_clock::now();
  EXPECT_EQ(Client(fixture.path).Call("version")["version"], "t");
  EXPECT_LT(std::chrono::steady_clock::now() - began, 2s);
  const std::clock_t cpu = std::clock();
  while (fixture.clients() > 0) std::this_thread::sleep_for(10ms);
  // The server must not spin meanwhile: libevent calls back continuously for a full input buffer unless
  // reading is disabled.
  EXPECT_LT(static_cast<double>(std::clock() - cpu) / CLOCKS_PER_SEC, 2.0);
}

// Guards against a backlog: snapshots for a watcher that does not read are skipped, not queued. When the
// watcher reads again, it gets the newest snapshot.
TEST(Control, WatcherThatPausesReadingGetsNewestSnapshotAndNoBacklog) {
  ServerFixture fixture(geteuid(), 10'000);
  Client client(fixture.path);
  client.SendRequest("watch", {{"every_ms", 100}});
  while (fixture.skipped_snapshots() < 5) std::this_thread::sleep_for(10ms);
  // The watcher reads at most what the socket held before the pause, then the newest snapshot.
  const int made = fixture.snapshots;
  auto first = client.ReadResult(5s);
  ASSERT_TRUE(first);
  EXPECT_EQ((*first)["number"], 1);
  int last = 1, read = 1;
  while (last < made) {
    const auto next = client.ReadResult(5s);
    ASSERT_TRUE(next);
    last = (*next)["number"];
    ++read;
  }
  EXPECT_LE(read, 3);
}

TEST(Control, WatchersAreLimitedAndNewClientsEvictIdleOnes) {
  ServerFixture fixture;
  std::vector<Client> watchers;
  for (std::size_t i = 0; i < hingelink::control::kMaxWatchers; ++i) {
    watchers.emplace_back(fixture.path);
    watchers.back().Call("watch");
  }
  Client ninth(fixture.path);
  EXPECT_THROW(ninth.Call("watch"), RequestError);
  std::vector<std::unique_ptr<RawConnection>> raws;
  for (int i = 0; i < 30; ++i) raws.push_back(std::make_unique<RawConnection>(fixture.path));
  EXPECT_EQ(Client(fixture.path).Call("version")["version"], "t");
  EXPECT_LE(fixture.clients(), hingelink::control::kMaxClients);
  // No watcher was closed.
  for (Client& watcher : watchers) EXPECT_TRUE(watcher.ReadResult(5s));
}

// Guards against clients that together take too much time from the loop: the rate is limited over all
// clients.
TEST(Control, RequestRateIsLimitedOverAllClients) {
  ServerFixture fixture;
  const auto began = std::chrono::steady_clock::now();
  std::vector<std::thread> threads;
  for (int i = 0; i < 4; ++i) {
    threads.emplace_back([&] {
      Client client(fixture.path);
      for (int n = 0; n < 40; ++n) client.Call("version");
    });
  }
  for (auto& t : threads) t.join();
  // 160 requests at 8 per 10 ms: the first 8 are served at once, the last ones not before the 20th interval.
  EXPECT_GE(std::chrono::steady_clock::now() - began, 19 * hingelink::control::kRateLimitInterval);
}

TEST(Control, StaleSocketIsReplacedAndLiveSocketIsNot) {
  ServerFixture fixture;
  hingelink::standin::Host host;
  host.Do([&] {
    EXPECT_THROW(Server(host.base(), {.path = fixture.path}, [] { return Json{}; }, {}), std::runtime_error);
  });
  hingelink::cli::TemporaryFolder folder;
  const std::string path = folder.path() + "/left.sock";
  const int left = socket(AF_UNIX, SOCK_STREAM, 0);
  sockaddr_un at{};
  at.sun_family = AF_UNIX;
  path.copy(at.sun_path, sizeof at.sun_path - 1);
  ASSERT_EQ(bind(left, reinterpret_cast<sockaddr*>(&at), sizeof at), 0);
  close(left);
  std::optional<Server> server;
  host.Do([&] {
    server.emplace(
        host.base(), Server::Options{.path = path}, [] { return Json{}; },
        std::map<std::string, Server::Handler>{});
  });
  EXPECT_TRUE(Client(path).Call("status").is_null());
  host.Do([&] { server.reset(); });
  EXPECT_FALSE(std::filesystem::exists(path));
  EXPECT_THROW(Client{path}, UnreachableError);
  host.Do([&] {
    EXPECT_THROW(Server(host.base(), {.path = "/tmp/" + std::string(200, 'x')}, [] { return Json{}; }, {}),
                 std::runtime_error);
  });
}

TEST(Control, SnapshotMatchesSchemaWithControlCharactersInNames) {
  hingelink::node::Snapshot snapshot;
  snapshot.name = "n";
  snapshot.classes = {{"a\x1b[2J\nb\xff", 1, 2, 3, 4, 5}, {"ü", 10, 20, 30, 40, 50}};
  snapshot.gateways = {{7, 1, 2, 3, 4, 5}};
  snapshot.drain = hingelink::node::DrainSnapshot{std::chrono::milliseconds(1200), 3};
  snapshot.pool_cpu_busy = 0.5;
  const json made = json::parse(hingelink::control::SnapshotJson(snapshot, {"1", 5, 2}).dump());
  const auto faults = hingelink::schema::Schema(hingelink::schema::ControlSnapshotSchema()).Check(made);
  EXPECT_TRUE(faults.empty()) << faults.front().Text();
  EXPECT_EQ(made["classes"][0]["name"], "a\\x1b[2J\\x0ab\\xff");
  EXPECT_EQ(made["totals"]["held"], 11);
  EXPECT_EQ(made["totals"]["failed"], 55);
  // The schema rejects an invalid snapshot.
  json wrong = made;
  wrong["totals"].erase("held");
  wrong["classes"][0]["held"] = -1;
  const auto found = hingelink::schema::Schema(hingelink::schema::ControlSnapshotSchema()).Check(wrong);
  EXPECT_GE(found.size(), 2u);
}

}  // namespace
