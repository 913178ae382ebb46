#include "consensus-network.h"

using namespace turmericpier;
using namespace turmericpier::consensus;

namespace {

const std::vector<InstanceId> three { InstanceId("a"), InstanceId("b"), InstanceId("c") };

std::optional<QuorumReport> nextReport(Network& network, const InstanceId& id)
{
    std::ignore = network.core(id).takeReport();
    std::optional<QuorumReport> report;
    network.runUntil([&] { return (report = network.core(id).takeReport()).has_value(); }, 10s);
    return report;
}

void restartServingByLease(Network& network)
{
    network.commitEntries(1);
    network.servesByLease = true;
    for (const auto& id : three) {
        network.crash(id);
        network.start(id);
    }
}

} // namespace

// Guards against a cell without a leader of which no log line tells which voters are missing.
TEST_CASE("a replica without a leader reports the voters that it has heard", "[consensus]")
{
    Network network(1, three);
    const auto leader = network.waitForLeader();
    for (const auto& id : three) {
        if (id != leader)
            network.crash(id);
    }
    const auto stepsDown = nextReport(network, leader);
    REQUIRE(stepsDown);
    CHECK(stepsDown->reason == "no quorum answers the leader");
    CHECK(stepsDown->role == Role::Leader);
    const auto election = nextReport(network, leader);
    REQUIRE(election);
    CHECK(election->reason == "too few pre-votes");
    CHECK(election->voters == three);
    CHECK(election->heard == std::vector { leader });
    CHECK(election->refused.empty());
    CHECK(election->needed == 2);
}

// Guards against machines that have the log and no vote, and do not say so.
TEST_CASE("a removed replica reports that it is not a voter", "[consensus]")
{
    Network network(2, three);
    network.commitEntries(1);
    const auto leader = network.waitForLeader();
    const auto removed = leader == three[0] ? three[1] : three[0];
    network.change(leader, removed, false);
    network.run(1s);
    const auto report = nextReport(network, removed);
    REQUIRE(report);
    CHECK(report->reason == "this replica is not a voter");
    CHECK(report->voters.size() == 2);
}

// Guards against a leader that goes on although it cannot serve, and keeps the others from electing one that can.
TEST_CASE("a leader that cannot get its lease gives up leadership", "[consensus]")
{
    Network network(3, three);
    restartServingByLease(network);
    const auto slow = network.waitForLeader();
    // The answers to its heartbeats arrive after the lease that they grant has ended, and before the election timeout.
    network.extraDelay = [&](const InstanceId& from, const InstanceId& to) -> Duration {
        return from == slow || to == slow ? 300ms : 0ms;
    };
    const auto serves = [&] {
        const auto id = network.leader();
        return !id.empty() && id != slow && network.core(id).hasValidLease(network.now);
    };
    REQUIRE(network.runUntil(serves, 12s));
}

// Guards against a leader that commits and confirms reads without a lease, and loses leadership again and again.
TEST_CASE("a leader that needs no lease goes on while answers are slow", "[consensus]")
{
    Network network(4, three);
    network.commitEntries(1);
    const auto leader = network.waitForLeader();
    const auto term = network.core(leader).term();
    network.extraDelay = [](const InstanceId&, const InstanceId&) -> Duration { return 300ms; };
    network.run(20s);
    CHECK(network.leader() == leader);
    CHECK(network.core(leader).term() == term);
}
