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

constexpr auto kStatusPollInterval = 200ms;
// Time limit for a node to respond to a request of the supervisor.
constexpr auto kStatusTimeout = 2000ms;
// Time limit for a node to respond while the supervisor looks for running nodes at its start.
constexpr auto kDiscoveryTimeout = 1000ms;

state::DirectoryLock AcquireLock(const std::string& folder) {
  auto lock = state::DirectoryLock::TryAcquire(folder + "/lock");
  if (!lock) throw AlreadyRunningError("another supervisor holds the lock of " + folder);
  return std::move(*lock);
}

// Returns the name of an action for SupervisorOptions::before_action; empty for timers, log events and
// replies.
const char* ActionName(const decide::SupervisorAction& action) {
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

// Detects the exit of one node process and requests its status over its control socket without blocking.
struct Supervisor::MonitoredProcess {
  MonitoredProcess(Supervisor& supervisor, std::uint64_t process_generation, Process monitored)
      : owner(supervisor),
        generation(process_generation),
        process(std::move(monitored)),
        response_timeout(supervisor.base_.get(), [this] { OnTimeout(); }) {
    exit_event.reset(event_new(
        owner.base_.get(), process.fd(), EV_READ,
        [](evutil_socket_t, short, void* self) {
          auto* it = static_cast<MonitoredProcess*>(self);
          it->owner.OnProcessExit(it->generation);
        },
        this));
    if (!exit_event) throw std::runtime_error("libevent: no event");
    event_add(exit_event.get(), nullptr);
  }

  // Sends a status request, unless the previous one is still pending.
  void RequestStatus() {
    if (request_pending) return;
    if (!connection && !Connect()) return;
    request_pending = true;
    net::Send(connection.get(), R"({"v":1,"id":1,"op":"status"})"
                                "\n");
    response_timeout.Start(kStatusTimeout);
  }
  bool Connect() {
    const std::string path = owner.NodeSocketPath(generation);
    sockaddr_un address{};
    address.sun_family = AF_UNIX;
    if (path.size() >= sizeof address.sun_path) return false;
    std::memcpy(address.sun_path, path.data(), path.size());
    net::Descriptor fd(socket(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
    // The node does not listen yet or its accept queue is full. The next poll tries again.
    if (connect(fd.get(), reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) return false;
    connection.reset(bufferevent_socket_new(owner.base_.get(), fd.release(), BEV_OPT_CLOSE_ON_FREE));
    if (!connection) return false;
    bufferevent_setcb(
        connection.get(),
        [](bufferevent*, void* self) { static_cast<MonitoredProcess*>(self)->OnReadable(); }, nullptr,
        [](bufferevent*, short, void* self) { static_cast<MonitoredProcess*>(self)->CloseConnection(); },
        this);
    bufferevent_enable(connection.get(), EV_READ | EV_WRITE);
    return true;
  }
  void OnReadable() {
    const std::string_view received = net::ReceivedBytes(connection.get());
    const std::size_t eol = received.find('\n');
    if (eol == std::string_view::npos) {
      if (received.size() > control::kMaxResponseBytes) CloseConnection();
      return;
    }
    const auto response = nlohmann::json::parse(received.substr(0, eol), nullptr, false);
    net::Consume(connection.get(), eol + 1);
    response_timeout.Stop();
    request_pending = false;
    if (!response.is_object() || !response.contains("result") || !response["result"].is_object()) return;
    last_status = response["result"];
    const std::string state = last_status.value("state", "");
    owner.HandleEvent(
        decide::StatusReported{generation, last_status.value("ready", false), state == "draining"});
  }
  void OnTimeout() {
    request_pending = false;
    CloseConnection();
    owner.HandleEvent(decide::StatusTimedOut{generation});
  }
  void CloseConnection() {
    if (!connection) return;
    bufferevent_setcb(connection.get(), nullptr, nullptr, nullptr, nullptr);
    bufferevent_disable(connection.get(), EV_READ | EV_WRITE);
    closed_connection = std::move(connection);
    response_timeout.Stop();
    request_pending = false;
  }
  void Stop() {
    CloseConnection();
    exit_event.reset();
  }

  Supervisor& owner;
  const std::uint64_t generation;
  Process process;
  net::EventPtr exit_event;
  net::BufferPtr connection, closed_connection;
  net::Timer response_timeout;
  bool request_pending = false;
  nlohmann::json last_status;
};

Supervisor::Supervisor(SupervisorOptions options)
    : options_(std::move(options)),
      lock_(AcquireLock(options_.folder)),
      config_(ReadConfig(options_.config)),
      base_(net::MakeBase()),
      state_store_(state::SystemFileSystem(), options_.folder, state::BootId()),
      state_machine_(config_.supervisor, options_.seed),
      timer_(base_.get(), [this] { HandleEvent(decide::TimerExpired{}); }),
      status_poll_timer_(base_.get(), [this] { PollStatus(); }) {
  std::filesystem::create_directories(StatePath("run"));
  std::filesystem::permissions(StatePath("run"), std::filesystem::perms::owner_all);
  // The supervisor survives the closing of the terminal that it was started from.
  std::signal(SIGHUP, SIG_IGN);
  const auto on = [this](int number, event_callback_fn call) {
    signals_.emplace_back(evsignal_new(base_.get(), number, call, this));
    evsignal_add(signals_.back().get(), nullptr);
  };
  // SIGTERM and SIGINT stop the whole appliance like the `down` command, as on a shutdown of the machine.
  const auto down = [](evutil_socket_t, short, void* self) {
    static_cast<Supervisor*>(self)->HandleEvent(decide::StopRequested{});
  };
  on(SIGTERM, down);
  on(SIGINT, down);
  const auto handler = [this](decide::SupervisorEvent event) {
    return [this, event](const nlohmann::json&) { return HandleOperatorRequest(event); };
  };
  server_ = std::make_unique<control::Server>(
      base_.get(), control::Server::Options{.path = StatePath("supervisor.sock")},
      [this] { return Status(); },
      std::map<std::string, control::Server::Handler>{
          {"up", handler(decide::StartRequested{})},
          {"drain", handler(decide::DrainRequested{})},
          {"down", handler(decide::StopRequested{})},
          {"upgrade", handler(decide::UpgradeRequested{})},
          {"reload", [this](const nlohmann::json&) { return Reload(); }},
          {"version", [](const nlohmann::json&) {
             return Json{{"control", control::kVersion}};
           }}});
  RecoverState();
}

Supervisor::~Supervisor() { processes_.clear(); }

decide::SupervisorTime Supervisor::Now() const {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return decide::SupervisorTime(static_cast<double>(now.tv_sec) * 1e3 +
                                static_cast<double>(now.tv_nsec) / 1e6);
}

std::string Supervisor::NodeSocketPath(std::uint64_t generation) const {
  return StatePath("node-" + std::to_string(generation) + ".sock");
}

bool Supervisor::ExitedCleanly(std::uint64_t generation) const {
  return std::filesystem::exists(NodeSocketPath(generation) + ".ended");
}

decide::SupervisorState Supervisor::FindRunningNodes() const {
  decide::SupervisorState durable_state;
  std::vector<decide::Incarnation> found;
  for (const auto& entry : std::filesystem::directory_iterator(options_.folder)) {
    const std::string name = entry.path().filename();
    std::uint64_t generation = 0;
    if (!name.starts_with("node-") || !name.ends_with(".sock")) continue;
    const char* last = name.data() + name.size() - 5;
    const auto [end, fault] = std::from_chars(name.data() + 5, last, generation);
    if (fault != std::errc() || end != last) continue;
    durable_state.last_generation = std::max(durable_state.last_generation, generation);
    try {
      const auto status =
          control::Client(entry.path()).Call("status", nlohmann::json::object(), kDiscoveryTimeout);
      decide::Incarnation incarnation;
      incarnation.generation = generation;
      incarnation.process.pid = status.value("pid", 0);
      incarnation.process.start_ticks = StartTicks(incarnation.process.pid).value_or(0);
      incarnation.ready = status.value("ready", false);
      const std::string state = status.value("state", "");
      incarnation.draining = state == "draining" || state == "handed-over";
      found.push_back(incarnation);
    } catch (const std::exception&) {
      // No response: the process has exited.
    }
  }
  std::sort(found.begin(), found.end(), [](const auto& a, const auto& b) {
    return std::tie(a.draining, b.generation) < std::tie(b.draining, a.generation);
  });
  if (!found.empty()) durable_state.current = found[0];
  if (found.size() > 1) durable_state.predecessor = found[1];
  if (durable_state.current && durable_state.current->draining)
    durable_state.desired = decide::DesiredState::kDrained;
  return durable_state;
}

void Supervisor::RecoverState() {
  state::LoadedSupervisorState loaded = state_store_.Load();
  using Status = state::LoadedSupervisorState::Status;
  if (loaded.status == Status::kCorrupt || loaded.status == Status::kUnsupportedVersion) {
    log::Warn("plan-set-aside", {{"what", loaded.detail}});
  }
  if (loaded.status != Status::kValid) {
    const decide::SupervisorState discovered = FindRunningNodes();
    // The desired state remains valid after a reboot. The running processes are those that answer on their
    // sockets.
    // No generation may be reused, or the socket of an old node would be taken for that of a new one.
    loaded.state.last_generation = std::max(loaded.state.last_generation, discovered.last_generation);
    loaded.state.current = discovered.current;
    loaded.state.predecessor = discovered.predecessor;
    if (loaded.status != Status::kPreviousBoot) loaded.state.desired = discovered.desired;
  }
  decide::SupervisorState& durable_state = loaded.state;
  std::vector<std::uint64_t> exited;
  for (std::optional<decide::Incarnation>* incarnation :
       {&durable_state.current, &durable_state.successor, &durable_state.predecessor}) {
    if (!*incarnation) continue;
    if (auto process = Process::Find((*incarnation)->process)) {
      log::Info("adopted",
                {{"generation", (*incarnation)->generation}, {"pid", (*incarnation)->process.pid}});
      MonitorProcess((*incarnation)->generation, std::move(*process));
    } else {
      exited.push_back((*incarnation)->generation);
    }
  }
  // With kStopped, the supervisor would exit as soon as the previous node has exited, although the operator
  // has requested a start (`up`).
  if (options_.start_requested && durable_state.desired == decide::DesiredState::kStopped)
    durable_state.desired = decide::DesiredState::kDrained;
  event_queue_.push_back(decide::SupervisorStarted{durable_state});
  for (const std::uint64_t generation : exited) {
    log::Info("process-not-found", {{"generation", generation}});
    event_queue_.push_back(decide::ProcessExited{generation, ExitedCleanly(generation)});
  }
  if (options_.start_requested) event_queue_.push_back(decide::StartRequested{});
  ProcessEvents();
  operator_reply_.reset();
}

void Supervisor::Run() {
  status_poll_timer_.Start(0ms);
  while (!exit_requested_) {
    event_base_loop(base_.get(), EVLOOP_ONCE);
    exited_processes_.clear();
    for (const auto& [generation, entry] : processes_) entry->closed_connection.reset();
  }
  // Sends the responses that are still queued.
  event_base_loop(base_.get(), EVLOOP_NONBLOCK);
  server_.reset();
  std::error_code ignored;
  std::filesystem::remove(StatePath("control.sock"), ignored);
  log::Info("supervisor-ends");
}

void Supervisor::HandleEvent(const decide::SupervisorEvent& event) {
  event_queue_.push_back(event);
  ProcessEvents();
}

// Not reentrant: events that arrive while actions are executed are queued until these are done.
void Supervisor::ProcessEvents() {
  if (std::exchange(processing_events_, true)) return;
  while (!event_queue_.empty()) {
    const decide::SupervisorEvent next = event_queue_.front();
    event_queue_.pop_front();
    for (const decide::SupervisorAction& action : state_machine_.OnEvent(Now(), next)) ExecuteAction(action);
  }
  processing_events_ = false;
  // Retries a save that failed, for example because the disk was full.
  if (!state_saved_) SaveState();
}

void Supervisor::ExecuteAction(const decide::SupervisorAction& action) {
  if (const char* name = ActionName(action); options_.before_action && *name != '\0')
    options_.before_action(name, ++action_count_);
  std::visit(
      [this](const auto& a) {
        using A = std::decay_t<decltype(a)>;
        if constexpr (std::is_same_v<A, decide::PersistState>) {
          SaveState();
        } else if constexpr (std::is_same_v<A, decide::SpawnProcess>) {
          StartProcess(a.generation);
        } else if constexpr (std::is_same_v<A, decide::ReleaseProcess>) {
          if (pending_process_ && pending_generation_ == a.generation) pending_process_->Release();
          pending_process_.reset();
        } else if constexpr (std::is_same_v<A, decide::RequestDrain> ||
                             std::is_same_v<A, decide::KillProcess>) {
          const auto entry = processes_.find(a.generation);
          const int number = std::is_same_v<A, decide::KillProcess> ? SIGKILL : SIGTERM;
          if (entry != processes_.end()) entry->second->process.Signal(number);
        } else if constexpr (std::is_same_v<A, decide::RedirectControlSocket>) {
          RedirectControlSocket(a.generation);
        } else if constexpr (std::is_same_v<A, decide::SetTimer>) {
          const double in = std::max(0.0, (a.at - Now()).count());
          timer_.Start(std::chrono::duration_cast<net::Steady::duration>(
              std::chrono::duration<double, std::milli>(in + 1)));
        } else if constexpr (std::is_same_v<A, decide::LogEvent>) {
          last_event_code_ = a.code;
          if (a.restart_in.count() > 0) {
            log::Warn(a.code, {{"generation", a.generation},
                               {"again_in_ms", static_cast<std::int64_t>(a.restart_in.count())}});
          } else {
            log::Info(a.code, {{"generation", a.generation}});
          }
        } else if constexpr (std::is_same_v<A, decide::OperatorReply>) {
          operator_reply_ = a;
        } else if constexpr (std::is_same_v<A, decide::ExitSupervisor>) {
          exit_requested_ = true;
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
    // Each start reads the configuration file again. If the file is invalid, the last valid configuration
    // stays in use.
    try {
      config_ = ReadConfig(options_.config);
    } catch (const std::exception& fault) {
      log::Warn("configuration-rejected", {{"what", fault.what()}});
    }
    if (state_machine_.state().successor && config_.pool.size() < 2) {
      throw std::runtime_error("an upgrade needs a second address in /node/pool");
    }
    WriteNodeConfig(generation);
    const std::string number = std::to_string(generation);
    std::vector<std::string> args = {"serve",
                                     "--config",
                                     StatePath("node-" + number + ".json"),
                                     "--control",
                                     NodeSocketPath(generation),
                                     "--generation",
                                     number,
                                     "--log-file",
                                     StatePath("node-" + std::to_string(generation % 2) + ".log"),
                                     "--log-format",
                                     config_.log_format,
                                     "--log-level",
                                     config_.log_level,
                                     "--log-bytes",
                                     std::to_string(config_.log_bytes),
                                     "--log-keep",
                                     std::to_string(config_.log_keep)};
    // Omitted for one thread, since older versions of the program do not know --threads.
    if (config_.threads > 1) args.insert(args.end(), {"--threads", std::to_string(config_.threads)});
    if (config_.pin) args.push_back("--pin");
    if (config_.peers.is_object())
      args.insert(args.end(), {"--peers", StatePath("peers-" + number + ".json")});
    if (config_.learned) args.insert(args.end(), {"--learned", StatePath("learned")});
    pending_process_ = std::make_unique<PendingProcess>(
        options_.program, std::move(args), std::map<std::string, std::string>{{"TMPDIR", StatePath("run")}},
        StatePath("node.err"));
    pending_generation_ = generation;
    auto process = Process::Find(pending_process_->id());
    if (!process) throw std::runtime_error("the new process exited immediately");
    MonitorProcess(generation, std::move(*process));
    event_queue_.push_back(decide::ProcessStarted{generation, pending_process_->id()});
  } catch (const std::exception& fault) {
    log::Warn("start-failed", {{"generation", generation}, {"what", fault.what()}});
    // A pending process exits when it is destroyed before its release. It is monitored until it has exited.
    pending_process_.reset();
    event_queue_.push_back(decide::ProcessStartFailed{generation});
  }
}

void Supervisor::MonitorProcess(std::uint64_t generation, Process process) {
  processes_[generation] = std::make_unique<MonitoredProcess>(*this, generation, std::move(process));
}

void Supervisor::OnProcessExit(std::uint64_t generation) {
  auto entry = processes_.extract(generation);
  if (entry.empty()) return;
  int status = 0;
  const auto pid = static_cast<pid_t>(entry.mapped()->process.id().pid);
  entry.mapped()->Stop();
  exited_processes_.push_back(std::move(entry.mapped()));
  // The exit status of a process that an earlier supervisor started is not available. Its .ended file shows
  // whether it exited cleanly.
  const bool is_child = waitpid(pid, &status, WNOHANG) == pid;
  const bool exited_cleanly =
      is_child ? WIFEXITED(status) && WEXITSTATUS(status) == 0 : ExitedCleanly(generation);
  log::Info("node-ended", {{"generation", generation}, {"clean", exited_cleanly}, {"ours", is_child}});
  std::error_code ignored;
  std::filesystem::remove(NodeSocketPath(generation), ignored);
  std::filesystem::remove(NodeSocketPath(generation) + ".ended", ignored);
  std::filesystem::remove(StatePath("node-" + std::to_string(generation) + ".json"), ignored);
  std::filesystem::remove(StatePath("peers-" + std::to_string(generation) + ".json"), ignored);
  HandleEvent(decide::ProcessExited{generation, exited_cleanly});
}

// If the disk is full or faulty, the node continues to serve and the save is retried. If the supervisor dies
// before a save succeeds, the next one finds the running nodes by their control sockets.
void Supervisor::SaveState() {
  try {
    state_store_.Save(state_machine_.state());
    if (!std::exchange(state_saved_, true)) log::Info("plan-saved-again");
  } catch (const state::FileError& fault) {
    if (std::exchange(state_saved_, false)) log::Warn("plan-not-saved", {{"what", fault.what()}});
  }
}

void Supervisor::RedirectControlSocket(std::uint64_t generation) {
  const std::string temporary = StatePath("control.sock.new");
  unlink(temporary.c_str());
  // The link is relative, so that it works for any path that leads to the state directory.
  const std::string target = "node-" + std::to_string(generation) + ".sock";
  if (symlink(target.c_str(), temporary.c_str()) != 0 ||
      std::rename(temporary.c_str(), StatePath("control.sock").c_str()) != 0) {
    log::Warn("control-socket-redirect-failed", {{"what", std::strerror(errno)}});
  }
}

void Supervisor::PollStatus() {
  status_poll_timer_.Start(kStatusPollInterval);
  for (const auto& [generation, entry] : processes_) entry->RequestStatus();
  if (!state_saved_) SaveState();
}

Json Supervisor::HandleOperatorRequest(const decide::SupervisorEvent& event) {
  operator_reply_.reset();
  HandleEvent(event);
  const decide::OperatorReply reply = operator_reply_.value_or(decide::OperatorReply{false, "ends"});
  if (!reply.ok)
    throw control::RequestError(reply.code,
                                std::string("the supervisor rejected the request: ") + reply.code);
  return {{"already", std::strcmp(reply.code, "already") == 0},
          {"generation", state_machine_.state().last_generation},
          {"phase", decide::SupervisorPhaseName(state_machine_.phase())}};
}

Json Supervisor::Reload() {
  const decide::SupervisorState& durable_state = state_machine_.state();
  if (!durable_state.current)
    throw control::RequestError("not-serving",
                                "no node is serving; the next start reads the configuration file");
  try {
    Config new_config = ReadConfig(options_.config);
    std::swap(config_, new_config);
    try {
      WriteNodeConfig(durable_state.current->generation);
    } catch (...) {
      std::swap(config_, new_config);
      throw;
    }
  } catch (const std::exception& fault) {
    throw control::RequestError("reload-failed", fault.what());
  }
  // The node validates the new file and reports whether it applied it.
  try {
    return control::Client(NodeSocketPath(durable_state.current->generation))
        .Call("reload", nlohmann::json::object(), kStatusTimeout);
  } catch (const control::UnreachableError& fault) {
    throw control::RequestError("node-unreachable", fault.what());
  }
}

Json Supervisor::Status() const {
  const decide::SupervisorState& durable_state = state_machine_.state();
  const auto incarnation_json = [this](const std::optional<decide::Incarnation>& incarnation) -> Json {
    if (!incarnation) return nullptr;
    Json json = {{"generation", incarnation->generation},
                 {"pid", incarnation->process.pid},
                 {"ready", incarnation->ready},
                 {"leaving", incarnation->draining}};
    const auto entry = processes_.find(incarnation->generation);
    if (entry != processes_.end() && entry->second->last_status.is_object()) {
      json["state"] = entry->second->last_status.value("state", "");
      json["totals"] = entry->second->last_status.value("totals", nlohmann::json::object());
    }
    return json;
  };
  Json json = {{"schema", 1},
               {"pid", getpid()},
               {"phase", decide::SupervisorPhaseName(state_machine_.phase())},
               {"last_report", last_event_code_},
               {"last_generation", durable_state.last_generation},
               {"crashes_in_row", durable_state.consecutive_crashes},
               {"plan_saved", state_saved_},
               {"current", incarnation_json(durable_state.current)},
               {"successor", incarnation_json(durable_state.successor)},
               {"predecessor", incarnation_json(durable_state.predecessor)}};
  if (state_machine_.restart_at())
    json["start_in_ms"] = std::max(0.0, (*state_machine_.restart_at() - Now()).count());
  return json;
}

}  // namespace hingelink::appliance
