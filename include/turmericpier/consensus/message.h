#pragma once

#include "turmericpier/base/ids.h"

#include <optional>
#include <string>
#include <vector>

/// Raft messages and log entries.
namespace turmericpier::consensus {

enum class MessageType : uint8_t {
    PreVote,
    PreVoteReply,
    Vote,
    VoteReply,
    Append,
    AppendReply,
    Heartbeat,
    HeartbeatReply,
    Snapshot,
    TimeoutNow, ///< Asks the receiver to start an election immediately; used to transfer leadership.
    SnapshotReply,
};

enum class EntryKind : uint8_t {
    Data,
    Membership, ///< `data` lists the new voters, one id per line.
    Empty, ///< First entry of a new leader; in the first entry of the log, `data` is the incarnation of the leader.
};

struct LogEntry {
    Term term;
    Index index;
    EntryKind kind = EntryKind::Data;
    std::string data;
};

/// The state machine after it applied `index`. In a message, `data` is one chunk; an empty chunk ends the transfer.
struct Snapshot {
    Index index;
    Term term;
    std::vector<InstanceId> voters;
    std::string data;
};

/// A message between two replicas. The meaning of some fields depends on `type`.
struct Message {
    MessageType type = MessageType::Heartbeat;
    Term term;
    /// Append: index of the entry that precedes `entries`. AppendReply: last matching index, or `logIndex` of the
    /// rejected append. Vote and PreVote: last index of the candidate. SnapshotReply: index of the snapshot.
    Index logIndex;
    Term logTerm;
    Index commit;
    /// In replies: the request is rejected. In Vote: a leadership transfer, for which voters ignore the lease.
    bool reject = false;
    /// AppendReply with `reject`: last index of the sender that may match. Append: last index of the leader.
    Index rejectHint;
    /// Heartbeat: number of the heartbeat round, echoed in the reply. Vote and PreVote: incarnation of the first leader
    /// of the log, or of the candidate if its log is empty. Snapshot: offset of the chunk. SnapshotReply: offset of the
    /// next chunk. AppendReply: incarnation of the sender if it started with an empty disk and has not caught up yet,
    /// otherwise 0. Append: the incarnation last received from the peer in an AppendReply.
    uint64_t context = 0;
    std::vector<LogEntry> entries;
    std::optional<Snapshot> snapshot;
    /// Heartbeat: voters that the leader has not heard from for an election timeout.
    std::vector<InstanceId> silent;
};

/// Returns the memory that a message takes, nearly all of it for entries and chunks of snapshots.
inline size_t sizeOf(const Message& message)
{
    auto bytes = sizeof(message) + (message.snapshot ? message.snapshot->data.size() : 0);
    for (const auto& entry : message.entries)
        bytes += sizeof(entry) + entry.data.size();
    return bytes;
}

} // namespace turmericpier::consensus
