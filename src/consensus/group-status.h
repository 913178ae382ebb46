#pragma once

#include "turmericpier/consensus/group.h"

#include <map>
#include <string>
#include <vector>

namespace turmericpier::consensus {

/// State of a replica that Group::dump() and Group::voters() report.
struct GroupStatus {
    std::string role;
    Term term;
    InstanceId leader;
    Index commit;
    Index applied;
    Index last;
    Index snapshot;
    std::vector<InstanceId> voters;
    std::map<InstanceId, Index> matches;
    std::map<InstanceId, TimePoint> signsOfLife; ///< Time of the last one of each peer of this leader.
    size_t pending = 0;
    bool recovering = false;
    std::string failure;
};

/// Returns the status as the JSON object of a dump.
std::string describe(const GroupOptions& options, const GroupStatus& status);

} // namespace turmericpier::consensus
