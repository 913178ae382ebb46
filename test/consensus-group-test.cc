#include "consensus-groups.h"

#include <fstream>
#include <future>

using namespace turmericpier;
using namespace turmericpier::consensus;

// Guards against entries that are lost or applied twice after a restart.
TEST_CASE("a single voter applies each entry once and keeps it across a restart", "[consensus]")
{
    Groups groups({ a });
    groups.leader();
    const auto applied = groups.propose(a, "one");
    REQUIRE(applied.ok());
    CHECK(applied->result == "did one");
    REQUIRE(groups.propose(a, "two").ok());
    groups.stop(a);
    groups.open(a);
    groups.leader();
    CHECK(groups.stoppedData(a) == "one;two;");
}

// Guards against one sync for each proposal, which would limit the throughput to the sync rate of the disk.
TEST_CASE("proposals that arrive during a sync share the next one", "[consensus]")
{
    constexpr int count = 1'000;
    Groups groups({ a });
    std::promise<void> release;
    groups.leader();
    std::atomic<bool> held = false;
    groups.onApply = [&, future = release.get_future().share()] {
        held = true;
        future.wait();
    };
    std::atomic<int> answered = 0;
    const auto propose = [&] { groups.group(a).propose("x", [&](const auto& result) { answered += result.ok(); }); };
    propose();
    REQUIRE(groups.advanceUntil([&] { return held.load(); }));
    const auto before = groups.counter("consensus_syncs_total").value();
    for (int i = 1; i < count; ++i)
        propose();
    release.set_value();
    REQUIRE(groups.advanceUntil([&] { return answered == count; }));
    CHECK(groups.counter("consensus_syncs_total").value() - before == 1);
}

// Guards against a failed proposal that reports the wrong outcome.
TEST_CASE("a failed proposal reports its outcome", "[consensus]")
{
    Groups groups({ a, b, c });
    const auto old = groups.leader();
    const auto follower = old == a ? b : a;
    const auto refused = groups.propose(follower, "refused");
    CHECK(detailsOf(refused.status()).outcome == Outcome::NotRun);
    CHECK(detailsOf(refused.status()).reason == "NOT_LEADER");
    CHECK(detailsOf(groups.read(follower)).reason == "NOT_LEADER");
    const auto tooLarge = groups.propose(old, std::string(4'000'000, 'x'));
    CHECK(detailsOf(tooLarge.status()).reason == "ENTRY_TOO_LARGE");
    groups.isolate(old);
    const auto lost = groups.propose(old, "lost");
    CHECK(detailsOf(lost.status()).outcome == Outcome::Unknown);
    const auto next = groups.leader({ old });
    REQUIRE(groups.propose(next, "kept").ok());
    groups.heal();
    REQUIRE(groups.advanceUntil([&] { return groups.caughtUp(old, next); }));
    groups.group(next).transferLeadership(old);
    REQUIRE(groups.advanceUntil([&] { return groups.field(old, "role") == "leader"; }));
    groups.group(old).stop();
    CHECK(detailsOf(groups.propose(old, "stopped").status()).outcome == Outcome::NotRun);
    CHECK(groups.stoppedData(old) == "kept;");
}

// Guards against a log that grows without limit and a replica that cannot catch up once entries are compacted. The
// snapshot exceeds the frame limit of 4 MiB.
TEST_CASE("a replica that is far behind catches up by a chunked snapshot", "[consensus]")
{
    constexpr int count = 1'000;
    Groups groups({ a, b, c }, 100);
    const auto leader = groups.leader();
    const auto behind = leader == c ? b : c;
    groups.stop(behind);
    const std::string large(6'000, 'x');
    for (int i = 0; i < count; i += 50) { // snapshots are written between the batches
        std::atomic<int> answered = 0;
        for (int j = 0; j < 50; ++j)
            groups.group(leader).propose(large, [&](const auto& result) { answered += result.ok(); });
        REQUIRE(groups.waitUntil([&] { return answered == 50; }));
    }
    REQUIRE(groups.advanceUntil([&] { return groups.number(leader, "snapshot") > 500; }));
    groups.open(behind);
    REQUIRE(groups.advanceUntil([&] { return groups.caughtUp(behind, leader); }));
    CHECK(groups.number(behind, "snapshot") > 500);
    CHECK_FALSE(groups.oversized);
    groups.stop(behind);
    groups.open(behind); // restores its own snapshot
    REQUIRE(groups.advanceUntil([&] { return groups.caughtUp(behind, leader); }));
    CHECK(groups.stoppedData(behind).size() == count * (large.size() + 1));
    CHECK(std::distance(std::filesystem::directory_iterator(groups.folder() / leader.str()), {}) < 8);
}

// Guards against large entries that exhaust the memory before the snapshot interval in entries is reached.
TEST_CASE("a snapshot is taken after the configured number of bytes", "[consensus]")
{
    Groups groups({ a }, 100'000, 10'000);
    groups.leader();
    for (int i = 0; i < 12; ++i)
        REQUIRE(groups.propose(a, std::string(1'000, 'x')).ok());
    CHECK(groups.advanceUntil([&] { return groups.number(a, "snapshot") > 0; }));
}

// Guards against a replica that stops for good because a snapshot file could not be created, as happened to the leader
// of a fleet with too many open files, and to each of its successors.
TEST_CASE("a replica whose snapshot cannot be written goes on and tries again", "[consensus]")
{
    Groups groups({ a }, 100'000, 10'000);
    groups.leader();
    // A folder with the name of the temporary file prevents its creation.
    constexpr int blockedIndexes = 40;
    std::vector<std::filesystem::path> obstacles;
    for (int i = 1; i <= blockedIndexes; ++i) {
        const auto digits = std::to_string(i);
        obstacles.push_back(
            groups.folder() / a.str() / ("snapshot-" + std::string(20 - digits.size(), '0') + digits + ".tmp"));
        std::filesystem::create_directories(obstacles.back());
    }
    for (int i = 0; i < 12; ++i)
        REQUIRE(groups.propose(a, std::string(1'000, 'x')).ok());
    REQUIRE(groups.advanceUntil([&] { return groups.counter("consensus_snapshot_failures_total").value() > 0; }));
    REQUIRE(groups.propose(a, "one").ok());
    CHECK(groups.number(a, "snapshot") == 0);
    for (const auto& obstacle : obstacles)
        std::filesystem::remove_all(obstacle);
    CHECK(groups.advanceUntil([&] { return groups.propose(a, "two").ok() && groups.number(a, "snapshot") > 0; }));
}

// Guards against a replacement of a replica that requires stopping the group.
TEST_CASE("a lost replica is replaced by an empty disk or by a membership change", "[consensus]")
{
    Groups groups({ a, b, c });
    auto leader = groups.leader();
    REQUIRE(groups.propose(leader, "one").ok());
    const auto lost = leader == c ? b : c;
    groups.stop(lost);
    std::filesystem::remove_all(groups.folder() / lost.str());
    groups.open(lost);
    REQUIRE(groups.advanceUntil(
        [&] { return groups.caughtUp(lost, leader) && !groups.field(lost, "recovering").as_bool(); }));
    groups.stop(lost);
    REQUIRE(groups.wait([&](Group::ProposalCallback done) { groups.group(leader).removeVoter(lost, done); }).ok());
    groups.open(d);
    REQUIRE(groups.wait([&](Group::ProposalCallback done) { groups.group(leader).addVoter(d, done); }).ok());
    const auto again = groups.wait([&](Group::ProposalCallback done) { groups.group(leader).addVoter(d, done); });
    CHECK(detailsOf(again.status()).reason == "VOTER_EXISTS");
    groups.stop(leader); // a second loss right after the replacement
    leader = groups.leader({ leader });
    REQUIRE(groups.propose(leader, "two").ok());
    REQUIRE(groups.advanceUntil([&] { return groups.caughtUp(d, leader); }));
    CHECK(groups.stoppedData(d) == "one;two;");
}

// Guards against a replica that starts with a corrupt log.
TEST_CASE("opening a corrupt log fails and names the file", "[consensus]")
{
    Groups groups({ a });
    groups.leader();
    for (int i = 0; i < 20; ++i)
        REQUIRE(groups.propose(a, "data").ok());
    groups.stop(a);
    const auto file = groups.folder() / "a" / "log-00000000000000000001";
    std::fstream(file, std::ios::in | std::ios::out | std::ios::binary).seekp(300).write("damage", 6);
    ManualClock clock;
    Metrics metrics;
    const auto opened = Group::open({ .self = a, .folder = groups.folder() / "a" }, {}, clock, metrics);
    CHECK(opened.status().code() == absl::StatusCode::kDataLoss);
    CHECK(detailsOf(opened.status()).peer == file.string());
}
