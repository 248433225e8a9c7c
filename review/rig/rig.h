// Stand-ins for the cases of the second review: worker pool, store, registry and gateway, and the node as a
// process of its own. They follow the protocol pages; where those are silent they behave like sound peers.
// One thread runs all stand-ins; a case calls them through World::Do(). Times are Unix milliseconds.
#ifndef HINGELINK_REVIEW_RIG_RIG_H_
#define HINGELINK_REVIEW_RIG_RIG_H_

#include <sys/types.h>

#include <atomic>
#include <cstdint>
#include <cstdio>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace rig {

double NowMs();
void SleepMs(double ms);
std::string Hex(std::uint64_t value);
// Environment variable TROUBLE is not "0".
bool Trouble();
// A loopback port that is free at the moment.
int FreePort();

// Ends the case with exit code 2: it could not run.
[[noreturn]] void CannotRun(const std::string& why);

// ---- The thread of the stand-ins ----

class Socket;

class World {
 public:
  // Writes what happens to this file.
  explicit World(const std::string& record);
  ~World();
  // Ends the thread of the stand-ins.
  void Stop();
  // Runs `call` while the stand-ins rest.
  void Do(const std::function<void()>& call);
  // Waits until `holds` returns true. False on timeout.
  bool Await(const std::function<bool()>& holds, double timeout_ms);
  void At(double when, std::function<void()> call);
  void In(double ms, std::function<void()> call) { At(NowMs() + ms, std::move(call)); }
  void Log(const std::string& line);

 private:
  friend class Socket;
  friend class Listener;
  void Run();
  void Turn();

  std::recursive_mutex mutex_;
  std::FILE* record_;
  double began_ = NowMs();
  std::multimap<double, std::function<void()>> timers_;
  std::set<Socket*> sockets_;
  std::set<class Listener*> listeners_;
  std::atomic<bool> ends_{false};
  std::thread thread_;
};

// A TCP connection. Callbacks run on the thread of the stand-ins.
class Socket {
 public:
  Socket(World& world, int fd, bool connecting);
  ~Socket();
  Socket(const Socket&) = delete;
  Socket& operator=(const Socket&) = delete;
  static std::unique_ptr<Socket> Connect(World& world, int port);

  void Send(std::string_view bytes);
  // Closes at once; no callback follows. `reset`: with a reset.
  void Close(bool reset = false);
  bool open() const { return fd_ >= 0; }
  bool connected() const { return !connecting_ && open(); }
  // All bytes of Send() were taken by the system.
  bool all_written() const { return connected() && out_.empty(); }

  std::string in;
  std::function<void()> on_connected = [] {};
  std::function<void()> on_data = [] {};
  std::function<void()> on_written = [] {};
  std::function<void(bool refused)> on_closed = [](bool) {};

 private:
  friend class World;
  void Readable();
  void Writable();
  void Ended(bool refused);

  World& world_;
  int fd_;
  bool connecting_;
  std::string out_;
};

class Listener {
 public:
  Listener(World& world, std::function<void(std::unique_ptr<Socket>)> on_accept);
  ~Listener();
  int port() const { return port_; }

 private:
  friend class World;
  World& world_;
  int fd_ = -1;
  int port_ = 0;
  std::function<void(std::unique_ptr<Socket>)> on_accept_;
};

// ---- Worker pool ----
// A body "work=MS calls=N ..." asks for so many milliseconds of work, with N calls in even parts between.

struct Run {
  std::uint64_t id = 0;
  std::string class_name, body;
  double work_ms = 0;
  int calls = 0, calls_made = 0;
  std::uint64_t at_call = 0;  // The notice of the call that it waits for.
  bool over = false;
  double began = 0, ended = 0;
  std::string end, result;
};

class Pool {
 public:
  explicit Pool(World& world, std::string name = "pool");
  int port(std::size_t place = 0) const { return places_[place]->listener->port(); }
  // One more address, for a configuration that moves.
  void AddAddress();
  // The request is answered, or its caller has left: a run that waits at a call ends there.
  void RequestOver(std::uint64_t id);
  const std::map<std::uint64_t, Run>& runs() const { return runs_; }
  std::size_t running() const;
  bool bound() const { return bound_; }
  // Reads no commands for so long; `breaks`: then the link breaks, and what was not read is lost.
  void StopReading(double ms, bool breaks);
  std::uint64_t wrong_replies = 0, bad_commands = 0, unknown_commands = 0;
  double cores = 6;
  // Before this time links are accepted, but not bound.
  double up_at = 0;
  // Runs that wait for the disk want no core.
  bool waits_for_disk = false;

 private:
  struct Place {
    std::unique_ptr<Listener> listener;
  };
  void Accept(std::unique_ptr<Socket> socket);
  void Read();
  bool Command(std::string_view line, std::string_view body);
  void Notice(const std::function<std::string(std::uint64_t)>& make);
  void Continue(Run& run);
  void End(Run& run, const std::string& end);

  World& world_;
  std::string name_;
  std::vector<std::unique_ptr<Place>> places_;
  std::unique_ptr<Socket> link_;
  std::vector<std::unique_ptr<Socket>> old_links_;
  std::map<std::uint64_t, Run> runs_;
  std::vector<std::string> notices_;
  std::set<std::uint64_t> over_;
  bool bound_ = false;
  bool reads_ = true;
  double up_since_ = NowMs();
};

// ---- Store ----

class Store {
 public:
  explicit Store(World& world);
  int port() const { return listener_.port(); }
  double reply_ms = 50;
  // The next calls, so many, are turned away, or fail after they ran.
  int busy = 0, errors = 0;
  std::map<std::string, int> calls;  // By body: how often it was run.
  void Break();

 private:
  struct Connection {
    std::unique_ptr<Socket> socket;
    std::map<std::uint64_t, std::uint64_t> open;  // By request: the number of its call.
  };
  void Read(Connection& connection);

  World& world_;
  std::list<std::unique_ptr<Connection>> connections_;
  std::uint64_t last_call_ = 0;
  Listener listener_;
};

// ---- Registry ----

class Registry {
 public:
  explicit Registry(World& world);
  int port() const { return listener_.port(); }
  std::uint64_t reports = 0;

 private:
  World& world_;
  std::list<std::unique_ptr<Socket>> sockets_;
  Listener listener_;
};

// ---- Gateway ----

struct Request {
  std::uint64_t id = 0;
  std::string class_name, key, body, tenant, subject;
  bool resent = false;  // Marked as a further try.
  double need_kb = 20;
  double timeout_ms = 0;  // Told to the node if above 0.
  double due_ms = 0;      // How long after `ts` the answer is due.
  double ts = 0;
  double written = 0;   // When its last byte was written.
  int code = -1;        // Of the first answer: 0 served, 1 refused, 2 failed.
  int answers = 0;      // Whole answers.
  double answered = 0;  // When the first one came.
  std::string result;
  double gone = 0;  // When the gateway stopped waiting.
  bool refused_connection = false;
  bool broken = false;  // Its connection ended without an answer.
  double broken_at = 0;
  bool reset = false;    // The gateway reset its connection.
  bool crossed = false;  // Sent once more, as it crossed a close.
};

class Gateway {
 public:
  Gateway(World& world, int port, int number);
  ~Gateway();
  // Sends the request; the object lives as long as the gateway.
  Request& Send(Request request);
  // Type 2: nobody waits any more.
  void Leave(Request& request);
  // Resets the connection that carries the request; what is open on it is lost by the gateway's side.
  void ResetConnectionOf(Request& request);
  bool healthy = false;
  // Sends a health check on a connection of its own; sets `healthy`.
  void CheckHealth();
  const std::list<Request>& requests() const { return requests_; }
  std::function<void(Request&)> on_answer = [](Request&) {};
  std::function<void(Request&)> on_over = [](Request&) {};
  // A new connection for each request.
  bool connection_each = false;
  // Half of the node's limit of descriptors.
  std::size_t most_connections = 192;
  int port_;

 private:
  struct Connection {
    std::unique_ptr<Socket> socket;
    std::map<std::uint32_t, Request*> open;
    std::uint32_t last_stream = 0;
    bool stopped = false;
    double used_at = 0;  // When a request was last sent.
    std::vector<Request*> unwritten;
  };
  Connection& Open();
  void CloseIdle();
  void Put(Connection& connection, Request& request);
  void Read(Connection& connection);
  void Closed(Connection& connection, bool refused);

  World& world_;
  int number_;
  std::list<Request> requests_;
  std::list<std::unique_ptr<Connection>> connections_;
  std::unique_ptr<Socket> health_;
};

// ---- Node ----

struct ClassSettings {
  std::string name, repeat;
  double goal_ms = 0, limit_ms = 0, window_ms = 0, worth = 1, late_share = 0, worth_without = 0;
  bool calls = false;
};

// The configuration of a node, with settings like those of a small deployment.
struct NodeSettings {
  std::vector<ClassSettings> classes;
  std::vector<std::string> tenants;
  int cores = 6;
  double memory_kb = 60'000, run_factor = 8, key_kb = 60;
  double call_share = 4;
  double fresh_ms = 0;
  double stop_ms = 3200;
  double drain_grace_ms = 2000;
  double fall_multiple = 5;
  bool tells_wait = false;
  int memory_mb = 96, sockets = 384;
};

class Node {
 public:
  Node(World& world, std::string folder);
  ~Node();
  // Writes the configuration; `ops` may be 0.
  void Configure(const NodeSettings& settings, int listen, int pool, int registry, int store, int ops = 0);
  // Starts a process with the command `run` of the deploy file. Returns its number.
  std::size_t Start(const std::string& config = {});
  void Signal(std::size_t process, int number);
  // Whether the process still runs. `status`: how it ended.
  bool Runs(std::size_t process, int* status = nullptr);
  std::string LogOf(std::size_t process) const;
  const std::string& folder() const { return folder_; }
  std::string config_path() const { return folder_ + "/config.json"; }

 private:
  struct Process {
    pid_t pid = -1;
    std::string log;
    bool ended = false;
    int status = 0;
  };
  World& world_;
  std::string folder_;
  std::vector<Process> processes_;
};

// A temporary folder, removed at the end.
class Folder {
 public:
  Folder();
  ~Folder();
  const std::string& path() const { return path_; }

 private:
  std::string path_;
};

// The stand-ins of one node and its one gateway, connected to each other.
struct Stage {
  explicit Stage(const std::string& record);
  ~Stage() { world.Stop(); }
  // Writes the configuration with the addresses of the stand-ins.
  void Configure(const NodeSettings& settings, int ops = 0);
  // Starts the node and waits until it serves. Returns the number of its process.
  std::size_t StartNode();
  std::uint64_t NextId() { return ++last_id; }
  // Requests whose final answer is missing, late by more than `slack_ms`, given twice or not readable, with
  // the excuses of the protocol page; writes each to the record.
  int CountLost(double slack_ms);

  World world;
  Folder folder;
  Node node;
  Pool pool;
  Store store;
  Registry registry;
  int listen = FreePort();
  Gateway gateway;
  std::uint64_t last_id = 0x9b1f03aa5c000000;
};

// GET on an operators' address. The status, or 0.
int OpsStatus(int port, const std::string& path);

}  // namespace rig

#endif  // HINGELINK_REVIEW_RIG_RIG_H_
