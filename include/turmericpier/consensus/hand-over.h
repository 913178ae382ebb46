#pragma once

#include "turmericpier/base/ids.h"

#include <functional>
#include <vector>

namespace turmericpier::consensus {

class Group;

/// Transfers leadership to one of `others` before a planned stop, so that callers need not wait for an election. Tries
/// each replica in turn for up to 500 ms and blocks meanwhile. Returns false if this replica still leads. Must not be
/// called on the thread of the group.
///
///     handOverLeadership(*group, otherVoters, [&] { return isLeader.load(); });
bool handOverLeadership(Group& group, const std::vector<InstanceId>& others, const std::function<bool()>& isLeader);

} // namespace turmericpier::consensus
