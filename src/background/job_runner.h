// Runs background jobs on one helper thread, in the order that decide::JobScheduler determines. File
// operations block only the helper thread; the event loop starts the jobs and is notified when they finish.
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

struct JobResult {
  bool succeeded = true;
  double bytes_written = 0;
  std::string error;  // On failure: the reason, as a text for operators.
};

// The work of one run, on the helper thread. An exception counts as a failure. `cancelled` may become true
// during the run; the function should then return early.
using JobFunction = std::function<JobResult(const std::atomic<bool>& cancelled)>;

struct Job {
  decide::JobSpec spec;
  // Called on the event loop's thread right before each run, to copy the data that the run needs.
  // `final_run`: the run is the last one, during a drain.
  std::function<JobFunction(bool final_run)> prepare;
};

struct JobReport {
  std::string name;
  int priority = 0;
  decide::JobStats stats;
};

// All calls on the thread of the event base.
class JobRunner {
 public:
  // Polled on the event loop's thread.
  struct NodeConditions {
    std::function<bool()> overloaded;  // Requests are queued.
    std::function<bool()> draining;
  };

  // `base` must outlive the object. Throws std::runtime_error if no event can be created.
  JobRunner(event_base* base, const decide::JobSchedulerOptions& options, std::vector<Job> jobs,
            NodeConditions conditions);
  // Calls Finish() with a timeout of 1 s.
  ~JobRunner();
  // Starts the final runs and blocks until they are complete, but at most for `timeout`. If a job is still
  // running then, the helper thread is detached. Further calls do nothing.
  void Finish(std::chrono::milliseconds timeout);

  // Makes the job of this name due now. An unknown name is ignored.
  void RequestRun(const std::string& name);
  [[nodiscard]] std::vector<JobReport> JobReports() const;

 private:
  class Worker;

  void ExecuteActions(const decide::JobActions& actions);
  void StartJob(const decide::StartJob& start);
  void OnJobFinished();
  void ScheduleWakeup();
  void PollConditions();
  decide::JobTime Now() const { return net::Steady::now() - started_at_; }

  std::vector<Job> jobs_;
  NodeConditions conditions_;
  net::Steady::time_point started_at_ = net::Steady::now();
  decide::JobScheduler scheduler_;
  std::shared_ptr<Worker> worker_;
  net::EventPtr finished_event_;
  net::Timer wakeup_timer_;
  net::Timer poll_timer_;
  bool finished_ = false;
  std::thread thread_;
};

}  // namespace hingelink::background

#endif  // HINGELINK_BACKGROUND_JOB_RUNNER_H_
