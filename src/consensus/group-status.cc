#include "consensus/group-status.h"

#include <boost/json.hpp>

namespace turmericpier::consensus {

std::string describe(const GroupOptions& options, const GroupStatus& status)
{
    boost::json::object matches;
    for (const auto& [peer, match] : status.matches)
        matches[peer.str()] = match.value;
    boost::json::array voters;
    for (const auto& voter : status.voters)
        voters.emplace_back(voter.str());
    return boost::json::serialize(boost::json::object {
        { "group", options.group.str() },
        { "self", options.self.str() },
        { "role", status.role },
        { "term", status.term.value },
        { "leader", status.leader.str() },
        { "commit", status.commit.value },
        { "applied", status.applied.value },
        { "last", status.last.value },
        { "snapshot", status.snapshot.value },
        { "voters", std::move(voters) },
        { "matches", std::move(matches) },
        { "pending", status.pending },
        { "recovering", status.recovering },
        { "failure", status.failure },
    });
}

} // namespace turmericpier::consensus
