#include "cli/sample_config.h"

#include <cstdio>

namespace hingelink::cli {

using Json = nlohmann::ordered_json;

Json SampleConfig(const Sample& sample) {
  char seed[24];
  std::snprintf(seed, sizeof seed, "%016llx", static_cast<unsigned long long>(sample.seed));
  const auto cls = [](const char* name, double goal, double limit, const char* repeat, double worth) {
    return Json{
        {"name", name}, {"goalTimeMs", goal}, {"hardLimitMs", limit}, {"repeat", repeat}, {"worth", worth}};
  };
  Json settings = {{"requestClasses", Json::array({cls("usage-view", 500, 1200, "safe", 1),
                                                   cls("settings-save", 700, 1600, "safe", 2),
                                                   cls("order-lodge", 700, 1600, "unsafe", 5)})},
                   {"quantumMs", 4.0},
                   {"tenants", Json::array()},
                   {"limits", {{"retryAfter", true}, {"maxRetryAfterMs", 1000.0}}},
                   {"rules",
                    {{"answerSlackMs", 100.0},
                     {"drainGraceMs", 2500.0},
                     {"fallMs", 1500.0},
                     {"fallMultiple", 8.0},
                     {"coldFrom", 0.5},
                     {"coldMs", 2000.0}}},
                   {"specifics",
                    {{"cpus", sample.cores},
                     {"memoryKb", 40'000.0},
                     {"runFactor", 4.0},
                     {"signal", "silent"},
                     {"heardForMs", 100.0},
                     {"idleMs", 30'000.0},
                     {"passesDeadline", true},
                     {"tellsGone", true},
                     {"clientsTotal", sample.gateways},
                     {"dependsOn", "silent"},
                     {"freshMs", 0.0},
                     {"keyKb", 1.0},
                     {"gauges", {"cpu_busy", "runnable", "mem_used", "sockets"}}}}};
  return {{"name", sample.name},
          {"listen", sample.listen},
          {"pool", sample.pool},
          {"registry", sample.registry},
          {"seed", seed},
          {"stop_ms", sample.stop_ms},
          {"limits", {{"cores", 1.0}, {"memory_mb", 64}, {"sockets", 1024}}},
          {"settings", std::move(settings)}};
}

std::vector<standin::ClassLoad> SampleLoad() {
  using standin::Millis;
  const auto load = [](const char* name, double share, double work, double timeout, bool repeats) {
    standin::ClassLoad c;
    c.name = name;
    c.share = share;
    c.work = Millis(work);
    c.timeout = Millis(timeout);
    c.repeats = repeats;
    return c;
  };
  return {load("usage-view", 0.36, 30, 1200, true), load("settings-save", 0.34, 40, 1600, true),
          load("order-lodge", 0.30, 40, 1600, false)};
}

double SampleCapacity(int cores) {
  double mean = 0;
  for (const standin::ClassLoad& c : SampleLoad()) mean += c.share * c.work.count();
  return cores * 1000.0 / mean;
}

}  // namespace hingelink::cli
