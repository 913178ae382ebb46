#include "turmericpier/cell/replica.h"

#include "cell-fixtures.h"
#include "free-address.h"
#include "full-disk.h"

#include <boost/asio/executor_work_guard.hpp>
#include <catch2/catch.hpp>
#include <fstream>
#include <unistd.h>

using namespace turmericpier;
using namespace turmericpier::cell;
using namespace turmericpier::cell::test;
using record::CallKind;
using record::Verdict;
using std::chrono::milliseconds;
using turmericpier::test::freeAddress;
using turmericpier::test::FullDisk;

namespace {

namespace fs = std::filesystem;

/// One process of a cell. All processes of a test share an event loop and run in real time.
struct Process {
    boost::asio::io_context& io;
    Metrics metrics;
    BootClock clock;
    std::unique_ptr<Links> links;
    std::unique_ptr<Relay> relay;
    std::unique_ptr<Replica> replica;
    std::string identity;

    explicit Process(boost::asio::io_context& loop)
        : io(loop)
    {
    }
    ~Process()
    {
        if (relay)
            relay->stop();
        if (replica)
            replica->stop();
        if (links)
            links->stop();
        // Handlers that the threads have posted refer to these objects.
        io.restart();
        io.poll();
    }
};

struct Group {
    boost::asio::io_context io;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work { io.get_executor() };
    uint64_t snapshotEvery = 4'000;
    fs::path root;
    std::set<std::string> seeds;
    std::map<std::string, std::unique_ptr<Process>> processes;

    explicit Group(size_t count)
    {
        std::string name = (fs::temp_directory_path() / "cell-replica-XXXXXX").string();
        root = ::mkdtemp(name.data());
        while (seeds.size() < count)
            seeds.insert(freeAddress());
    }
    ~Group()
    {
        processes.clear();
        fs::remove_all(root);
    }

    fs::path folderOf(const std::string& address) const { return root / address; }

    void start(const std::string& address, bool firstStart)
    {
        auto process = std::make_unique<Process>(io);
        auto identity = openIdentity(folderOf(address), address, firstStart);
        REQUIRE(identity.ok());
        process->identity = identity->replica;
        process->links = std::make_unique<Links>(io, LinksOptions { .self = identity->replica }, process->metrics);
        process->relay = std::make_unique<Relay>(
            io, RelayOptions { .seeds = seeds }, *process->links, process->clock, process->metrics);
        LeaderHooks orders;
        orders.wallMs = [] { return int64_t { 0 }; };
        orders.poll = [](const WorkerAddress&, const PollOrder&, const std::function<void(PollAnswer)>&) {};
        ReplicaOptions options {
            .folder = folderOf(address), .seeds = seeds, .heartbeatAddress = address, .snapshotEvery = snapshotEvery
        };
        process->replica = std::make_unique<Replica>(io, std::move(options), *identity, std::move(orders),
            *process->links, *process->relay, process->clock, process->metrics);
        process->links->setCallHandler(
            [replica = process->replica.get()](const std::string& from, std::unique_ptr<record::CallT> call,
                Links::Answer answer) { replica->onPeerCall(from, std::move(call), std::move(answer)); });
        REQUIRE(process->links->start().ok());
        REQUIRE(process->replica->start().ok());
        process->relay->start();
        processes[address] = std::move(process);
    }
    void startAll(bool firstStart)
    {
        for (const auto& seed : seeds)
            start(seed, firstStart);
    }
    void stop(const std::string& address) { processes.erase(address); }
    void runUntil(const std::function<bool()>& done)
    {
        while (!done())
            io.run_one();
    }
    std::string leader() const
    {
        for (const auto& [address, process] : processes) {
            if (process->replica->leads())
                return address;
        }
        return {};
    }
    void awaitLeader()
    {
        runUntil([this] { return !leader().empty(); });
    }
    record::ReplyT call(const std::string& address, std::unique_ptr<record::CallT> call)
    {
        std::optional<record::ReplyT> reply;
        processes.at(address)->replica->handle(
            std::move(call), std::chrono::seconds(60), [&](record::ReplyT given) { reply = std::move(given); });
        runUntil([&] { return reply.has_value(); });
        return std::move(*reply);
    }
    /// Repeats the call while it is refused because no leader is known.
    record::ReplyT callUntilLeader(const std::string& address, const record::CallT& made)
    {
        while (true) {
            auto reply = call(address, std::make_unique<record::CallT>(made));
            if (reply.verdict != Verdict::NotRun || reply.message != "no leader is known")
                return reply;
        }
    }
    record::CallT putConfig(uint64_t version) const
    {
        record::CallT made;
        made.kind = CallKind::PutConfig;
        made.config = config(version);
        return made;
    }
    uint64_t readVersion(const std::string& address)
    {
        record::CallT made;
        made.kind = CallKind::GetConfig;
        const auto reply = callUntilLeader(address, made);
        return reply.config ? reply.config->version : 0;
    }
    size_t votersSeenBy(const std::string& address) const
    {
        const auto dump = processes.at(address)->replica->dump();
        const auto from = dump.find("\"voters\":[");
        if (from == std::string::npos)
            return 0;
        const auto list = dump.substr(from, dump.find(']', from) - from);
        return static_cast<size_t>(std::count(list.begin(), list.end(), '/'));
    }
};

} // namespace

// Guards against a group that forms twice or not at all, and against a replica that does not find the leader.
TEST_CASE("seeds form one group and relay calls to its leader", "[cell]")
{
    Group group(3);
    group.startAll(true);
    group.awaitLeader();
    for (const auto& seed : group.seeds)
        CHECK(group.callUntilLeader(seed, group.putConfig(4)).verdict == Verdict::Ok);
    for (const auto& seed : group.seeds)
        CHECK(group.readVersion(seed) == 4);
}

// Guards against a replica that starts later and forms a group of its own.
TEST_CASE("a further replica joins through the leader", "[cell]")
{
    Group group(3);
    group.startAll(true);
    group.awaitLeader();
    const auto further = freeAddress();
    group.start(further, true);
    group.runUntil([&] { return group.votersSeenBy(further) == 4; });
    CHECK(group.callUntilLeader(further, group.putConfig(2)).verdict == Verdict::Ok);
}

// Guards against the loss of an acknowledged configuration when all processes stop, and against a second formation.
TEST_CASE("a group recovers its state after all replicas were stopped", "[cell]")
{
    Group group(3);
    group.startAll(true);
    group.awaitLeader();
    CHECK(group.callUntilLeader(*group.seeds.begin(), group.putConfig(9)).verdict == Verdict::Ok);
    group.processes.clear();
    group.startAll(false);
    CHECK(group.readVersion(*group.seeds.begin()) == 9);
}

// Guards against a replica that lost its disk and counts as the former one, and against one that cannot rejoin.
TEST_CASE("a replica that lost its disk joins under a new identity", "[cell]")
{
    Group group(3);
    group.startAll(true);
    group.awaitLeader();
    CHECK(group.callUntilLeader(group.leader(), group.putConfig(3)).verdict == Verdict::Ok);
    auto lost = *group.seeds.begin();
    if (lost == group.leader())
        lost = *group.seeds.rbegin();
    const auto former = group.processes.at(lost)->identity;
    group.stop(lost);
    fs::remove_all(group.folderOf(lost));
    group.start(lost, false);
    CHECK(group.processes.at(lost)->identity != former);
    group.runUntil([&] { return group.votersSeenBy(lost) == 3; });
    CHECK(group.processes.at(lost)->replica->dump().find(former) == std::string::npos);
    CHECK(group.readVersion(lost) == 3);
}

// Guards against a planned stop of the leader that leaves the group without one until an election.
TEST_CASE("a leader transfers leadership before it stops", "[cell]")
{
    Group group(3);
    group.startAll(true);
    group.awaitLeader();
    CHECK(group.callUntilLeader(group.leader(), group.putConfig(3)).verdict == Verdict::Ok);
    const auto former = group.leader();
    bool done = false;
    group.processes.at(former)->replica->handOver([&] { done = true; });
    group.runUntil([&] { return done; });
    CHECK_FALSE(group.processes.at(former)->replica->leads());
}

// Guards against heartbeats of all workers that load the leader alone.
TEST_CASE("a follower answers unchanged heartbeats and names its own address", "[cell]")
{
    Group group(3);
    group.startAll(true);
    group.awaitLeader();
    REQUIRE(group.callUntilLeader(group.leader(), group.putConfig(1)).verdict == Verdict::Ok);
    std::string follower;
    for (const auto& seed : group.seeds)
        follower = seed == group.leader() ? follower : seed;
    record::CallT beat;
    beat.kind = CallKind::Beat;
    beat.worker = worker("w1", 5);
    auto& answered = group.processes.at(follower)->metrics.counter("cell_heartbeats_answered_total");
    CHECK(group.callUntilLeader(follower, beat).beat_address == follower);
    CHECK(answered.value() == 0); // The leader had to record the worker.
    while (answered.value() == 0)
        CHECK(group.call(follower, std::make_unique<record::CallT>(beat)).verdict == Verdict::Ok);
    CHECK(group.call(follower, std::make_unique<record::CallT>(beat)).beat_address == follower);
}

// Guards against a process that hangs at a planned stop, because the thread of the log waits for a snapshot from an
// event loop that has been stopped.
TEST_CASE("a replica stops while its log waits for a snapshot", "[cell]")
{
    Group group(1);
    group.snapshotEvery = 1;
    group.startAll(true);
    group.awaitLeader();
    for (uint64_t version = 1; version <= 20; ++version) {
        group.processes.begin()->second->replica->handle(
            std::make_unique<record::CallT>(group.putConfig(version)), std::chrono::seconds(60), [](record::ReplyT) {});
    }
    group.io.stop();
    group.processes.clear();
    group.startAll(false);
    CHECK(group.readVersion(*group.seeds.begin()) <= 20);
}

// Guards against a control process that ends at its start, or speaks under an identity that it has not stored, while
// its disk is full.
TEST_CASE("a replica that is started on a full disk joins later", "[cell]")
{
    Group group(3);
    group.startAll(true);
    group.awaitLeader();
    const auto further = freeAddress();
    {
        FullDisk full;
        group.start(further, false);
        for (int i = 0; i < 20; ++i)
            group.io.run_one();
        CHECK(group.votersSeenBy(further) == 0);
    }
    CHECK_FALSE(fs::exists(group.folderOf(further) / "identity.json"));
    group.runUntil([&] { return group.votersSeenBy(further) == 4; });
    CHECK(openIdentity(group.folderOf(further), further, false)->replica == group.processes.at(further)->identity);
    CHECK(group.callUntilLeader(further, group.putConfig(2)).verdict == Verdict::Ok);
}

// Guards against an identity that changes at a restart, survives the loss of the disk, or is used at another address.
TEST_CASE("an identity is kept as long as the disk and the address", "[cell]")
{
    Group group(1);
    const auto folder = group.folderOf("disk");
    const auto first = openIdentity(folder, "10.0.0.1:7", true).value();
    CHECK(first.replica.starts_with("10.0.0.1:7/"));
    auto formed = first;
    formed.initialVoters = { first.replica, "10.0.0.2:7/x" };
    REQUIRE(saveIdentity(folder, formed).ok());
    const auto again = openIdentity(folder, "10.0.0.1:7", false).value();
    CHECK(again.replica == first.replica);
    CHECK(again.mayFormGroup);
    CHECK(again.initialVoters == formed.initialVoters);
    CHECK(openIdentity(folder, "10.0.0.9:7", false).value().replica.starts_with("10.0.0.9:7/"));
    std::ofstream(folder / "identity.json") << "no json";
    CHECK_FALSE(openIdentity(folder, "10.0.0.1:7", false).ok());
    fs::remove_all(folder);
    CHECK(openIdentity(folder, "10.0.0.1:7", false).value().replica != first.replica);
}
