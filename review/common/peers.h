// Stand-ins of the peers of a portal node, for the cases of the review: gateway, worker pool, registry and
// proxy-like listeners on loopback sockets. They follow the protocol page and share no code with the project.
#ifndef HINGELINK_REVIEW_COMMON_PEERS_H_
#define HINGELINK_REVIEW_COMMON_PEERS_H_

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using Steady = std::chrono::steady_clock;
using Ms = std::chrono::milliseconds;

inline std::int64_t UnixMs() {
  return std::chrono::duration_cast<Ms>(std::chrono::system_clock::now().time_since_epoch()).count();
}
inline void SleepMs(std::int64_t ms) { std::this_thread::sleep_for(Ms(ms)); }

// record.txt: one line an event, with the milliseconds since the start.
class Record {
 public:
  static Record& Get() {
    static Record record;
    return record;
  }
  void Open(const std::string& path) { file_ = std::fopen(path.c_str(), "w"); }
  void Line(const char* format, ...) __attribute__((format(printf, 2, 3))) {
    char text[512];
    va_list arguments;
    va_start(arguments, format);
    std::vsnprintf(text, sizeof text, format, arguments);
    va_end(arguments);
    const std::lock_guard<std::mutex> hold(mutex_);
    if (file_ == nullptr) return;
    std::fprintf(file_, "%7lld %s\n", static_cast<long long>(UnixMs() - began_), text);
    std::fflush(file_);
  }
  std::int64_t Now() const { return UnixMs() - began_; }

 private:
  std::mutex mutex_;
  std::FILE* file_ = nullptr;
  std::int64_t began_ = UnixMs();
};
#define RECORD(...) ::review::Record::Get().Line(__VA_ARGS__)

[[noreturn]] inline void CannotRun(const std::string& why) {
  RECORD("cannot run: %s", why.c_str());
  std::fprintf(stderr, "cannot run: %s\n", why.c_str());
  throw std::string(why);
}

// ---- Sockets ----

inline sockaddr_in Address(const std::string& host, int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  inet_pton(AF_INET, host.c_str(), &address.sin_addr);
  return address;
}

// Listens on a free port of 127.0.0.1.
inline int Listen(int& port, int backlog = 128) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in address = Address("127.0.0.1", port);
  if (bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 || listen(fd, backlog) != 0)
    CannotRun("no listening socket");
  socklen_t size = sizeof address;
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  port = ntohs(address.sin_port);
  return fd;
}

// A port that is free now, below those that the system gives to outgoing connections.
inline int FreePort() {
  static std::random_device random;
  for (int tries = 0; tries < 1000; ++tries) {
    const int port = 15'000 + static_cast<int>(random() % 15'000);
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = Address("127.0.0.1", port);
    const bool is_free = bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
    close(fd);
    if (is_free) return port;
  }
  CannotRun("no free port");
}

inline int Connect(int port, int receive_buffer = 0, int segment = 0) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (receive_buffer > 0) setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof receive_buffer);
  if (segment > 0) setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof segment);
  const sockaddr_in address = Address("127.0.0.1", port);
  if (connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
    close(fd);
    return -1;
  }
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return fd;
}

inline bool WriteAll(int fd, const std::string& bytes) {
  std::size_t done = 0;
  while (done < bytes.size()) {
    const ssize_t got = send(fd, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
    if (got <= 0) return false;
    done += static_cast<std::size_t>(got);
  }
  return true;
}

// Reads lines that end in CR LF, and bodies of a known length.
class LineReader {
 public:
  explicit LineReader(int fd) : fd_(fd) {}
  bool Line(std::string& line) {
    std::size_t end = 0;
    while ((end = buffer_.find("\r\n")) == std::string::npos) {
      if (!Fill()) return false;
    }
    line = buffer_.substr(0, end);
    buffer_.erase(0, end + 2);
    return true;
  }
  bool Body(std::size_t length, std::string& body) {
    while (buffer_.size() < length + 2) {
      if (!Fill()) return false;
    }
    body = buffer_.substr(0, length);
    buffer_.erase(0, length + 2);
    return true;
  }

 private:
  bool Fill() {
    char bytes[16384];
    const ssize_t got = recv(fd_, bytes, sizeof bytes, 0);
    if (got <= 0) return false;
    buffer_.append(bytes, static_cast<std::size_t>(got));
    return true;
  }
  int fd_;
  std::string buffer_;
};

inline std::vector<std::string> Words(const std::string& line) {
  std::vector<std::string> words;
  std::size_t at = 0;
  while (at < line.size()) {
    std::size_t end = line.find(' ', at);
    if (end == std::string::npos) end = line.size();
    if (end > at) words.push_back(line.substr(at, end - at));
    at = end + 1;
  }
  return words;
}

// Accepts connections and gives each a thread of its own.
class Server {
 public:
  ~Server() { Stop(); }
  void Start(std::function<void(int fd)> serve, int port = 0) {
    serve_ = std::move(serve);
    port_ = port;
    listener_ = Listen(port_);
    acceptor_ = std::thread([this] {
      for (;;) {
        const int fd = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0) return;
        const int on = 1;
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        const std::lock_guard<std::mutex> hold(mutex_);
        open_.insert(fd);
        threads_.emplace_back([this, fd] {
          serve_(fd);
          const std::lock_guard<std::mutex> hold(mutex_);
          open_.erase(fd);
          close(fd);
        });
      }
    });
  }
  void Stop() {
    if (listener_ < 0) return;
    shutdown(listener_, SHUT_RDWR);
    acceptor_.join();
    close(listener_);
    listener_ = -1;
    std::vector<std::thread> threads;
    {
      const std::lock_guard<std::mutex> hold(mutex_);
      for (const int fd : open_) shutdown(fd, SHUT_RDWR);
      threads.swap(threads_);
    }
    for (std::thread& thread : threads) thread.join();
  }
  int port() const { return port_; }

 private:
  std::function<void(int)> serve_;
  int listener_ = -1;
  int port_ = 0;
  std::thread acceptor_;
  std::mutex mutex_;
  std::set<int> open_;
  std::vector<std::thread> threads_;
};

// ---- Registry: each whole report is answered with 204 ----
class Registry {
 public:
  Registry() {
    server_.Start([](int fd) {
      LineReader reader(fd);
      std::string line;
      while (reader.Line(line)) {
        std::size_t length = 0;
        while (!line.empty()) {
          if (strncasecmp(line.c_str(), "content-length:", 15) == 0) length = std::stoul(line.substr(15));
          if (!reader.Line(line)) return;
        }
        std::string body;
        // A body has no CR LF behind it, so it is read with the two bytes less.
        if (length > 1 && !reader.Body(length - 2, body)) return;
        if (!WriteAll(fd, "HTTP/1.1 204 No Content\r\n\r\n")) return;
      }
    });
  }
  int port() const { return server_.port(); }

 private:
  Server server_;
};

// ---- Worker pool: one address. Runs take as long as `plan` says; some wait for calls ----
struct RunPlan {
  std::int64_t work_ms = 20;
  int calls = 0;
  std::string result;
};

class Pool {
 public:
  using Plan =
      std::function<RunPlan(const std::string& id, const std::string& kind, const std::string& body)>;
  explicit Pool(Plan plan, const char* name = "pool") : plan_(std::move(plan)), name_(name) {
    timer_ = std::thread([this] { RunTimer(); });
    server_.Start([this](int fd) { ServeLink(fd); });
  }
  ~Pool() {
    {
      const std::lock_guard<std::mutex> hold(mutex_);
      stopping_ = true;
    }
    wake_.notify_all();
    timer_.join();
    server_.Stop();
  }
  int port() const { return server_.port(); }

  // How often a run of this request was begun here.
  int Begun(const std::string& id) {
    const std::lock_guard<std::mutex> hold(mutex_);
    const auto found = runs_.find(id);
    return found == runs_.end() ? 0 : found->second.begun;
  }
  // What the runs of this request asked of the store, in order.
  std::vector<std::string> CallBodies(const std::string& id) {
    const std::lock_guard<std::mutex> hold(mutex_);
    const auto found = runs_.find(id);
    return found == runs_.end() ? std::vector<std::string>() : found->second.call_bodies;
  }
  std::string ResultOf(const std::string& id) {
    const std::lock_guard<std::mutex> hold(mutex_);
    const auto found = runs_.find(id);
    return found == runs_.end() ? std::string() : found->second.plan.result;
  }
  // The request has its answer: a run of it that stands at a call ends there.
  void RequestIsOver(const std::string& id) {
    const std::lock_guard<std::mutex> hold(mutex_);
    const auto found = runs_.find(id);
    if (found == runs_.end() || found->second.over || found->second.stands_at == 0) return;
    found->second.over = true;
    found->second.stands_at = 0;
    --running_;
    RECORD("%s has ended the run of %s at its call", name_.c_str(), id.c_str());
    Tell("finished " + std::to_string(notices_.size() + 1) + ' ' + id + " cancelled 1.0 0\r\n\r\n", true);
  }

 private:
  struct Run {
    RunPlan plan;
    int begun = 0;
    int calls_made = 0;
    std::uint64_t stands_at = 0;
    bool over = false;
    Steady::time_point since;
    std::vector<std::string> call_bodies;
  };

  void ServeLink(int fd) {
    LineReader reader(fd);
    std::string line;
    while (reader.Line(line)) {
      const std::vector<std::string> words = Words(line);
      if (words.empty()) return;
      std::string body;
      const bool has_body = words[0] == "spawn" || words[0] == "supply";
      if (has_body && !reader.Body(std::stoul(words.back()), body)) return;
      const std::lock_guard<std::mutex> hold(mutex_);
      if (words[0] == "bind") {
        if (link_ >= 0) shutdown(link_, SHUT_RDWR);
        link_ = fd;
        std::string all = "bound hot " + std::to_string(1000) + "\r\n";
        for (std::size_t i = std::stoul(words[1]); i < notices_.size(); ++i) all += notices_[i];
        WriteAll(fd, all);
      } else if (fd != link_) {
        return;  // Replaced by a newer link.
      } else if (words[0] == "poll") {
        WriteAll(fd, "polled " + words[1] + " 0.30 " + std::to_string(running_) + ".0 0.10 4.0\r\n");
      } else if (words[0] == "verify") {
        WriteAll(fd, "verified " + words[1] + " complete\r\n");
      } else if (words[0] == "spawn") {
        Spawn(words[1], words[2], body);
      } else if (words[0] == "supply") {
        GoOn(words[1], "supply");
      } else if (words[0] == "pass") {
        GoOn(words[1], "pass");
      } else {
        return;
      }
    }
    const std::lock_guard<std::mutex> hold(mutex_);
    if (link_ == fd) link_ = -1;
  }
  void Spawn(const std::string& id, const std::string& kind, const std::string& body) {
    Run& run = runs_[id];
    if (run.begun > 0 && !run.over) return;  // It runs already.
    run = Run{plan_(id, kind, body), run.begun + 1, 0, 0, false, Steady::now(), {}};
    ++running_;
    RECORD("%s runs %s %s (%zu bytes), begun %d times", name_.c_str(), kind.c_str(), id.c_str(), body.size(),
           run.begun);
    Work(id, run);
  }
  void Work(const std::string& id, const Run& run) {
    ends_.insert({Steady::now() + Ms(run.plan.work_ms / (run.plan.calls + 1)), id});
    wake_.notify_all();
  }
  void GoOn(const std::string& id, const char* how) {
    Run& run = runs_[id];
    if (run.begun == 0 || run.over || run.stands_at == 0) {
      Tell(std::string("unknown ") + how + ' ' + id + "\r\n", false);
      return;
    }
    run.stands_at = 0;
    Work(id, run);
  }
  void RunTimer() {
    std::unique_lock<std::mutex> hold(mutex_);
    while (!stopping_) {
      if (ends_.empty()) {
        wake_.wait_for(hold, Ms(50));
        continue;
      }
      if (ends_.begin()->first > Steady::now()) {
        wake_.wait_until(hold, ends_.begin()->first);
        continue;
      }
      const std::string id = ends_.begin()->second;
      ends_.erase(ends_.begin());
      Run& run = runs_[id];
      const std::string number = std::to_string(notices_.size() + 1);
      if (run.calls_made < run.plan.calls) {
        const std::string call = "call " + std::to_string(++run.calls_made) + " of " + id;
        run.call_bodies.push_back(call);
        run.stands_at = notices_.size() + 1;
        Tell("blocked " + number + ' ' + id + ' ' + std::to_string(call.size()) + "\r\n" + call + "\r\n",
             true);
        continue;
      }
      run.over = true;
      --running_;
      const auto ms = std::chrono::duration_cast<Ms>(Steady::now() - run.since).count();
      RECORD("%s has run %s: complete", name_.c_str(), id.c_str());
      Tell("finished " + number + ' ' + id + " complete " + std::to_string(ms) + ".0 " +
               std::to_string(run.plan.result.size()) + "\r\n" + run.plan.result + "\r\n",
           true);
    }
  }
  void Tell(const std::string& text, bool is_notice) {
    if (is_notice) notices_.push_back(text);
    if (link_ >= 0) WriteAll(link_, text);
  }

  Plan plan_;
  std::string name_;
  std::mutex mutex_;
  std::condition_variable wake_;
  std::thread timer_;
  bool stopping_ = false;
  int link_ = -1;
  int running_ = 0;
  std::map<std::string, Run> runs_;
  std::multimap<Steady::time_point, std::string> ends_;
  std::vector<std::string> notices_;
  Server server_;
};

// ---- Gateway ----
struct Request {
  std::string kind, id, body;
  std::string key;     // opkey; empty: none
  std::string tenant;  // owner; empty: none
  std::int64_t timeout_ms = 0;
  bool tells_timeout = true;
  bool resent = false;
  double work_ms = 20;
  double need_kb = 20;
};

inline void AppendNumber(std::string& out, std::uint64_t value, int bytes) {
  while (bytes-- > 0) out.push_back(static_cast<char>(value >> (8 * bytes) & 0xff));
}

inline std::string Frame(int type, std::uint32_t stream, const std::string& payload) {
  std::string out;
  AppendNumber(out, 5 + payload.size(), 4);
  out.push_back(static_cast<char>(type));
  AppendNumber(out, stream, 4);
  return out + payload;
}

inline std::string RequestPayload(const Request& request, std::int64_t ts, int via) {
  std::string fields;
  int count = 0;
  const auto add = [&](const std::string& name, const std::string& value) {
    ++count;
    AppendNumber(fields, name.size(), 1);
    fields += name;
    AppendNumber(fields, value.size(), 2);
    fields += value;
  };
  char number[32];
  add("kind", request.kind);
  add("req", request.id);
  add("ts", std::to_string(ts));
  add("via", std::to_string(via));
  if (!request.tenant.empty()) add("owner", request.tenant);
  if (request.tells_timeout) add("timeout", std::to_string(request.timeout_ms));
  if (request.resent) add("resent", "1");
  std::snprintf(number, sizeof number, "%.2f", request.work_ms);
  add("ms", number);
  std::snprintf(number, sizeof number, "%.1f", request.need_kb);
  add("need", number);
  add("level", "0.5000");
  if (!request.key.empty()) add("opkey", request.key);
  std::string payload(1, static_cast<char>(count));
  return payload + fields + request.body;
}

inline std::string HexId(std::uint64_t value) {
  char text[17];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(value));
  return text;
}

struct Answer {
  int code = -1;  // 0 served, 1 refused, 2 failed; -1: none.
  std::int64_t at = 0;
  std::string body;
};

// One connection of a gateway. A thread reads its answers.
class GatewayConnection {
 public:
  using AnswerCallback = std::function<void(const std::string& id)>;
  GatewayConnection(int port, int via, int receive_buffer = 0, int segment = 0, AnswerCallback on_answer = {})
      : on_answer_(std::move(on_answer)), via_(via), fd_(Connect(port, receive_buffer, segment)) {
    if (fd_ >= 0) reader_ = std::thread([this] { Read(); });
  }
  ~GatewayConnection() {
    if (fd_ < 0) return;
    Resume();
    shutdown(fd_, SHUT_RDWR);
    reader_.join();
    close(fd_);
  }
  bool open() const { return fd_ >= 0 && !ended_; }
  bool told_to_stop() const { return stop_; }
  bool ended() const { return ended_; }

  // Sends a request; returns its stream.
  std::uint32_t Send(const Request& request) {
    const std::int64_t ts = UnixMs();
    std::uint32_t stream = 0;
    {
      const std::lock_guard<std::mutex> hold(mutex_);
      stream = ++last_stream_;
      ids_[stream] = request.id;
    }
    RECORD("sent %s %s on connection %d%s%s", request.kind.c_str(), request.id.c_str(), via_,
           request.key.empty() ? "" : " with key ", request.key.c_str());
    if (!WriteAll(fd_, Frame(0, stream, RequestPayload(request, ts, via_))))
      RECORD("the write of %s failed", request.id.c_str());
    return stream;
  }
  // Tells that nobody waits for this request any more.
  void GiveUp(std::uint32_t stream) {
    {
      const std::lock_guard<std::mutex> hold(mutex_);
      given_up_.insert(stream);
    }
    WriteAll(fd_, Frame(2, stream, ""));
  }
  // Nothing is read until Resume().
  void Pause() { paused_ = true; }
  void Resume() { paused_ = false; }

  Answer AnswerOf(std::uint32_t stream) {
    const std::lock_guard<std::mutex> hold(mutex_);
    const auto found = answers_.find(stream);
    return found == answers_.end() ? Answer() : found->second;
  }
  int AnswersOf(std::uint32_t stream) {
    const std::lock_guard<std::mutex> hold(mutex_);
    return counts_[stream];
  }
  std::int64_t ended_at() const { return ended_at_; }

 private:
  void Read() {
    std::string buffer;
    for (;;) {
      while (paused_) SleepMs(5);
      char bytes[4096];
      const ssize_t got = recv(fd_, bytes, sizeof bytes, 0);
      if (got <= 0) {
        RECORD("connection %d was ended by the portal node%s", via_, got < 0 ? " (reset)" : "");
        ended_at_ = UnixMs();
        ended_ = true;
        shutdown(fd_, SHUT_RDWR);
        return;
      }
      buffer.append(bytes, static_cast<std::size_t>(got));
      while (TakeFrame(buffer)) {
      }
      // As the page says: no new request after type 9, and a close once everything is answered.
      if (stop_ && AllAnswered()) shutdown(fd_, SHUT_RDWR);
    }
  }
  static std::uint64_t Number(const std::string& from, std::size_t at, int bytes) {
    std::uint64_t value = 0;
    for (int i = 0; i < bytes; ++i)
      value = value << 8 | static_cast<unsigned char>(from[at + static_cast<std::size_t>(i)]);
    return value;
  }
  bool TakeFrame(std::string& buffer) {
    if (buffer.size() < 9) return false;
    const std::size_t length = Number(buffer, 0, 4);
    if (buffer.size() < 4 + length) return false;
    const int type = static_cast<unsigned char>(buffer[4]);
    const auto stream = static_cast<std::uint32_t>(Number(buffer, 5, 4));
    const std::string payload = buffer.substr(9, length - 5);
    buffer.erase(0, 4 + length);
    if (type == 9) stop_ = true;
    if (type != 1) return true;
    Answer answer;
    answer.code = payload[0];
    answer.at = UnixMs();
    std::size_t at = 2;
    for (int fields = static_cast<unsigned char>(payload[1]); fields > 0; --fields) {
      at += 1 + Number(payload, at, 1);
      at += 2 + Number(payload, at, 2);
    }
    answer.body = payload.substr(at);
    if (on_answer_) on_answer_(Id(stream));
    const std::lock_guard<std::mutex> hold(mutex_);
    static const char* const kNames[] = {"served", "refused", "failed"};
    RECORD("answer to %s on connection %d: %s, %zu bytes", ids_[stream].c_str(), via_,
           answer.code >= 0 && answer.code < 3 ? kNames[answer.code] : "?", answer.body.size());
    ++counts_[stream];
    answers_[stream] = answer;
    return true;
  }

  bool AllAnswered() {
    const std::lock_guard<std::mutex> hold(mutex_);
    for (const auto& [stream, id] : ids_) {
      if (answers_.count(stream) + given_up_.count(stream) == 0) return false;
    }
    return true;
  }
  std::string Id(std::uint32_t stream) {
    const std::lock_guard<std::mutex> hold(mutex_);
    return ids_[stream];
  }

  AnswerCallback on_answer_;
  int via_;
  int fd_;
  std::thread reader_;
  std::mutex mutex_;
  std::uint32_t last_stream_ = 0;
  std::map<std::uint32_t, std::string> ids_;
  std::map<std::uint32_t, Answer> answers_;
  std::map<std::uint32_t, int> counts_;
  std::set<std::uint32_t> given_up_;
  std::atomic<bool> paused_{false}, ended_{false}, stop_{false};
  std::atomic<std::int64_t> ended_at_{0};
};

// ---- Processes of the portal node ----
class Folder {
 public:
  Folder() {
    const char* base = std::getenv("TMPDIR");
    std::string name = std::string(base != nullptr && *base != 0 ? base : "/tmp") + "/portal-XXXXXX";
    if (mkdtemp(name.data()) == nullptr) CannotRun("no temporary folder");
    path_ = name;
  }
  ~Folder() {
    const std::string command = "rm -rf '" + path_ + "'";
    if (std::system(command.c_str()) != 0) std::fprintf(stderr, "%s stays\n", path_.c_str());
  }
  const std::string& path() const { return path_; }

 private:
  std::string path_;
};

class NodeProcess {
 public:
  // Starts the command `run` of the deploy file by /bin/sh -c in the present folder.
  NodeProcess(const std::string& run, const std::string& listen, const std::string& config,
              const std::string& config_path, const std::string& tmpdir, const std::string& log) {
    std::FILE* file = std::fopen(config_path.c_str(), "w");
    if (file == nullptr) CannotRun("the configuration cannot be written");
    std::fputs(config.c_str(), file);
    std::fclose(file);
    pid_ = fork();
    if (pid_ == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);  // Ends with the case, however that ends.
      setenv("NODE_NAME", "n1", 1);
      setenv("NODE_LISTEN", listen.c_str(), 1);
      setenv("NODE_CONFIG", config_path.c_str(), 1);
      setenv("TMPDIR", tmpdir.c_str(), 1);
      const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0600);
      dup2(out, 1);
      dup2(out, 2);
      execl("/bin/sh", "sh", "-c", run.c_str(), static_cast<char*>(nullptr));
      _exit(127);
    }
    RECORD("started portal node process %d", static_cast<int>(pid_));
  }
  ~NodeProcess() {
    if (pid_ > 0 && !Ended()) {
      kill(pid_, SIGKILL);
      waitpid(pid_, nullptr, 0);
    }
  }
  void Signal(int number) {
    RECORD("signal %d to process %d", number, static_cast<int>(pid_));
    if (!Ended()) kill(pid_, number);
  }
  bool Ended() {
    if (ended_) return true;
    ended_ = waitpid(pid_, &status_, WNOHANG) == pid_;
    if (ended_) RECORD("process %d ended, wait status %d", static_cast<int>(pid_), status_);
    return ended_;
  }
  bool AwaitEnd(std::int64_t ms) {
    for (const std::int64_t end = UnixMs() + ms; UnixMs() < end; SleepMs(5)) {
      if (Ended()) return true;
    }
    return Ended();
  }

 private:
  pid_t pid_ = -1;
  int status_ = 0;
  bool ended_ = false;
};

// Whether GET /ops/readiness on this port says yes.
inline bool IsReady(int port) {
  const int fd = Connect(port);
  if (fd < 0) return false;
  WriteAll(fd, "GET /ops/readiness HTTP/1.1\r\nHost: localhost\r\n\r\n");
  char bytes[256] = {};
  const ssize_t got = recv(fd, bytes, sizeof bytes - 1, 0);
  close(fd);
  return got > 12 && std::strncmp(bytes, "HTTP/1.1 2", 10) == 0;
}
inline void AwaitReady(int port) {
  for (const std::int64_t end = UnixMs() + 20'000; UnixMs() < end; SleepMs(20)) {
    if (IsReady(port)) {
      RECORD("ready on the second address %d", port);
      return;
    }
  }
  CannotRun("the portal node does not get ready");
}

// The configuration of a small deployment.
struct ClassSettings {
  std::string name;
  int goal_ms, limit_ms;
  std::string repeat;
  int window_ms, worth;
  bool calls = false;
};
struct NodeSettings {
  int listen = 0, pool = 0, registry = 0, store = 0, ops = 0, stop_ms = 3200;
  std::vector<ClassSettings> classes;
  bool passes_deadline = true;
};

inline std::string NodeConfig(const NodeSettings& s) {
  const auto at = [](int port) { return "\"127.0.0.1:" + std::to_string(port) + "\""; };
  std::string classes, calls, worths;
  for (const ClassSettings& c : s.classes) {
    const char* comma = classes.empty() ? "" : ",";
    classes +=
        comma + std::string("{\"name\":\"") + c.name + "\",\"goalTimeMs\":" + std::to_string(c.goal_ms) +
        ".0,\"hardLimitMs\":" + std::to_string(c.limit_ms) + ".0,\"lateShare\":0.0,\"repeat\":\"" + c.repeat +
        "\",\"windowMs\":" + std::to_string(c.window_ms) + ".0,\"worth\":" + std::to_string(c.worth) + ".0}";
    calls += comma + std::string(c.calls ? "true" : "false");
    worths += comma + std::string("0.0");
  }
  std::string text = "{\"name\":\"n1\",\"listen\":" + at(s.listen) + ",\"pool\":" + at(s.pool) +
                     ",\"registry\":" + at(s.registry) + ",\"ops\":" + at(s.ops);
  if (s.store != 0) text += ",\"store\":" + at(s.store);
  text +=
      ",\"seed\":\"8c1f30d27a5be964\",\"stop_ms\":" + std::to_string(s.stop_ms) +
      ",\"limits\":{\"cores\":1.0,\"memory_mb\":96,\"sockets\":512},\"settings\":{"
      "\"az\":0,\"clients\":{\"marksRetry\":false},\"kindOfService\":\"server\",\"layer\":0,"
      "\"limits\":{\"cpuUsPerRequest\":0.0,\"cpuUsPerS\":61803,\"maxRetryAfterMs\":1000.0,"
      "\"retryAfter\":true},\"goal\":{\"whole\":0.55,\"worstClass\":0.2,\"worstTenant\":0.0,"
      "\"worstWindow\":0.25},\"me\":1,\"overShareWorth\":0.1,\"peersTotal\":3,\"quantumMs\":4.0,"
      "\"requestClasses\":[" +
      classes +
      "],\"rules\":{\"answerSlackMs\":100.0,\"coldFrom\":0.33,\"coldMs\":8000.0,\"drainGraceMs\":2500.0,"
      "\"fallMs\":1500.0,\"fallMultiple\":8.0},\"specifics\":{\"callShare\":" +
      (s.store != 0 ? "12.0" : "0.0") +
      ",\"callsOverMs\":5000.0,"
      "\"classCalls\":[" +
      calls + "],\"clientsTotal\":3,\"cold\":false,\"cpus\":6,\"deepChecks\":false,\"dependsOn\":\"" +
      (s.store != 0 ? "shared" : "silent") +
      "\",\"freshMs\":0.0,\"gauges\":[\"cpu_busy\",\"runnable\",\"mem_used\",\"sockets\"],"
      "\"heardForMs\":1000.0,\"idleMs\":30000.0,\"keyKb\":20.0,\"lingersMs\":200.0,\"listFollows\":false,"
      "\"memoryKb\":40000.0,\"passesDeadline\":" +
      (s.passes_deadline ? "true" : "false") +
      ",\"runFactor\":4.0,\"signal\":\"silent\",\"stopMode\":\"silent\",\"tellsGone\":true,"
      "\"worthWithout\":[" +
      worths +
      "]},\"telemetry\":{\"fields\":[\"rps\",\"waiting\",\"active\"],\"via\":\"piggyback\"},"
      "\"tenants\":[],\"tiers\":[\"portal-app\"],\"worthBy\":\"work\",\"zones\":[\"malaga\",\"bentley\"]}}";
  return text;
}

// Runs a case: 0 if the rule held, 1 if it was broken, 2 if the case could not run. Arguments: the command
// `run` of the deploy file, and where the record goes.
inline int Main(int argc, char** argv, bool (*holds)(const std::string& run, bool trouble)) {
  if (argc != 3) return 2;
  signal(SIGPIPE, SIG_IGN);
  Record::Get().Open(argv[2]);
  const char* trouble = std::getenv("TROUBLE");
  const bool with_trouble = trouble == nullptr || std::string(trouble) != "0";
  RECORD("%s", with_trouble ? "with the disruption" : "without the disruption");
  alarm(115);  // A case that hangs is no verdict.
  try {
    const bool held = holds(argv[1], with_trouble);
    RECORD("%s", held ? "the rule held" : "the rule was broken");
    std::printf("%s\n", held ? "the rule held" : "the rule was broken");
    return held ? 0 : 1;
  } catch (const std::string&) {
    return 2;
  }
}

}  // namespace review

#endif  // HINGELINK_REVIEW_COMMON_PEERS_H_
