#include "policy/open_requests.h"

namespace hingelink::policy {

OpenRequest& OpenRequests::Open(RequestId id, std::size_t class_index) {
  OpenRequest& request = requests_[id];
  request.class_index = class_index;
  classes_.RequestOpened(class_index);
  return request;
}

void OpenRequests::Close(RequestId id, const OpenRequest& request) {
  deadlines_.Cancel(id, request);
  classes_.RequestClosed(request.class_index);
  requests_.erase(id);
}

}  // namespace hingelink::policy
