// The requests in flight, by id.
#ifndef HINGELINK_POLICY_OPEN_REQUESTS_H_
#define HINGELINK_POLICY_OPEN_REQUESTS_H_

#include <cstddef>
#include <unordered_map>

#include "policy/class_table.h"
#include "policy/deadline_queue.h"
#include "policy/open_request.h"

namespace hingelink::policy {

// Owns the requests in flight. References to a request stay valid until Close(). Not thread-safe.
class OpenRequests {
 public:
  // `classes` and `deadlines` must outlive the object.
  OpenRequests(ClassTable& classes, DeadlineQueue& deadlines) : classes_(classes), deadlines_(deadlines) {}

  // Returns null if there is no request with this id.
  OpenRequest* Find(RequestId id) {
    const auto found = requests_.find(id);
    return found == requests_.end() ? nullptr : &found->second;
  }
  // Returns a request that must be in flight.
  OpenRequest& Get(RequestId id) { return requests_.at(id); }
  // Adds a request of a class, by index into the class table. `id` must not be in use.
  OpenRequest& Open(RequestId id, std::size_t class_index);
  // Removes a request that is complete, and its entry in the deadline queue.
  void Close(RequestId id, const OpenRequest& request);

  const OpenRequest* Find(RequestId id) const {
    const auto found = requests_.find(id);
    return found == requests_.end() ? nullptr : &found->second;
  }

  std::size_t size() const { return requests_.size(); }
  // Calls `visit(id, request)` for each request, in unspecified order.
  template <typename Visitor>
  void ForEach(const Visitor& visit) {
    for (auto& [id, request] : requests_) visit(id, request);
  }
  template <typename Visitor>
  void ForEach(const Visitor& visit) const {
    for (const auto& [id, request] : requests_) visit(id, request);
  }

 private:
  ClassTable& classes_;
  DeadlineQueue& deadlines_;
  std::unordered_map<RequestId, OpenRequest> requests_;
};

}  // namespace hingelink::policy

#endif  // HINGELINK_POLICY_OPEN_REQUESTS_H_
