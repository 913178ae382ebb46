#pragma once

#include "turmericpier/base/clock.h"
#include "turmericpier/base/metrics.h"
#include "turmericpier/consensus/message.h"

#include <absl/status/statusor.h>
#include <filesystem>
#include <functional>
#include <memory>

/// A replica of a Raft group: the consensus core, its write-ahead log and the event loop that drives them.
namespace turmericpier::consensus {

/// Configuration of one replica of a Raft group.
struct GroupOptions {
    GroupId group;
    InstanceId self;
    /// Initial voters of an empty log; afterwards the membership entries in the log take precedence. The first election
    /// needs the votes of all of them, because a majority of empty replicas could be replicas that lost their disks.
    std::vector<InstanceId> voters;
    std::vector<InstanceId> preferredLeaders; ///< The leader transfers leadership to one of these that is up to date.
    std::filesystem::path folder; ///< Holds the log segments and snapshots; must not be shared between replicas.
    Duration heartbeat = std::chrono::milliseconds(100);
    Duration electionTimeoutMin = std::chrono::milliseconds(1'000);
    Duration electionTimeoutMax = std::chrono::milliseconds(2'000);
    bool servesByLease = false; ///< The leader serves only with a lease, and steps down if it cannot get one.
    uint64_t snapshotEvery = 20'000; ///< Number of entries applied between two snapshots.
    /// Bytes of entries applied between two snapshots; a snapshot is taken when either limit is reached. Bounds the
    /// memory of the log, which keeps all entries since the last but one snapshot, of up to 3 MiB each.
    uint64_t snapshotBytes = 128ULL * 1024 * 1024;
    /// Bytes of messages of other replicas that wait for the event loop, which a hanging disk may hold up. Further ones
    /// are lost and sent again. An entry has at most 3 MiB.
    size_t maxReceivedBytes = size_t { 32 } << 20U;
    uint64_t seed = 1; ///< Seed of the random election timeouts.
    /// System calls with the semantics of ::write and ::fdatasync; replaceable for tests of disk failures.
    std::function<ssize_t(int file, const char* data, size_t size)> write;
    std::function<int(int file)> sync;
};

/// Reports a change of the role, the term or the known leader of a replica.
struct RoleChange {
    bool isLeader = false;
    Term term;
    InstanceId leader; ///< Empty if unknown.

    friend bool operator==(const RoleChange&, const RoleChange&) = default;
};

/// Callbacks into the owner of a group. They are called on the thread of the group, except that open() calls `restore`
/// on the thread of its caller.
struct GroupHooks {
    std::function<void(const InstanceId& to, Message message)> send;
    /// Applies one committed entry to the state machine; the result is passed to the proposer.
    std::function<std::string(Index index, std::string_view data)> apply;
    /// Serializes the state machine.
    std::function<std::string()> snapshot;
    /// Replaces the state machine by a snapshot. An error makes open() fail, or stops a running replica for good.
    std::function<absl::Status(std::string_view data)> restore;
    std::function<void(const RoleChange& change)> roleChanged;
};

/// An entry that was committed and applied.
struct Applied {
    Index index;
    std::string result; ///< Return value of GroupHooks::apply.
};

/// A running replica of a Raft group.
///
/// All methods may be called from any thread. Callbacks run on the thread of the group, or on the caller's thread if
/// the queue of the group is full or the group has stopped.
///
/// After a failed write or sync the replica stops: it neither votes nor acknowledges anything, and fails every request
/// with REPLICA_STOPPED. Once the disk takes writes again, it reads its log and takes part again, like a restarted one.
class Group {
public:
    using ProposalCallback = std::function<void(absl::StatusOr<Applied> result)>;

    /// Recovers the log from `options.folder`. If a record other than the last is corrupt, fails with an error that
    /// names the file and offset. If the disk is full or fails, the replica is opened as a stopped one, see above.
    static absl::StatusOr<std::unique_ptr<Group>> open(
        GroupOptions options, GroupHooks hooks, const Clock& clock, Metrics& metrics);
    ~Group();

    /// Starts the threads of the group.
    void start();
    /// Stops the threads and fails all pending requests with REPLICA_STOPPED.
    void stop();

    /// Appends an entry with `data`, which may have at most 3 MiB. Calls `done` once the entry is applied, or with an
    /// error. The outcome of the error is NotRun if the entry can no longer be committed, and Unknown if leadership was
    /// lost before the fate of the entry was known.
    void propose(std::string data, ProposalCallback done);
    /// Linearizable read: calls `done` once this replica is confirmed as leader and has applied every entry that was
    /// committed before the call.
    void read(std::function<void(absl::Status)> done);
    /// Handles a message from another replica.
    void receive(InstanceId from, Message message);
    /// Adds one voter once it has caught up; fails while another membership change is in progress.
    void addVoter(InstanceId voter, ProposalCallback done);
    /// Cancels an addition whose voter has not caught up yet; does nothing if there is none.
    void cancelAddition();
    /// Removes one voter; fails while another membership change is in progress.
    void removeVoter(InstanceId voter, ProposalCallback done);
    /// Starts a transfer of leadership to `to`; ignored unless this replica leads and `to` is another voter.
    void transferLeadership(InstanceId to);
    /// True while this replica holds the leader lease, so that no other replica can lead. Does not block.
    bool holdsLease() const;
    struct Voter {
        InstanceId id;
        /// Time since this or, if it reported so, a former leader last heard from the voter; 0 unless this replica
        /// leads.
        Duration silentFor { 0 };
    };
    /// The current voters as known to this replica.
    std::vector<Voter> voters() const;
    /// Returns the state of the replica as a JSON object.
    std::string dump() const;

private:
    struct Impl;
    explicit Group(std::unique_ptr<Impl> impl);
    std::unique_ptr<Impl> m_impl;
};

} // namespace turmericpier::consensus
