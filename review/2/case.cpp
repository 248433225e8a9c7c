// The network between a portal node and the store is cut for a moment: what the store is asked to do for a
// claim, and what the worker pool gave for it.
#include "../common/peers.h"

namespace review {
namespace {

// The cut: begins after so long, and lasts so long (the page: 6 s).
constexpr int kCutAfterMs = 3000;
constexpr int kCutMs = 2500;
constexpr int kLoadMs = 9000;
constexpr int kClaimEveryMs = 100;

struct Call {
  std::string id, body;
};

// The store behind the network. A cut delays what is on established connections, both ways; a connection that
// is begun meanwhile gets no answer to its handshake, and the system tries again by itself.
class Store {
 public:
  Store() {
    listener_ = Listen(port_, 0);
    acceptor_ = std::thread([this] { Accept(); });
  }
  ~Store() {
    stopping_ = true;
    shutdown(listener_, SHUT_RDWR);
    acceptor_.join();
    close(listener_);
    for (const int fd : fds_) shutdown(fd, SHUT_RDWR);
    for (std::thread& thread : threads_) thread.join();
    for (const int fd : fds_) close(fd);
  }
  int port() const { return port_; }
  void Cut() {
    RECORD("the network to the store is cut");
    cut_ = true;
    SleepMs(50);  // The acceptor stands still.
    // Fills the queue of connections, so that the system answers no further handshake.
    for (int i = 0; i < 4; ++i) {
      const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
      const sockaddr_in address = Address("127.0.0.1", port_);
      connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address);
      fillers_.push_back(fd);
    }
  }
  void Heal() {
    RECORD("the network to the store is whole again");
    for (const int fd : fillers_) close(fd);
    fillers_.clear();
    cut_ = false;
  }
  std::vector<Call> calls() {
    const std::lock_guard<std::mutex> hold(mutex_);
    return calls_;
  }

 private:
  void Accept() {
    while (!stopping_) {
      if (cut_) {
        SleepMs(5);
        continue;
      }
      pollfd ready{listener_, POLLIN, 0};
      if (poll(&ready, 1, 10) <= 0) continue;
      if (cut_) continue;
      const int fd = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) continue;
      const int on = 1;
      setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      const std::lock_guard<std::mutex> hold(mutex_);
      fds_.push_back(fd);
      threads_.emplace_back([this, fd] { Serve(fd); });
    }
  }
  void Serve(int fd) {
    LineReader reader(fd);
    std::string line;
    while (reader.Line(line)) {
      const std::vector<std::string> words = Words(line);
      if (words.size() == 2 && words[0] == "DROP") {
        while (cut_ && !stopping_) SleepMs(5);
        RECORD("store: DROP %s", words[1].c_str());
        continue;
      }
      std::string body;
      if (words.size() != 4 || words[0] != "CALL" || !reader.Body(std::stoul(words[3]), body)) return;
      while (cut_ && !stopping_) SleepMs(5);
      RECORD("store: CALL %s, %zu bytes: '%s'", words[1].c_str(), body.size(), body.c_str());
      {
        const std::lock_guard<std::mutex> hold(mutex_);
        calls_.push_back({words[1], body});
      }
      SleepMs(15);
      while (cut_ && !stopping_) SleepMs(5);
      const std::string reply = "done: " + body;
      if (!WriteAll(fd, words[1] + " OK " + std::to_string(reply.size()) + "\r\n" + reply + "\r\n")) return;
    }
  }

  int port_ = 0;
  int listener_ = -1;
  std::atomic<bool> cut_{false}, stopping_{false};
  std::vector<int> fillers_;
  std::thread acceptor_;
  std::mutex mutex_;
  std::vector<Call> calls_;
  std::vector<int> fds_;
  std::vector<std::thread> threads_;
};

bool Holds(const std::string& run, bool trouble) {
  const Folder folder;
  Registry registry;
  Store store;
  Pool pool([](const std::string& id, const std::string&, const std::string&) {
    RunPlan plan;
    plan.work_ms = 40;
    plan.calls = 1;
    plan.result = "result of " + id;
    return plan;
  });
  NodeSettings settings;
  settings.listen = FreePort();
  settings.registry = registry.port();
  settings.pool = pool.port();
  settings.store = store.port();
  settings.ops = FreePort();
  settings.passes_deadline = false;
  settings.classes = {{"search", 2800, 9200, "safe", 5000, 1, true},
                      {"claim", 2300, 9200, "keyed", 27627, 1, true}};
  NodeProcess node(run, "127.0.0.1:" + std::to_string(settings.listen), NodeConfig(settings),
                   folder.path() + "/node.json", folder.path(), folder.path() + "/node.log");
  AwaitReady(settings.ops);

  GatewayConnection gateway(settings.listen, 1, 0, 0,
                            [&pool](const std::string& id) { pool.RequestIsOver(id); });
  if (!gateway.open()) CannotRun("the portal node takes no connection");
  const std::int64_t began = UnixMs();
  bool was_cut = false, was_healed = false;
  for (int claim = 0; UnixMs() - began < kLoadMs; ++claim) {
    if (trouble && !was_cut && UnixMs() - began >= kCutAfterMs) {
      store.Cut();
      was_cut = true;
    }
    if (was_cut && !was_healed && UnixMs() - began >= kCutAfterMs + kCutMs) {
      store.Heal();
      was_healed = true;
    }
    Request request;
    request.kind = "claim";
    request.id = HexId(0xb000000000000000ULL + static_cast<std::uint64_t>(claim));
    request.key = HexId(0x5c0f6e1a2b3d4c59ULL) + HexId(static_cast<std::uint64_t>(claim) + 1);
    request.body = "claim " + std::to_string(claim);
    request.tells_timeout = false;
    gateway.Send(request);
    SleepMs(kClaimEveryMs);
  }
  SleepMs(10'500);  // The last due time and the time limits that are told to the store.

  int right = 0, wrong = 0;
  for (const Call& call : store.calls()) {
    const std::vector<std::string> given = pool.CallBodies(call.id);
    bool known = false;
    for (const std::string& body : given) known = known || body == call.body;
    ++(known ? right : wrong);
    if (!known)
      RECORD("the store was called for %s with '%s'; the worker pool gave '%s'", call.id.c_str(),
             call.body.c_str(), given.empty() ? "nothing" : given[0].c_str());
  }
  RECORD("calls at the store with the body that the worker pool gave: %d, with another body: %d", right,
         wrong);
  if (right == 0) CannotRun("the store was never called");
  return wrong == 0;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) { return review::Main(argc, argv, review::Holds); }
