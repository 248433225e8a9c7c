#include "console/text.h"

#include <wchar.h>

#include <cmath>
#include <cstdint>
#include <cstdio>

#include "log/log.h"

namespace hingelink::console {
namespace {

// Takes one character of a safe text off the front.
wchar_t TakeCharacter(std::string_view& text) {
  const auto first = static_cast<unsigned char>(text[0]);
  const std::size_t size = first < 0x80 ? 1 : first < 0xe0 ? 2 : first < 0xf0 ? 3 : 4;
  std::uint32_t value = size == 1 ? first : first & (0xff >> (size + 1));
  for (std::size_t i = 1; i < size && i < text.size(); ++i) {
    value = value << 6 | (static_cast<unsigned char>(text[i]) & 0x3f);
  }
  text.remove_prefix(std::min(size, text.size()));
  return static_cast<wchar_t>(value);
}

std::size_t CellsOf(wchar_t character) {
  const int cells = wcwidth(character);
  return cells < 0 ? 1 : static_cast<std::size_t>(cells);
}

}  // namespace

std::string Safe(std::string_view text, bool utf8) {
  const std::string printable = log::Printable(text);
  std::string out;
  for (std::string_view rest = printable; !rest.empty();) {
    const std::string_view before = rest;
    const wchar_t character = TakeCharacter(rest);
    const std::string_view bytes = before.substr(0, before.size() - rest.size());
    // Characters without a width of their own (joiners, marks that turn the direction) are left out: they
    // would change what stands beside them.
    if (character < 0x80) {
      out.append(bytes);
    } else if (!utf8 || wcwidth(character) < 0) {
      out += '?';
    } else if (wcwidth(character) > 0) {
      out.append(bytes);
    }
  }
  return out;
}

std::size_t Cells(std::string_view text) {
  std::size_t cells = 0;
  while (!text.empty()) cells += CellsOf(TakeCharacter(text));
  return cells;
}

std::string Fit(std::string_view text, std::size_t cells, bool right) {
  const std::size_t wide = Cells(text);
  if (wide <= cells) {
    const std::string fill(cells - wide, ' ');
    return right ? fill + std::string(text) : std::string(text) + fill;
  }
  if (cells == 0) return {};
  std::string out;
  std::size_t used = 0;
  for (std::string_view rest = text; !rest.empty();) {
    const std::string_view before = rest;
    const std::size_t more = CellsOf(TakeCharacter(rest));
    if (used + more > cells - 1) break;
    out.append(before.substr(0, before.size() - rest.size()));
    used += more;
  }
  out += '~';
  return out + std::string(cells - used - 1, ' ');
}

std::string Count(double value) {
  char text[32];
  const double whole = std::round(value);
  if (whole < 10'000) {
    std::snprintf(text, sizeof text, "%.0f", whole);
  } else if (whole < 99'950) {
    std::snprintf(text, sizeof text, "%.1fk", whole / 1e3);
  } else if (whole < 999'500) {
    std::snprintf(text, sizeof text, "%.0fk", whole / 1e3);
  } else if (whole < 99'950'000) {
    std::snprintf(text, sizeof text, "%.1fM", whole / 1e6);
  } else if (whole < 999'500'000) {
    std::snprintf(text, sizeof text, "%.0fM", whole / 1e6);
  } else {
    std::snprintf(text, sizeof text, "%.1fG", whole / 1e9);
  }
  return text;
}

std::string Span(double ms) {
  char text[32];
  const auto seconds = static_cast<long long>(ms / 1000);
  if (ms < 1000) {
    std::snprintf(text, sizeof text, "%.0f ms", ms);
  } else if (seconds < 60) {
    std::snprintf(text, sizeof text, "%.1f s", std::floor(ms / 100) / 10);
  } else if (seconds < 3600) {
    std::snprintf(text, sizeof text, "%lld:%02lld", seconds / 60, seconds % 60);
  } else if (seconds < 86'400) {
    std::snprintf(text, sizeof text, "%lld:%02lld:%02lld", seconds / 3600, seconds / 60 % 60, seconds % 60);
  } else {
    std::snprintf(text, sizeof text, "%lldd %lldh", seconds / 86'400, seconds / 3600 % 24);
  }
  return text;
}

}  // namespace hingelink::console
