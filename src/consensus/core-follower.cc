#include "consensus/core.h"

#include <algorithm>

/// Follower side of replication: appends, heartbeats and snapshots from the leader.
namespace turmericpier::consensus {

void Core::followLeader(const InstanceId& from)
{
    if (m_role != Role::Follower || m_leader != from)
        becomeFollower(m_hard.term, from);
    m_leaderContact = m_now;
    resetElectionTimer();
}

void Core::onAppend(const InstanceId& from, Message& message)
{
    if (m_role == Role::Leader) // only a peer that breaks the protocol leads in the same term
        return;
    followLeader(from);
    // The answer to a message that this replica sent in its present life; `rejectHint` is the leader's last index.
    if (m_hard.recovering && message.context == m_options.incarnation && !m_recoverTo)
        m_recoverTo = message.rejectHint;
    const bool belowBase = message.logIndex < m_log.base();
    if (!belowBase && m_log.termAt(message.logIndex) != message.logTerm)
        return rejectAppend(from, message);
    Index matched { message.logIndex.value + message.entries.size() };
    appendFromLeader(message.entries);
    noteOrigin(origin());
    if (belowBase)
        matched = std::max(matched, m_log.base());
    commitTo(std::min(message.commit, matched));
    Message reply { .type = MessageType::AppendReply, .term = m_hard.term, .logIndex = matched };
    reply.context = m_hard.recovering ? m_options.incarnation : 0;
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
            if (entry.index <= m_hard.commit) {
                m_fault = "the leader contradicts the committed entry " + std::to_string(entry.index.value);
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
    // Skips back over entries of terms that the leader's entry before the batch rules out.
    Index hint { std::min(m_log.last().value, message.logIndex.value - 1) };
    while (hint > m_log.base() && *m_log.termAt(hint) > message.logTerm)
        hint.value--;
    Message reply { .type = MessageType::AppendReply, .term = m_hard.term, .logIndex = message.logIndex };
    reply.reject = true;
    reply.rejectHint = hint;
    reply.logTerm = m_log.termAt(hint).value_or(Term {});
    reply.context = m_hard.recovering ? m_options.incarnation : 0;
    sendAfterSync(from, std::move(reply));
}

void Core::onHeartbeat(const InstanceId& from, const Message& message)
{
    if (m_role == Role::Leader)
        return;
    followLeader(from);
    // The leader may still count on entries that this replica lost with its disk.
    if (!m_hard.recovering)
        commitTo(message.commit);
    // A leader without new entries learns in this way that the peer lost its disk.
    if (m_hard.recovering && !m_recoverTo) {
        Message lost { .type = MessageType::AppendReply, .term = m_hard.term, .reject = true };
        lost.rejectHint = m_log.last();
        lost.context = m_options.incarnation;
        sendAfterSync(from, std::move(lost));
    }
    sendAfterSync(from, { .type = MessageType::HeartbeatReply, .term = m_hard.term, .context = message.context });
}

void Core::onSnapshot(const InstanceId& from, Message& message)
{
    if (m_role == Role::Leader || !message.snapshot)
        return;
    followLeader(from);
    auto& chunk = *message.snapshot;
    if (chunk.index <= m_hard.commit) {
        Message reply { .type = MessageType::AppendReply, .term = m_hard.term, .logIndex = m_hard.commit };
        reply.context = m_hard.recovering ? m_options.incarnation : 0;
        return sendAfterSync(from, std::move(reply));
    }
    // Two leaders may hold different bytes for the same index, so that chunks of two terms are never joined.
    const bool same = m_incoming && m_incoming->leaderTerm == m_hard.term && m_incoming->snapshot.index == chunk.index;
    if (!same)
        m_incoming = IncomingSnapshot { m_hard.term, { chunk.index, chunk.term, chunk.voters, {} } };
    auto& data = m_incoming->snapshot.data;
    if (message.context == data.size()) {
        if (chunk.data.empty())
            return installSnapshot(from);
        data += chunk.data;
    }
    replySnapshot(from, chunk.index, data.size());
}

void Core::replySnapshot(const InstanceId& from, Index index, uint64_t offset)
{
    sendAfterSync(
        from, { .type = MessageType::SnapshotReply, .term = m_hard.term, .logIndex = index, .context = offset });
}

void Core::installSnapshot(const InstanceId& from)
{
    auto snapshot = std::make_shared<const Snapshot>(std::move(m_incoming->snapshot));
    m_incoming.reset();
    // A log that holds the last entry of the snapshot keeps what follows it.
    if (m_log.termAt(snapshot->index) != snapshot->term) {
        m_log.reset(snapshot->index, snapshot->term, { snapshot->index, snapshot->voters });
        m_unstable = snapshot->index.next();
        m_persisted = snapshot->index;
        m_logReset = true;
    }
    m_hard.commit = m_handedOut = snapshot->index;
    m_snapshot = m_installed = snapshot;
    Message reply { .type = MessageType::AppendReply, .term = m_hard.term, .logIndex = snapshot->index };
    reply.context = m_hard.recovering ? m_options.incarnation : 0;
    sendAfterSync(from, std::move(reply));
}

} // namespace turmericpier::consensus
