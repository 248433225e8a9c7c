#include "rig.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <sstream>
#include <utility>

namespace rig {
namespace {

sockaddr_in Loopback(int port) {
  sockaddr_in at{};
  at.sin_family = AF_INET;
  at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  at.sin_port = htons(static_cast<std::uint16_t>(port));
  return at;
}

int PortOf(int fd) {
  sockaddr_in at{};
  socklen_t size = sizeof at;
  getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size);
  return ntohs(at.sin_port);
}

void NoDelay(int fd) {
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

std::vector<std::string> Words(std::string_view line) {
  std::istringstream text{std::string(line)};
  return {std::istream_iterator<std::string>(text), {}};
}

std::uint64_t FromHex(const std::string& text) { return std::strtoull(text.c_str(), nullptr, 16); }

// The number after "NAME=" in a body, or `otherwise`.
double Asked(const std::string& body, const std::string& name, double otherwise) {
  const std::size_t at = body.find(name + "=");
  return at == std::string::npos ? otherwise : std::atof(body.c_str() + at + name.size() + 1);
}

std::string BigEndian(std::uint64_t value, int bytes) {
  std::string out;
  while (bytes-- > 0) out.push_back(static_cast<char>(value >> (8 * bytes) & 0xff));
  return out;
}

std::uint64_t FromBigEndian(std::string_view bytes) {
  std::uint64_t value = 0;
  for (const char byte : bytes) value = value << 8 | static_cast<unsigned char>(byte);
  return value;
}

std::string Frame(int type, std::uint32_t stream, const std::string& payload) {
  return BigEndian(5 + payload.size(), 4) + BigEndian(static_cast<std::uint64_t>(type), 1) +
         BigEndian(stream, 4) + payload;
}

std::string Fields(const std::vector<std::pair<std::string, std::string>>& fields) {
  std::string out = BigEndian(fields.size(), 1);
  for (const auto& [name, value] : fields)
    out += BigEndian(name.size(), 1) + name + BigEndian(value.size(), 2) + value;
  return out;
}

std::string Number(double value) {
  char text[40];
  std::snprintf(text, sizeof text, "%.4g", value);
  return text;
}

std::string CallBody(std::uint64_t id, int nth) { return "call " + std::to_string(nth) + " of " + Hex(id); }

}  // namespace

double NowMs() {
  return std::chrono::duration<double, std::milli>(std::chrono::system_clock::now().time_since_epoch())
      .count();
}

void SleepMs(double ms) { std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(ms)); }

std::string Hex(std::uint64_t value) {
  char text[17];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(value));
  return text;
}

bool Trouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

int FreePort() {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in at = Loopback(0);
  if (bind(fd, reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0) CannotRun("no free port");
  const int port = PortOf(fd);
  close(fd);
  return port;
}

void CannotRun(const std::string& why) {
  std::fprintf(stderr, "the case could not run: %s\n", why.c_str());
  std::_Exit(2);
}

// ---- World ----

World::World(const std::string& record) : record_(std::fopen(record.c_str(), "w")) {
  if (record_ == nullptr) CannotRun("cannot write " + record);
  std::signal(SIGPIPE, SIG_IGN);
  thread_ = std::thread([this] { Run(); });
}

World::~World() {
  Stop();
  std::fclose(record_);
}

void World::Stop() {
  ends_ = true;
  if (thread_.joinable()) thread_.join();
}

void World::Do(const std::function<void()>& call) {
  const std::lock_guard lock(mutex_);
  call();
}

bool World::Await(const std::function<bool()>& holds, double timeout_ms) {
  const double until = NowMs() + timeout_ms;
  for (;;) {
    bool held = false;
    Do([&] { held = holds(); });
    if (held || NowMs() > until) return held;
    SleepMs(1);
  }
}

void World::At(double when, std::function<void()> call) { timers_.emplace(when, std::move(call)); }

void World::Log(const std::string& line) {
  const std::lock_guard lock(mutex_);
  std::fprintf(record_, "%10.1f %s\n", NowMs() - began_, line.c_str());
  std::fflush(record_);
}

void World::Run() {
  while (!ends_) {
    std::vector<pollfd> fds;
    {
      const std::lock_guard lock(mutex_);
      for (const Listener* listener : listeners_) fds.push_back({listener->fd_, POLLIN, 0});
      for (const Socket* socket : sockets_) {
        const bool writes = socket->connecting_ || !socket->out_.empty();
        fds.push_back({socket->fd_, static_cast<short>(POLLIN | (writes ? POLLOUT : 0)), 0});
      }
    }
    poll(fds.data(), fds.size(), 1);
    const std::lock_guard lock(mutex_);
    while (!timers_.empty() && timers_.begin()->first <= NowMs()) {
      const auto call = std::move(timers_.begin()->second);
      timers_.erase(timers_.begin());
      call();
    }
    for (const pollfd& ready : fds) {
      if (ready.revents == 0) continue;
      for (Listener* listener : std::set<Listener*>(listeners_)) {
        if (listener->fd_ != ready.fd) continue;
        for (;;) {
          const int fd = accept4(ready.fd, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
          if (fd < 0) break;
          NoDelay(fd);
          listener->on_accept_(std::make_unique<Socket>(*this, fd, false));
        }
      }
      const auto find = [&] {
        return std::find_if(sockets_.begin(), sockets_.end(),
                            [&](const Socket* s) { return s->fd_ == ready.fd; });
      };
      if (auto at = find(); at != sockets_.end() && (ready.revents & (POLLOUT | POLLERR | POLLHUP)) != 0)
        (*at)->Writable();
      if (auto at = find(); at != sockets_.end() && !(*at)->connecting_) (*at)->Readable();
    }
  }
}

// ---- Socket ----

Socket::Socket(World& world, int fd, bool connecting) : world_(world), fd_(fd), connecting_(connecting) {
  world_.sockets_.insert(this);
}

Socket::~Socket() { Close(); }

std::unique_ptr<Socket> Socket::Connect(World& world, int port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0) CannotRun("no descriptor");
  NoDelay(fd);
  const sockaddr_in at = Loopback(port);
  const int done = connect(fd, reinterpret_cast<const sockaddr*>(&at), sizeof at);
  // A refusal is seen by the next poll.
  if (done != 0 && errno != EINPROGRESS && errno != ECONNREFUSED) CannotRun("connect");
  return std::make_unique<Socket>(world, fd, true);
}

void Socket::Send(std::string_view bytes) {
  if (fd_ < 0) return;
  out_ += bytes;
  if (!connecting_) Writable();
}

void Socket::Close(bool reset) {
  if (fd_ < 0) return;
  if (reset) {
    const linger at_once{1, 0};
    setsockopt(fd_, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
  }
  world_.sockets_.erase(this);
  close(fd_);
  fd_ = -1;
}

void Socket::Ended(bool refused) {
  Close();
  const auto call = on_closed;
  call(refused);
}

void Socket::Writable() {
  if (connecting_) {
    int error = 0;
    socklen_t size = sizeof error;
    getsockopt(fd_, SOL_SOCKET, SO_ERROR, &error, &size);
    if (error != 0) return Ended(true);
    sockaddr_in peer{};
    socklen_t peer_size = sizeof peer;
    if (getpeername(fd_, reinterpret_cast<sockaddr*>(&peer), &peer_size) != 0) return;
    connecting_ = false;
    on_connected();
    if (fd_ < 0) return;
  }
  if (out_.empty()) return;
  const ssize_t sent = send(fd_, out_.data(), out_.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
  if (sent > 0) out_.erase(0, static_cast<std::size_t>(sent));
  // A failure is seen by the next read.
  if (sent > 0 && out_.empty()) on_written();
}

void Socket::Readable() {
  char buffer[65536];
  const ssize_t got = recv(fd_, buffer, sizeof buffer, MSG_DONTWAIT);
  if (got < 0 && (errno == EAGAIN || errno == EINTR)) return;
  if (got <= 0) return Ended(false);
  in.append(buffer, static_cast<std::size_t>(got));
  const auto call = on_data;
  call();
}

Listener::Listener(World& world, std::function<void(std::unique_ptr<Socket>)> on_accept)
    : world_(world), on_accept_(std::move(on_accept)) {
  fd_ = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const sockaddr_in at = Loopback(0);
  if (fd_ < 0 || bind(fd_, reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0 || listen(fd_, 512) != 0)
    CannotRun("cannot listen");
  port_ = PortOf(fd_);
  world_.Do([this] { world_.listeners_.insert(this); });
}

Listener::~Listener() {
  world_.Do([this] {
    world_.listeners_.erase(this);
    close(fd_);
  });
}

// ---- Pool ----

Pool::Pool(World& world, std::string name) : world_(world), name_(std::move(name)) { AddAddress(); }

void Pool::AddAddress() {
  auto place = std::make_unique<Place>();
  place->listener = std::make_unique<Listener>(
      world_, [this](std::unique_ptr<Socket> socket) { Accept(std::move(socket)); });
  places_.push_back(std::move(place));
}

std::size_t Pool::running() const {
  return static_cast<std::size_t>(
      std::count_if(runs_.begin(), runs_.end(), [](const auto& entry) { return !entry.second.over; }));
}

void Pool::Accept(std::unique_ptr<Socket> socket) {
  // A new link replaces the one before it.
  if (link_) {
    link_->Close();
    old_links_.push_back(std::move(link_));
  }
  link_ = std::move(socket);
  link_->on_data = [this] { Read(); };
  link_->on_closed = [this](bool) { bound_ = false; };
  bound_ = false;
}

void Pool::StopReading(double ms, bool breaks) {
  reads_ = false;
  world_.In(ms, [this, breaks] {
    reads_ = true;
    if (!link_) return;
    if (!breaks) return Read();
    link_->in.clear();
    link_->Close();
    bound_ = false;
  });
}

void Pool::Read() {
  if (!reads_) return;
  if (NowMs() < up_at) {
    world_.At(up_at, [this] {
      if (link_) Read();
    });
    return;
  }
  Socket* const link = link_.get();
  for (;;) {
    const std::size_t end = link->in.find("\r\n");
    if (end == std::string::npos) return;
    const std::string line = link->in.substr(0, end);
    const std::vector<std::string> words = Words(line);
    const bool has_body = !words.empty() && (words[0] == "spawn" || words[0] == "supply");
    const std::size_t length = has_body ? std::strtoull(words.back().c_str(), nullptr, 10) + 2 : 0;
    if (link->in.size() < end + 2 + length) return;
    const std::string body = has_body ? link->in.substr(end + 2, length - 2) : std::string();
    link->in.erase(0, end + 2 + length);
    if (!Command(line, body)) {
      world_.Log(name_ + " bad command: " + line);
      ++bad_commands;
      link->Close();
      return;
    }
  }
}

bool Pool::Command(std::string_view line, std::string_view body) {
  const std::vector<std::string> words = Words(line);
  const auto send = [this](const std::string& text) {
    if (link_) link_->Send(text);
  };
  if (words.size() == 2 && words[0] == "bind") {
    bound_ = true;
    send("bound hot " + std::to_string(static_cast<long>(NowMs() - up_since_ + 60'000)) + "\r\n");
    for (std::size_t i = std::strtoull(words[1].c_str(), nullptr, 10); i < notices_.size(); ++i)
      send(notices_[i]);
    return true;
  }
  if (!bound_) return false;
  if (words.size() == 2 && words[0] == "poll") {
    const auto wanting = static_cast<double>(
        waits_for_disk ? 0 : std::count_if(runs_.begin(), runs_.end(), [](const auto& entry) {
          return !entry.second.over && entry.second.at_call == 0;
        }));
    send("polled " + words[1] + ' ' + Number(std::min(1.0, wanting / cores)) + ' ' + Number(wanting) +
         " 0.1 10\r\n");
    return true;
  }
  if (words.size() == 2 && words[0] == "verify") {
    send("verified " + words[1] + " complete\r\n");
    return true;
  }
  if (words.size() == 4 && words[0] == "spawn") {
    const std::uint64_t id = FromHex(words[1]);
    if (const auto known = runs_.find(id); known != runs_.end()) return true;
    if (over_.contains(id)) {
      Notice([&](std::uint64_t n) {
        return "finished " + std::to_string(n) + ' ' + Hex(id) + " unknown 0 0\r\n\r\n";
      });
      return true;
    }
    Run& run = runs_[id];
    run.id = id;
    run.class_name = words[2];
    run.body = body;
    run.work_ms = Asked(run.body, "work", 20);
    run.calls = static_cast<int>(Asked(run.body, "calls", 0));
    run.began = NowMs();
    world_.Log(name_ + " runs " + Hex(id) + ' ' + run.class_name);
    Continue(run);
    return true;
  }
  if (words.size() == 3 && words[0] == "supply") {
    const auto run = runs_.find(FromHex(words[1]));
    if (run == runs_.end() || run->second.over || run->second.at_call == 0) {
      ++unknown_commands;
      send("unknown supply " + words[1] + "\r\n");
      return true;
    }
    if (body != "reply to " + CallBody(run->first, run->second.calls_made)) ++wrong_replies;
    run->second.at_call = 0;
    Continue(run->second);
    return true;
  }
  if (words.size() == 3 && words[0] == "pass") {
    const auto run = runs_.find(FromHex(words[1]));
    if (run == runs_.end() || run->second.over ||
        run->second.at_call != std::strtoull(words[2].c_str(), nullptr, 10)) {
      send("unknown pass " + words[1] + "\r\n");
      return true;
    }
    run->second.at_call = 0;
    Continue(run->second);
    return true;
  }
  return false;
}

void Pool::Notice(const std::function<std::string(std::uint64_t)>& make) {
  notices_.push_back(make(notices_.size() + 1));
  if (link_ && bound_) link_->Send(notices_.back());
}

// One part of the work, then the next call or the end.
void Pool::Continue(Run& run) {
  const std::uint64_t id = run.id;
  world_.In(run.work_ms / (run.calls + 1), [this, id] {
    Run& of = runs_.at(id);
    if (of.over) return;
    if (of.calls_made == of.calls) return End(of, "complete");
    if (over_.contains(id)) return End(of, "cancelled");
    ++of.calls_made;
    const std::string body = CallBody(id, of.calls_made);
    Notice([&](std::uint64_t n) {
      of.at_call = n;
      return "blocked " + std::to_string(n) + ' ' + Hex(id) + ' ' + std::to_string(body.size()) + "\r\n" +
             body + "\r\n";
    });
  });
}

void Pool::End(Run& run, const std::string& end) {
  run.over = true;
  run.at_call = 0;
  run.ended = NowMs();
  run.end = end;
  if (end == "complete") run.result = "result of " + Hex(run.id) + " for " + run.body;
  Notice([&](std::uint64_t n) {
    return "finished " + std::to_string(n) + ' ' + Hex(run.id) + ' ' + end + ' ' +
           Number(run.ended - run.began) + ' ' + std::to_string(run.result.size()) + "\r\n" + run.result +
           "\r\n";
  });
}

void Pool::RequestOver(std::uint64_t id) {
  over_.insert(id);
  const auto run = runs_.find(id);
  if (run != runs_.end() && !run->second.over && run->second.at_call != 0) End(run->second, "cancelled");
}

// ---- Store ----

Store::Store(World& world)
    : world_(world), listener_(world, [this](std::unique_ptr<Socket> socket) {
        Connection& connection = *connections_.emplace_back(std::make_unique<Connection>());
        connection.socket = std::move(socket);
        connection.socket->on_data = [this, &connection] { Read(connection); };
        connection.socket->on_closed = [&connection](bool) { connection.open.clear(); };
      }) {}

void Store::Read(Connection& connection) {
  std::string& in = connection.socket->in;
  for (;;) {
    const std::size_t end = in.find("\r\n");
    if (end == std::string::npos) return;
    const std::vector<std::string> words = Words(in.substr(0, end));
    const bool is_call = words.size() == 4 && words[0] == "CALL";
    const std::size_t length = is_call ? std::strtoull(words[3].c_str(), nullptr, 10) : 0;
    if (is_call && in.size() < end + 4 + length) return;
    const std::string body = is_call ? in.substr(end + 2, length) : std::string();
    in.erase(0, end + 2 + (is_call ? length + 2 : 0));
    const std::uint64_t id = words.size() > 1 ? FromHex(words[1]) : 0;
    if (!is_call) {
      connection.open.erase(id);
      continue;
    }
    if (busy > 0) {
      --busy;
      connection.socket->Send(Hex(id) + " BUSY\r\n");
      continue;
    }
    ++calls[body];
    if (errors > 0) {
      --errors;
      connection.socket->Send(Hex(id) + " ERR\r\n");
      continue;
    }
    const std::uint64_t call = ++last_call_;
    connection.open[id] = call;
    world_.In(reply_ms, [&connection, id, call, body] {
      const auto open = connection.open.find(id);
      if (open == connection.open.end() || open->second != call) return;
      connection.open.erase(open);
      const std::string reply = "reply to " + body;
      connection.socket->Send(Hex(id) + " OK " + std::to_string(reply.size()) + "\r\n" + reply + "\r\n");
    });
  }
}

void Store::Break() {
  for (const auto& connection : connections_) {
    connection->open.clear();
    connection->socket->Close(true);
  }
}

// ---- Registry ----

Registry::Registry(World& world)
    : world_(world), listener_(world, [this](std::unique_ptr<Socket> accepted) {
        Socket& socket = *sockets_.emplace_back(std::move(accepted));
        socket.on_data = [this, &socket] {
          for (;;) {
            const std::size_t head = socket.in.find("\r\n\r\n");
            if (head == std::string::npos) return;
            const std::size_t at = socket.in.find("Content-Length: ");
            const std::size_t length =
                at < head ? std::strtoull(socket.in.c_str() + at + 16, nullptr, 10) : 0;
            if (socket.in.size() < head + 4 + length) return;
            socket.in.erase(0, head + 4 + length);
            ++reports;
            socket.Send("HTTP/1.1 204 No Content\r\n\r\n");
          }
        };
      }) {}

// ---- Gateway ----

Gateway::Gateway(World& world, int port, int number) : port_(port), world_(world), number_(number) {
  world_.Do([this] { world_.In(100, [this] { CloseIdle(); }); });
}

Gateway::~Gateway() {
  world_.Do([this] {
    connections_.clear();
    health_.reset();
  });
}

Gateway::Connection& Gateway::Open() {
  Connection& connection = *connections_.emplace_back(std::make_unique<Connection>());
  connection.socket = Socket::Connect(world_, port_);
  connection.socket->on_data = [this, &connection] { Read(connection); };
  connection.socket->on_written = [&connection] {
    for (Request* request : std::exchange(connection.unwritten, {})) request->written = NowMs();
  };
  connection.socket->on_closed = [this, &connection](bool refused) { Closed(connection, refused); };
  return connection;
}

void Gateway::ResetConnectionOf(Request& request) {
  for (const auto& connection : connections_) {
    const bool carries = std::any_of(connection->open.begin(), connection->open.end(),
                                     [&](const auto& entry) { return entry.second == &request; });
    if (!carries) continue;
    connection->socket->Close(true);
    for (const auto& [stream, open] : std::exchange(connection->open, {})) {
      open->reset = true;
      open->gone = NowMs();
      world_.Log("reset the connection of " + Hex(open->id));
      on_over(*open);
    }
    return;
  }
}

Request& Gateway::Send(Request request) {
  Request& kept = requests_.emplace_back(std::move(request));
  constexpr std::size_t kMostOpen = 32;
  const auto open = static_cast<std::size_t>(std::count_if(connections_.begin(), connections_.end(),
                                                           [](const auto& c) { return c->socket->open(); }));
  for (const auto& connection : connections_) {
    if ((connection_each && open < most_connections) || !connection->socket->open() || connection->stopped ||
        connection->open.size() >= kMostOpen)
      continue;
    Put(*connection, kept);
    return kept;
  }
  Put(Open(), kept);
  return kept;
}

void Gateway::Put(Connection& connection, Request& request) {
  const std::uint32_t stream = ++connection.last_stream;
  connection.used_at = NowMs();
  connection.open[stream] = &request;
  if (request.ts == 0) request.ts = NowMs();
  std::vector<std::pair<std::string, std::string>> fields = {
      {"kind", request.class_name},
      {"req", Hex(request.id)},
      {"ts", std::to_string(static_cast<std::uint64_t>(request.ts))},
      {"via", std::to_string(number_)},
      {"need", Number(request.need_kb)},
      {"level", "0.5"}};
  if (request.timeout_ms > 0)
    fields.emplace_back("timeout", std::to_string(static_cast<std::uint64_t>(request.timeout_ms)));
  if (!request.tenant.empty()) fields.emplace_back("owner", request.tenant);
  if (!request.subject.empty()) fields.emplace_back("subject", request.subject);
  if (!request.key.empty()) fields.emplace_back("opkey", request.key);
  if (request.resent) fields.emplace_back("resent", "1");
  world_.Log("sent " + Hex(request.id) + ' ' + request.class_name +
             (request.key.empty() ? "" : " key " + request.key) + (request.crossed ? " once more" : ""));
  connection.unwritten.push_back(&request);
  connection.socket->Send(Frame(0, stream, Fields(fields) + request.body));
}

void Gateway::Leave(Request& request) {
  for (const auto& connection : connections_) {
    for (const auto& [stream, open] : connection->open) {
      if (open != &request) continue;
      request.gone = NowMs();
      world_.Log("left " + Hex(request.id));
      connection->socket->Send(Frame(2, stream, {}));
      on_over(request);
      return;
    }
  }
}

void Gateway::CloseIdle() {
  constexpr double kIdleMs = 3000;
  for (const auto& connection : connections_) {
    if (connection->open.empty() && NowMs() - connection->used_at > kIdleMs) connection->socket->Close();
  }
  world_.In(100, [this] { CloseIdle(); });
}

void Gateway::Read(Connection& connection) {
  std::string& in = connection.socket->in;
  constexpr std::size_t kHead = 9;
  while (in.size() >= kHead) {
    const std::size_t size = 4 + FromBigEndian(std::string_view(in).substr(0, 4));
    if (in.size() < size) return;
    const int type = static_cast<unsigned char>(in[4]);
    const auto stream = static_cast<std::uint32_t>(FromBigEndian(std::string_view(in).substr(5, 4)));
    const std::string payload = in.substr(kHead, size - kHead);
    in.erase(0, size);
    if (type == 9) connection.stopped = true;
    if (type != 1) continue;
    const auto open = connection.open.find(stream);
    if (open == connection.open.end()) {
      world_.Log("an answer on stream " + std::to_string(stream) + " that no request waits for");
      continue;
    }
    Request& request = *open->second;
    connection.open.erase(open);
    std::size_t at = 2;
    for (int fields = static_cast<unsigned char>(payload[1]); fields > 0; --fields) {
      at += 1 + static_cast<unsigned char>(payload[at]);
      at += 2 + FromBigEndian(std::string_view(payload).substr(at, 2));
    }
    if (++request.answers > 1) continue;
    request.code = payload[0];
    request.result = payload.substr(at);
    request.answered = NowMs();
    static const char* const kCodes[] = {"served", "refused", "failed"};
    world_.Log(std::string(kCodes[std::clamp(request.code, 0, 2)]) + ' ' + Hex(request.id) + " after " +
               Number(request.answered - request.ts) + " ms");
    on_over(request);
    on_answer(request);
  }
  // The gateway closes a connection that takes no new request once all on it is answered.
  if (connection.stopped && connection.open.empty()) connection.socket->Close();
}

void Gateway::Closed(Connection& connection, bool refused) {
  const bool only_crossing =
      std::all_of(connection.open.begin(), connection.open.end(), [](const auto& entry) {
        constexpr double kCrossingMs = 50;
        return entry.second->written == 0 || NowMs() - entry.second->written <= kCrossingMs;
      });
  const bool alive = !refused;
  for (const auto& [stream, request] : std::exchange(connection.open, {})) {
    if (request->gone > 0) continue;
    if (refused) {
      request->refused_connection = true;
      world_.Log("refused connection " + Hex(request->id));
    } else if (alive && only_crossing && !request->crossed) {
      request->crossed = true;
      request->written = 0;
      Put(Open(), *request);
    } else {
      request->broken = true;
      request->broken_at = NowMs();
      world_.Log("broken " + Hex(request->id));
    }
  }
}

void Gateway::CheckHealth() {
  healthy = false;
  health_ = Socket::Connect(world_, port_);
  health_->on_data = [this] {
    constexpr std::size_t kCode = 9;
    if (health_->in.size() > kCode && health_->in[4] == 7) healthy = health_->in[kCode] == 0;
  };
  health_->Send(Frame(6, 1, Fields({})));
}

// ---- Node ----

Node::Node(World& world, std::string folder) : world_(world), folder_(std::move(folder)) {
  std::filesystem::create_directories(folder_ + "/tmp");
}

Node::~Node() {
  for (Process& process : processes_) {
    if (process.ended) continue;
    kill(process.pid, SIGKILL);
    kill(process.pid, SIGCONT);
    waitpid(process.pid, nullptr, 0);
  }
}

void Node::Configure(const NodeSettings& settings, int listen, int pool, int registry, int store, int ops) {
  const auto address = [](int port) { return "\"127.0.0.1:" + std::to_string(port) + '"'; };
  std::string classes, calls, without, tenants;
  for (const ClassSettings& c : settings.classes) {
    const std::string comma = classes.empty() ? "" : ",";
    classes += comma + "{\"name\":\"" + c.name + "\",\"repeat\":\"" + c.repeat +
               "\",\"goalTimeMs\":" + std::to_string(c.goal_ms) +
               ",\"hardLimitMs\":" + std::to_string(c.limit_ms) +
               ",\"windowMs\":" + std::to_string(c.window_ms) + ",\"worth\":" + std::to_string(c.worth) +
               ",\"lateShare\":" + std::to_string(c.late_share) + "}";
    calls += comma + (c.calls ? "true" : "false");
    without += comma + std::to_string(c.worth_without);
  }
  for (const std::string& name : settings.tenants) {
    tenants += std::string(tenants.empty() ? "" : ",") + "{\"name\":\"" + name +
               "\",\"portion\":" + std::to_string(1.0 / static_cast<double>(settings.tenants.size())) +
               ",\"quotaRps\":200.0}";
  }
  std::ostringstream text;
  text << "{\"name\":\"n1\",\"listen\":" << address(listen) << ",\"pool\":" << address(pool)
       << ",\"registry\":" << address(registry);
  if (store != 0) text << ",\"store\":" << address(store);
  if (ops != 0) text << ",\"ops\":" << address(ops);
  text << ",\"seed\":\"8c1f30d27a5be964\",\"stop_ms\":" << static_cast<int>(settings.stop_ms)
       << ",\"limits\":{\"cores\":1.0,\"memory_mb\":" << settings.memory_mb
       << ",\"sockets\":" << settings.sockets << "},\"settings\":{\"kindOfService\":\"server\","
       << "\"peersTotal\":3,\"quantumMs\":5.0,\"overShareWorth\":0.05,\"worthBy\":\"request\","
       << "\"requestClasses\":[" << classes << "],\"tenants\":[" << tenants << "],"
       << "\"goal\":{\"whole\":0.4,\"worstWindow\":0.1,\"worstClass\":0.1,\"worstTenant\":0.4},"
       << "\"limits\":{\"retryAfter\":true,\"maxRetryAfterMs\":1000.0},"
       << "\"rules\":{\"answerSlackMs\":80.0,\"coldFrom\":0.33,\"coldMs\":16000.0,\"drainGraceMs\":"
       << settings.drain_grace_ms << ",\"fallMs\":1500.0,\"fallMultiple\":" << settings.fall_multiple
       << "},\"specifics\":{\"cpus\":" << settings.cores << ",\"memoryKb\":" << std::fixed
       << settings.memory_kb << ",\"runFactor\":" << settings.run_factor << ",\"keyKb\":" << settings.key_kb
       << ",\"freshMs\":" << settings.fresh_ms << ",\"cold\":false,\"clientsTotal\":3,\"dependsOn\":\""
       << (store != 0 ? "shared" : "silent") << "\",\"callShare\":" << settings.call_share
       << ",\"callsOverMs\":5000.0,\"lingersMs\":200.0,\"classCalls\":[" << calls << "],\"worthWithout\":["
       << without << "],\"passesDeadline\":" << (settings.tells_wait ? "true" : "false")
       << ",\"tellsGone\":true,\"stopMode\":\"silent\",\"signal\":\"threshold\",\"heardForMs\":1000.0,"
       << "\"idleMs\":30000.0,\"gauges\":[\"cpu_busy\",\"runnable\",\"mem_used\",\"sockets\"]}}}";
  const std::string beside = config_path() + ".new";
  std::ofstream(beside) << text.str();
  std::filesystem::rename(beside, config_path());
}

std::size_t Node::Start(const std::string& config) {
  std::ifstream deploy("deploy/balancer.toml");
  std::string line, command;
  while (std::getline(deploy, line)) {
    if (!line.starts_with("run = \"")) continue;
    const std::size_t from = line.find('"') + 1;
    command = line.substr(from, line.find('"', from) - from);
  }
  if (command.empty()) CannotRun("no command `run` in deploy/balancer.toml");
  if (!std::filesystem::exists("build/hingelink")) CannotRun("build/hingelink is not built");
  Process process;
  process.log = folder_ + "/log-" + std::to_string(processes_.size());
  const std::string path = config.empty() ? config_path() : config;
  const pid_t parent = getpid();
  process.pid = fork();
  if (process.pid < 0) CannotRun("fork");
  if (process.pid == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent) _exit(126);
    const int out = open(process.log.c_str(), O_CREAT | O_WRONLY | O_APPEND, 0600);
    dup2(out, 1);
    dup2(out, 2);
    setenv("NODE_NAME", "n1", 1);
    setenv("NODE_CONFIG", path.c_str(), 1);
    setenv("TMPDIR", (folder_ + "/tmp").c_str(), 1);
    execl("/bin/sh", "sh", "-c", command.c_str(), static_cast<char*>(nullptr));
    _exit(127);
  }
  world_.Log("node process " + std::to_string(processes_.size()) + " starts");
  processes_.push_back(process);
  return processes_.size() - 1;
}

void Node::Signal(std::size_t process, int number) {
  world_.Log("signal " + std::to_string(number) + " to node process " + std::to_string(process));
  if (!processes_[process].ended) kill(processes_[process].pid, number);
}

bool Node::Runs(std::size_t process, int* status) {
  Process& of = processes_[process];
  if (!of.ended && waitpid(of.pid, &of.status, WNOHANG) == of.pid) {
    of.ended = true;
    std::string how = WIFSIGNALED(of.status) ? "signal " + std::to_string(WTERMSIG(of.status))
                                             : "code " + std::to_string(WEXITSTATUS(of.status));
    world_.Log("node process " + std::to_string(process) + " ended by " + how);
  }
  if (status != nullptr) *status = of.status;
  return !of.ended;
}

std::string Node::LogOf(std::size_t process) const {
  std::ifstream file(processes_[process].log);
  return {std::istreambuf_iterator<char>(file), {}};
}

Folder::Folder() {
  std::string name = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
  if (mkdtemp(name.data()) == nullptr) CannotRun("no temporary folder");
  path_ = name;
}

Folder::~Folder() {
  std::error_code ignored;
  std::filesystem::remove_all(path_, ignored);
}

// ---- Stage ----

Stage::Stage(const std::string& record)
    : world(record),
      node(world, folder.path()),
      pool(world),
      store(world),
      registry(world),
      gateway(world, listen, 1) {
  gateway.on_over = [this](Request& request) { pool.RequestOver(request.id); };
}

void Stage::Configure(const NodeSettings& settings, int ops) {
  node.Configure(settings, listen, pool.port(), registry.port(), store.port(), ops);
}

std::size_t Stage::StartNode() {
  const std::size_t process = node.Start();
  constexpr double kStartMs = 30'000;
  if (!world.Await([&] { return pool.bound() && registry.reports > 0; }, kStartMs))
    CannotRun("the node does not start: " + node.LogOf(process));
  world.Do([&] { gateway.CheckHealth(); });
  if (!world.Await([&] { return gateway.healthy; }, kStartMs)) CannotRun("no answer to the health check");
  SleepMs(100);
  return process;
}

int Stage::CountLost(double slack_ms) {
  int lost = 0;
  world.Do([&] {
    for (const Request& request : gateway.requests()) {
      if (request.written == 0 || request.refused_connection) continue;
      const double due = request.ts + request.due_ms + slack_ms;
      std::string wrong;
      if (request.answers > 1) wrong = "two answers";
      if (request.answers == 0 && request.gone == 0) wrong = "no answer";
      if (request.answers == 1 && request.answered > due && request.gone == 0) wrong = "a late answer";
      if (request.answers == 1 && request.code == 0) {
        const auto& runs = pool.runs();
        const bool made = std::any_of(runs.begin(), runs.end(), [&](const auto& entry) {
          const bool is_own = entry.first == request.id;
          const bool is_of_key = !request.key.empty() && entry.second.body == request.body;
          return (is_own || is_of_key) && entry.second.result == request.result;
        });
        if (!made) wrong = "a result that no run made";
      }
      if (wrong.empty()) continue;
      ++lost;
      world.Log("BROKEN " + Hex(request.id) + ' ' + request.class_name + ": " + wrong);
    }
  });
  return lost;
}

int OpsStatus(int port, const std::string& path) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const timeval limit{1, 0};
  setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
  const sockaddr_in at = Loopback(port);
  int status = 0;
  if (connect(fd, reinterpret_cast<const sockaddr*>(&at), sizeof at) == 0) {
    const std::string call = "GET " + path + " HTTP/1.1\r\nHost: 127.0.0.1\r\n\r\n";
    send(fd, call.data(), call.size(), MSG_NOSIGNAL);
    char head[16] = {};
    if (recv(fd, head, 12, MSG_WAITALL) == 12) status = std::atoi(head + 9);
  }
  close(fd);
  return status;
}

}  // namespace rig
