#include "net/loop.h"

#include <execinfo.h>
#include <pthread.h>
#include <time.h>

#include <algorithm>
#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <memory>
#include <string>
#include <utility>

namespace hingelink::net {
namespace {

using namespace std::chrono_literals;

// Capacity of the queues to and from the node's main thread. With bodies of 2 KiB a queue takes at most 16
// MiB per loop. While the message queue is full, the loop reads no frames from its sockets.
constexpr std::size_t kMessageQueueCapacity = 4096, kCommandQueueCapacity = 8192;
// Interval of the heartbeats. It is shorter than the interval at which LoopGroup observes them.
constexpr auto kHeartbeatInterval = 100ms;
constexpr auto kReportInterval = 500ms;
// Maximum number of connections in each of the two lists of a report: the connections with the most work, and
// the snapshots of connections.
constexpr std::size_t kMaxReportedConnections = 64;
// Interval at which a draining loop checks whether all answers have been written to the sockets.
constexpr auto kUnsentCheckInterval = 5ms;
// Commands executed before the sockets are served again.
constexpr std::size_t kMaxCommandsPerRound = 1024;

// The signal that makes a loop's thread capture its stack. Its default action is to be ignored, so that a
// stray signal is harmless.
constexpr int kStackTraceSignal = SIGURG;

// Where the signal handler stores the frames of the interrupted thread. Null on threads that run no loop.
thread_local std::array<void*, 32>* stack_frames = nullptr;
thread_local std::atomic<int>* stack_count = nullptr;

void CaptureStack(int) {
  const int saved = errno;
  if (stack_frames != nullptr) {
    stack_count->store(backtrace(stack_frames->data(), static_cast<int>(stack_frames->size())),
                       std::memory_order_release);
  }
  errno = saved;
}

std::uint64_t ThreadCpuNs() {
  timespec spent{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &spent);
  return static_cast<std::uint64_t>(spent.tv_sec) * 1'000'000'000u +
         static_cast<std::uint64_t>(spent.tv_nsec);
}

}  // namespace

Loop::Loop(std::size_t index, Waker& node_waker, ClassTablePtr classes)
    : index_(index),
      base_(MakeBase()),
      commands_(kCommandQueueCapacity, waker_, node_waker),
      messages_(kMessageQueueCapacity, node_waker, waker_),
      classes_(std::move(classes)),
      connections_(
          base_.get(),
          {.request =
               [this](const core::IncomingRequest& request) {
                 RequestReceived received{request, std::string(request.class_name),
                                          std::string(request.tenant), std::string(request.body)};
                 messages_.Send(std::move(received));
               },
           .disconnected = [this](core::StreamAddress from) { messages_.Send(CallerDisconnected{from}); },
           .deep_check = [this](core::StreamAddress from) { messages_.Send(DeepCheckReceived{from}); },
           .class_counts =
               [this](std::string_view class_name) {
                 const auto known = classes_->find(std::string(class_name));
                 return known == classes_->end() ? nullptr : known->second;
               },
           .closed = [this](std::uint64_t id) { messages_.Send(ConnectionClosed{id}); },
           .may_read_frame = [this] { return !messages_.has_overflow() && !reading_stopped_; },
           .before_read =
               [this](std::uint64_t id) { last_read_connection_.store(id, std::memory_order_relaxed); }}),
      wakeup_event_(event_new(
          base_.get(), waker_.fd(), EV_READ | EV_PERSIST,
          [](evutil_socket_t, short, void* self) { static_cast<Loop*>(self)->ProcessCommands(); }, this)),
      heartbeat_timer_(base_.get(),
                       [this] {
                         heartbeats_.store(heartbeats() + 1, std::memory_order_relaxed);
                         heartbeat_timer_.Start(kHeartbeatInterval);
                       }),
      report_timer_(base_.get(), [this] { SendReport(); }),
      unsent_check_timer_(base_.get(), [] {}) {
  if (!wakeup_event_) throw std::runtime_error("libevent cannot create the wakeup event of a loop");
  event_add(wakeup_event_.get(), nullptr);
  heartbeat_timer_.Start(kHeartbeatInterval);
  report_timer_.Start(kReportInterval);
  struct sigaction action {};
  action.sa_handler = CaptureStack;
  action.sa_flags = SA_RESTART;
  sigaction(kStackTraceSignal, &action, nullptr);
  // The new thread blocks all signals except the stack trace signal. The node's main thread handles the
  // others.
  sigset_t all, before;
  sigfillset(&all);
  sigdelset(&all, kStackTraceSignal);
  pthread_sigmask(SIG_SETMASK, &all, &before);
  thread_ = std::thread([this] { Run(); });
  pthread_sigmask(SIG_SETMASK, &before, nullptr);
}

void Loop::RequestShutdown(Steady::time_point deadline) {
  if (std::exchange(shutdown_requested_, true)) return;
  shutdown_deadline_ = deadline;
  commands_.Send(SimpleCommand::kShutdown);
  commands_.Flush();
}

Loop::~Loop() {
  RequestShutdown({});
  // If the command queue is full, kShutdown waits in the overflow until the loop has executed earlier
  // commands.
  while (commands_.has_overflow()) {
    std::this_thread::sleep_for(1ms);
    commands_.Flush();
  }
  thread_.join();
}

bool Loop::PinToCpus(const std::vector<unsigned>& cpus) {
  return PinThreadToCpus(thread_.native_handle(), cpus);
}

void Loop::RequestStackTrace() { pthread_kill(thread_.native_handle(), kStackTraceSignal); }

std::string Loop::TakeStackTrace() {
  const int count = frame_count_.exchange(0, std::memory_order_acquire);
  if (count == 0) return {};
  const std::unique_ptr<char*, decltype(&std::free)> names(backtrace_symbols(frames_.data(), count),
                                                           &std::free);
  std::string text;
  // The first two frames are the signal handler and the kernel's signal trampoline.
  for (int i = 2; names && i < count; ++i) {
    const std::string_view name = names.get()[i];
    if (!text.empty()) text += " < ";
    text += name.substr(name.rfind('/') + 1);
  }
  return text;
}

void Loop::Run() {
  const std::string name = "loop-" + std::to_string(index_ + 1);
  pthread_setname_np(pthread_self(), name.c_str());
  stack_frames = &frames_;
  stack_count = &frame_count_;
  // The first call of backtrace() loads a library, which is not safe in a signal handler.
  void* unused[1];
  backtrace(unused, 1);
  last_cpu_ns_ = ThreadCpuNs();
  while (!stopped_) {
    event_base_loop(base_.get(), EVLOOP_ONCE);
    connections_.Sweep();
    if (draining_) UpdateFlushedCommandCount();
    messages_.Flush();
  }
  connections_.Shutdown(shutdown_deadline_);
  // libevent closes the socket of a freed bufferevent in the next iteration of its loop.
  event_base_loop(base_.get(), EVLOOP_NONBLOCK);
  messages_.Flush();
}

void Loop::ProcessCommands() {
  waker_.Clear();
  std::size_t done = 0;
  for (LoopCommand command; done < kMaxCommandsPerRound && commands_.TryReceive(command); ++done)
    Execute(command);
  executed_command_count_ += done;
  commands_.NotifyWriter();
  if (messages_.has_overflow()) messages_.Flush();
  if (!messages_.has_overflow()) connections_.ResumeReading();
  waker_.BeginWait();
  if (commands_.empty()) return;
  waker_.CancelWait();
  event_active(wakeup_event_.get(), EV_READ, 0);
}

void Loop::Execute(LoopCommand& command) {
  if (auto* answer = std::get_if<SendAnswer>(&command); answer != nullptr && answer->is_healthy) {
    connections_.AnswerHealthCheck(answer->to, *answer->is_healthy);
  } else if (answer != nullptr) {
    core::FinalAnswer final;
    final.verdict = answer->verdict;
    final.retry_after = answer->retry_after;
    final.no_other_server = answer->no_other_server;
    final.result = answer->result;
    connections_.Deliver(answer->to, final);
  } else if (auto* add = std::get_if<AddConnection>(&command)) {
    connections_.Add(add->id, add->socket.release(), add->accepted);
  } else if (auto* adopt = std::get_if<AdoptConnection>(&command)) {
    connections_.Adopt(std::move(*adopt->state));
  } else if (const auto* release = std::get_if<ReleaseConnection>(&command)) {
    ConnectionReleased released{release->id, nullptr};
    if (auto state = connections_.Release(release->id)) {
      released.state = std::make_unique<ConnectionSet::TransferState>(std::move(*state));
    }
    messages_.Send(std::move(released));
  } else if (const auto* health = std::get_if<SetHealthAndLoad>(&command)) {
    connections_.SetHealth(health->healthy, health->shallow);
    connections_.SetLoadSignal(health->signal);
  } else if (auto* classes = std::get_if<SetClasses>(&command)) {
    classes_ = std::move(classes->classes);
  } else if (const auto* idle = std::get_if<CloseIdleConnections>(&command)) {
    connections_.CloseIdle(idle->after);
  } else if (const auto* delay = std::get_if<LimitAnswerDelay>(&command)) {
    connections_.SetAnswerDelayLimit(delay->limit);
  } else if (const auto* buffers = std::get_if<LimitBuffers>(&command)) {
    connections_.SetBufferLimit(buffers->bytes);
  } else {
    switch (std::get<SimpleCommand>(command)) {
      case SimpleCommand::kStopNewRequests:
        draining_ = true;
        connections_.StopNewRequests();
        break;
      case SimpleCommand::kCancelDrain:
        draining_ = false;
        connections_.CancelDrain();
        break;
      case SimpleCommand::kCloseIdleForHandover:
        connections_.CloseIdleForHandover();
        break;
      case SimpleCommand::kReportEvictionCandidate:
        messages_.Send(EvictionCandidateReport{connections_.EvictionCandidate()});
        break;
      case SimpleCommand::kEvictOne:
        messages_.Send(EvictionResult{connections_.EvictOne()});
        break;
      case SimpleCommand::kStopReading:
        draining_ = true;
        reading_stopped_ = true;
        messages_.Send(ReadingStopped{});
        break;
      case SimpleCommand::kShutdown:
        stopped_ = true;
        break;
    }
  }
}

void Loop::SendReport() {
  report_timer_.Start(kReportInterval);
  // No report is sent while the channel has an overflow. Otherwise the overflow would grow by a report every
  // half second while the node's main thread is stalled. The next report also covers the time of the skipped
  // one.
  if (messages_.has_overflow()) return;
  LoopReportMessage message;
  const std::uint64_t cpu = ThreadCpuNs();
  const Steady::time_point now = Steady::now();
  const double passed = std::chrono::duration<double, std::nano>(now - last_report_).count();
  message.report.loop = index_;
  message.report.busy = passed > 0 ? static_cast<double>(cpu - last_cpu_ns_) / passed : 0;
  last_cpu_ns_ = cpu;
  last_report_ = now;
  message.report.work =
      connections_.TakeFrameCounts(kMaxReportedConnections, [&message](std::uint64_t id, std::uint64_t work) {
        message.report.heaviest_connections.push_back({id, work});
      });
  message.snapshots = connections_.TakeSnapshots(kMaxReportedConnections);
  messages_.Send(std::move(message));
}

void Loop::UpdateFlushedCommandCount() {
  if (flushed_command_count_.load(std::memory_order_relaxed) == executed_command_count_) return;
  if (connections_.AllSent()) {
    flushed_command_count_.store(executed_command_count_, std::memory_order_release);
    messages_.RequestWakeup();
  } else {
    unsent_check_timer_.Start(kUnsentCheckInterval);
  }
}

}  // namespace hingelink::net
