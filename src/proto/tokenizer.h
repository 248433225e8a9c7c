// Splits a line of text into tokens separated by spaces.
#ifndef HINGELINK_PROTO_TOKENIZER_H_
#define HINGELINK_PROTO_TOKENIZER_H_

#include <charconv>
#include <cmath>
#include <cstddef>
#include <optional>
#include <string_view>
#include <type_traits>

namespace hingelink::proto {

// Returns the tokens of a line in order. The tokens refer to the line.
class Tokenizer {
 public:
  explicit Tokenizer(std::string_view line) : rest_(line) {}

  // Consumes and returns the next token; returns an empty string after the last token.
  std::string_view Next() {
    const std::size_t start = rest_.find_first_not_of(' ');
    if (start == std::string_view::npos) return {};
    rest_.remove_prefix(start);
    const std::size_t end = rest_.find(' ');
    const std::string_view token = rest_.substr(0, end);
    rest_.remove_prefix(token.size());
    return token;
  }

  // Consumes the next token and returns it as a number. Returns nullopt if there is no token, or if it is not
  // a finite number of this type. `base` applies to integers only.
  template <typename T>
  std::optional<T> Number(int base = 10) {
    const std::string_view token = Next();
    T value{};
    const char* last = token.data() + token.size();
    std::from_chars_result result;
    if constexpr (std::is_floating_point_v<T>) {
      result = std::from_chars(token.data(), last, value);
      if (!std::isfinite(value)) return std::nullopt;
    } else {
      result = std::from_chars(token.data(), last, value, base);
    }
    if (token.empty() || result.ec != std::errc() || result.ptr != last) return std::nullopt;
    return value;
  }

 private:
  std::string_view rest_;
};

}  // namespace hingelink::proto

#endif  // HINGELINK_PROTO_TOKENIZER_H_
