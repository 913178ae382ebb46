#pragma once

#include "turmericpier/base/clock.h"
#include "turmericpier/cell/heartbeats.h"
#include "turmericpier/cell/identity.h"
#include "turmericpier/cell/leader.h"
#include "turmericpier/cell/links.h"
#include "turmericpier/cell/membership.h"
#include "turmericpier/cell/order-dispatcher.h"
#include "turmericpier/cell/order-proxy.h"
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

/// A replica of the cell's log. It takes part in consensus, runs the leader or relays calls to it, and maintains the
/// membership of the group.
namespace turmericpier::cell {

struct ReplicaOptions {
    std::filesystem::path folder;
    std::set<std::string> seeds; ///< Addresses of the replicas that form the group at the first start of the system.
    LeaderOptions leader;
    std::string zone;
    std::string heartbeatAddress; ///< Address of this replica to which workers send later heartbeats.
    std::chrono::milliseconds electionTimeoutMin { 500 };
    std::chrono::milliseconds electionTimeoutMax { 1'000 };
    MembershipOptions membership;
    /// Number of log entries between two snapshots. At 100 to 200 entries per second of a few hundred bytes each, the
    /// log in memory stays below 10 MB.
    uint64_t snapshotEvery = 4'000;
    /// Bytes of log entries between two snapshots. The log keeps up to twice as many in memory.
    uint64_t snapshotBytes = 8U << 20U;
};

/// All methods must be called on the event loop's thread.
class Replica {
public:
    Replica(boost::asio::io_context& io, ReplicaOptions options, Identity identity, LeaderHooks workerHooks,
        Links& links, Relay& relay, const Clock& clock, Metrics& metrics);
    ~Replica();

    absl::Status start();
    void stop();
    /// Transfers leadership before a planned stop. `done` runs when this replica no longer leads or no voter is left to
    /// try.
    void handOver(std::function<void()> done);

    /// Handles a call here if this replica leads, and relays it to the leader otherwise.
    void handle(std::unique_ptr<record::CallT> call, std::chrono::milliseconds deadline, Links::Answer answer);
    /// Handles a call of another process, which is not relayed any further.
    void onPeerCall(const std::string& from, std::unique_ptr<record::CallT> call, Links::Answer answer);

    bool leads() const { return m_leader.isActive(); }
    std::string dump() const;

private:
    void reportHeartbeats();
    void handleHere(std::unique_ptr<record::CallT> call, Links::Answer answer);
    void nameLeader(record::ReplyT& reply) const;
    record::CallT locateCall() const;
    absl::Status openGroup();
    consensus::GroupHooks groupHooks();
    LeaderHooks leaderHooks(LeaderHooks workerHooks);
    void propose(const record::CommandT& command, const LeaderHooks::ProposeCallback& done);
    void onRoleChange(const consensus::RoleChange& change);
    void tick();

    // Membership of the group.
    bool joinsGroup() const;
    void prepareGroup();
    void tryFormGroup();
    void recordSeed(const std::string& replica, bool unformed, const std::vector<std::string>& initialVoters);
    void formGroup(std::vector<std::string> voters);
    void maintainVoters();
    void changeVoters(const VoterChange& change);
    bool isVoter(const std::string& replica) const;

    // Orders to workers through other replicas.
    ForwardingHooks forwardingHooks(const OrderHooks& direct);
    void runAfter(Duration delay, std::function<void()> function);
    std::set<std::string> reachableVoters() const;
    void removeSilentProxies();

    boost::asio::io_context& m_io;
    const ReplicaOptions m_options;
    Identity m_identity;
    Links& m_links;
    Relay& m_relay;
    const Clock& m_clock;
    Metrics& m_metrics;
    State m_state;
    OrderProxy m_orderProxy;
    OrderDispatcher m_dispatcher;
    Leader m_leader;
    Counter& m_heartbeatsAnswered;
    std::unique_ptr<consensus::Group> m_group;
    std::atomic<consensus::Group*> m_receiver { nullptr }; ///< The group, once it may receive messages; null before.
    boost::asio::steady_timer m_timer;
    consensus::RoleChange m_role;
    uint64_t m_roleChanges = 0;
    /// Identities of replicas that have no group yet, by seed address.
    std::map<std::string, std::string> m_seedReplicas;
    TimePoint m_nextPreparation; ///< Time of the next step towards a group.
    Membership m_membership;
    HeartbeatCollector m_heartbeats;
    bool m_reportInFlight = false;
    bool m_changingVoters = false;
    TimePoint m_nextVoterCheck;
    bool m_stopped = false;
};

} // namespace turmericpier::cell
