// Reports the node's state to the registry, again and again; a call that fails is made anew.
#ifndef HINGELINK_NET_REGISTRY_CLIENT_H_
#define HINGELINK_NET_REGISTRY_CLIENT_H_

#include <string>

#include "net/event.h"

namespace hingelink::net {

class RegistryClient {
 public:
  RegistryClient(event_base* base, const sockaddr_in& registry, std::string host, std::string name);
  // Reports `draining` from now on, at once.
  void ReportDraining();
  // Reports to another address from now on, at once.
  void ChangeAddress(const sockaddr_in& registry, std::string host);
  // Whether the last report that ended was taken.
  bool last_report_succeeded() const { return reported_ && !failing_; }

 private:
  void Report();
  void Connect();
  void Read();
  void Drop(const char* reason);
  void Retire(const char* reason);

  event_base* base_;
  sockaddr_in address_;
  std::string host_;
  std::string name_;
  BufferPtr bev_;
  BufferPtr dropped_;  // Freed at the next report, outside its own callbacks.
  Timer next_;
  Timer overdue_;
  bool connected_ = false;
  bool draining_ = false;
  bool waiting_ = false;      // For a response.
  bool report_next_ = false;  // As soon as the response is in.
  bool reported_ = false;     // Some report was taken.
  bool failing_ = false;      // Logged once for each spell.
};

}  // namespace hingelink::net

#endif  // HINGELINK_NET_REGISTRY_CLIENT_H_
