// Texts as a terminal shows them: UTF-8, measured in cells.
#ifndef HINGELINK_CONSOLE_TEXT_H_
#define HINGELINK_CONSOLE_TEXT_H_

#include <cstddef>
#include <string>
#include <string_view>

namespace hingelink::console {

// `text` as this terminal can show it. Nothing in it moves the cursor or changes the terminal: control
// characters and bytes that are no UTF-8 are written as \xNN; what is not ASCII becomes '?' unless `utf8`.
std::string Safe(std::string_view text, bool utf8);
// Cells that a safe text takes.
std::size_t Cells(std::string_view text);
// A safe text cut or filled to so many cells. What is cut ends in '~'.
std::string Fit(std::string_view text, std::size_t cells, bool right = false);

// 0, 7, 152, 12.3k, 4.56M: at most five cells.
std::string Count(double value);
// 850 ms, 12.3 s, 5:07, 3:12:44, 9d 3h.
std::string Span(double ms);

}  // namespace hingelink::console

#endif  // HINGELINK_CONSOLE_TEXT_H_
