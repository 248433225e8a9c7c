#include "log/log.h"

#include <spdlog/async.h>
#include <spdlog/sinks/rotating_file_sink.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <atomic>
#include <deque>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <utility>

namespace hingelink::log {
namespace {

// Lines that wait for the disk: about half a megabyte. The oldest give way.
constexpr std::size_t kQueue = 4096;
constexpr std::size_t kMostLine = 1024;

// One for the process; spdlog's loggers are made anew at Configure().
struct State {
  std::mutex mutex;
  Options options;
  std::shared_ptr<spdlog::details::thread_pool> pool;
  std::shared_ptr<spdlog::logger> logger;
  std::deque<std::string> recent;
  LogBudget budget;
  std::atomic<std::uint64_t> lost{0};

  State() { UseStandardError(); }

  void UseStandardError() {
    logger = std::make_shared<spdlog::logger>("hingelink", std::make_shared<spdlog::sinks::stderr_sink_mt>());
    Finish();
  }
  void Finish() {
    logger->set_pattern("%v");
    logger->set_level(spdlog::level::trace);
    // A log that cannot be written is no reason to stop serving, nor to say so on a stream that nobody reads.
    logger->set_error_handler([this](const std::string&) { ++lost; });
  }
};

State& Get() {
  static State* state = new State;  // Outlives every static that logs at its end.
  return *state;
}

spdlog::level::level_enum ToSpdlog(Level level) {
  switch (level) {
    case Level::kDebug:
      return spdlog::level::debug;
    case Level::kInfo:
      return spdlog::level::info;
    case Level::kWarning:
      return spdlog::level::warn;
    case Level::kError:
      break;
  }
  return spdlog::level::err;
}

std::int64_t UnixMs() {
  return std::chrono::floor<std::chrono::milliseconds>(std::chrono::system_clock::now())
      .time_since_epoch()
      .count();
}

std::string AsText(std::string_view name, std::initializer_list<Field> fields) {
  std::string line = std::to_string(UnixMs());
  line.append(" ").append(name);
  for (const Field& field : fields) {
    line += ' ';
    if (*field.key != '\0') line.append(field.key).append("=");
    line += field.value.Text();
  }
  if (line.size() > kMostLine) line.resize(kMostLine);
  return line;
}

std::string AsJson(Level level, std::string_view name, std::initializer_list<Field> fields) {
  nlohmann::ordered_json line = {{"ts", UnixMs()}, {"level", LevelName(level)}, {"event", name}};
  for (const Field& field : fields) {
    const char* key = *field.key != '\0' ? field.key : "text";
    if (field.value.is_number()) {
      line[key] = field.value.number();
    } else {
      line[key] = field.value.Text().substr(0, kMostLine);
    }
  }
  return line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

// With the mutex held.
void Write(State& state, Level level, std::string_view name, std::initializer_list<Field> fields) {
  if (level < state.options.level) return;
  std::string line = state.options.json ? AsJson(level, name, fields) : AsText(name, fields);
  state.logger->log(ToSpdlog(level), spdlog::string_view_t(line));
  if (state.options.recent == 0) return;
  state.recent.push_back(std::move(line));
  if (state.recent.size() > state.options.recent) state.recent.pop_front();
}

// Bytes of the UTF-8 character at the front of `text`; 0 where there is none.
std::size_t CharacterSize(std::string_view text) {
  const auto byte = [text](std::size_t i) { return static_cast<unsigned char>(text[i]); };
  const unsigned char first = byte(0);
  const std::size_t size = first < 0x80 ? 1 : first < 0xc2 ? 0 : first < 0xe0 ? 2 : first < 0xf0 ? 3 : 4;
  if (first > 0xf4 || size == 0 || size > text.size()) return 0;
  for (std::size_t i = 1; i < size; ++i) {
    if ((byte(i) & 0xc0) != 0x80) return 0;
  }
  // No overlong forms, no halves of pairs, nothing past the last character.
  if ((first == 0xe0 && byte(1) < 0xa0) || (first == 0xed && byte(1) > 0x9f) ||
      (first == 0xf0 && byte(1) < 0x90) || (first == 0xf4 && byte(1) > 0x8f)) {
    return 0;
  }
  return size;
}

}  // namespace

bool ParseLevel(std::string_view name, Level& level) {
  for (const Level each : {Level::kDebug, Level::kInfo, Level::kWarning, Level::kError}) {
    if (name != LevelName(each)) continue;
    level = each;
    return true;
  }
  return false;
}

const char* LevelName(Level level) {
  switch (level) {
    case Level::kDebug:
      return "debug";
    case Level::kInfo:
      return "info";
    case Level::kWarning:
      return "warning";
    case Level::kError:
      break;
  }
  return "error";
}

std::string Printable(std::string_view text) {
  static constexpr char kHex[] = "0123456789abcdef";
  std::string out;
  while (!text.empty()) {
    const auto first = static_cast<unsigned char>(text[0]);
    const std::size_t size = CharacterSize(text);
    // U+0080 to U+009F are control characters too, which some terminals obey.
    const bool control = size == 0 || first < 0x20 || first == 0x7f ||
                         (size == 2 && first == 0xc2 && static_cast<unsigned char>(text[1]) < 0xa0);
    if (!control) {
      out.append(text.substr(0, size));
    } else {
      for (std::size_t i = 0; i < std::max<std::size_t>(size, 1); ++i) {
        const auto byte = static_cast<unsigned char>(text[i]);
        out.append("\\x").append(1, kHex[byte >> 4]).append(1, kHex[byte & 15]);
      }
    }
    text.remove_prefix(std::max<std::size_t>(size, 1));
  }
  return out;
}

std::string Value::Text() const {
  if (is_number()) return std::to_string(number());
  return Printable(std::get<std::string>(value_));
}

void Event(Level level, std::string_view name, std::initializer_list<Field> fields) {
  State& state = Get();
  const std::lock_guard lock(state.mutex);
  Write(state, level, name, fields);
}

// Guards against a flood of connections that fills the log's disk and takes the core.
void PeerEvent(std::string_view name, std::initializer_list<Field> fields) {
  State& state = Get();
  const std::lock_guard lock(state.mutex);
  if (!state.budget.Take(std::chrono::steady_clock::now())) return;
  if (const long lines = state.budget.TakeLeftOut(); lines > 0) {
    Write(state, Level::kWarning, "log-left-out", {{"lines", lines}});
  }
  Write(state, Level::kInfo, name, fields);
}

void Configure(const Options& options) {
  State& state = Get();
  const std::lock_guard lock(state.mutex);
  if (options.file.empty()) {
    state.UseStandardError();
  } else {
    try {
      auto sink = std::make_shared<spdlog::sinks::rotating_file_sink_mt>(options.file, options.rotate_bytes,
                                                                         options.keep);
      state.pool = std::make_shared<spdlog::details::thread_pool>(kQueue, 1);
      auto logger = std::make_shared<spdlog::async_logger>("hingelink", std::move(sink), state.pool,
                                                           spdlog::async_overflow_policy::overrun_oldest);
      logger->flush_on(spdlog::level::trace);
      state.logger = std::move(logger);
    } catch (const spdlog::spdlog_ex& fault) {
      throw std::runtime_error(fault.what());
    }
    state.Finish();
  }
  state.options = options;
}

void SetLevel(Level level) {
  State& state = Get();
  const std::lock_guard lock(state.mutex);
  state.options.level = level;
}

Level CurrentLevel() {
  State& state = Get();
  const std::lock_guard lock(state.mutex);
  return state.options.level;
}

void Close() {
  State& state = Get();
  const std::lock_guard lock(state.mutex);
  state.UseStandardError();
  state.pool.reset();  // Joins its thread, behind the last line.
}

std::vector<std::string> RecentLines() {
  State& state = Get();
  const std::lock_guard lock(state.mutex);
  return {state.recent.begin(), state.recent.end()};
}

std::uint64_t LostLineCount() {
  State& state = Get();
  const std::lock_guard lock(state.mutex);
  return state.lost + (state.pool ? state.pool->overrun_counter() : 0);
}

bool LogBudget::Take(Time now) {
  const double passed = std::chrono::duration<double>(now - last_).count();
  stock_ = std::min<double>(kBurst, stock_ + kEachSecond * passed);
  last_ = now;
  if (stock_ < 1) {
    ++left_out_;
    return false;
  }
  stock_ -= 1;
  return true;
}

long LogBudget::TakeLeftOut() { return std::exchange(left_out_, 0); }

}  // namespace hingelink::log
