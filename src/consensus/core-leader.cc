#include "consensus/core.h"

#include <absl/strings/str_cat.h>
#include <algorithm>

/// Leader side of replication: appends, snapshots, leases, membership changes and leadership transfer.
namespace turmericpier::consensus {

namespace {
    // Number of maximum election timeouts between two transfers to a preferred leader.
    constexpr int preferredTransferRetryTimeouts = 10;
    // Number of minimum election timeouts without progress after which adding a voter fails.
    constexpr int newVoterProgressTimeouts = 10;
    // Number of minimum election timeouts without any reply after which adding a voter fails, so that a replica that
    // was lost meanwhile does not delay other membership changes.
    constexpr int newVoterContactTimeouts = 3;
} // namespace

uint64_t Core::quorumValue(const std::function<uint64_t(const InstanceId&)>& valueOf) const
{
    std::vector<uint64_t> values;
    for (const auto& voter : voters())
        values.push_back(valueOf(voter));
    std::ranges::sort(values, std::greater<> {});
    return values.empty() ? 0 : values[values.size() / 2];
}

bool Core::hasQuorumContact() const
{
    const auto contact = quorumValue([this](const InstanceId& voter) -> uint64_t {
        const auto found = m_progress.find(voter);
        return (found == m_progress.end() ? m_now : found->second.lastContact).sinceStart.count();
    });
    return m_now.sinceStart - Duration(contact) < m_options.electionTimeoutMin;
}

void Core::tickLeader()
{
    if (!hasQuorumContact()) {
        reportQuorum("no quorum answers the leader");
        return becomeFollower(m_hardState.term, {});
    }
    if (isLeaseOverdue()) {
        reportQuorum("the leader has no lease");
        return becomeFollower(m_hardState.term, {});
    }
    if (m_hardState.commit < m_termStart && m_now - m_electedAt >= m_options.electionTimeoutMax)
        reportQuorum("no entry of the term is committed");
    if (!m_transferTarget.empty() && m_now >= m_transferDeadline)
        m_transferTarget = {};
    if (m_pendingVoter && hasPendingVoterFailed()) {
        endAddition(refuse(absl::StatusCode::kDeadlineExceeded, "NOT_CAUGHT_UP",
            absl::StrCat("instance ", m_pendingVoter->voter.str(), " made no progress in catching up")));
    }
    if (m_now < m_heartbeatDue)
        return;
    startHeartbeatRound();
    transferToPreferredLeader();
}

bool Core::hasPendingVoterFailed() const
{
    const auto silence = m_now - m_progress.at(m_pendingVoter->voter).lastContact;
    return m_now >= m_pendingVoter->deadline || silence >= newVoterContactTimeouts * m_options.electionTimeoutMin;
}

/// A leader that serves by its lease refuses every call without one, and its heartbeats keep the others from an
/// election. Answers that are slower than the lease, but faster than the election timeout, would leave it in this state
/// for good.
bool Core::isLeaseOverdue()
{
    if (hasValidLease(m_now) || voters().size() == 1)
        m_lastLease = m_now;
    return m_options.servesByLease && m_now - m_lastLease >= m_options.electionTimeoutMax;
}

void Core::recordContact(Progress& progress) const { progress.lastContact = progress.lastHeard = m_now; }

TimePoint Core::lastSignOfLife(const Progress& progress) const
{
    return m_now - progress.lastContact < m_options.electionTimeoutMin ? progress.lastContact : progress.lastHeard;
}

/// Returns when the voter was last heard of before this replica became leader; now if nothing is known.
TimePoint Core::lastHeardBefore(const InstanceId& voter) const
{
    if (voter == m_lastLeader)
        return m_lastLeaderContact;
    const auto silent = m_silentSince.find(voter);
    return silent == m_silentSince.end() ? m_now : silent->second;
}

std::vector<InstanceId> Core::silentVoters() const
{
    std::vector<InstanceId> silent;
    for (const auto& [peer, progress] : m_progress) {
        if (m_now - progress.lastHeard >= m_options.electionTimeoutMin && isVoter(peer))
            silent.push_back(peer);
    }
    return silent;
}

void Core::startHeartbeatRound()
{
    const auto silent = silentVoters();
    m_heartbeatRoundRequested = false;
    m_heartbeatDue = m_now + m_options.heartbeat;
    m_unconfirmedRounds.emplace_back(++m_heartbeatRound, m_now);
    for (auto& [peer, progress] : m_progress) {
        Message heartbeat { .type = MessageType::Heartbeat, .context = m_heartbeatRound };
        heartbeat.commit = std::min(progress.match, m_hardState.commit);
        heartbeat.silent = silent;
        send(peer, std::move(heartbeat));
    }
    confirmReads(); // a single voter needs no replies
}

uint64_t Core::quorumRound() const
{
    return quorumValue([this](const InstanceId& voter) {
        const auto found = m_progress.find(voter);
        return found == m_progress.end() ? m_heartbeatRound : found->second.ackedRound;
    });
}

bool Core::hasValidLease(TimePoint now) const { return m_role == Role::Leader && m_leaseAllowed && now < m_leaseEnd; }

void Core::confirmReads()
{
    const auto acked = quorumRound();
    while (!m_unconfirmedRounds.empty() && m_unconfirmedRounds.front().first <= acked) {
        // The lease lasts half of the minimum election timeout; the other half covers the difference of clock rates.
        m_leaseEnd = std::max(m_leaseEnd, m_unconfirmedRounds.front().second + m_options.electionTimeoutMin / 2);
        m_unconfirmedRounds.pop_front();
    }
    std::erase_if(m_pendingReads, [&](const PendingRead& read) {
        const bool confirmed = read.round <= acked && read.index <= m_hardState.commit;
        if (confirmed)
            m_readResults.push_back({ read.id, true, read.index });
        return confirmed;
    });
}

void Core::read(uint64_t id, TimePoint now)
{
    tick(now);
    if (m_role != Role::Leader) {
        m_readResults.push_back({ id, false, {} });
        return;
    }
    if (hasValidLease(m_now) && m_hardState.commit >= m_termStart) {
        m_readResults.push_back({ id, true, m_hardState.commit });
        return;
    }
    // Concurrent reads share the heartbeat round that the next takeReady() starts.
    m_heartbeatRoundRequested = true;
    m_pendingReads.push_back({ id, m_heartbeatRound + 1, std::max(m_hardState.commit, m_termStart) });
}

absl::StatusOr<Index> Core::propose(std::string data)
{
    if (m_role != Role::Leader)
        return refuse(absl::StatusCode::kUnavailable, "NOT_LEADER",
            m_leader.empty() ? "no leader is known" : absl::StrCat("the leader is ", m_leader.str()));
    if (!m_transferTarget.empty())
        return refuse(absl::StatusCode::kUnavailable, "TRANSFERRING",
            absl::StrCat("leadership is being transferred to ", m_transferTarget.str()));
    if (data.size() > maxEntryBytes)
        return refuse(absl::StatusCode::kInvalidArgument, "ENTRY_TOO_LARGE",
            absl::StrCat("an entry of ", data.size(), " bytes exceeds the limit of ", maxEntryBytes));
    if (m_uncommittedBytes + data.size() > m_options.uncommittedBytes)
        return refuse(absl::StatusCode::kResourceExhausted, "LOG_BACKLOG",
            absl::StrCat(m_uncommittedBytes, " bytes of proposals are waiting to be committed"));
    appendEntry(EntryKind::Data, std::move(data));
    return m_log.last();
}

void Core::appendEntry(EntryKind kind, std::string data)
{
    m_uncommittedBytes += data.size();
    m_log.append({ m_hardState.term, m_log.last().next(), kind, std::move(data) });
}

void Core::replicateAll()
{
    for (auto& [peer, progress] : m_progress)
        replicate(peer, progress);
}

void Core::replicate(const InstanceId& to, Progress& progress)
{
    if (progress.pendingSnapshot)
        return;
    if (progress.next <= m_log.base()) {
        progress.pendingSnapshot = m_snapshot;
        progress.snapshotOffset = 0;
        return sendSnapshotChunk(to, progress);
    }
    if (progress.probing) {
        if (!progress.probeSent)
            sendAppend(to, progress);
        return;
    }
    while (progress.next <= m_log.last() && progress.inflightBytes < m_options.inflightBytes)
        sendAppend(to, progress);
}

void Core::sendAppend(const InstanceId& to, Progress& progress)
{
    Message message { .type = MessageType::Append };
    message.logIndex = Index { progress.next.value - 1 };
    message.logTerm = *m_log.termAt(message.logIndex);
    message.commit = m_hardState.commit;
    message.rejectHint = m_log.last();
    message.context = progress.incarnation;
    if (progress.next <= m_log.last())
        message.entries = m_log.slice(progress.next, m_options.appendBytes);
    if (progress.probing) {
        progress.probeSent = true;
    } else if (!message.entries.empty()) {
        size_t bytes = 0;
        for (const auto& entry : message.entries)
            bytes += entry.data.size();
        if (progress.inflight.empty())
            progress.lastProgress = m_now;
        progress.next = message.entries.back().index.next();
        progress.inflight.emplace_back(message.entries.back().index, bytes);
        progress.inflightBytes += bytes;
    }
    send(to, std::move(message));
}

void Core::sendSnapshotChunk(const InstanceId& to, Progress& progress)
{
    const auto& snapshot = *progress.pendingSnapshot;
    progress.snapshotOffset = std::min<uint64_t>(progress.snapshotOffset, snapshot.data.size());
    progress.chunkSentAt = m_now;
    Message message { .type = MessageType::Snapshot, .context = progress.snapshotOffset };
    message.snapshot = Snapshot { snapshot.index, snapshot.term, snapshot.voters,
        snapshot.data.substr(progress.snapshotOffset, m_options.snapshotChunkBytes) };
    send(to, std::move(message));
}

void Core::onSnapshotReply(const InstanceId& from, const Message& message)
{
    const auto found = m_progress.find(from);
    if (m_role != Role::Leader || found == m_progress.end())
        return;
    auto& progress = found->second;
    recordContact(progress);
    if (!progress.pendingSnapshot || progress.pendingSnapshot->index != message.logIndex)
        return;
    if (m_pendingVoter && m_pendingVoter->voter == from && message.context > progress.snapshotOffset)
        m_pendingVoter->deadline = m_now + newVoterProgressTimeouts * m_options.electionTimeoutMin;
    if (message.context == progress.snapshotOffset && progress.snapshotOffset < progress.pendingSnapshot->data.size())
        return; // a duplicate reply; a lost chunk is resent on a heartbeat reply
    progress.snapshotOffset = message.context;
    sendSnapshotChunk(from, progress);
}

void Core::detectDiskLoss(Progress& progress, const Message& message)
{
    progress.recovering = message.context != 0;
    // A delayed acknowledgement from before the loss can advance `match` after the loss was detected.
    const bool diskLost
        = message.context != progress.incarnation || (message.reject && message.rejectHint < progress.match);
    if (message.context == 0 || !diskLost)
        return;
    // The peer lost its disk, and with it the entries that it had acknowledged.
    progress = Progress { .next = Index { 1 },
        .lastProgress = m_now,
        .lastContact = m_now,
        .lastHeard = m_now,
        .ackedRound = progress.ackedRound,
        .incarnation = message.context,
        .recovering = true };
    if (message.reject)
        progress.next = std::min(message.rejectHint.next(), m_log.last().next());
}

void Core::onAppendReply(const InstanceId& from, const Message& message)
{
    const auto found = m_progress.find(from);
    if (m_role != Role::Leader || found == m_progress.end())
        return;
    auto& progress = found->second;
    recordContact(progress);
    detectDiskLoss(progress, message);
    if (message.reject)
        return onAppendRejected(progress, message);
    if (message.logIndex > m_log.last())
        return;
    if (progress.pendingSnapshot && message.logIndex >= progress.pendingSnapshot->index)
        progress.pendingSnapshot = nullptr;
    if (message.logIndex > progress.match) {
        progress.match = message.logIndex;
        progress.lastProgress = m_now;
        if (m_pendingVoter && m_pendingVoter->voter == from)
            m_pendingVoter->deadline = m_now + newVoterProgressTimeouts * m_options.electionTimeoutMin;
    }
    if (message.logIndex >= progress.match) {
        progress.probing = false;
        progress.next = std::max(progress.next, progress.match.next());
    }
    while (!progress.inflight.empty() && progress.inflight.front().first <= progress.match) {
        progress.inflightBytes -= progress.inflight.front().second;
        progress.inflight.pop_front();
    }
    advanceCommit();
    if (m_role != Role::Leader)
        return;
    advancePendingVoter();
    advanceTransfer();
}

void Core::onAppendRejected(Progress& progress, const Message& message)
{
    const bool stale
        = progress.probing ? message.logIndex.value + 1 != progress.next.value : message.logIndex <= progress.match;
    if (stale || message.logIndex.value == 0)
        return;
    // Finds the last entry that may match: at most the hint, and with a term not above that of the peer's entry there.
    Index agree = std::min(message.rejectHint, m_log.last());
    while (agree > m_log.base() && *m_log.termAt(agree) > message.logTerm)
        agree.value--;
    progress.probing = true;
    progress.probeSent = false;
    progress.next = std::max(progress.match, agree).next();
    progress.inflight.clear();
    progress.inflightBytes = 0;
}

void Core::onHeartbeatReply(const InstanceId& from, const Message& message)
{
    const auto found = m_progress.find(from);
    if (m_role != Role::Leader || found == m_progress.end())
        return;
    auto& progress = found->second;
    recordContact(progress);
    progress.ackedRound = std::max(progress.ackedRound, std::min(message.context, m_heartbeatRound));
    confirmReads();
    resumeReplication(from, progress);
    advanceTransfer();
}

void Core::resumeReplication(const InstanceId& to, Progress& progress)
{
    if (progress.pendingSnapshot) {
        if (m_now - progress.chunkSentAt < m_options.electionTimeoutMin)
            return;
        if (progress.snapshotOffset == 0) // nothing was received yet; the latest snapshot avoids a second transfer
            progress.pendingSnapshot = m_snapshot;
        return sendSnapshotChunk(to, progress);
    }
    progress.probeSent = false; // the probe or its reply may be lost; resending it is harmless
    const bool stalled = !progress.inflight.empty()
        && m_now - progress.lastProgress >= std::max(2 * m_options.heartbeat, m_options.electionTimeoutMin / 2);
    if (stalled) {
        progress.probing = true;
        progress.next = progress.match.next();
        progress.inflight.clear();
        progress.inflightBytes = 0;
    }
    // A recovering peer waits for an append with its incarnation, even if there are no new entries.
    if (progress.recovering && progress.next > m_log.last() && progress.inflight.empty())
        sendAppend(to, progress);
}

void Core::advanceCommit()
{
    const Index reached { quorumValue([this](const InstanceId& voter) {
        const auto found = m_progress.find(voter);
        return (found == m_progress.end() ? m_persisted : found->second.match).value;
    }) };
    if (reached <= m_hardState.commit || m_log.termAt(reached) != m_hardState.term)
        return;
    for (Index index = m_hardState.commit.next(); index <= reached; index = index.next())
        m_uncommittedBytes -= std::min(m_uncommittedBytes, m_log.at(index).data.size());
    const auto before = m_hardState.commit;
    commitTo(reached);
    confirmReads();
    if (before < m_log.voters().index && m_log.voters().index <= m_hardState.commit)
        onVotersCommitted();
}

void Core::onVotersCommitted()
{
    std::erase_if(m_progress, [this](const auto& item) {
        const bool pending = m_pendingVoter && m_pendingVoter->voter == item.first;
        if (isVoter(item.first) || pending)
            return false;
        // Informs the removed peer that its removal is committed, so that it does not campaign.
        Message heartbeat { .type = MessageType::Heartbeat, .context = m_heartbeatRound };
        heartbeat.commit = std::min(item.second.match, m_hardState.commit);
        send(item.first, std::move(heartbeat));
        return true;
    });
    if (isVoter(m_options.self))
        return;
    // The leader removed itself. The peer with the most complete log starts an election immediately.
    const auto best = std::ranges::max_element(m_progress, {}, [](const auto& item) { return item.second.match; });
    if (best != m_progress.end())
        send(best->first, { .type = MessageType::TimeoutNow });
    becomeFollower(m_hardState.term, {});
}

absl::Status Core::checkMembershipChange() const
{
    if (m_role != Role::Leader)
        return refuse(absl::StatusCode::kUnavailable, "NOT_LEADER", "only the leader can change the voters");
    if (m_hardState.commit < m_termStart)
        return refuse(absl::StatusCode::kUnavailable, "LEADER_NOT_READY",
            "the leader has not committed an entry of its own term yet");
    if (m_pendingVoter || m_log.voters().index > m_hardState.commit)
        return refuse(
            absl::StatusCode::kFailedPrecondition, "CHANGE_IN_PROGRESS", "another membership change is in progress");
    if (!m_transferTarget.empty())
        return refuse(absl::StatusCode::kUnavailable, "TRANSFERRING", "leadership is being transferred");
    return absl::OkStatus();
}

void Core::addVoter(uint64_t id, const InstanceId& voter, TimePoint now)
{
    tick(now);
    auto status = checkMembershipChange();
    if (status.ok() && isVoter(voter))
        status = refuse(
            absl::StatusCode::kAlreadyExists, "VOTER_EXISTS", absl::StrCat(voter.str(), " is already a voter"));
    if (!status.ok()) {
        m_changeResults.push_back({ id, status, {} });
        return;
    }
    m_progress[voter]
        = { .next = m_log.last().next(), .lastProgress = m_now, .lastContact = m_now, .lastHeard = m_now };
    m_pendingVoter
        = PendingVoter { id, voter, m_log.last(), m_now + newVoterProgressTimeouts * m_options.electionTimeoutMin };
}

void Core::advancePendingVoter()
{
    if (!m_pendingVoter)
        return;
    const auto& progress = m_progress[m_pendingVoter->voter];
    if (progress.match < m_pendingVoter->target || progress.recovering || !m_transferTarget.empty())
        return;
    auto next = voters();
    next.push_back(m_pendingVoter->voter);
    const auto id = m_pendingVoter->id;
    m_pendingVoter.reset();
    proposeVoters(id, next);
}

void Core::cancelAddition()
{
    if (!m_pendingVoter)
        return;
    endAddition(refuse(absl::StatusCode::kAborted, "CHANGE_CANCELLED",
        absl::StrCat("the addition of instance ", m_pendingVoter->voter.str(), " was cancelled")));
}

/// Fails the addition of the pending voter.
void Core::endAddition(absl::Status status)
{
    m_changeResults.push_back({ m_pendingVoter->id, std::move(status), {} });
    m_progress.erase(m_pendingVoter->voter);
    m_pendingVoter.reset();
}

void Core::removeVoter(uint64_t id, const InstanceId& voter)
{
    auto status = checkMembershipChange();
    if (status.ok() && !isVoter(voter))
        status = refuse(absl::StatusCode::kNotFound, "NO_SUCH_VOTER", absl::StrCat(voter.str(), " is not a voter"));
    if (status.ok() && voters().size() == 1)
        status = refuse(absl::StatusCode::kFailedPrecondition, "LAST_VOTER", "the last voter cannot be removed");
    auto next = voters();
    std::erase(next, voter);
    if (status.ok() && !hasHealthyMajority(next))
        status = refuse(absl::StatusCode::kFailedPrecondition, "NO_MAJORITY",
            absl::StrCat("without ", voter.str(), " no majority of the voters would be reachable with intact data"));
    if (status.ok())
        proposeVoters(id, next);
    else
        m_changeResults.push_back({ id, status, {} });
}

bool Core::hasHealthyMajority(const std::vector<InstanceId>& voters) const
{
    const auto healthy = std::ranges::count_if(voters, [this](const InstanceId& voter) {
        const auto found = m_progress.find(voter);
        return found == m_progress.end()
            || (!found->second.recovering && m_now - found->second.lastContact < m_options.electionTimeoutMin);
    });
    return 2 * static_cast<size_t>(healthy) > voters.size();
}

void Core::proposeVoters(uint64_t id, const std::vector<InstanceId>& voters)
{
    appendEntry(EntryKind::Membership, encodeVoters(voters));
    m_changeResults.push_back({ id, m_log.last(), m_hardState.term });
}

void Core::transferLeadership(const InstanceId& to, TimePoint now)
{
    tick(now);
    if (m_role != Role::Leader || to == m_options.self || !isVoter(to) || !m_transferTarget.empty())
        return;
    m_transferTarget = to;
    m_timeoutNowSent = false;
    m_transferDeadline = m_now + m_options.electionTimeoutMin;
    advanceTransfer();
}

void Core::advanceTransfer()
{
    if (m_role != Role::Leader || m_transferTarget.empty() || m_timeoutNowSent)
        return;
    const auto found = m_progress.find(m_transferTarget);
    if (found == m_progress.end() || found->second.match != m_log.last() || found->second.recovering)
        return;
    // The election that TimeoutNow starts bypasses the lease, however late in this term the message arrives.
    m_leaseAllowed = false;
    m_timeoutNowSent = true;
    send(m_transferTarget, { .type = MessageType::TimeoutNow });
}

void Core::transferToPreferredLeader()
{
    const auto& preferred = m_options.preferredLeaders;
    if (preferred.empty() || std::ranges::find(preferred, m_options.self) != preferred.end()
        || m_now < m_nextPreferredTransfer || !m_transferTarget.empty() || m_pendingVoter
        || m_log.voters().index > m_hardState.commit)
        return;
    for (const auto& candidate : preferred) {
        const auto found = m_progress.find(candidate);
        if (!isVoter(candidate) || found == m_progress.end() || found->second.match < m_hardState.commit
            || found->second.recovering || m_now - found->second.lastContact > 3 * m_options.heartbeat)
            continue;
        m_nextPreferredTransfer = m_now + preferredTransferRetryTimeouts * m_options.electionTimeoutMax;
        return transferLeadership(candidate, m_now);
    }
}

} // namespace turmericpier::consensus
