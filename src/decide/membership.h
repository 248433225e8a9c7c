// Which nodes there are, and which of them others may count on: SWIM with Lifeguard's local health. Messages
// and times in, messages and words for the log out; no I/O, no clock, random numbers from outside.
// docs/design/membership.md draws the states and names what each failure does.
//
// Promises while links hold: a node that ends is known as gone to all within seconds; one that starts or
// returns, within a second or two; views agree once nothing changes. While they don't: incarnations never
// fall, a word about an older life or incarnation changes nothing, and of many that fall silent together none
// is dropped at once (cut_off()). A node that hears nothing keeps its view.
//
// Bounds: `most_members` members, as many tombstones twice, one queued word a member, `most_helped` probes
// for others; a message holds at most `most_bytes`, and a period sends a fixed number of them, whatever the
// fleet.
#ifndef HINGELINK_DECIDE_MEMBERSHIP_H_
#define HINGELINK_DECIDE_MEMBERSHIP_H_

#include <array>
#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace hingelink::decide {

// On the node's own clock, which only goes forward.
using FleetTime = std::chrono::duration<double, std::milli>;
// The next random number, evenly from all of 64 bits.
using Draw = std::function<std::uint64_t()>;

// IPv4, both in the machine's own byte order.
struct PeerAddress {
  std::uint32_t ip = 0;
  std::uint16_t port = 0;
  auto operator<=>(const PeerAddress&) const = default;
};

// What a node says of itself.
enum class MemberPhase : std::uint8_t { kJoining, kWarming, kServing, kDraining, kLeft };
// What others hold of it.
enum class Belief : std::uint8_t { kAlive, kSuspect, kGone };
const char* MemberPhaseName(MemberPhase phase);
const char* BeliefName(Belief belief);

// A life is one start of a process, later ones greater. Within it only the node itself raises its
// incarnation.
struct Version {
  std::uint64_t life = 0;
  std::uint32_t incarnation = 0;
  auto operator<=>(const Version&) const = default;
};

inline constexpr std::size_t kMostNameBytes = 64, kMostZoneBytes = 32;

struct MemberRecord {
  std::string name;
  PeerAddress address;
  Version version;
  MemberPhase phase = MemberPhase::kJoining;
  Belief belief = Belief::kAlive;
  std::string zone;
  std::uint16_t weight = 1;
  std::string by;  // Who suspects it; empty otherwise.
  bool operator==(const MemberRecord&) const = default;
};
// At most so many bytes on the link.
std::size_t MostBytes(const MemberRecord& record);

// What rides along for another subsystem (decide/rider.h).
struct Parcel {
  std::uint8_t topic = 0;
  std::string body;
  bool operator==(const Parcel&) const = default;
};

enum class MessageKind : std::uint8_t {
  kPing,     // To `subject`: are you there?
  kAck,      // `subject` is: from itself, or from the helper that was asked.
  kAskPing,  // To a helper: ping `subject` at `address`.
  kNack,     // From a helper: no answer so far.
  kNews,     // Records and parcels only.
  kCompare,  // The sender's digests.
  kDiffer,   // The buckets in which the digests differ, with records out of them.
};
inline constexpr std::size_t kBuckets = 128;

struct PeerMessage {
  MessageKind kind = MessageKind::kNews;
  std::uint32_t number = 0;  // An answer has its question's.
  std::string subject;
  PeerAddress address;
  std::uint64_t view = 0;               // Digest of all that the sender holds.
  std::vector<std::uint32_t> digests;   // kCompare: of each bucket.
  std::vector<std::uint8_t> differing;  // kDiffer: buckets by number.
  std::vector<MemberRecord> records;    // The sender's own first.
  std::vector<Parcel> parcels;
  bool operator==(const PeerMessage&) const = default;
};
std::size_t MostBytes(const PeerMessage& message);

struct MembershipOptions {
  FleetTime period{500};  // Between two probes.
  FleetTime answer{120};  // For a direct answer; then helpers are asked.
  std::size_t helpers = 3;
  int worst_health = 8;        // Answers may take up to so many times as long, and once more; periods twice.
  FleetTime suspicion{2'500};  // At least, once enough others suspect the same.
  double longest_suspicion = 2.4;  // Times that, while nobody else does.
  std::size_t confirmations = 3;
  FleetTime last_word{500};  // So long before a suspicion ends, the suspect is asked once more.
  FleetTime gossip{200};     // Between two rounds of news, while there are any.
  std::size_t gossip_to = 3;
  double retransmit = 4;       // Times the logarithm of the members: how often each word is sent on.
  FleetTime compare{1'000};    // Between two comparisons of views, while a peer's differs.
  FleetTime join{400};         // Between two tries to reach a seed, while nobody is known.
  FleetTime young{10'000};     // Since its start: it compares with any that it knows, not with seeds alone.
  FleetTime reconnect{2'000};  // Between two tries to reach a seed or one that is gone ...
  FleetTime reach{300};        // ... and one that is held.
  FleetTime frozen{1'000};     // No tick for so long: this node itself stood still.
  FleetTime deaf{2'000};       // Nobody heard for so long, though some are known: it was this node's link.
  double mass_share = 0.4;     // More than this share is never dropped within ...
  FleetTime mass_window{10'000};
  std::size_t mass_heard = 3;  // Nor anybody, before so many others (or all) were heard since it fell silent;
  FleetTime hold_most{60'000};  // ... but after so long, if somebody else is heard.
  FleetTime forget{600'000};    // What is gone is no longer listed.
  std::size_t most_members = 4096;
  std::size_t most_helped = 64;
  std::size_t most_bytes = 1200;  // Of a message on the link.
};

struct SendMessage {
  PeerAddress to;
  PeerMessage message;
};
// For the log: a code of docs/operators/membership.md, whom it is about and a figure with its meaning.
struct FleetWord {
  std::string code;
  std::string name;
  double figure = 0;
  bool operator==(const FleetWord&) const = default;
};
struct MembershipActions {
  std::vector<SendMessage> sends;
  std::vector<FleetWord> words;
  bool changed = false;  // Who is there, in what phase, or the belief of anybody.
};

// Since the start.
struct MembershipCounts {
  std::uint64_t suspicions = 0, withdrawn = 0, gone = 0, returned = 0, refuted = 0, thaws = 0, stale = 0,
                full = 0;
};

class Membership {
 public:
  // `self`: its version's life is above those of earlier processes of this name as far as the caller can tell
  // (a wall clock will do: a life that is too low is raised once a peer tells of a greater one).
  Membership(MembershipOptions options, MemberRecord self, std::vector<PeerAddress> seeds, Draw draw);

  // What is due. To be called at NextDue() at the latest, and then never late on purpose: a gap over
  // `frozen` counts as this node's own.
  MembershipActions Tick(FleetTime now);
  MembershipActions Hear(FleetTime now, PeerAddress from, const PeerMessage& message);
  // What this node says of itself from now on. kLeft is told to some at once.
  MembershipActions SetPhase(FleetTime now, MemberPhase phase);
  // Further addresses to try while nobody is known: the registry's list, a changed file.
  void SetSeeds(std::vector<PeerAddress> seeds) { seeds_ = std::move(seeds); }

  FleetTime NextDue() const;

  struct Look {
    MemberRecord record;
    FleetTime heard{0};  // Since it was last heard itself; below 0: never.
    bool held = false;   // Would be gone, but for the guard against mass change.
  };
  const MemberRecord& self() const { return self_; }
  // All others, in no order of meaning, gone ones too until they are forgotten.
  std::vector<Look> Others(FleetTime now) const;
  // Those that are not gone, this node among them.
  std::size_t size() const { return 1 + alive_ + suspects_; }
  std::size_t suspects() const { return suspects_; }
  // It holds its view: more have fallen silent than may go at once.
  bool cut_off() const { return held_ > 0; }
  // 0: well; each step makes it slower to accuse others.
  int health() const { return health_; }
  std::uint64_t view() const { return view_; }
  const MembershipCounts& counts() const { return counts_; }
  std::size_t queued() const { return queue_.size(); }

 private:
  using QueueKey = std::pair<unsigned, std::uint64_t>;  // How often sent, and a number of its own.
  struct Member {
    MemberRecord record;
    std::size_t place = 0;  // In order_.
    FleetTime heard{-1};
    FleetTime since{0};       // Of its belief.
    FleetTime deadline{0};    // Of its suspicion.
    FleetTime not_before{0};  // Whatever others confirm.
    FleetTime due{0};         // In deadlines_.
    bool asked = false;       // Once more, before it goes.
    std::vector<std::string> accusers;
    bool held = false;
    std::optional<QueueKey> queued;
  };
  struct Probe {
    std::string name;
    std::uint32_t number = 0;
    FleetTime ask_at{0}, end_at{0};
    bool asked = false;
    std::size_t asked_of = 0, nacks = 0;
    bool answered = false;
  };
  struct Helped {
    std::uint32_t number = 0;  // Of this node's own ping.
    std::string name;
    PeerAddress asker;
    std::uint32_t askers_number = 0;
    FleetTime nack_at{0};
    bool nacked = false;
    FleetTime end_at{0};
  };

  void Notice(FleetTime now);
  void Thaw(FleetTime now, FleetTime gap);
  void Adopt(FleetTime now, const MemberRecord& record);
  void HearOfSelf(FleetTime now, const MemberRecord& record);
  void Refute(Version above);
  void SetSelf(const MemberRecord& fresh);
  Member* Find(const std::string& name);
  Member* Add(FleetTime now, const MemberRecord& record);
  void Remove(Member& member);
  void SetRecord(FleetTime now, Member& member, const MemberRecord& record);
  void Suspect(FleetTime now, Member& member, const std::string& by);
  void Drop(FleetTime now, Member& member);
  FleetTime Patience(const Member& member) const;
  bool MayGo(FleetTime now, const Member& member) const;
  void SetDeadline(Member& member, FleetTime deadline, bool ask);
  void Hold(FleetTime now, Member& member, FleetTime until, bool ask);
  void Postpone(FleetTime until);
  void Heard(FleetTime now, Member& member);
  void HearAck(const PeerMessage& message);
  void HelpToProbe(FleetTime now, PeerAddress from, const PeerMessage& message);
  void AnswerCompare(PeerAddress from, const PeerMessage& message, const std::string& first);
  void AnswerDiffer(PeerAddress from, const PeerMessage& message, const std::string& first);
  void SetHeld(Member& member, bool held);
  void Queue(Member& member);
  void Count(Belief belief, int step);
  void Fold(const Member& member);
  unsigned Limit() const;
  void Health(int step);

  PeerMessage Compose(MessageKind kind, std::uint32_t number);
  void Fill(PeerMessage& message, const std::string& first);
  void Send(PeerAddress to, PeerMessage message, const std::string& first = {});
  void TickProbe(FleetTime now);
  void BeginProbe(FleetTime now);
  void TickSuspicions(FleetTime now);
  void TickHelped(FleetTime now);
  void TickGossip(FleetTime now);
  void TickCompare(FleetTime now);
  void TickReconnect(FleetTime now);
  void Forget(FleetTime now);
  // A random member that `wanted` holds for, other than `but`; null where a few draws find none.
  Member* Any(const std::function<bool(const Member&)>& wanted, const std::string& but = {});
  std::uint64_t Below(std::uint64_t bound) { return bound == 0 ? 0 : draw_() % bound; }
  void Say(std::string code, const std::string& name, double figure = 0) {
    out_.words.push_back({std::move(code), name, figure});
  }
  MembershipActions TakeOut() { return std::exchange(out_, {}); }

  MembershipOptions options_;
  MemberRecord self_;
  std::vector<PeerAddress> seeds_;
  Draw draw_;
  MembershipActions out_;
  MembershipCounts counts_;

  std::unordered_map<std::string, std::unique_ptr<Member>> members_;
  std::vector<Member*> order_;  // Of probes: shuffled at each turn.
  std::size_t next_in_order_ = 0;
  std::size_t alive_ = 0, suspects_ = 0, held_ = 0;
  std::set<std::pair<FleetTime, std::string>> deadlines_;  // Of suspicions.
  std::deque<FleetTime> dropped_;                          // When others went, within the window.
  std::unordered_map<std::string, Version> tombstones_;
  std::deque<std::string> tombstone_order_;

  std::map<QueueKey, Member*> queue_;
  std::uint64_t last_queued_ = 0;
  unsigned self_left_ = 0;  // Rounds of news that are still owed to this node's own record.
  std::array<std::uint32_t, kBuckets> digests_{};
  std::uint64_t view_ = 0;

  std::uint32_t last_number_ = 0;
  std::optional<Probe> probe_;
  std::deque<Helped> helped_;
  std::optional<PeerAddress> differs_;  // A peer whose view is another one.
  bool started_ = false;
  FleetTime began_{0};
  FleetTime last_seen_{0};                                // Of the clock.
  std::vector<std::pair<FleetTime, std::string>> heard_;  // Who was heard last, the latest first.
  FleetTime next_probe_{0}, next_gossip_{0}, next_compare_{0}, next_reconnect_{0}, next_forget_{0};
  FleetTime held_since_{0}, held_last_{-1e9};
  FleetTime doubts_until_{-1};  // Behind a thaw: it accuses nobody.
  FleetTime raised_at_{-1e9};
  int raised_ = 0;
  int health_ = 0;
};

}  // namespace hingelink::decide

#endif  // HINGELINK_DECIDE_MEMBERSHIP_H_
