#pragma once

#include "turmericpier/base/clock.h"
#include "turmericpier/cell/identity.h"
#include "turmericpier/cell/leader.h"
#include "turmericpier/cell/links.h"
#include "turmericpier/cell/relay.h"
#include "turmericpier/consensus/group.h"

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <deque>
#include <filesystem>
#include <map>
#include <memory>
#include <set>
#include <string>

/// A replica of the cell's log: takes part in the group, leads it or relays to its leader, and keeps its membership.
namespace turmericpier::cell {

struct ReplicaOptions {
    std::filesystem::path folder;
    std::set<std::string> seeds; ///< Addresses of the replicas that formGroup the group at the first start.
    LeaderOptions leader;
    std::string heartbeatAddress; ///< Told to workers as the address for their heartbeats while this replica leads.
    std::chrono::milliseconds electionTimeoutMin { 500 };
    std::chrono::milliseconds electionTimeoutMax { 1'000 };
    /// A voter that is not heard of for this long is removed; longer than a partition or a suspension lasts.
    std::chrono::milliseconds removeSilentAfter { 20'000 };
    size_t minVoters = 3; ///< Silent voters are removed only while more than these remain.
    size_t maxVoters = 9;
    /// Entries of the log between two snapshots. At 100 to 200 entries a second of a few hundred bytes each, the log in
    /// memory stays below 10 MB.
    uint64_t snapshotEvery = 4'000;
};

/// All methods run on the event loop's thread.
class Replica {
public:
    Replica(boost::asio::io_context& io, ReplicaOptions options, Identity identity, LeaderHooks workerHooks,
        Links& links, Relay& relay, const Clock& clock, Metrics& metrics);
    ~Replica();

    absl::Status start();
    void stop();
    /// Hands leadership over before a planned stop; `done` runs when this replica does not lead any more.
    void handOver(std::function<void()> done);

    /// Handles a call here if this replica leads, and gives it to the leader otherwise.
    void handle(std::unique_ptr<record::CallT> call, std::chrono::milliseconds deadline, Links::Answer answer);
    /// A call of another process, which is not relayed any further.
    void onPeerCall(const std::string& from, std::unique_ptr<record::CallT> call, Links::Answer answer);

    bool leads() const { return m_leader.isActive(); }
    std::string dump() const;

private:
    void handleHere(std::unique_ptr<record::CallT> call, Links::Answer answer);
    record::CallT locateCall() const;
    absl::Status openGroup();
    consensus::GroupHooks groupHooks();
    LeaderHooks leaderHooks(LeaderHooks workerHooks);
    void propose(const record::CommandT& command, const LeaderHooks::ProposeCallback& done);
    void onRoleChange(const consensus::RoleChange& change);
    void tick();

    // Membership.
    void tryFormGroup();
    void recordSeed(const std::string& replica, bool unformed, const std::vector<std::string>& initialVoters);
    void formGroup(std::vector<std::string> voters);
    void maintainVoters();
    void changeVoters(const std::string& what, const std::string& replica, bool add);
    bool isVoter(const std::string& replica) const;

    boost::asio::io_context& m_io;
    const ReplicaOptions m_options;
    Identity m_identity;
    Links& m_links;
    Relay& m_relay;
    const Clock& m_clock;
    Metrics& m_metrics;
    State m_state;
    Leader m_leader;
    std::unique_ptr<consensus::Group> m_group;
    std::atomic<consensus::Group*> m_receiver { nullptr }; ///< The group, once messages may reach it.
    boost::asio::steady_timer m_timer;
    consensus::RoleChange m_role;
    uint64_t m_roleChanges = 0;
    std::map<std::string, std::string> m_seedReplicas; ///< Unformed replicas by seed address.
    TimePoint m_nextFormation;
    std::map<std::string, TimePoint> m_candidates; ///< Replicas that ask to join, with the time of the last request.
    bool m_changingVoters = false;
    TimePoint m_nextVoterCheck;
    bool m_stopped = false;
};

} // namespace turmericpier::cell
