// Reports the node's state to the registry at a fixed interval, over a persistent HTTP/1.1 connection. A
// failed report is retried on a new connection.
#ifndef HINGELINK_NET_REGISTRY_CLIENT_H_
#define HINGELINK_NET_REGISTRY_CLIENT_H_

#include <string>

#include "net/event.h"

namespace hingelink::net {

// All calls on the thread of the event base, which must outlive the object.
class RegistryClient {
 public:
  // `host` is the text of the Host header, `name` the name of this node. The first report is sent at once.
  RegistryClient(event_base* base, const sockaddr_in& registry, std::string host, std::string name);
  // Reports the node as draining from now on. The first such report is sent at once, or after the pending
  // response.
  void ReportDraining();
  // Reports to another address from now on, beginning at once; a pending response is discarded. Must not be
  // called from the client's own callbacks.
  void ChangeAddress(const sockaddr_in& registry, std::string host);
  // Whether the registry accepted the last completed report; false before the first one.
  bool last_report_succeeded() const { return has_succeeded_ && !last_report_failed_; }

 private:
  void SendReport();
  void Connect();
  void OnReadable();
  // Closes the connection, and schedules a retry if a report was pending.
  void OnFailure(const char* reason);
  // Closes the connection; it is freed later.
  void CloseConnection(const char* reason);

  event_base* base_;
  sockaddr_in address_;
  std::string host_;
  std::string name_;
  BufferPtr bev_;
  BufferPtr closed_bev_;  // Freed at the next report, as a bufferevent must not be freed in its own callback.
  Timer report_timer_;    // Starts the next report.
  Timer response_timer_;  // Fails a report whose response is late.
  bool connected_ = false;
  bool draining_ = false;
  bool awaiting_response_ = false;      // A report was sent, and its response is not complete.
  bool report_after_response_ = false;  // Send the next report right after the pending response.
  bool has_succeeded_ = false;          // The registry has accepted a report.
  bool last_report_failed_ = false;     // Consecutive failures are logged once.
};

}  // namespace hingelink::net

#endif  // HINGELINK_NET_REGISTRY_CLIENT_H_
