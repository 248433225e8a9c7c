#include "attempt_rules.h"

#include <algorithm>

#include "proto/pool_lines.h"

namespace hingelink::soak {
namespace {

using namespace std::chrono_literals;
using standin::AttemptOutcome;

// A process that is about to be killed may end by itself this much earlier.
constexpr auto kForcedExitLead = 100ms;
// A connection that a kill ends is seen to end within this time.
constexpr auto kResetDelay = 500ms;

class AttemptJudge {
 public:
  AttemptJudge(const std::vector<Lifetime>& lifetimes, const AttemptRuleOptions& options)
      : lifetimes_(lifetimes), options_(options) {}

  // Returns what is wrong with the attempt; null if nothing is.
  [[nodiscard]] const char* Judge(const JudgedAttempt& attempt) const {
    const standin::AttemptReport& report = attempt.report;
    if (report.outcome == AttemptOutcome::kUnanswered) return "no answer in time";
    if (report.outcome == AttemptOutcome::kLost && !IsLossAllowed(report)) return "lost";
    if (report.outcome == AttemptOutcome::kRefused && attempt.ran) return "refused though it ran";
    if (attempt.ran && ArrivedAfterGrace(report)) return "ran though it arrived after the grace";
    return nullptr;
  }

 private:
  // Whether the process was killed before the answer was due.
  [[nodiscard]] bool IsLossAllowed(const standin::AttemptReport& report) const {
    return std::any_of(lifetimes_.begin(), lifetimes_.end(), [&](const Lifetime& lifetime) {
      if (lifetime.node != report.target || !lifetime.kill) return false;
      const bool was_due_later = report.due + options_.slack > *lifetime.kill;
      const bool is_of_this_kill =
          report.ended >= *lifetime.kill - kForcedExitLead && report.ended <= *lifetime.kill + kResetDelay;
      return was_due_later && is_of_this_kill;
    });
  }
  // Whether every process that the attempt can have reached had its drain notice longer ago than the grace.
  [[nodiscard]] bool ArrivedAfterGrace(const standin::AttemptReport& report) const {
    bool has_process = false;
    for (const Lifetime& lifetime : lifetimes_) {
      const bool is_alive =
          lifetime.started <= report.ended && (!lifetime.ended || *lifetime.ended >= report.sent);
      if (lifetime.node != report.target || !is_alive) continue;
      has_process = true;
      if (!lifetime.drain_notice || report.sent <= *lifetime.drain_notice + options_.drain_grace)
        return false;
    }
    return has_process;
  }

  const std::vector<Lifetime>& lifetimes_;
  const AttemptRuleOptions& options_;
};

std::string Describe(const JudgedAttempt& attempt, Steady::time_point start) {
  const standin::AttemptReport& report = attempt.report;
  const auto ms = [](Steady::duration span) {
    return std::to_string(std::chrono::duration_cast<milliseconds>(span).count());
  };
  return proto::FormatRequestId(report.request_id) + " of " + report.class_name + " at n" +
         std::to_string(report.target) + ", sent at " + ms(report.sent - start) + " ms, due after " +
         ms(report.due - report.sent) + ", ended after " + ms(report.ended - report.sent) + ", connection " +
         std::to_string(report.connection) + (report.connected ? "" : " not established") + ", " +
         std::to_string(report.unread_bytes) + " bytes unread, " + (attempt.ran ? "ran" : "did not run");
}

}  // namespace

std::vector<std::string> FindViolations(const std::vector<JudgedAttempt>& attempts,
                                        const std::vector<Lifetime>& lifetimes, Steady::time_point start,
                                        const AttemptRuleOptions& options) {
  const AttemptJudge judge(lifetimes, options);
  struct Found {
    std::size_t count = 0;
    std::string first;
  };
  std::map<std::string, Found> found;
  for (const JudgedAttempt& attempt : attempts) {
    const char* wrong = judge.Judge(attempt);
    if (wrong == nullptr) continue;
    Found& kind = found[wrong];
    if (++kind.count == 1) kind.first = Describe(attempt, start);
  }
  std::vector<std::string> lines;
  lines.reserve(found.size());
  for (const auto& [wrong, kind] : found)
    lines.push_back(std::to_string(kind.count) + " " + wrong + " (" + kind.first + ")");
  return lines;
}

}  // namespace hingelink::soak
