#pragma once

#include "consensus/log.h"
#include "turmericpier/base/clock.h"

#include <absl/status/statusor.h>
#include <functional>
#include <map>
#include <memory>
#include <random>

/// The consensus algorithm without I/O, threads or a clock of its own (Raft with pre-vote, quorum check and leases).
namespace turmericpier::consensus {

constexpr size_t kib = 1024;
constexpr size_t mib = 1024 * kib;

struct CoreOptions {
    InstanceId self;
    std::vector<InstanceId> preferredLeaders;
    Duration heartbeat = std::chrono::milliseconds(100);
    Duration electionTimeoutMin = std::chrono::milliseconds(1'000);
    Duration electionTimeoutMax = std::chrono::milliseconds(2'000);
    uint64_t seed = 1; ///< Of the election timeouts.
    /// Differs between two lives of a replica; proves to a replica that lost its disk that an answer is not older.
    uint64_t incarnation = 1;
    /// 256 KiB occupy the paid link (30 Mbit/s) for 70 ms, less than a heartbeat interval.
    size_t appendBytes = 256 * kib;
    size_t snapshotChunkBytes = 256 * kib;
    size_t inflightBytes = mib; ///< Of appends sent to one peer and not acknowledged.
    size_t uncommittedBytes = 64 * mib; ///< Proposals beyond this are refused.
};

/// An entry must fit into one frame of 4 MiB with room for the envelope.
constexpr size_t maxEntryBytes = 3 * mib;

/// State that must be durable before any message that depends on it is sent; the commit index may lag.
struct HardState {
    Term term;
    InstanceId vote;
    Index commit;
    bool recovering = false; ///< Started with an empty disk and may have forgotten votes and entries.
    /// Incarnation of the candidate that this replica last voted for while both had empty logs.
    uint64_t emptyVote = 0;

    friend bool operator==(const HardState&, const HardState&) = default;
};

/// What a replica finds on its disk.
struct StoredState {
    HardState hardState;
    std::shared_ptr<const Snapshot> snapshot; ///< May be null.
    Index baseIndex; ///< Last entry that was removed from the log.
    Term baseTerm;
    std::vector<LogEntry> entries;
    std::vector<InstanceId> voters; ///< Used only if the log and the snapshot name none.
};

struct Outgoing {
    InstanceId to;
    Message message;
};

struct ReadResult {
    uint64_t id = 0;
    bool confirmed = false; ///< False if leadership was lost.
    Index index; ///< The read may run once this index is applied.
};

struct ChangeResult {
    uint64_t id = 0;
    absl::StatusOr<Index> index = Index {}; ///< Index of the membership entry.
    Term term; ///< Term of the membership entry.
};

/// Work for the caller. Order: send `messages`; write and sync `snapshot`, `entries` and `hardState`; call
/// Core::persisted; send `afterSync`; restore `snapshot`; apply `committed`.
struct Ready {
    std::vector<Outgoing> messages;
    std::vector<Outgoing> afterSync;
    std::shared_ptr<const Snapshot> snapshot; ///< Replaces the state machine.
    bool resetLog = false; ///< `snapshot` replaces the whole log too.
    std::vector<LogEntry> entries; ///< The first may replace entries with the same and later indexes.
    HardState hardState;
    bool mustSync = false; ///< `snapshot`, `entries` or a part of `hardState` other than the commit index is new.
    std::vector<LogEntry> committed;
    std::vector<ReadResult> reads;
    std::vector<ChangeResult> changes;
};

enum class Role { Follower, PreCandidate, Candidate, Leader };
std::string_view toString(Role role);

/// What the leader knows about a peer.
struct Progress {
    Index match; ///< Durable on the peer.
    Index next = Index { 1 }; ///< First entry to send.
    bool probing = true; ///< The match point is not known; one append at a time.
    bool probeSent = false;
    size_t inflightBytes = 0;
    std::deque<std::pair<Index, size_t>> inflight; ///< Last index and size of each append on its way.
    TimePoint lastProgress; ///< Of the last acknowledgement that moved `match`, or first send after it.
    TimePoint lastHeard;
    uint64_t ackedRound = 0;
    uint64_t incarnation = 0; ///< Of a peer that started with an empty disk.
    bool recovering = false;
    std::shared_ptr<const Snapshot> sending; ///< The snapshot on its way in chunks.
    uint64_t sendOffset = 0;
    TimePoint chunkSentAt;
};

/// One replica. All methods are called by one thread.
class Core {
public:
    Core(CoreOptions options, StoredState stored, TimePoint now);

    void tick(TimePoint now);
    void step(const InstanceId& from, Message message, TimePoint now);
    /// Returns the index of the new entry, or an error with outcome NotRun.
    absl::StatusOr<Index> propose(std::string data);
    /// The result appears in Ready::reads under `id`.
    void read(uint64_t id, TimePoint now);
    /// Adds `voter` once it has caught up. The result appears in Ready::changes under `id`.
    void addVoter(uint64_t id, const InstanceId& voter, TimePoint now);
    void removeVoter(uint64_t id, const InstanceId& voter);
    void transferLeadership(const InstanceId& to, TimePoint now);

    bool hasReady() const;
    Ready takeReady();
    /// The entries up to `index` and the hard state of the last takeReady() are durable.
    void persisted(Index index, Term term);
    /// A snapshot of the state machine is durable. Entries up to the snapshot before it are forgotten; those between
    /// the two stay for peers that are a little behind.
    void snapshotTaken(std::shared_ptr<const Snapshot> snapshot);

    Role role() const { return m_role; }
    Term term() const { return m_hard.term; }
    const InstanceId& leader() const { return m_leader; }
    Index commit() const { return m_hard.commit; }
    bool recovering() const { return m_hard.recovering; }
    const MemoryLog& log() const { return m_log; }
    const std::vector<InstanceId>& voters() const { return m_log.voters().voters; }
    const std::map<InstanceId, Progress>& progress() const { return m_progress; }
    bool leaseValid(TimePoint now) const;
    /// Until then no other replica can lead; zero unless this replica leads.
    TimePoint leaseEnd() const { return m_role == Role::Leader && m_leaseAllowed ? m_leaseEnd : TimePoint {}; }
    const std::shared_ptr<const Snapshot>& snapshot() const { return m_snapshot; }
    /// Not empty if a peer contradicted a committed entry; the replica must stop.
    const std::string& fault() const { return m_fault; }

private:
    struct PendingRead {
        uint64_t id;
        uint64_t round;
        Index index;
    };
    struct PendingVoter {
        uint64_t id;
        InstanceId voter;
        Index target; ///< The voter is added once it holds this entry.
        TimePoint deadline; ///< Moves on while the voter makes progress.
    };
    struct IncomingSnapshot {
        Term leaderTerm;
        Snapshot snapshot;
    };

    // Roles and elections (core.cc).
    void resetElectionTimer();
    void setRetryTimer();
    void becomeFollower(Term term, const InstanceId& leader);
    void campaign(Role role, bool transfer);
    void requestVotes(bool transfer);
    void countVotes();
    void becomeLeader();
    bool mayCampaign() const;
    bool inLease() const;
    bool isVoter(const InstanceId& id) const;
    size_t votesNeeded() const;
    bool adoptTerm(const InstanceId& from, const Message& message);
    void onOldTerm(const InstanceId& from, const Message& message);
    void onVoteRequest(const InstanceId& from, const Message& message);
    void onVoteReply(const InstanceId& from, const Message& message);
    void onTimeoutNow(const InstanceId& from);
    void failPending();
    void finishRecovery();
    uint64_t origin() const;
    void noteOrigin(uint64_t origin);

    // Follower side of replication (core-follower.cc).
    void followLeader(const InstanceId& from);
    void onAppend(const InstanceId& from, Message& message);
    void appendFromLeader(std::vector<LogEntry>& entries);
    void rejectAppend(const InstanceId& from, const Message& message);
    void onHeartbeat(const InstanceId& from, const Message& message);
    void onSnapshot(const InstanceId& from, Message& message);
    void installSnapshot(const InstanceId& from);
    void replySnapshot(const InstanceId& from, Index index, uint64_t offset);

    // Leader side of replication (core-leader.cc).
    void tickLeader();
    bool hasQuorumContact() const;
    void startRound();
    void appendEntry(EntryKind kind, std::string data);
    void replicateAll();
    void replicate(const InstanceId& to, Progress& progress);
    void sendAppend(const InstanceId& to, Progress& progress);
    void sendChunk(const InstanceId& to, Progress& progress);
    void resumeProgress(const InstanceId& to, Progress& progress);
    void onAppendReply(const InstanceId& from, const Message& message);
    void onAppendRejected(Progress& progress, const Message& message);
    void onHeartbeatReply(const InstanceId& from, const Message& message);
    void onSnapshotReply(const InstanceId& from, const Message& message);
    void noteIncarnation(Progress& progress, const Message& message);
    void advanceCommit();
    void confirmReads();
    void onVotersCommitted();
    void advancePendingVoter();
    void proposeVoters(uint64_t id, const std::vector<InstanceId>& voters);
    absl::Status checkMembershipChange() const;
    bool hasHealthyMajority(const std::vector<InstanceId>& voters) const;
    void advanceTransfer();
    void preferLeader();
    uint64_t quorumOf(const std::function<uint64_t(const InstanceId&)>& valueOf) const;
    uint64_t quorumRound() const;

    void commitTo(Index index);
    void send(const InstanceId& to, Message message);
    void sendAfterSync(const InstanceId& to, Message message);
    absl::Status refuse(absl::StatusCode code, const char* reason, std::string_view message) const;

    const CoreOptions m_options;
    std::mt19937_64 m_random;
    TimePoint m_now;
    const TimePoint m_startedAt;
    Role m_role = Role::Follower;
    HardState m_hard;
    HardState m_storedHard; ///< As of the last takeReady().
    InstanceId m_leader;
    TimePoint m_leaderContact;
    TimePoint m_electionDeadline;
    std::map<InstanceId, bool> m_votes;
    MemoryLog m_log;
    std::shared_ptr<const Snapshot> m_snapshot;
    std::shared_ptr<const Snapshot> m_installed; ///< To hand out with the next takeReady().
    bool m_logReset = false;
    std::optional<IncomingSnapshot> m_incoming;
    std::optional<Index> m_recoverTo; ///< Last index of the leader, learned after this replica started.
    Index m_unstable; ///< First entry not handed out to be persisted.
    Index m_persisted;
    Index m_handedOut; ///< Last committed entry handed out to be applied.
    std::string m_fault;

    // Leader only.
    std::map<InstanceId, Progress> m_progress;
    Index m_termStart; ///< First entry of the leader's own term.
    uint64_t m_round = 0;
    bool m_roundWanted = false;
    std::deque<std::pair<uint64_t, TimePoint>> m_rounds; ///< Rounds not yet acknowledged by a quorum.
    TimePoint m_leaseEnd;
    bool m_leaseAllowed = true;
    TimePoint m_heartbeatDue;
    std::vector<PendingRead> m_pendingReads;
    std::optional<PendingVoter> m_pendingVoter;
    InstanceId m_transferTo;
    TimePoint m_transferDeadline;
    bool m_transferSent = false;
    TimePoint m_preferAfter;
    size_t m_uncommittedBytes = 0;

    std::vector<Outgoing> m_messages;
    std::vector<Outgoing> m_afterSync;
    std::vector<ReadResult> m_readResults;
    std::vector<ChangeResult> m_changeResults;
};

} // namespace turmericpier::consensus
