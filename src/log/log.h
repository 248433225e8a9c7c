// Structured logging: one line an event, as text or as JSON. The events are explained in docs/on-call.md.
//
// Lines go to standard error as they are written (the platform's form), or through a bounded queue to a file
// that is rotated: a disk that is slow or full costs lines, which are counted, and never time.
#ifndef HINGELINK_LOG_LOG_H_
#define HINGELINK_LOG_LOG_H_

#include <chrono>
#include <concepts>
#include <cstddef>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace hingelink::log {

enum class Level { kDebug, kInfo, kWarning, kError };
// The level of that name (debug, info, warning, error); false where there is none.
bool ParseLevel(std::string_view name, Level& level);
const char* LevelName(Level level);

// A value of a field. Texts may hold any bytes: what would break a line or a terminal is written as \xNN.
class Value {
 public:
  Value(std::string_view text) : value_(std::string(text)) {}
  Value(const std::string& text) : value_(text) {}
  Value(const char* text) : value_(std::string(text)) {}
  Value(bool yes) : value_(std::string(yes ? "yes" : "no")) {}
  template <std::integral T>
  Value(T number) : value_(static_cast<std::int64_t>(number)) {}

  std::string Text() const;
  bool is_number() const { return std::holds_alternative<std::int64_t>(value_); }
  std::int64_t number() const { return std::get<std::int64_t>(value_); }

 private:
  std::variant<std::string, std::int64_t> value_;
};

struct Field {
  const char* key;  // Empty: a text of its own, written without a key (`text` in JSON).
  Value value;
};

void Event(Level level, std::string_view name, std::initializer_list<Field> fields = {});
inline void Info(std::string_view name, std::initializer_list<Field> fields = {}) {
  Event(Level::kInfo, name, fields);
}
inline void Warn(std::string_view name, std::initializer_list<Field> fields = {}) {
  Event(Level::kWarning, name, fields);
}
// For lines that a peer can cause as often as it likes: those over the budget are counted, and told of in
// one.
void PeerEvent(std::string_view name, std::initializer_list<Field> fields = {});

struct Options {
  bool json = false;
  Level level = Level::kInfo;
  std::string file;                    // Empty: standard error.
  std::size_t rotate_bytes = 1 << 20;  // A file of this size is set aside as FILE.1, .2, ...
  std::size_t keep = 5;                // Files set aside.
  std::size_t recent = 0;              // Lines kept for RecentLines().
};
// From now on. Throws std::runtime_error where the file cannot be opened.
void Configure(const Options& options);
void SetLevel(Level level);
Level CurrentLevel();
// Writes out what is queued, and writes to standard error from now on. Waits for the disk.
void Close();
// The last lines, oldest first; none unless asked for by Options::recent.
std::vector<std::string> RecentLines();
// Lines that a slow or full disk has cost so far.
std::uint64_t LostLineCount();

// `text` with what would break a line or a terminal written as \xNN: control characters, and bytes that are
// no UTF-8.
std::string Printable(std::string_view text);

// Lines in stock, which grow with time up to a burst.
class LogBudget {
 public:
  using Time = std::chrono::steady_clock::time_point;
  static constexpr int kBurst = 1000, kEachSecond = 100;

  // Whether a line may be written now.
  bool Take(Time now);
  // The lines that might not be written since the last call.
  long TakeLeftOut();

 private:
  double stock_ = kBurst;
  Time last_{};
  long left_out_ = 0;
};

}  // namespace hingelink::log

#endif  // HINGELINK_LOG_LOG_H_
