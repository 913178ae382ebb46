#pragma once

#include "consensus/log.h"
#include "turmericpier/base/clock.h"

#include <absl/status/statusor.h>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <utility>

/// Raft with pre-vote, check-quorum and leader leases, as a deterministic state machine without I/O, threads or a
/// clock.
namespace turmericpier::consensus {

constexpr size_t kib = 1024;
constexpr size_t mib = 1024 * kib;

/// Configuration of a Core.
struct CoreOptions {
    InstanceId self;
    std::vector<InstanceId> preferredLeaders;
    Duration heartbeat = std::chrono::milliseconds(100);
    Duration electionTimeoutMin = std::chrono::milliseconds(1'000);
    Duration electionTimeoutMax = std::chrono::milliseconds(2'000);
    uint64_t seed = 1; ///< Seed of the random election timeouts.
    /// Differs between restarts of a replica. Lets a replica that lost its disk recognise messages that answer one it
    /// sent since the restart.
    uint64_t incarnation = 1;
    /// Maximum size of one append. 256 KiB occupy the paid link (30 Mbit/s) for 70 ms, less than a heartbeat interval.
    size_t appendBytes = 256 * kib;
    size_t snapshotChunkBytes = 256 * kib;
    /// The leader serves only while it holds its lease, and steps down if it cannot get one.
    bool servesByLease = false;
    size_t inflightBytes = mib; ///< Limit of the unacknowledged appends to one peer.
    size_t uncommittedBytes = 64 * mib; ///< Limit of the uncommitted proposals; further ones are rejected.
};

/// Maximum size of one entry, which must fit into a frame of 4 MiB together with the envelope.
constexpr size_t maxEntryBytes = 3 * mib;

/// Raft state that must be durable before any message that depends on it is sent. The durable commit index may lag.
struct HardState {
    Term term;
    InstanceId vote;
    Index commit;
    bool recovering = false; ///< Set if the replica started with an empty disk and may have lost votes and entries.
    /// Incarnation of the candidate that this replica last voted for while both logs were empty; 0 for none.
    uint64_t emptyLogVote = 0;

    friend bool operator==(const HardState&, const HardState&) = default;
};

/// State that a replica recovers from its disk.
struct StoredState {
    HardState hardState;
    std::shared_ptr<const Snapshot> snapshot; ///< May be null.
    Index baseIndex; ///< Index of the last compacted entry.
    Term baseTerm;
    std::vector<LogEntry> entries;
    std::vector<InstanceId> voters; ///< Used only if neither the log nor the snapshot contains the voters.
    Index applied; ///< The state machine has applied the entries up to here already.
};

/// A message and its recipient.
struct Outgoing {
    InstanceId to;
    Message message;
};

/// Result of Core::read().
struct ReadResult {
    uint64_t id = 0;
    bool confirmed = false; ///< False if leadership was lost.
    Index index; ///< The read may run once this index is applied.
};

/// Result of Core::addVoter() or Core::removeVoter().
struct ChangeResult {
    uint64_t id = 0;
    absl::StatusOr<Index> index = Index {}; ///< Index of the membership entry.
    Term term; ///< Term of the membership entry.
};

/// Pending work for the caller, to be done in this order: send `messages`; write and sync `snapshot`, `entries` and
/// `hardState`; call Core::onPersisted(); send `afterSync`; restore `snapshot`; apply `committed`.
struct Ready {
    std::vector<Outgoing> messages; ///< May be sent before the sync.
    std::vector<Outgoing> afterSync; ///< Must not be sent before the sync.
    /// Snapshot from the leader that replaces the state machine; may be null.
    std::shared_ptr<const Snapshot> snapshot;
    bool resetLog = false; ///< `snapshot` also replaces the whole log.
    std::vector<LogEntry> entries; ///< New entries; they replace any stored entries from the first index on.
    HardState hardState;
    /// True if `snapshot`, `entries` or any part of `hardState` except the commit index changed.
    bool mustSync = false;
    std::vector<LogEntry> committed;
    std::vector<ReadResult> reads;
    std::vector<ChangeResult> changes;
};

enum class Role { Follower, PreCandidate, Candidate, Leader };
std::string_view toString(Role role);

/// Why a replica does not lead, or does not serve although it leads.
struct QuorumReport {
    Role role = Role::Follower;
    Term term;
    std::vector<InstanceId> voters;
    std::vector<InstanceId> heard; ///< Voters that granted their vote, or that answered a leader lately; with itself.
    std::vector<InstanceId> refused; ///< Voters that refused their vote.
    size_t needed = 0; ///< Number of voters that must be heard.
    std::string_view reason;
};

/// Replication state of a peer, tracked by the leader.
struct Progress {
    Index match; ///< Last entry known to be durable on the peer.
    Index next = Index { 1 }; ///< Next entry to send.
    bool probing = true; ///< `match` is not confirmed, so that only one append is sent at a time.
    bool probeSent = false; ///< The append of the current probe was sent and not answered.
    size_t inflightBytes = 0;
    std::deque<std::pair<Index, size_t>> inflight; ///< Last index and size in bytes of each unacknowledged append.
    /// Time of the last acknowledgement that advanced `match`, or of the first append sent after it.
    TimePoint lastProgress;
    TimePoint lastContact; ///< Time of the last reply, initially of the start of replication to the peer.
    /// Time of the last reply to this or, as far as known, a former leader.
    TimePoint lastHeard;
    uint64_t ackedRound = 0; ///< Last acknowledged heartbeat round.
    uint64_t incarnation = 0; ///< Incarnation in which the peer last started with an empty disk; 0 if unknown.
    bool recovering = false; ///< The peer started with an empty disk and has not caught up yet.
    std::shared_ptr<const Snapshot> pendingSnapshot; ///< Snapshot that is being transferred in chunks; may be null.
    uint64_t snapshotOffset = 0; ///< Offset of the last chunk sent.
    TimePoint chunkSentAt;
};

/// The Raft state machine of one replica. Not thread-safe.
class Core {
public:
    Core(CoreOptions options, StoredState stored, TimePoint now);

    /// Handles timeouts that have expired by `now`.
    void tick(TimePoint now);
    /// Handles a message from another replica.
    void step(const InstanceId& from, Message message, TimePoint now);
    /// Appends an entry. Returns its index, or an error with outcome NotRun.
    absl::StatusOr<Index> propose(std::string data);
    /// Requests a linearizable read. The result appears in Ready::reads under `id`.
    void read(uint64_t id, TimePoint now);
    /// Adds `voter` once it has caught up. The result appears in Ready::changes under `id`.
    void addVoter(uint64_t id, const InstanceId& voter, TimePoint now);
    /// Ends an addition whose voter has not caught up yet with an error; does nothing if there is none.
    void cancelAddition();
    /// Removes `voter`. The result appears in Ready::changes under `id`.
    void removeVoter(uint64_t id, const InstanceId& voter);
    /// Transfers leadership to `to` once its log is complete; abandoned after the shortest election timeout.
    void transferLeadership(const InstanceId& to, TimePoint now);

    /// True if takeReady() would return any work.
    bool hasReady() const;
    /// Returns the pending work, which the caller must complete before the next call.
    Ready takeReady();
    /// Must be called when the entries up to `index` and the hard state of the last takeReady() are durable.
    void onPersisted(Index index, Term term);
    /// Must be called when a snapshot of the state machine is durable. Compacts the log up to the previous snapshot;
    /// the entries between the two are kept for peers that are slightly behind.
    void onSnapshotTaken(std::shared_ptr<const Snapshot> snapshot);

    Role role() const { return m_role; }
    Term term() const { return m_hardState.term; }
    const InstanceId& leader() const { return m_leader; }
    Index commit() const { return m_hardState.commit; }
    bool recovering() const { return m_hardState.recovering; }
    const MemoryLog& log() const { return m_log; }
    const std::vector<InstanceId>& voters() const { return m_log.voters().voters; }
    const std::map<InstanceId, Progress>& progress() const { return m_progress; }
    /// Returns the time of the last sign of life of a peer of this leader. What former leaders reported counts only
    /// once the peer had an election timeout to answer this one.
    TimePoint lastSignOfLife(const Progress& progress) const;
    bool hasValidLease(TimePoint now) const;
    /// End of the leader lease, before which no other replica can lead; zero unless this replica holds one.
    TimePoint leaseEnd() const { return m_role == Role::Leader && m_leaseAllowed ? m_leaseEnd : TimePoint {}; }
    const std::shared_ptr<const Snapshot>& snapshot() const { return m_snapshot; }
    /// Returns why the last election failed or was not begun, or why the leader does not serve, and forgets it.
    std::optional<QuorumReport> takeReport() { return std::exchange(m_report, std::nullopt); }
    /// Description of a conflict with a committed entry, after which the replica must stop; empty if there is none.
    const std::string& fault() const { return m_fault; }

private:
    struct PendingRead {
        uint64_t id;
        uint64_t round; ///< Heartbeat round that must be acknowledged by a quorum.
        Index index;
    };
    struct PendingVoter {
        uint64_t id;
        InstanceId voter;
        Index target; ///< The voter is added once it holds this entry.
        TimePoint deadline; ///< Extended whenever the voter makes progress.
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
    bool hasActiveLeader() const;
    bool isVoter(const InstanceId& id) const;
    size_t votesNeeded() const;
    bool adoptTerm(const InstanceId& from, const Message& message);
    void onStaleTerm(const InstanceId& from, const Message& message);
    void onVoteRequest(const InstanceId& from, const Message& message);
    void onVoteReply(const InstanceId& from, const Message& message);
    void onTimeoutNow(const InstanceId& from);
    void failPending();
    void finishRecovery();
    uint64_t firstLeaderIncarnation() const;
    void finishRecoveryIfVotedFor(uint64_t firstLeader);

    // Reports for the log (core-report.cc).
    void reportQuorum(std::string_view reason);
    void reportElection();

    // Follower side of replication (core-follower.cc).
    void followLeader(const InstanceId& from);
    void onAppend(const InstanceId& from, Message& message);
    void appendFromLeader(std::vector<LogEntry>& entries);
    void rejectAppend(const InstanceId& from, const Message& message);
    void onHeartbeat(const InstanceId& from, const Message& message);
    void recordSilentVoters(const std::vector<InstanceId>& silent);
    void onSnapshot(const InstanceId& from, Message& message);
    void installSnapshot(const InstanceId& from);
    void sendSnapshotReply(const InstanceId& from, Index index, uint64_t offset);

    // Leader side of replication (core-leader.cc).
    void tickLeader();
    bool hasQuorumContact() const;
    bool isLeaseOverdue();
    void recordContact(Progress& progress) const;
    TimePoint lastHeardBefore(const InstanceId& voter) const;
    std::vector<InstanceId> silentVoters() const;
    void startHeartbeatRound();
    void appendEntry(EntryKind kind, std::string data);
    void replicateAll();
    void replicate(const InstanceId& to, Progress& progress);
    void sendAppend(const InstanceId& to, Progress& progress);
    void sendSnapshotChunk(const InstanceId& to, Progress& progress);
    void resumeReplication(const InstanceId& to, Progress& progress);
    void onAppendReply(const InstanceId& from, const Message& message);
    void onAppendRejected(Progress& progress, const Message& message);
    void onHeartbeatReply(const InstanceId& from, const Message& message);
    void onSnapshotReply(const InstanceId& from, const Message& message);
    void detectDiskLoss(Progress& progress, const Message& message);
    void advanceCommit();
    void confirmReads();
    void onVotersCommitted();
    void advancePendingVoter();
    bool hasPendingVoterFailed() const;
    void endAddition(absl::Status status);
    void proposeVoters(uint64_t id, const std::vector<InstanceId>& voters);
    absl::Status checkMembershipChange() const;
    bool hasHealthyMajority(const std::vector<InstanceId>& voters) const;
    void advanceTransfer();
    void transferToPreferredLeader();
    uint64_t quorumValue(const std::function<uint64_t(const InstanceId&)>& valueOf) const;
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
    HardState m_hardState;
    HardState m_lastHardState; ///< Returned by the last takeReady().
    InstanceId m_leader;
    TimePoint m_lastLeaderContact;
    InstanceId m_lastLeader; ///< The leader of the last contact.
    /// Voters that the last leader reported as silent, with the time of their last sign of life.
    std::map<InstanceId, TimePoint> m_silentSince;
    TimePoint m_electionDeadline;
    std::map<InstanceId, bool> m_votes;
    MemoryLog m_log;
    std::shared_ptr<const Snapshot> m_snapshot;
    std::shared_ptr<const Snapshot> m_installedSnapshot; ///< To be returned by the next takeReady().
    bool m_logReset = false;
    std::optional<IncomingSnapshot> m_incomingSnapshot;
    std::optional<Index> m_recoveryTarget; ///< Last index of the leader, received since this replica started.
    Index m_unstable; ///< First entry that takeReady() has not returned for writing.
    Index m_persisted;
    Index m_lastDelivered; ///< Last committed entry that takeReady() has returned for applying.
    std::string m_fault;
    std::optional<QuorumReport> m_report; ///< Not taken yet.

    // State of a leader.
    std::map<InstanceId, Progress> m_progress;
    Index m_termStart; ///< First entry of the leader's own term.
    TimePoint m_electedAt;
    TimePoint m_lastLease; ///< Last time at which the leader held its lease; initially that of its election.
    uint64_t m_heartbeatRound = 0;
    bool m_heartbeatRoundRequested = false;
    /// Number and start of each heartbeat round that no quorum has acknowledged.
    std::deque<std::pair<uint64_t, TimePoint>> m_unconfirmedRounds;
    TimePoint m_leaseEnd;
    bool m_leaseAllowed = true; ///< False after TimeoutNow was sent, because its receiver ignores the lease.
    TimePoint m_heartbeatDue;
    std::vector<PendingRead> m_pendingReads;
    std::optional<PendingVoter> m_pendingVoter;
    InstanceId m_transferTarget; ///< Empty if no transfer is in progress.
    TimePoint m_transferDeadline;
    bool m_timeoutNowSent = false;
    TimePoint m_nextPreferredTransfer; ///< Earliest time of the next transfer to a preferred leader.
    size_t m_uncommittedBytes = 0;

    std::vector<Outgoing> m_messages;
    std::vector<Outgoing> m_afterSync;
    std::vector<ReadResult> m_readResults;
    std::vector<ChangeResult> m_changeResults;
};

} // namespace turmericpier::consensus
