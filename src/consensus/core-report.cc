#include "consensus/core.h"

/// Reports of why there is no leader that serves.
namespace turmericpier::consensus {

void Core::reportQuorum(std::string_view reason)
{
    QuorumReport report { .role = m_role, .term = m_hardState.term, .voters = voters(), .reason = reason };
    report.needed = votesNeeded();
    for (const auto& voter : voters()) {
        const auto vote = m_votes.find(voter);
        const auto peer = m_progress.find(voter);
        if (m_role == Role::Leader) {
            if (peer == m_progress.end() || m_now - peer->second.lastContact < m_options.electionTimeoutMin)
                report.heard.push_back(voter);
        } else if (vote != m_votes.end()) {
            (vote->second ? report.heard : report.refused).push_back(voter);
        }
    }
    m_report = std::move(report);
}

/// Must be called when the election timeout has passed, before the next election begins.
void Core::reportElection()
{
    if (voters().empty())
        reportQuorum("the voters are not known");
    else if (!isVoter(m_options.self))
        reportQuorum("this replica is not a voter");
    else if (m_role == Role::PreCandidate)
        reportQuorum("too few pre-votes");
    else if (m_role == Role::Candidate)
        reportQuorum("too few votes");
    else if (!mayCampaign())
        reportQuorum("the disk was empty at the start and has not caught up");
}

} // namespace turmericpier::consensus
