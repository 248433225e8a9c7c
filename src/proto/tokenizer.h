// The words of a line of text, one by one.
#ifndef HINGELINK_PROTO_TOKENIZER_H_
#define HINGELINK_PROTO_TOKENIZER_H_

#include <charconv>
#include <cmath>
#include <cstddef>
#include <optional>
#include <string_view>
#include <type_traits>

namespace hingelink::proto {

class Tokenizer {
 public:
  explicit Tokenizer(std::string_view line) : rest_(line) {}

  // Empty behind the last.
  std::string_view Next() {
    const std::size_t start = rest_.find_first_not_of(' ');
    if (start == std::string_view::npos) return {};
    rest_.remove_prefix(start);
    const std::size_t end = rest_.find(' ');
    const std::string_view word = rest_.substr(0, end);
    rest_.remove_prefix(word.size());
    return word;
  }

  // Nothing where the next word is no number of this kind, or there is none.
  template <typename T>
  std::optional<T> Number(int base = 10) {
    const std::string_view word = Next();
    T value{};
    const char* last = word.data() + word.size();
    std::from_chars_result got;
    if constexpr (std::is_floating_point_v<T>) {
      got = std::from_chars(word.data(), last, value);
      if (!std::isfinite(value)) return std::nullopt;
    } else {
      got = std::from_chars(word.data(), last, value, base);
    }
    if (word.empty() || got.ec != std::errc() || got.ptr != last) return std::nullopt;
    return value;
  }

 private:
  std::string_view rest_;
};

}  // namespace hingelink::proto

#endif  // HINGELINK_PROTO_TOKENIZER_H_
