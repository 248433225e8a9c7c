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
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "decide/membership/gossip_message.h"
#include "decide/membership/member.h"
#include "decide/membership/membership_event.h"
#include "decide/membership/membership_options.h"
#include "decide/milliseconds.h"
#include "decide/random_source.h"

namespace hingelink::decide {

struct OutgoingMessage {
  PeerAddress to;
  GossipMessage message;
};

struct MembershipActions {
  std::vector<OutgoingMessage> messages;
  std::vector<MembershipEvent> events;
  bool view_changed = false;  // A member came or went, or its phase or state changed.
};

// Since the start.
struct MembershipCounters {
  std::uint64_t suspicions = 0;
  std::uint64_t withdrawn_suspicions = 0;
  std::uint64_t removed = 0;      // Members declared dead.
  std::uint64_t returned = 0;     // Dead members that came back.
  std::uint64_t refutations = 0;  // Of statements about this node.
  std::uint64_t pauses = 0;       // Of this process.
  std::uint64_t stale_records = 0;
  std::uint64_t table_full = 0;  // Records of members for which there was no room.
};

// What is known of another member.
struct MemberView {
  MemberRecord record;
  Milliseconds last_heard_ago{0};  // Since its last message; negative: there was none.
  bool is_removal_held = false;    // It would be dead, but for the mass failure guard.
};

class Membership {
 public:
  // `self`: its version's life is above those of earlier processes of this name as far as the caller can tell
  // (a wall clock will do: a life that is too low is raised once a peer tells of a greater one).
  Membership(MembershipOptions options, MemberRecord self, std::vector<PeerAddress> seeds, RandomSource draw);

  // What is due. To be called at NextDue() at the latest, and then never late on purpose: a gap over
  // `frozen` counts as this node's own.
  MembershipActions Tick(Milliseconds now);
  MembershipActions OnMessage(Milliseconds now, PeerAddress from, const GossipMessage& message);
  // What this node says of itself from now on. kLeft is told to some at once.
  MembershipActions SetPhase(Milliseconds now, MemberPhase phase);
  // Further addresses to try while nobody is known: the registry's list, a changed file.
  void SetSeeds(std::vector<PeerAddress> seeds) { seeds_ = std::move(seeds); }

  Milliseconds NextDue() const;

  const MemberRecord& self() const { return self_; }
  // All others, in no order of meaning, gone ones too until they are forgotten.
  std::vector<MemberView> Members(Milliseconds now) const;
  // Those that are not gone, this node among them.
  std::size_t live_members() const { return 1 + alive_ + suspects_; }
  std::size_t suspects() const { return suspects_; }
  // It holds its view: more have fallen silent than may go at once.
  bool holds_removals() const { return held_ > 0; }
  // 0: well; each step makes it slower to accuse others.
  int local_health() const { return health_; }
  std::uint64_t view_digest() const { return view_; }
  const MembershipCounters& counters() const { return counters_; }
  std::size_t queued_broadcasts() const { return queue_.size(); }

 private:
  using QueueKey = std::pair<unsigned, std::uint64_t>;  // How often sent, and a number of its own.
  struct Member {
    MemberRecord record;
    std::size_t place = 0;  // In order_.
    Milliseconds heard{-1};
    Milliseconds since{0};       // Of its belief.
    Milliseconds deadline{0};    // Of its suspicion.
    Milliseconds not_before{0};  // Whatever others confirm.
    Milliseconds due{0};         // In deadlines_.
    bool asked = false;          // Once more, before it goes.
    std::vector<std::string> accusers;
    bool held = false;
    std::optional<QueueKey> queued;
  };
  struct Probe {
    std::string name;
    std::uint32_t number = 0;
    Milliseconds ask_at{0}, end_at{0};
    bool asked = false;
    std::size_t asked_of = 0, nacks = 0;
    bool answered = false;
  };
  struct Helped {
    std::uint32_t number = 0;  // Of this node's own ping.
    std::string name;
    PeerAddress asker;
    std::uint32_t askers_number = 0;
    Milliseconds nack_at{0};
    bool nacked = false;
    Milliseconds end_at{0};
  };

  void Notice(Milliseconds now);
  void Thaw(Milliseconds now, Milliseconds gap);
  void Adopt(Milliseconds now, const MemberRecord& record);
  void HearOfSelf(Milliseconds now, const MemberRecord& record);
  void Refute(MemberVersion above);
  void SetSelf(const MemberRecord& fresh);
  Member* Find(const std::string& name);
  Member* Add(Milliseconds now, const MemberRecord& record);
  void Remove(Member& member);
  void SetRecord(Milliseconds now, Member& member, const MemberRecord& record);
  void Suspect(Milliseconds now, Member& member, const std::string& by);
  void Drop(Milliseconds now, Member& member);
  Milliseconds Patience(const Member& member) const;
  bool MayGo(Milliseconds now, const Member& member) const;
  void SetDeadline(Member& member, Milliseconds deadline, bool ask);
  void Hold(Milliseconds now, Member& member, Milliseconds until, bool ask);
  void Postpone(Milliseconds until);
  void Heard(Milliseconds now, Member& member);
  void HearAck(const GossipMessage& message);
  void HelpToProbe(Milliseconds now, PeerAddress from, const GossipMessage& message);
  void AnswerCompare(PeerAddress from, const GossipMessage& message, const std::string& first);
  void AnswerDiffer(PeerAddress from, const GossipMessage& message, const std::string& first);
  void SetHeld(Member& member, bool held);
  void Queue(Member& member);
  void Count(MemberState belief, int step);
  void Fold(const Member& member);
  unsigned Limit() const;
  void Health(int step);

  GossipMessage Compose(GossipMessageKind kind, std::uint32_t number);
  void Fill(GossipMessage& message, const std::string& first);
  void Send(PeerAddress to, GossipMessage message, const std::string& first = {});
  void TickProbe(Milliseconds now);
  void BeginProbe(Milliseconds now);
  void TickSuspicions(Milliseconds now);
  void TickHelped(Milliseconds now);
  void TickGossip(Milliseconds now);
  void TickCompare(Milliseconds now);
  void TickReconnect(Milliseconds now);
  void Forget(Milliseconds now);
  // A random member that `wanted` holds for, other than `but`; null where a few draws find none.
  Member* Any(const std::function<bool(const Member&)>& wanted, const std::string& but = {});
  std::uint64_t Below(std::uint64_t bound) { return bound == 0 ? 0 : draw_() % bound; }
  void Report(MembershipEventKind kind, const std::string& member, double value = 0) {
    out_.events.push_back({kind, member, value});
  }
  MembershipActions TakeOut() { return std::exchange(out_, {}); }

  MembershipOptions options_;
  MemberRecord self_;
  std::vector<PeerAddress> seeds_;
  RandomSource draw_;
  MembershipActions out_;
  MembershipCounters counters_;

  std::unordered_map<std::string, std::unique_ptr<Member>> members_;
  std::vector<Member*> order_;  // Of probes: shuffled at each turn.
  std::size_t next_in_order_ = 0;
  std::size_t alive_ = 0, suspects_ = 0, held_ = 0;
  std::set<std::pair<Milliseconds, std::string>> deadlines_;  // Of suspicions.
  std::deque<Milliseconds> dropped_;                          // When others went, within the window.
  std::unordered_map<std::string, MemberVersion> tombstones_;
  std::deque<std::string> tombstone_order_;

  std::map<QueueKey, Member*> queue_;
  std::uint64_t last_queued_ = 0;
  unsigned self_left_ = 0;  // Rounds of news that are still owed to this node's own record.
  std::array<std::uint32_t, kDigestBuckets> digests_{};
  std::uint64_t view_ = 0;

  std::uint32_t last_number_ = 0;
  std::optional<Probe> probe_;
  std::deque<Helped> helped_;
  std::optional<PeerAddress> differs_;  // A peer whose view is another one.
  bool started_ = false;
  Milliseconds began_{0};
  Milliseconds last_seen_{0};                                // Of the clock.
  std::vector<std::pair<Milliseconds, std::string>> heard_;  // Who was heard last, the latest first.
  Milliseconds next_probe_{0}, next_gossip_{0}, next_compare_{0}, next_reconnect_{0}, next_forget_{0};
  Milliseconds held_since_{0}, held_last_{-1e9};
  Milliseconds doubts_until_{-1};  // Behind a thaw: it accuses nobody.
  Milliseconds raised_at_{-1e9};
  int raised_ = 0;
  int health_ = 0;
};

}  // namespace hingelink::decide

#endif  // HINGELINK_DECIDE_MEMBERSHIP_H_
