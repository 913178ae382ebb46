#pragma once

#include "turmericpier/base/ids.h"
#include "turmericpier/consensus/message.h"

#include <absl/status/statusor.h>

namespace turmericpier::peer::wire {
struct ConsensusT;
}

/// Conversion between the messages of a replicated log and their wire format.
namespace turmericpier::peer {

/// Converts a message of the log of a group.
wire::ConsensusT toWire(const GroupId& group, const consensus::Message& message);

/// Converts a message back; its group is in `wire.group`. Fails with BAD_CONSENSUS_MESSAGE on an unknown message type
/// or entry kind and on a null log entry.
absl::StatusOr<consensus::Message> fromWire(const wire::ConsensusT& wire);

} // namespace turmericpier::peer
