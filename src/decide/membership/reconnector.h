// Contacts seeds and lost members at regular intervals. This reconnects two parts of a fleet that declared
// each other dead or never knew of each other. Seeds are contacted less often while other members are alive.
#ifndef HINGELINK_DECIDE_MEMBERSHIP_RECONNECTOR_H_
#define HINGELINK_DECIDE_MEMBERSHIP_RECONNECTOR_H_

#include <utility>
#include <vector>

#include "decide/membership/anti_entropy.h"
#include "decide/membership/gossip_sender.h"
#include "decide/membership/mass_failure_guard.h"
#include "decide/membership/member.h"
#include "decide/membership/member_table.h"
#include "decide/membership/membership_options.h"
#include "decide/milliseconds.h"
#include "decide/random_source.h"

namespace hingelink::decide::membership {

// Not thread-safe. All references must outlive the object.
class Reconnector {
 public:
  Reconnector(const MembershipOptions& options, std::vector<PeerAddress> seeds, const RandomSource& random,
              const MemberTable& table, const MassFailureGuard& guard, AntiEntropy& anti_entropy,
              GossipSender& sender)
      : options_(options),
        seeds_(std::move(seeds)),
        random_(random),
        table_(table),
        guard_(guard),
        anti_entropy_(anti_entropy),
        sender_(sender) {}

  void SetSeeds(std::vector<PeerAddress> seeds) { seeds_ = std::move(seeds); }

  // The first contact is due now.
  void Begin(Milliseconds now) { next_deadline_ = now; }
  void Tick(Milliseconds now);
  [[nodiscard]] Milliseconds next_deadline() const { return next_deadline_; }

 private:
  // Randomized, so that the nodes of a fleet that starts together do not send their messages at the same
  // times.
  [[nodiscard]] Milliseconds NextInterval() const;
  void ContactSeed();
  void ProbeLostMember();
  // While any removal is deferred, a member is lost if its removal is deferred. Otherwise, a member is lost
  // if it was declared dead and did not announce that it left.
  [[nodiscard]] bool IsLost(const Member& member) const;

  const MembershipOptions& options_;
  std::vector<PeerAddress> seeds_;
  const RandomSource& random_;
  const MemberTable& table_;
  const MassFailureGuard& guard_;
  AntiEntropy& anti_entropy_;
  GossipSender& sender_;
  Milliseconds next_deadline_{0};
};

}  // namespace hingelink::decide::membership

#endif  // HINGELINK_DECIDE_MEMBERSHIP_RECONNECTOR_H_
