#include "turmericpier/decision/engine.h"

#include <algorithm>
#include <benchmark/benchmark.h>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <new>
#include <random>

/// Benchmarks of the engine on one core: placements per second, decision latency, allocations and memory.

namespace {

uint64_t allocations = 0; // Number of calls of operator new.

} // namespace

void* operator new(size_t size)
{
    ++allocations;
    if (void* memory = std::malloc(size))
        return memory;
    throw std::bad_alloc();
}
void operator delete(void* memory) noexcept { std::free(memory); }
void operator delete(void* memory, size_t) noexcept { std::free(memory); }

namespace {

using namespace turmericpier;
using namespace turmericpier::decision;

constexpr uint32_t teams = 170;

double residentMib()
{
    long pages = 0;
    if (auto* file = std::fopen("/proc/self/statm", "r")) {
        long total = 0;
        if (std::fscanf(file, "%ld %ld", &total, &pages) != 2)
            pages = 0;
        std::fclose(file);
    }
    return static_cast<double>(pages) * 4096 / (1 << 20);
}

/// Cell of workers with 16 cores, in racks of eight and 12 data centres. Every fourth worker has 4 accelerators.
class Cell {
public:
    explicit Cell(uint32_t workers)
        : m_engine({})
        , m_random(1)
    {
        for (uint32_t i = 0; i < teams; ++i) {
            const int64_t share = int64_t { workers } * 16'000 / teams;
            m_engine.handle(
                TeamChanged { { TeamId("team-" + std::to_string(i)), { { share }, { share * 4 }, { 8 } } } }, m_now);
        }
        for (uint32_t i = 0; i < workers; ++i) {
            const Worker worker { WorkerId("worker-" + std::to_string(i)),
                DataCentreId("dc" + std::to_string(i / 8 % 12)), RegionId("east"),
                RackId("rack" + std::to_string(i / 8)), { { 16'000 }, { 65'536 }, { i % 4 == 0 ? 4 : 0 } } };
            m_engine.handle(WorkerAnnounced { worker, { 1 } }, m_now);
        }
        m_engine.tick(m_now);
    }

    /// Submits a job with one task. Every fifth job is a service.
    void submit()
    {
        Job job;
        const bool service = m_jobs % 5 == 0;
        job.id = JobId("job-" + std::to_string(m_jobs));
        job.team = TeamId("team-" + std::to_string(m_jobs % teams));
        job.policy = PolicyId("default");
        job.kind = service ? JobKind::Service : JobKind::Batch;
        job.tasks = 1;
        job.priority = m_jobs % 3;
        job.family = "family-" + std::to_string(m_jobs % 500);
        const int64_t cpu = 250 * (1 + m_random() % 6);
        job.request = { { cpu }, { cpu * 3 }, { m_random() % 50 == 0 ? 1 : 0 } };
        ++m_jobs;
        m_engine.handle(JobSubmitted { job }, m_now);
    }

    /// Runs one tick, confirms the start of all placed tasks and returns their number. Advances the time by 1 ms.
    size_t tick()
    {
        size_t placed = 0;
        for (auto& action : m_engine.tick(m_now)) {
            if (auto* place = std::get_if<PlaceTask>(&action)) {
                ++placed;
                m_engine.handle(TaskStarted { place->placement.task, place->placement.epoch }, m_now);
                m_running.push_back({ std::move(place->placement.task), place->placement.epoch });
            }
        }
        m_now = m_now + std::chrono::milliseconds(1);
        return placed;
    }

    /// Submits jobs until `tasks` tasks run or the cell is full.
    void fill(size_t tasks)
    {
        m_running.reserve(tasks);
        while (m_running.size() < tasks) {
            for (size_t i = std::min<size_t>(500, tasks - m_running.size()); i > 0; --i)
                submit();
            if (tick() == 0)
                break;
        }
    }

    /// Ends a random running task. If the task belongs to a service, the service is cancelled.
    void endRandomTask()
    {
        const size_t i = m_random() % m_running.size();
        std::swap(m_running[i], m_running.back());
        const auto& [task, epoch] = m_running.back();
        const auto job = task.str().substr(0, task.str().rfind('.'));
        const bool service = std::stoul(job.substr(job.find('-') + 1)) % 5 == 0;
        if (service)
            m_engine.handle(JobCancelled { JobId(job) }, m_now);
        m_engine.handle(TaskEnded { task, epoch, service ? TaskEnd::Stopped : TaskEnd::Finished }, m_now);
        m_running.pop_back();
    }

    size_t running() const { return m_running.size(); }
    Engine& engine() { return m_engine; }
    TimePoint now() const { return m_now; }

private:
    struct Running {
        TaskId task;
        Epoch epoch;
    };

    Engine m_engine;
    std::mt19937 m_random;
    TimePoint m_now { std::chrono::seconds(1) };
    std::vector<Running> m_running;
    uint64_t m_jobs = 0;
};

size_t runningTasks(uint32_t workers) { return std::min<size_t>(130'000, size_t { workers } * 15); }

/// Measures the submission and placement of one task at a time in a cell with its full number of running tasks.
void placement(benchmark::State& state)
{
    const auto workers = static_cast<uint32_t>(state.range(0));
    const double before = residentMib();
    Cell cell(workers);
    cell.fill(runningTasks(workers));
    const double resident = residentMib() - before;
    std::vector<double> times;
    times.reserve(1 << 20);
    uint64_t placed = 0;
    uint64_t allocated = 0;
    for (auto _ : state) {
        cell.endRandomTask();
        const auto allocatedBefore = allocations;
        const auto start = std::chrono::steady_clock::now();
        cell.submit();
        const auto count = cell.tick();
        const std::chrono::duration<double, std::micro> took = std::chrono::steady_clock::now() - start;
        placed += count;
        allocated += allocations - allocatedBefore;
        if (times.size() < times.capacity())
            times.push_back(took.count());
    }
    std::sort(times.begin(), times.end());
    const auto quantile = [&times](double q) { return times[static_cast<size_t>(q * (times.size() - 1))]; };
    state.counters["placements/s"] = benchmark::Counter(static_cast<double>(placed), benchmark::Counter::kIsRate);
    state.counters["p50_us"] = quantile(0.5);
    state.counters["p99_us"] = quantile(0.99);
    state.counters["max_us"] = times.back();
    state.counters["allocs"] = static_cast<double>(allocated) / static_cast<double>(std::max<uint64_t>(placed, 1));
    state.counters["running"] = static_cast<double>(cell.running());
    state.counters["resident_mib"] = resident;
}

/// Measures ticks that place up to 1,000 tasks.
void batch(benchmark::State& state)
{
    const auto workers = static_cast<uint32_t>(state.range(0));
    Cell cell(workers);
    cell.fill(runningTasks(workers));
    uint64_t placed = 0;
    const auto size = std::min<size_t>(1'000, cell.running() / 2);
    for (auto _ : state) {
        state.PauseTiming();
        for (size_t i = 0; i < size; ++i)
            cell.endRandomTask();
        state.ResumeTiming();
        for (size_t i = 0; i < size; ++i)
            cell.submit();
        placed += cell.tick();
    }
    state.counters["placements/s"] = benchmark::Counter(static_cast<double>(placed), benchmark::Counter::kIsRate);
}

/// Measures the end of one task and the next tick in a full cell in which 50,000 jobs wait.
void fullCell(benchmark::State& state)
{
    const auto workers = static_cast<uint32_t>(state.range(0));
    Cell cell(workers);
    cell.fill(size_t { workers } * 200);
    for (int i = 0; i < 50'000; ++i)
        cell.submit();
    std::vector<double> times;
    times.reserve(1 << 20);
    uint64_t placed = 0;
    for (auto _ : state) {
        const auto start = std::chrono::steady_clock::now();
        cell.endRandomTask();
        placed += cell.tick();
        const std::chrono::duration<double, std::micro> took = std::chrono::steady_clock::now() - start;
        if (times.size() < times.capacity())
            times.push_back(took.count());
    }
    std::sort(times.begin(), times.end());
    state.counters["p50_us"] = times[times.size() / 2];
    state.counters["p99_us"] = times[times.size() * 99 / 100];
    state.counters["max_us"] = times.back();
    state.counters["placed"] = static_cast<double>(placed) / static_cast<double>(times.size());
}

/// Measures the cancellation of many running or waiting jobs.
void cancelWave(benchmark::State& state)
{
    const auto wave = static_cast<size_t>(state.range(0));
    for (auto _ : state) {
        state.PauseTiming();
        auto cell = std::make_unique<Cell>(1'000);
        for (size_t i = 0; i < wave; ++i)
            cell->submit();
        while (cell->tick() > 0) { }
        state.ResumeTiming();
        for (size_t i = 0; i < wave; ++i)
            benchmark::DoNotOptimize(
                cell->engine().handle(JobCancelled { JobId("job-" + std::to_string(i)) }, cell->now()));
        state.PauseTiming();
        cell.reset();
        state.ResumeTiming();
    }
    state.counters["per_job"] = benchmark::Counter(static_cast<double>(wave) * static_cast<double>(state.iterations()),
        benchmark::Counter::kIsRate | benchmark::Counter::kInvert);
}

} // namespace

BENCHMARK(placement)->Arg(50)->Arg(500)->Arg(8'500)->Iterations(50'000)->Unit(benchmark::kMicrosecond);
BENCHMARK(batch)->Arg(50)->Arg(500)->Arg(8'500)->Iterations(50)->Unit(benchmark::kMillisecond);
BENCHMARK(fullCell)->Arg(50)->Arg(500)->Arg(8'500)->Iterations(5'000)->Unit(benchmark::kMicrosecond);
BENCHMARK(cancelWave)->Arg(5'000)->Arg(20'000)->Arg(80'000)->Iterations(1)->Unit(benchmark::kMillisecond);

BENCHMARK_MAIN();
