// The requests in flight, by id.
#ifndef HINGELINK_POLICY_OPEN_REQUESTS_H_
#define HINGELINK_POLICY_OPEN_REQUESTS_H_

#include <cstddef>
#include <unordered_map>

#include "policy/class_table.h"
#include "policy/deadline_queue.h"
#include "policy/open_request.h"

namespace hingelink::policy {

// Owns the requests; references to them stay valid until Close(). Not thread-safe.
class OpenRequests {
 public:
  // Both must outlive the object.
  OpenRequests(ClassTable& classes, DeadlineQueue& deadlines) : classes_(classes), deadlines_(deadlines) {}

  // Null if there is no such request.
  OpenRequest* Find(RequestId id) {
    const auto found = requests_.find(id);
    return found == requests_.end() ? nullptr : &found->second;
  }
  // The request must be in flight.
  OpenRequest& Get(RequestId id) { return requests_.at(id); }
  // Adds a request of this class, whose id must not be in use.
  OpenRequest& Open(RequestId id, std::size_t class_index);
  // Forgets a request that needs nothing any more, and cancels its deadline.
  void Close(RequestId id, const OpenRequest& request);

  std::size_t size() const { return requests_.size(); }
  // Calls `visit(id, request)` for each request, in no order of meaning.
  template <typename Visitor>
  void ForEach(const Visitor& visit) {
    for (auto& [id, request] : requests_) visit(id, request);
  }

 private:
  ClassTable& classes_;
  DeadlineQueue& deadlines_;
  std::unordered_map<RequestId, OpenRequest> requests_;
};

}  // namespace hingelink::policy

#endif  // HINGELINK_POLICY_OPEN_REQUESTS_H_
