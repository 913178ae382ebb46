#include "consensus/core.h"

#include "turmericpier/base/error.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <algorithm>

namespace turmericpier::consensus {

namespace {
    // Includes the id, so that replicas with the same seed in their settings draw different election timeouts.
    std::mt19937_64 makeRandomEngine(const CoreOptions& options)
    {
        std::vector<uint32_t> words { static_cast<uint32_t>(options.seed), static_cast<uint32_t>(options.seed >> 32) };
        words.insert(words.end(), options.self.str().begin(), options.self.str().end());
        std::seed_seq sequence(words.begin(), words.end());
        return std::mt19937_64(sequence);
    }

    /// Part of the election timeout that a restarted replica need not wait. A lease granted before the restart lasts
    /// for at most half of the timeout; another tenth covers the difference of clock rates.
    Duration restartTimeoutReduction(const CoreOptions& options)
    {
        constexpr int parts = 5;
        return options.electionTimeoutMin * 2 / parts;
    }
} // namespace

std::string_view toString(Role role)
{
    switch (role) {
    case Role::Follower:
        return "follower";
    case Role::PreCandidate:
        return "pre-candidate";
    case Role::Candidate:
        return "candidate";
    case Role::Leader:
        break;
    }
    return "leader";
}

Core::Core(CoreOptions options, StoredState stored, TimePoint now)
    : m_options(std::move(options))
    , m_random(makeRandomEngine(m_options))
    , m_now(now)
    , m_startedAt(now)
    , m_hardState(std::move(stored.hardState))
    // A restarted replica does not know whether it acknowledged a leader just before the restart. It therefore grants
    // no vote for as long as that leader may hold a lease.
    , m_lastLeaderContact(now - restartTimeoutReduction(m_options))
    , m_snapshot(std::move(stored.snapshot))
{
    VoterSet voters { stored.baseIndex, std::move(stored.voters) };
    if (m_snapshot)
        voters.voters = m_snapshot->voters;
    m_log.reset(stored.baseIndex, stored.baseTerm, std::move(voters));
    for (auto& entry : stored.entries)
        m_log.append(std::move(entry));
    m_lastDelivered = std::max(stored.applied, m_snapshot ? m_snapshot->index : Index {});
    m_hardState.commit = std::min(std::max(m_hardState.commit, m_lastDelivered), m_log.last());
    m_persisted = m_log.last();
    m_unstable = m_log.last().next();
    m_lastHardState = m_hardState;
    resetElectionTimer();
    // If all replicas restarted together, there is no leader to wait for. If there is one, the others reject the
    // pre-vote.
    m_electionDeadline = m_electionDeadline - restartTimeoutReduction(m_options);
    if (this->voters() == std::vector { m_options.self })
        m_electionDeadline = now; // a single voter needs no other vote
}

void Core::resetElectionTimer()
{
    const auto span = (m_options.electionTimeoutMax - m_options.electionTimeoutMin).count();
    // Preferred leaders choose a timeout from the first half of the range, the others from the second half.
    const auto& preferred = m_options.preferredLeaders;
    const bool first = preferred.empty() || std::ranges::find(preferred, m_options.self) != preferred.end();
    std::uniform_int_distribution<int64_t> distribution(first ? 0 : span / 2, preferred.empty() ? span : span / 2);
    if (!first)
        distribution = std::uniform_int_distribution<int64_t>(span / 2, span);
    m_electionDeadline = m_now + m_options.electionTimeoutMin + Duration(distribution(m_random));
}

void Core::setRetryTimer()
{
    // The leader is known to be lost, so that a shorter timeout is safe. It keeps the time without a leader below 3 s
    // even after a split vote.
    const auto longest = m_options.electionTimeoutMin.count();
    std::uniform_int_distribution<int64_t> distribution(longest / 4, longest);
    m_electionDeadline = m_now + Duration(distribution(m_random));
}

bool Core::isVoter(const InstanceId& id) const { return std::ranges::find(voters(), id) != voters().end(); }

bool Core::mayCampaign() const
{
    if (m_hardState.recovering && m_log.last().value != 0)
        return false;
    // Until its removal is committed, a replica may be the only one whose log is sufficiently up to date to win.
    const auto committed = m_log.votersAt(m_hardState.commit).voters;
    return isVoter(m_options.self) || std::ranges::find(committed, m_options.self) != committed.end();
}

bool Core::hasActiveLeader() const
{
    return m_role == Role::Leader || m_now - m_lastLeaderContact < m_options.electionTimeoutMin;
}

void Core::tick(TimePoint now)
{
    m_now = std::max(m_now, now);
    finishRecovery();
    if (m_role == Role::Leader)
        return tickLeader();
    if (m_now < m_electionDeadline)
        return;
    reportElection();
    m_leader = {};
    resetElectionTimer();
    if (mayCampaign())
        campaign(Role::PreCandidate, false);
    else
        m_role = Role::Follower;
}

void Core::becomeFollower(Term term, const InstanceId& leader)
{
    const bool wasLeader = m_role == Role::Leader;
    if (term > m_hardState.term) {
        m_hardState.term = term;
        m_hardState.vote = {};
        m_recoveryTarget.reset();
    }
    m_role = Role::Follower;
    m_leader = leader;
    m_votes.clear();
    if (wasLeader) {
        failPending();
        resetElectionTimer();
    }
}

void Core::failPending()
{
    for (const auto& read : m_pendingReads)
        m_readResults.push_back({ read.id, false, {} });
    m_pendingReads.clear();
    if (m_pendingVoter)
        m_changeResults.push_back({ m_pendingVoter->id,
            refuse(absl::StatusCode::kUnavailable, "LEADERSHIP_LOST",
                "leadership was lost before the membership change was proposed"),
            {} });
    m_pendingVoter.reset();
    m_progress.clear();
    m_unconfirmedRounds.clear();
    m_heartbeatRoundRequested = false;
    m_transferTarget = {};
    m_uncommittedBytes = 0;
}

void Core::campaign(Role role, bool transfer)
{
    m_role = role;
    m_leader = {};
    m_votes = { { m_options.self, true } };
    if (role == Role::Candidate) {
        m_hardState.term = m_hardState.term.next();
        m_hardState.vote = m_options.self;
        if (m_log.last().value == 0)
            m_hardState.emptyLogVote = m_options.incarnation;
        m_recoveryTarget.reset();
    }
    setRetryTimer();
    requestVotes(transfer);
    countVotes();
}

void Core::requestVotes(bool transfer)
{
    Message request;
    request.type = m_role == Role::Candidate ? MessageType::Vote : MessageType::PreVote;
    request.term = m_role == Role::Candidate ? m_hardState.term : m_hardState.term.next();
    request.logIndex = m_log.last();
    request.logTerm = m_log.lastTerm();
    request.context = m_log.last().value == 0 ? m_options.incarnation : firstLeaderIncarnation();
    request.reject = transfer;
    for (const auto& voter : voters()) {
        if (voter != m_options.self)
            sendAfterSync(voter, request);
    }
}

size_t Core::votesNeeded() const
{
    // A voter with an empty log may have lost its disk. Only if the logs of all voters are empty is it certain that no
    // entry was committed.
    return m_log.last().value == 0 ? voters().size() : voters().size() / 2 + 1;
}

void Core::countVotes()
{
    const auto granted = std::ranges::count_if(voters(), [this](const InstanceId& voter) {
        const auto found = m_votes.find(voter);
        return found != m_votes.end() && found->second;
    });
    if (static_cast<size_t>(granted) < votesNeeded())
        return;
    if (m_role == Role::PreCandidate)
        campaign(Role::Candidate, false);
    else if (m_role == Role::Candidate)
        becomeLeader();
}

void Core::becomeLeader()
{
    m_role = Role::Leader;
    m_leader = m_options.self;
    m_hardState.recovering = false;
    m_progress.clear();
    for (const auto& voter : voters()) {
        if (voter != m_options.self)
            m_progress[voter] = { .next = m_log.last().next(),
                .lastProgress = m_now,
                .lastContact = m_now,
                .lastHeard = lastHeardBefore(voter) };
    }
    m_unconfirmedRounds.clear();
    m_leaseEnd = {};
    m_leaseAllowed = true;
    m_transferTarget = {};
    m_uncommittedBytes = 0;
    m_nextPreferredTransfer = m_now + m_options.electionTimeoutMax;
    m_termStart = m_log.last().next();
    m_electedAt = m_lastLease = m_now;
    // The first two entries of the log identify the first election, in which every voter took part, and store the
    // voters, so that replicas added later do not depend on their settings.
    const bool first = m_log.last().value == 0;
    appendEntry(EntryKind::Empty, first ? absl::StrCat(m_options.incarnation) : std::string());
    if (first)
        appendEntry(EntryKind::Membership, encodeVoters(voters()));
    startHeartbeatRound();
}

void Core::step(const InstanceId& from, Message message, TimePoint now)
{
    // Timeouts that expired while the process was paused must be handled before the messages received meanwhile.
    tick(now);
    if (message.term < m_hardState.term)
        return onStaleTerm(from, message);
    if (message.term > m_hardState.term && !adoptTerm(from, message))
        return;
    switch (message.type) {
    case MessageType::PreVote:
    case MessageType::Vote:
        return onVoteRequest(from, message);
    case MessageType::PreVoteReply:
    case MessageType::VoteReply:
        return onVoteReply(from, message);
    case MessageType::Append:
        return onAppend(from, message);
    case MessageType::AppendReply:
        return onAppendReply(from, message);
    case MessageType::Heartbeat:
        return onHeartbeat(from, message);
    case MessageType::HeartbeatReply:
        return onHeartbeatReply(from, message);
    case MessageType::Snapshot:
        return onSnapshot(from, message);
    case MessageType::SnapshotReply:
        return onSnapshotReply(from, message);
    case MessageType::TimeoutNow:
        return onTimeoutNow(from);
    }
}

bool Core::adoptTerm(const InstanceId& from, const Message& message)
{
    switch (message.type) {
    case MessageType::PreVote:
        return true;
    case MessageType::PreVoteReply:
        if (!message.reject)
            return true; // a granted pre-vote carries the requested term, not that of the sender
        break;
    case MessageType::Vote:
        // A removed or restarted replica must not depose a leader that is in contact with this replica.
        if (hasActiveLeader() && !message.reject)
            return false;
        break;
    default:
        break;
    }
    const bool fromLeader = message.type == MessageType::Append || message.type == MessageType::Heartbeat
        || message.type == MessageType::Snapshot;
    becomeFollower(message.term, fromLeader ? from : InstanceId {});
    return true;
}

void Core::onStaleTerm(const InstanceId& from, const Message& message)
{
    Message reply { .term = m_hardState.term, .reject = true };
    switch (message.type) {
    case MessageType::Append:
    case MessageType::Heartbeat:
    case MessageType::Snapshot:
        reply.type = MessageType::AppendReply; // makes the stale leader step down
        break;
    case MessageType::PreVote:
        reply.type = MessageType::PreVoteReply;
        break;
    default:
        return;
    }
    sendAfterSync(from, std::move(reply));
}

void Core::onVoteRequest(const InstanceId& from, const Message& message)
{
    const bool preVote = message.type == MessageType::PreVote;
    if (message.logIndex.value != 0)
        finishRecoveryIfVotedFor(message.context);
    const bool upToDate = message.logTerm > m_log.lastTerm()
        || (message.logTerm == m_log.lastTerm() && message.logIndex >= m_log.last());
    const bool mayVote = preVote ? message.term > m_hardState.term && !hasActiveLeader()
                                 : (m_hardState.vote.empty() && m_leader.empty()) || m_hardState.vote == from;
    // A replica that may have lost entries and votes only votes for a candidate that needs the votes of all voters.
    const bool isTrusted = !m_hardState.recovering || (message.logIndex.value == 0 && m_log.last().value == 0);
    const bool grant = upToDate && mayVote && isTrusted;
    if (grant && !preVote) {
        m_hardState.vote = from;
        if (m_log.last().value == 0 && message.logIndex.value == 0)
            m_hardState.emptyLogVote = message.context;
        resetElectionTimer();
    }
    Message reply;
    reply.type = preVote ? MessageType::PreVoteReply : MessageType::VoteReply;
    reply.term = grant ? message.term : m_hardState.term;
    reply.reject = !grant;
    sendAfterSync(from, std::move(reply));
}

void Core::onVoteReply(const InstanceId& from, const Message& message)
{
    const bool preVote = message.type == MessageType::PreVoteReply;
    if (m_role != (preVote ? Role::PreCandidate : Role::Candidate))
        return;
    if (!message.reject && message.term != (preVote ? m_hardState.term.next() : m_hardState.term))
        return;
    m_votes[from] = !message.reject;
    countVotes();
}

void Core::onTimeoutNow(const InstanceId& from)
{
    if (m_role == Role::Follower && from == m_leader && mayCampaign())
        campaign(Role::Candidate, true);
}

void Core::finishRecovery()
{
    // A candidate that this replica may have voted for before it lost its disk gives up within the maximum election
    // timeout.
    const bool waited = m_now - m_startedAt >= m_options.electionTimeoutMax;
    if (m_hardState.recovering && waited && m_recoveryTarget && m_persisted >= *m_recoveryTarget)
        m_hardState.recovering = false;
}

uint64_t Core::firstLeaderIncarnation() const
{
    uint64_t incarnation = 0;
    const Index first { 1 };
    if (m_log.base().value != 0 || m_log.last() < first || !absl::SimpleAtoi(m_log.at(first).data, &incarnation))
        return 0; // compacted; a recovering replica must catch up from a leader instead
    return incarnation;
}

void Core::finishRecoveryIfVotedFor(uint64_t firstLeader)
{
    // The stored vote was cast in the first election of the log. All logs were empty at that time, so that this replica
    // cannot have lost any entry or vote.
    if (m_hardState.recovering && firstLeader != 0 && firstLeader == m_hardState.emptyLogVote)
        m_hardState.recovering = false;
}

bool Core::hasReady() const
{
    return !m_messages.empty() || !m_afterSync.empty() || m_installedSnapshot || m_unstable <= m_log.last()
        || m_lastDelivered < m_hardState.commit || m_heartbeatRoundRequested || !m_readResults.empty()
        || !m_changeResults.empty() || m_hardState.term != m_lastHardState.term
        || m_hardState.vote != m_lastHardState.vote || m_hardState.recovering != m_lastHardState.recovering;
}

Ready Core::takeReady()
{
    if (m_role == Role::Leader) {
        if (m_heartbeatRoundRequested)
            startHeartbeatRound();
        replicateAll();
    }
    Ready ready;
    ready.snapshot = std::exchange(m_installedSnapshot, nullptr);
    ready.resetLog = std::exchange(m_logReset, false);
    if (m_unstable <= m_log.last())
        ready.entries = m_log.slice(m_unstable, SIZE_MAX);
    m_unstable = m_log.last().next();
    const bool voteChanged = m_hardState.term != m_lastHardState.term || m_hardState.vote != m_lastHardState.vote;
    ready.mustSync = voteChanged || m_hardState.recovering != m_lastHardState.recovering || ready.snapshot
        || !ready.entries.empty();
    ready.hardState = m_lastHardState = m_hardState;
    ready.messages = std::exchange(m_messages, {});
    ready.afterSync = std::exchange(m_afterSync, {});
    if (voteChanged) { // the new term and vote must be durable before they are sent
        ready.afterSync.insert(ready.afterSync.begin(), std::make_move_iterator(ready.messages.begin()),
            std::make_move_iterator(ready.messages.end()));
        ready.messages.clear();
    }
    while (m_lastDelivered < m_hardState.commit) {
        m_lastDelivered = m_lastDelivered.next();
        ready.committed.push_back(m_log.at(m_lastDelivered));
    }
    ready.reads = std::exchange(m_readResults, {});
    ready.changes = std::exchange(m_changeResults, {});
    return ready;
}

void Core::onPersisted(Index index, Term term)
{
    if (m_log.termAt(index) != term)
        return; // the entry was replaced meanwhile
    m_persisted = std::max(m_persisted, index);
    finishRecovery();
    if (m_role == Role::Leader)
        advanceCommit();
}

void Core::onSnapshotTaken(std::shared_ptr<const Snapshot> snapshot)
{
    if (m_snapshot && snapshot->index <= m_snapshot->index)
        return;
    if (m_snapshot)
        m_log.compactTo(m_snapshot->index);
    m_snapshot = std::move(snapshot);
}

void Core::commitTo(Index index) { m_hardState.commit = std::max(m_hardState.commit, std::min(index, m_log.last())); }

void Core::send(const InstanceId& to, Message message)
{
    message.term = m_hardState.term;
    m_messages.push_back({ to, std::move(message) });
}

void Core::sendAfterSync(const InstanceId& to, Message message) { m_afterSync.push_back({ to, std::move(message) }); }

absl::Status Core::refuse(absl::StatusCode code, const char* reason, std::string_view message) const
{
    return makeError({ code, Outcome::NotRun, reason, "propose", m_options.self.str() }, message);
}

} // namespace turmericpier::consensus
