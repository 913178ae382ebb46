#pragma once

#include "turmericpier/base/ids.h"

#include <functional>
#include <vector>

namespace turmericpier::consensus {

class Group;

/// Before a planned stop: moves leadership to one of `others`, so that callers need not wait for an election. Tries
/// each for a short time and blocks meanwhile; returns false if this replica still leads. Not on the group's thread.
///
///     handOverLeadership(*group, otherVoters, [&] { return isLeader.load(); });
bool handOverLeadership(Group& group, const std::vector<InstanceId>& others, const std::function<bool()>& isLeader);

} // namespace turmericpier::consensus
