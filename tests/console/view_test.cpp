// What the console shows, without a terminal: texts, rates, sums, and pages of any size.
#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <clocale>

#include "console/compose.h"
#include "console/model.h"
#include "console/text.h"

namespace {

using namespace hingelink::console;
using nlohmann::json;

const bool kLocale = std::setlocale(LC_ALL, "C.UTF-8") != nullptr;

json Snapshot(int pid, std::vector<std::array<int, 5>> classes) {
  json out = {
      {"pid", pid},
      {"name", "n"},
      {"version", "1"},
      {"state", "serving"},
      {"ready", true},
      {"generation", 1},
      {"uptime_ms", 1000},
      {"classes", json::array()},
      {"gateways", json::array()},
      {"totals", {{"owed", 3}, {"connections", 2}, {"gateways", 1}}},
      {"links",
       {{"pool", {{"address", "a"}, {"good", true}}}, {"registry", {{"address", "b"}, {"good", true}}}}},
      {"log", {{"level", "info"}, {"lost", 0}, {"lines", json::array()}}}};
  for (std::size_t i = 0; i < classes.size(); ++i) {
    out["classes"].push_back({{"name", "c" + std::to_string(i)},
                              {"held", classes[i][0]},
                              {"running", classes[i][1]},
                              {"served", classes[i][2]},
                              {"refused", classes[i][3]},
                              {"failed", classes[i][4]}});
  }
  return out;
}

TEST(ConsoleText, IsSafeWhateverComes) {
  ASSERT_TRUE(kLocale);
  EXPECT_TRUE(rc::check([](const std::string& any, bool utf8, std::uint8_t cells) {
    const std::string safe = Safe(any, utf8);
    for (const char c : safe) {
      RC_ASSERT(static_cast<unsigned char>(c) >= 0x20 && c != 0x7f);
      if (!utf8) RC_ASSERT(static_cast<unsigned char>(c) < 0x80);
    }
    RC_ASSERT(Safe(safe, utf8) == safe);
    RC_ASSERT(Cells(Fit(safe, cells)) == cells);
  }));
  EXPECT_EQ(Safe("a\x1b[31m\xff\u009b\u202e", true), "a\\x1b[31m\\xff\\xc2\\x9b");
  EXPECT_EQ(Safe("größe", false), "gr??e");
  EXPECT_EQ(Safe("größe", true), "größe");
  EXPECT_EQ(Fit("表表表", 5), "表表~");
  EXPECT_EQ(Fit("表表表", 4), "表~ ");
  EXPECT_EQ(Fit("12", 5, true), "   12");
  // Overlong forms and halves of pairs are no characters.
  EXPECT_EQ(Safe("\xc0\x9b", true), "\\xc0\\x9b");
  EXPECT_EQ(Safe("\xe0\x82\x9b", true), "\\xe0\\x82\\x9b");
  EXPECT_EQ(Safe("\xed\xa0\x80", true), "\\xed\\xa0\\x80");
}

TEST(ConsoleText, CountsAndSpansAreShort) {
  EXPECT_EQ(Count(0), "0");
  EXPECT_EQ(Count(9999.4), "9999");
  EXPECT_EQ(Count(12'345), "12.3k");
  EXPECT_EQ(Count(99'960), "100k");
  EXPECT_EQ(Count(1'234'567), "1.2M");
  EXPECT_EQ(Span(250), "250 ms");
  EXPECT_EQ(Span(61'000), "1:01");
  EXPECT_EQ(Span(3'723'000), "1:02:03");
  for (double v = 1; v < 1e11; v *= 1.7) EXPECT_LE(Count(v).size(), 5u) << v;
}

TEST(ConsoleModel, RatesAreOfTheLastSecondsAndLevelsAMean) {
  Model model;
  EXPECT_FALSE(model.Show(0).reached);
  for (int i = 0; i <= 40; ++i) model.Take(Snapshot(1, {{i % 2 * 10, 4, 25 * i, 5 * i, i}}), 250.0 * i);
  const View view = model.Show(10'000);
  ASSERT_EQ(view.classes.size(), 1u);
  EXPECT_EQ(view.classes[0].served, 100);
  EXPECT_EQ(view.classes[0].refused, 20);
  EXPECT_EQ(view.classes[0].failed, 4);
  EXPECT_NEAR(static_cast<double>(view.classes[0].held), 5, 1);  // Not 0 and 10 in turn.
  EXPECT_EQ(view.classes[0].running, 4);
  ASSERT_GE(view.classes[0].history.size(), 9u);
  for (const double step : view.classes[0].history) EXPECT_NEAR(step, 100, 1);
}

TEST(ConsoleModel, SumsAgreeWithTheRowsWhateverComes) {
  EXPECT_TRUE(rc::check([](const std::vector<std::array<std::uint16_t, 5>>& growth, std::uint8_t count) {
    Model model;
    std::vector<std::array<int, 5>> totals(1 + count % 7);
    double now = 0;
    for (const auto& g : growth) {
      for (std::size_t c = 0; c < totals.size(); ++c) {
        totals[c][0] = g[0] % 50;
        totals[c][1] = g[1] % 9;
        for (std::size_t i = 2; i < 5; ++i) totals[c][i] += g[i] % 97 * static_cast<int>(c + 1);
      }
      model.Take(Snapshot(1, totals), now += 50 + g[0] % 700);
      const View view = model.Show(now);
      std::int64_t held = 0, running = 0, served = 0, refused = 0, failed = 0;
      for (const Row& row : view.classes) {
        held += row.held;
        running += row.running;
        served += row.served;
        refused += row.refused;
        failed += row.failed;
      }
      RC_ASSERT(held == view.sum.held && running == view.sum.running && served == view.sum.served);
      RC_ASSERT(refused == view.sum.refused && failed == view.sum.failed);
    }
  }));
}

TEST(ConsoleModel, AnotherProcessBeginsAnew) {
  Model model;
  model.Take(Snapshot(1, {{0, 0, 100'000, 0, 0}}), 0);
  model.Take(Snapshot(1, {{0, 0, 100'100, 0, 0}}), 1000);
  model.Take(Snapshot(2, {{0, 0, 7, 0, 0}}), 1500);
  EXPECT_EQ(model.Show(1500).sum.served, 0);
  model.Take(Snapshot(2, {{0, 0, 17, 0, 0}}), 2500);
  EXPECT_EQ(model.Show(2500).sum.served, 10);
}

TEST(ConsoleModel, AClassThatComesLaterCountsFromNothing) {
  Model model;
  model.Take(Snapshot(1, {{0, 0, 10, 0, 0}}), 0);
  model.Take(Snapshot(1, {{0, 0, 20, 0, 0}, {0, 0, 30, 0, 0}}), 1000);
  const View view = model.Show(1000);
  ASSERT_EQ(view.classes.size(), 2u);
  EXPECT_EQ(view.classes[1].served, 30);
}

TEST(ConsolePage, AnyViewFillsAnySizeExactly) {
  EXPECT_TRUE(
      rc::check([](std::uint8_t w, std::uint8_t h, std::uint8_t classes, bool utf8, bool help, bool ask,
                   bool drain, const std::string& name, const std::string& notice, std::uint8_t lines) {
        View view;
        view.reached = classes % 5 != 0;
        view.name = name;
        view.state = drain ? "draining" : "serving";
        for (int i = 0; i < classes % 40; ++i) {
          Row row;
          row.name = name + std::to_string(i);
          row.served = i * 1000;
          row.refused = i % 3;
          row.history.assign(static_cast<std::size_t>(i), i);
          view.classes.push_back(row);
        }
        view.gateways.resize(classes % 17);
        for (int i = 0; i < lines % 40; ++i) view.log.push_back(notice + name);
        if (drain) view.drain = View::Drain{3, 500, 1000};
        for (int i = 0; i < lines % 9; ++i) view.loops.push_back({lines * 1000u, lines / 100.0, i == 3});
        Stand stand;
        stand.utf8 = utf8;
        stand.help = help;
        stand.ask_drain = ask;
        stand.notice = notice;
        stand.filter = static_cast<Filter>(classes % 3);
        const std::size_t width = w, height = h % 70;
        const auto page = Compose(view, stand, width, height);
        RC_ASSERT(page.size() == height);
        for (const Line& line : page) RC_ASSERT(Cells(line.text) == width);
      }));
}

TEST(ConsolePage, TellsOfAnOldPictureAndOfWhatFindsNoPlace) {
  Model model;
  std::vector<std::array<int, 5>> many(30, {1, 1, 1, 1, 1});
  model.Take(Snapshot(1, many), 0);
  std::string all;
  for (const Line& line : Compose(model.Show(5000), {}, 80, 24)) all += line.text + '\n';
  EXPECT_NE(all.find("no word from the node for 5.0 s"), std::string::npos) << all;
  EXPECT_NE(all.find("more, in the sum"), std::string::npos) << all;
}

TEST(ConsolePage, ShowsTheLoopsAndWhichOneHangs) {
  Model model;
  json snapshot = Snapshot(1, {{1, 1, 1, 1, 1}});
  snapshot["loops"] = {{{"connections", 12}, {"busy", 0.34}, {"hung", false}},
                       {{"connections", 7}, {"busy", 0.0}, {"hung", true}}};
  model.Take(snapshot, 0);
  const auto lines = Compose(model.Show(0), {}, 80, 24);
  const auto shown = std::find_if(lines.begin(), lines.end(), [](const Line& line) {
    return line.text.find("loops  12 at 34%  7 at HANGS") != std::string::npos;
  });
  ASSERT_NE(shown, lines.end());
  EXPECT_EQ(shown->style, Style::kBad);
}

TEST(ConsolePage, ShowsTheMembersThatNeedALookFirst) {
  Model model;
  json snapshot = Snapshot(1, {{1, 1, 1, 1, 1}});
  snapshot["fleet"] = {{"alive", 40}, {"suspect", 1}, {"gone", 1}, {"cut_off", true}, {"linked", true}};
  json members = {{"members", json::array()}};
  for (int i = 0; i < 40; ++i) {
    members["members"].push_back({{"name", "n" + std::to_string(100 + i)},
                                  {"address", "127.0.0.1:7946"},
                                  {"state", i == 37   ? "suspect"
                                            : i == 38 ? "gone"
                                                      : "alive"},
                                  {"phase", "serving"},
                                  {"zone", i == 36 ? "\x1b[2J" : "a"},
                                  {"held", i == 39},
                                  {"heard_ms", i == 39 ? 61'000 : 300}});
  }
  model.Take(snapshot, 0);
  model.TakeMembers(members);
  Stand stand;
  stand.members = true;
  std::vector<std::string> shown;
  std::string all;
  for (const Line& line : Compose(model.Show(0), stand, 80, 24)) {
    all += line.text + '\n';
    if (line.text.starts_with(" n1")) shown.push_back(line.text);
    EXPECT_EQ(Cells(line.text), 80u);
    EXPECT_EQ(line.text.find('\x1b'), std::string::npos);
  }
  ASSERT_GT(shown.size(), 5u) << all;
  EXPECT_NE(shown[0].find("n139            HELD     1:01"), std::string::npos) << all;
  EXPECT_NE(shown[1].find("n137            suspect  300 ms"), std::string::npos) << all;
  EXPECT_NE(shown[2].find("n138            gone"), std::string::npos) << all;
  EXPECT_NE(all.find("more; hingelink fleet members has all"), std::string::npos) << all;
  EXPECT_EQ(all.find("class "), std::string::npos);
}

}  // namespace
