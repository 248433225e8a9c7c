// The final answer to a request, free of any protocol.
#ifndef HINGELINK_CORE_ANSWER_H_
#define HINGELINK_CORE_ANSWER_H_

#include <chrono>
#include <optional>
#include <string_view>

namespace hingelink::core {

enum class Verdict {
  kServed,    // Carries the result of the request's execution, unchanged.
  kRejected,  // Promises that this attempt was never executed.
  kFailed,    // Promises nothing.
};

struct FinalAnswer {
  Verdict verdict = Verdict::kFailed;
  std::optional<std::chrono::milliseconds> retry_after;  // Of a rejection: how long to stay away.
  bool no_other_server = false;                          // Of a rejection: another server would not help.
  std::string_view result;                               // Valid during the call that delivers the answer.
};

[[nodiscard]] inline FinalAnswer Served(std::string_view result) {
  FinalAnswer answer;
  answer.verdict = Verdict::kServed;
  answer.result = result;
  return answer;
}

[[nodiscard]] inline FinalAnswer Rejected(bool no_other_server = false) {
  FinalAnswer answer;
  answer.verdict = Verdict::kRejected;
  answer.no_other_server = no_other_server;
  return answer;
}

[[nodiscard]] inline FinalAnswer Failed() { return {}; }

}  // namespace hingelink::core

#endif  // HINGELINK_CORE_ANSWER_H_
