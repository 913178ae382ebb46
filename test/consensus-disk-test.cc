#include "consensus-groups.h"

#include <csignal>
#include <sys/resource.h>

using namespace turmericpier;
using namespace turmericpier::consensus;

// Guards against a replica that acknowledges an entry it failed to write. A limit on the file size makes the write
// fail.
TEST_CASE("a failed write stops the replica", "[consensus]")
{
    Groups groups({ a, b, c });
    const auto leader = groups.leader();
    rlimit limit {};
    REQUIRE(::getrlimit(RLIMIT_FSIZE, &limit) == 0);
    auto small = limit;
    small.rlim_cur = 64;
    std::signal(SIGXFSZ, SIG_IGN);
    REQUIRE(::setrlimit(RLIMIT_FSIZE, &small) == 0);
    const auto failed = groups.propose(leader, "lost");
    REQUIRE(::setrlimit(RLIMIT_FSIZE, &limit) == 0);
    CHECK(detailsOf(failed.status()).outcome == Outcome::Unknown);
    CHECK(groups.field(leader, "failure").as_string().find("write failed") != std::string::npos);
    CHECK(detailsOf(groups.propose(leader, "again").status()).outcome == Outcome::NotRun);
}

// Guards against a group without a leader for good after the disk of each replica was full for a moment, one after the
// other, because each of them stayed stopped.
TEST_CASE("a replica whose disk refused a write takes part again", "[consensus]")
{
    const auto fault = GENERATE(&DiskFaults::writes, &DiskFaults::partsOfWrites, &DiskFaults::syncs);
    Groups groups({ a, b, c });
    groups.leader();
    for (const auto& id : { a, b, c }) {
        (groups.disk(id).*fault) = true;
        REQUIRE(groups.advanceUntil([&] {
            std::ignore = groups.propose(groups.leader(), "x").ok();
            return groups.isStopped(id);
        }));
        (groups.disk(id).*fault) = false;
        groups.commitEverywhere(id.str());
    }
    CHECK(groups.counter("consensus_recoveries_total").value() == 3);
    const auto data = groups.stoppedData(a);
    CHECK(data == groups.stoppedData(b));
    CHECK(data == groups.stoppedData(c));
    CHECK(data.ends_with(";c;"));
}

// Guards against a stopped replica that votes or acknowledges what it has not stored.
TEST_CASE("nothing is committed while a majority of the disks is full", "[consensus]")
{
    Groups groups({ a, b, c });
    groups.commitEverywhere("kept");
    const auto leader = groups.leader();
    const auto applied = groups.number(leader, "applied");
    for (const auto& id : { a, b, c })
        groups.disk(id).writes = id != leader;
    const auto refused = groups.propose(leader, "open");
    CHECK(detailsOf(refused.status()).outcome == Outcome::Unknown);
    int rounds = 0;
    CHECK(groups.advanceUntil([&] {
        for (const auto& id : { a, b, c })
            REQUIRE(groups.number(id, "applied") == applied);
        return ++rounds > 1'000;
    }));
    for (const auto& id : { a, b, c })
        groups.disk(id).writes = true;
    CHECK_FALSE(groups.propose(leader, "refused").ok());
    for (const auto& id : { a, b, c })
        groups.disk(id).writes = false;
    groups.commitEverywhere("again");
    const auto data = groups.stoppedData(b);
    CHECK(data.starts_with("kept;"));
    CHECK(data.ends_with("again;"));
}

// Guards against a write that is refused while a segment or snapshot is begun, which leaves files that cannot be read,
// and against a refusal that nothing reports.
TEST_CASE("a replica recovers from a refusal of any single write or sync", "[consensus]")
{
    constexpr int refusals = 24;
    Groups groups({ a, b, c }, 10);
    groups.leader();
    for (int calls = 0; calls < refusals; ++calls) {
        CAPTURE(calls);
        const auto id = std::vector { a, b, c }[calls % 3];
        groups.disk(id).callsUntilRefusal = calls;
        const bool isBehind = calls % 2 == 0; // and receives a snapshot
        if (isBehind)
            groups.isolate(id);
        for (int i = 0; i < 25; ++i) {
            const auto by = isBehind ? groups.leader({ id }) : groups.leader();
            std::ignore = groups.propose(by, "x").ok();
        }
        groups.heal();
        do {
            groups.commitEverywhere(std::to_string(calls));
        } while (groups.disk(id).callsUntilRefusal >= 0);
    }
    CHECK(groups.counter("consensus_recoveries_total").value() > 0);
    // Whether a call belongs to the log or to a snapshot depends on the timing of two threads.
    CHECK(groups.advanceUntil([&] {
        return groups.counter("consensus_storage_failures_total").value()
            + groups.counter("consensus_snapshot_failures_total").value()
            == refusals;
    }));
    const auto data = groups.stoppedData(a);
    CHECK(data == groups.stoppedData(b));
    CHECK(data == groups.stoppedData(c));
}

// Guards against a replica that stops, or writes no further snapshot, after any write or sync of one was refused.
TEST_CASE("a replica goes on after a refusal of any write or sync of a snapshot", "[consensus]")
{
    constexpr int refusals = 6;
    Groups groups({ a }, 10);
    groups.leader();
    groups.disk(a).refusesOnlySnapshots = true;
    std::string data;
    const auto propose = [&] {
        REQUIRE(groups.propose(a, "x").ok());
        data += "x;";
        return true;
    };
    for (int calls = 0; calls < refusals; ++calls) {
        CAPTURE(calls);
        groups.disk(a).callsUntilRefusal = calls;
        REQUIRE(groups.advanceUntil(
            [&] { return propose() && groups.counter("consensus_snapshot_failures_total").value() == calls + 1U; }));
        const auto previous = groups.number(a, "snapshot");
        REQUIRE(groups.advanceUntil([&] { return propose() && groups.number(a, "snapshot") > previous; }));
    }
    CHECK(groups.counter("consensus_storage_failures_total").value() == 0);
    groups.stop(a);
    groups.open(a);
    groups.leader();
    CHECK(groups.stoppedData(a) == data);
}

// Guards against a process that ends at each start while its disk is full.
TEST_CASE("a replica that is opened while its disk is full takes part later", "[consensus]")
{
    Groups groups({ a, b, c });
    groups.leader();
    groups.commitEverywhere("one");
    groups.stop(b);
    groups.disk(b).writes = true;
    groups.open(b);
    CHECK(groups.isStopped(b));
    const auto other = groups.leader({ b });
    REQUIRE(groups.propose(other, "two").ok());
    CHECK(groups.isStopped(b));
    groups.disk(b).writes = false;
    groups.commitEverywhere("three");
    CHECK(groups.stoppedData(b) == "one;two;three;");
}

// Guards against a stopped follower that names the leader of old for good to those that look for one.
TEST_CASE("a stopped replica knows no leader", "[consensus]")
{
    Groups groups({ a, b, c });
    const auto leader = groups.leader();
    const auto follower = leader == a ? b : a;
    REQUIRE(groups.advanceUntil([&] { return groups.leaderKnownTo(follower) == leader; }));
    groups.disk(follower).writes = true;
    REQUIRE(groups.advanceUntil([&] {
        std::ignore = groups.propose(leader, "x").ok();
        return groups.isStopped(follower);
    }));
    CHECK(groups.advanceUntil([&] { return groups.leaderKnownTo(follower).empty(); }));
    groups.disk(follower).writes = false;
    CHECK(groups.advanceUntil([&] { return groups.leaderKnownTo(follower) == leader; }));
}
