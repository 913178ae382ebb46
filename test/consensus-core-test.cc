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

/// Runs `body` on networks with 20 seeds, after some entries were committed.
void forSeeds(const std::function<void(Network&)>& body, int entries = 5)
{
    for (uint64_t seed = 1; seed <= 20; ++seed) {
        CAPTURE(seed);
        Network network(seed, three);
        network.commitEntries(entries);
        body(network);
    }
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
    case 8:
        return network.mayLose(id) ? network.wipe(id) : void();
    case 9:
        if (replica.core) // a smaller set of voters can depend on a disk that is lost before the leader knows
            network.change(id, ids[pick(network, ids.size())], pick(network, 2) == 0 || network.anyLost());
        return;
    case 10:
        if (replica.core)
            replica.core->transferLeadership(ids[pick(network, ids.size())], network.now);
        return;
    default:
        break;
    }
    const auto leader = network.leader();
    for (auto count = pick(network, 8); count > 0 && !leader.empty() && network.replicas[leader].core; --count)
        std::ignore = network.propose(leader);
    for (const auto& other : ids) { // also a leader that is cut off and does not know it
        if (network.replicas[other].core && network.core(other).role() == Role::Leader)
            network.read(other);
    }
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
    INFO("reads " << reads << ", snapshots " << snapshots << ", committed " << committed);
    CHECK(reads > 1'000);
    CHECK(snapshots > 20);
    CHECK(committed > 10'000);
}

// Guards against a leader whose death between two steps of its work loses or doubles an entry.
TEST_CASE("the leader can be killed at each step", "[consensus]")
{
    for (const auto stage : { Stage::Taken, Stage::Sent, Stage::Synced, Stage::Acknowledged }) {
        for (uint64_t seed = 1; seed <= 20; ++seed) {
            CAPTURE(static_cast<int>(stage), seed);
            Network network(seed, three);
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
            CHECK(network.now - before < 3s); // target of the design page, in simulated time
            settle(network);
        }
    }
}

// Guards against a cut-off leader that goes on answering, and against one that disturbs the group when it returns.
TEST_CASE("a leader that is cut off silently steps down and returns quietly", "[consensus]")
{
    Network network(1, three);
    network.commitEntries(5);
    const auto old = network.leader();
    network.cut(old);
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
    network.cutOff.clear();
    settle(network);
    CHECK(network.leader() == leader);
    CHECK(network.core(leader).term() == term);
}

// Guards against two leaders, and stale reads, after a process was stopped and goes on where it was.
TEST_CASE("a leader that was paused confirms no read from before", "[consensus]")
{
    forSeeds([](Network& network) {
        const auto old = network.leader();
        network.replicas[old].paused = true;
        network.commitEntries(10);
        const auto reads = network.readsConfirmed;
        network.replicas[old].paused = false;
        network.read(old); // before any message reaches it
        CHECK(network.readsConfirmed == reads);
        settle(network);
    });
}

// Guards against a replica with an empty disk that helps to elect a leader without the entries it has lost.
TEST_CASE("a replica that lost its disk does not vote before it has caught up", "[consensus]")
{
    for (const bool partly : { false, true }) {
        for (uint64_t seed = 1; seed <= 20; ++seed) {
            CAPTURE(partly, seed);
            Network network(seed, three);
            network.snapshotEvery = 1'000;
            network.commitEntries(5);
            const auto holder = network.leader();
            const auto lost = otherThan(three, { holder });
            const auto behind = otherThan(three, { holder, lost });
            network.cut(behind);
            network.commitEntries(60); // on `holder` and `lost` only
            network.dropIf = [&](const InstanceId&, const InstanceId& to, const Message& message) {
                return to == lost && !message.entries.empty() && (!partly || message.logIndex.value > 20);
            };
            network.wipe(lost);
            network.run(10s);
            CHECK((network.core(lost).log().last().value > 5) == partly);
            network.cutOff = { holder };
            network.run(60s);
            CHECK(network.leader().empty());
            network.dropIf = nullptr;
            settle(network);
            CHECK_FALSE(network.core(lost).recovering());
        }
    }
}

// Guards against a peer that is never repaired because an acknowledgement from before its loss arrives after it.
TEST_CASE("a late acknowledgement does not hide the loss of a disk", "[consensus]")
{
    TimePoint now { 3s };
    Core core({ .self = a },
        { .hardState = { Term { 1 } }, .entries = { { Term { 1 }, Index { 1 } } }, .voters = three }, TimePoint {});
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

// Guards against a replica that takes a message from before the loss of its disk for the state of the leader.
TEST_CASE("only an answer to its present life ends the recovery of a replica", "[consensus]")
{
    StoredState empty { .hardState = { .recovering = true }, .voters = three };
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

// Guards against a group that stays without a leader because the only replica that can lead waits for its removal.
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

// Guards against a repair that leaves the group dependent on the replica that is lost next.
TEST_CASE("a second loss right after a repair stops nothing", "[consensus]")
{
    forSeeds(
        [](Network& network) {
            const auto leader = network.leader();
            const auto lost = otherThan(three, { leader });
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
            settle(network);
        },
        300);
}

// Guards against a first election by a majority, in which replicas with lost disks could pass for a new group.
TEST_CASE("an empty group elects its first leader only with all voters", "[consensus]")
{
    Network network(1, three);
    network.cut(c);
    network.run(60s);
    CHECK(network.leader().empty());
    network.cutOff.clear();
    network.waitForLeader();
}

// Guards against a new group that stays without a leader because its replicas can not tell that they forgot nothing.
TEST_CASE("a group whose first leader is killed at once starts again", "[consensus]")
{
    for (const auto stage : { Stage::Taken, Stage::Sent, Stage::Synced, Stage::Acknowledged }) {
        for (const bool killAll : { false, true }) {
            CAPTURE(static_cast<int>(stage), killAll);
            Network network(1, three);
            InstanceId first;
            network.killAt = [&](const InstanceId& id, Stage at, const Ready& ready) {
                if (first.empty() && at == stage && !ready.entries.empty())
                    first = id;
                return id == first && at == stage && !ready.entries.empty();
            };
            REQUIRE(network.runUntil([&] { return !first.empty(); }));
            network.killAt = nullptr;
            for (const auto& id : three) {
                if (killAll)
                    network.crash(id);
            }
            settle(network);
        }
    }
}

// Guards against a peer that never catches up, or is sent more at once than a frame holds.
TEST_CASE("a peer hundreds of changes behind catches up", "[consensus]")
{
    for (const uint64_t snapshotEvery : { 100'000, 100 }) { // by entries, by snapshot
        CAPTURE(snapshotEvery);
        Network network(1, three);
        network.snapshotEvery = snapshotEvery;
        network.commitEntries(1);
        const auto behind = otherThan(three, { network.leader() });
        network.cut(behind);
        network.commitEntries(2'000);
        size_t largest = 0;
        network.dropIf = [&](const InstanceId&, const InstanceId&, const Message& message) {
            size_t bytes = message.snapshot ? message.snapshot->data.size() : 0;
            for (const auto& entry : message.entries)
                bytes += entry.data.size();
            largest = std::max(largest, bytes);
            return false;
        };
        settle(network);
        CHECK(largest <= network.appendBytes);
        CHECK(network.snapshotsInstalled == (snapshotEvery == 100 ? 1 : 0));
    }
}

// Guards against a catch-up that starts over, or installs a mixture, when the leader's snapshot or the leader changes.
TEST_CASE("snapshots and leader changes during a catch-up do not stop it", "[consensus]")
{
    forSeeds(
        [](Network& network) {
            const auto behind = otherThan(three, { network.leader() });
            network.cut(behind);
            network.commitEntries(1'000);
            network.cutOff.clear();
            network.faults = { .drop = 0.05, .maxDelay = 30ms };
            const auto leader = network.leader();
            for (int round = 0; round < 20; ++round) {
                network.commitEntries(20);
                if (round == 5)
                    network.core(network.leader())
                        .transferLeadership(otherThan(three, { leader, behind }), network.now);
            }
            settle(network);
            CHECK(network.snapshotsInstalled >= 1);
        },
        1);
}

// Guards against a state machine that is joined from the chunks of two leaders, whose bytes may differ.
TEST_CASE("a snapshot transfer starts over under a new leader", "[consensus]")
{
    Core core({ .self = a }, { .voters = three }, TimePoint { 1s });
    const auto nextOffset = [&](const InstanceId& leader, uint64_t term, uint64_t offset) {
        Message chunk { .type = MessageType::Snapshot, .term = Term { term }, .context = offset };
        chunk.snapshot = Snapshot { Index { 10 }, Term { 1 }, three, "data" };
        core.step(leader, std::move(chunk), TimePoint { 1s });
        return core.takeReady().afterSync.back().message.context;
    };
    CHECK(nextOffset(b, 2, 0) == 4);
    CHECK(nextOffset(b, 2, 4) == 8);
    CHECK(nextOffset(c, 3, 8) == 0);
    CHECK(nextOffset(c, 3, 0) == 4);
}

// Guards against two changes of the voters in progress at once, whose majorities need not overlap.
TEST_CASE("of two racing changes of the voters one is refused", "[consensus]")
{
    Network network(1, three);
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
    // A leader that was cut off and its successor race; only the successor's change is committed.
    network.commitEntries(1);
    network.cut(leader);
    network.change(leader, b, false);
    const auto successor = network.waitForLeader();
    const auto addition = network.change(successor, e, true);
    network.cutOff = { leader };
    REQUIRE(network.runUntil([&] { return network.changes.contains(addition); }));
    settle(network);
    CHECK(network.core(network.leader()).voters() == std::vector { a, b, c, d, e });
}

// Guards against a removed replica that forces elections, and against a leader that stays after its own removal.
TEST_CASE("a removed replica does not disturb the others", "[consensus]")
{
    for (const bool removeLeader : { false, true }) {
        CAPTURE(removeLeader);
        Network network(1, three);
        network.commitEntries(5);
        const auto leader = network.leader();
        const auto removed = removeLeader ? leader : otherThan(three, { leader });
        if (!removeLeader)
            network.cut(removed); // it does not hear of its removal
        network.change(leader, removed, false);
        network.run(5s);
        network.commitEntries(5);
        const auto term = network.core(network.leader()).term();
        network.cutOff.clear();
        network.run(60s);
        CHECK(network.core(network.leader()).term() == term);
        CHECK(network.leader() != removed);
    }
}

// Guards against a removal after which the group depends on a voter that is down or has lost its disk.
TEST_CASE("a removal that leaves no healthy majority is refused", "[consensus]")
{
    for (const bool wiped : { false, true }) {
        CAPTURE(wiped);
        Network network(1, three);
        network.commitEntries(5);
        const auto leader = network.leader();
        const auto bad = otherThan(three, { leader });
        wiped ? network.wipe(bad) : network.crash(bad);
        network.run(1s + 200ms);
        const auto refused = network.change(leader, otherThan(three, { leader, bad }), false);
        REQUIRE(network.changes.contains(refused));
        CHECK(detailsOf(network.changes.at(refused).status()).reason == "NO_MAJORITY");
        const auto repair = network.change(leader, bad, false);
        REQUIRE(network.changes.contains(repair));
        CHECK(network.changes.at(repair).ok());
    }
}

// Guards against leadership that stays away from the preferred region.
TEST_CASE("leadership moves to a preferred leader", "[consensus]")
{
    Network network(1, three);
    network.preferred = { b };
    for (const auto& id : three)
        network.start(id); // with the preference
    network.cut(b);
    network.run(1s);
    network.cutOff.clear();
    network.commitEntries(20);
    REQUIRE(network.runUntil([&] { return network.leader() == b; }));
    network.crash(b);
    network.commitEntries(20);
    CHECK(network.leader() != b);
    network.start(b);
    CHECK(network.runUntil([&] { return network.leader() == b; }));
    settle(network);
}

// Guards against reads that cost a round trip under a valid lease, or are confirmed without one when it is not.
TEST_CASE("reads use the lease, or else a round of a quorum", "[consensus]")
{
    Network network(1, three);
    network.commitEntries(1);
    network.run(1s);
    const auto leader = network.leader();
    const auto beats = network.sent[MessageType::Heartbeat];
    network.read(leader);
    CHECK(network.readsConfirmed == 1);
    CHECK(network.sent[MessageType::Heartbeat] == beats);
    network.cutOff = { otherThan(three, { leader }), otherThan(three, { leader, otherThan(three, { leader }) }) };
    network.run(600ms); // longer than the lease, shorter than an election timeout
    REQUIRE(network.core(leader).role() == Role::Leader);
    network.read(leader);
    CHECK(network.readsConfirmed == 1);
    network.cutOff.clear();
    network.run(100ms);
    CHECK(network.readsConfirmed == 2);
}

// Guards against a restarted replica that forgets that it answered the leader a moment ago, and by its vote lets
// another leader commit while the first one still reads under its lease.
TEST_CASE("a restarted replica keeps the lease it granted", "[consensus]")
{
    forSeeds([](Network& network) {
        const auto leader = network.leader();
        const auto between = otherThan(three, { leader });
        const auto apart = otherThan(three, { leader, between });
        network.dropIf = [&](const InstanceId& from, const InstanceId& to, const Message&) {
            return (from == leader && to == apart) || (from == apart && to == leader);
        };
        for (int round = 0; round < 20; ++round) {
            network.crash(between);
            network.start(between);
            for (int steps = 0; steps < 100; ++steps) {
                network.step();
                std::ignore = network.propose(apart);
                network.read(leader);
            }
        }
        CHECK(network.readsConfirmed > 1'000);
        network.dropIf = nullptr;
        settle(network);
    });
}

// Guards against a group that waits a whole election timeout for a leader after all of its replicas have restarted, and
// against a vote while the lease of the former leader may last.
TEST_CASE("a restarted replica waits for the lease only", "[consensus]")
{
    for (uint64_t seed = 1; seed <= 20; ++seed) {
        const TimePoint start { 10s };
        const CoreOptions options { .self = a, .seed = seed };
        const auto restarted = [&] {
            return Core(options,
                { .hardState = { Term { 1 } }, .entries = { { Term { 1 }, Index { 1 } } }, .voters = three }, start);
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

// Guards against a leader that counts itself for an entry its own disk does not hold yet, and against one that changes
// the voters while it may not know of an earlier change.
TEST_CASE("a new leader waits for its own sync and for an entry of its own term", "[consensus]")
{
    TimePoint now { 1s };
    Core core({ .self = a },
        { .hardState = { Term { 1 } }, .entries = { { Term { 1 }, Index { 1 } } }, .voters = three }, now);
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
    core.persisted(Index { 3 }, Term { 2 });
    CHECK(core.commit() == Index { 3 });
    core.removeVoter(2, c);
    CHECK(core.takeReady().changes.front().index.ok());
}
