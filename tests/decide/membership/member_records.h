// Member records, messages and random numbers for the membership tests.
#ifndef HINGELINK_TESTS_DECIDE_MEMBERSHIP_MEMBER_RECORDS_H_
#define HINGELINK_TESTS_DECIDE_MEMBERSHIP_MEMBER_RECORDS_H_

#include <cstdint>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "decide/membership/gossip_message.h"
#include "decide/membership/member.h"
#include "decide/random_source.h"

namespace hingelink::decide {

// Returns the record of a serving member with an address derived from its name.
inline MemberRecord MakeRecord(const std::string& name, std::uint64_t process_epoch,
                               std::uint32_t incarnation = 0, MemberState state = MemberState::kAlive) {
  MemberRecord record;
  record.name = name;
  record.address = {static_cast<std::uint32_t>(std::hash<std::string>{}(name)), 7946};
  record.version = {process_epoch, incarnation};
  record.phase = MemberPhase::kServing;
  record.state = state;
  return record;
}

// Returns a message with these records. The first one is the record of the sender.
inline GossipMessage MakeGossip(std::vector<MemberRecord> records) {
  GossipMessage message;
  message.records = std::move(records);
  return message;
}

// Returns a linear congruential generator, which yields the same numbers in each run.
inline RandomSource MakeRandomSource() {
  return [state = std::uint64_t{7}]() mutable {
    state = state * 6364136223846793005U + 1442695040888963407U;
    return state;
  };
}

}  // namespace hingelink::decide

#endif  // HINGELINK_TESTS_DECIDE_MEMBERSHIP_MEMBER_RECORDS_H_
