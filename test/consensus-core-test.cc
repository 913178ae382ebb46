#include "consensus/core.h"

#include "consensus-network.h"
#include "turmericpier/base/error.h"

#include <catch2/catch.hpp>

using namespace turmericpier;
using namespace turmericpier::consensus;

namespace {

const InstanceId a("a"), b("b"), c("c"), d("d"), e("e");

const std::vector<InstanceId> three { a, b, c };

InstanceId otherThan(const std::vector<InstanceId>& ids, const std::set<InstanceId>& except)
{
    return *std::ranges::find_if(ids, [&](const InstanceId& id) { return !except.contains(id); });
}

size_t pick(Network& network, size_t count) { return network.random() % count; }

/// Everything that went wrong is put right; the replicas must agree again.
void settle(Network& network)
{
    network.faults = {};
    network.cutOff.clear();
    for (auto& [id, replica] : network.replicas) {
        replica.paused = false;
        if (!replica.core)
            network.start(id);
    }
    network.commitEntries(1);
    CHECK(network.runUntil([&] { return network.converged(); }));
}

/// One random fault, proposal, read or change of voters.
void disturb(Network& network, const std::vector<InstanceId>& ids)
{
    const auto& id = ids[pick(network, ids.size())];
    auto& replica = network.replicas[id];
    const bool intact = std::ranges::all_of(network.replicas,
        [&](const auto& item) { return item.first == id || (item.second.used && !item.second.hardState.recovering); });
    switch (pick(network, 24)) {
    case 0:
        return network.crash(id);
    case 1:
    case 2:
        if (!replica.core)
            network.start(id);
        return;
    case 3:
        return network.cut(id);
    case 4:
        return network.cutOff.clear();
    case 5:
        replica.paused = true;
        return;
    case 6:
    case 7:
        replica.paused = false;
        return;
    case 8: // more than one lost disk at a time can lose committed entries, whatever the algorithm
        return intact && pick(network, 4) == 0 ? network.wipe(id) : void();
    case 9:
        if (replica.core)
            network.change(id, ids[pick(network, ids.size())], pick(network, 2) == 0);
        return;
    case 10:
        if (replica.core)
            replica.core->transferLeadership(ids[pick(network, ids.size())], network.now);
        return;
    default:
        break;
    }
    const auto leader = network.leader();
    if (leader.empty())
        return;
    if (pick(network, 3) == 0)
        network.read(leader);
    else
        for (auto count = pick(network, 8); count > 0 && network.replicas[leader].core; --count)
            std::ignore = network.propose(leader);
}

} // namespace

// Guards against any loss, reordering or divergence under all faults at once: drops, duplicates, reordering,
// partitions, pauses, crashes at every stage, lost disks, changes of voters and transfers.
TEST_CASE("replicas agree under random faults", "[consensus]")
{
    size_t reads = 0;
    size_t snapshots = 0;
    size_t committed = 0;
    for (uint64_t seed = 1; seed <= 100; ++seed) {
        CAPTURE(seed);
        Network network(seed, three);
        const std::vector ids { a, b, c, d, e };
        network.start(d);
        network.start(e);
        network.commitEntries(1); // an empty group needs all its voters for the first election
        network.faults = { .drop = 0.05, .duplicate = 0.05, .maxDelay = 60ms, .crash = 0.0005 };
        for (int round = 0; round < 2'000; ++round) {
            disturb(network, ids);
            network.run(Duration(40ms));
        }
        settle(network);
        reads += network.readsConfirmed;
        snapshots += network.snapshotsInstalled;
        committed += network.lastCommitted().value;
    }
    // The run exercised what it is meant to check.
    WARN("reads " << reads << ", snapshots " << snapshots << ", committed " << committed);
    CHECK(reads > 1'000);
    CHECK(snapshots > 20);
    CHECK(committed > 10'000);
}
