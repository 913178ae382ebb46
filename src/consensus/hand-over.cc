#include "turmericpier/consensus/hand-over.h"

#include "turmericpier/consensus/group.h"

#include <thread>

namespace turmericpier::consensus {

namespace {
    // A transfer takes an election, that is a few round trips and syncs. The limit of 25 polls at 20 ms skips a replica
    // that is down.
    constexpr int pollsPerReplica = 25;
    constexpr auto pollInterval = std::chrono::milliseconds(20);
} // namespace

bool handOverLeadership(Group& group, const std::vector<InstanceId>& others, const std::function<bool()>& isLeader)
{
    for (const auto& other : others) {
        if (!isLeader())
            return true;
        group.transferLeadership(other);
        for (int poll = 0; poll < pollsPerReplica && isLeader(); ++poll)
            std::this_thread::sleep_for(pollInterval);
    }
    return !isLeader();
}

} // namespace turmericpier::consensus
