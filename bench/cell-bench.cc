// Measures the processor time that the leader of a cell needs for one second of load, at several numbers of workers.
// There is no network: workers, the log and the advisor are simulated on a clock that the benchmark advances.
// docs/CAPACITY.md is derived from the results.
#include "../test/allocation-counter.h"
#include "../test/cell-fixtures.h"
#include "turmericpier/cell/leader.h"
#include "turmericpier/cell/planner.h"

#include <benchmark/benchmark.h>
#include <queue>
#include <random>

using namespace turmericpier;
using namespace turmericpier::cell;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds roundTrip { 16 };
constexpr milliseconds commitTime { 12 };
constexpr int64_t workerCpu = 16'000;
constexpr int64_t workerMemory = 65'536;
constexpr double advisedShare = 0.7; // Of the workers asked about.

/// A leader with simulated workers, on simulated time.
class Simulation {
public:
    explicit Simulation(int workers, bool hasTraffic = true)
    {
        m_clock.advance(std::chrono::seconds(1'000));
        test::configure(m_state, test::config(1, 2, hasTraffic));
        m_leader = std::make_unique<Leader>(LeaderOptions {}, makeHooks(), m_state, m_clock, m_metrics);
        for (int i = 0; i < workers; ++i) {
            auto worker = test::worker(workerName(i), 1, workerCpu);
            worker->memory = workerMemory;
            test::addWorker(m_state, std::move(worker));
        }
        m_leader->activate(1);
        at(milliseconds(0), [this] { tick(); });
        for (int i = 0; i < workers; ++i)
            at(milliseconds(i % 1'500), [this, i] { beat(i); });
        // The load of the large deployment, in proportion to the number of workers.
        m_jobInterval = Duration(static_cast<int64_t>(1e9 / (56.0 * workers / 1'100)));
        if (hasTraffic)
            at(milliseconds(0), [this] { submit(); });
    }

    void submitGang(uint32_t members)
    {
        auto gang = test::step(members, 5);
        gang->memory = 1;
        gang->gang = true;
        submit(test::job(test::jobId(++m_jobs), std::move(gang)));
    }

    void run(Duration time)
    {
        const auto end = m_clock.now() + time;
        while (!m_events.empty() && m_events.top().at <= end) {
            auto event = m_events.top();
            m_events.pop();
            m_clock.advance(std::max(Duration::zero(), event.at - m_clock.now()));
            (*event.run)();
        }
        m_clock.advance(std::max(Duration::zero(), end - m_clock.now()));
    }

    uint64_t starts() { return m_metrics.counter("cell_starts_total").value(); }
    uint64_t polls() { return m_metrics.counter("cell_looks_total").value(); }
    size_t openJobs() const { return m_state.openJobs().size(); }

private:
    struct Event {
        TimePoint at;
        uint64_t number;
        std::shared_ptr<std::function<void()>> run;
        bool operator<(const Event& other) const { return std::tie(other.at, other.number) < std::tie(at, number); }
    };
    struct Worker {
        std::map<TaskKey, uint32_t> running;
        std::vector<EndedRun> ended;
        uint64_t lastEnd = 0;
        std::function<void(PollAnswer)> poll;
    };

    static std::string workerName(int i) { return "i-" + std::to_string(100'000 + i); }
    int64_t clockMs() const { return m_clock.now().sinceStart.count() / 1'000'000; }
    void at(Duration delay, std::function<void()> function)
    {
        m_events.push(
            { m_clock.now() + delay, ++m_nextEvent, std::make_shared<std::function<void()>>(std::move(function)) });
    }

    LeaderHooks makeHooks()
    {
        LeaderHooks hooks;
        hooks.propose = [this](const record::CommandT& command, LeaderHooks::ProposeCallback done) {
            at(commitTime, [this, copy = std::make_shared<record::CommandT>(command), done = std::move(done)] {
                m_state.apply(*copy);
                m_leader->applied(*copy);
                done(absl::OkStatus());
            });
        };
        hooks.holdsLease = [] { return true; };
        hooks.start = [this](const WorkerAddress& to, const StartOrder& order, std::function<void(OrderAnswer)> done) {
            at(roundTrip / 2, [this, id = to.id, task = order.task, run = order.run] { startTask(id, task, run); });
            at(roundTrip, [this, done = std::move(done)] { done({ OrderResult::Accepted, clockMs() }); });
        };
        hooks.stop = [this](const WorkerAddress&, const StopOrder&, std::function<void(OrderAnswer)> done) {
            at(roundTrip, [this, done = std::move(done)] { done({ OrderResult::Accepted, clockMs() }); });
        };
        hooks.poll = [this](const WorkerAddress& to, const PollOrder& order, std::function<void(PollAnswer)> done) {
            at(roundTrip / 2, [this, id = to.id, order, done = std::move(done)] { poll(id, order, done); });
        };
        hooks.advise = [this](const std::string&, const StepKey&, const std::vector<std::string>& workers,
                           std::function<void(AdviceAnswer)> done) {
            AdviceAnswer answer { .ok = true, .tickets = {} };
            for (const auto& worker : workers) {
                if (std::uniform_real_distribution<>()(m_random) < advisedShare)
                    answer.tickets[worker] = "ticket";
            }
            at(milliseconds(28 + workers.size() / 2) + roundTrip,
                [answer = std::move(answer), done = std::move(done)] { done(answer); });
        };
        hooks.wallMs = [this] { return clockMs(); };
        hooks.runAfter = [this](Duration delay, std::function<void()> function) { at(delay, std::move(function)); };
        return hooks;
    }

    void tick()
    {
        for (int i = 0; i < 154; ++i)
            m_leader->recordAdvisorProxy("entry-" + std::to_string(i));
        m_leader->tick();
        at(milliseconds(50), [this] { tick(); });
    }

    void beat(int i)
    {
        auto call = std::make_unique<record::CallT>();
        call->kind = record::CallKind::Beat;
        call->worker = test::worker(workerName(i), 1, workerCpu);
        call->worker->memory = workerMemory;
        m_leader->handle(std::move(call), [](const record::ReplyT&) {});
        at(milliseconds(1'500), [this, i] { beat(i); });
    }

    void submit()
    {
        auto first = test::step(13, 3'500);
        auto second = test::step(13, 3'500);
        second->after.push_back(0);
        submit(test::job(test::jobId(++m_jobs), std::move(first), std::move(second)));
        at(m_jobInterval, [this] { submit(); });
    }

    void submit(std::unique_ptr<record::JobT> job)
    {
        auto call = std::make_unique<record::CallT>();
        call->kind = record::CallKind::Submit;
        call->host = test::host;
        call->path = test::prefix + job->id;
        call->job = std::move(job);
        m_leader->handle(std::move(call), [](const record::ReplyT&) {});
    }

    void startTask(const std::string& id, const TaskKey& task, uint32_t run)
    {
        m_workers[id].running[task] = run;
        at(milliseconds(500 + m_random() % 1'500), [this, id, task, run] {
            auto& worker = m_workers[id];
            worker.running.erase(task);
            worker.ended.push_back({ ++worker.lastEnd, task, run, record::EndKind::Done, {} });
            answerPoll(id);
        });
    }

    void poll(const std::string& id, const PollOrder& order, const std::function<void(PollAnswer)>& done)
    {
        auto& worker = m_workers[id];
        std::erase_if(worker.ended, [&](const EndedRun& end) { return end.number <= order.ackCursor; });
        worker.poll = done;
        const auto number = ++m_polls[id];
        if (!worker.ended.empty() || order.waitMs == 0)
            return answerPoll(id);
        at(milliseconds(order.waitMs), [this, id, number] {
            if (m_polls[id] == number)
                answerPoll(id);
        });
    }

    void answerPoll(const std::string& id)
    {
        auto& worker = m_workers[id];
        if (!worker.poll)
            return;
        PollAnswer answer;
        answer.result = OrderResult::Accepted;
        answer.clockMs = clockMs();
        for (const auto& [task, run] : worker.running)
            answer.running.push_back({ task, run, {}, 50, 0 });
        answer.ended = worker.ended;
        at(roundTrip / 2, [done = std::exchange(worker.poll, nullptr), answer = std::move(answer)] { done(answer); });
    }

    ManualClock m_clock;
    Metrics m_metrics;
    State m_state;
    std::unique_ptr<Leader> m_leader;
    std::priority_queue<Event> m_events;
    uint64_t m_nextEvent = 0;
    std::map<std::string, Worker> m_workers;
    std::map<std::string, uint64_t> m_polls;
    std::mt19937 m_random { 20261204 };
    Duration m_jobInterval { 0 };
    unsigned m_jobs = 0;
};

/// One iteration is one second of simulated load, after three seconds in which it builds up.
void secondOfLoad(benchmark::State& state)
{
    Simulation simulation(static_cast<int>(state.range(0)));
    simulation.run(std::chrono::seconds(3));
    const auto starts = simulation.starts();
    const auto polls = simulation.polls();
    for (auto _ : state)
        simulation.run(std::chrono::seconds(1));
    const auto seconds = static_cast<double>(state.iterations());
    state.counters["starts/s"] = static_cast<double>(simulation.starts() - starts) / seconds;
    state.counters["polls/s"] = static_cast<double>(simulation.polls() - polls) / seconds;
    state.counters["open jobs"] = static_cast<double>(simulation.openJobs());
}

/// One iteration is a planning round that places a gang. `bytes` is what the round allocates, also what it frees.
void gangRound(benchmark::State& state)
{
    State cell;
    test::configure(cell, test::config());
    for (int i = 0; i < 64; ++i)
        test::addWorker(cell, test::worker("i-" + std::to_string(i), 1, workerCpu));
    auto gang = test::step(static_cast<uint32_t>(state.range(0)), 5);
    gang->memory = 1;
    gang->gang = true;
    test::submit(cell, test::job(test::jobId(1), std::move(gang)));
    const TicketCache tickets;
    size_t starts = 0;
    const auto before = test::allocatedBytes.load();
    for (auto _ : state) {
        const auto made = plan({ cell, tickets, [](uint32_t) { return WorkerHealthView { .usable = true }; },
            [](const StepKey&) { return false; }, TimePoint {}, 0 });
        starts = made.starts.size();
    }
    state.counters["bytes"]
        = static_cast<double>(test::allocatedBytes - before) / static_cast<double>(state.iterations());
    state.counters["records"] = static_cast<double>(starts);
}

/// One iteration is the life of a gang, from its submission to the end of its last member.
void gangLife(benchmark::State& state)
{
    Simulation simulation(64, false);
    simulation.run(std::chrono::seconds(3));
    for (auto _ : state) {
        simulation.submitGang(static_cast<uint32_t>(state.range(0)));
        simulation.run(std::chrono::seconds(5));
    }
    if (simulation.openJobs() > 0)
        state.SkipWithError("the gang has not ended");
    state.counters["starts"] = static_cast<double>(simulation.starts()) / static_cast<double>(state.iterations());
}

} // namespace

BENCHMARK(gangRound)->RangeMultiplier(10)->Range(10, 10'000)->Unit(benchmark::kMicrosecond);
BENCHMARK(gangLife)->RangeMultiplier(10)->Range(10, 10'000)->Unit(benchmark::kMillisecond)->Iterations(3);
BENCHMARK(secondOfLoad)->Arg(120)->Arg(350)->Arg(1'100)->Arg(8'500)->Unit(benchmark::kMillisecond)->Iterations(5);

BENCHMARK_MAIN();
