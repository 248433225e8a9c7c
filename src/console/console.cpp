#include "console/console.h"

#include <langinfo.h>
#include <ncurses.h>
#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <clocale>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "console/compose.h"
#include "console/model.h"
#include "console/text.h"
#include "control/client.h"

namespace hingelink::console {
namespace {

using namespace std::chrono_literals;
using Clock = std::chrono::steady_clock;

// Between two drawings, whatever asks for them: a storm of new sizes, keys held down.
constexpr auto kDrawEach = 100ms;
constexpr auto kMembersEach = 1s;
constexpr auto kConnectAgain = 500ms;
constexpr auto kNoticeFor = 5s;

double Ms(Clock::time_point at) {
  return std::chrono::duration<double, std::milli>(at.time_since_epoch()).count();
}

bool Utf8() { return std::strcmp(nl_langinfo(CODESET), "UTF-8") == 0; }

// The connection to a node, made again as long as there is none.
class Watch {
 public:
  explicit Watch(const Options& options) : options_(options) {}

  // Takes what has come. True where something changed.
  bool Take(Model& model, std::string& why) {
    try {
      if (!client_) {
        if (Clock::now() < again_) return false;
        again_ = Clock::now() + kConnectAgain;
        client_.emplace(options_.socket);
        client_->SendRequest("watch", {{"every_ms", options_.every.count()}});
      }
      bool taken = false;
      while (auto snapshot = client_->ReadResult(0ms)) {
        taken = true;
        handed_over_ = snapshot->value("state", "") == "handed-over";
        model.Take(*snapshot, Ms(Clock::now()));
      }
      if (taken) why.clear();
      // The successor answers at the same place by now, or soon.
      if (taken && handed_over_) Leave();
      return taken;
    } catch (const control::RequestError& fault) {
      why = fault.what();
      Leave();
      return true;
    } catch (const control::UnreachableError& gone) {
      why = gone.what();
      Leave();
      return true;
    }
  }
  int fd() const { return client_ ? client_->fd() : -1; }

 private:
  void Leave() {
    client_.reset();
    again_ = Clock::now() + kConnectAgain;
  }

  const Options& options_;
  std::optional<control::Client> client_;
  Clock::time_point again_{};
  bool handed_over_ = false;
};

// Tells the appliance, or else the node, to drain. What came of it, in words.
std::string Drain(const Options& options) {
  for (const std::string& path : {options.supervisor, options.socket}) {
    if (path.empty()) continue;
    try {
      const nlohmann::json result = control::Client(path).Call("drain");
      return result.value("already", false) ? "already draining" : "drain begins";
    } catch (const control::RequestError& fault) {
      return std::string("not drained: ") + fault.what();
    } catch (const control::UnreachableError&) {
      continue;
    }
  }
  return "not drained: nobody answers";
}

// What is wrong, or nothing.
std::string TakeMembers(const Options& options, Model& model) {
  try {
    model.TakeMembers(control::Client(options.socket).Call("members", nlohmann::json::object(), 500ms));
  } catch (const std::exception& fault) {
    return fault.what();
  }
  return {};
}

int Once(const Options& options) {
  Model model;
  try {
    control::Client client(options.socket);
    model.Take(client.Call("status"), Ms(Clock::now()));
    std::this_thread::sleep_for(options.every);
    model.Take(client.Call("status"), Ms(Clock::now()));
  } catch (const std::exception& fault) {
    std::fprintf(stderr, "hingelink: %s\n", fault.what());
    return 1;
  }
  Stand stand;
  stand.utf8 = Utf8();
  const View view = model.Show(Ms(Clock::now()));
  std::vector<Line> lines = Compose(view, stand, 100, 16 + view.classes.size() + view.gateways.size());
  lines.pop_back();  // The keys.
  while (!lines.empty() && lines.back().text.find_first_not_of(' ') == std::string::npos) lines.pop_back();
  for (const Line& line : lines)
    std::printf("%s\n", line.text.substr(0, line.text.find_last_not_of(' ') + 1).c_str());
  return 0;
}

// Without a terminal that can place text: a line for each second.
int Plain(const Options& options) {
  Model model;
  Watch watch(options);
  std::string why, said;
  Clock::time_point next = Clock::now();
  while (!options.ended || !options.ended()) {
    pollfd ready{watch.fd(), POLLIN, 0};
    poll(&ready, ready.fd >= 0 ? 1 : 0, 200);
    watch.Take(model, why);
    if (!why.empty() && why != std::exchange(said, why)) std::printf("%s\n", why.c_str());
    if (Clock::now() < next) continue;
    next = Clock::now() + 1s;
    const View view = model.Show(Ms(Clock::now()));
    if (!view.reached) continue;
    std::printf("%s %s held=%lld running=%lld served/s=%lld refused/s=%lld failed/s=%lld owed=%llu",
                view.name.c_str(), view.state.c_str(), static_cast<long long>(view.sum.held),
                static_cast<long long>(view.sum.running), static_cast<long long>(view.sum.served),
                static_cast<long long>(view.sum.refused), static_cast<long long>(view.sum.failed),
                static_cast<unsigned long long>(view.owed));
    if (view.drain) std::printf(" drain_left_ms=%.0f", view.drain->left_ms);
    std::printf("\n");
    if (std::fflush(stdout) != 0) return 1;  // Nobody reads any more.
  }
  return 0;
}

class Terminal {
 public:
  Terminal() {
    screen_ = newterm(nullptr, stdout, stdin);
    if (screen_ == nullptr) return;
    cbreak();
    noecho();
    keypad(stdscr, TRUE);
    nodelay(stdscr, TRUE);
    curs_set(0);
    if (has_colors()) {
      start_color();
      use_default_colors();
      init_pair(1, COLOR_GREEN, -1);
      init_pair(2, COLOR_YELLOW, -1);
      init_pair(3, COLOR_RED, -1);
    }
  }
  ~Terminal() {
    if (screen_ == nullptr) return;
    endwin();
    delscreen(screen_);
  }
  Terminal(const Terminal&) = delete;
  Terminal& operator=(const Terminal&) = delete;
  bool good() const { return screen_ != nullptr; }

  void Draw(const std::vector<Line>& lines) {
    erase();
    for (std::size_t i = 0; i < lines.size(); ++i) {
      const int style = StyleOf(lines[i].style);
      attrset(style);
      mvaddstr(static_cast<int>(i), 0, lines[i].text.c_str());
    }
    attrset(A_NORMAL);
    refresh();  // Sends the cells that differ.
  }

 private:
  static int StyleOf(Style style) {
    switch (style) {
      case Style::kTitle:
        return A_REVERSE | A_BOLD;
      case Style::kKeys:
        return A_REVERSE;
      case Style::kHead:
        return A_BOLD;
      case Style::kDim:
        return A_DIM;
      case Style::kGood:
        return COLOR_PAIR(1);
      case Style::kWarn:
        return COLOR_PAIR(2);
      case Style::kBad:
        return COLOR_PAIR(3) | A_BOLD;
      case Style::kPlain:
        break;
    }
    return A_NORMAL;
  }

  SCREEN* screen_ = nullptr;
};

int Full(const Options& options) {
  Terminal terminal;
  if (!terminal.good()) return Plain(options);
  Model model;
  Watch watch(options);
  Stand stand;
  stand.utf8 = Utf8();
  std::string why;
  std::string said;
  Clock::time_point said_until{}, drawn{}, asked{};
  std::optional<View> held_still;
  bool dirty = true;
  for (;;) {
    if (options.ended && options.ended()) return 0;
    pollfd ready[2] = {{STDIN_FILENO, POLLIN, 0}, {watch.fd(), POLLIN, 0}};
    const auto wait = dirty ? kDrawEach : 250ms;
    poll(ready, ready[1].fd >= 0 ? 2 : 1, static_cast<int>(wait.count()));
    // The terminal has gone.
    if ((ready[0].revents & (POLLHUP | POLLERR | POLLNVAL)) != 0) return 0;
    for (int key; (key = getch()) != ERR;) {
      dirty = true;
      if (stand.ask_drain) {
        stand.ask_drain = false;
        if (key == 'y' || key == 'Y') {
          said = Drain(options);
          said_until = Clock::now() + kNoticeFor;
        }
        continue;
      }
      if (key == 'q' || key == 'Q') return 0;
      if (key == 'd') stand.ask_drain = stand.can_drain;
      if (key == 'h' || key == '?') stand.help = !stand.help;
      if (key == 'm') {
        stand.members = !stand.members;
        asked = {};
      }
      if (key == 'f') stand.filter = static_cast<Filter>((static_cast<int>(stand.filter) + 1) % 3);
      if (key == 'p') {
        stand.paused = !stand.paused;
        held_still.reset();
        if (stand.paused) held_still = model.Show(Ms(Clock::now()));
      }
    }
    dirty = watch.Take(model, why) || dirty;
    const Clock::time_point now = Clock::now();
    if (stand.members && !stand.paused && now - asked >= kMembersEach) {
      asked = now;
      if (const std::string wrong = TakeMembers(options, model); !wrong.empty() && why.empty()) {
        said = wrong;
        said_until = now + kMembersEach;
      }
      dirty = true;
    }
    if (!said.empty() && now >= said_until) {
      said.clear();
      dirty = true;
    }
    stand.notice = !said.empty() ? said : why;
    if ((!dirty && now - drawn < 1s) || now - drawn < kDrawEach) continue;
    const View view = held_still ? *held_still : model.Show(Ms(now));
    terminal.Draw(Compose(view, stand, static_cast<std::size_t>(std::max(0, COLS)),
                          static_cast<std::size_t>(std::max(0, LINES))));
    drawn = now;
    dirty = false;
  }
}

}  // namespace

int Run(const Options& options) {
  std::setlocale(LC_ALL, "");
  if (options.once) return Once(options);
  const char* term = std::getenv("TERM");
  const bool dumb = term == nullptr || *term == '\0' || std::strcmp(term, "dumb") == 0;
  if (dumb || isatty(STDIN_FILENO) == 0 || isatty(STDOUT_FILENO) == 0) return Plain(options);
  return Full(options);
}

}  // namespace hingelink::console
