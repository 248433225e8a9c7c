// Hands the clients of one node over from its running process (the predecessor) to a new one (the successor).
//
// The processes share a folder that holds a UNIX socket. The successor connects to the socket and receives
// the predecessor's listening socket. It reports when it accepts clients, and the predecessor confirms that
// it accepts no more. Afterwards both processes report their load to each other, and the predecessor reports
// its idempotency keys, until one of the processes exits.
//
// The confirmation follows all keys of the predecessor. It is the only proof that the successor knows them:
// without it, the end of the connection means that keys are lost. A process that exits therefore sends all
// messages first, closes its sending side, and waits until its siblings have read them and close too.
//
// Bounds: a sibling that reads nothing holds up the exit only for the time that the owner passes to
// AwaitSiblings(). Unsent bytes are limited to kMaxUnsentLineBytes of reports, the idempotency keys that this
// process retains, and kMaxUnsentResultBytes of results.
#ifndef HINGELINK_NET_HANDOVER_H_
#define HINGELINK_NET_HANDOVER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "net/event.h"
#include "net/handover_socket.h"
#include "proto/handover_lines.h"

namespace hingelink::net {

// A sibling is another process of this node: the predecessor or a successor. Not thread-safe: all calls and
// all events are on the thread that runs `base`.
class Handover {
 public:
  using KeyVisitor = std::function<void(const proto::KeyMessage&, std::string_view result)>;
  using AttemptVisitor = std::function<void(std::uint64_t attempt_id)>;
  struct Events {
    // A successor accepts clients; this process must accept no more. `own_listener`: the successor does not
    // share the listening socket of this process.
    std::function<void(bool own_listener)> successor_ready;
    // The ready successor has crashed and no other successor is ready. This process must accept clients
    // again.
    std::function<void()> successor_lost;
    // The ready successor, which started before this process, has ended and has sent all its keys. This
    // process must accept clients again.
    std::function<void()> successor_returned = [] {};
    // Returns the listening socket of this process, and opens it again if it was closed.
    std::function<evutil_socket_t()> listener = [] { return evutil_socket_t{-1}; };
    // This process, which is not ready yet, has another predecessor, whose listening socket replaces its own.
    // The descriptor is empty if that process did not send it in time.
    std::function<void(Descriptor listener)> predecessor_changed = [](Descriptor) {};
    // The ready successor has received the drain notice of the node, which holds for this process as well.
    std::function<void()> node_draining = [] {};
    // The ready successor has ended after a drain or a handover of its own. This process never accepts
    // clients again.
    std::function<void()> successor_exited = [] {};
    std::function<void()> siblings_load_changed;  // The result of siblings_load() may have changed.
    // Returns the learned values that a new successor starts from.
    std::function<std::vector<proto::LearnedClassMessage>()> learned;
    std::function<void(const proto::LearnedClassMessage&)> predecessor_learned;
    // Passes each idempotency key that this process retains to the visitor, which sends it to a successor.
    std::function<void(const KeyVisitor&)> send_keys = [](const KeyVisitor&) {};
    // Passes the id of each attempt that this process has started, as far as it remembers them, to the
    // visitor, which sends it to a successor.
    std::function<void(const AttemptVisitor&)> send_attempts = [](const AttemptVisitor&) {};
    // The predecessor reported an attempt that it has started.
    std::function<void(std::uint64_t attempt_id)> attempt_received = [](std::uint64_t) {};
    // Whether the retained keys are all keys that may have been executed in this node.
    std::function<bool()> keys_complete = [] { return true; };
    // The predecessor reported an idempotency key.
    std::function<void(const proto::KeyMessage&, std::string_view result)> key_received =
        [](const proto::KeyMessage&, std::string_view) {};
    // The predecessor ended before it confirmed that it had sent all its keys. Keys that are unknown here may
    // have been executed there.
    std::function<void()> predecessor_keys_lost = [] {};
    // The result of takeover_complete(), keys_known() or keys_overdue() may have changed.
    std::function<void()> takeover_state_changed = [] {};
  };

  // An empty `folder` disables handover: there is neither a predecessor nor a successor.
  Handover(event_base* base, const std::string& folder, Events events);
  ~Handover();

  // Connects to the predecessor and receives its listening socket. Blocks for a bounded time. Returns an
  // empty descriptor if no process answers or the socket does not arrive in time. In the latter case the
  // process that hangs remains the predecessor until it exits. If no process answers, no other process can
  // become the one that serves before AcceptSuccessors(). Throws std::runtime_error if a process answers and
  // accepts no successor.
  Descriptor RequestListener();
  // Makes this process the one that serves the clients: from now on successors connect to it and receive
  // `listener`. Returns false and changes nothing if neither this process nor its predecessor is the one that
  // serves; see TakePlaceInChain(). True if handover is disabled.
  bool AcceptSuccessors(evutil_socket_t listener);
  // Makes the process that serves the predecessor of this one, which is not ready yet. Calls
  // Events::predecessor_changed if there is such a process. Otherwise the present predecessor remains. Blocks
  // as RequestListener() does.
  void TakePlaceInChain();
  // Accepts no more successors. Existing connections to siblings remain.
  void StopAcceptingSuccessors();
  // Reports to the predecessor, if there is one, that this process accepts clients.
  void SendReady();
  // Reports to the predecessor, if there is one, that this process drains, and with it the node. A
  // predecessor that started later than this process is told to accept the clients again instead, since this
  // process is the old one. Does nothing before SendReady(): the predecessor then still accepts the clients,
  // and goes on.
  void SendDraining();
  // Whether there is no predecessor, or the predecessor accepts no more clients, or its confirmation is
  // overdue. The wait for the confirmation begins with SendReady().
  bool takeover_complete() const { return takeover_complete_; }

  // Whether the ready successor started before this process. It is then the first of the two that the
  // platform ends, and this process serves again.
  bool may_serve_again() const;
  bool has_predecessor() const;
  // Whether there is no predecessor, or it has confirmed that it sent all its idempotency keys, or it has
  // ended (see Events::predecessor_keys_lost).
  bool keys_known() const { return keys_known_; }
  // Whether the predecessor is still connected, but its confirmation that it accepts no more clients, before
  // which it sends all its idempotency keys, is overdue.
  bool keys_overdue() const { return !keys_known_ && takeover_complete_; }
  // Confirms to the ready successors that they know all keys, once Events::keys_complete returns true. To be
  // called when that result may have changed.
  void ConfirmKeys();
  // Reports a changed idempotency key of this process to the ready successors. `result` is sent only if
  // `line.has_result`.
  void SendKey(const proto::KeyMessage& line, std::string_view result);

  // Reports an attempt that this process has started to the ready successors.
  void SendAttempt(std::uint64_t attempt_id);

  bool has_siblings() const { return !channels_.empty(); }
  std::size_t sibling_count() const { return channels_.size(); }
  // The sum of the loads that the siblings last reported.
  proto::LoadMessage siblings_load() const;
  // Reports the load of this process to each sibling if the load differs from the last report to it.
  void SendLoad(const proto::LoadMessage& load);

  // Whether the kernel has taken all messages to the siblings.
  bool AllSent() const;
  // To be called before the exit of this process, when it executes nothing any more. Sends what the siblings
  // need to know, also to a successor that is not ready yet, and closes the sending side of each channel.
  // From now on no event but `siblings_load_changed` is called.
  void SendLastMessages();
  // Runs the event loop until all siblings have read the last messages and closed their channels, or until
  // `deadline`, which is evaluated again in each round. Must not be called from within a callback.
  void AwaitSiblings(const std::function<Steady::time_point()>& deadline);

  // Frees the channels that ended since the last call. Must not be called from within a callback.
  void Sweep();

 private:
  class Channel;

  void Accept();
  void Add(Descriptor fd, bool to_predecessor);
  // Makes the process at the other end of `channel` the predecessor. Returns `listener`.
  Descriptor Connected(Descriptor channel, Descriptor listener);
  // The predecessor's channel has ended before this process was ready.
  void OnPredecessorLost();
  void OnLine(Channel& channel, std::string_view line);
  void OnSuccessorReady(Channel& channel);
  // Sends the ids of all started attempts and all retained keys, once for each channel. Does nothing if the
  // successor does not understand them.
  void SendExecuted(Channel& channel);
  void SendExecutedTo(Channel& channel);
  void ConfirmKeys(Channel& channel);
  void EndChannel(Channel& channel, const char* reason);
  // The channel of a ready successor has ended.
  void OnSuccessorEnd(const Channel& channel);

  event_base* base_;
  std::string path_;  // Of the UNIX socket; empty if handover is disabled.
  Events events_;
  Descriptor server_;  // The UNIX socket on which successors connect.
  EventPtr accept_;
  evutil_socket_t listener_ = -1;  // Of the clients; not owned.
  std::vector<std::unique_ptr<Channel>> channels_;
  std::vector<std::unique_ptr<Channel>> ended_;  // Freed by Sweep().
  Timer drain_timeout_;  // For the predecessor's confirmation that it accepts no more clients.
  Timer chain_timer_;    // Calls TakePlaceInChain() outside of the callbacks of a channel.
  // Held from RequestListener() to AcceptSuccessors() if there is no predecessor.
  std::optional<PathLock> start_lock_;
  const Steady::time_point started_at_ = Steady::now();
  bool has_own_listener_ = true;  // Not received from the predecessor.
  bool takeover_complete_ = true;
  bool keys_known_ = true;
  bool ready_sent_ = false;   // SendReady() was called.
  bool handed_over_ = false;  // A successor accepts clients.
  bool exiting_ = false;      // SendLastMessages() was called.
};

}  // namespace hingelink::net

#endif  // HINGELINK_NET_HANDOVER_H_
