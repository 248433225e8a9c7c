// Runs background jobs on one helper thread, as decide::Background says. What a job does to files takes what
// it takes there; the loop only hands over and hears of the end.
#ifndef HINGELINK_BACKGROUND_JOB_RUNNER_H_
#define HINGELINK_BACKGROUND_JOB_RUNNER_H_

#include <atomic>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "decide/jobs/job_scheduler.h"
#include "net/event.h"

namespace hingelink::background {

// What came of a run.
struct JobResult {
  bool succeeded = true;
  double bytes_written = 0;  // Written.
  std::string error;         // Where it is not good: what failed.
};
// On the helper thread. `cancelled` may turn true while it runs.
using JobFunction = std::function<JobResult(const std::atomic<bool>& cancelled)>;

struct Job {
  decide::JobSpec spec;
  // On the loop, right before a run: takes what the work needs. `last`: it is the last chance.
  std::function<JobFunction(bool final_run)> prepare;
};

struct JobReport {
  std::string name;
  int priority = 0;
  decide::JobStats stats;
};

class JobRunner {
 public:
  struct NodeConditions {
    std::function<bool()> under_pressure;  // Requests wait.
    std::function<bool()> draining;        // The process drains.
  };
  // All but the works runs on `base`'s thread.
  JobRunner(event_base* base, const decide::JobSchedulerOptions& options, std::vector<Job> jobs,
            NodeConditions conditions);
  // Gives the last chances if that has not been done, and waits at most so long for what runs. A call that
  // hangs is left behind with its thread.
  ~JobRunner();
  void Finish(std::chrono::milliseconds at_most);

  void RequestRun(const std::string& name);
  std::vector<JobReport> JobReports() const;

 private:
  struct Shared;

  void ExecuteActions(const decide::JobActions& actions);
  void OnJobFinished();
  void SetTimer();
  void PollConditions();
  decide::JobTime Now() const { return net::Steady::now() - began_; }

  std::vector<Job> jobs_;
  NodeConditions conditions_;
  net::Steady::time_point began_ = net::Steady::now();
  decide::JobScheduler scheduler_;
  std::shared_ptr<Shared> shared_;
  net::EventPtr finished_event_;
  net::Timer wakeup_timer_;
  net::Timer poll_timer_;
  bool finished_ = false;
  std::thread thread_;
};

}  // namespace hingelink::background

#endif  // HINGELINK_BACKGROUND_JOB_RUNNER_H_
