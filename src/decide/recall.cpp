#include "decide/recall.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace hingelink::decide {
namespace {

// ms; no run lasts a day, as no caller waits for one.
constexpr double kLongestRun = 86'400'000;

bool InRange(double value, double least, double most) {
  return std::isfinite(value) && value >= least && value <= most;
}

}  // namespace

Remembered Remember(const std::string& site, std::chrono::milliseconds now,
                    const hingelink::Settings& settings, hingelink::Learned learned) {
  Remembered remembered{site, now, settings.cores, {}, std::move(learned)};
  for (const hingelink::RequestClass& c : settings.classes) {
    remembered.told.push_back({c.name, c.latency_objective_ms, c.deadline_ms});
  }
  return remembered;
}

std::string Implausible(const hingelink::LearnedClass& learned) {
  if (learned.name.empty()) return "a class without a name";
  if (!InRange(learned.run_ms, 0, kLongestRun)) return "run_ms is no time of a run";
  if (!InRange(learned.core_time_ms, 0, kLongestRun)) return "cost_ms is no time of a run";
  // Rounding apart: both are means with the same weights.
  if (learned.core_time_ms > learned.run_ms * 1.000001 + 1e-6)
    return "cost_ms is more than run_ms, of which it is a part";
  if (!InRange(learned.expected_work_ms, 0, kLongestRun)) return "hint_ms is no time of a run";
  if (learned.samples < 1) return "no samples";
  return {};
}

Recalled Recall(const Remembered& remembered, const std::string& site, std::chrono::milliseconds now,
                const hingelink::Settings& settings, const RecallOptions& options) {
  Recalled recalled;
  if (remembered.site != site) {
    recalled.left_out.push_back("all: learned by \"" + remembered.site + "\", and this is \"" + site + "\"");
    return recalled;
  }
  auto age = now - remembered.at;
  if (age < std::chrono::milliseconds(0)) {
    recalled.left_out.push_back("its date: it lies ahead of the clock, so it counts as old");
    age = options.undated;
  }
  recalled.faith =
      std::exp2(-std::chrono::duration<double>(age) / std::chrono::duration<double>(options.half_life));
  for (const hingelink::LearnedClass& one : remembered.learned.classes) {
    const auto leave_out = [&](const std::string& why) {
      recalled.left_out.push_back(one.name + ": " + why);
    };
    if (const std::string wrong = Implausible(one); !wrong.empty()) {
      leave_out(wrong);
      continue;
    }
    const auto told = std::find_if(remembered.told.begin(), remembered.told.end(),
                                   [&one](const ClassTold& t) { return t.name == one.name; });
    const auto is = std::find_if(settings.classes.begin(), settings.classes.end(),
                                 [&one](const hingelink::RequestClass& c) { return c.name == one.name; });
    if (is == settings.classes.end()) {
      leave_out("there is no such class now");
      continue;
    }
    if (told == remembered.told.end() ||
        *told != ClassTold{is->name, is->latency_objective_ms, is->deadline_ms}) {
      leave_out("it was told otherwise then");
      continue;
    }
    hingelink::LearnedClass taken = one;
    taken.samples =
        static_cast<int>(std::lround(std::min(taken.samples, options.most_samples) * recalled.faith));
    if (taken.samples < 1) {
      leave_out("too old, or seen too seldom");
      continue;
    }
    recalled.learned.classes.push_back(std::move(taken));
    ++recalled.classes;
  }
  return recalled;
}

}  // namespace hingelink::decide
