// The connection between two processes of a node; part of Handover.
#ifndef HINGELINK_NET_HANDOVER_CHANNEL_H_
#define HINGELINK_NET_HANDOVER_CHANNEL_H_

#include <sys/socket.h>
#include <sys/types.h>

#include <chrono>
#include <cstddef>
#include <stdexcept>
#include <string_view>

#include "net/handover.h"

namespace hingelink::net {

// The connection to one sibling.
class Handover::Channel {
 public:
  Channel(Handover& handover, Descriptor fd, bool to_predecessor)
      : to_predecessor_(to_predecessor),
        process_(PeerProcess(fd.get())),
        handover_(handover),
        bev_(bufferevent_socket_new(handover.base_, fd.release(), BEV_OPT_CLOSE_ON_FREE)) {
    if (!bev_) throw std::runtime_error("libevent cannot create a bufferevent for a handover");
    bufferevent_priority_set(bev_.get(), kHighPriority);
    bufferevent_setcb(
        bev_.get(), [](bufferevent*, void* self) { static_cast<Channel*>(self)->ReadLines(); },
        [](bufferevent*, void* self) { static_cast<Channel*>(self)->OnOutputSent(); },
        [](bufferevent*, short what, void* self) { static_cast<Channel*>(self)->OnEvent(what); }, this);
    bufferevent_setwatermark(bev_.get(), EV_READ, 0, 2 * proto::kMaxKeyResultBytes);
    bufferevent_enable(bev_.get(), EV_READ | EV_WRITE);
  }

  // Sends a line that the sibling must receive. The number of such lines is bounded by what this process
  // remembers and still executes.
  void SendLine(std::string_view line) {
    if (!closing_) Send(bev_.get(), line);
  }
  // Like SendLine(), but passes the line to the kernel before it returns if no earlier output is unsent, so
  // that the sibling receives it even if this process is killed right after.
  void SendLineNow(std::string_view line) {
    if (closing_) return;
    const ssize_t sent = all_sent() ? send(bufferevent_getfd(bev_.get()), line.data(), line.size(),
                                           MSG_DONTWAIT | MSG_NOSIGNAL)
                                    : 0;
    line.remove_prefix(sent > 0 ? static_cast<std::size_t>(sent) : 0);
    if (!line.empty()) Send(bev_.get(), line);
  }
  // Drops the line and returns false while too many bytes are unsent, which bounds the reports to a sibling
  // that reads nothing.
  bool SendReport(std::string_view line) {
    if (closing_ || UnsentBytes(bev_.get()) >= kMaxUnsentLineBytes) return false;
    Send(bev_.get(), line);
    return true;
  }
  // Always sends the key, so that no request with this key is executed by both processes. The number of keys
  // is bounded. Leaves out the result if too many bytes are unsent.
  void SendKey(proto::KeyMessage line, std::string_view result) {
    if (closing_) return;
    line.has_result = line.has_result && UnsentBytes(bev_.get()) < kMaxUnsentResultBytes;
    Send(bev_.get(), proto::EncodeKeyMessage(line));
    if (!line.has_result) return;
    Send(bev_.get(), result);
    Send(bev_.get(), "\n");
  }
  bool all_sent() const { return UnsentBytes(bev_.get()) == 0; }
  // Closes the sending side once all output is sent. Input is still read, because closing a UNIX socket with
  // unread input resets the connection.
  void CloseWhenSent() {
    closing_ = true;
    if (all_sent()) OnOutputSent();
  }
  // No callback is called after this.
  void Stop() {
    bufferevent_setcb(bev_.get(), nullptr, nullptr, nullptr, nullptr);
    bufferevent_disable(bev_.get(), EV_READ | EV_WRITE);
  }

  const bool to_predecessor_;
  proto::LoadMessage load_;       // As last reported by the sibling.
  proto::LoadMessage sent_load_;  // As last reported to the sibling, which assumes no load before.
  bool accepts_keys_ = false;     // The sibling is a successor that accepts KeyMessages.
  bool keys_sent_ = false;        // The successor was sent all keys that this process retained.
  bool keys_confirmed_ = false;   // The successor was sent the confirmation that it knows all keys.
  bool ready_ = false;            // The sibling is a successor that accepts clients.
  bool exiting_ = false;          // The sibling reported that it exits, or that the node drains.
  bool own_listener_ = false;     // The successor does not share the listening socket of this process.
  // A predecessor is to accept the clients again, or a successor is about to give them back.
  bool returning_ = false;
  bool keys_returned_ = false;  // A successor that gives the clients back has sent all keys.
  // When the sibling started, on the steady clock; 0 if unknown.
  std::chrono::nanoseconds started_at_{0};
  const pid_t process_;  // Of a predecessor.

  // Whether keys and attempts that the sibling sends are those that it has executed.
  bool SendsExecuted() const { return to_predecessor_ || returning_; }

 private:
  // A sibling that hangs and reads nothing is sent no more reports (load and learned values) once this many
  // bytes are unsent.
  static constexpr std::size_t kMaxUnsentLineBytes = 64 * proto::kMaxHandoverLineBytes;
  // Once this many bytes are unsent, idempotency keys are sent without their results.
  static constexpr std::size_t kMaxUnsentResultBytes = 4 << 20;

  void OnOutputSent() {
    if (closing_) shutdown(bufferevent_getfd(bev_.get()), SHUT_WR);
  }
  void OnEvent(short what) {
    // The sibling has closed and takes no more output. Lines that it sent before may still be unread, so the
    // channel ends with the end of the input.
    if ((what & BEV_EVENT_ERROR) != 0 && (what & BEV_EVENT_WRITING) != 0) return;
    handover_.EndChannel(*this, (what & BEV_EVENT_EOF) != 0 ? "peer-closed" : "reset");
  }
  // Processes all complete lines that have arrived.
  void ReadLines() {
    for (;;) {
      const std::string_view all = ReceivedBytes(bev_.get());
      const std::size_t end = all.find('\n');
      if (end == std::string_view::npos) {
        if (all.size() >= proto::kMaxHandoverLineBytes) handover_.EndChannel(*this, "line");
        return;
      }
      std::size_t size = end + 1;
      if (const auto key = proto::ParseKeyMessage(all.substr(0, end)); key && SendsExecuted()) {
        // A result follows its key and ends with a newline. Both are processed once the whole result has
        // arrived.
        const std::size_t result_size = key->has_result ? key->size + 1 : 0;
        if (all.size() < size + result_size) return;
        handover_.events_.key_received(*key, all.substr(size, key->size));
        size += result_size;
      } else {
        handover_.OnLine(*this, all.substr(0, size));
      }
      Consume(bev_.get(), size);
    }
  }

  Handover& handover_;
  BufferPtr bev_;
  bool closing_ = false;  // Nothing more is sent, and the sending side is closed once all output is sent.
};

}  // namespace hingelink::net

#endif  // HINGELINK_NET_HANDOVER_CHANNEL_H_
