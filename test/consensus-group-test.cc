#include "turmericpier/consensus/group.h"

#include "turmericpier/base/error.h"

#include <boost/json.hpp>
#include <catch2/catch.hpp>
#include <csignal>
#include <fstream>
#include <future>
#include <set>
#include <shared_mutex>
#include <sys/resource.h>
#include <thread>
#include <unistd.h>

using namespace turmericpier;
using namespace turmericpier::consensus;
using namespace std::chrono_literals;

namespace {

/// A folder that is removed at the end of the test.
struct TemporaryFolder {
    std::filesystem::path path;
    TemporaryFolder()
    {
        std::string name = (std::filesystem::temp_directory_path() / "consensus-group-XXXXXX").string();
        path = ::mkdtemp(name.data());
    }
    ~TemporaryFolder() { std::filesystem::remove_all(path); }
};

/// What the disk of a replica refuses.
struct DiskFaults {
    std::atomic<bool> writes = false;
    std::atomic<bool> partsOfWrites = false; ///< Writes are cut in the middle, and the rest is refused.
    std::atomic<bool> syncs = false;
    std::atomic<int> callsUntilRefusal = -1; ///< One write or sync is refused after this number; none if negative.

    bool refusesCall() { return callsUntilRefusal >= 0 && callsUntilRefusal-- == 0; }
    ssize_t write(int file, const char* data, size_t size)
    {
        if (writes || refusesCall() || (partsOfWrites && size == 1))
            return errno = ENOSPC, -1;
        return ::write(file, data, partsOfWrites ? size / 2 : size);
    }
    int sync(int file)
    {
        if (syncs || refusesCall())
            return errno = EIO, -1;
        return ::fdatasync(file);
    }
};

/// Replicas in one process that send messages to each other by direct calls.
class Groups {
public:
    /// Opens a replica for each voter.
    explicit Groups(
        const std::vector<InstanceId>& voters, uint64_t snapshotEvery = 100'000, uint64_t snapshotBytes = UINT64_MAX)
        : m_voters(voters)
        , m_snapshotEvery(snapshotEvery)
        , m_snapshotBytes(snapshotBytes)
    {
        for (const auto& id : voters)
            open(id);
    }
    ~Groups()
    {
        for (auto& [id, replica] : m_replicas)
            stop(id);
    }

    void open(const InstanceId& id)
    {
        auto& replica = m_replicas[id];
        replica.data.clear();
        GroupOptions options;
        options.group = GroupId("test");
        options.self = id;
        options.voters = m_voters;
        options.folder = m_folder.path / id.str();
        options.snapshotEvery = m_snapshotEvery;
        options.snapshotBytes = m_snapshotBytes;
        options.write
            = [&replica](int file, const char* data, size_t size) { return replica.disk.write(file, data, size); };
        options.sync = [&replica](int file) { return replica.disk.sync(file); };
        GroupHooks hooks;
        hooks.send = [this, id](const InstanceId& to, Message message) {
            size_t bytes = message.snapshot ? message.snapshot->data.size() : 0;
            for (const auto& entry : message.entries)
                bytes += entry.data.size();
            if (bytes > 256 * 1024) // the limit of an append, far below the frame limit of 4 MiB
                oversized = true;
            std::shared_lock lock(m_mutex);
            const auto found = m_running.find(to);
            if (found != m_running.end() && !m_isolated.contains(id) && !m_isolated.contains(to))
                found->second->receive(id, std::move(message));
        };
        hooks.apply = [this, &replica](Index, std::string_view data) {
            if (onApply)
                onApply();
            replica.data += std::string(data) + ";";
            return "did " + std::string(data);
        };
        hooks.snapshot = [&replica] { return replica.data; };
        hooks.restore = [&replica](std::string_view data) {
            replica.data = data;
            return absl::OkStatus();
        };
        hooks.roleChanged = [this, &replica](const RoleChange& change) {
            std::unique_lock lock(m_mutex);
            replica.role = change;
        };
        auto group = Group::open(options, hooks, m_clock, m_metrics);
        REQUIRE(group.ok());
        replica.group = std::move(*group);
        std::unique_lock lock(m_mutex);
        m_running[id] = replica.group.get();
        lock.unlock();
        replica.group->start();
    }

    void stop(const InstanceId& id)
    {
        std::unique_lock lock(m_mutex);
        m_running.erase(id);
        lock.unlock();
        m_replicas[id].group.reset();
    }

    void isolate(const InstanceId& id)
    {
        std::unique_lock lock(m_mutex);
        m_isolated.insert(id);
    }
    void heal()
    {
        std::unique_lock lock(m_mutex);
        m_isolated.clear();
    }

    /// Advances the clock by 5 ms at a time until `condition` holds; returns false after 20,000 rounds.
    bool advanceUntil(const std::function<bool()>& condition)
    {
        for (int round = 0; round < 20'000; ++round) {
            if (condition())
                return true;
            m_clock.advance(5ms);
            std::this_thread::sleep_for(1ms);
        }
        return false;
    }

    /// Calls `call` and returns the result that it passes to its callback.
    absl::StatusOr<Applied> wait(const std::function<void(Group::ProposalCallback)>& call)
    {
        auto result = std::make_shared<std::optional<absl::StatusOr<Applied>>>();
        auto mutex = std::make_shared<std::mutex>();
        call([result, mutex](absl::StatusOr<Applied> applied) {
            std::lock_guard lock(*mutex);
            *result = std::move(applied);
        });
        REQUIRE(advanceUntil([&] {
            std::lock_guard lock(*mutex);
            return result->has_value();
        }));
        return **result;
    }
    absl::StatusOr<Applied> propose(const InstanceId& id, const std::string& data)
    {
        return wait([&](Group::ProposalCallback done) { group(id).propose(data, done); });
    }
    absl::Status read(const InstanceId& id)
    {
        return wait([&](Group::ProposalCallback done) {
            group(id).read([done](const absl::Status& status) {
                done(status.ok() ? absl::StatusOr<Applied>(Applied {}) : absl::StatusOr<Applied>(status));
            });
        }).status();
    }

    InstanceId leader(const std::set<InstanceId>& except = {})
    {
        InstanceId found;
        REQUIRE(advanceUntil([&] {
            for (auto& [id, replica] : m_replicas) {
                if (replica.group && !except.contains(id) && field(id, "role") == "leader" && read(id).ok())
                    found = id;
            }
            return !found.empty();
        }));
        return found;
    }

    Counter& counter(std::string_view name) { return m_metrics.counter(name); }
    std::function<void()> onApply;
    std::atomic<bool> oversized = false;

    Group& group(const InstanceId& id) { return *m_replicas.at(id).group; }
    boost::json::value field(const InstanceId& id, std::string_view name)
    {
        return boost::json::parse(group(id).dump()).as_object().at(name);
    }
    uint64_t number(const InstanceId& id, std::string_view name) { return field(id, name).to_number<uint64_t>(); }
    bool caughtUp(const InstanceId& id, const InstanceId& with)
    {
        return number(id, "applied") == number(with, "applied");
    }
    DiskFaults& disk(const InstanceId& id) { return m_replicas.at(id).disk; }
    InstanceId leaderKnownTo(const InstanceId& id)
    {
        std::shared_lock lock(m_mutex);
        return m_replicas.at(id).role.leader;
    }
    bool isStopped(const InstanceId& id) { return !field(id, "failure").as_string().empty(); }
    /// Proposes an entry to the leader until it is committed, and waits until all replicas have applied it.
    void commitEverywhere(const std::string& data)
    {
        InstanceId by;
        REQUIRE(advanceUntil([&] {
            by = leader();
            return propose(by, data).ok();
        }));
        for (const auto& id : m_voters)
            REQUIRE(advanceUntil([&] { return caughtUp(id, by) && !isStopped(id); }));
    }
    const std::filesystem::path& folder() const { return m_folder.path; }
    /// Stops a replica and returns the data that it has applied.
    std::string stoppedData(const InstanceId& id)
    {
        stop(id);
        return m_replicas[id].data;
    }

private:
    struct Replica {
        DiskFaults disk;
        RoleChange role; ///< As reported last.
        std::string data;
        std::unique_ptr<Group> group;
    };

    const std::vector<InstanceId> m_voters;
    const uint64_t m_snapshotEvery;
    const uint64_t m_snapshotBytes;
    TemporaryFolder m_folder;
    ManualClock m_clock;
    Metrics m_metrics;
    std::shared_mutex m_mutex;
    std::map<InstanceId, Group*> m_running;
    std::set<InstanceId> m_isolated;
    std::map<InstanceId, Replica> m_replicas;
};

const InstanceId a("a"), b("b"), c("c"), d("d");

} // namespace

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
        REQUIRE(groups.advanceUntil([&] { return answered == 50; }));
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

// Guards against a write that is refused while a segment or snapshot is begun, which leaves files that cannot be read.
TEST_CASE("a replica recovers from a refusal of any single write or sync", "[consensus]")
{
    Groups groups({ a, b, c }, 10);
    groups.leader();
    for (int calls = 0; calls < 24; ++calls) {
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
    CHECK(groups.counter("consensus_snapshot_failures_total").value() > 0);
    const auto data = groups.stoppedData(a);
    CHECK(data == groups.stoppedData(b));
    CHECK(data == groups.stoppedData(c));
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
