#include "background/job_runner.h"

#include <sys/eventfd.h>
#include <time.h>
#include <unistd.h>

#include <atomic>
#include <condition_variable>
#include <csignal>
#include <mutex>
#include <optional>
#include <stdexcept>
#include <utility>

#include "log/log.h"

namespace hingelink::background {
namespace {

using namespace std::chrono_literals;

// Between looks at the node: a drain has at least half a second.
constexpr auto kSee = 100ms;

std::vector<decide::JobSpec> Specs(const std::vector<Job>& jobs) {
  std::vector<decide::JobSpec> specs;
  for (const Job& job : jobs) specs.push_back(job.spec);
  return specs;
}

decide::JobTime ThreadCpu() {
  timespec spent{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &spent);
  return std::chrono::seconds(spent.tv_sec) + std::chrono::nanoseconds(spent.tv_nsec);
}

}  // namespace

// Outlives the runner where a call hangs.
struct JobRunner::Shared {
  struct Done {
    decide::JobIndex job = 0;
    JobResult result;
    decide::JobTime cpu{0};
  };
  std::mutex mutex;
  std::condition_variable changed;
  std::optional<std::pair<decide::JobIndex, JobFunction>> next;
  std::optional<Done> done;
  bool stop = false;
  std::atomic<bool> cancelled{false};
  net::Descriptor wake{eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)};

  static void Run(const std::shared_ptr<Shared>& self) {
    pthread_setname_np(pthread_self(), "background");
    for (;;) {
      std::pair<decide::JobIndex, JobFunction> task;
      {
        std::unique_lock lock(self->mutex);
        self->changed.wait(lock, [&] { return self->stop || self->next; });
        if (!self->next) return;
        task = std::move(*std::exchange(self->next, std::nullopt));
      }
      Done done{task.first, {}, {}};
      const decide::JobTime before = ThreadCpu();
      try {
        done.result = task.second(self->cancelled);
      } catch (const std::exception& fault) {
        done.result = {false, 0, fault.what()};
      }
      done.cpu = ThreadCpu() - before;
      task.second = {};
      {
        const std::lock_guard lock(self->mutex);
        self->done = std::move(done);
      }
      self->changed.notify_all();
      const std::uint64_t one = 1;
      (void)!write(self->wake.get(), &one, sizeof one);
    }
  }
};

JobRunner::JobRunner(event_base* base, const decide::JobSchedulerOptions& options, std::vector<Job> jobs,
                     NodeConditions conditions)
    : jobs_(std::move(jobs)),
      conditions_(std::move(conditions)),
      scheduler_(options, Specs(jobs_), Now()),
      shared_(std::make_shared<Shared>()),
      finished_event_(event_new(
          base, shared_->wake.get(), EV_READ | EV_PERSIST,
          [](evutil_socket_t fd, short, void* self) {
            std::uint64_t count = 0;
            (void)!read(fd, &count, sizeof count);
            static_cast<JobRunner*>(self)->OnJobFinished();
          },
          this)),
      wakeup_timer_(base,
                    [this] {
                      ExecuteActions(scheduler_.Advance(Now()));
                      SetTimer();
                    }),
      poll_timer_(base, [this] { PollConditions(); }) {
  if (!finished_event_) throw std::runtime_error("libevent: no event");
  event_add(finished_event_.get(), nullptr);
  poll_timer_.After(kSee);
  SetTimer();
  // Signals are the loop's.
  sigset_t all, before;
  sigfillset(&all);
  pthread_sigmask(SIG_SETMASK, &all, &before);
  thread_ = std::thread([shared = shared_] { Shared::Run(shared); });
  pthread_sigmask(SIG_SETMASK, &before, nullptr);
}

JobRunner::~JobRunner() { Finish(1s); }

void JobRunner::Finish(std::chrono::milliseconds at_most) {
  if (std::exchange(finished_, true)) return;
  const net::Steady::time_point until = net::Steady::now() + at_most;
  ExecuteActions(scheduler_.BeginDrain(Now()));
  while (!scheduler_.drained()) {
    {
      std::unique_lock lock(shared_->mutex);
      if (!shared_->changed.wait_until(lock, until, [this] { return shared_->done.has_value(); })) break;
    }
    OnJobFinished();
  }
  {
    const std::lock_guard lock(shared_->mutex);
    shared_->stop = true;
  }
  shared_->changed.notify_all();
  if (scheduler_.idle()) {
    thread_.join();
  } else {
    // Guards the end of the process against a disk that hangs.
    log::Warn("background-left-behind");
    thread_.detach();
  }
}

void JobRunner::ExecuteActions(const decide::JobActions& actions) {
  for (const decide::JobAction& action : actions) {
    if (const auto* start = std::get_if<decide::StartJob>(&action)) {
      shared_->cancelled = false;
      JobFunction work = jobs_[start->job].prepare(start->final_run);
      {
        const std::lock_guard lock(shared_->mutex);
        shared_->next.emplace(start->job, std::move(work));
      }
      shared_->changed.notify_all();
    } else if (std::holds_alternative<decide::CancelJob>(action)) {
      shared_->cancelled = true;
    } else {
      log::Warn("background-stuck", {{"job", jobs_[std::get<decide::ReportHungJob>(action).job].spec.name}});
    }
  }
}

void JobRunner::OnJobFinished() {
  std::optional<Shared::Done> done;
  {
    const std::lock_guard lock(shared_->mutex);
    done = std::exchange(shared_->done, std::nullopt);
  }
  if (!done) return;
  if (!done->result.succeeded) {
    log::Warn("background-failed", {{"job", jobs_[done->job].spec.name}, {"what", done->result.error}});
  }
  ExecuteActions(scheduler_.OnJobFinished(
      done->job, {done->result.succeeded, {done->cpu, done->result.bytes_written}}, Now()));
  SetTimer();
}

void JobRunner::PollConditions() {
  poll_timer_.After(kSee);
  ExecuteActions(conditions_.draining() ? scheduler_.BeginDrain(Now())
                                        : scheduler_.SetOverloaded(conditions_.under_pressure(), Now()));
  SetTimer();
}

void JobRunner::SetTimer() {
  if (const auto next = scheduler_.NextWakeup(Now())) {
    wakeup_timer_.After(std::chrono::duration_cast<net::Steady::duration>(*next - Now()));
  } else {
    wakeup_timer_.Stop();
  }
}

void JobRunner::RequestRun(const std::string& name) {
  for (decide::JobIndex i = 0; i < jobs_.size(); ++i) {
    if (jobs_[i].spec.name == name) ExecuteActions(scheduler_.RequestRun(i, Now()));
  }
  SetTimer();
}

std::vector<JobReport> JobRunner::JobReports() const {
  std::vector<JobReport> looks;
  for (decide::JobIndex i = 0; i < jobs_.size(); ++i) {
    looks.push_back({jobs_[i].spec.name, jobs_[i].spec.priority, scheduler_.StatsOf(i, Now())});
  }
  return looks;
}

}  // namespace hingelink::background
