#include "decide/rider.h"

#include <algorithm>
#include <utility>

namespace hingelink::decide {

void Riders::Load(FleetTime now, const PeerAddress& to, PeerMessage& message, std::size_t most_bytes) {
  if (riders_.empty()) return;
  const std::size_t used = MostBytes(message);
  std::size_t room = std::min(kMostParcelBytes, most_bytes > used ? most_bytes - used : 0);
  const bool whole = message.kind == MessageKind::kCompare || message.kind == MessageKind::kDiffer;
  first_ = (first_ + 1) % riders_.size();
  for (std::size_t i = 0; i < riders_.size(); ++i) {
    Rider& rider = *riders_[(first_ + i) % riders_.size()];
    for (const bool part : {false, true}) {
      if (room <= kParcelOverhead || (part && !whole)) break;
      std::string body =
          part ? rider.Part(now, to, room - kParcelOverhead) : rider.Delta(now, to, room - kParcelOverhead);
      // Guards against a rider that takes more than it was given: its parcel would make the message too long.
      if (body.empty() || body.size() + kParcelOverhead > room) continue;
      room -= body.size() + kParcelOverhead;
      message.parcels.push_back({rider.topic(), std::move(body)});
    }
  }
}

void Riders::Deliver(FleetTime now, const PeerMessage& message) {
  if (message.records.empty()) return;
  for (const Parcel& parcel : message.parcels) {
    for (Rider* rider : riders_) {
      if (rider->topic() == parcel.topic) rider->Hear(now, message.records.front(), parcel.body);
    }
  }
}

}  // namespace hingelink::decide
