#pragma once

#include "turmericpier/base/clock.h"
#include "turmericpier/consensus/group.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

/// Decides which replicas of a cell vote. Replicas are added as they ask to join and removed once they are lost, so
/// that the voters are the replicas that are alive and a quorum never depends on one that is gone:
///
///     membership.recordRequest("10.1.0.16:7720/5f3c", clock.now());
///     if (auto change = membership.nextChange(group.voters(), clock.now()))
///         change->add ? group.addVoter(...) : group.removeVoter(...);
namespace turmericpier::cell {

struct MembershipOptions {
    /// A voter that was not heard of for this long is removed, also if it may only be suspended or cut off: when it is
    /// back, it asks to join like a new one.
    Duration removeSilentAfter = std::chrono::milliseconds(2'000);
    /// Time after which a replica that has stopped asking to join is forgotten. Replicas ask every second.
    Duration requestTimeout = std::chrono::milliseconds(3'000);
    /// Number of disks that may be lost at a time.
    size_t maxLostDisks = 1;
    size_t maxVoters = 9;
};

/// Silent voters are removed only while there are more voters than this. Of fewer, the loss of as many disks as allowed
/// would leave no majority for good, also once all others are back: they have the log and no vote.
///
///     minVoters({ .maxLostDisks = 2 }) == 5
size_t minVoters(const MembershipOptions& options);

/// A change of one voter.
struct VoterChange {
    std::string replica;
    bool add = false; ///< The replica is added; otherwise it is removed.
    std::string reason;
};

/// The view of the replica that leads. Changes are made one at a time.
class Membership {
public:
    explicit Membership(MembershipOptions options)
        : m_options(options)
    {
    }

    /// Records that a replica asks to join. A later identity at the same address takes the place of the former one.
    void recordRequest(const std::string& replica, TimePoint now);
    /// Returns the next change to make, or nothing if the voters are as they should be.
    std::optional<VoterChange> nextChange(const std::vector<consensus::Group::Voter>& voters, TimePoint now);
    /// Returns true if a voter is to be removed. A replica that is being added must not delay this by catching up
    /// slowly.
    bool isRemovalDue(const std::vector<consensus::Group::Voter>& voters, TimePoint now);

private:
    struct Candidate {
        std::string replica;
        TimePoint lastRequest;
        TimePoint lastAttempt; ///< Time of the last change that was to add it; zero if there was none.
    };

    void forgetCandidates(const std::vector<consensus::Group::Voter>& voters, TimePoint now);
    std::optional<VoterChange> removal(const std::vector<consensus::Group::Voter>& voters) const;
    std::optional<VoterChange> addition(const std::vector<consensus::Group::Voter>& voters, TimePoint now);

    const MembershipOptions m_options;
    std::map<std::string, Candidate> m_candidates; ///< By address.
};

} // namespace turmericpier::cell
