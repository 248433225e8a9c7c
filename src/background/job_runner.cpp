#include "background/job_runner.h"

#include <sys/eventfd.h>
#include <time.h>
#include <unistd.h>

#include <atomic>
#include <condition_variable>
#include <csignal>
#include <exception>
#include <mutex>
#include <optional>
#include <stdexcept>
#include <utility>

#include "log/log.h"

namespace hingelink::background {
namespace {

using namespace std::chrono_literals;

// Interval between polls of the node's conditions. A drain takes at least 500 ms, so that several polls fall
// within it.
constexpr auto kPollInterval = 100ms;
// Timeout of the destructor for the final runs.
constexpr auto kFinishTimeout = 1s;

std::vector<decide::JobSpec> SpecsOf(const std::vector<Job>& jobs) {
  std::vector<decide::JobSpec> specs;
  specs.reserve(jobs.size());
  for (const Job& job : jobs) specs.push_back(job.spec);
  return specs;
}

decide::JobTime ThreadCpuTime() {
  timespec spent{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &spent);
  return std::chrono::seconds(spent.tv_sec) + std::chrono::nanoseconds(spent.tv_nsec);
}

}  // namespace

// The state that the event loop and the helper thread share. Both own it, because the helper thread outlives
// the runner if a job hangs.
class JobRunner::Worker {
 public:
  struct FinishedJob {
    decide::JobIndex job = 0;
    JobResult result;
    decide::JobTime cpu{0};
  };

  // ---- On the helper thread ----

  // Runs jobs until Stop().
  static void Run(const std::shared_ptr<Worker>& self) {
    pthread_setname_np(pthread_self(), "background");
    while (std::optional<PendingJob> job = self->AwaitJob()) {
      FinishedJob finished = RunJob(*job, self->cancelled_);
      job.reset();
      self->Publish(std::move(finished));
    }
  }

  // ---- On the event loop's thread ----

  void Start(decide::JobIndex job, JobFunction function) {
    cancelled_ = false;
    {
      const std::lock_guard lock(mutex_);
      pending_.emplace(PendingJob{job, std::move(function)});
    }
    changed_.notify_all();
  }
  void Cancel() { cancelled_ = true; }
  void Stop() {
    {
      const std::lock_guard lock(mutex_);
      stopped_ = true;
    }
    changed_.notify_all();
  }
  // Blocks until a job has finished. Returns false if none has finished by the deadline.
  [[nodiscard]] bool AwaitFinished(net::Steady::time_point deadline) {
    std::unique_lock lock(mutex_);
    return changed_.wait_until(lock, deadline, [this] { return finished_.has_value(); });
  }
  [[nodiscard]] std::optional<FinishedJob> TakeFinished() {
    const std::lock_guard lock(mutex_);
    return std::exchange(finished_, std::nullopt);
  }
  // An eventfd that is readable after a job has finished.
  int finished_fd() const { return finished_fd_.get(); }

 private:
  struct PendingJob {
    decide::JobIndex job = 0;
    JobFunction function;
  };

  std::optional<PendingJob> AwaitJob() {
    std::unique_lock lock(mutex_);
    changed_.wait(lock, [this] { return stopped_ || pending_; });
    return std::exchange(pending_, std::nullopt);
  }
  static FinishedJob RunJob(const PendingJob& pending, const std::atomic<bool>& cancelled) {
    FinishedJob finished;
    finished.job = pending.job;
    const decide::JobTime before = ThreadCpuTime();
    try {
      finished.result = pending.function(cancelled);
    } catch (const std::exception& error) {
      finished.result = {.succeeded = false, .bytes_written = 0, .error = error.what()};
    }
    finished.cpu = ThreadCpuTime() - before;
    return finished;
  }
  void Publish(FinishedJob finished) {
    {
      const std::lock_guard lock(mutex_);
      finished_ = std::move(finished);
    }
    changed_.notify_all();
    const std::uint64_t increment = 1;
    (void)!write(finished_fd_.get(), &increment, sizeof increment);
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  std::optional<PendingJob> pending_;
  std::optional<FinishedJob> finished_;
  bool stopped_ = false;
  std::atomic<bool> cancelled_{false};
  net::Descriptor finished_fd_{eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)};
};

JobRunner::JobRunner(event_base* base, const decide::JobSchedulerOptions& options, std::vector<Job> jobs,
                     NodeConditions conditions)
    : jobs_(std::move(jobs)),
      conditions_(std::move(conditions)),
      scheduler_(options, SpecsOf(jobs_), Now()),
      worker_(std::make_shared<Worker>()),
      finished_event_(event_new(
          base, worker_->finished_fd(), EV_READ | EV_PERSIST,
          [](evutil_socket_t fd, short, void* self) {
            std::uint64_t count = 0;
            (void)!read(fd, &count, sizeof count);
            static_cast<JobRunner*>(self)->OnJobFinished();
          },
          this)),
      wakeup_timer_(base,
                    [this] {
                      ExecuteActions(scheduler_.Advance(Now()));
                      ScheduleWakeup();
                    }),
      poll_timer_(base, [this] { PollConditions(); }) {
  if (!finished_event_) throw std::runtime_error("libevent: cannot create an event");
  event_add(finished_event_.get(), nullptr);
  poll_timer_.Start(kPollInterval);
  ScheduleWakeup();
  // The helper thread inherits a mask that blocks all signals, so that the event loop's thread handles them.
  sigset_t all;
  sigset_t before;
  sigfillset(&all);
  pthread_sigmask(SIG_SETMASK, &all, &before);
  thread_ = std::thread([worker = worker_] { Worker::Run(worker); });
  pthread_sigmask(SIG_SETMASK, &before, nullptr);
}

JobRunner::~JobRunner() {
  try {
    Finish(kFinishTimeout);
  } catch (...) {
    // The helper thread can be neither joined nor detached.
    std::terminate();
  }
}

void JobRunner::Finish(std::chrono::milliseconds timeout) {
  if (std::exchange(finished_, true)) return;
  const net::Steady::time_point deadline = net::Steady::now() + timeout;
  ExecuteActions(scheduler_.BeginDrain(Now()));
  while (!scheduler_.drained() && worker_->AwaitFinished(deadline)) OnJobFinished();
  worker_->Stop();
  if (scheduler_.idle()) {
    thread_.join();
  } else {
    // A hung file operation must not prevent the process from exiting.
    log::Warn("background-thread-detached");
    thread_.detach();
  }
}

void JobRunner::ExecuteActions(const decide::JobActions& actions) {
  for (const decide::JobAction& action : actions) {
    if (const auto* start = std::get_if<decide::StartJob>(&action)) {
      StartJob(*start);
    } else if (std::holds_alternative<decide::CancelJob>(action)) {
      worker_->Cancel();
    } else {
      const decide::JobIndex job = std::get<decide::ReportHungJob>(action).job;
      log::Warn("background-job-hung", {{"job", jobs_[job].spec.name}});
    }
  }
}

void JobRunner::StartJob(const decide::StartJob& start) {
  worker_->Start(start.job, jobs_[start.job].prepare(start.final_run));
}

void JobRunner::OnJobFinished() {
  const std::optional<Worker::FinishedJob> finished = worker_->TakeFinished();
  if (!finished) return;
  const JobResult& result = finished->result;
  if (!result.succeeded) {
    log::Warn("background-job-failed", {{"job", jobs_[finished->job].spec.name}, {"what", result.error}});
  }
  const decide::JobOutcome outcome{result.succeeded, {finished->cpu, result.bytes_written}};
  ExecuteActions(scheduler_.OnJobFinished(finished->job, outcome, Now()));
  ScheduleWakeup();
}

void JobRunner::PollConditions() {
  poll_timer_.Start(kPollInterval);
  if (conditions_.draining()) {
    ExecuteActions(scheduler_.BeginDrain(Now()));
  } else {
    ExecuteActions(scheduler_.SetOverloaded(conditions_.overloaded(), Now()));
  }
  ScheduleWakeup();
}

void JobRunner::ScheduleWakeup() {
  if (const auto wakeup = scheduler_.NextWakeup(Now())) {
    wakeup_timer_.Start(std::chrono::duration_cast<net::Steady::duration>(*wakeup - Now()));
  } else {
    wakeup_timer_.Stop();
  }
}

void JobRunner::RequestRun(const std::string& name) {
  for (decide::JobIndex job = 0; job < jobs_.size(); ++job) {
    if (jobs_[job].spec.name == name) ExecuteActions(scheduler_.RequestRun(job, Now()));
  }
  ScheduleWakeup();
}

std::vector<JobReport> JobRunner::JobReports() const {
  std::vector<JobReport> reports;
  for (decide::JobIndex job = 0; job < jobs_.size(); ++job) {
    reports.push_back({jobs_[job].spec.name, jobs_[job].spec.priority, scheduler_.StatsOf(job, Now())});
  }
  return reports;
}

}  // namespace hingelink::background
