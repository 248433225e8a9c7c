// Loopback addresses that no other process of this kind uses.
#ifndef HINGELINK_STANDIN_OWN_ADDRESS_H_
#define HINGELINK_STANDIN_OWN_ADDRESS_H_

#include <string>

namespace hingelink::standin {

// Of the form 127.x.y.z:port, with x, y and z by this process's number: a port that was free stays free,
// where on 127.0.0.1 any other program may take it in the meantime. Another one at each call.
std::string OwnAddress();

}  // namespace hingelink::standin

#endif  // HINGELINK_STANDIN_OWN_ADDRESS_H_
