#include "simulator_adapter/codec.h"

#include <bit>
#include <cmath>
#include <cstring>
#include <limits>
#include <type_traits>
#include <utility>

namespace hingelink::simulator_adapter {
namespace {

static_assert(std::endian::native == std::endian::little, "frames are little-endian");

enum class EventCode : std::uint8_t {
  kOpenInstance = 1,
  kSubmit = 2,
  kFinished = 3,
  kBlocked = 4,
  kCallResult = 5,
  kSigterm = 6,
  kAborted = 7,
  kTickDue = 8,
  kRetire = 9,
};

enum class ActionCode : std::uint8_t {
  kAnnounce = 1,
  kSchedule = 2,
  kBounce = 3,
  kAskBelow = 4,
  kRetain = 5,
  kSayLog = 6,
  kPreempt = 7,
  kStart = 8,
  kFallBack = 9,
  kCloseIdle = 10,
  kReplay = 12,
  kUnpin = 13,
  kDropRequest = 14,
  kStatus = 15,
};

constexpr std::uint16_t kRetryBit = 2;
constexpr std::uint16_t kHintBit = 1;
constexpr std::uint16_t kWriteBit = 4;

class Reader {
 public:
  explicit Reader(std::string_view bytes) : bytes_(bytes) {}

  template <typename T>
  T Get(const char* field) {
    static_assert(std::is_trivially_copyable_v<T>);
    Need(sizeof(T), field);
    T value;
    std::memcpy(&value, bytes_.data() + at_, sizeof(T));
    at_ += sizeof(T);
    return value;
  }

  double Number(const char* field) { return Finite(Get<double>(field), field); }
  double SmallNumber(const char* field) { return Finite(Get<float>(field), field); }

  std::string Bytes(std::size_t count, const char* field) {
    Need(count, field);
    std::string text(bytes_.substr(at_, count));
    at_ += count;
    return text;
  }

  void Skip(std::size_t count) { at_ += count; }
  std::size_t at() const { return at_; }
  std::size_t left() const { return bytes_.size() - at_; }

 private:
  void Need(std::size_t count, const char* field) const {
    if (left() < count) {
      throw WireError(std::string(field) + " at byte " + std::to_string(at_) + " runs past the frame of " +
                      std::to_string(bytes_.size()) + " bytes");
    }
  }

  double Finite(double value, const char* field) const {
    if (!std::isfinite(value)) {
      throw WireError(std::string(field) + " before byte " + std::to_string(at_) + " is not a finite number");
    }
    return value;
  }

  std::string_view bytes_;
  std::size_t at_ = 0;
};

Outcome ToOutcome(std::uint16_t code, std::size_t at) {
  switch (code) {
    case 0:
      return Outcome::kError;
    case 1:
      return Outcome::kOk;
    case 2:
      return Outcome::kFull;
    case 3:
      return Outcome::kTimeout;
    case 4:
      return Outcome::kConnectFailed;
    case 5:
      return Outcome::kReset;
    case 6:
      return Outcome::kCancelled;
    case 7:
      return Outcome::kNotStarted;
    default:
      throw WireError("unknown outcome code " + std::to_string(code) + " before byte " + std::to_string(at));
  }
}

Arrival ReadSubmit(Reader& in) {
  Arrival a;
  a.id = in.Get<std::uint64_t>("ticket");
  a.original = in.Get<std::uint64_t>("forerunner");
  a.reserved_kb = in.SmallNumber("kb");
  a.subject = in.Get<std::uint64_t>("entity");
  a.rank = in.SmallNumber("prio");
  a.tenant = in.Get<std::uint16_t>("customer");
  a.read_delay_ms = in.Number("queuedForMs");
  a.caller = in.Get<std::uint32_t>("who");
  const auto opts = in.Get<std::uint16_t>("opts");
  a.expected_work_ms = in.Number("estimateMs");
  if ((opts & kHintBit) == 0) a.expected_work_ms = 0;
  a.is_retry = (opts & kRetryBit) != 0;
  a.is_write = (opts & kWriteBit) != 0;
  a.remaining_wait_ms = in.Number("budgetMs");
  a.request_class = in.Get<std::uint16_t>("priority");
  return a;
}

Finished ReadFinished(Reader& in) {
  Finished f;
  f.id = in.Get<std::uint64_t>("ticket");
  f.elapsed_ms = in.Number("costTimeMs");
  f.outcome = ToOutcome(in.Get<std::uint16_t>("outcome"), in.at());
  return f;
}

UpstreamCallFinished ReadCallResult(Reader& in) {
  UpstreamCallFinished c;
  c.id = in.Get<std::uint64_t>("ticket");
  c.outcome = ToOutcome(in.Get<std::uint16_t>("outcome"), in.at());
  c.elapsed_ms = in.Number("costTimeMs");
  return c;
}

TimerFired ReadTickDue(Reader& in) {
  TimerFired t;
  t.token = in.Get<std::uint32_t>("handle");
  const auto count = in.Get<std::uint8_t>("serverStats");
  for (int i = 0; i < count; ++i) t.gauges.push_back(in.SmallNumber("serverStats"));
  return t;
}

OpenInstance ReadOpen(Reader& in) {
  OpenInstance open;
  open.seed = in.Get<std::uint64_t>("salt");
  open.settings = in.Bytes(in.Get<std::uint32_t>("profileData"), "profileData");
  return open;
}

Record ReadRecord(Reader& in) {
  const std::size_t start = in.at();
  const auto code = in.Get<std::uint8_t>("event code");
  if (code < 1 || code > 9) {
    throw WireError("unknown event code " + std::to_string(code) + " at byte " + std::to_string(start));
  }
  Record record;
  record.instance = in.Get<std::uint32_t>("server");
  switch (static_cast<EventCode>(code)) {
    case EventCode::kOpenInstance:
      record.what = ReadOpen(in);
      break;
    case EventCode::kRetire:
      record.what = Retire{};
      break;
    case EventCode::kSubmit:
      record.what = Event(ReadSubmit(in));
      break;
    case EventCode::kFinished:
      record.what = Event(ReadFinished(in));
      break;
    case EventCode::kBlocked:
      record.what = Event(UpstreamCallRequested{in.Get<std::uint64_t>("ticket")});
      break;
    case EventCode::kCallResult:
      record.what = Event(ReadCallResult(in));
      break;
    case EventCode::kSigterm:
      record.what = Event(DrainNotice{in.Number("budgetMs")});
      break;
    case EventCode::kAborted:
      record.what = Event(CallerDisconnected{in.Get<std::uint64_t>("ticket")});
      break;
    case EventCode::kTickDue:
      record.what = Event(ReadTickDue(in));
      break;
  }
  return record;
}

template <typename T>
void Put(std::string& out, T value) {
  char bytes[sizeof(T)];
  std::memcpy(bytes, &value, sizeof(T));
  out.append(bytes, sizeof(T));
}

}  // namespace

std::size_t FrameLength(std::string_view header) {
  Reader in(header);
  in.Get<double>("clock");
  const auto length = in.Get<std::uint32_t>("length");
  if (length < kBatchHeader) {
    throw WireError("frame length " + std::to_string(length) + " is shorter than its header");
  }
  return length;
}

Batch DecodeBatch(std::string_view frame) {
  if (FrameLength(frame) != frame.size()) throw WireError("frame length differs from the bytes given");
  Reader in(frame);
  Batch batch;
  batch.now_ms = in.Number("clock");
  in.Get<std::uint32_t>("length");
  const auto count = in.Get<std::uint32_t>("number of records");
  for (std::uint32_t i = 0; i < count; ++i) {
    if (in.left() == 0) {
      throw WireError("record " + std::to_string(i + 1) + " of " + std::to_string(count) +
                      " runs past the frame of " + std::to_string(frame.size()) + " bytes");
    }
    batch.records.push_back(ReadRecord(in));
  }
  if (in.left() != 0) {
    throw WireError(std::to_string(in.left()) + " bytes are left over after the last record, at byte " +
                    std::to_string(in.at()));
  }
  return batch;
}

void ReplyWriter::Add(std::uint32_t instance, const Action& action) {
  ++count_;
  const auto head = [&](ActionCode code) {
    Put(body_, static_cast<std::uint8_t>(code));
    Put(body_, instance);
  };
  std::visit(
      [&](const auto& a) {
        using A = std::decay_t<decltype(a)>;
        if constexpr (std::is_same_v<A, Start>) {
          head(ActionCode::kStart);
          Put(body_, a.id);
        } else if constexpr (std::is_same_v<A, Replay>) {
          head(ActionCode::kReplay);
          Put(body_, a.id);
        } else if constexpr (std::is_same_v<A, Reject>) {
          head(ActionCode::kBounce);
          Put(body_, a.id);
          Put(body_, static_cast<std::uint8_t>(a.no_other_server));
          Put(body_, a.retry_after_ms);
        } else if constexpr (std::is_same_v<A, Fail>) {
          head(ActionCode::kDropRequest);
          Put(body_, a.id);
        } else if constexpr (std::is_same_v<A, CancelRun>) {
          head(ActionCode::kPreempt);
          Put(body_, a.id);
        } else if constexpr (std::is_same_v<A, UseFallback>) {
          head(ActionCode::kFallBack);
          Put(body_, a.id);
        } else if constexpr (std::is_same_v<A, StartUpstreamCall>) {
          head(ActionCode::kAskBelow);
          Put(body_, a.id);
          Put(body_, a.timeout_ms);
        } else if constexpr (std::is_same_v<A, RetainKey>) {
          head(ActionCode::kRetain);
          Put(body_, a.id);
          Put(body_, a.ttl_ms);
        } else if constexpr (std::is_same_v<A, ReleaseKey>) {
          head(ActionCode::kUnpin);
          Put(body_, a.id);
        } else if constexpr (std::is_same_v<A, SetTimer>) {
          head(ActionCode::kSchedule);
          Put(body_, a.in_ms);
          Put(body_, a.token);
        } else if constexpr (std::is_same_v<A, SetHealth>) {
          head(ActionCode::kStatus);
          Put(body_, static_cast<std::uint8_t>(a.healthy));
          Put(body_, static_cast<std::uint8_t>(a.shallow));
        } else if constexpr (std::is_same_v<A, PublishLoadSignal>) {
          head(ActionCode::kAnnounce);
          Put(body_, static_cast<float>(a.value));
        } else if constexpr (std::is_same_v<A, CloseIdle>) {
          head(ActionCode::kCloseIdle);
          Put(body_, a.after_ms);
        } else {
          static_assert(std::is_same_v<A, Log>);
          // The length field holds 16 bits.
          const std::string_view text =
              std::string_view(a.text).substr(0, std::numeric_limits<std::uint16_t>::max());
          head(ActionCode::kSayLog);
          Put(body_, static_cast<std::uint16_t>(text.size()));
          body_.append(text);
        }
      },
      action);
}

std::string ReplyWriter::Take() {
  std::string frame;
  frame.reserve(8 + body_.size());
  Put(frame, count_);
  Put(frame, static_cast<std::uint32_t>(8 + body_.size()));
  frame += body_;
  body_.clear();
  count_ = 0;
  return frame;
}

}  // namespace hingelink::simulator_adapter
