#include "consensus/core.h"

#include <algorithm>

/// Follower side of replication: appends, heartbeats and snapshots from the leader.
namespace turmericpier::consensus {

void Core::followLeader(const InstanceId& from)
{
    if (m_role != Role::Follower || m_leader != from)
        becomeFollower(m_hardState.term, from);
    m_lastLeaderContact = m_now;
    m_lastLeader = from;
    resetElectionTimer();
}

void Core::onAppend(const InstanceId& from, Message& message)
{
    if (m_role == Role::Leader) // a second leader in the same term violates the protocol
        return;
    followLeader(from);
    // The incarnation shows that this append answers a message sent since the restart. `rejectHint` is the last index
    // of the leader.
    if (m_hardState.recovering && message.context == m_options.incarnation && !m_recoveryTarget)
        m_recoveryTarget = message.rejectHint;
    const bool belowBase = message.logIndex < m_log.base();
    if (!belowBase && m_log.termAt(message.logIndex) != message.logTerm)
        return rejectAppend(from, message);
    Index matched { message.logIndex.value + message.entries.size() };
    appendFromLeader(message.entries);
    finishRecoveryIfVotedFor(firstLeaderIncarnation());
    if (belowBase)
        matched = std::max(matched, m_log.base());
    commitTo(std::min(message.commit, matched));
    Message reply { .type = MessageType::AppendReply, .term = m_hardState.term, .logIndex = matched };
    reply.context = m_hardState.recovering ? m_options.incarnation : 0;
    sendAfterSync(from, std::move(reply));
}

void Core::appendFromLeader(std::vector<LogEntry>& entries)
{
    for (auto& entry : entries) {
        if (entry.index <= m_log.base())
            continue;
        const auto known = m_log.termAt(entry.index);
        if (known == entry.term)
            continue;
        if (known) {
            if (entry.index <= m_hardState.commit) {
                m_fault = "the leader sent an entry that conflicts with the committed entry "
                    + std::to_string(entry.index.value);
                return;
            }
            const Index before { entry.index.value - 1 };
            m_log.truncateAfter(before);
            m_unstable = std::min(m_unstable, entry.index);
            m_persisted = std::min(m_persisted, before);
        }
        m_log.append(std::move(entry));
    }
}

void Core::rejectAppend(const InstanceId& from, const Message& message)
{
    // Skips entries whose term is above that of the leader's preceding entry, since they cannot match.
    Index hint { std::min(m_log.last().value, message.logIndex.value - 1) };
    while (hint > m_log.base() && *m_log.termAt(hint) > message.logTerm)
        hint.value--;
    Message reply { .type = MessageType::AppendReply, .term = m_hardState.term, .logIndex = message.logIndex };
    reply.reject = true;
    reply.rejectHint = hint;
    reply.logTerm = m_log.termAt(hint).value_or(Term {});
    reply.context = m_hardState.recovering ? m_options.incarnation : 0;
    sendAfterSync(from, std::move(reply));
}

void Core::onHeartbeat(const InstanceId& from, const Message& message)
{
    if (m_role == Role::Leader)
        return;
    followLeader(from);
    recordSilentVoters(message.silent);
    // The leader may still derive the commit index from entries that this replica lost with its disk.
    if (!m_hardState.recovering)
        commitTo(message.commit);
    // Informs a leader that has no entries to send that this replica lost its disk.
    if (m_hardState.recovering && !m_recoveryTarget) {
        Message rejection { .type = MessageType::AppendReply, .term = m_hardState.term, .reject = true };
        rejection.rejectHint = m_log.last();
        rejection.context = m_options.incarnation;
        sendAfterSync(from, std::move(rejection));
    }
    sendAfterSync(from, { .type = MessageType::HeartbeatReply, .term = m_hardState.term, .context = message.context });
}

/// Keeps what the leader knows, so that a successor need not wait for lost voters anew.
void Core::recordSilentVoters(const std::vector<InstanceId>& silent)
{
    std::map<InstanceId, TimePoint> silentSince;
    for (const auto& voter : silent) {
        const auto known = m_silentSince.find(voter);
        silentSince[voter] = known == m_silentSince.end() ? m_now - m_options.electionTimeoutMin : known->second;
    }
    m_silentSince = std::move(silentSince);
}

void Core::onSnapshot(const InstanceId& from, Message& message)
{
    if (m_role == Role::Leader || !message.snapshot)
        return;
    followLeader(from);
    auto& chunk = *message.snapshot;
    if (chunk.index <= m_hardState.commit) {
        Message reply { .type = MessageType::AppendReply, .term = m_hardState.term, .logIndex = m_hardState.commit };
        reply.context = m_hardState.recovering ? m_options.incarnation : 0;
        return sendAfterSync(from, std::move(reply));
    }
    // Two leaders may serialize the same state differently, so that chunks of different terms are never combined.
    const bool same = m_incomingSnapshot && m_incomingSnapshot->leaderTerm == m_hardState.term
        && m_incomingSnapshot->snapshot.index == chunk.index;
    if (!same)
        m_incomingSnapshot = IncomingSnapshot { m_hardState.term, { chunk.index, chunk.term, chunk.voters, {} } };
    auto& data = m_incomingSnapshot->snapshot.data;
    if (message.context == data.size()) {
        if (chunk.data.empty())
            return installSnapshot(from);
        data += chunk.data;
    }
    sendSnapshotReply(from, chunk.index, data.size());
}

void Core::sendSnapshotReply(const InstanceId& from, Index index, uint64_t offset)
{
    sendAfterSync(
        from, { .type = MessageType::SnapshotReply, .term = m_hardState.term, .logIndex = index, .context = offset });
}

void Core::installSnapshot(const InstanceId& from)
{
    auto snapshot = std::make_shared<const Snapshot>(std::move(m_incomingSnapshot->snapshot));
    m_incomingSnapshot.reset();
    // If the log contains the last entry of the snapshot, the entries after it are kept.
    if (m_log.termAt(snapshot->index) != snapshot->term) {
        m_log.reset(snapshot->index, snapshot->term, { snapshot->index, snapshot->voters });
        m_unstable = snapshot->index.next();
        m_persisted = snapshot->index;
        m_logReset = true;
    }
    m_hardState.commit = m_lastDelivered = snapshot->index;
    m_snapshot = m_installedSnapshot = snapshot;
    Message reply { .type = MessageType::AppendReply, .term = m_hardState.term, .logIndex = snapshot->index };
    reply.context = m_hardState.recovering ? m_options.incarnation : 0;
    sendAfterSync(from, std::move(reply));
}

} // namespace turmericpier::consensus
