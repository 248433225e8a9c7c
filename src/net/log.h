// One line to standard error. The lines are explained in docs/on-call.md.
#ifndef HINGELINK_NET_LOG_H_
#define HINGELINK_NET_LOG_H_

namespace hingelink::net {

[[gnu::format(printf, 1, 2)]] void LogLine(const char* format, ...);

}  // namespace hingelink::net

#endif  // HINGELINK_NET_LOG_H_
