// Measures the quality of scheduling decisions. The engine and three baselines place the same fixed arrival lists on 50
// simulated workers in simulated time. Every run of one version prints the same figures.

#include "decision-arrivals.h"
#include "turmericpier/decision/engine.h"

#include <algorithm>
#include <cstdio>
#include <map>
#include <random>
#include <string_view>

using namespace turmericpier;
using namespace turmericpier::decision;
using namespace std::chrono_literals;

namespace {

constexpr uint32_t workerCount = 50;
constexpr Duration step = 200ms;
constexpr Duration commandDelay = 200ms; // Commands are sent with heartbeats.
constexpr Duration checkpointDelay = 1s;
constexpr double checkpointSeconds = 60; // Run time between two checkpoints.
constexpr Duration reportInterval = 10s; // Usage reports lag by up to this time.
constexpr Duration failTime = 1s; // Run time of a task on a failing worker.

double seconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

enum class PlacementRule { FirstFit, BestFit, RandomOfTwo };

/// Baseline scheduler that places jobs by their declared sizes in order of arrival, without priorities. Jobs that do
/// not fit are skipped and stay queued.
struct Baseline {
    struct Item {
        Job job;
        uint32_t first = 0, count = 1;
    };

    Actions handle(const Event& event, TimePoint)
    {
        if (const auto* announced = std::get_if<WorkerAnnounced>(&event))
            free[announced->worker.id] = announced->worker.capacity;
        if (const auto* submitted = std::get_if<JobSubmitted>(&event))
            queue.push_back({ submitted->job, 0, submitted->job.tasks });
        if (const auto* ended = std::get_if<TaskEnded>(&event)) {
            const auto& [item, worker] = placed.at(ended->epoch);
            free[worker] += item.job.request;
            if (ended->end != TaskEnd::Finished)
                queue.push_back(item);
            placed.erase(ended->epoch);
        }
        return {};
    }

    Actions tick(TimePoint)
    {
        Actions actions;
        std::vector<Resources> unplaceable; // Requests that fit on no worker in this tick.
        std::erase_if(queue, [&](const Item& item) {
            const Resources& request = item.job.request;
            if (std::any_of(unplaceable.begin(), unplaceable.end(),
                    [&](const Resources& known) { return fits(known, request); }))
                return false;
            std::vector<WorkerId> chosen;
            for (WorkerId worker = choose(request); !worker.empty(); worker = choose(request)) {
                free[worker] -= request;
                chosen.push_back(worker);
                if (chosen.size() < item.count)
                    continue;
                for (uint32_t i = 0; i < item.count; ++i) {
                    const TaskId task = taskIdOf(item.job.id, item.first + i);
                    actions.push_back(PlaceTask { { task, chosen[i], { ++epoch }, request }, 0 });
                    placed[{ epoch }] = { { item.job, item.first + i, 1 }, chosen[i] };
                }
                return true;
            }
            for (const WorkerId& taken : chosen)
                free[taken] += request;
            if (chosen.empty())
                unplaceable.push_back(request);
            return false;
        });
        return actions;
    }

    WorkerId choose(const Resources& request)
    {
        std::vector<std::pair<int64_t, WorkerId>>
            fitting; // Free resources, with 4 GiB counted as one core, and the worker.
        for (const auto& [worker, left] : free) {
            if (fits(request, left))
                fitting.emplace_back(left.cpu.value + left.memory.value / 4, worker);
        }
        if (fitting.empty())
            return {};
        if (rule != PlacementRule::RandomOfTwo)
            return (rule == PlacementRule::FirstFit ? fitting[0] : *std::min_element(fitting.begin(), fitting.end()))
                .second;
        return std::max(fitting[random() % fitting.size()], fitting[random() % fitting.size()]).second;
    }

    PlacementRule rule;
    std::mt19937_64 random { 5 };
    std::map<WorkerId, Resources> free {};
    std::vector<Item> queue {};
    std::map<Epoch, std::pair<Item, WorkerId>> placed {};
    uint64_t epoch = 0;
};

struct Running {
    const Arrival* arrival = nullptr;
    Placement placement;
    TimePoint startAt;
    double progress = 0, saved = 0; ///< Completed seconds of the run time, and those saved in the last checkpoint.
    TimePoint stopAt { Duration::max() };
    bool checkpointing = false;
};

/// Simulated workers under the control of a scheduler. If a worker runs out of memory, its last started task fails.
template <typename Scheduler> struct Cell {
    void run(const char* schedulerName)
    {
        Resources total;
        for (uint32_t i = 0; i < workerCount; ++i, total += scenario.capacity) {
            const auto name = [](char kind, uint32_t number) { return kind + std::to_string(number); };
            const WorkerId id(name('w', i));
            used[id] = {};
            send(WorkerAnnounced { { id, DataCentreId(name('d', i % 3)), RegionId(name('r', i % 3 / 2)),
                                       RackId(name('k', i / 8)), scenario.capacity },
                { 1 } });
        }
        send(PolicyChanged { { PolicyId("p"), scenario.score, 3, 20 } });
        send(TeamChanged { { TeamId("team"), total } });
        const std::vector<Arrival> list = arrivalsOf(scenario);
        for (size_t next = 0; (next < list.size() || !open.empty()) && now.sinceStart < 4h; now = now + step) {
            for (; next < list.size() && list[next].atSeconds <= seconds(now.sinceStart); ++next) {
                open[list[next].job.id] = { &list[next], list[next].job.tasks };
                send(JobSubmitted { list[next].job });
            }
            advance();
            if (now.sinceStart % 1s == 0s && now.sinceStart < scenario.packingPeriod)
                measure(total);
            executeActions(scheduler.tick(now));
        }
        const double samples = seconds(std::min(scenario.packingPeriod, now.sinceStart));
        std::printf(
            "%-13s %-13s packing %4.1f%%, free gang slots %5.1f, %5d stops, %6d failures, %4zu jobs lost, %zu open "
            "after %5.0f s\n",
            scenario.name, schedulerName, 100 * packing / samples, freeGangTaskSlots / samples, stops, failures,
            lostJobs, open.size(), seconds(now.sinceStart));
        for (auto& [label, times] : waits) {
            std::sort(times.begin(), times.end());
            std::printf("    %-15s %6zu tasks, wait p50 %7.1f s, p99 %7.1f s\n", label.c_str(), times.size(),
                times[times.size() / 2], times[times.size() * 99 / 100]);
        }
    }

    void send(const Event& event) { executeActions(scheduler.handle(event, now)); }

    void executeActions(const Actions& actions)
    {
        for (const Action& action : actions) {
            if (const auto* place = std::get_if<PlaceTask>(&action)) {
                const auto& id = place->placement.task.str();
                const auto saved = static_cast<double>(place->checkpoint);
                running[place->placement.epoch] = { open.at(JobId(id.substr(0, id.rfind('.')))).first, place->placement,
                    now + commandDelay, saved, saved };
            } else if (const auto* stop = std::get_if<StopTask>(&action))
                stopTask(stop->epoch, commandDelay, false);
            else if (const auto* checkpoint = std::get_if<CheckpointTask>(&action))
                stopTask(checkpoint->epoch, checkpointDelay, true);
            else if (const auto* refused = std::get_if<RefuseJob>(&action))
                lostJobs += open.erase(refused->job);
            else if (const auto* done = std::get_if<JobDone>(&action))
                lostJobs += open.erase(done->job); // Already erased if all tasks finished.
        }
    }

    void stopTask(Epoch epoch, Duration delay, bool checkpointing)
    {
        if (auto it = running.find(epoch); it != running.end()) {
            stops += it->second.stopAt.sinceStart == Duration::max();
            it->second.stopAt = std::min(it->second.stopAt, now + delay);
            it->second.checkpointing = checkpointing;
        }
    }

    void advance()
    {
        std::map<Epoch, TaskEnd> ends;
        std::map<WorkerId, Epoch> lastStarted; // Task with the highest epoch on each worker that is out of memory.
        std::map<WorkerId, std::vector<TaskUsage>> usage;
        for (auto& [epoch, task] : running) {
            const TaskId& id = task.placement.task;
            const WorkerId& worker = task.placement.worker;
            if (now == task.startAt) {
                used[worker] += task.arrival->actual;
                send(TaskStarted { id, epoch });
            }
            task.progress += now > task.startAt ? seconds(step) : 0;
            const bool stop = now >= task.stopAt;
            if (task.progress - task.saved > (stop && task.checkpointing ? 0 : checkpointSeconds)) {
                task.saved = task.progress;
                send(TaskCheckpointed { id, epoch, static_cast<uint64_t>(task.saved) });
            }
            if (stop)
                ends[epoch] = TaskEnd::Stopped;
            else if (std::stoul(worker.str().substr(1)) < scenario.failingWorkers && now >= task.startAt + failTime)
                ends[epoch] = TaskEnd::Failed;
            else if (task.progress >= task.arrival->runSeconds)
                ends[epoch] = TaskEnd::Finished;
            else if (now >= task.startAt) {
                usage[worker].push_back({ id, epoch, task.arrival->actual });
                if (used[worker].memory > scenario.capacity.memory)
                    lastStarted[worker] = epoch;
            }
        }
        for (const auto& [worker, epoch] : lastStarted)
            ends[epoch] = TaskEnd::Failed;
        for (const auto& [epoch, how] : ends)
            end(epoch, how);
        for (const auto& [worker, tasks] : usage) {
            if (now.sinceStart % reportInterval == 0s)
                send(WorkerReport { worker, tasks });
        }
    }

    void end(Epoch epoch, TaskEnd how)
    {
        const Running task = running.at(epoch);
        running.erase(epoch);
        if (now >= task.startAt)
            used[task.placement.worker] -= task.arrival->actual;
        failures += how == TaskEnd::Failed;
        if (auto it = open.find(task.arrival->job.id); how == TaskEnd::Finished && it != open.end()) {
            // Time from submission to completion minus the run time, so that repeated work counts as waiting.
            waits[task.arrival->stream->label].push_back(
                seconds(now.sinceStart) - task.arrival->atSeconds - task.arrival->runSeconds);
            if (--it->second.second == 0)
                open.erase(it);
        }
        send(TaskEnded { task.placement.task, epoch, how, "" });
    }

    void measure(const Resources& total)
    {
        Resources sum;
        for (const auto& [worker, actual] : used) {
            sum += { std::min(actual.cpu, scenario.capacity.cpu), std::min(actual.memory, scenario.capacity.memory),
                {} };
            for (Resources left = scenario.capacity - actual; fits(scenario.gangTaskSize, left);
                 left -= scenario.gangTaskSize)
                ++freeGangTaskSlots;
        }
        packing += std::max(
            double(sum.cpu.value) / double(total.cpu.value), double(sum.memory.value) / double(total.memory.value));
    }

    const Scenario& scenario;
    Scheduler& scheduler;
    TimePoint now {};
    std::map<Epoch, Running> running {};
    std::map<JobId, std::pair<const Arrival*, uint32_t>> open {}; ///< Unfinished jobs with their remaining tasks.
    std::map<WorkerId, Resources> used {};
    std::map<std::string, std::vector<double>> waits {};
    int stops = 0, failures = 0;
    size_t lostJobs = 0;
    double packing = 0, freeGangTaskSlots = 0;
};

} // namespace

// Runs all scenarios, or the one named by the first argument.
int main(int argc, char** argv)
{
    for (const Scenario& scenario : scenarios()) {
        if (argc > 1 && scenario.name != std::string_view(argv[1]))
            continue;
        Engine engine({});
        Cell<Engine> { scenario, engine }.run("engine");
        for (const auto& [rule, name] :
            { std::pair(PlacementRule::FirstFit, "first-fit"), std::pair(PlacementRule::BestFit, "best-fit"),
                std::pair(PlacementRule::RandomOfTwo, "random-of-two") }) {
            Baseline baseline { rule };
            Cell<Baseline> { scenario, baseline }.run(name);
        }
    }
    return 0;
}
