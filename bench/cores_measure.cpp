// Measures the node with 1 to N threads; no part of CI. Each figure is printed as a row of a Markdown table.
//   cores_measure saturation [ROUNDS] [SECONDS] [GENERATORS] [CONNECTIONS] [WINDOW] [THREADS...]
//   cores_measure split [as above, PROCESSES for THREADS]       a probe: whole nodes of one thread that share
//   the port,
//       the best that a module to each loop could give
//   cores_measure added RATE [ROUNDS] [SECONDS] [THREADS...]    time added by the node at a fixed rate, open
//   loop
//   cores_measure share [ROUNDS] [SECONDS] [THREADS...]         service share at 90, 110 and 140% of what the
//   stand-in pool's 16 cores can do; a further row for the probe of 4 processes. All at the same time.
//   cores_measure drain [ROUNDS] [HELD] [THREADS...]            from SIGTERM to the last of so many answers
// Generator and worker pool are as lean as can be, so that the node is the bound for as long as the machine
// lets it.
#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/epoll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <sstream>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

#include "site.h"

namespace {

using namespace measure;

int ListenOn(std::string& address) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in at{};
  at.sin_family = AF_INET;
  at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof at;
  if (bind(fd, reinterpret_cast<sockaddr*>(&at), size) != 0 || listen(fd, 64) != 0) {
    throw std::runtime_error("cannot listen");
  }
  getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size);
  address = "127.0.0.1:" + std::to_string(ntohs(at.sin_port));
  return fd;
}

// Finishes each run as soon as it reads the spawn, but for a time at the start when it is told to wait.
class LeanPool {
 public:
  LeanPool() : listener_(ListenOn(address_)), thread_([this] { Serve(); }) {}
  ~LeanPool() {
    over_ = true;
    thread_.join();
    close(listener_);
  }
  const std::string& address() const { return address_; }
  std::uint64_t runs() const { return runs_; }
  void Wait(bool on) { waits_ = on; }

 private:
  void Serve() {
    std::string kept;  // What is to be told when the wait is over.
    int link = -1;
    std::string in, out;
    std::vector<char> chunk(1 << 18);
    std::uint64_t notice = 0;
    while (!over_) {
      pollfd ready[2] = {{listener_, POLLIN, 0}, {link, POLLIN, 0}};
      poll(ready, link >= 0 ? 2 : 1, kept.empty() ? 50 : 1);
      if (!waits_ && !kept.empty()) {
        Send(link, kept);
        kept.clear();
      }
      if ((ready[0].revents & POLLIN) != 0) {
        if (link >= 0) close(link);
        link = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
        const int on = 1;
        setsockopt(link, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        in.clear();
        notice = 0;
        continue;
      }
      if (link < 0 || (ready[1].revents & (POLLIN | POLLHUP)) == 0) continue;
      const ssize_t got = read(link, chunk.data(), chunk.size());
      if (got <= 0) {
        close(std::exchange(link, -1));
        continue;
      }
      in.append(chunk.data(), static_cast<std::size_t>(got));
      out.clear();
      std::size_t done = 0;
      std::uint64_t runs = 0;
      for (;;) {
        const std::size_t end = in.find('\n', done);
        if (end == std::string::npos) break;
        const std::string_view line(in.data() + done, end - done - 1);
        if (line.starts_with("spawn ")) {
          const std::size_t body = std::strtoul(line.data() + line.rfind(' ') + 1, nullptr, 10);
          if (in.size() < end + 1 + body + 2) break;
          out.append("finished ").append(std::to_string(++notice)).append(" ").append(line.substr(6, 16));
          out.append(" complete 0.1 8\r\nanswered\r\n");
          ++runs;
          done = end + 1 + body + 2;
          continue;
        }
        if (line.starts_with("bind ")) out.append("bound hot 1000.0\r\n");
        if (line.starts_with("poll "))
          out.append("polled ").append(line.substr(5)).append(" 0.1 0 0.1 1\r\n");
        done = end + 1;
      }
      in.erase(0, done);
      if (waits_ && runs > 0) {
        kept += out;
      } else {
        Send(link, out);
      }
      runs_ += runs;
    }
    if (link >= 0) close(link);
  }
  static void Send(int link, const std::string& out) {
    for (std::size_t sent = 0; sent < out.size();) {
      const ssize_t put = write(link, out.data() + sent, out.size() - sent);
      if (put <= 0) break;
      sent += static_cast<std::size_t>(put);
    }
  }

  std::string address_;
  int listener_;
  std::atomic<bool> over_{false}, waits_{false};
  std::atomic<std::uint64_t> runs_{0};
  std::thread thread_;
};

std::uint64_t UnixMs() {
  return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(
                                        std::chrono::system_clock::now().time_since_epoch())
                                        .count());
}

// One request frame; stream, id and stamp are written over for each.
class FrameTemplate {
 public:
  FrameTemplate() {
    const auto number = [](std::uint64_t value, int bytes) {
      std::string out;
      for (int i = bytes - 1; i >= 0; --i) out += static_cast<char>(value >> 8 * i);
      return out;
    };
    std::string payload = number(8, 1);
    const auto field = [&](const std::string& name, const std::string& value) {
      payload += number(name.size(), 1) + name + number(value.size(), 2);
      const std::size_t at = payload.size();
      payload += value;
      return at + 9;
    };
    field("kind", "usage-view");
    req_at_ = field("req", std::string(16, '0'));
    ts_at_ = field("ts", std::string(13, '0'));
    field("timeout", "60000");
    field("ms", "5.0");
    field("via", "1");
    field("need", "1.0");
    field("level", "0.5");
    payload += "what is asked for";
    bytes_ = number(payload.size() + 5, 4) + number(0, 1) + number(0, 4) + payload;
  }
  void Append(std::string& out, std::uint32_t stream, std::uint64_t req, std::uint64_t ts) {
    const std::size_t at = out.size();
    out += bytes_;
    for (int i = 0; i < 4; ++i)
      out[at + 5 + static_cast<std::size_t>(i)] = static_cast<char>(stream >> (24 - 8 * i));
    static constexpr char kHex[] = "0123456789abcdef";
    for (std::size_t i = 0; i < 16; ++i) out[at + req_at_ + i] = kHex[req >> (60 - 4 * i) & 15];
    for (std::size_t i = 13; i-- > 0; ts /= 10) out[at + ts_at_ + i] = static_cast<char>('0' + ts % 10);
  }

 private:
  std::string bytes_;
  std::size_t req_at_ = 0, ts_at_ = 0;
};

struct Tally {
  std::uint64_t served = 0, refused = 0, failed = 0, wrong = 0;
};

// Keeps `window` requests open on each of its connections; or, with a rate, sends by a schedule that waits
// for nothing and takes each wait from the time at which the request was due.
class Generator {
 public:
  Generator(const std::string& target, std::size_t connections, std::size_t window, double rate,
            std::uint64_t seed)
      : window_(window), rate_(rate), next_req_(seed << 48 | 1) {
    for (std::size_t i = 0; i < connections; ++i) connections_.push_back({ConnectTo(target), 0, 0, {}, {}});
    thread_ = std::thread([this] { Run(); });
  }
  ~Generator() { Stop(); }
  void Stop() {
    over_ = true;
    if (thread_.joinable()) thread_.join();
    for (Connection& c : connections_) close(std::exchange(c.fd, -1));
    connections_.clear();
  }
  std::uint64_t answers() const { return answers_; }
  // Answers are no longer followed by requests.
  void NoMore() { no_more_ = true; }
  void Measure(bool on) { measuring_ = on; }
  const std::vector<float>& waits() const { return waits_; }  // Milliseconds; once stopped.
  const Tally& tally() const { return tally_; }
  double worst_lag_ms() const { return worst_lag_ms_; }

 private:
  struct Connection {
    int fd;
    std::uint32_t stream;
    std::size_t open;
    std::string in;
    std::vector<Steady::time_point> due;  // By stream, while open. The index wraps.
  };

  void Send(Connection& c, std::size_t count, Steady::time_point due) {
    out_.clear();
    const std::uint64_t now = UnixMs();
    for (std::size_t i = 0; i < count; ++i) {
      ++c.stream;
      c.due.resize(64);
      c.due[c.stream % 64] = due;
      frames_.Append(out_, c.stream, next_req_++, now);
    }
    c.open += count;
    for (std::size_t sent = 0; sent < out_.size();) {
      const ssize_t put = send(c.fd, out_.data() + sent, out_.size() - sent, MSG_NOSIGNAL);
      if (put <= 0) return;
      sent += static_cast<std::size_t>(put);
    }
  }

  void Take(Connection& c) {
    const ssize_t got = recv(c.fd, chunk_, sizeof chunk_, MSG_DONTWAIT);
    if (got <= 0) return;
    c.in.append(chunk_, static_cast<std::size_t>(got));
    const Steady::time_point now = Steady::now();
    std::size_t done = 0;
    std::size_t answers = 0;
    const auto byte = [&](std::size_t at) {
      return static_cast<std::uint32_t>(static_cast<unsigned char>(c.in[at]));
    };
    while (c.in.size() - done >= 10) {
      const std::size_t size =
          4 + (byte(done) << 24 | byte(done + 1) << 16 | byte(done + 2) << 8 | byte(done + 3));
      if (c.in.size() - done < size) break;
      if (byte(done + 4) == 1) {
        const std::uint32_t stream =
            byte(done + 5) << 24 | byte(done + 6) << 16 | byte(done + 7) << 8 | byte(done + 8);
        const std::uint32_t code = byte(done + 9);
        ++(code == 0 ? tally_.served : code == 1 ? tally_.refused : tally_.failed);
        if (stream == 0 || c.open == 0) {
          ++tally_.wrong;
        } else {
          --c.open;
        }
        if (measuring_ && rate_ > 0 && code == 0) {
          waits_.push_back(std::chrono::duration<float, std::milli>(now - c.due[stream % 64]).count());
        }
        ++answers;
      }
      done += size;
    }
    c.in.erase(0, done);
    answers_ += answers;
    if (rate_ == 0 && answers > 0 && !no_more_) Send(c, answers, now);
  }

  void Run() {
    const int epoll = epoll_create1(EPOLL_CLOEXEC);
    for (std::size_t i = 0; i < connections_.size(); ++i) {
      epoll_event event{};
      event.events = EPOLLIN;
      event.data.u64 = i;
      epoll_ctl(epoll, EPOLL_CTL_ADD, connections_[i].fd, &event);
      if (rate_ == 0) Send(connections_[i], window_, Steady::now());
    }
    Steady::time_point next = Steady::now();
    const auto gap = std::chrono::duration_cast<Steady::duration>(
        std::chrono::duration<double>(rate_ > 0 ? 1 / rate_ : 0));
    std::size_t turn = 0;
    epoll_event ready[64];
    while (!over_) {
      const int count = epoll_wait(epoll, ready, 64, rate_ > 0 ? 1 : 20);
      for (int i = 0; i < count; ++i) Take(connections_[ready[i].data.u64]);
      if (rate_ == 0) continue;
      const Steady::time_point now = Steady::now();
      if (measuring_) {
        worst_lag_ms_ =
            std::max(worst_lag_ms_, std::chrono::duration<double, std::milli>(now - next).count());
      }
      for (; next <= now; next += gap) {
        Connection& c = connections_[turn++ % connections_.size()];
        if (c.open < 32) Send(c, 1, next);
      }
    }
    close(epoll);
  }

  std::size_t window_;
  double rate_;
  std::uint64_t next_req_;
  FrameTemplate frames_;
  std::vector<Connection> connections_;
  std::string out_;
  char chunk_[1 << 16];
  std::atomic<bool> over_{false}, measuring_{false}, no_more_{false};
  std::atomic<std::uint64_t> answers_{0};
  std::vector<float> waits_;
  Tally tally_;
  double worst_lag_ms_ = 0;
  std::thread thread_;
};

void Saturation(bool split, int rounds, double seconds, std::size_t generators, std::size_t connections,
                std::size_t window, const std::vector<std::size_t>& threads) {
  struct Row {
    std::vector<double> rate, cpu, user, deciding, memory;
  };
  std::vector<Row> rows(threads.size());
  for (int round = 0; round < rounds; ++round) {
    for (std::size_t k = 0; k < threads.size(); ++k) {
      std::vector<std::unique_ptr<LeanPool>> pools;
      std::vector<std::unique_ptr<NodeProcess>> nodes;
      for (std::size_t i = 0; i < (split ? threads[k] : 1); ++i) {
        pools.push_back(std::make_unique<LeanPool>());
        nodes.push_back(std::make_unique<NodeProcess>(Program(threads[k]), split ? 1 : threads[k],
                                                      pools[i]->address(),
                                                      i == 0 ? std::string() : nodes[0]->listen()));
      }
      const auto used_by_all = [&nodes] {
        Cpu sum;
        for (const auto& node : nodes) {
          const Cpu one = node->Used();
          sum.all += one.all;
          sum.user += one.user;
          sum.deciding = std::max(sum.deciding, one.deciding);
        }
        return sum;
      };
      std::this_thread::sleep_for(300ms);
      std::vector<std::unique_ptr<Generator>> all;
      const std::size_t each = std::max<std::size_t>(1, connections / generators);
      for (std::size_t g = 0; g < generators; ++g) {
        all.push_back(std::make_unique<Generator>(nodes[0]->listen(), each, window, 0, g + 1));
      }
      std::this_thread::sleep_for(700ms);
      const auto sum = [&] {
        std::uint64_t answers = 0;
        for (const auto& g : all) answers += g->answers();
        return static_cast<double>(answers);
      };
      const double before = sum();
      const Cpu cpu = used_by_all();
      const auto began = Steady::now();
      std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
      const double answers = sum() - before;
      const double passed = Seconds(Steady::now() - began);
      const Cpu used = used_by_all();
      rows[k].rate.push_back(answers / passed);
      rows[k].cpu.push_back((used.all - cpu.all) / answers * 1e6);
      rows[k].user.push_back((used.user - cpu.user) / answers * 1e6);
      rows[k].deciding.push_back((used.deciding - cpu.deciding) / passed * 100);
      double memory = 0;
      for (const auto& node : nodes) memory += node->RssMb();
      rows[k].memory.push_back(memory);
      for (auto& g : all) {
        g->Stop();
        const Tally& t = g->tally();
        if (t.wrong > 0) std::printf("wrong: %lu\n", static_cast<unsigned long>(t.wrong));
        if (g == all.front() && t.refused + t.failed > t.served / 1000) {
          std::printf("served %lu refused %lu failed %lu\n", static_cast<unsigned long>(t.served),
                      static_cast<unsigned long>(t.refused), static_cast<unsigned long>(t.failed));
        }
      }
    }
  }
  std::printf("| %s | answers/s | CPU us an answer | of it user | deciding thread, %% of a core | MB |\n",
              split ? "processes" : "threads");
  std::printf("| --- | --- | --- | --- | --- | --- |\n");
  for (std::size_t k = 0; k < threads.size(); ++k) {
    std::printf("| %zu | %s | %s | %s | %s | %s |\n", threads[k], Spread(rows[k].rate).c_str(),
                Spread(rows[k].cpu, "%.1f").c_str(), Spread(rows[k].user, "%.1f").c_str(),
                Spread(rows[k].deciding).c_str(), Spread(rows[k].memory).c_str());
  }
}

void Added(double rate, int rounds, double seconds, const std::vector<std::size_t>& threads) {
  struct Row {
    std::vector<double> p50, p99, p999, lag;
  };
  std::vector<Row> rows(threads.size());
  for (int round = 0; round < rounds; ++round) {
    for (std::size_t k = 0; k < threads.size(); ++k) {
      LeanPool pool;
      NodeProcess node(Program(threads[k]), threads[k], pool.address());
      std::this_thread::sleep_for(300ms);
      Generator generator(node.listen(), 100, 0, rate, 1);
      std::this_thread::sleep_for(500ms);
      generator.Measure(true);
      std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
      generator.Measure(false);
      generator.Stop();
      std::vector<float> waits = generator.waits();
      std::sort(waits.begin(), waits.end());
      if (waits.empty()) throw std::runtime_error("nothing was served");
      const auto at = [&](double part) {
        return static_cast<double>(
            waits[static_cast<std::size_t>(part * static_cast<double>(waits.size() - 1))]);
      };
      rows[k].p50.push_back(at(0.5));
      rows[k].p99.push_back(at(0.99));
      rows[k].p999.push_back(at(0.999));
      rows[k].lag.push_back(generator.worst_lag_ms());
    }
  }
  std::printf(
      "| threads | p50 ms | p99 ms | p99.9 ms | generator's worst lag ms |\n| --- | --- | --- | --- | --- "
      "|\n");
  for (std::size_t k = 0; k < threads.size(); ++k) {
    std::printf("| %zu | %s | %s | %s | %s |\n", threads[k], Spread(rows[k].p50, "%.2f").c_str(),
                Spread(rows[k].p99, "%.2f").c_str(), Spread(rows[k].p999, "%.2f").c_str(),
                Spread(rows[k].lag, "%.1f").c_str());
  }
}

void Share(int rounds, double seconds, const std::vector<std::size_t>& threads) {
  constexpr double kLoads[] = {0.9, 1.1, 1.4};
  constexpr std::size_t kProbe = 4;
  std::vector<std::vector<double>> shares((threads.size() + 1) * std::size(kLoads));
  std::uint64_t broken = 0;
  for (int round = 0; round < rounds; ++round) {
    hingelink::standin::Host host;
    std::vector<std::unique_ptr<Site>> sites;
    for (std::size_t k = 0; k <= threads.size(); ++k) {
      for (const double load : kLoads) {
        const bool probe = k == threads.size();
        sites.push_back(std::make_unique<Site>(host, probe ? 1 : threads[k], probe ? kProbe : 1, load,
                                               static_cast<std::uint64_t>(round) + 1));
      }
    }
    // The first seconds are left out: costs are learned, and retries come up to their level.
    std::this_thread::sleep_for(3s);
    std::vector<hingelink::standin::ClassAccount> before;
    for (const auto& site : sites) before.push_back(site->Sum());
    std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
    for (std::size_t i = 0; i < sites.size(); ++i) {
      const auto after = sites[i]->Sum();
      shares[i].push_back(100.0 * static_cast<double>(after.good - before[i].good) /
                          static_cast<double>(after.requests - before[i].requests));
      broken += after.lost + after.unanswered + after.late + after.wrong + after.twice;
    }
  }
  std::printf("| threads | 90%% | 110%% | 140%% |\n| --- | --- | --- | --- |\n");
  for (std::size_t k = 0; k <= threads.size(); ++k) {
    const std::string name =
        k == threads.size() ? std::to_string(kProbe) + " processes" : std::to_string(threads[k]);
    std::printf("| %s |", name.c_str());
    for (std::size_t l = 0; l < std::size(kLoads); ++l) {
      std::printf(" %s |", Spread(shares[k * std::size(kLoads) + l], "%.1f").c_str());
    }
    std::printf("\n");
  }
  std::printf("lost, late, wrong, twice or without an answer: %lu\n", static_cast<unsigned long>(broken));
}

// The pool's cores are full, and the pool tells nothing, while requests pile up in the hold; from the notice
// to leave on it finishes all at once. So the node is the bound.
void Drain(int rounds, std::size_t held, const std::vector<std::size_t>& threads) {
  constexpr std::size_t kWindow = 32, kCpus = 4'200, kGenerators = 3;
  const std::size_t connections = (held + kCpus + kWindow - 1) / kWindow;
  nlohmann::json classes = nlohmann::json::array();
  classes.push_back({{"name", "usage-view"},
                     {"goalTimeMs", 60'000},
                     {"hardLimitMs", 60'000},
                     {"repeat", "safe"},
                     {"worth", 1}});
  const nlohmann::json change = {
      {"stop_ms", 10'000},
      {"settings",
       {{"requestClasses", classes}, {"specifics", {{"cpus", kCpus}, {"memoryKb", 100'000'000}}}}}};
  struct Row {
    std::vector<double> ms, served;
  };
  std::vector<Row> rows(threads.size());
  for (int round = 0; round < rounds; ++round) {
    for (std::size_t k = 0; k < threads.size(); ++k) {
      LeanPool pool;
      pool.Wait(true);
      NodeProcess node(Program(threads[k]), threads[k], pool.address(), {}, change);
      std::this_thread::sleep_for(300ms);
      std::vector<std::unique_ptr<Generator>> all;
      for (std::size_t g = 0; g < kGenerators; ++g) {
        all.push_back(
            std::make_unique<Generator>(node.listen(), connections / kGenerators + 1, kWindow, 0, g + 1));
      }
      const auto wanted = static_cast<double>((connections / kGenerators + 1) * kWindow * kGenerators);
      for (auto& g : all) g->NoMore();
      std::this_thread::sleep_for(1s);  // All are read.
      const auto sum = [&] {
        std::uint64_t answers = 0;
        for (const auto& g : all) answers += g->answers();
        return static_cast<double>(answers);
      };
      if (sum() > 0) std::printf("%.0f were answered too soon\n", sum());
      const auto began = Steady::now();
      node.Signal(SIGTERM);
      pool.Wait(false);
      while (sum() < wanted && Steady::now() - began < 11s) std::this_thread::sleep_for(200us);
      rows[k].ms.push_back(Seconds(Steady::now() - began) * 1000);
      std::uint64_t served = 0;
      for (auto& g : all) {
        g->Stop();
        served += g->tally().served;
      }
      rows[k].served.push_back(static_cast<double>(served) / wanted * 100);
    }
  }
  std::printf("| threads | ms to the last answer | %% served |\n| --- | --- | --- |\n");
  for (std::size_t k = 0; k < threads.size(); ++k) {
    std::printf("| %zu | %s | %s |\n", threads[k], Spread(rows[k].ms).c_str(),
                Spread(rows[k].served, "%.1f").c_str());
  }
}

}  // namespace

int main(int argc, char** argv) {
  const auto number = [&](int at, double other) { return argc > at ? std::stod(argv[at]) : other; };
  const auto threads = [&](int from) {
    std::vector<std::size_t> all;
    for (int i = from; i < argc; ++i) all.push_back(std::stoul(argv[i]));
    return all.empty() ? std::vector<std::size_t>{1, 2, 3, 4, 5, 6} : all;
  };
  const std::string what = argc > 1 ? argv[1] : "";
  if (what == "saturation" || what == "split") {
    Saturation(what == "split", static_cast<int>(number(2, 3)), number(3, 3),
               static_cast<std::size_t>(number(4, 3)), static_cast<std::size_t>(number(5, 96)),
               static_cast<std::size_t>(number(6, 1)), threads(7));
  } else if (what == "added") {
    Added(number(2, 10'000), static_cast<int>(number(3, 3)), number(4, 3), threads(5));
  } else if (what == "share") {
    Share(static_cast<int>(number(2, 3)), number(3, 10), threads(4));
  } else if (what == "drain") {
    Drain(static_cast<int>(number(2, 3)), static_cast<std::size_t>(number(3, 10'000)), threads(4));
  } else {
    std::fprintf(stderr, "usage: cores_measure saturation|split|added|share|drain ...\n");
    return 2;
  }
}
