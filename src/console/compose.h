// A screen as lines of text with a style each: what the console draws, and what `--once` prints.
#ifndef HINGELINK_CONSOLE_COMPOSE_H_
#define HINGELINK_CONSOLE_COMPOSE_H_

#include <cstddef>
#include <string>
#include <vector>

#include "console/model.h"

namespace hingelink::console {

enum class Style { kPlain, kTitle, kGood, kWarn, kBad, kDim, kHead, kKeys };

struct Line {
  std::string text;  // Safe, and exactly as wide as asked for.
  Style style = Style::kPlain;
};

enum class Filter { kAll, kBusy, kTrouble };  // Classes shown: all; with work in hand; refused or failed.
const char* FilterName(Filter filter);

// What the operator has chosen, and what the console itself has to say.
struct Stand {
  bool utf8 = false;
  bool paused = false;
  bool help = false;
  bool members = false;    // The page of the other nodes.
  bool ask_drain = false;  // The question is on the screen.
  Filter filter = Filter::kAll;
  std::string notice;  // One line: what a command came to, or why there is no node.
  bool can_drain = true;
};

inline constexpr std::size_t kLeastWidth = 40, kLeastHeight = 10;

// Exactly `height` lines of `width` cells.
std::vector<Line> Compose(const View& view, const Stand& stand, std::size_t width, std::size_t height);

}  // namespace hingelink::console

#endif  // HINGELINK_CONSOLE_COMPOSE_H_
