#include "net/loop_group.h"

#include <algorithm>
#include <type_traits>
#include <utility>

#include "log/log.h"

namespace hingelink::net {
namespace {

using namespace std::chrono_literals;

// Messages taken of one loop before the others, and the module, have their turn.
constexpr std::size_t kTakenAtOnce = 256;
constexpr auto kWatch = 250ms;
constexpr int kHungLooks = 4;
// Between looks whether there is room again for what waits in the kernel's queue, beside another process.
constexpr auto kRoomLooksEach = 20ms;

std::chrono::milliseconds Now() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Steady::now().time_since_epoch());
}

}  // namespace

LoopGroup::LoopGroup(event_base* base, const sockaddr_in& listen, Descriptor handed_over, Options options,
                     core::FrontEndEvents events)
    : options_(std::move(options)),
      events_(std::move(events)),
      wake_(event_new(
          base, waker_.fd(), EV_READ | EV_PERSIST,
          [](evutil_socket_t, short, void* self) { static_cast<LoopGroup*>(self)->Look(); }, this)),
      listener_(base, listen, std::move(handed_over), [this](evutil_socket_t fd) { Accept(fd); }),
      watch_(base, [this] { WatchLoops(); }),
      room_(base,
            [this] {
              room_.Start(kRoomLooksEach);
              if (door_.listener_paused()) CarryOut(door_.RetryPending(Counts()));
            }),
      book_(options_.loops),
      placement_([this] {
        options_.balancer.loops = options_.loops;
        return options_.balancer;
      }()),
      door_({.loops = options_.loops, .max_connections = options_.max_connections}),
      watchdog_(options_.loops, kHungLooks) {
  if (!wake_) throw std::runtime_error("libevent: no event");
  event_add(wake_.get(), nullptr);
  watch_.Start(kWatch);
  for (std::size_t i = 0; i < options_.loops; ++i) {
    Member member;
    member.loop = std::make_unique<Loop>(i, waker_, options_.classes(i));
    members_.push_back(std::move(member));
  }
}

LoopGroup::~LoopGroup() { Shutdown({}); }

std::vector<std::size_t> LoopGroup::Counts() const {
  std::vector<std::size_t> class_counts;
  for (std::size_t i = 0; i < members_.size(); ++i) counts.push_back(book_.count(i));
  return counts;
}

void LoopGroup::Accept(evutil_socket_t fd) {
  at_the_door_.push_back({Descriptor(fd), Steady::now()});
  CarryOut(door_.OnAccepted(Counts()));
}

void LoopGroup::CarryOut(const decide::ConnectionAdmission::Actions& steps) {
  for (const decide::ConnectionAdmission::Action& step : steps) {
    if (std::holds_alternative<decide::ConnectionAdmission::Admit>(step)) {
      const std::size_t loop = placement_.ChooseLoop(Counts());
      Send(loop, TakeConnection{book_.Add(loop), std::move(at_the_door_.front().socket),
                                at_the_door_.front().accepted});
      at_the_door_.pop_front();
    } else if (std::holds_alternative<decide::ConnectionAdmission::Reject>(step)) {
      at_the_door_.pop_front();
      log::PeerEvent("connection-end",
                     {{"id", 0}, {"reason", ReasonCode(EndReason::kAtLimit)}, {"requests", 0}, {"open", 0}});
    } else if (const auto* ask = std::get_if<decide::ConnectionAdmission::RequestCandidate>(&step)) {
      Send(ask->loop, LoopOrder::kOfferRoom);
    } else if (const auto* room = std::get_if<decide::ConnectionAdmission::Evict>(&step)) {
      Send(room->loop, LoopOrder::kMakeRoom);
    } else if (std::holds_alternative<decide::ConnectionAdmission::PauseListener>(step)) {
      listener_.Pause();
    } else if (!paused_) {
      listener_.Resume();
    }
  }
}

void LoopGroup::Look() {
  waker_.BeginLook();
  bool more = false;
  for (std::size_t i = 0; i < members_.size(); ++i) {
    Channel<FromLoop>& told = members_[i].loop->told();
    std::size_t taken = 0;
    for (FromLoop message; taken < kTakenAtOnce && told.Take(message); ++taken) Hear(i, message);
    told.Looked();
    more = more || taken == kTakenAtOnce;
  }
  if (!more) {
    waker_.Sleep();
    more = std::any_of(members_.begin(), members_.end(),
                       [](const Member& member) { return !member.loop->told().empty(); });
    if (!more) return;
    waker_.Stay();
  }
  event_active(wake_.get(), EV_READ, 0);
}

void LoopGroup::Hear(std::size_t at, FromLoop& message) {
  std::visit(
      [this, at](auto& m) {
        using M = std::decay_t<decltype(m)>;
        if constexpr (std::is_same_v<M, ReadRequest>) {
          m.request.class_name = m.kind;
          m.request.tenant = m.owner;
          m.request.body = m.body;
          m.request.movable_body = &m.body;
          events_.request(m.request);
        } else if constexpr (std::is_same_v<M, GoneCaller>) {
          events_.disconnected(m.from);
        } else if constexpr (std::is_same_v<M, DeepCheck>) {
          events_.deep_check(m.from);
        } else if constexpr (std::is_same_v<M, EndedConnection>) {
          if (book_.Remove(m.id, at)) CarryOut(door_.OnClosed(Counts()));
        } else if constexpr (std::is_same_v<M, ReleasedConnection>) {
          SettleMove(at, m);
        } else if constexpr (std::is_same_v<M, RoomOffer>) {
          CarryOut(door_.OnCandidate(at, m.least, Counts()));
        } else if constexpr (std::is_same_v<M, RoomMade>) {
          CarryOut(door_.OnEvicted(at, m.made, Counts()));
        } else if constexpr (std::is_same_v<M, StoppedReading>) {
          members_[at].stopped_reading = true;
        } else {
          members_[at].busy = m.report.busy;
          members_[at].looks = std::move(m.looks);
          if (stopping_) return;
          for (const decide::ConnectionMove& move : placement_.OnReport(m.report, Now())) Move(move);
        }
      },
      message);
}

void LoopGroup::Move(const decide::ConnectionMove& move) {
  if (const auto from = book_.BeginMove(move.id, move.to)) Send(*from, ReleaseConnection{move.id});
}

void LoopGroup::SettleMove(std::size_t from, ReleasedConnection& released) {
  auto settled = book_.FinishMove(released.id, from, released.moving != nullptr);
  if (!settled) return;
  if (released.moving) {
    for (auto& open : released.moving->open_requests)
      open.counts = options_.class_counts(open.class_name, settled->loop);
    ++members_[settled->loop].taken;
    Send(settled->loop, AdoptConnection{std::move(released.moving)});
  }
  placement_.OnMoveFinished(released.id, Now());
  for (GiveAnswer& answer : settled->held_answers) Send(settled->loop, std::move(answer));
}

void LoopGroup::Deliver(core::StreamAddress to, const core::FinalAnswer& answer) {
  GiveAnswer give{
      to,          answer.verdict, answer.no_other_server, answer.retry_after, std::string(answer.result),
      std::nullopt};
  if (const auto loop = book_.Route(to.connection, give)) Send(*loop, std::move(give));
}

void LoopGroup::AnswerHealthCheck(core::StreamAddress to, bool good) {
  GiveAnswer give{.to = to, .retry_after = {}, .result = {}, .check = good};
  if (const auto loop = book_.Route(to.connection, give)) Send(*loop, std::move(give));
}

void LoopGroup::SetHealth(bool good, bool shallow) {
  state_changed_ = state_changed_ || good != healthy_ || shallow != shallow_;
  healthy_ = good;
  shallow_ = shallow;
}

void LoopGroup::SetLoadSignal(double value) {
  state_changed_ = state_changed_ || value != signal_;
  signal_ = value;
}

void LoopGroup::CloseIdle(std::chrono::milliseconds after) {
  for (std::size_t i = 0; i < members_.size(); ++i) Send(i, CloseIdleAfter{after});
}

void LoopGroup::Order(LoopOrder order) {
  for (std::size_t i = 0; i < members_.size(); ++i) Send(i, order);
}

void LoopGroup::SetMaxConnections(std::size_t most, bool shared) {
  if (shared) {
    room_.Start(kRoomLooksEach);
  } else {
    room_.Stop();
  }
  CarryOut(door_.SetMaxConnections(most, shared, Counts()));
}

void LoopGroup::PauseListening() {
  paused_ = true;
  listener_.Pause();
}

void LoopGroup::ResumeListening() {
  paused_ = false;
  Order(LoopOrder::kTakeBack);
  if (!door_.listener_paused()) listener_.Resume();
}

void LoopGroup::ClassesChanged() {
  for (std::size_t i = 0; i < members_.size(); ++i) Send(i, SetClasses{options_.classes(i)});
}

void LoopGroup::StopReading() {
  stopping_ = true;
  Order(LoopOrder::kStopReading);
}

// One wake a loop for all that this round had for it.
void LoopGroup::Sweep() {
  if (std::exchange(state_changed_, false)) {
    for (std::size_t i = 0; i < members_.size(); ++i) Send(i, SetState{healthy_, shallow_, signal_});
  }
  for (Member& member : members_) member.loop->orders().Flush();
}

void LoopGroup::Shutdown(Steady::time_point until) {
  // All are told before the first is waited for: they wait for their peers side by side.
  for (Member& member : members_) {
    if (!member.hung) member.loop->End(until);
  }
  for (Member& member : members_) {
    // Guards the end of the process against a thread that may never come back; it takes the thread with it.
    if (member.hung) {
      log::Warn("loop-left-behind", {{"connections", book_.size()}});
      (void)member.loop.release();
    }
  }
  members_.clear();
  at_the_door_.clear();
}

void LoopGroup::WatchLoops() {
  watch_.Start(kWatch);
  for (std::size_t i = 0; i < members_.size(); ++i) {
    if (members_[i].hung) {
      if (const std::string stack = members_[i].loop->TakeStack(); !stack.empty()) {
        log::Warn("loop-stack", {{"loop", i + 1}, {"frames", stack}});
      }
    }
    const auto change = watchdog_.Observe(i, members_[i].loop->beats());
    if (change == decide::LoopWatchdog::Transition::kNone) continue;
    const bool hangs = change == decide::LoopWatchdog::Transition::kStalled;
    members_[i].hung = hangs;
    if (hangs) members_[i].loop->AskForStack();
    placement_.SetStalled(i, hangs);
    CarryOut(door_.SetStalled(i, hangs, Counts()));
    log::Warn(hangs ? "loop-hangs" : "loop-goes-on",
              {{"loop", i + 1}, {"connections", book_.count(i)}, {"reading", members_[i].loop->reading()}});
  }
}

std::vector<ConnectionSet::Snapshot> LoopGroup::TakeSnapshots(std::size_t most) const {
  std::vector<ConnectionSet::Snapshot> seen;
  for (const Member& member : members_) {
    for (const auto& look : member.looks) {
      if (seen.size() >= most) return seen;
      seen.push_back(look);
    }
  }
  return seen;
}

bool LoopGroup::AllSent() const {
  if (book_.has_pending_moves()) return false;
  return std::all_of(members_.begin(), members_.end(), [this](const Member& member) {
    if (stopping_ && !member.stopped_reading) return false;
    return member.loop->told().empty() && member.loop->sent_through() == member.loop->orders().put();
  });
}

std::vector<LoopGroup::LoopStats> LoopGroup::Loops() const {
  std::vector<LoopStats> looks;
  for (std::size_t i = 0; i < members_.size(); ++i) {
    const Member& member = members_[i];
    looks.push_back({.connections = book_.count(i),
                     .pending_messages = member.loop->told().depth(),
                     .pending_commands = member.loop->orders().depth(),
                     .cpu_fraction = member.busy,
                     .connections_received = member.taken,
                     .heartbeats = member.loop->beats(),
                     .stalled = member.hung});
  }
  return looks;
}

}  // namespace hingelink::net
