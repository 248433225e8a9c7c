// Between two processes of one node: the successor gets the listening socket over a UNIX socket in a folder
// that both share, says when it takes clients, and both tell what they have in hand.
#ifndef HINGELINK_NET_HANDOVER_H_
#define HINGELINK_NET_HANDOVER_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "net/event.h"
#include "proto/handover_lines.h"

namespace hingelink::net {

class Handover {
 public:
  using KeyVisitor = std::function<void(const proto::KeyMessage&, std::string_view result)>;
  struct Events {
    std::function<void()> successor_ready;        // Another process takes the clients from now on.
    std::function<void()> successor_lost;         // None does any more.
    std::function<void()> siblings_load_changed;  // What the others have in hand may have changed.
    std::function<std::vector<proto::LearnedClassMessage>()> learned;  // For a successor to begin with.
    std::function<void(const proto::LearnedClassMessage&)> predecessor_learned;
    // All keys that this process keeps, for a successor that is ready; and: the predecessor tells of one.
    std::function<void(const KeyVisitor&)> send_keys = [](const KeyVisitor&) {};
    std::function<void(const proto::KeyMessage&, std::string_view result)> key_received =
        [](const proto::KeyMessage&, std::string_view) {};
    // keys_known() or keys_overdue() has changed.
    std::function<void()> takeover_state_changed = [] {};
  };

  // `folder` may be empty: there is neither predecessor nor successor then.
  Handover(event_base* base, const std::string& folder, Events events);
  ~Handover();

  // The listening socket of the process that serves, or none where no such process answers.
  Descriptor RequestListener();
  // This process is the one that a successor asks from now on.
  void AcceptSuccessors(evutil_socket_t listener);
  // It is so no more.
  void StopAcceptingSuccessors();
  // This process takes clients. Told to the predecessor.
  void SendReady();
  // Whether the predecessor, if any, takes no more clients.
  bool takeover_complete() const { return takeover_complete_; }

  bool has_predecessor() const;
  // Whether all that a predecessor kept of keys has been told; and whether one that stands has failed to.
  bool keys_known() const { return keys_known_; }
  bool keys_overdue() const { return !keys_known_ && takeover_complete_; }
  // A key of this process has changed: told to the successors.
  void SendKey(const proto::KeyMessage& line, std::string_view result);

  bool has_siblings() const { return !channels_.empty(); }
  std::size_t sibling_count() const { return channels_.size(); }
  // What the others have in hand, in sum.
  proto::LoadMessage siblings_load() const;
  // Tells the others, where it has changed.
  void SendLoad(const proto::LoadMessage& load);

  // Frees the channels that ended since the last call. Not to be called from within a callback.
  void Sweep();

 private:
  class Channel;

  void Accept();
  void Add(Descriptor fd, bool to_predecessor);
  void Take(Channel& channel, std::string_view line);
  void End(Channel& channel, const char* reason);

  event_base* base_;
  std::string path_;  // Empty where nothing is shared.
  Events events_;
  Descriptor server_;
  EventPtr accept_;
  evutil_socket_t listener_ = -1;
  std::vector<std::unique_ptr<Channel>> channels_;
  std::vector<std::unique_ptr<Channel>> ended_;
  Timer overdue_;  // The predecessor's word that it takes no more.
  bool takeover_complete_ = true;
  bool keys_known_ = true;
  bool handed_over_ = false;
  proto::LoadMessage told_;
};

}  // namespace hingelink::net

#endif  // HINGELINK_NET_HANDOVER_H_
