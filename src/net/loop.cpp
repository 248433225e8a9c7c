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

// Requests and their ends on the way to the node, and answers and orders on the way back. With bodies of 2
// KiB this is 16 MiB a loop at most; a queue that is full stops the reading of its loop's sockets.
constexpr std::size_t kTold = 4096, kOrders = 8192;
constexpr auto kBeat = 100ms;
constexpr auto kReport = 500ms;
constexpr std::size_t kHeaviest = 64;
constexpr auto kSeeSent = 5ms;
// Orders carried out before the sockets have their turn again.
constexpr std::size_t kOrdersAtOnce = 1024;

// Ignored wherever nothing handles it, so that a stray one does no harm.
constexpr int kStackSignal = SIGURG;

// Where the handler puts the frames of the thread that it interrupts. Null on threads that are no loops.
thread_local std::array<void*, 32>* stack_frames = nullptr;
thread_local std::atomic<int>* stack_count = nullptr;

void NoteStack(int) {
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

Loop::Loop(std::size_t index, Waker& node, ClassTablePtr classes)
    : index_(index),
      base_(MakeBase()),
      orders_(kOrders, waker_, node),
      told_(kTold, node, waker_),
      classes_(std::move(classes)),
      set_(base_.get(),
           {.request =
                [this](const core::IncomingRequest& request) {
                  ReadRequest read{request, std::string(request.class_name), std::string(request.tenant),
                                   std::string(request.body)};
                  told_.Put(std::move(read));
                },
            .disconnected = [this](core::StreamAddress from) { told_.Put(GoneCaller{from}); },
            .deep_check = [this](core::StreamAddress from) { told_.Put(DeepCheck{from}); },
            .class_counts =
                [this](std::string_view kind) {
                  const auto known = classes_->find(std::string(kind));
                  return known == classes_->end() ? nullptr : known->second;
                },
            .closed = [this](std::uint64_t id) { told_.Put(EndedConnection{id}); },
            .may_read_frame = [this] { return !told_.full() && !no_reading_; },
            .before_read = [this](std::uint64_t id) { reading_.store(id, std::memory_order_relaxed); }}),
      wake_(event_new(
          base_.get(), waker_.fd(), EV_READ | EV_PERSIST,
          [](evutil_socket_t, short, void* self) { static_cast<Loop*>(self)->Look(); }, this)),
      beat_(base_.get(),
            [this] {
              beats_.store(beats() + 1, std::memory_order_relaxed);
              beat_.Start(kBeat);
            }),
      report_(base_.get(), [this] { Report(); }),
      see_sent_(base_.get(), [] {}) {
  if (!wake_) throw std::runtime_error("libevent: no event");
  event_add(wake_.get(), nullptr);
  beat_.Start(kBeat);
  report_.Start(kReport);
  struct sigaction note {};
  note.sa_handler = NoteStack;
  note.sa_flags = SA_RESTART;
  sigaction(kStackSignal, &note, nullptr);
  // Signals are the node's own loop's, but for the one that asks for the stack.
  sigset_t all, before;
  sigfillset(&all);
  sigdelset(&all, kStackSignal);
  pthread_sigmask(SIG_SETMASK, &all, &before);
  thread_ = std::thread([this] { Run(); });
  pthread_sigmask(SIG_SETMASK, &before, nullptr);
}

void Loop::End(Steady::time_point until) {
  if (std::exchange(told_to_end_, true)) return;
  end_until_ = until;
  orders_.Put(LoopOrder::kEndAll);
  orders_.Flush();
}

Loop::~Loop() {
  End({});
  // Where the queue is full, its end makes the rest fit.
  while (orders_.full()) {
    std::this_thread::sleep_for(1ms);
    orders_.Flush();
  }
  thread_.join();
}

bool Loop::Bind(const std::vector<unsigned>& units) {
  return PinThreadToCpus(thread_.native_handle(), units);
}

void Loop::AskForStack() { pthread_kill(thread_.native_handle(), kStackSignal); }

std::string Loop::TakeStack() {
  const int count = frame_count_.exchange(0, std::memory_order_acquire);
  if (count == 0) return {};
  const std::unique_ptr<char*, decltype(&std::free)> names(backtrace_symbols(frames_.data(), count),
                                                           &std::free);
  std::string text;
  // The first two are the handler and the kernel's way into it.
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
  // The first call loads a library, which is no work for a handler.
  void* unused[1];
  backtrace(unused, 1);
  last_cpu_ns_ = ThreadCpuNs();
  while (!over_) {
    event_base_loop(base_.get(), EVLOOP_ONCE);
    set_.Sweep();
    if (closing_) SeeSent();
    told_.Flush();
  }
  set_.Shutdown(end_until_);
  // libevent closes a freed bufferevent's socket in the next round of its loop.
  event_base_loop(base_.get(), EVLOOP_NONBLOCK);
  told_.Flush();
}

void Loop::Look() {
  waker_.BeginLook();
  std::size_t done = 0;
  for (ToLoop order; done < kOrdersAtOnce && orders_.Take(order); ++done) Do(order);
  done_ += done;
  orders_.Looked();
  if (told_.full()) told_.Flush();
  if (!told_.full()) set_.ResumeReading();
  waker_.Sleep();
  if (orders_.empty()) return;
  waker_.Stay();
  event_active(wake_.get(), EV_READ, 0);
}

void Loop::Do(ToLoop& order) {
  if (auto* answer = std::get_if<GiveAnswer>(&order); answer != nullptr && answer->check) {
    set_.AnswerHealthCheck(answer->to, *answer->check);
  } else if (answer != nullptr) {
    core::FinalAnswer final;
    final.verdict = answer->verdict;
    final.retry_after = answer->retry_after;
    final.no_other_server = answer->no_other_server;
    final.result = answer->result;
    set_.Deliver(answer->to, final);
  } else if (auto* take = std::get_if<TakeConnection>(&order)) {
    set_.Add(take->id, take->socket.release(), take->accepted);
  } else if (auto* adopt = std::get_if<AdoptConnection>(&order)) {
    set_.Adopt(std::move(*adopt->moving));
  } else if (const auto* release = std::get_if<ReleaseConnection>(&order)) {
    ReleasedConnection released{release->id, nullptr};
    if (auto moving = set_.Release(release->id)) {
      released.moving = std::make_unique<ConnectionSet::TransferState>(std::move(*moving));
    }
    told_.Put(std::move(released));
  } else if (const auto* state = std::get_if<SetState>(&order)) {
    set_.SetHealth(state->healthy, state->shallow);
    set_.SetLoadSignal(state->signal);
  } else if (auto* classes = std::get_if<SetClasses>(&order)) {
    classes_ = std::move(classes->classes);
  } else if (const auto* idle = std::get_if<CloseIdleAfter>(&order)) {
    set_.CloseIdle(idle->after);
  } else {
    switch (std::get<LoopOrder>(order)) {
      case LoopOrder::kAskForNoMore:
        closing_ = true;
        set_.StopNewRequests();
        break;
      case LoopOrder::kTakeBack:
        closing_ = false;
        set_.CancelDrain();
        break;
      case LoopOrder::kCloseQuiet:
        set_.CloseIdleForHandover();
        break;
      case LoopOrder::kOfferRoom:
        told_.Put(RoomOffer{set_.EvictionCandidate()});
        break;
      case LoopOrder::kMakeRoom:
        told_.Put(RoomMade{set_.EvictOne()});
        break;
      case LoopOrder::kStopReading:
        closing_ = true;
        no_reading_ = true;
        told_.Put(StoppedReading{});
        break;
      case LoopOrder::kEndAll:
        over_ = true;
        break;
    }
  }
}

void Loop::Report() {
  report_.Start(kReport);
  // Guards the bound of what waits here: a node that stands still would be sent a report each half second.
  // The next one covers the time of this one too.
  if (told_.full()) return;
  LoopReportMessage message;
  const std::uint64_t cpu = ThreadCpuNs();
  const Steady::time_point now = Steady::now();
  const double passed = std::chrono::duration<double, std::nano>(now - last_report_).count();
  message.report.loop = index_;
  message.report.busy = passed > 0 ? static_cast<double>(cpu - last_cpu_ns_) / passed : 0;
  last_cpu_ns_ = cpu;
  last_report_ = now;
  message.report.work = set_.TakeFrameCounts(kHeaviest, [&message](std::uint64_t id, std::uint64_t work) {
    message.report.heaviest_connections.push_back({id, work});
  });
  message.looks = set_.TakeSnapshots(kHeaviest);
  told_.Put(std::move(message));
}

void Loop::SeeSent() {
  if (sent_through_.load(std::memory_order_relaxed) == done_) return;
  if (set_.AllSent()) {
    sent_through_.store(done_, std::memory_order_release);
    told_.Nudge();
  } else {
    see_sent_.Start(kSeeSent);
  }
}

}  // namespace hingelink::net
