#pragma once

#include "turmericpier/base/ids.h"

#include <optional>
#include <string>
#include <vector>

/// Messages and log entries of a replicated log.
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
    TimeoutNow, ///< Asks the receiver to campaign at once; used to move leadership.
    SnapshotReply,
};

enum class EntryKind : uint8_t {
    Data,
    Membership, ///< `data` is the new list of voters, one id per line.
    Empty, ///< First entry of a new leader; the first of all holds the leader's incarnation.
};

struct LogEntry {
    Term term;
    Index index;
    EntryKind kind = EntryKind::Data;
    std::string data;
};

/// State of the state machine after `index`. A message carries a chunk of `data`; an empty chunk ends the transfer.
struct Snapshot {
    Index index;
    Term term;
    std::vector<InstanceId> voters;
    std::string data;
};

struct Message {
    MessageType type = MessageType::Heartbeat;
    Term term;
    /// Append: entry before the first one sent. AppendReply: last entry that matches, or `logIndex` of the rejected
    /// append. Vote and PreVote: last entry of the candidate. SnapshotReply: index of the snapshot.
    Index logIndex;
    Term logTerm;
    Index commit;
    bool reject = false; ///< In replies; Vote: leadership is handed over, so that the leader's lease does not count.
    /// AppendReply with reject: the sender's last index that may match. Append: the leader's last index.
    Index rejectHint;
    /// Heartbeat: round, copied into the reply. Vote and PreVote: incarnation of the first leader of the log, or of the
    /// candidate if its log is empty. Snapshot: offset of the chunk. SnapshotReply: offset of the next chunk.
    /// AppendReply: incarnation of a replica that started with an empty disk and has not caught up yet, otherwise 0.
    /// Append: that incarnation as last heard.
    uint64_t context = 0;
    std::vector<LogEntry> entries;
    std::optional<Snapshot> snapshot;
};

} // namespace turmericpier::consensus
