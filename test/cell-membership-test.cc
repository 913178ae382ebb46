#include "turmericpier/cell/membership.h"

#include "consensus-network.h"
#include "turmericpier/cell/links.h"
#include "turmericpier/cell/replica.h"

#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>

using namespace turmericpier;
using namespace turmericpier::cell;
using namespace std::chrono_literals;
using consensus::Core;
using consensus::Network;

namespace {

constexpr Duration catchUpTime = 4s;
constexpr Duration recoveryTime = 12s;
constexpr Duration checkInterval = 300ms;
constexpr Duration maxStartDelay = 1s;

std::vector<InstanceId> firstVoters(size_t count)
{
    std::vector<InstanceId> voters;
    for (size_t i = 1; i <= count; ++i)
        voters.emplace_back(absl::StrCat("10.0.0.", i, ":1/first"));
    return voters;
}

/// A cell of simulated machines whose leader maintains the voters.
class Cell {
public:
    Cell(uint64_t seed, size_t machines, size_t seeds, size_t maxLostDisks = 1)
        : network(seed, firstVoters(seeds), ReplicaOptions {}.electionTimeoutMin, ReplicaOptions {}.electionTimeoutMax)
        , m_options { .removeSilentAfter = catchUpTime / 2, .maxLostDisks = maxLostDisks }
        , m_machines(seeds)
    {
        while (m_machines < machines)
            network.start(nextMachine());
        run(10s);
        REQUIRE(voters().size() == machines);
    }

    void run(Duration duration)
    {
        for (const auto end = network.now + duration; network.now < end;)
            step();
    }
    /// Requires that the cell commits an entry within the time in which service must be back.
    void requireService()
    {
        const auto end = network.now + recoveryTime;
        while (!commitsEntry()) {
            REQUIRE(network.now < end);
            step();
        }
    }

    std::vector<InstanceId> voters() { return network.core(network.waitForLeader()).voters(); }
    std::vector<InstanceId> running() const
    {
        std::vector<InstanceId> ids;
        for (const auto& [id, replica] : network.replicas) {
            if (replica.core)
                ids.push_back(id);
        }
        return ids;
    }
    InstanceId anyReplica()
    {
        const auto ids = running();
        return ids[network.random() % ids.size()];
    }
    Duration randomTime(Duration max) { return Duration(static_cast<int64_t>(network.random() % max.count())); }

    /// The machine is gone for good, and an empty one comes at another address.
    void replace(const InstanceId& id)
    {
        network.crash(id);
        run(randomTime(maxStartDelay));
        network.start(nextMachine());
    }
    /// Several machines are gone for good at once, while the processes of others are down for a while.
    void replaceWhileDown(const std::vector<InstanceId>& replaced, const InstanceId& down, Duration duration)
    {
        network.crash(down);
        for (const auto& id : replaced)
            network.crash(id);
        run(randomTime(maxStartDelay));
        for (size_t i = 0; i < replaced.size(); ++i)
            network.start(nextMachine());
        run(duration);
        network.start(down);
    }
    /// The machine is back at its address with an empty disk.
    void loseDisk(const InstanceId& id)
    {
        network.crash(id);
        run(randomTime(maxStartDelay));
        network.start(nextIdentity(id));
    }
    void pause(const InstanceId& id, Duration duration)
    {
        network.replicas.at(id).paused = true;
        run(duration);
        network.replicas.at(id).paused = false;
    }
    /// Suspends the machine, which goes on by itself after `duration`.
    void suspend(const InstanceId& id, Duration duration)
    {
        network.replicas.at(id).paused = true;
        m_resumeAt[id] = network.now + duration;
    }
    /// Machines are back at their addresses, some with empty disks, after all of them ended at one moment.
    void restart(const std::set<InstanceId>& ids, const std::set<InstanceId>& wiped)
    {
        for (const auto& id : ids)
            network.crash(id);
        for (const auto& id : ids) {
            run(randomTime(maxStartDelay) / ids.size());
            network.start(wiped.contains(id) ? nextIdentity(id) : id);
        }
    }
    /// Machines that are not suspended, in random order.
    std::vector<InstanceId> awake()
    {
        auto ids = running();
        std::erase_if(ids, [this](const InstanceId& id) { return network.replicas.at(id).paused; });
        std::ranges::shuffle(ids, network.random);
        return ids;
    }
    bool isAnySuspended() const { return !m_resumeAt.empty(); }
    /// The running machines are split into two halves.
    void split(Duration duration)
    {
        const auto ids = running();
        const std::set<InstanceId> half(ids.begin(), ids.begin() + static_cast<std::ptrdiff_t>(ids.size() / 2));
        network.dropIf = [half](const InstanceId& from, const InstanceId& to, const consensus::Message&) {
            return half.contains(from) != half.contains(to);
        };
        run(duration);
        network.dropIf = nullptr;
    }
    /// All connections deliver nothing for long enough that there is an election.
    void resetConnections()
    {
        network.dropIf = [](const InstanceId&, const InstanceId&, const consensus::Message&) { return true; };
        run(600ms);
        network.dropIf = nullptr;
    }
    void changeLeader()
    {
        if (const auto id = network.leader(); !id.empty())
            network.core(id).transferLeadership(anyReplica(), network.now);
    }

    Network network;

private:
    InstanceId nextMachine() { return InstanceId(absl::StrCat("10.0.0.", ++m_machines, ":1/first")); }
    InstanceId nextIdentity(const InstanceId& id)
    {
        return InstanceId(absl::StrCat(addressOf(id.str()), "/", ++m_identities));
    }

    void resumeDue()
    {
        std::erase_if(m_resumeAt, [this](const auto& item) {
            if (item.second > network.now)
                return false;
            network.replicas.at(item.first).paused = false;
            return true;
        });
    }

    void step()
    {
        resumeDue();
        network.step();
        const auto leader = network.leader();
        if (leader != m_leader) {
            m_leader = leader;
            m_membership = std::make_unique<Membership>(m_options);
            m_pendingChange.reset();
        }
        if (leader.empty() || network.now < m_nextCheck)
            return;
        m_nextCheck = network.now + checkInterval;
        maintainVoters(network.core(leader));
    }

    void maintainVoters(Core& leader)
    {
        std::vector<consensus::Group::Voter> voters;
        for (const auto& id : leader.voters()) {
            const auto found = leader.progress().find(id);
            const bool isPeer = found != leader.progress().end();
            voters.push_back({ id, isPeer ? network.now - leader.lastSignOfLife(found->second) : Duration::zero() });
        }
        for (const auto& id : running()) {
            const bool reaches = !network.dropIf || !network.dropIf(id, m_leader, {});
            if (reaches && !network.replicas.at(id).paused
                && std::ranges::find(leader.voters(), id) == leader.voters().end())
                m_membership->recordRequest(id.str(), network.now);
        }
        if (m_pendingChange && !network.changes.contains(*m_pendingChange)) {
            if (m_membership->isRemovalDue(voters, network.now))
                network.cancelAddition(m_leader);
        } else if (const auto change = m_membership->nextChange(voters, network.now))
            m_pendingChange = network.change(m_leader, InstanceId(change->replica), change->add);
    }

    bool commitsEntry()
    {
        const auto leader = network.leader();
        if (leader.empty())
            return false;
        const auto before = network.lastCommitted();
        std::ignore = network.propose(leader);
        for (int i = 0; i < 20; ++i)
            step();
        return network.lastCommitted() > before;
    }

    const MembershipOptions m_options;
    size_t m_machines; ///< Machines that were ever started.
    std::map<InstanceId, TimePoint> m_resumeAt; ///< Suspended machines.
    int m_identities = 0;
    InstanceId m_leader;
    std::unique_ptr<Membership> m_membership;
    std::optional<uint64_t> m_pendingChange;
    TimePoint m_nextCheck;
};

consensus::Group::Voter voter(const std::string& id, Duration silentFor = 0ms) { return { InstanceId(id), silentFor }; }

constexpr TimePoint start { 100s };

} // namespace

// Guards against a cell without a leader for good after three machines were replaced, one after the other, and the disk
// of a fourth was lost, because the removed machines still counted as voters.
TEST_CASE("a disk may be lost after machines were replaced in series", "[cell]")
{
    for (uint64_t seed = 1; seed <= 20; ++seed) {
        CAPTURE(seed);
        Cell cell(seed, 5, 3);
        for (const auto& id : firstVoters(3)) {
            cell.replace(id);
            cell.run(catchUpTime + cell.randomTime(1s));
            if (seed % 2 == 0)
                cell.changeLeader();
        }
        cell.loseDisk(cell.anyReplica());
        cell.requireService();
        cell.run(catchUpTime);
        CHECK(cell.voters().size() == 5);
    }
}

// Guards against a new leader that waits anew for machines of whose loss the former leader knew.
TEST_CASE("a disk may be lost after a replacement although the leader has changed", "[cell]")
{
    for (uint64_t seed = 1; seed <= 40; ++seed) {
        CAPTURE(seed);
        Cell cell(seed, 3, 3);
        cell.replace(cell.anyReplica());
        for (const auto end = cell.network.now + catchUpTime; cell.network.now < end;) {
            cell.run(1s);
            cell.changeLeader();
        }
        cell.loseDisk(cell.anyReplica());
        cell.requireService();
    }
}

// Guards against a group that cannot bear two replacements at once beside a process that is down for a while.
TEST_CASE("service is back after overlapping replacements and a restart", "[cell]")
{
    for (uint64_t seed = 1; seed <= 20; ++seed) {
        CAPTURE(seed);
        Cell cell(seed, 5, 3);
        const auto ids = cell.running();
        cell.replaceWhileDown({ ids[seed % 5], ids[(seed + 1) % 5] }, ids[(seed + 2) % 5], cell.randomTime(8s));
        cell.requireService();
        cell.run(catchUpTime);
        cell.loseDisk(cell.anyReplica());
        cell.requireService();
    }
}

// Guards against a first identity that comes back in place of the second one, and against halves of a split that both
// lack a majority after the split.
TEST_CASE("a disk is lost twice at one address, and a split meets a replacement", "[cell]")
{
    for (uint64_t seed = 1; seed <= 20; ++seed) {
        CAPTURE(seed);
        Cell cell(seed, seed % 2 == 0 ? 3 : 5, 3);
        const auto address = addressOf(cell.anyReplica().str());
        for (int i = 0; i < 2; ++i) {
            const auto ids = cell.running();
            cell.loseDisk(*std::ranges::find_if(ids, [&](const auto& id) { return addressOf(id.str()) == address; }));
            cell.run(cell.randomTime(1'500ms));
        }
        cell.requireService();
        cell.run(catchUpTime);
        cell.replace(cell.anyReplica());
        cell.split(cell.randomTime(8s));
        cell.requireService();
        cell.run(catchUpTime);
        CHECK(cell.voters().size() == cell.running().size());
    }
}

// Guards against voters that were reduced to four while machines were suspended, of which two then lost their disks:
// the five machines that came back had the log and no vote.
TEST_CASE("two of nine disks may be lost after four machines were suspended", "[cell]")
{
    for (uint64_t seed = 1; seed <= 12; ++seed) {
        CAPTURE(seed);
        Cell cell(seed, 9, 3, 2);
        auto ids = cell.awake();
        for (size_t i = 0; i < 4; ++i)
            cell.suspend(ids[i], 9s);
        cell.run(catchUpTime);
        for (size_t i = 4; i < 5 + seed % 2; ++i)
            cell.suspend(ids[i], 5s);
        cell.run(catchUpTime);
        ids = cell.awake();
        const std::set<InstanceId> wiped(ids.begin(), ids.begin() + 2);
        cell.restart(seed % 3 == 0 ? std::set(ids.begin(), ids.end()) : wiped, wiped);
        cell.run(6s);
        cell.requireService();
        cell.run(2 * catchUpTime);
        CHECK(cell.voters().size() == 9);
    }
}

// Guards against a cell that has no leader for good after losses that overlap beyond what the deployment bears,
// although no more disks were lost than it allows.
TEST_CASE("service is back after any overlapping losses with as many disks as may be lost", "[cell]")
{
    for (uint64_t seed = 1; seed <= 16; ++seed) {
        const size_t lostDisks = 1 + seed % 2;
        Cell cell(seed, lostDisks == 2 ? 9 : 5, 3, lostDisks);
        for (int event = 0; event < 3; ++event) {
            CAPTURE(seed, event);
            for (int i = 0; i < 3; ++i) {
                auto ids = cell.awake();
                for (size_t j = 0; j + 1 < ids.size() && j < cell.network.random() % 5; ++j)
                    cell.suspend(ids[j], 1s + cell.randomTime(12s));
                cell.run(cell.randomTime(5s));
                if (cell.network.random() % 3 == 0)
                    cell.split(cell.randomTime(4s));
            }
            auto ids = cell.awake();
            const auto lost = std::min(lostDisks, ids.size());
            const std::set<InstanceId> wiped(ids.begin(), ids.begin() + static_cast<std::ptrdiff_t>(lost));
            cell.restart(cell.network.random() % 2 == 0 ? std::set(ids.begin(), ids.end()) : wiped, wiped);
            while (cell.isAnySuspended())
                cell.run(100ms);
            cell.requireService();
            cell.run(recoveryTime);
            CHECK(cell.voters().size() == cell.running().size());
        }
    }
}

// Guards against a lost voter that keeps its vote, and a successor that waits, while another replica catches up slowly.
// The next lost disk then leaves no majority for good.
TEST_CASE("a replica that catches up slowly does not keep a lost voter", "[cell]")
{
    for (uint64_t seed = 1; seed <= 5; ++seed) {
        CAPTURE(seed);
        Cell cell(seed, 5, 3);
        auto& network = cell.network;
        const auto leader = network.waitForLeader();
        auto others = cell.awake();
        std::erase(others, leader);
        const auto slow = others[0];
        cell.suspend(slow, 8s);
        cell.run(3s);
        network.commitEntries(1'500);
        while (cell.isAnySuspended())
            cell.run(100ms);
        network.extraDelay = [&](const InstanceId& from, const InstanceId& to) -> Duration {
            return from == slow || to == slow ? 100ms : 0ms;
        };
        cell.run(2s);
        cell.replace(others[1]);
        cell.run(catchUpTime + 500ms);
        cell.loseDisk(others[2]);
        network.extraDelay = nullptr;
        cell.requireService();
    }
}

// Guards against a machine that comes back without its disk after its vote was taken away, and counts twice.
TEST_CASE("a machine is suspended until it is no voter, and comes back with or without its disk", "[cell]")
{
    for (uint64_t seed = 1; seed <= 20; ++seed) {
        CAPTURE(seed);
        Cell cell(seed, seed % 2 == 0 ? 3 : 5, 3);
        const auto id = cell.anyReplica();
        cell.pause(id, 6s + cell.randomTime(30s));
        if (seed % 3 == 0)
            cell.loseDisk(id);
        cell.run(catchUpTime);
        CHECK(cell.voters().size() == cell.running().size());
        cell.loseDisk(cell.anyReplica());
        cell.requireService();
    }
}

// Guards against a cell that bears less than the loss of a machine after any series of losses that it must bear.
TEST_CASE("the voters follow the machines that are alive", "[cell]")
{
    for (uint64_t seed = 1; seed <= 60; ++seed) {
        Cell cell(seed, seed % 2 == 0 ? 3 : 5, 3);
        for (int event = 0; event < 8; ++event) {
            CAPTURE(seed, event);
            const auto id = cell.anyReplica();
            switch (cell.network.random() % 6) {
            case 0:
            case 1:
                cell.replace(id);
                break;
            case 2:
                cell.loseDisk(id);
                break;
            case 3:
                cell.pause(id, cell.randomTime(30s));
                break;
            case 4:
                cell.split(cell.randomTime(8s));
                break;
            default:
                cell.resetConnections();
            }
            cell.run(catchUpTime);
            cell.requireService();
        }
        cell.run(catchUpTime);
        CHECK(cell.voters().size() == cell.running().size());
    }
}

// Guards against a removed machine that stays a voter until its successor has joined, or a cell of two voters.
TEST_CASE("a silent voter is removed while three remain", "[cell]")
{
    Membership membership({});
    const std::vector four { voter("a:1/x"), voter("b:1/x", 2'001ms), voter("c:1/x", 3s), voter("d:1/x") };
    const auto change = membership.nextChange(four, start);
    REQUIRE(change);
    CHECK(change->replica == "c:1/x");
    CHECK_FALSE(change->add);
    CHECK_FALSE(membership.nextChange({ voter("a:1/x"), voter("b:1/x", 1h), voter("c:1/x") }, start));
    CHECK_FALSE(membership.nextChange({ voter("a:1/x"), voter("b:1/x", 2s), voter("c:1/x"), voter("d:1/x") }, start));
}

// Guards against silent voters that are removed until the group bears the loss of fewer disks than the deployment
// allows, and against a lost voter that stays because the group is full.
TEST_CASE("silent voters are removed while the others bear the loss of as many disks as allowed", "[cell]")
{
    std::vector<consensus::Group::Voter> voters;
    for (int i = 1; i <= 6; ++i)
        voters.push_back(voter(absl::StrCat("10.0.0.", i, ":1/x"), i == 1 ? 1h : 0ms));
    Membership two({ .maxLostDisks = 2 });
    REQUIRE(two.nextChange(voters, start));
    voters.pop_back();
    CHECK_FALSE(two.nextChange(voters, start));
    Membership four({ .maxLostDisks = 4, .maxVoters = 5 });
    CHECK_FALSE(four.nextChange(voters, start));
    four.recordRequest("10.0.0.9:1/x", start);
    const auto change = four.nextChange(voters, start);
    REQUIRE(change);
    CHECK_FALSE(change->add);
}

// Guards against a replica that replaces a later one at the same address, when a disk was lost twice.
TEST_CASE("the last identity at an address takes the place of the former ones", "[cell]")
{
    Membership membership({});
    const std::vector voters { voter("a:1/x"), voter("b:1/x"), voter("c:1/1") };
    membership.recordRequest("c:1/2", start);
    membership.recordRequest("c:1/3", start + 1s);
    const auto removal = membership.nextChange(voters, start + 1s);
    REQUIRE(removal);
    CHECK(removal->replica == "c:1/1");
    const auto addition = membership.nextChange({ voters[0], voters[1] }, start + 1s);
    REQUIRE(addition);
    CHECK(addition->replica == "c:1/3");
    CHECK(addition->add);
    CHECK_FALSE(membership.nextChange({ voters[0], voters[1], voter("c:1/3") }, start + 1s));
}

// Guards against a replica that cannot be added and keeps others from it, and against one that is added when it is
// gone.
TEST_CASE("replicas that ask to join are added in turn while they ask", "[cell]")
{
    Membership membership({ .maxVoters = 4 });
    const std::vector voters { voter("a:1/x"), voter("b:1/x"), voter("c:1/x") };
    membership.recordRequest("d:1/x", start);
    membership.recordRequest("e:1/x", start);
    const auto first = membership.nextChange(voters, start);
    const auto second = membership.nextChange(voters, start + 1ms);
    REQUIRE(first);
    REQUIRE(second);
    CHECK(first->replica != second->replica);
    CHECK_FALSE(membership.nextChange({ voters[0], voters[1], voters[2], voter("f:1/x") }, start + 2ms));
    CHECK_FALSE(membership.nextChange(voters, start + 3'001ms));
}
