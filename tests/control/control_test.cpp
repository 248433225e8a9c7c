// The control socket against clients that mean well and clients that do not.
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

// A server on a loop of its own, whose snapshots are numbered.
class Served {
 public:
  explicit Served(uid_t owner = geteuid(), std::size_t snapshot_bytes = 100) {
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
  ~Served() {
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

// A connection that says what it likes.
class Raw {
 public:
  explicit Raw(const std::string& path) : fd_(socket(AF_UNIX, SOCK_STREAM, 0)) {
    sockaddr_un at{};
    at.sun_family = AF_UNIX;
    path.copy(at.sun_path, sizeof at.sun_path - 1);
    connected = connect(fd_, reinterpret_cast<sockaddr*>(&at), sizeof at) == 0;
    const timeval patience{20, 0};
    setsockopt(fd_, SOL_SOCKET, SO_RCVTIMEO, &patience, sizeof patience);
  }
  ~Raw() { close(fd_); }
  void Write(const std::string& text) const { (void)!send(fd_, text.data(), text.size(), MSG_NOSIGNAL); }
  // All that comes until the other side closes.
  std::string Rest() const {
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

TEST(Control, AnswersAndSaysNoWithACode) {
  Served served;
  Client client(served.path);
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
  // The connection has borne it all.
  EXPECT_EQ(client.Call("version")["version"], "t");
}

TEST(Control, WhatIsNoRequestIsToldSoAndTheConnectionStays) {
  Served served;
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
    Raw raw(served.path);
    raw.Write(line);
    raw.Write("{\"v\":1,\"id\":7,\"op\":\"version\"}\n");
    raw.Write(std::string(5000, 'x'));  // Ends the connection, behind both answers.
    const std::string got = raw.Rest();
    EXPECT_NE(got.find(code), std::string::npos) << line << got;
    EXPECT_NE(got.find("\"id\":7,\"ok\":true"), std::string::npos) << line << got;
  }
}

TEST(Control, ALineWithoutEndIsBoundedAndEnded) {
  Served served;
  Raw raw(served.path);
  for (int i = 0; i < 300; ++i) raw.Write(std::string(1000, 'x'));
  EXPECT_NE(raw.Rest().find("line-too-long"), std::string::npos);
  EXPECT_EQ(Client(served.path).Call("version")["version"], "t");
}

TEST(Control, AHalfLineIsGivenUp) {
  Served served;
  Raw raw(served.path);
  raw.Write("{\"v\":1,");
  EXPECT_EQ(raw.Rest(), "");  // Within kClientTimeout, by the server.
  EXPECT_EQ(served.clients(), 0u);
}

TEST(Control, OnlyTheOwnerMayConnect) {
  Served served;
  struct stat seen {};
  ASSERT_EQ(stat(served.path.c_str(), &seen), 0);
  EXPECT_EQ(seen.st_mode & 0777, 0600u);
  // Behind the mode stands the uid itself: this server is another's.
  Served others(geteuid() + 1);
  Raw raw(others.path);
  raw.Write("{\"v\":1,\"id\":1,\"op\":\"version\"}\n");
  EXPECT_EQ(raw.Rest(), "");
  EXPECT_EQ(others.clients(), 0u);
}

// A client that asks for ever and never reads: it is held to one answer, is ended, and delays nobody.
TEST(Control, AClientThatNeverReadsIsEnded) {
  Served served(geteuid(), 100'000);
  Raw raw(served.path);
  std::string many;
  for (int i = 0; i < 40; ++i) many += "{\"v\":1,\"id\":1,\"op\":\"status\"}\n";
  raw.Write(many);
  const auto began = std::chrono::steady_clock::now();
  EXPECT_EQ(Client(served.path).Call("version")["version"], "t");
  EXPECT_LT(std::chrono::steady_clock::now() - began, 2s);
  const std::clock_t cpu = std::clock();
  while (served.clients() > 0) std::this_thread::sleep_for(10ms);
  // It waits without spinning: libevent calls for a full buffer without end unless it is told not to.
  EXPECT_LT(static_cast<double>(std::clock() - cpu) / CLOCKS_PER_SEC, 2.0);
}

// Snapshots for a watcher that stands still are left out, not kept; when it reads again it gets the newest.
TEST(Control, AWatcherThatStandsStillGetsTheNewestAndNoBacklog) {
  Served served(geteuid(), 10'000);
  Client client(served.path);
  client.SendRequest("watch", {{"every_ms", 100}});
  while (served.skipped_snapshots() < 5) std::this_thread::sleep_for(10ms);
  // At most what lay in the socket when it stood still, and then the newest.
  const int made = served.snapshots;
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

TEST(Control, WatchersAreBoundedAndClientsMakeRoom) {
  Served served;
  std::vector<Client> watchers;
  for (std::size_t i = 0; i < hingelink::control::kMaxWatchers; ++i) {
    watchers.emplace_back(served.path);
    watchers.back().Call("watch");
  }
  Client ninth(served.path);
  EXPECT_THROW(ninth.Call("watch"), RequestError);
  std::vector<std::unique_ptr<Raw>> raws;
  for (int i = 0; i < 30; ++i) raws.push_back(std::make_unique<Raw>(served.path));
  EXPECT_EQ(Client(served.path).Call("version")["version"], "t");
  EXPECT_LE(served.clients(), hingelink::control::kMaxClients);
  // No watcher had to go.
  for (Client& watcher : watchers) EXPECT_TRUE(watcher.ReadResult(5s));
}

// However many ask however often: so many a second over all, and the loop's own work goes on.
TEST(Control, RequestsAreBoundedOverAllClients) {
  Served served;
  const auto began = std::chrono::steady_clock::now();
  std::vector<std::thread> threads;
  for (int i = 0; i < 4; ++i) {
    threads.emplace_back([&] {
      Client client(served.path);
      for (int n = 0; n < 40; ++n) client.Call("version");
    });
  }
  for (auto& t : threads) t.join();
  // 160 requests at 8 for each 10 ms: the first 8 at once, the last not before the 20th turn.
  EXPECT_GE(std::chrono::steady_clock::now() - began, 19 * hingelink::control::kRateLimitInterval);
}

TEST(Control, ASocketLeftBehindIsReplacedAndOneThatAnswersIsNot) {
  Served served;
  hingelink::standin::Host host;
  host.Do([&] {
    EXPECT_THROW(Server(host.base(), {.path = served.path}, [] { return Json{}; }, {}), std::runtime_error);
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

TEST(Control, ASnapshotKeepsItsSchemaWhateverItsNamesHold) {
  hingelink::node::Snapshot seen;
  seen.name = "n";
  seen.classes = {{"a\x1b[2J\nb\xff", 1, 2, 3, 4, 5}, {"ü", 10, 20, 30, 40, 50}};
  seen.gateways = {{7, 1, 2, 3, 4, 5}};
  seen.drain = hingelink::node::DrainSnapshot{std::chrono::milliseconds(1200), 3};
  seen.pool_cpu_busy = 0.5;
  const json made = json::parse(hingelink::control::SnapshotJson(seen, {"1", 5, 2}).dump());
  const auto faults = hingelink::schema::Schema(hingelink::schema::ControlSnapshotSchema()).Check(made);
  EXPECT_TRUE(faults.empty()) << faults.front().Text();
  EXPECT_EQ(made["classes"][0]["name"], "a\\x1b[2J\\x0ab\\xff");
  EXPECT_EQ(made["totals"]["held"], 11);
  EXPECT_EQ(made["totals"]["failed"], 55);
  // And the schema is one that can be failed.
  json wrong = made;
  wrong["totals"].erase("held");
  wrong["classes"][0]["held"] = -1;
  const auto found = hingelink::schema::Schema(hingelink::schema::ControlSnapshotSchema()).Check(wrong);
  EXPECT_GE(found.size(), 2u);
}

}  // namespace
