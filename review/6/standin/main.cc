// Scenarios of the second review. Usage: standin-2 SCENARIO FOLDER RECORD; TROUBLE=0 leaves the disruption out.
// Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
#include "worker.h"

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <functional>
#include <iostream>
#include <set>
#include <unistd.h>

namespace {
const std::string host = "till.example";
const std::string quick = "/quick/";
const std::string batch = "/batch/";
const std::string config
    = R"({"version":1,"routes":[{"name":"r-quick","host":"till.example","path-prefix":"/quick/","kind":"non_idempotent","timeout-ms":3000,"target-runtime-ms":400,"priority":0,"service":"svc","attempts":2,"stretch":1.5},{"name":"r-batch","host":"till.example","path-prefix":"/batch/","kind":"non_idempotent","timeout-ms":3000,"target-runtime-ms":1200,"priority":2,"service":"svc","attempts":2,"stretch":2.2}],"services":[{"name":"svc","health-path":"/health","max-conns":64,"protocol":"h1","tls":false,"admission-check":false,"spare":false}],"limits":{"max-header-bytes":16384,"max-body-bytes":262144,"header-timeout-ms":3000,"idle-timeout-ms":15000}})";

enum Outcome { Held = 0, Broken = 1, NotRun = 2 };

bool hasTrouble()
{
    const char* value = std::getenv("TROUBLE");
    return !value || std::string(value) != "0";
}

/// A small deployment with its workers.
struct World {
    World(ClusterOptions options, const std::string& recordFile)
        : record(recordFile)
        , history(record)
        , cluster(std::move(options), record)
        , client(cluster, record, host)
    {
    }

    bool start(int workerCount, int cpu, int memMb)
    {
        if (!cluster.start() || !cluster.configure(config, 25'000))
            return false;
        for (int i = 1; i <= workerCount; ++i) {
            WorkerOptions options;
            options.id = "i-" + std::to_string(1000 + i);
            options.address = cluster.workerAddress(i);
            if (static_cast<size_t>(i) <= kinds.size())
                options.kind = kinds[static_cast<size_t>(i) - 1];
            options.rack = "r1-" + std::to_string(1 + i / 8);
            options.cpu = cpu;
            options.memMb = memMb;
            workers.push_back(std::make_unique<Worker>(options, cluster, history, record));
            if (!workers.back()->start())
                return false;
        }
        sleepMs(3'000);
        return true;
    }

    void verdict(bool broken, const std::string& why)
    {
        record.line((broken ? "RULE BROKEN: " : "rule held: ") + why);
        std::cout << (broken ? "RULE BROKEN: " : "rule held: ") << why << std::endl;
    }

    Record record;
    History history;
    Cluster cluster;
    Client client;
    std::vector<std::string> kinds; ///< Of the first workers; the others are of kind "a".
    std::vector<std::unique_ptr<Worker>> workers;
};

std::string job(int count, int cpu, int memMb, int workMs, const std::string& more = "")
{
    return R"({"spec":"work=)" + std::to_string(workMs) + R"(","steps":[{"count":)" + std::to_string(count)
        + R"(,"cpu":)" + std::to_string(cpu) + R"(,"mem-mb":)" + std::to_string(memMb) + R"(,"est-ms":)"
        + std::to_string(std::max(1, workMs)) + more + "}]}";
}

/// Sends small jobs for some time and returns the ids of those that were accepted.
std::vector<std::string> sendSmallJobs(World& world, int count, int gapMs)
{
    std::vector<std::string> accepted;
    for (int i = 0; i < count; ++i) {
        const auto id = randomJobId();
        if (world.client.submit(quick + id, job(2, 500, 256, 500), 1).status == 200)
            accepted.push_back(id);
        sleepMs(gapMs);
    }
    return accepted;
}

/// Asks for each job for 3 s, as the rule on lost jobs does. Returns those that get no answer, or are not done and
/// have nothing running all the while, with less than half of the capacity in use.
std::vector<std::string> findLost(World& world, const std::vector<std::string>& ids)
{
    std::vector<std::string> lost;
    for (const auto& id : ids) {
        std::string state;
        int status = 0;
        bool answered = false;
        bool isIdle = true;
        for (const auto end = now() + 3'000; now() < end && state != "done"; sleepMs(300)) {
            status = world.client.get(quick + id, state);
            answered |= status == 200;
            isIdle &= world.history.active() == 0;
        }
        if (state == "done" || (answered && !isIdle))
            continue;
        lost.push_back(id);
        world.record.line("client: job " + id + " is not done, and nothing runs; GET -> " + std::to_string(status) + " "
            + state + ", " + std::to_string(world.history.runsOf(id).size()) + " of its 2 tasks have begun");
        if (lost.size() == 3) // Each takes 3 s.
            break;
    }
    return lost;
}

/// One client hands in a job with many small tasks. The processes must stay within their memory, and the jobs of
/// other clients must be run.
Outcome manyTasks(World& world, const std::string& body, bool recordRuns)
{
    constexpr int endsOfFault = 3; // Of one machine, on half of the core.
    if (!world.start(8, 64'000, 262'144))
        return NotRun;
    const auto before = sendSmallJobs(world, 5, 100);
    sleepMs(3'000);
    if (before.size() != 5 || !findLost(world, before).empty())
        return NotRun;
    world.history.setQuiet(!recordRuns);
    world.record.line("client: the next job is " + (hasTrouble() ? body : "a small one"));
    world.client.submit(batch + randomJobId(), hasTrouble() ? body : job(20, 100, 256, 1000), 1);
    sleepMs(1'000);
    const auto accepted = sendSmallJobs(world, 20, 100);
    world.record.line(
        "client: " + std::to_string(accepted.size()) + " of 20 small jobs after it were accepted; waits 14 s");
    sleepMs(14'000);
    const auto lost = findLost(world, accepted);
    int controls = 0;
    int faulty = 0;
    for (const auto& node : world.cluster.nodes()) {
        if (!node.isControl)
            continue;
        ++controls;
        faulty += node.ownEnds >= endsOfFault ? 1 : 0;
        world.record.line("platform: " + node.name + " ended by itself " + std::to_string(node.ownEnds)
            + " times; highest memory seen " + std::to_string(node.peakKb) + " KiB");
    }
    const bool broken = 2 * faulty >= controls || !lost.empty();
    world.verdict(broken,
        std::to_string(world.cluster.ownEnds()) + " ends of control processes by themselves, three or more on "
            + std::to_string(faulty) + " of " + std::to_string(controls) + " machines; "
            + std::to_string(accepted.size()) + " of 20 small jobs accepted, "
            + (lost.size() == 3 ? "3 or more" : std::to_string(lost.size())) + " of them lost 14 s after the last one");
    return broken ? Broken : Held;
}

/// Idle workers restart under their ids while jobs come.
Outcome restarts(World& world)
{
    if (!world.start(8, 4'000, 32'768))
        return NotRun;
    std::atomic<bool> stop { false };
    std::vector<std::thread> clients;
    for (int i = 0; i < 2; ++i) {
        clients.emplace_back([&world, &stop] {
            while (!stop) {
                world.client.submit(quick + randomJobId(), job(1, 4'000, 256, 300), 1);
                sleepMs(randomInt(150, 450));
            }
        });
    }
    const auto end = now() + 80'000;
    std::string overlap;
    int restarts = 0;
    std::vector<Worker*> order; // The one that has run longest comes first.
    for (const auto& worker : world.workers)
        order.push_back(worker.get());
    while (now() < end && overlap.empty()) {
        const auto idle
            = std::find_if(order.begin(), order.end(), [](Worker* worker) { return worker->running() == 0; });
        if (hasTrouble() && idle != order.end()) {
            (*idle)->crash();
            sleepMs(100);
            (*idle)->start();
            std::rotate(idle, idle + 1, order.end());
            ++restarts;
        }
        sleepMs(400);
        overlap = world.history.findOverlap();
    }
    stop = true;
    for (auto& client : clients)
        client.join();
    if (overlap.empty())
        overlap = world.history.findOverlap();
    world.verdict(!overlap.empty(),
        std::to_string(restarts) + " restarts of workers; " + (overlap.empty() ? "no task ran twice" : overlap));
    return overlap.empty() ? Held : Broken;
}
/// A worker restarts under its id and is cut off some seconds later.
Outcome longLease(World& world)
{
    world.kinds = { "b", "b" };
    if (!world.start(8, 16'000, 32'768))
        return NotRun;
    const auto needsB = R"(,"needs":"b")";
    const auto waitFor = [&](const std::string& id, size_t runs, int64_t ms) {
        const auto end = now() + ms;
        while (now() < end) {
            for (const auto& [task, found] : world.history.runsOf(id)) {
                if (found.size() >= runs && found.back().endedAt < 0)
                    return true;
            }
            sleepMs(5);
        }
        return false;
    };
    const auto first = randomJobId();
    if (world.client.submit(batch + first, job(1, 16'000, 1'000, 6'500, needsB)).status != 200
        || !waitFor(first, 1, 3'000))
        return NotRun;
    auto& idle = *world.workers[world.workers[0]->running() > 0 ? 1 : 0];
    if (hasTrouble()) {
        idle.setFirstBeat(250); // As the worker of the project's fault soak.
        idle.crash();
        sleepMs(1'000);
        idle.start();
    }
    const auto id = randomJobId();
    if (world.client.submit(batch + id, job(1, 16'000, 1'000, 20'000, needsB)).status != 200
        || !waitFor(id, hasTrouble() ? 2 : 1, 8'000))
        return NotRun;
    sleepMs(500);
    if (hasTrouble())
        idle.cut(5'500);
    sleepMs(8'000);
    const auto overlap = world.history.findOverlap();
    world.verdict(!overlap.empty(), overlap.empty() ? "no task ran twice" : overlap);
    return overlap.empty() ? Held : Broken;
}
/// Steady traffic, a leader that is killed twice, and the death of all processes as the final fault.
Outcome recovery(World& world)
{
    constexpr int recoverMs = 12'000;
    constexpr int clientCount = 150;
    constexpr int periodMs = 2'500;
    if (!world.start(8, 64'000, 262'144))
        return NotRun;
    world.history.setQuiet(true);
    auto body = job(1, 100, 16, 50);
    body.replace(body.find("work=50"), 7, "work=50 " + std::string(3'900, 'x'));
    struct Sent {
        int64_t at = 0;
        bool served = false;
    };
    std::mutex mutex;
    std::vector<Sent> sent;
    std::atomic<bool> stop { false };
    std::vector<std::thread> clients;
    for (int i = 0; i < clientCount; ++i) {
        clients.emplace_back([&, i] {
            sleepMs(int64_t { periodMs } * i / clientCount);
            while (!stop) {
                const auto at = now();
                const bool served = world.client.submit(quick + randomJobId(), body, 2).status == 200;
                {
                    std::lock_guard lock(mutex);
                    sent.push_back({ at, served });
                }
                sleepMs(at + periodMs - now());
            }
        });
    }
    const auto share = [&](int64_t from, int64_t until) {
        std::lock_guard lock(mutex);
        int all = 0;
        int served = 0;
        for (const auto& request : sent) {
            if (request.at < from || request.at >= until)
                continue;
            ++all;
            served += request.served ? 1 : 0;
        }
        world.record.line("client: requests sent from " + std::to_string(from) + " to " + std::to_string(until)
            + " ms: " + std::to_string(all) + ", served " + std::to_string(served));
        return all == 0 ? 0.0 : static_cast<double>(served) / all;
    };
    const auto trafficAt = now();
    for (int kill = 0; kill < 2; ++kill) {
        sleepMs(kill == 0 ? 22'000 : 14'000);
        if (!hasTrouble())
            continue;
        const auto leader = world.cluster.leaderName();
        if (leader.empty())
            return NotRun;
        for (auto& node : world.cluster.nodes()) {
            if (node.name == leader)
                world.cluster.kill(node, 3'000);
        }
    }
    sleepMs(11'000);
    const auto faultAt = now();
    if (hasTrouble()) {
        for (auto& node : world.cluster.nodes())
            world.cluster.kill(node, 500);
    }
    sleepMs(1'000);
    const auto backAt = now();
    sleepMs(recoverMs + 25'000);
    const auto endAt = now();
    stop = true;
    for (auto& client : clients)
        client.join();
    const auto before = share(trafficAt, faultAt);
    const auto after = share(backAt + recoverMs, endAt);
    const bool broken = before >= 0.25 && after < 0.25;
    for (const auto& node : world.cluster.nodes())
        world.record.line("platform: " + node.name + ": highest memory seen " + std::to_string(node.peakKb)
            + " KiB, ended by itself " + std::to_string(node.ownEnds) + " times");
    world.verdict(broken,
        "served before the final fault: " + std::to_string(before)
            + ", of what was sent later than 12 s after all were back: " + std::to_string(after));
    return before < 0.25 ? NotRun : broken ? Broken : Held;
}
/// A worker is cut off just before a job comes that is placed on it, and crashes and starts again behind the cut.
Outcome waitingOrders(World& world)
{
    if (!world.start(8, 16'000, 32'768))
        return NotRun;
    const auto first = randomJobId(); // Keeps the worker polled that takes the tasks of the next job too.
    if (world.client.submit(batch + first, job(1, 50, 16, 60'000)).status != 200)
        return NotRun;
    sleepMs(1'500);
    Worker* holder = nullptr;
    for (const auto& worker : world.workers) {
        if (worker->running() > 0)
            holder = worker.get();
    }
    if (!holder)
        return NotRun;
    if (hasTrouble()) {
        holder->cut(5'500);
        sleepMs(100); // Before the leader can know of the cut.
    }
    if (world.client.submit(batch + randomJobId(), job(40, 390, 100, 30'000)).status != 200)
        return NotRun;
    sleepMs(2'000);
    if (hasTrouble())
        holder->rebirth();
    else if (holder->running() < 41)
        return NotRun;
    sleepMs(12'000);
    const auto overlap = world.history.findOverlap();
    world.verdict(!overlap.empty(), overlap.empty() ? "no task ran twice" : overlap);
    return overlap.empty() ? Held : Broken;
}
} // namespace

int main(int argc, char** argv)
{
    if (argc != 4)
        return NotRun;
    const std::string scenario = argv[1];
    Outcome outcome = NotRun;
    {
        ClusterOptions options { .folder = argv[2] };
        if (scenario == "restarts")
            options.peerDelayMs = 8;
        if (scenario == "recovery") {
            options.controlMb = 64;
            options.statusS = 10;
        }
        World world(options, argv[3]);
        if (scenario == "gang")
            outcome = manyTasks(world, job(4'000, 10, 16, 1'000, R"(,"gang":true)"), true);
        else if (scenario == "wide")
            outcome = manyTasks(world, job(99'000, 5, 10, 1'000), false);
        else if (scenario == "wide-max")
            outcome = manyTasks(world, job(99'000, 5, 10, 1'000, R"(,"max-per-server":99000)"), false);
        else if (scenario == "recovery")
            outcome = recovery(world);
        else if (scenario == "orders")
            outcome = waitingOrders(world);
        else if (scenario == "lease")
            outcome = longLease(world);
        else if (scenario == "restarts")
            outcome = restarts(world);
        if (outcome == NotRun)
            world.record.line("the case could not run");
    }
    std::_Exit(outcome); // Threads of the stand-ins may still wait.
}
