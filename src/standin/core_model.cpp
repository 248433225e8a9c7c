#include "standin/core_model.h"

#include <algorithm>
#include <cmath>

namespace hingelink::standin {
namespace {

constexpr double kBusyOverMs = 250;
// Work that is left because sums of doubles are not exact.
constexpr double kAlmost = 1e-6;

}  // namespace

double CoreModel::Rate() const {
  const double runs = static_cast<double>(by_run_.size());
  if (runs == 0) return 0;
  const double warming_up = now_ < cores_.cold_for ? cores_.warm_up_speed_fraction : 1;
  const double crowd = runs > cores_.crowd_at * cores_.count ? cores_.crowd_share : 1;
  return pace_ * cores_.speed * warming_up * crowd * std::min(1.0, cores_.count / runs);
}

void CoreModel::Pass(Millis now) {
  const auto pass = [this](Millis to) {
    if (to <= now_) return;
    const double span = (to - now_).count();
    const double fade = std::exp(-span / kBusyOverMs);
    busy_ = fade * busy_ + (1 - fade) * std::min(1.0, static_cast<double>(by_run_.size()) / cores_.count);
    done_ += span * Rate();
    now_ = to;
  };
  // The speed changes when the machine is warm.
  if (now_ < cores_.cold_for) pass(std::min(now, cores_.cold_for));
  pass(now);
}

void CoreModel::Start(std::uint64_t run, Millis work, Millis now) {
  Pass(now);
  const auto [it, fresh] = by_run_.emplace(run, done_ + std::max(0.0, work.count()));
  if (fresh) by_end_.emplace(it->second, run);
}

bool CoreModel::Cancel(std::uint64_t run, Millis now) {
  Pass(now);
  const auto it = by_run_.find(run);
  if (it == by_run_.end()) return false;
  by_end_.erase({it->second, run});
  by_run_.erase(it);
  return true;
}

std::vector<std::uint64_t> CoreModel::TakeEnded(Millis now) {
  std::vector<std::uint64_t> ended;
  // End by end: each that ends leaves more of the cores to the others.
  while (!by_end_.empty()) {
    const auto next = NextEnd(now_);
    if (!next || *next > now) break;
    Pass(std::max(*next, now_));
    const auto first = by_end_.begin();
    done_ = std::max(done_, first->first);
    ended.push_back(first->second);
    by_run_.erase(first->second);
    by_end_.erase(first);
  }
  Pass(now);
  return ended;
}

std::optional<Millis> CoreModel::NextEnd(Millis now) {
  Pass(now);
  if (by_end_.empty()) return std::nullopt;
  double left = by_end_.begin()->first - done_;
  if (left <= kAlmost) return now_;
  Millis at = now_;
  double rate = Rate();
  if (rate <= 0) return std::nullopt;
  if (now_ < cores_.cold_for) {
    const double before_warm = (cores_.cold_for - now_).count() * rate;
    if (left > before_warm) {
      left -= before_warm;
      at = cores_.cold_for;
      rate /= cores_.warm_up_speed_fraction > 0 ? cores_.warm_up_speed_fraction : 1;
    }
  }
  return at + Millis(left / rate);
}

void CoreModel::SetPace(double pace, Millis now) {
  Pass(now);
  pace_ = pace;
}

double CoreModel::Busy(Millis now) {
  Pass(now);
  return busy_;
}

}  // namespace hingelink::standin
