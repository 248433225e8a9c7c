#include "standin/audit.h"

namespace hingelink::standin {

std::vector<std::string> Audit(const std::vector<Account>& gateways, const std::vector<PoolCounts>& pools,
                               const StoreCounts& store, const AuditOptions& options) {
  std::vector<std::string> faults;
  const auto none = [&faults](std::uint64_t count, const std::string& what) {
    if (count > 0) faults.push_back(what + ": " + std::to_string(count));
  };
  ClassAccount all;
  for (const Account& account : gateways) {
    const ClassAccount sum = account.Sum();
    all.wrong += sum.wrong;
    all.twice += sum.twice;
    all.unanswered += sum.unanswered;
    all.late += sum.late;
    all.lost += sum.lost;
  }
  none(all.wrong, "answers served that no run of the request made");
  none(all.twice, "second answers to one try");
  none(all.unanswered, "tries without an answer in their time");
  none(all.late, "answers past their time");
  if (!options.may_lose) none(all.lost, "tries whose connection ended without an answer");
  PoolCounts runs;
  for (const PoolCounts& pool : pools) {
    runs.run_twice += pool.run_twice;
    runs.wrong_replies += pool.wrong_replies;
    runs.bad_passes += pool.bad_passes;
    runs.bad_commands += pool.bad_commands;
  }
  none(runs.run_twice, "requests that may run once, run again at the same pool");
  none(runs.wrong_replies, "replies supplied that the store did not give to that call");
  none(runs.bad_passes, "passes for a notice at which no run stood");
  none(runs.bad_commands, "commands that the pool could not read");
  none(store.twice, "calls that may run once, begun again");
  none(store.bad_lines, "lines that the store could not read");
  none(store.deaths, "deaths of the store in a crowd");
  return faults;
}

}  // namespace hingelink::standin
