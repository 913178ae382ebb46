#pragma once

#include "turmericpier/base/clock.h"
#include "turmericpier/base/metrics.h"
#include "turmericpier/consensus/message.h"

#include <absl/status/statusor.h>
#include <filesystem>
#include <functional>
#include <memory>

/// One replica of a replicated log: consensus core, write-ahead log and event loop.
namespace turmericpier::consensus {

struct GroupOptions {
    GroupId group;
    InstanceId self;
    /// First voters of an empty log; later the log decides. The first election needs all of them, because a majority of
    /// empty replicas could be replicas that lost their disks.
    std::vector<InstanceId> voters;
    std::vector<InstanceId> preferredLeaders; ///< Leadership moves to one of these when it is up to date.
    std::filesystem::path folder; ///< Holds the log and the snapshots of this group alone.
    Duration heartbeat = std::chrono::milliseconds(100);
    Duration electionTimeoutMin = std::chrono::milliseconds(1'000);
    Duration electionTimeoutMax = std::chrono::milliseconds(2'000);
    uint64_t snapshotEvery = 20'000; ///< Entries applied between two snapshots.
    /// Bytes applied between two snapshots, whichever comes first. The entries since the snapshot before the last one
    /// are kept in memory, and entries may have up to 3 MiB.
    uint64_t snapshotBytes = 128ULL * 1024 * 1024;
    uint64_t seed = 1; ///< Of the election timeouts.
};

struct RoleChange {
    bool isLeader = false;
    Term term;
    InstanceId leader; ///< Empty if unknown.
};

/// Called on the thread of the group.
struct GroupHooks {
    std::function<void(const InstanceId& to, Message message)> send;
    /// Applies one committed entry; the result goes to the proposer.
    std::function<std::string(Index index, std::string_view data)> apply;
    std::function<std::string()> snapshot;
    std::function<absl::Status(std::string_view data)> restore;
    std::function<void(const RoleChange& change)> roleChanged;
};

/// An entry that was committed and applied.
struct Applied {
    Index index;
    std::string result; ///< What the hook `apply` returned.
};

/// All methods may be called from any thread. A callback runs on the thread of the group, but on the caller's thread if
/// the group's queue is full or the group has stopped. After a failed write or sync the replica stops: it answers
/// everything with REPLICA_STOPPED until the process is restarted.
class Group {
public:
    using Done = std::function<void(absl::StatusOr<Applied> result)>;

    /// Recovers the log from the folder. Fails with the file and offset if a record in the middle is corrupt.
    static absl::StatusOr<std::unique_ptr<Group>> open(
        GroupOptions options, GroupHooks hooks, const Clock& clock, Metrics& metrics);
    ~Group();

    void start();
    void stop();

    /// Appends `data`, at most 3 MiB. `done` runs on the group's thread after the entry is applied, or with an error
    /// whose outcome is NotRun if the entry can not be committed any more, and Unknown if leadership was lost before
    /// that was known.
    void propose(std::string data, Done done);
    /// Runs `done` on the group's thread once it is certain that this replica leads and has applied all that was
    /// committed before the call.
    void read(std::function<void(absl::Status)> done);
    void receive(InstanceId from, Message message);
    /// Adds one voter once it has caught up; refused while another change is in progress.
    void addVoter(InstanceId voter, Done done);
    /// Removes one voter; refused while another change is in progress.
    void removeVoter(InstanceId voter, Done done);
    void transferLeadership(InstanceId to);
    /// True while no other replica can lead; from any thread, without waiting for the replica.
    bool holdsLease() const;
    /// Voters of the log as known to this replica. `silentFor` is known to the leader only.
    struct Voter {
        InstanceId id;
        Duration silentFor { 0 };
    };
    std::vector<Voter> voters() const;
    /// State of the replica as a JSON object.
    std::string dump() const;

private:
    struct Impl;
    explicit Group(std::unique_ptr<Impl> impl);
    std::unique_ptr<Impl> m_impl;
};

} // namespace turmericpier::consensus
