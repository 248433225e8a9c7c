// The final answer to a request, independent of the protocol that the caller uses.
#ifndef HINGELINK_CORE_ANSWER_H_
#define HINGELINK_CORE_ANSWER_H_

#include <chrono>
#include <optional>
#include <string_view>

namespace hingelink::core {

enum class Verdict {
  kServed,    // The answer carries the unchanged result of the request's execution.
  kRejected,  // This attempt was never executed and will not be.
  kFailed,    // The attempt may or may not have been executed.
};

struct FinalAnswer {
  Verdict verdict = Verdict::kFailed;
  std::optional<std::chrono::milliseconds> retry_after;  // For kRejected: the shortest wait before a retry.
  bool no_other_server = false;  // For kRejected: other servers would reject the request as well.
  std::string_view result;       // For kServed; valid only during the call that delivers the answer.
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
