#pragma once

#include "turmericpier/base/ids.h"
#include "turmericpier/consensus/message.h"

#include <absl/status/statusor.h>

namespace turmericpier::peer::wire {
struct ConsensusT;
}

/// Between the messages of a replicated log and their form on the wire.
namespace turmericpier::peer {

wire::ConsensusT toWire(const GroupId& group, const consensus::Message& message);

/// The group is in `wire.group`. Fails on an unknown message type or entry kind, or if a list has a missing entry.
absl::StatusOr<consensus::Message> fromWire(const wire::ConsensusT& wire);

} // namespace turmericpier::peer
