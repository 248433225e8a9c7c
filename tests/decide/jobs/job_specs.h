// Creates job specifications from times in milliseconds, for tests of decide::JobScheduler.
#ifndef HINGELINK_TESTS_DECIDE_JOBS_JOB_SPECS_H_
#define HINGELINK_TESTS_DECIDE_JOBS_JOB_SPECS_H_

#include "decide/jobs/job_scheduler.h"

namespace hingelink::decide {

inline JobTime Ms(double milliseconds) { return JobTime(milliseconds); }

inline JobSpec Spec(const char* name, int priority, double period, double cpu = 1, double bytes = 0,
                    bool final_run = false) {
  JobSpec spec;
  spec.name = name;
  spec.priority = priority;
  spec.period = Ms(period);
  spec.expected_cpu = Ms(cpu);
  spec.expected_bytes = bytes;
  spec.run_on_drain = final_run;
  return spec;
}

}  // namespace hingelink::decide

#endif  // HINGELINK_TESTS_DECIDE_JOBS_JOB_SPECS_H_
