// Measures how the memory, message sizes and run times of the control state and the control leader grow with the number
// of jobs, tasks, grants, workers and entries. There is no network: the leader is called directly and its hooks do
// nothing. docs/CAPACITY.md is derived from the results.
#include "control/leader.h"
#include "peer_generated.h"
#include "turmericpier/peer/frame.h"

#include <algorithm>
#include <benchmark/benchmark.h>
#include <chrono>
#include <malloc.h>

using namespace turmericpier;
using namespace turmericpier::control;

namespace {

constexpr int tasksPerJob = 13;
constexpr int tasksPerWorker = 15; // 130,000 running tasks on 8,500 workers
constexpr uint64_t itemsPerCommand = 100;
constexpr uint64_t entryCount = 84; // seven in each of 12 data centres

std::string formatName(const char* prefix, uint64_t number)
{
    std::string digits = std::to_string(number);
    digits.insert(0, 6 - std::min<size_t>(6, digits.size()), '0');
    return prefix + digits;
}

std::string workerName(uint64_t number) { return formatName("worker-", number); }
std::string entryName(uint64_t number) { return formatName("entry-", number); }
std::string taskName(uint64_t number)
{
    return formatName("job-", number / tasksPerJob) + "." + std::to_string(number % tasksPerJob);
}

size_t heapBytes()
{
    const auto info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

void setResources(rpc::Resources& resources, int64_t cores)
{
    resources.set_milli_cpu(cores * 1'000);
    resources.set_memory_mib(cores * 4'096);
}

/// Applies commands to a control state with consecutive log indexes, as the control log does.
class StateReplica {
public:
    std::string apply(const log::ControlCommand& command)
    {
        return m_state.apply(m_index = m_index.next(), command.SerializeAsString());
    }
    Index index() const { return m_index; }
    const ControlState& state() const { return m_state; }

    void operate(const std::function<void(rpc::OperateRequest&)>& fill)
    {
        log::ControlCommand command;
        command.mutable_operate()->set_request_id(formatName("0c2f4a6e-71b3-4d58-9e0a-00000000", m_index.value));
        fill(*command.mutable_operate());
        apply(command);
    }

    void addTeam()
    {
        operate([](auto& request) {
            request.mutable_put_team()->set_name("team-001");
            setResources(*request.mutable_put_team()->mutable_quota(), 1'000'000);
        });
    }

    void addJobs(uint64_t count)
    {
        for (uint64_t i = 0; i < count; ++i) {
            operate([i](auto& request) {
                auto& job = *request.mutable_submit_job();
                job.set_name(formatName("job-", i));
                job.set_team("team-001");
                job.set_kind(rpc::Job::BATCH);
                job.set_tasks(tasksPerJob);
                setResources(*job.mutable_request(), 2);
                job.set_run_time_ms(600'000);
                job.set_max_retries(3);
                job.set_command("match-outline --piece 00000000 --limit 100");
                job.set_family(formatName("family-", i % 100));
                job.set_partner("puzzle-office");
            });
        }
    }

    void addConfigurations(uint64_t count)
    {
        for (uint64_t i = 0; i < count; ++i) {
            operate([i](auto& request) {
                request.mutable_put_config()->set_expected_version(i);
                request.mutable_put_config()->set_content("{\"limit\":100}");
            });
        }
    }

    void addWorkers(uint64_t count)
    {
        for (uint64_t i = 0; i < count; ++i) {
            log::ControlCommand command;
            auto& worker = *command.mutable_workers()->add_workers();
            fillFacts(worker, i);
            apply(command);
        }
    }

    static void fillFacts(rpc::WorkerReport& worker, uint64_t number)
    {
        worker.set_worker(workerName(number));
        worker.set_incarnation(1'764'000'000'000);
        worker.set_address("10.120.130.140:40000");
        worker.set_data_centre(formatName("dc-", number % 12));
        worker.set_region(formatName("region-", number % 4));
        worker.set_rack(formatName("rack-", number / 8));
        setResources(*worker.mutable_capacity(), 64);
        worker.set_slots(8);
        worker.set_connections(64);
        worker.add_services("refill-price");
    }

    /// Places the first `count` tasks; task i runs on worker i modulo `workers`.
    void placeTasks(uint64_t count, uint64_t workers)
    {
        for (uint64_t first = 0; first < count; first += itemsPerCommand)
            apply(buildPlacements(first, std::min(itemsPerCommand, count - first), workers));
    }

    static log::ControlCommand buildPlacements(uint64_t first, uint64_t count, uint64_t workers)
    {
        log::ControlCommand command;
        for (uint64_t i = first; i < first + count; ++i) {
            auto& placement = *command.mutable_placements()->add_placements();
            placement.set_task(taskName(i));
            placement.set_worker(workerName(i % workers));
            placement.set_epoch(1'000'000 + i);
            setResources(*placement.mutable_limit(), 2);
            placement.set_worker_incarnation(1'764'000'000'000);
        }
        return command;
    }

    void endTasks(uint64_t count)
    {
        for (uint64_t first = 0; first < count; first += itemsPerCommand) {
            log::ControlCommand command;
            for (uint64_t i = first; i < std::min(count, first + itemsPerCommand); ++i) {
                auto& end = *command.mutable_task_ends()->add_ends();
                end.set_task(taskName(i));
                end.set_epoch(1'000'000 + i);
                end.set_state(rpc::TASK_FINISHED);
            }
            apply(command);
        }
    }

    /// Grants one slot of each worker to each of `perWorker` entries. All entries hold about the same number of grants.
    void addGrants(uint64_t workers, uint64_t perWorker)
    {
        for (uint64_t worker = 0; worker < workers; ++worker) {
            log::ControlCommand command;
            for (uint64_t i = 0; i < perWorker; ++i) {
                auto& grant = *command.mutable_grants()->add_grants();
                grant.set_worker(workerName(worker));
                grant.set_entry(entryName((worker + i) % entryCount));
                grant.set_epoch(1'000'000 + worker * perWorker + i);
                grant.set_slots(1);
                grant.set_connections(8);
                grant.set_lease_ms(4'500'000);
                grant.set_held_slots(1);
                grant.set_held_connections(8);
            }
            apply(command);
        }
    }

private:
    ControlState m_state;
    Index m_index;
};

/// Measures the heap and snapshot bytes of the items that `add` adds to the state made by `prepare`, and the time to
/// take the snapshot.
void measureState(benchmark::State& bench, const std::function<void(StateReplica&)>& prepare,
    const std::function<void(StateReplica&, uint64_t count)>& add)
{
    const auto count = static_cast<uint64_t>(bench.range(0));
    StateReplica replica;
    prepare(replica);
    const auto sizeBefore = replica.state().snapshot().size();
    const auto heapBefore = heapBytes();
    add(replica, count);
    const auto heapAfter = heapBytes();
    size_t size = 0;
    for (auto _ : bench)
        size = replica.state().snapshot().size();
    bench.counters["heap_bytes"] = static_cast<double>(heapAfter) - static_cast<double>(heapBefore);
    bench.counters["snapshot_bytes"] = static_cast<double>(size) - static_cast<double>(sizeBefore);
}

/// Measures jobs, each with the stored reply to its submission.
void stateJobs(benchmark::State& bench)
{
    measureState(
        bench, [](StateReplica& replica) { replica.addTeam(); },
        [](StateReplica& replica, uint64_t count) { replica.addJobs(count); });
}

/// Measures the stored replies to configuration changes.
void stateReplies(benchmark::State& bench)
{
    measureState(
        bench, [](StateReplica&) {}, [](StateReplica& replica, uint64_t count) { replica.addConfigurations(count); });
}

void stateWorkers(benchmark::State& bench)
{
    measureState(
        bench, [](StateReplica&) {}, [](StateReplica& replica, uint64_t count) { replica.addWorkers(count); });
}

void stateTasks(benchmark::State& bench)
{
    const auto jobs = static_cast<uint64_t>(bench.range(0)) / tasksPerJob + 1;
    measureState(
        bench,
        [jobs](StateReplica& replica) {
            replica.addTeam();
            replica.addJobs(jobs);
        },
        [](StateReplica& replica, uint64_t count) { replica.placeTasks(count, 8'500); });
}

/// Measures finished tasks, whose ends the job keeps.
void stateEndedTasks(benchmark::State& bench)
{
    const auto jobs = static_cast<uint64_t>(bench.range(0)) / tasksPerJob + 1;
    measureState(
        bench,
        [jobs](StateReplica& replica) {
            replica.addTeam();
            replica.addJobs(jobs);
        },
        [](StateReplica& replica, uint64_t count) {
            replica.placeTasks(count, 8'500);
            replica.endTasks(count);
        });
}

void stateGrants(benchmark::State& bench)
{
    measureState(
        bench, [](StateReplica& replica) { replica.addWorkers(8'500); },
        [](StateReplica& replica, uint64_t count) { replica.addGrants(8'500, count / 8'500); });
}

/// Measures the size of a command that places the given number of tasks, and the time to apply it.
void placementCommand(benchmark::State& bench)
{
    constexpr uint64_t placed = 130'000;
    const auto count = static_cast<uint64_t>(bench.range(0));
    StateReplica replica;
    replica.addTeam();
    replica.addJobs(placed / tasksPerJob * 2);
    replica.placeTasks(placed, 8'500);
    uint64_t next = placed;
    auto command = StateReplica::buildPlacements(next, count, 8'500);
    const auto size = command.SerializeAsString().size();
    for (auto _ : bench) {
        bench.PauseTiming();
        command = StateReplica::buildPlacements(next, count, 8'500);
        next += count;
        bench.ResumeTiming();
        benchmark::DoNotOptimize(replica.apply(command));
    }
    bench.counters["command_bytes"] = static_cast<double>(size);
}

LeaderHooks noOpHooks()
{
    return { .propose = [](log::ControlCommand, const std::function<void(absl::Status)>&) {},
        .push = [](const InstanceId&, const std::map<WorkerId, std::vector<rpc::WorkerCommand>>&) {},
        .recordJob = [](const JobRecord&) {} };
}

/// Builds a state with `workers` workers that run tasksPerWorker tasks each.
std::unique_ptr<StateReplica> buildRunningState(uint64_t workers)
{
    auto replica = std::make_unique<StateReplica>();
    const auto tasks = workers * tasksPerWorker;
    replica->addTeam();
    replica->addWorkers(workers);
    replica->addJobs(tasks / tasksPerJob + 1);
    replica->placeTasks(tasks, workers);
    return replica;
}

rpc::WorkerReport buildReport(const ControlState& state, uint64_t number)
{
    auto report = state.workers().at(WorkerId(workerName(number)));
    report.set_sequence(100'000);
    for (const auto& id : state.tasksOn(WorkerId(report.worker()))) {
        auto& task = *report.add_tasks();
        task.set_task(id.str());
        task.set_epoch(state.placements().at(id).epoch());
        task.set_state(rpc::TASK_RUNNING);
        setResources(*task.mutable_usage(), 1);
    }
    return report;
}

/// Builds the heartbeat of an entry that holds the streams of the first `attached` workers, with a report of each.
peer::wire::EntryHeartbeatT buildHeartbeat(const ControlState& state, uint64_t attached)
{
    peer::wire::EntryHeartbeatT heartbeat;
    heartbeat.entry = entryName(0);
    heartbeat.incarnation = 3;
    heartbeat.data_centre = formatName("dc-", 0);
    heartbeat.region = formatName("region-", 0);
    heartbeat.state_version = state.sharedVersion().value;
    heartbeat.grants_version = state.grantsVersion().value;
    for (uint64_t i = 0; i < attached; ++i) {
        const auto bytes = buildReport(state, i).SerializeAsString();
        auto& blob = heartbeat.reports.emplace_back(std::make_unique<peer::wire::WorkerBlobT>());
        blob->worker = workerName(i);
        blob->data.assign(bytes.begin(), bytes.end());
        heartbeat.streams.push_back(workerName(i));
    }
    return heartbeat;
}

template <typename Body> std::string encodeEnvelope(Body body)
{
    peer::wire::EnvelopeT envelope;
    envelope.from = entryName(0);
    envelope.incarnation = 3;
    envelope.correlation = 1'000'000;
    envelope.body.Set(std::move(body));
    return *peer::encodeFrame(envelope);
}

/// Measures a heartbeat with the given number of worker reports in a cell of 8,500 workers and 127,500 running tasks.
void heartbeatReports(benchmark::State& bench)
{
    const auto replica = buildRunningState(8'500);
    TimePoint now { std::chrono::seconds(1'000) };
    Leader leader({}, noOpHooks(), replica->state(), now);
    const auto heartbeat = buildHeartbeat(replica->state(), static_cast<uint64_t>(bench.range(0)));
    peer::wire::EntryHeartbeatReplyT reply;
    for (auto _ : bench) {
        now = now + std::chrono::milliseconds(200);
        reply = {};
        leader.handleHeartbeat(replica->state(), heartbeat, reply, now);
    }
    bench.counters["reply_bytes"] = static_cast<double>(encodeEnvelope(std::move(reply)).size());
    bench.counters["heartbeat_bytes"] = static_cast<double>(
        encodeEnvelope(buildHeartbeat(replica->state(), static_cast<uint64_t>(bench.range(0)))).size());
}

/// Measures encoding and decoding the frame of a heartbeat with the given number of worker reports.
void heartbeatFrame(benchmark::State& bench)
{
    const auto replica = buildRunningState(static_cast<uint64_t>(bench.range(0)));
    peer::wire::EnvelopeT envelope;
    envelope.body.Set(buildHeartbeat(replica->state(), static_cast<uint64_t>(bench.range(0))));
    for (auto _ : bench) {
        peer::FrameDecoder decoder;
        decoder.append(*peer::encodeFrame(envelope));
        benchmark::DoNotOptimize(decoder.next());
    }
}

/// Measures a heartbeat without reports by the number of grants of all entries. The entry holds one grant in 84.
void heartbeatGrants(benchmark::State& bench)
{
    StateReplica replica;
    replica.addWorkers(8'500);
    replica.addGrants(8'500, static_cast<uint64_t>(bench.range(0)) / 8'500);
    TimePoint now { std::chrono::seconds(1'000) };
    Leader leader({}, noOpHooks(), replica.state(), now);
    const auto heartbeat = buildHeartbeat(replica.state(), 0);
    for (auto _ : bench) {
        now = now + std::chrono::milliseconds(200);
        peer::wire::EntryHeartbeatReplyT reply;
        leader.handleHeartbeat(replica.state(), heartbeat, reply, now);
        benchmark::DoNotOptimize(reply);
    }
}

/// Measures the reply that carries services, workers, drain marks and configuration, by the number of workers.
void heartbeatState(benchmark::State& bench)
{
    StateReplica replica;
    replica.addWorkers(static_cast<uint64_t>(bench.range(0)));
    TimePoint now { std::chrono::seconds(1'000) };
    Leader leader({}, noOpHooks(), replica.state(), now);
    auto heartbeat = buildHeartbeat(replica.state(), 0);
    heartbeat.state_version = 0;
    peer::wire::EntryHeartbeatReplyT reply;
    for (auto _ : bench) {
        reply = {};
        leader.handleHeartbeat(replica.state(), heartbeat, reply, now);
    }
    bench.counters["reply_bytes"] = static_cast<double>(encodeEnvelope(std::move(reply)).size());
}

/// Measures the part of a heartbeat that an entry sends for the grants it holds.
void heldGrantFrame(benchmark::State& bench)
{
    peer::wire::EnvelopeT envelope;
    peer::wire::EntryHeartbeatT heartbeat;
    for (int64_t i = 0; i < bench.range(0); ++i) {
        auto& held = heartbeat.held.emplace_back(std::make_unique<peer::wire::HeldGrantT>());
        held->worker = workerName(static_cast<uint64_t>(i));
        held->epoch = 1'000'000;
        held->in_use = 2;
    }
    envelope.body.Set(std::move(heartbeat));
    size_t size = 0;
    for (auto _ : bench)
        size = peer::encodeFrame(envelope)->size();
    bench.counters["heartbeat_bytes"] = static_cast<double>(size);
}

/// Measures the part of a heartbeat that an entry sends for the workers whose streams it holds.
void streamFrame(benchmark::State& bench)
{
    peer::wire::EnvelopeT envelope;
    peer::wire::EntryHeartbeatT heartbeat;
    for (int64_t i = 0; i < bench.range(0); ++i)
        heartbeat.streams.push_back(workerName(static_cast<uint64_t>(i)));
    envelope.body.Set(std::move(heartbeat));
    size_t size = 0;
    for (auto _ : bench)
        size = peer::encodeFrame(envelope)->size();
    bench.counters["heartbeat_bytes"] = static_cast<double>(size);
}

/// Measures planning the grants once the plan no longer changes. Each entry serves the workers of its data centre.
void grantPlan(benchmark::State& bench)
{
    const auto workers = static_cast<uint64_t>(bench.range(0));
    const auto liveEntries = static_cast<uint64_t>(bench.range(1));
    StateReplica replica;
    replica.addWorkers(workers);
    TimePoint now { std::chrono::seconds(1'000) };
    std::map<InstanceId, EntryInfo> entries;
    for (uint64_t i = 0; i < liveEntries; ++i) {
        auto& entry = entries[InstanceId(entryName(i))];
        entry.id = InstanceId(entryName(i));
        entry.dataCentre = DataCentreId(formatName("dc-", i % 12));
        entry.region = RegionId(formatName("region-", i % 4));
        entry.lastHeartbeat = now;
        entry.demand = { { ServiceId("refill-price"), 0, static_cast<uint32_t>(workers * 2 / liveEntries) } };
    }
    GrantManager manager({}, replica.state(), now);
    int rounds = 0;
    for (; rounds < 20; ++rounds) {
        auto changes = manager.plan(replica.state(), entries, now);
        if (changes.empty())
            break;
        log::ControlCommand command;
        for (auto& change : changes) {
            change.set_held_slots(change.slots()); // Reductions are confirmed at once.
            change.set_held_connections(change.connections());
            command.mutable_grants()->add_grants()->Swap(&change);
        }
        replica.apply(command);
    }
    for (auto _ : bench)
        benchmark::DoNotOptimize(manager.plan(replica.state(), entries, now));
    bench.counters["grants"] = static_cast<double>(replica.state().grants().size());
    bench.counters["rounds"] = rounds;
}

/// Measures a tick of an idle leader between two grant plans.
void leaderTick(benchmark::State& bench)
{
    const auto replica = buildRunningState(static_cast<uint64_t>(bench.range(0)));
    TimePoint now { std::chrono::seconds(1'000) };
    Leader leader({}, noOpHooks(), replica->state(), now);
    leader.tick(replica->state(), now);
    for (auto _ : bench) {
        now = now + std::chrono::nanoseconds(1);
        leader.tick(replica->state(), now);
    }
}

/// Measures the start of a leader, which rebuilds the engine, on a state with the given number of workers. `heap_bytes`
/// is the memory of the leader.
void leaderStart(benchmark::State& bench)
{
    const auto replica = buildRunningState(static_cast<uint64_t>(bench.range(0)));
    const TimePoint now { std::chrono::seconds(1'000) };
    double heap = 0;
    for (auto _ : bench) {
        const auto before = heapBytes();
        auto leader = std::make_unique<Leader>(LeaderOptions {}, noOpHooks(), replica->state(), now);
        heap = static_cast<double>(heapBytes()) - static_cast<double>(before);
        bench.PauseTiming();
        leader.reset();
        bench.ResumeTiming();
    }
    bench.counters["heap_bytes"] = heap;
}

BENCHMARK(stateJobs)->Arg(10'000)->Arg(30'000)->Arg(90'000)->Unit(benchmark::kMillisecond);
BENCHMARK(stateReplies)->Arg(10'000)->Arg(30'000)->Arg(90'000)->Unit(benchmark::kMillisecond);
BENCHMARK(stateTasks)->Arg(13'000)->Arg(39'000)->Arg(130'000)->Unit(benchmark::kMillisecond);
BENCHMARK(stateEndedTasks)->Arg(13'000)->Arg(39'000)->Arg(130'000)->Unit(benchmark::kMillisecond);
BENCHMARK(stateGrants)->Arg(8'500)->Arg(17'000)->Arg(34'000)->Arg(68'000)->Unit(benchmark::kMillisecond);
BENCHMARK(stateWorkers)->Arg(1'000)->Arg(3'000)->Arg(8'500)->Unit(benchmark::kMillisecond);
BENCHMARK(placementCommand)->Arg(1)->Arg(10)->Arg(100)->Iterations(1'000)->Unit(benchmark::kMicrosecond);
BENCHMARK(heartbeatReports)->Arg(0)->Arg(10)->Arg(100)->Arg(1'000)->Unit(benchmark::kMicrosecond);
BENCHMARK(heartbeatFrame)->Arg(10)->Arg(100)->Arg(1'000)->Unit(benchmark::kMicrosecond);
BENCHMARK(heartbeatGrants)->Arg(8'500)->Arg(17'000)->Arg(34'000)->Arg(68'000)->Unit(benchmark::kMicrosecond);
BENCHMARK(heartbeatState)->Arg(500)->Arg(2'000)->Arg(8'500)->Unit(benchmark::kMicrosecond);
BENCHMARK(heldGrantFrame)->Arg(10)->Arg(100)->Arg(1'000)->Unit(benchmark::kMicrosecond);
BENCHMARK(streamFrame)->Arg(10)->Arg(100)->Arg(1'000)->Unit(benchmark::kMicrosecond);
BENCHMARK(grantPlan)->ArgsProduct({ { 500, 2'000, 8'500 }, { 28, 84 } })->Unit(benchmark::kMillisecond);
BENCHMARK(leaderTick)->Arg(500)->Arg(2'000)->Arg(8'500)->Iterations(1'000)->Unit(benchmark::kMicrosecond);
BENCHMARK(leaderStart)->Arg(500)->Arg(2'000)->Arg(8'500)->Iterations(3)->Unit(benchmark::kMillisecond);

} // namespace

BENCHMARK_MAIN();
