#include "consensus/core.h"

#include "consensus-network.h"
#include "turmericpier/base/error.h"

#include <catch2/catch.hpp>

using namespace turmericpier;
using namespace turmericpier::consensus;

namespace {

const InstanceId a("a"), b("b"), c("c"), d("d"), e("e");

const std::vector<InstanceId> threeVoters { a, b, c };

InstanceId otherThan(const std::vector<InstanceId>& ids, const std::set<InstanceId>& except)
{
    return *std::ranges::find_if(ids, [&](const InstanceId& id) { return !except.contains(id); });
}

/// Runs `body` with 20 seeds, each time on a new network in which `entries` entries were committed.
void forEachSeed(const std::function<void(Network&)>& body, int entries = 5)
{
    for (uint64_t seed = 1; seed <= 20; ++seed) {
        CAPTURE(seed);
        Network network(seed, threeVoters);
        network.commitEntries(entries);
        body(network);
    }
}

size_t randomBelow(Network& network, size_t count) { return network.random() % count; }

/// Ends all faults, restarts stopped replicas and checks that the replicas converge.
void healAndConverge(Network& network)
{
    network.faults = {};
    network.isolated.clear();
    for (auto& [id, replica] : network.replicas) {
        replica.paused = false;
        if (!replica.core)
            network.start(id);
    }
    network.commitEntries(1);
    CHECK(network.runUntil([&] { return network.converged(); }));
}

/// Causes one random fault, leadership transfer or membership change, or a few proposals and reads.
void injectRandomEvent(Network& network, const std::vector<InstanceId>& ids)
{
    const auto& id = ids[randomBelow(network, ids.size())];
    auto& replica = network.replicas[id];
    switch (randomBelow(network, 24)) {
    case 0:
        return network.crash(id);
    case 1:
    case 2:
        if (!replica.core)
            network.start(id);
        return;
    case 3:
        return network.isolate(id);
    case 4:
        return network.isolated.clear();
    case 5:
        replica.paused = true;
        return;
    case 6:
    case 7:
        replica.paused = false;
        return;
    case 8:
        return network.canLoseDisk(id) ? network.wipe(id) : void();
    case 9:
        // No removal while a disk is lost: it could leave a majority that depends on a lost disk the leader does not
        // know of.
        if (replica.core)
            network.change(id, ids[randomBelow(network, ids.size())],
                randomBelow(network, 2) == 0 || network.anyVoterRecovering());
        return;
    case 10:
        if (replica.core)
            replica.core->transferLeadership(ids[randomBelow(network, ids.size())], network.now);
        return;
    default:
        break;
    }
    const auto leader = network.leader();
    for (auto count = randomBelow(network, 8); count > 0 && !leader.empty() && network.replicas[leader].core; --count)
        std::ignore = network.propose(leader);
    for (const auto& other : ids) { // includes an isolated leader that has not stepped down yet
        if (network.replicas[other].core && network.core(other).role() == Role::Leader)
            network.read(other);
    }
}

} // namespace

// Guards against lost, reordered or diverging entries under a combination of faults: dropped, duplicated and reordered
// messages, partitions, pauses, crashes at every stage, lost disks, membership changes and leadership transfers.
TEST_CASE("replicas agree under random faults", "[consensus]")
{
    size_t reads = 0;
    size_t snapshots = 0;
    size_t committed = 0;
    for (uint64_t seed = 1; seed <= 100; ++seed) {
        CAPTURE(seed);
        Network network(seed, threeVoters);
        const std::vector ids { a, b, c, d, e };
        network.start(d);
        network.start(e);
        network.faults = { .drop = 0.05, .duplicate = 0.05, .maxDelay = 60ms, .crash = 0.0005 };
        for (int round = 0; round < 2'000; ++round) {
            injectRandomEvent(network, ids);
            network.run(Duration(40ms));
        }
        healAndConverge(network);
        reads += network.readsConfirmed;
        snapshots += network.snapshotsInstalled;
        committed += network.lastCommitted().value;
    }
    // Ensures that the run covered reads, snapshots and commits.
    INFO("reads " << reads << ", snapshots " << snapshots << ", committed " << committed);
    CHECK(reads > 1'000);
    CHECK(snapshots > 20);
    CHECK(committed > 10'000);
}

// Guards against a lost or duplicated entry when the leader is killed between two stages of handling a proposal.
TEST_CASE("the leader can be killed at each stage", "[consensus]")
{
    for (const auto stage : { Stage::Taken, Stage::Sent, Stage::Synced, Stage::Acknowledged }) {
        for (uint64_t seed = 1; seed <= 20; ++seed) {
            CAPTURE(static_cast<int>(stage), seed);
            Network network(seed, threeVoters);
            network.commitEntries(5);
            const auto leader = network.leader();
            network.killAt = [&](const InstanceId& id, Stage at, const Ready& ready) {
                return id == leader && at == stage && !ready.entries.empty();
            };
            std::ignore = network.propose(leader);
            REQUIRE_FALSE(network.replicas[leader].core);
            network.killAt = nullptr;
            const auto before = network.now;
            network.commitEntries(5);
            CHECK(network.now - before < 3s); // target for the loss of a leader, in simulated time
            healAndConverge(network);
        }
    }
}

// Guards against an isolated leader that continues to serve requests, and against one that forces an election when it
// reconnects.
TEST_CASE("an isolated leader steps down and rejoins without an election", "[consensus]")
{
    Network network(1, threeVoters);
    network.commitEntries(5);
    const auto old = network.leader();
    network.isolate(old);
    network.read(old); // confirmed by the lease
    const auto reads = network.readsConfirmed;
    CHECK(reads == 1);
    std::ignore = network.propose(old);
    network.run(1s + 10ms);
    CHECK(network.core(old).role() != Role::Leader);
    CHECK_FALSE(network.propose(old).ok());
    network.commitEntries(300);
    network.run(1h);
    network.read(old);
    CHECK(network.readsConfirmed == reads);
    const auto leader = network.leader();
    const auto term = network.core(leader).term();
    network.isolated.clear();
    healAndConverge(network);
    CHECK(network.leader() == leader);
    CHECK(network.core(leader).term() == term);
}

// Guards against two leaders and stale reads after a paused process resumes.
TEST_CASE("a resumed leader confirms no stale read", "[consensus]")
{
    forEachSeed([](Network& network) {
        const auto old = network.leader();
        network.replicas[old].paused = true;
        network.commitEntries(10);
        const auto reads = network.readsConfirmed;
        network.replicas[old].paused = false;
        network.read(old); // before it receives any message
        CHECK(network.readsConfirmed == reads);
        healAndConverge(network);
    });
}

// Guards against a replica that votes after the loss of its disk for a candidate without the entries it had
// acknowledged.
TEST_CASE("a replica that lost its disk does not vote before it has caught up", "[consensus]")
{
    for (const bool partiallyCaughtUp : { false, true }) {
        for (uint64_t seed = 1; seed <= 20; ++seed) {
            CAPTURE(partiallyCaughtUp, seed);
            Network network(seed, threeVoters);
            network.snapshotEvery = 1'000;
            network.commitEntries(5);
            const auto upToDate = network.leader();
            const auto lost = otherThan(threeVoters, { upToDate });
            const auto behind = otherThan(threeVoters, { upToDate, lost });
            network.isolate(behind);
            network.commitEntries(60); // on `upToDate` and `lost` only
            network.dropIf = [&](const InstanceId&, const InstanceId& to, const Message& message) {
                return to == lost && !message.entries.empty() && (!partiallyCaughtUp || message.logIndex.value > 20);
            };
            network.wipe(lost);
            network.run(10s);
            CHECK((network.core(lost).log().last().value > 5) == partiallyCaughtUp);
            network.isolated = { upToDate };
            network.run(60s);
            CHECK(network.leader().empty());
            network.dropIf = nullptr;
            healAndConverge(network);
            CHECK_FALSE(network.core(lost).recovering());
        }
    }
}

// Guards against a peer that never receives its lost entries again, because an acknowledgement from before the loss of
// its disk arrives after it.
TEST_CASE("a delayed acknowledgement does not hide the loss of a disk", "[consensus]")
{
    TimePoint now { 3s };
    Core core({ .self = a },
        { .hardState = { Term { 1 } }, .entries = { { Term { 1 }, Index { 1 } } }, .voters = threeVoters },
        TimePoint {});
    core.tick(now);
    for (const auto type : { MessageType::PreVoteReply, MessageType::VoteReply })
        core.step(b, { .type = type, .term = Term { 2 } }, now);
    REQUIRE(core.takeReady().entries.size() == 1);
    const Message acknowledged { .type = MessageType::AppendReply, .term = Term { 2 }, .logIndex = Index { 2 } };
    Message lost { .type = MessageType::AppendReply, .term = Term { 2 }, .logIndex = Index { 2 }, .reject = true };
    lost.context = 7;
    for (int round = 0; round < 2; ++round) {
        core.step(b, acknowledged, now);
        core.step(b, lost, now);
        const auto messages = core.takeReady().messages;
        const auto append = std::ranges::find_if(
            messages, [](const Outgoing& out) { return out.to == b && out.message.type == MessageType::Append; });
        REQUIRE(append != messages.end());
        CHECK(append->message.logIndex == Index {});
        CHECK(append->message.context == 7);
    }
}

// Guards against a replica that ends its recovery on an append that was sent before the loss of its disk.
TEST_CASE("only an append with the current incarnation ends the recovery of a replica", "[consensus]")
{
    StoredState empty { .hardState = { .recovering = true }, .voters = threeVoters };
    Core core({ .self = a, .incarnation = 7 }, empty, TimePoint {});
    Message append { .type = MessageType::Append, .term = Term { 2 } };
    append.context = 5;
    core.step(b, append, TimePoint { 3s });
    std::ignore = core.takeReady();
    core.tick(TimePoint { 4s });
    CHECK(core.recovering());
    append.context = 7;
    core.step(b, append, TimePoint { 4s });
    core.tick(TimePoint { 4s });
    CHECK_FALSE(core.recovering());
}

// Guards against a group without a leader because the only electable replica is being removed.
TEST_CASE("a replica may campaign until its removal is committed", "[consensus]")
{
    StoredState stored { .hardState = { .term = Term { 1 }, .commit = Index { 1 } }, .voters = { a, b } };
    stored.entries = { { Term { 1 }, Index { 1 } }, { Term { 1 }, Index { 2 }, EntryKind::Membership, "b" } };
    Core core({ .self = a }, stored, TimePoint {});
    core.tick(TimePoint { 3s });
    CHECK(core.role() == Role::PreCandidate);
    stored.hardState.commit = Index { 2 };
    Core removed({ .self = a }, stored, TimePoint {});
    removed.tick(TimePoint { 3s });
    CHECK(removed.role() == Role::Follower);
}

// Guards against a replacement of a voter after which the group still cannot tolerate the loss of another one.
TEST_CASE("the group survives the loss of the leader right after a voter was replaced", "[consensus]")
{
    forEachSeed(
        [](Network& network) {
            const auto leader = network.leader();
            const auto lost = otherThan(threeVoters, { leader });
            network.crash(lost);
            network.replicas.erase(lost);
            const auto removal = network.change(leader, lost, false);
            REQUIRE(network.runUntil([&] { return network.changes.contains(removal); }));
            network.commitEntries(1);
            network.start(d);
            const auto addition = network.change(leader, d, true);
            REQUIRE(network.runUntil([&] { return network.changes.contains(addition); }));
            REQUIRE(network.changes.at(addition).ok());
            network.crash(leader);
            network.commitEntries(10);
            healAndConverge(network);
        },
        300);
}

// Guards against a first election by a majority alone, which replicas that lost their disks could win.
TEST_CASE("the first election needs the votes of all voters", "[consensus]")
{
    Network network(1, threeVoters);
    network.isolate(c);
    network.run(60s);
    CHECK(network.leader().empty());
    network.isolated.clear();
    network.waitForLeader();
}

// Guards against a new group that never elects a leader again, because its replicas cannot rule out that they lost
// entries or votes.
TEST_CASE("a new group recovers when its first leader is killed immediately", "[consensus]")
{
    for (const auto stage : { Stage::Taken, Stage::Sent, Stage::Synced, Stage::Acknowledged }) {
        for (const bool killAll : { false, true }) {
            CAPTURE(static_cast<int>(stage), killAll);
            Network network(1, threeVoters);
            InstanceId first;
            network.killAt = [&](const InstanceId& id, Stage at, const Ready& ready) {
                if (first.empty() && at == stage && !ready.entries.empty())
                    first = id;
                return id == first && at == stage && !ready.entries.empty();
            };
            REQUIRE(network.runUntil([&] { return !first.empty(); }));
            network.killAt = nullptr;
            for (const auto& id : threeVoters) {
                if (killAll)
                    network.crash(id);
            }
            healAndConverge(network);
        }
    }
}

// Guards against a peer that never catches up, and against messages that exceed the limit of an append.
TEST_CASE("a peer that is thousands of entries behind catches up", "[consensus]")
{
    for (const uint64_t snapshotEvery : { 100'000, 100 }) { // catches up by entries, by a snapshot
        CAPTURE(snapshotEvery);
        Network network(1, threeVoters);
        network.snapshotEvery = snapshotEvery;
        network.commitEntries(1);
        const auto behind = otherThan(threeVoters, { network.leader() });
        network.isolate(behind);
        network.commitEntries(2'000);
        size_t largest = 0;
        network.dropIf = [&](const InstanceId&, const InstanceId&, const Message& message) {
            size_t bytes = message.snapshot ? message.snapshot->data.size() : 0;
            for (const auto& entry : message.entries)
                bytes += entry.data.size();
            largest = std::max(largest, bytes);
            return false;
        };
        healAndConverge(network);
        CHECK(largest <= network.appendBytes);
        CHECK(network.snapshotsInstalled == (snapshotEvery == 100 ? 1 : 0));
    }
}

// Guards against a catch-up that never completes or combines two snapshots, when the leader takes a new snapshot or
// the leader changes.
TEST_CASE("a catch-up completes despite new snapshots and leader changes", "[consensus]")
{
    forEachSeed(
        [](Network& network) {
            const auto behind = otherThan(threeVoters, { network.leader() });
            network.isolate(behind);
            network.commitEntries(1'000);
            network.isolated.clear();
            network.faults = { .drop = 0.05, .maxDelay = 30ms };
            const auto leader = network.leader();
            for (int round = 0; round < 20; ++round) {
                network.commitEntries(20);
                if (round == 5)
                    network.core(network.leader())
                        .transferLeadership(otherThan(threeVoters, { leader, behind }), network.now);
            }
            healAndConverge(network);
            CHECK(network.snapshotsInstalled >= 1);
        },
        1);
}

// Guards against a snapshot that is combined from chunks of two leaders, which may serialize the state differently.
TEST_CASE("a snapshot transfer restarts under a new leader", "[consensus]")
{
    Core core({ .self = a }, { .voters = threeVoters }, TimePoint { 1s });
    const auto nextOffset = [&](const InstanceId& leader, uint64_t term, uint64_t offset) {
        Message chunk { .type = MessageType::Snapshot, .term = Term { term }, .context = offset };
        chunk.snapshot = Snapshot { Index { 10 }, Term { 1 }, threeVoters, "data" };
        core.step(leader, std::move(chunk), TimePoint { 1s });
        return core.takeReady().afterSync.back().message.context;
    };
    CHECK(nextOffset(b, 2, 0) == 4);
    CHECK(nextOffset(b, 2, 4) == 8);
    CHECK(nextOffset(c, 3, 8) == 0);
    CHECK(nextOffset(c, 3, 0) == 4);
}

// Guards against two concurrent membership changes, whose majorities need not overlap.
TEST_CASE("of two concurrent membership changes one is rejected", "[consensus]")
{
    Network network(1, threeVoters);
    network.start(d);
    network.start(e);
    network.commitEntries(1);
    const auto leader = network.leader();
    const auto first = network.change(leader, d, true);
    const auto second = network.change(leader, e, true);
    const auto third = network.change(leader, a, false);
    REQUIRE(network.runUntil([&] { return network.changes.size() == 3; }));
    CHECK(network.changes.at(first).ok());
    CHECK(detailsOf(network.changes.at(second).status()).reason == "CHANGE_IN_PROGRESS");
    CHECK(detailsOf(network.changes.at(third).status()).outcome == Outcome::NotRun);
    // An isolated leader and its successor both propose a change; only that of the successor is committed.
    network.commitEntries(1);
    network.isolate(leader);
    network.change(leader, b, false);
    const auto successor = network.waitForLeader();
    const auto addition = network.change(successor, e, true);
    network.isolated = { leader };
    REQUIRE(network.runUntil([&] { return network.changes.contains(addition); }));
    healAndConverge(network);
    CHECK(network.core(network.leader()).voters() == std::vector { a, b, c, d, e });
}

// Guards against a removed replica that forces elections, and against a leader that still leads after its own removal.
TEST_CASE("a removed replica does not disturb the others", "[consensus]")
{
    for (const bool removeLeader : { false, true }) {
        CAPTURE(removeLeader);
        Network network(1, threeVoters);
        network.commitEntries(5);
        const auto leader = network.leader();
        const auto removed = removeLeader ? leader : otherThan(threeVoters, { leader });
        if (!removeLeader)
            network.isolate(removed); // it does not learn of its removal
        network.change(leader, removed, false);
        network.run(5s);
        network.commitEntries(5);
        const auto term = network.core(network.leader()).term();
        network.isolated.clear();
        network.run(60s);
        CHECK(network.core(network.leader()).term() == term);
        CHECK(network.leader() != removed);
    }
}

// Guards against a removal after which no majority exists without a voter that is down or has lost its disk.
TEST_CASE("a removal that leaves no healthy majority is rejected", "[consensus]")
{
    for (const bool wiped : { false, true }) {
        CAPTURE(wiped);
        Network network(1, threeVoters);
        network.commitEntries(5);
        const auto leader = network.leader();
        const auto unhealthy = otherThan(threeVoters, { leader });
        wiped ? network.wipe(unhealthy) : network.crash(unhealthy);
        network.run(1s + 200ms);
        const auto refused = network.change(leader, otherThan(threeVoters, { leader, unhealthy }), false);
        REQUIRE(network.changes.contains(refused));
        CHECK(detailsOf(network.changes.at(refused).status()).reason == "NO_MAJORITY");
        const auto repair = network.change(leader, unhealthy, false);
        REQUIRE(network.changes.contains(repair));
        CHECK(network.changes.at(repair).ok());
    }
}

// Guards against a leader that remains outside the preferred region.
TEST_CASE("leadership moves to a preferred leader", "[consensus]")
{
    Network network(1, threeVoters);
    network.preferred = { b };
    for (const auto& id : threeVoters)
        network.start(id); // restarts with the preference
    network.isolate(b);
    network.run(1s);
    network.isolated.clear();
    network.commitEntries(20);
    REQUIRE(network.runUntil([&] { return network.leader() == b; }));
    network.crash(b);
    network.commitEntries(20);
    CHECK(network.leader() != b);
    network.start(b);
    CHECK(network.runUntil([&] { return network.leader() == b; }));
    healAndConverge(network);
}

// Guards against reads that need a round trip under a valid lease, or that are confirmed without one after it expired.
TEST_CASE("reads use the lease, or a heartbeat round without one", "[consensus]")
{
    Network network(1, threeVoters);
    network.commitEntries(1);
    network.run(1s);
    const auto leader = network.leader();
    const auto heartbeats = network.sent[MessageType::Heartbeat];
    network.read(leader);
    CHECK(network.readsConfirmed == 1);
    CHECK(network.sent[MessageType::Heartbeat] == heartbeats);
    network.isolated = { otherThan(threeVoters, { leader }),
        otherThan(threeVoters, { leader, otherThan(threeVoters, { leader }) }) };
    network.run(600ms); // longer than the lease, shorter than an election timeout
    REQUIRE(network.core(leader).role() == Role::Leader);
    network.read(leader);
    CHECK(network.readsConfirmed == 1);
    network.isolated.clear();
    network.run(100ms);
    CHECK(network.readsConfirmed == 2);
}

// Guards against a stale read: a replica acknowledges the leader, restarts and votes for another leader, which commits
// entries while the lease of the first one is still valid.
TEST_CASE("a restarted replica respects the lease it granted", "[consensus]")
{
    forEachSeed([](Network& network) {
        const auto leader = network.leader();
        const auto restarted = otherThan(threeVoters, { leader });
        const auto isolatedPeer = otherThan(threeVoters, { leader, restarted });
        network.dropIf = [&](const InstanceId& from, const InstanceId& to, const Message&) {
            return (from == leader && to == isolatedPeer) || (from == isolatedPeer && to == leader);
        };
        for (int round = 0; round < 20; ++round) {
            network.crash(restarted);
            network.start(restarted);
            for (int steps = 0; steps < 100; ++steps) {
                network.step();
                std::ignore = network.propose(isolatedPeer);
                network.read(leader);
            }
        }
        CHECK(network.readsConfirmed > 1'000);
        network.dropIf = nullptr;
        healAndConverge(network);
    });
}

// Guards against a group that waits a full election timeout after all replicas restarted, and against a vote that is
// granted while the previous leader may still hold its lease.
TEST_CASE("a restarted replica waits no longer than a lease", "[consensus]")
{
    for (uint64_t seed = 1; seed <= 20; ++seed) {
        const TimePoint start { 10s };
        const CoreOptions options { .self = a, .seed = seed };
        const auto restarted = [&] {
            return Core(options,
                { .hardState = { Term { 1 } }, .entries = { { Term { 1 }, Index { 1 } } }, .voters = threeVoters },
                start);
        };
        auto candidate = restarted();
        candidate.tick(start + options.electionTimeoutMax - options.electionTimeoutMin * 2 / 5);
        CHECK(candidate.role() == Role::PreCandidate);

        const Message request {
            .type = MessageType::PreVote, .term = Term { 2 }, .logIndex = Index { 1 }, .logTerm = Term { 1 }
        };
        const auto isGranted = [&](Duration after) {
            auto voter = restarted();
            voter.step(b, request, start + after);
            const auto ready = voter.takeReady();
            return !ready.afterSync.empty() && !ready.afterSync.front().message.reject;
        };
        CHECK_FALSE(isGranted(options.electionTimeoutMin / 2));
        CHECK(isGranted(options.electionTimeoutMin * 3 / 5));
    }
}

// Guards against a leader that commits an entry which is not yet durable on its own disk, and against a membership
// change while an earlier one may be unknown to the leader.
TEST_CASE("a new leader waits for its own sync and for an entry of its own term", "[consensus]")
{
    TimePoint now { 1s };
    Core core({ .self = a },
        { .hardState = { Term { 1 } }, .entries = { { Term { 1 }, Index { 1 } } }, .voters = threeVoters }, now);
    now = now + 2s;
    core.tick(now);
    core.step(b, { .type = MessageType::PreVoteReply, .term = Term { 2 } }, now);
    core.step(b, { .type = MessageType::VoteReply, .term = Term { 2 } }, now);
    REQUIRE(core.role() == Role::Leader);
    REQUIRE(core.propose("data").value() == Index { 3 });
    core.removeVoter(1, c);
    const auto ready = core.takeReady();
    REQUIRE(ready.changes.size() == 1);
    CHECK(detailsOf(ready.changes.front().index.status()).reason == "LEADER_NOT_READY");
    REQUIRE(ready.entries.size() == 2);
    core.step(b, { .type = MessageType::AppendReply, .term = Term { 2 }, .logIndex = Index { 3 } }, now);
    CHECK(core.commit() == Index {});
    core.onPersisted(Index { 3 }, Term { 2 });
    CHECK(core.commit() == Index { 3 });
    core.removeVoter(2, c);
    CHECK(core.takeReady().changes.front().index.ok());
}
