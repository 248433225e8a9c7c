// Tests of LoadSignal, the back-pressure value that callers receive.
#include "policy/load_signal.h"

#include <gtest/gtest.h>

#include <cstdint>
#include <variant>
#include <vector>

#include "policy_host.h"

namespace hingelink {
namespace {

using policy::LoadSignal;

// Callers apply the signal to the requests of all tenants, so one tenant above its quota must not raise it
// much.
TEST(LoadSignal, RejectionsOverQuotaHardlyRaiseTheSignal) {
  const auto signal_of = [](double quota) {
    Settings settings = TestSettings();
    settings.load_signal = LoadSignalKind::kThreshold;
    settings.load_signal_lifetime_ms = 1000;
    settings.tenants = {{"a", 0.5, quota}, {"b", 0.5, quota}};
    settings.over_quota_weight_fraction = 0.05;
    PolicyHost host(settings);
    for (RequestId id = 1; id <= 600; ++id) {
      host.cpu_busy = 1;
      host.runnable = 4;
      host.AdvanceTo(host.now + 10);
      Arrival arrival = host.MakeArrival(id);
      arrival.tenant = 0;
      host.Step({arrival});
    }
    EXPECT_GT(host.rejections.size(), 100u);
    return host.published_signal;
  };
  EXPECT_GT(signal_of(1e6), 0.3);
  EXPECT_LT(signal_of(0.001), 0.1);
}

TEST(LoadSignal, WindowOfManyCallersIsBelowOneRequest) {
  Settings settings = TestSettings();
  settings.load_signal = LoadSignalKind::kWindow;
  settings.load_signal_lifetime_ms = 1000;
  settings.callers = 1000;
  ServerPolicy policy(settings, 1);
  std::vector<Event> events;
  double value = -1;
  std::uint32_t token = 0;
  for (int at = 0; at <= 2000; at += 100) {
    for (const Action& action : policy.Step(at, events)) {
      if (const auto* publish = std::get_if<PublishLoadSignal>(&action)) value = publish->value;
      if (const auto* timer = std::get_if<SetTimer>(&action)) token = timer->token;
    }
    events = {TimerFired{token, {0.5, 1}}};
  }
  EXPECT_GT(value, 0);
  EXPECT_LT(value, 0.1);
}

Settings SignalSettings(LoadSignalKind kind) {
  Settings settings = TestSettings();
  settings.load_signal = kind;
  settings.load_signal_lifetime_ms = 1000;
  return settings;
}

TEST(LoadSignal, NoSignalIsPublishedForKindNone) {
  const Settings settings = SignalSettings(LoadSignalKind::kNone);
  LoadSignal signal(settings);
  EXPECT_FALSE(signal.OnSample(0, 1, 1, true));
}

TEST(LoadSignal, SignalIsUpdatedFourTimesPerLifetime) {
  const Settings settings = SignalSettings(LoadSignalKind::kThreshold);
  LoadSignal signal(settings);
  EXPECT_TRUE(signal.OnSample(0, 1, 0, false));
  EXPECT_FALSE(signal.OnSample(249, 1, 0, false));
  EXPECT_TRUE(signal.OnSample(250, 1, 0, false));
}

TEST(LoadSignal, SignalRisesWithRejectionsAndFallsWhileCoresAreIdle) {
  const Settings settings = SignalSettings(LoadSignalKind::kThreshold);
  LoadSignal signal(settings);
  // 0.25 s x 0.4 per second x 0.5 above the tolerated fraction of 0.02.
  EXPECT_DOUBLE_EQ(signal.OnSample(0, 1, 0.52, false).value(), 0.05);
  // 0.25 s x 0.5 per second x 0.2 below the busy fraction of 0.9.
  EXPECT_DOUBLE_EQ(signal.OnSample(250, 0.7, 0.52, false).value(), 0.025);
}

TEST(LoadSignal, StallRaisesTheSignalToTheMaximum) {
  const Settings settings = SignalSettings(LoadSignalKind::kThreshold);
  LoadSignal signal(settings);
  EXPECT_DOUBLE_EQ(signal.OnSample(0, 1, 0, true).value(), 0.9);
}

TEST(LoadSignal, AcceptProbabilityIsTheComplementOfThePressure) {
  const Settings settings = SignalSettings(LoadSignalKind::kAcceptProbability);
  LoadSignal signal(settings);
  EXPECT_DOUBLE_EQ(signal.OnSample(0, 1, 0.52, false).value(), 0.95);
}

}  // namespace
}  // namespace hingelink
