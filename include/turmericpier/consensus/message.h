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
};

enum class EntryKind : uint8_t {
    Data,
    Membership, ///< `data` is the new list of voters, one id per line.
    Empty, ///< First entry of a new leader.
};

struct LogEntry {
    Term term;
    Index index;
    EntryKind kind = EntryKind::Data;
    std::string data;
};

/// State of the state machine after `index`.
struct Snapshot {
    Index index;
    Term term;
    std::vector<InstanceId> voters;
    std::string data;
};

struct Message {
    MessageType type = MessageType::Heartbeat;
    Term term;
    Index logIndex; ///< Append: entry before the first one sent. Vote: last entry of the candidate.
    Term logTerm;
    Index commit;
    bool reject = false;
    Index rejectHint; ///< AppendReply with reject: the sender's last index.
    uint64_t context = 0; ///< Heartbeat round, copied into the reply.
    std::vector<LogEntry> entries;
    std::optional<Snapshot> snapshot;
};

} // namespace turmericpier::consensus
