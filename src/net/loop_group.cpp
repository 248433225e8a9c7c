#include "net/loop_group.h"

#include <algorithm>
#include <type_traits>
#include <utility>

#include "log/log.h"

namespace hingelink::net {
namespace {

using namespace std::chrono_literals;

// Messages processed from one loop before the messages of the other loops and the other events of the node's
// main thread are processed.
constexpr std::size_t kMaxMessagesPerLoop = 256;
// Interval at which the heartbeats of all loops are observed. A loop is stalled after this many consecutive
// observations without a heartbeat.
constexpr auto kWatchdogInterval = 250ms;
constexpr int kMaxMissedHeartbeats = 4;
// Interval of the attempts to admit connections that wait in the kernel's accept queue while a sibling
// process shares the connection limit.
constexpr auto kRetryInterval = 20ms;

std::chrono::milliseconds Now() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Steady::now().time_since_epoch());
}

}  // namespace

LoopGroup::LoopGroup(event_base* base, const sockaddr_in& listen, Descriptor handed_over, Options options,
                     core::FrontEndEvents events)
    : options_(std::move(options)),
      events_(std::move(events)),
      wakeup_event_(event_new(
          base, waker_.fd(), EV_READ | EV_PERSIST,
          [](evutil_socket_t, short, void* self) { static_cast<LoopGroup*>(self)->ProcessMessages(); },
          this)),
      listener_(base, listen, std::move(handed_over), [this](evutil_socket_t fd) { Accept(fd); }),
      watchdog_timer_(base, [this] { CheckForStalledLoops(); }),
      retry_timer_(base,
                   [this] {
                     retry_timer_.Start(kRetryInterval);
                     if (admission_.listener_paused()) Execute(admission_.RetryPending(ConnectionCounts()));
                   }),
      locations_(options_.loops),
      balancer_([this] {
        options_.balancer.loops = options_.loops;
        return options_.balancer;
      }()),
      admission_({.loops = options_.loops, .max_connections = options_.max_connections}),
      watchdog_(options_.loops, kMaxMissedHeartbeats) {
  if (!wakeup_event_) throw std::runtime_error("libevent cannot create the wakeup event of the loop group");
  event_add(wakeup_event_.get(), nullptr);
  watchdog_timer_.Start(kWatchdogInterval);
  for (std::size_t i = 0; i < options_.loops; ++i) {
    Member member;
    member.loop = std::make_unique<Loop>(i, waker_, options_.classes(i));
    members_.push_back(std::move(member));
  }
}

LoopGroup::~LoopGroup() { Shutdown({}); }

std::vector<std::size_t> LoopGroup::ConnectionCounts() const {
  std::vector<std::size_t> counts;
  for (std::size_t i = 0; i < members_.size(); ++i) counts.push_back(locations_.count(i));
  return counts;
}

void LoopGroup::Accept(evutil_socket_t fd) {
  pending_.push_back({Descriptor(fd), Steady::now()});
  Execute(admission_.OnAccepted(ConnectionCounts()));
}

void LoopGroup::Execute(const decide::ConnectionAdmission::Actions& actions) {
  for (const decide::ConnectionAdmission::Action& action : actions) {
    if (std::holds_alternative<decide::ConnectionAdmission::Admit>(action)) {
      const std::size_t loop = balancer_.ChooseLoop(ConnectionCounts());
      Send(loop, AddConnection{locations_.Add(loop), std::move(pending_.front().socket),
                               pending_.front().accepted});
      pending_.pop_front();
    } else if (std::holds_alternative<decide::ConnectionAdmission::Reject>(action)) {
      pending_.pop_front();
      log::PeerEvent("connection-end",
                     {{"id", 0}, {"reason", ReasonCode(EndReason::kAtLimit)}, {"requests", 0}, {"open", 0}});
    } else if (const auto* request = std::get_if<decide::ConnectionAdmission::RequestCandidate>(&action)) {
      Send(request->loop, SimpleCommand::kReportEvictionCandidate);
    } else if (const auto* evict = std::get_if<decide::ConnectionAdmission::Evict>(&action)) {
      Send(evict->loop, SimpleCommand::kEvictOne);
    } else if (std::holds_alternative<decide::ConnectionAdmission::PauseListener>(action)) {
      listener_.Pause();
    } else if (!paused_) {
      listener_.Resume();
    }
  }
}

void LoopGroup::ProcessMessages() {
  waker_.Clear();
  bool more = false;
  for (std::size_t i = 0; i < members_.size(); ++i) {
    Channel<LoopMessage>& messages = members_[i].loop->messages();
    std::size_t received = 0;
    for (LoopMessage message; received < kMaxMessagesPerLoop && messages.TryReceive(message); ++received)
      OnMessage(i, message);
    messages.NotifyWriter();
    more = more || received == kMaxMessagesPerLoop;
  }
  if (!more) {
    waker_.BeginWait();
    more = std::any_of(members_.begin(), members_.end(),
                       [](const Member& member) { return !member.loop->messages().empty(); });
    if (!more) return;
    waker_.CancelWait();
  }
  event_active(wakeup_event_.get(), EV_READ, 0);
}

void LoopGroup::OnMessage(std::size_t loop, LoopMessage& message) {
  std::visit(
      [this, loop](auto& m) {
        using M = std::decay_t<decltype(m)>;
        if constexpr (std::is_same_v<M, RequestReceived>) {
          m.request.class_name = m.class_name;
          m.request.tenant = m.tenant;
          m.request.body = m.body;
          m.request.movable_body = &m.body;
          events_.request(m.request);
        } else if constexpr (std::is_same_v<M, CallerDisconnected>) {
          events_.disconnected(m.from);
        } else if constexpr (std::is_same_v<M, DeepCheckReceived>) {
          events_.deep_check(m.from);
        } else if constexpr (std::is_same_v<M, ConnectionClosed>) {
          if (locations_.Remove(m.id, loop)) Execute(admission_.OnClosed(ConnectionCounts()));
        } else if constexpr (std::is_same_v<M, ConnectionReleased>) {
          FinishMove(loop, m);
        } else if constexpr (std::is_same_v<M, EvictionCandidateReport>) {
          Execute(admission_.OnCandidate(loop, m.candidate, ConnectionCounts()));
        } else if constexpr (std::is_same_v<M, EvictionResult>) {
          Execute(admission_.OnEvicted(loop, m.evicted, ConnectionCounts()));
        } else if constexpr (std::is_same_v<M, ReadingStopped>) {
          members_[loop].stopped_reading = true;
        } else {
          members_[loop].cpu_fraction = m.report.busy;
          members_[loop].snapshots = std::move(m.snapshots);
          if (stopping_) return;
          for (const decide::ConnectionMove& move : balancer_.OnReport(m.report, Now())) BeginMove(move);
        }
      },
      message);
}

void LoopGroup::BeginMove(const decide::ConnectionMove& move) {
  if (const auto from = locations_.BeginMove(move.id, move.to)) Send(*from, ReleaseConnection{move.id});
}

void LoopGroup::FinishMove(std::size_t from, ConnectionReleased& released) {
  auto finished = locations_.FinishMove(released.id, from, released.state != nullptr);
  if (!finished) return;
  if (released.state) {
    for (auto& open : released.state->open_requests)
      open.counts = options_.class_counts(open.class_name, finished->loop);
    ++members_[finished->loop].connections_received;
    Send(finished->loop, AdoptConnection{std::move(released.state)});
  }
  balancer_.OnMoveFinished(released.id, Now());
  for (SendAnswer& answer : finished->held_answers) Send(finished->loop, std::move(answer));
}

void LoopGroup::Deliver(core::StreamAddress to, const core::FinalAnswer& answer) {
  SendAnswer message{
      to,          answer.verdict, answer.no_other_server, answer.retry_after, std::string(answer.result),
      std::nullopt};
  if (const auto loop = locations_.Route(to.connection, message)) Send(*loop, std::move(message));
}

void LoopGroup::AnswerHealthCheck(core::StreamAddress to, bool healthy) {
  SendAnswer message{.to = to, .retry_after = {}, .result = {}, .is_healthy = healthy};
  if (const auto loop = locations_.Route(to.connection, message)) Send(*loop, std::move(message));
}

void LoopGroup::SetHealth(bool healthy, bool shallow) {
  state_changed_ = state_changed_ || healthy != healthy_ || shallow != shallow_;
  healthy_ = healthy;
  shallow_ = shallow;
}

void LoopGroup::SetLoadSignal(double value) {
  state_changed_ = state_changed_ || value != signal_;
  signal_ = value;
}

void LoopGroup::CloseIdle(std::chrono::milliseconds after) {
  for (std::size_t i = 0; i < members_.size(); ++i) Send(i, CloseIdleConnections{after});
}

void LoopGroup::SetAnswerDelayLimit(Steady::duration limit) {
  for (std::size_t i = 0; i < members_.size(); ++i) Send(i, LimitAnswerDelay{limit});
}

void LoopGroup::SetBufferLimit(std::size_t bytes) {
  for (std::size_t i = 0; i < members_.size(); ++i) Send(i, LimitBuffers{bytes / members_.size()});
}

void LoopGroup::SendToAll(SimpleCommand command) {
  for (std::size_t i = 0; i < members_.size(); ++i) Send(i, command);
}

void LoopGroup::SetMaxConnections(std::size_t max_connections, bool shared) {
  if (shared) {
    retry_timer_.Start(kRetryInterval);
  } else {
    retry_timer_.Stop();
  }
  Execute(admission_.SetMaxConnections(max_connections, shared, ConnectionCounts()));
}

void LoopGroup::PauseListening() {
  paused_ = true;
  listener_.Pause();
}

void LoopGroup::ResumeListening() {
  paused_ = false;
  SendToAll(SimpleCommand::kCancelDrain);
  if (!admission_.listener_paused()) listener_.Resume();
}

void LoopGroup::ClassesChanged() {
  for (std::size_t i = 0; i < members_.size(); ++i) Send(i, SetClasses{options_.classes(i)});
}

void LoopGroup::StopReading() {
  stopping_ = true;
  SendToAll(SimpleCommand::kStopReading);
}

// Wakes each loop at most once for all commands of this round.
void LoopGroup::Sweep() {
  if (std::exchange(state_changed_, false)) {
    for (std::size_t i = 0; i < members_.size(); ++i) Send(i, SetHealthAndLoad{healthy_, shallow_, signal_});
  }
  for (Member& member : members_) member.loop->commands().Flush();
}

void LoopGroup::Shutdown(Steady::time_point deadline) {
  // All loops are asked to shut down before the first is joined, so that they wait for their peers in
  // parallel.
  for (Member& member : members_) {
    if (!member.stalled) member.loop->RequestShutdown(deadline);
  }
  for (Member& member : members_) {
    // The thread of a stalled loop may never finish, so joining it could block the exit of the process. The
    // loop is leaked; its thread ends with the process.
    if (member.stalled) {
      log::Warn("loop-left-behind", {{"connections", locations_.size()}});
      (void)member.loop.release();
    }
  }
  members_.clear();
  pending_.clear();
}

void LoopGroup::CheckForStalledLoops() {
  watchdog_timer_.Start(kWatchdogInterval);
  for (std::size_t i = 0; i < members_.size(); ++i) {
    if (members_[i].stalled) {
      if (const std::string stack = members_[i].loop->TakeStackTrace(); !stack.empty()) {
        log::Warn("loop-stack", {{"loop", i + 1}, {"frames", stack}});
      }
    }
    const auto change = watchdog_.Observe(i, members_[i].loop->heartbeats());
    if (change == decide::LoopWatchdog::Transition::kNone) continue;
    const bool is_stalled = change == decide::LoopWatchdog::Transition::kStalled;
    members_[i].stalled = is_stalled;
    if (is_stalled) members_[i].loop->RequestStackTrace();
    balancer_.SetStalled(i, is_stalled);
    Execute(admission_.SetStalled(i, is_stalled, ConnectionCounts()));
    log::Warn(is_stalled ? "loop-hangs" : "loop-recovered",
              {{"loop", i + 1},
               {"connections", locations_.count(i)},
               {"reading", members_[i].loop->last_read_connection()}});
  }
}

std::vector<ConnectionSet::Snapshot> LoopGroup::TakeSnapshots(std::size_t max_count) const {
  std::vector<ConnectionSet::Snapshot> snapshots;
  for (const Member& member : members_) {
    for (const auto& snapshot : member.snapshots) {
      if (snapshots.size() >= max_count) return snapshots;
      snapshots.push_back(snapshot);
    }
  }
  return snapshots;
}

bool LoopGroup::AllSent() const {
  if (locations_.has_pending_moves()) return false;
  return std::all_of(members_.begin(), members_.end(), [this](const Member& member) {
    if (stopping_ && !member.stopped_reading) return false;
    return member.loop->messages().empty() &&
           member.loop->flushed_command_count() == member.loop->commands().sent_count();
  });
}

std::vector<LoopGroup::LoopStats> LoopGroup::Loops() const {
  std::vector<LoopStats> stats;
  for (std::size_t i = 0; i < members_.size(); ++i) {
    const Member& member = members_[i];
    stats.push_back({.connections = locations_.count(i),
                     .pending_messages = member.loop->messages().depth(),
                     .pending_commands = member.loop->commands().depth(),
                     .cpu_fraction = member.cpu_fraction,
                     .connections_received = member.connections_received,
                     .heartbeats = member.loop->heartbeats(),
                     .stalled = member.stalled});
  }
  return stats;
}

}  // namespace hingelink::net
