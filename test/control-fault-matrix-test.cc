#include "control-fake-world.h"

#include <catch2/catch.hpp>
#include <cstdlib>
#include <fstream>
#include <sstream>

using namespace turmericpier;
using namespace turmericpier::control;
using namespace turmericpier::control::fakes;
using std::chrono::seconds;

namespace {

struct NamedFault {
    std::string name;
    std::function<void(Simulation&)> inject;
};

struct NamedStep {
    std::string name;
    Step step;
};

const std::vector<NamedStep> steps {
    { "announce", Step::Announce },
    { "place", Step::Place },
    { "commit of the placement", Step::Commit },
    { "start", Step::Start },
    { "report", Step::Report },
    { "task end", Step::TaskEnd },
    { "stop", Step::Stop },
    { "grant new", Step::GrantNew },
    { "grow", Step::Grow },
    { "shrink", Step::Shrink },
    { "confirm", Step::Confirm },
    { "release", Step::Release },
    { "fence", Step::Fence },
    { "job end", Step::JobEnd },
};

/// Runs an action after `span` of simulated time.
void schedule(Simulation& simulation, Duration span, std::function<void()> action)
{
    simulation.timers.emplace(simulation.now + span, std::move(action));
}

void pauseEntry(Simulation& simulation, Duration span) { simulation.entries[0].pausedUntil = simulation.now + span; }

void killEntry(Simulation& simulation, Duration span)
{
    auto& entry = simulation.entries[0];
    entry.isAlive = false;
    schedule(simulation, span, [&entry] {
        entry.isAlive = true;
        ++entry.incarnation;
        entry.held.clear();
        entry.reports.clear();
        entry.grantsVersion = entry.stateVersion = entry.term = 0;
    });
}

void cancelAllJobs(Simulation& simulation)
{
    for (const auto* job : { "j0", "j1", "j2", "j3" })
        simulation.cancel(job);
}

void putConflictingConfigs(Simulation& simulation)
{
    for (const auto* content : { "{\"a\":1}", "{\"a\":2}" }) {
        rpc::OperateRequest request;
        request.mutable_put_config()->set_expected_version(simulation.state.configVersion());
        request.mutable_put_config()->set_content(content);
        simulation.operate(request);
    }
}

void drainWorker(Simulation& simulation)
{
    rpc::OperateRequest request;
    request.set_drain_worker("w0");
    simulation.operate(request);
    schedule(simulation, seconds(45), [&simulation] {
        rpc::OperateRequest undo;
        undo.set_undrain_worker("w0");
        simulation.operate(undo);
    });
}

const std::vector<NamedFault> faults {
    { "leader death", [](Simulation& w) { w.killLeader(seconds(2)); } },
    { "leader change", [](Simulation& w) { w.killLeader(milliseconds(0)); } },
    { "partition of the leader", [](Simulation& w) { w.partitionLeader(); } },
    { "lost proposal", [](Simulation& w) { w.loseProposals = 1; } },
    { "proposal of unknown result", [](Simulation& w) { w.commitUnknown = 1; } },
    { "lost command", [](Simulation& w) { w.loseCommands = 2; } },
    { "late command", [](Simulation& w) { w.delayCommands = 2; } },
    { "lost report", [](Simulation& w) { w.loseReports = 3; } },
    { "repeated report", [](Simulation& w) { w.repeatReports = 2; } },
    { "lost heartbeat reply", [](Simulation& w) { w.loseReplies = 2; } },
    { "worker restart", [](Simulation& w) { w.workerWithTask()->restart(); } },
    { "worker death",
        [](Simulation& w) {
            auto* worker = w.workerWithTask();
            worker->isAlive = false;
            schedule(w, seconds(45), [worker] { worker->restart(); });
        } },
    { "worker pause beyond its lease", [](Simulation& w) { w.workerWithTask()->pausedUntil = w.now + seconds(35); } },
    { "short worker pause", [](Simulation& w) { w.workerWithTask()->pausedUntil = w.now + seconds(6); } },
    { "entry death", [](Simulation& w) { killEntry(w, seconds(60)); } },
    { "entry restart", [](Simulation& w) { killEntry(w, milliseconds(100)); } },
    { "entry pause", [](Simulation& w) { pauseEntry(w, seconds(10)); } },
    { "long entry pause", [](Simulation& w) { pauseEntry(w, seconds(40)); } },
    { "operator resend", [](Simulation& w) { w.operate(w.lastRequest); } },
    { "two operators racing", putConflictingConfigs },
    { "cancellation wave", cancelAllJobs },
    { "drain", drainWorker },
    { "worker that fails everything",
        [](Simulation& w) {
            auto* worker = w.workerWithTask();
            worker->failsAllTasks = true;
            schedule(w, seconds(45), [worker] { worker->failsAllTasks = false; });
        } },
    { "wrong sizes", [](Simulation& w) { w.workerWithTask()->memoryFactor = 1.2; } },
};

/// A fault to inject at the given occurrence of a step, counted from 1.
struct PlannedFault {
    Step step;
    int occurrence;
    const NamedFault* fault;
};

struct Result {
    std::vector<std::string> errors; ///< Violated invariants.
    bool allInjected = false; ///< False if the scenario did not reach the step of a planned fault.
};

/// Runs a fixed scenario with the planned faults in ticks of 50 ms.
Result runScenario(uint64_t seed, const std::vector<PlannedFault>& plan)
{
    Simulation simulation(seed);
    std::map<Step, int> stepCounts;
    std::vector<bool> injected(plan.size());
    simulation.onStep = [&](Step step) {
        const auto count = ++stepCounts[step];
        for (size_t i = 0; i < plan.size(); ++i) {
            if (plan[i].step == step && plan[i].occurrence <= count && !injected[i]) {
                injected[i] = true;
                simulation.pendingFaults.emplace_back(
                    [&simulation, fault = plan[i].fault] { fault->inject(simulation); });
            }
        }
    };
    rpc::OperateRequest team;
    team.mutable_put_team()->set_name("t");
    team.mutable_put_team()->mutable_quota()->set_milli_cpu(100'000);
    team.mutable_put_team()->mutable_quota()->set_memory_mib(100'000);
    simulation.operate(team);
    schedule(simulation, milliseconds(500), [&] {
        simulation.submit("j0", 4, 800, seconds(2));
        simulation.submit("j1", 2, 1'500, seconds(3));
        simulation.submit("j2", 3, 300, seconds(60));
    });
    schedule(simulation, seconds(4), [&] {
        simulation.entries[0].demand = 0;
        simulation.entries[1].demand = 30;
    });
    schedule(simulation, seconds(8), [&] { simulation.cancel("j2"); });
    schedule(simulation, seconds(10), [&] { simulation.submit("j3", 5, 600, seconds(4)); });
    schedule(simulation, seconds(12), [&] { simulation.entries[0].demand = 20; });
    schedule(simulation, seconds(16), [&] { killEntry(simulation, seconds(8)); });
    const TimePoint minDuration { seconds(30) }, deadline { seconds(300) };
    while (simulation.now < minDuration
        || (simulation.now < deadline && !(simulation.allEnded() && simulation.timers.empty())))
        simulation.advance();
    if (!simulation.allEnded()) {
        for (const auto& [id, job] : simulation.state.jobs()) {
            if (!job.hasEnded)
                simulation.errors.push_back("job " + id.str() + " does not end");
        }
    }
    return { simulation.errors, std::all_of(injected.begin(), injected.end(), [](bool d) { return d; }) };
}

/// Counts and lists the results of a series of runs.
struct MatrixSummary {
    int cells = 0, notReached = 0;
    std::map<std::string, int> failures;
    std::vector<std::string> rows;

    void add(const std::string& name, const Result& result)
    {
        ++cells;
        notReached += !result.allInjected;
        if (result.errors.empty())
            return;
        ++failures[result.errors.front()];
        rows.push_back(name + ": " + result.errors.front());
    }
};

/// Appends the text to the file named by the environment variable CONTROL_FAULT_MATRIX, if it is set.
void appendReport(const std::string& text)
{
    if (const auto* path = std::getenv("CONTROL_FAULT_MATRIX"))
        std::ofstream(path, std::ios::app) << text;
}

std::string formatSummary(const std::string& title, const MatrixSummary& summary)
{
    std::ostringstream text;
    text << "\n## " << title << "\n\nCells: " << summary.cells << ". Not all faults reached: " << summary.notReached
         << ". Failed: " << summary.rows.size() << ".\n";
    for (const auto& row : summary.rows)
        text << "\n- " << row;
    if (!summary.rows.empty())
        text << "\n";
    return text.str();
}

} // namespace

TEST_CASE("single faults at every step break no invariant")
{
    MatrixSummary summary;
    std::ostringstream table;
    table << "\n| fault | step | once | twice |\n|---|---|---|---|\n";
    for (const auto& fault : faults) {
        for (const auto& step : steps) {
            table << "| " << fault.name << " | " << step.name;
            for (const int times : { 1, 2 }) {
                std::vector<PlannedFault> plan { { step.step, 1, &fault } };
                if (times == 2)
                    plan.push_back({ step.step, 3, &fault });
                const auto result = runScenario(7, plan);
                summary.add(fault.name + " at " + step.name + (times == 2 ? ", twice" : ""), result);
                table << " | " << (!result.errors.empty() ? "FAILED" : result.allInjected ? "held" : "not reached");
            }
            table << " |\n";
        }
    }
    appendReport(formatSummary("Single faults, once and twice (seed 7)", summary) + table.str());
    INFO(formatSummary("failures", summary));
    CHECK(summary.rows.empty());
}

// Guards against a task that moves between workers forever because it needs more memory than any of them has.
TEST_CASE("a job ends even if a task needs more memory than any worker has")
{
    const NamedFault fault { "sizes beyond every worker",
        [](Simulation& w) { w.workerWithTask()->memoryFactor = 1.4; } };
    MatrixSummary summary;
    for (const auto& step : steps)
        summary.add(fault.name + " at " + step.name, runScenario(7, { { step.step, 1, &fault } }));
    appendReport(formatSummary("Sizes beyond every worker (seed 7)", summary));
    INFO(formatSummary("failures", summary));
    CHECK(summary.rows.empty());
}

TEST_CASE("pairs of faults break no invariant")
{
    // All pairs of faults at all pairs of steps would be 112,896 runs, so each pair of faults runs once, at steps drawn
    // from a fixed seed.
    MatrixSummary summary;
    uint64_t seed = 1;
    for (const auto& first : faults) {
        for (const auto& second : faults) {
            std::mt19937_64 random(++seed);
            const auto& a = steps[random() % steps.size()];
            const auto& b = steps[random() % steps.size()];
            const std::vector<PlannedFault> plan { { a.step, 1 + int(random() % 4), &first },
                { b.step, 1 + int(random() % 4), &second } };
            summary.add(
                first.name + " at " + a.name + ", " + second.name + " at " + b.name + ", seed " + std::to_string(seed),
                runScenario(seed, plan));
        }
    }
    appendReport(formatSummary("Pairs of faults (each ordered pair at drawn steps, seeds 2 to 577)", summary));
    INFO(formatSummary("failures", summary));
    CHECK(summary.rows.empty());
}
