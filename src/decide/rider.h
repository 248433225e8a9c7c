// What other shared state (budgets, counts, judgements, versions) sends along with the members' messages.
//
// A rider is a decision module of its own. It is asked for a delta whenever a message goes out and there is
// room in it, and for a part of everything it holds whenever two nodes compare their views (push-pull). Both
// may be lost, repeated or reordered on the way: what a rider tells must be safe to hear twice and late.
#ifndef HINGELINK_DECIDE_RIDER_H_
#define HINGELINK_DECIDE_RIDER_H_

#include <string>
#include <string_view>
#include <vector>

#include "decide/membership.h"

namespace hingelink::decide {

class Rider {
 public:
  virtual ~Rider() = default;
  // Names it on the link; never used for anything else again.
  virtual std::uint8_t topic() const = 0;
  // News for this peer in at most `room` bytes; empty: none.
  virtual std::string Delta(FleetTime now, const PeerAddress& to, std::size_t room) = 0;
  // A part of all it holds, another one at each call until all has been told; at most `room` bytes.
  virtual std::string Part(FleetTime now, const PeerAddress& to, std::size_t room) = 0;
  virtual void Hear(FleetTime now, const MemberRecord& from, std::string_view body) = 0;
};

// At most so many bytes of parcels in one message, all riders together: members' own news has gone first.
inline constexpr std::size_t kMostParcelBytes = 600;
inline constexpr std::size_t kParcelOverhead = 8;

class Riders {
 public:
  void Add(Rider& rider) { riders_.push_back(&rider); }
  // Fills what room the message has. Riders take turns at being first.
  void Load(FleetTime now, const PeerAddress& to, PeerMessage& message, std::size_t most_bytes);
  // Parcels of no topic known here are passed over: a later version's.
  void Deliver(FleetTime now, const PeerMessage& message);

 private:
  std::vector<Rider*> riders_;
  std::size_t first_ = 0;
};

}  // namespace hingelink::decide

#endif  // HINGELINK_DECIDE_RIDER_H_
