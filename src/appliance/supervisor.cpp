#include "appliance/supervisor.h"

#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/un.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <charconv>
#include <csignal>
#include <cstdio>
#include <cstring>
#include <filesystem>
#include <type_traits>
#include <utility>
#include <variant>

#include "control/client.h"
#include "log/log.h"

namespace hingelink::appliance {
namespace {

using namespace std::chrono_literals;
using control::Json;

constexpr auto kLookEach = 200ms;
// For a node to answer one look.
constexpr auto kLookWithin = 2000ms;
constexpr auto kSearchWithin = 1000ms;

state::DirectoryLock TakeLock(const std::string& folder) {
  auto lock = state::DirectoryLock::TryAcquire(folder + "/lock");
  if (!lock) throw AlreadyRunningError("another supervisor holds " + folder);
  return std::move(*lock);
}

const char* NameOf(const decide::SupervisorAction& action) {
  return std::visit(
      [](const auto& a) {
        using A = std::decay_t<decltype(a)>;
        if constexpr (std::is_same_v<A, decide::PersistState>) return "save";
        if constexpr (std::is_same_v<A, decide::SpawnProcess>) return "start";
        if constexpr (std::is_same_v<A, decide::ReleaseProcess>) return "release";
        if constexpr (std::is_same_v<A, decide::RequestDrain>) return "tell-leave";
        if constexpr (std::is_same_v<A, decide::KillProcess>) return "kill";
        if constexpr (std::is_same_v<A, decide::RedirectControlSocket>) return "point";
        if constexpr (std::is_same_v<A, decide::ExitSupervisor>) return "exit";
        return "";
      },
      action);
}

}  // namespace

// A process of the node: watched for its end, and asked how it is without ever waiting for it.
struct Supervisor::Held {
  Held(Supervisor& supervisor, std::uint64_t its_generation, Process its_process)
      : owner(supervisor),
        generation(its_generation),
        process(std::move(its_process)),
        overdue(supervisor.base_.get(), [this] { Unanswered(); }) {
    end.reset(event_new(
        owner.base_.get(), process.fd(), EV_READ,
        [](evutil_socket_t, short, void* self) {
          auto* it = static_cast<Held*>(self);
          it->owner.Ended(it->generation);
        },
        this));
    if (!end) throw std::runtime_error("libevent: no event");
    event_add(end.get(), nullptr);
  }

  // Asks, unless the last question is still open.
  void Ask() {
    if (asked) return;
    if (!link && !Connect()) return;
    asked = true;
    net::Send(link.get(), R"({"v":1,"id":1,"op":"status"})"
                          "\n");
    overdue.Start(kLookWithin);
  }
  bool Connect() {
    const std::string path = owner.SocketOf(generation);
    sockaddr_un address{};
    address.sun_family = AF_UNIX;
    if (path.size() >= sizeof address.sun_path) return false;
    std::memcpy(address.sun_path, path.data(), path.size());
    net::Descriptor fd(socket(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
    // It is not there yet, or its queue is full: asked again at the next look.
    if (connect(fd.get(), reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) return false;
    link.reset(bufferevent_socket_new(owner.base_.get(), fd.release(), BEV_OPT_CLOSE_ON_FREE));
    if (!link) return false;
    bufferevent_setcb(
        link.get(), [](bufferevent*, void* self) { static_cast<Held*>(self)->Read(); }, nullptr,
        [](bufferevent*, short, void* self) { static_cast<Held*>(self)->Lose(); }, this);
    bufferevent_enable(link.get(), EV_READ | EV_WRITE);
    return true;
  }
  void Read() {
    const std::string_view all = net::ReceivedBytes(link.get());
    const std::size_t eol = all.find('\n');
    if (eol == std::string_view::npos) {
      if (all.size() > control::kMaxResponseBytes) Lose();
      return;
    }
    const auto response = nlohmann::json::parse(all.substr(0, eol), nullptr, false);
    net::Consume(link.get(), eol + 1);
    overdue.Stop();
    asked = false;
    if (!response.is_object() || !response.contains("result") || !response["result"].is_object()) return;
    seen = response["result"];
    const std::string state = seen.value("state", "");
    owner.Take(decide::StatusReported{generation, seen.value("ready", false), state == "draining"});
  }
  void Unanswered() {
    asked = false;
    Lose();
    owner.Take(decide::StatusTimedOut{generation});
  }
  void Lose() {
    if (!link) return;
    bufferevent_setcb(link.get(), nullptr, nullptr, nullptr, nullptr);
    bufferevent_disable(link.get(), EV_READ | EV_WRITE);
    lost = std::move(link);
    overdue.Stop();
    asked = false;
  }
  void Stop() {
    Lose();
    end.reset();
  }

  Supervisor& owner;
  const std::uint64_t generation;
  Process process;
  net::EventPtr end;
  net::BufferPtr link, lost;
  net::Timer overdue;
  bool asked = false;
  nlohmann::json seen;
};

Supervisor::Supervisor(SupervisorOptions options)
    : options_(std::move(options)),
      lock_(TakeLock(options_.folder)),
      config_(ReadConfig(options_.config)),
      base_(net::MakeBase()),
      store_(state::SystemFileSystem(), options_.folder, state::BootId()),
      decide_(config_.supervisor, options_.seed),
      tick_(base_.get(), [this] { Take(decide::TimerExpired{}); }),
      look_(base_.get(), [this] { Look(); }) {
  std::filesystem::create_directories(Path("run"));
  std::filesystem::permissions(Path("run"), std::filesystem::perms::owner_all);
  // A terminal that closes is nothing to a supervisor, wherever it was started.
  std::signal(SIGHUP, SIG_IGN);
  const auto on = [this](int number, event_callback_fn call) {
    signals_.emplace_back(evsignal_new(base_.get(), number, call, this));
    evsignal_add(signals_.back().get(), nullptr);
  };
  // Who ends the supervisor by SIGTERM wants the appliance down, as `down` does: a machine that goes off.
  const auto down = [](evutil_socket_t, short, void* self) {
    static_cast<Supervisor*>(self)->Take(decide::StopRequested{});
  };
  on(SIGTERM, down);
  on(SIGINT, down);
  const auto handler = [this](decide::SupervisorEvent event) {
    return [this, event](const nlohmann::json&) { return Ask(event); };
  };
  server_ = std::make_unique<control::Server>(
      base_.get(), control::Server::Options{.path = Path("supervisor.sock")}, [this] { return Status(); },
      std::map<std::string, control::Server::Handler>{
          {"up", handler(decide::StartRequested{})},
          {"drain", handler(decide::DrainRequested{})},
          {"down", handler(decide::StopRequested{})},
          {"upgrade", handler(decide::UpgradeRequested{})},
          {"reload", [this](const nlohmann::json&) { return Reload(); }},
          {"version", [](const nlohmann::json&) {
             return Json{{"control", control::kVersion}};
           }}});
  Adopt();
}

Supervisor::~Supervisor() { held_.clear(); }

decide::SupervisorTime Supervisor::Now() const {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return decide::SupervisorTime(static_cast<double>(now.tv_sec) * 1e3 +
                                static_cast<double>(now.tv_nsec) / 1e6);
}

std::string Supervisor::SocketOf(std::uint64_t generation) const {
  return Path("node-" + std::to_string(generation) + ".sock");
}

bool Supervisor::EndedWell(std::uint64_t generation) const {
  return std::filesystem::exists(SocketOf(generation) + ".ended");
}

decide::SupervisorState Supervisor::Search() const {
  decide::SupervisorState plan;
  std::vector<decide::Incarnation> found;
  for (const auto& entry : std::filesystem::directory_iterator(options_.folder)) {
    const std::string name = entry.path().filename();
    std::uint64_t generation = 0;
    if (!name.starts_with("node-") || !name.ends_with(".sock")) continue;
    const char* last = name.data() + name.size() - 5;
    const auto [end, fault] = std::from_chars(name.data() + 5, last, generation);
    if (fault != std::errc() || end != last) continue;
    plan.last_generation = std::max(plan.last_generation, generation);
    try {
      const auto seen = control::Client(entry.path()).Call("status", nlohmann::json::object(), kSearchWithin);
      decide::Incarnation life;
      life.generation = generation;
      life.process.pid = seen.value("pid", 0);
      life.process.start_ticks = StartTicks(life.process.pid).value_or(0);
      life.ready = seen.value("ready", false);
      const std::string state = seen.value("state", "");
      life.draining = state == "draining" || state == "handed-over";
      found.push_back(life);
    } catch (const std::exception&) {
      // Nobody answers: its process has ended.
    }
  }
  std::sort(found.begin(), found.end(), [](const auto& a, const auto& b) {
    return std::tie(a.draining, b.generation) < std::tie(b.draining, a.generation);
  });
  if (!found.empty()) plan.current = found[0];
  if (found.size() > 1) plan.predecessor = found[1];
  if (plan.current && plan.current->draining) plan.desired = decide::DesiredState::kDrained;
  return plan;
}

void Supervisor::Adopt() {
  state::LoadedSupervisorState found = store_.Load();
  using Status = state::LoadedSupervisorState::Status;
  if (found.status == Status::kCorrupt || found.status == Status::kUnsupportedVersion) {
    log::Warn("plan-set-aside", {{"what", found.detail}});
  }
  if (found.status != Status::kValid) {
    const decide::SupervisorState searched = Search();
    // What was wanted holds across a boot; who serves is what the sockets tell.
    found.state.last_generation = std::max(found.state.last_generation, searched.last_generation);
    found.state.current = searched.current;
    found.state.predecessor = searched.predecessor;
    if (found.status != Status::kPreviousBoot) found.state.desired = searched.desired;
  }
  // No node of an earlier life may be given a number twice: its socket would be taken for the new one's.
  decide::SupervisorState& plan = found.state;
  std::vector<std::uint64_t> gone;
  for (std::optional<decide::Incarnation>* life : {&plan.current, &plan.successor, &plan.predecessor}) {
    if (!*life) continue;
    if (auto process = Process::Find((*life)->process)) {
      log::Info("adopted", {{"generation", (*life)->generation}, {"pid", (*life)->process.pid}});
      HoldProcess((*life)->generation, std::move(*process));
    } else {
      gone.push_back((*life)->generation);
    }
  }
  // Who asks for the node to be up does not mean a supervisor that ends with the node before.
  if (options_.start_requested && plan.desired == decide::DesiredState::kStopped)
    plan.desired = decide::DesiredState::kDrained;
  events_.push_back(decide::SupervisorStarted{plan});
  for (const std::uint64_t generation : gone) {
    log::Info("found-ended", {{"generation", generation}});
    events_.push_back(decide::ProcessExited{generation, EndedWell(generation)});
  }
  if (options_.start_requested) events_.push_back(decide::StartRequested{});
  Work();
  answer_.reset();
}

void Supervisor::Run() {
  look_.Start(0ms);
  while (!exit_) {
    event_base_loop(base_.get(), EVLOOP_ONCE);
    ended_.clear();
    for (const auto& [generation, held] : held_) held->lost.reset();
  }
  // The last answers go out.
  event_base_loop(base_.get(), EVLOOP_NONBLOCK);
  server_.reset();
  std::error_code ignored;
  std::filesystem::remove(Path("control.sock"), ignored);
  log::Info("supervisor-ends");
}

void Supervisor::Take(const decide::SupervisorEvent& event) {
  events_.push_back(event);
  Work();
}

// Events that come while one is carried out wait for their turn.
void Supervisor::Work() {
  if (std::exchange(taking_, true)) return;
  while (!events_.empty()) {
    const decide::SupervisorEvent next = events_.front();
    events_.pop_front();
    for (const decide::SupervisorAction& action : decide_.OnEvent(Now(), next)) Carry(action);
  }
  taking_ = false;
  // A full disk has room again.
  if (!saved_) Save();
}

void Supervisor::Carry(const decide::SupervisorAction& action) {
  if (const char* name = NameOf(action); options_.before_action && *name != '\0')
    options_.before_action(name, ++actions_);
  std::visit(
      [this](const auto& a) {
        using A = std::decay_t<decltype(a)>;
        if constexpr (std::is_same_v<A, decide::PersistState>) {
          Save();
        } else if constexpr (std::is_same_v<A, decide::SpawnProcess>) {
          StartProcess(a.generation);
        } else if constexpr (std::is_same_v<A, decide::ReleaseProcess>) {
          if (waiting_ && waiting_generation_ == a.generation) waiting_->Release();
          waiting_.reset();
        } else if constexpr (std::is_same_v<A, decide::RequestDrain> ||
                             std::is_same_v<A, decide::KillProcess>) {
          const auto held = held_.find(a.generation);
          const int number = std::is_same_v<A, decide::KillProcess> ? SIGKILL : SIGTERM;
          if (held != held_.end()) held->second->process.Signal(number);
        } else if constexpr (std::is_same_v<A, decide::RedirectControlSocket>) {
          Point(a.generation);
        } else if constexpr (std::is_same_v<A, decide::SetTimer>) {
          const double in = std::max(0.0, (a.at - Now()).count());
          tick_.Start(std::chrono::duration_cast<net::Steady::duration>(
              std::chrono::duration<double, std::milli>(in + 1)));
        } else if constexpr (std::is_same_v<A, decide::LogEvent>) {
          last_report_ = a.code;
          if (a.restart_in.count() > 0) {
            log::Warn(a.code, {{"generation", a.generation},
                               {"again_in_ms", static_cast<std::int64_t>(a.restart_in.count())}});
          } else {
            log::Info(a.code, {{"generation", a.generation}});
          }
        } else if constexpr (std::is_same_v<A, decide::OperatorReply>) {
          answer_ = a;
        } else if constexpr (std::is_same_v<A, decide::ExitSupervisor>) {
          exit_ = true;
        }
      },
      action);
}

void Supervisor::WriteNodeConfig(std::uint64_t generation) {
  std::uint64_t seed = options_.seed + generation * 0x9e3779b97f4a7c15u;
  state::WriteFileAtomically(state::SystemFileSystem(), options_.folder,
                             "node-" + std::to_string(generation) + ".json",
                             config_.NodeJson(generation, seed));
  if (config_.peers.is_object()) {
    state::WriteFileAtomically(state::SystemFileSystem(), options_.folder,
                               "peers-" + std::to_string(generation) + ".json", config_.peers.dump(2) + '\n');
  }
}

void Supervisor::StartProcess(std::uint64_t generation) {
  try {
    // A start takes the file as it stands; one that cannot be used leaves the last good one in force.
    try {
      config_ = ReadConfig(options_.config);
    } catch (const std::exception& fault) {
      log::Warn("configuration-not-taken", {{"what", fault.what()}});
    }
    if (decide_.state().successor && config_.pool.size() < 2) {
      throw std::runtime_error("an upgrade needs a second address in /node/pool");
    }
    WriteNodeConfig(generation);
    const std::string number = std::to_string(generation);
    std::vector<std::string> args = {"serve",
                                     "--config",
                                     Path("node-" + number + ".json"),
                                     "--control",
                                     SocketOf(generation),
                                     "--generation",
                                     number,
                                     "--log-file",
                                     Path("node-" + std::to_string(generation % 2) + ".log"),
                                     "--log-format",
                                     config_.log_format,
                                     "--log-level",
                                     config_.log_level,
                                     "--log-bytes",
                                     std::to_string(config_.log_bytes),
                                     "--log-keep",
                                     std::to_string(config_.log_keep)};
    // A program from before there were threads is started as it always was.
    if (config_.threads > 1) args.insert(args.end(), {"--threads", std::to_string(config_.threads)});
    if (config_.pin) args.push_back("--pin");
    if (config_.peers.is_object()) args.insert(args.end(), {"--peers", Path("peers-" + number + ".json")});
    if (config_.learned) args.insert(args.end(), {"--learned", Path("learned")});
    waiting_ = std::make_unique<PendingProcess>(options_.program, std::move(args),
                                                std::map<std::string, std::string>{{"TMPDIR", Path("run")}},
                                                Path("node.err"));
    waiting_generation_ = generation;
    auto process = Process::Find(waiting_->id());
    if (!process) throw std::runtime_error("the new process ended at once");
    HoldProcess(generation, std::move(*process));
    events_.push_back(decide::ProcessStarted{generation, waiting_->id()});
  } catch (const std::exception& fault) {
    log::Warn("start-failed", {{"generation", generation}, {"what", fault.what()}});
    // The process that waited, if there is one, ends by that; it is held until it has.
    waiting_.reset();
    events_.push_back(decide::ProcessStartFailed{generation});
  }
}

void Supervisor::HoldProcess(std::uint64_t generation, Process process) {
  held_[generation] = std::make_unique<Held>(*this, generation, std::move(process));
}

void Supervisor::Ended(std::uint64_t generation) {
  auto held = held_.extract(generation);
  if (held.empty()) return;
  int status = 0;
  const auto pid = static_cast<pid_t>(held.mapped()->process.id().pid);
  held.mapped()->Stop();
  ended_.push_back(std::move(held.mapped()));
  // Of one that an earlier supervisor started nobody here is told how it ended: the file tells that it
  // leaves.
  const bool ours = waitpid(pid, &status, WNOHANG) == pid;
  const bool clean = ours ? WIFEXITED(status) && WEXITSTATUS(status) == 0 : EndedWell(generation);
  log::Info("node-ended", {{"generation", generation}, {"clean", clean}, {"ours", ours}});
  std::error_code ignored;
  std::filesystem::remove(SocketOf(generation), ignored);
  std::filesystem::remove(SocketOf(generation) + ".ended", ignored);
  std::filesystem::remove(Path("node-" + std::to_string(generation) + ".json"), ignored);
  std::filesystem::remove(Path("peers-" + std::to_string(generation) + ".json"), ignored);
  Take(decide::ProcessExited{generation, clean});
}

// A disk that is full or broken does not stop the node from serving. Should the supervisor die meanwhile, the
// next one asks at the sockets what there is.
void Supervisor::Save() {
  try {
    store_.Save(decide_.state());
    if (!std::exchange(saved_, true)) log::Info("plan-saved-again");
  } catch (const state::FileError& fault) {
    if (std::exchange(saved_, false)) log::Warn("plan-not-saved", {{"what", fault.what()}});
  }
}

void Supervisor::Point(std::uint64_t generation) {
  const std::string fresh = Path("control.sock.new");
  unlink(fresh.c_str());
  // A relative name: the folder may be reached by another path.
  const std::string target = "node-" + std::to_string(generation) + ".sock";
  if (symlink(target.c_str(), fresh.c_str()) != 0 ||
      std::rename(fresh.c_str(), Path("control.sock").c_str()) != 0) {
    log::Warn("point-failed", {{"what", std::strerror(errno)}});
  }
}

void Supervisor::Look() {
  look_.Start(kLookEach);
  for (const auto& [generation, held] : held_) held->Ask();
  if (!saved_) Save();
}

Json Supervisor::Ask(const decide::SupervisorEvent& event) {
  answer_.reset();
  Take(event);
  const decide::OperatorReply answer = answer_.value_or(decide::OperatorReply{false, "ends"});
  if (!answer.ok)
    throw control::RequestError(answer.code, std::string("the supervisor says no: ") + answer.code);
  return {{"already", std::strcmp(answer.code, "already") == 0},
          {"generation", decide_.state().last_generation},
          {"phase", decide::SupervisorPhaseName(decide_.phase())}};
}

Json Supervisor::Reload() {
  const decide::SupervisorState& plan = decide_.state();
  if (!plan.current)
    throw control::RequestError("not-serving", "no node serves; the next start reads the file");
  try {
    Config fresh = ReadConfig(options_.config);
    std::swap(config_, fresh);
    try {
      WriteNodeConfig(plan.current->generation);
    } catch (...) {
      std::swap(config_, fresh);
      throw;
    }
  } catch (const std::exception& fault) {
    throw control::RequestError("reload-failed", fault.what());
  }
  // The node says itself whether it takes the file.
  try {
    return control::Client(SocketOf(plan.current->generation))
        .Call("reload", nlohmann::json::object(), kLookWithin);
  } catch (const control::UnreachableError& fault) {
    throw control::RequestError("node-unreachable", fault.what());
  }
}

Json Supervisor::Status() const {
  const decide::SupervisorState& plan = decide_.state();
  const auto life = [this](const std::optional<decide::Incarnation>& l) -> Json {
    if (!l) return nullptr;
    Json json = {{"generation", l->generation},
                 {"pid", l->process.pid},
                 {"ready", l->ready},
                 {"leaving", l->draining}};
    const auto held = held_.find(l->generation);
    if (held != held_.end() && held->second->seen.is_object()) {
      json["state"] = held->second->seen.value("state", "");
      json["totals"] = held->second->seen.value("totals", nlohmann::json::object());
    }
    return json;
  };
  Json json = {{"schema", 1},
               {"pid", getpid()},
               {"phase", decide::SupervisorPhaseName(decide_.phase())},
               {"last_report", last_report_},
               {"last_generation", plan.last_generation},
               {"crashes_in_row", plan.consecutive_crashes},
               {"plan_saved", saved_},
               {"current", life(plan.current)},
               {"successor", life(plan.successor)},
               {"predecessor", life(plan.predecessor)}};
  if (decide_.restart_at()) json["start_in_ms"] = std::max(0.0, (*decide_.restart_at() - Now()).count());
  return json;
}

}  // namespace hingelink::appliance
