#include "consensus/core.h"

#include "turmericpier/base/error.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <algorithm>

namespace turmericpier::consensus {

namespace {
    // Replicas with the same seed in their settings must still draw different timeouts.
    std::mt19937_64 seedOf(const CoreOptions& options)
    {
        std::vector<uint32_t> words { static_cast<uint32_t>(options.seed), static_cast<uint32_t>(options.seed >> 32) };
        words.insert(words.end(), options.self.str().begin(), options.self.str().end());
        std::seed_seq sequence(words.begin(), words.end());
        return std::mt19937_64(sequence);
    }

    /// Part of an election timeout that a restarted replica need not wait: a lease lasts half of it from a moment
    /// before the restart, and a tenth more covers clocks that run at different rates.
    Duration restartCredit(const CoreOptions& options)
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
    , m_random(seedOf(m_options))
    , m_now(now)
    , m_startedAt(now)
    , m_hard(std::move(stored.hardState))
    // A restarted replica does not know whether it answered a leader a moment ago, so that it grants no vote for as
    // long as a lease may last; the leader's lease relies on this.
    , m_leaderContact(now - restartCredit(m_options))
    , m_snapshot(std::move(stored.snapshot))
{
    VoterSet voters { stored.baseIndex, std::move(stored.voters) };
    if (m_snapshot)
        voters.voters = m_snapshot->voters;
    m_log.reset(stored.baseIndex, stored.baseTerm, std::move(voters));
    for (auto& entry : stored.entries)
        m_log.append(std::move(entry));
    m_handedOut = m_snapshot ? m_snapshot->index : Index {};
    m_hard.commit = std::min(std::max(m_hard.commit, m_handedOut), m_log.last());
    m_persisted = m_log.last();
    m_unstable = m_log.last().next();
    m_storedHard = m_hard;
    resetElectionTimer();
    // When all replicas restart together no leader is left to wait for; where one is, the others refuse the pre-vote.
    m_electionDeadline = m_electionDeadline - restartCredit(m_options);
    if (this->voters() == std::vector { m_options.self })
        m_electionDeadline = now; // nobody else to wait for
}

void Core::resetElectionTimer()
{
    const auto span = (m_options.electionTimeoutMax - m_options.electionTimeoutMin).count();
    // Preferred leaders draw from the first half of the range, the others from the second.
    const auto& preferred = m_options.preferredLeaders;
    const bool first = preferred.empty() || std::ranges::find(preferred, m_options.self) != preferred.end();
    std::uniform_int_distribution<int64_t> distribution(first ? 0 : span / 2, preferred.empty() ? span : span / 2);
    if (!first)
        distribution = std::uniform_int_distribution<int64_t>(span / 2, span);
    m_electionDeadline = m_now + m_options.electionTimeoutMin + Duration(distribution(m_random));
}

void Core::setRetryTimer()
{
    // The leader is known to be away by now: after a split vote a shorter wait keeps the loss of a leader under 3 s.
    const auto longest = m_options.electionTimeoutMin.count();
    std::uniform_int_distribution<int64_t> distribution(longest / 4, longest);
    m_electionDeadline = m_now + Duration(distribution(m_random));
}

bool Core::isVoter(const InstanceId& id) const { return std::ranges::find(voters(), id) != voters().end(); }

bool Core::mayCampaign() const
{
    if (m_hard.recovering && m_log.last().value != 0)
        return false;
    // Until its removal is committed, a replica may be the only one whose log is recent enough to lead.
    const auto committed = m_log.votersAt(m_hard.commit).voters;
    return isVoter(m_options.self) || std::ranges::find(committed, m_options.self) != committed.end();
}

bool Core::inLease() const { return m_role == Role::Leader || m_now - m_leaderContact < m_options.electionTimeoutMin; }

void Core::tick(TimePoint now)
{
    m_now = std::max(m_now, now);
    finishRecovery();
    if (m_role == Role::Leader)
        return tickLeader();
    if (m_now < m_electionDeadline)
        return;
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
    if (term > m_hard.term) {
        m_hard.term = term;
        m_hard.vote = {};
        m_recoverTo.reset();
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
            refuse(absl::StatusCode::kUnavailable, "LEADERSHIP_LOST", "leadership was lost before the change"), {} });
    m_pendingVoter.reset();
    m_progress.clear();
    m_rounds.clear();
    m_roundWanted = false;
    m_transferTo = {};
    m_uncommittedBytes = 0;
}

void Core::campaign(Role role, bool transfer)
{
    m_role = role;
    m_leader = {};
    m_votes = { { m_options.self, true } };
    if (role == Role::Candidate) {
        m_hard.term = m_hard.term.next();
        m_hard.vote = m_options.self;
        if (m_log.last().value == 0)
            m_hard.emptyVote = m_options.incarnation;
        m_recoverTo.reset();
    }
    setRetryTimer();
    requestVotes(transfer);
    countVotes();
}

void Core::requestVotes(bool transfer)
{
    Message request;
    request.type = m_role == Role::Candidate ? MessageType::Vote : MessageType::PreVote;
    request.term = m_role == Role::Candidate ? m_hard.term : m_hard.term.next();
    request.logIndex = m_log.last();
    request.logTerm = m_log.lastTerm();
    request.context = m_log.last().value == 0 ? m_options.incarnation : origin();
    request.reject = transfer;
    for (const auto& voter : voters()) {
        if (voter != m_options.self)
            sendAfterSync(voter, request);
    }
}

size_t Core::votesNeeded() const
{
    // A voter with an empty log may have lost its disk. Only if every voter has an empty log is it certain that there
    // is no committed entry.
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
    m_hard.recovering = false;
    m_progress.clear();
    for (const auto& voter : voters()) {
        if (voter != m_options.self)
            m_progress[voter] = { .next = m_log.last().next(), .lastProgress = m_now, .lastHeard = m_now };
    }
    m_rounds.clear();
    m_leaseEnd = {};
    m_leaseAllowed = true;
    m_transferTo = {};
    m_uncommittedBytes = 0;
    m_preferAfter = m_now + m_options.electionTimeoutMax;
    m_termStart = m_log.last().next();
    // The first entries of all identify the election that every voter took part in, and name the voters, so that later
    // replicas need no settings to know them.
    const bool first = m_log.last().value == 0;
    appendEntry(EntryKind::Empty, first ? absl::StrCat(m_options.incarnation) : std::string());
    if (first)
        appendEntry(EntryKind::Membership, encodeVoters(voters()));
    startRound();
}

void Core::step(const InstanceId& from, Message message, TimePoint now)
{
    // Timeouts that passed while the process was paused come before the messages that waited for it.
    tick(now);
    if (message.term < m_hard.term)
        return onOldTerm(from, message);
    if (message.term > m_hard.term && !adoptTerm(from, message))
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
            return true; // carries the term asked for, not the term of the sender
        break;
    case MessageType::Vote:
        // A removed or restarted replica does not disturb a leader that is in contact with this one.
        if (inLease() && !message.reject)
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

void Core::onOldTerm(const InstanceId& from, const Message& message)
{
    Message reply { .term = m_hard.term, .reject = true };
    switch (message.type) {
    case MessageType::Append:
    case MessageType::Heartbeat:
    case MessageType::Snapshot:
        reply.type = MessageType::AppendReply; // makes an old leader step down
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
        noteOrigin(message.context);
    const bool upToDate = message.logTerm > m_log.lastTerm()
        || (message.logTerm == m_log.lastTerm() && message.logIndex >= m_log.last());
    const bool free = preVote ? message.term > m_hard.term && !inLease()
                              : (m_hard.vote.empty() && m_leader.empty()) || m_hard.vote == from;
    // A replica that may have forgotten entries and votes helps only a candidate that needs every voter.
    const bool allowed = !m_hard.recovering || (message.logIndex.value == 0 && m_log.last().value == 0);
    const bool grant = upToDate && free && allowed;
    if (grant && !preVote) {
        m_hard.vote = from;
        if (m_log.last().value == 0 && message.logIndex.value == 0)
            m_hard.emptyVote = message.context;
        resetElectionTimer();
    }
    Message reply;
    reply.type = preVote ? MessageType::PreVoteReply : MessageType::VoteReply;
    reply.term = grant ? message.term : m_hard.term;
    reply.reject = !grant;
    sendAfterSync(from, std::move(reply));
}

void Core::onVoteReply(const InstanceId& from, const Message& message)
{
    const bool preVote = message.type == MessageType::PreVoteReply;
    if (m_role != (preVote ? Role::PreCandidate : Role::Candidate))
        return;
    if (!message.reject && message.term != (preVote ? m_hard.term.next() : m_hard.term))
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
    // A candidate that this replica voted for before it lost its disk gives up within the longest election timeout.
    const bool waited = m_now - m_startedAt >= m_options.electionTimeoutMax;
    if (m_hard.recovering && waited && m_recoverTo && m_persisted >= *m_recoverTo)
        m_hard.recovering = false;
}

uint64_t Core::origin() const
{
    uint64_t origin = 0;
    const Index first { 1 };
    if (m_log.base().value != 0 || m_log.last() < first || !absl::SimpleAtoi(m_log.at(first).data, &origin))
        return 0; // compacted; a replica that needs it catches up from a leader instead
    return origin;
}

void Core::noteOrigin(uint64_t origin)
{
    // The log began with an election that needed the vote which this replica remembers. Every replica was empty then,
    // so that there was nothing to forget.
    if (m_hard.recovering && origin != 0 && origin == m_hard.emptyVote)
        m_hard.recovering = false;
}

bool Core::hasReady() const
{
    return !m_messages.empty() || !m_afterSync.empty() || m_installed || m_unstable <= m_log.last()
        || m_handedOut < m_hard.commit || m_roundWanted || !m_readResults.empty() || !m_changeResults.empty()
        || m_hard.term != m_storedHard.term || m_hard.vote != m_storedHard.vote
        || m_hard.recovering != m_storedHard.recovering;
}

Ready Core::takeReady()
{
    if (m_role == Role::Leader) {
        if (m_roundWanted)
            startRound();
        replicateAll();
    }
    Ready ready;
    ready.snapshot = std::exchange(m_installed, nullptr);
    ready.resetLog = std::exchange(m_logReset, false);
    if (m_unstable <= m_log.last())
        ready.entries = m_log.slice(m_unstable, SIZE_MAX);
    m_unstable = m_log.last().next();
    const bool voteChanged = m_hard.term != m_storedHard.term || m_hard.vote != m_storedHard.vote;
    ready.mustSync
        = voteChanged || m_hard.recovering != m_storedHard.recovering || ready.snapshot || !ready.entries.empty();
    ready.hardState = m_storedHard = m_hard;
    ready.messages = std::exchange(m_messages, {});
    ready.afterSync = std::exchange(m_afterSync, {});
    if (voteChanged) { // messages of a new term must not overtake the term on disk
        ready.afterSync.insert(ready.afterSync.begin(), std::make_move_iterator(ready.messages.begin()),
            std::make_move_iterator(ready.messages.end()));
        ready.messages.clear();
    }
    while (m_handedOut < m_hard.commit) {
        m_handedOut = m_handedOut.next();
        ready.committed.push_back(m_log.at(m_handedOut));
    }
    ready.reads = std::exchange(m_readResults, {});
    ready.changes = std::exchange(m_changeResults, {});
    return ready;
}

void Core::persisted(Index index, Term term)
{
    if (m_log.termAt(index) != term)
        return; // replaced since
    m_persisted = std::max(m_persisted, index);
    finishRecovery();
    if (m_role == Role::Leader)
        advanceCommit();
}

void Core::snapshotTaken(std::shared_ptr<const Snapshot> snapshot)
{
    if (m_snapshot && snapshot->index <= m_snapshot->index)
        return;
    if (m_snapshot)
        m_log.compactTo(m_snapshot->index);
    m_snapshot = std::move(snapshot);
}

void Core::commitTo(Index index) { m_hard.commit = std::max(m_hard.commit, std::min(index, m_log.last())); }

void Core::send(const InstanceId& to, Message message)
{
    message.term = m_hard.term;
    m_messages.push_back({ to, std::move(message) });
}

void Core::sendAfterSync(const InstanceId& to, Message message) { m_afterSync.push_back({ to, std::move(message) }); }

absl::Status Core::refuse(absl::StatusCode code, const char* reason, std::string_view message) const
{
    return makeError({ code, Outcome::NotRun, reason, "propose", m_options.self.str() }, message);
}

} // namespace turmericpier::consensus
