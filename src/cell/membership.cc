#include "turmericpier/cell/membership.h"

#include "turmericpier/cell/links.h"

#include <algorithm>

namespace turmericpier::cell {

using Voters = std::vector<consensus::Group::Voter>;

size_t minVoters(const MembershipOptions& options)
{
    constexpr size_t smallest = 3; // A group of two bears no loss at all.
    return std::max(2 * options.maxLostDisks + 1, smallest);
}

void Membership::recordRequest(const std::string& replica, TimePoint now)
{
    auto& candidate = m_candidates[addressOf(replica)];
    if (candidate.replica != replica)
        candidate = { .replica = replica };
    candidate.lastRequest = now;
}

/// Forgets replicas that have become voters or stopped asking.
void Membership::forgetCandidates(const Voters& voters, TimePoint now)
{
    std::erase_if(m_candidates, [&](const auto& item) {
        const auto& candidate = item.second;
        return now - candidate.lastRequest > m_options.requestTimeout
            || std::ranges::any_of(voters, [&](const auto& voter) { return voter.id.str() == candidate.replica; });
    });
}

bool Membership::isRemovalDue(const Voters& voters, TimePoint now)
{
    forgetCandidates(voters, now);
    return removal(voters).has_value();
}

std::optional<VoterChange> Membership::nextChange(const Voters& voters, TimePoint now)
{
    forgetCandidates(voters, now);
    // A lost voter is removed first, because it may take away the majority while a new one catches up.
    if (auto change = removal(voters))
        return change;
    return addition(voters, now);
}

std::optional<VoterChange> Membership::removal(const Voters& voters) const
{
    for (const auto& voter : voters) {
        if (m_candidates.contains(addressOf(voter.id.str())))
            return VoterChange { voter.id.str(), false, "replaced at its address" };
    }
    const auto longest = std::ranges::max_element(voters, {}, &consensus::Group::Voter::silentFor);
    // In a full group, a lost voter has to go before its successor can join.
    const bool isInTheWay = voters.size() >= m_options.maxVoters && !m_candidates.empty();
    if ((voters.size() <= minVoters(m_options) && !isInTheWay) || longest->silentFor <= m_options.removeSilentAfter)
        return std::nullopt;
    return VoterChange { longest->id.str(), false, "silent" };
}

std::optional<VoterChange> Membership::addition(const Voters& voters, TimePoint now)
{
    if (m_candidates.empty() || voters.size() >= m_options.maxVoters)
        return std::nullopt;
    // A replica that could not be added must not keep others from being added.
    auto& next
        = std::ranges::min_element(m_candidates, {}, [](const auto& item) { return item.second.lastAttempt; })->second;
    next.lastAttempt = now;
    return VoterChange { next.replica, true, "joins" };
}

} // namespace turmericpier::cell
