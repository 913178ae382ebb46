#pragma once

#include "turmericpier/decision/engine.h"

#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <random>
#include <set>

/// Simulated cell for tests of the engine: workers that run tasks under leases, messages that are delayed or lost, and
/// the replicated state of a control leader.
namespace turmericpier::decision::test {

inline Worker makeWorker(const std::string& id, int64_t cpu = 4'000, int64_t memory = 8'192,
    const std::string& rack = "r1", const std::string& dataCentre = "vienna", int64_t accelerators = 0)
{
    return { WorkerId(id), DataCentreId(dataCentre), RegionId("east"), RackId(rack),
        { { cpu }, { memory }, { accelerators } } };
}

inline Job makeJob(const std::string& id, int64_t cpu = 1'000, uint32_t tasks = 1, JobKind kind = JobKind::Batch)
{
    Job job;
    job.id = JobId(id);
    job.team = TeamId("team");
    job.policy = PolicyId("policy");
    job.kind = kind;
    job.tasks = tasks;
    job.request = { { cpu }, { 512 }, { 0 } };
    return job;
}

/// Returns the actions of type `T` in their order.
template <typename T> std::vector<T> actionsOf(const Actions& actions)
{
    std::vector<T> out;
    for (const auto& action : actions) {
        if (const auto* found = std::get_if<T>(&action))
            out.push_back(*found);
    }
    return out;
}

/// Returns the time point `milliseconds` after the start.
inline TimePoint atMs(int64_t milliseconds) { return { std::chrono::milliseconds(milliseconds) }; }

inline JobId jobOf(const TaskId& task) { return JobId(task.str().substr(0, task.str().rfind('.'))); }

/// Runs one tick, confirms the start of all placed tasks and returns their placements.
inline std::vector<Placement> tickAndStart(Engine& engine, TimePoint now)
{
    std::vector<Placement> out;
    for (const auto& place : actionsOf<PlaceTask>(engine.tick(now))) {
        engine.handle(TaskStarted { place.placement.task, place.placement.epoch }, now);
        out.push_back(place.placement);
    }
    return out;
}

/// Announces `count` workers, two per rack, that alternate between two data centres.
inline void announce(Engine& engine, uint32_t count, int64_t cpu = 4'000)
{
    for (uint32_t i = 0; i < count; ++i)
        engine.handle(WorkerAnnounced { makeWorker("w" + std::to_string(i), cpu, 8'192, "r" + std::to_string(i / 2),
                                            "dc" + std::to_string(i % 2)),
                          { 1 } },
            atMs(0));
}

/// Passes events to an engine, executes its actions on simulated workers, and checks the invariants of scheduling.
class FakeCell {
public:
    explicit FakeCell(uint32_t seed)
        : m_random(seed)
    {
        newEngine();
    }

    struct Run {
        Epoch epoch;
        Resources limit;
        TimePoint leaseEnd;
    };
    struct FakeWorker {
        Worker worker;
        Incarnation incarnation { 1 };
        bool connected = true;
        bool announced = false; ///< The control group knows the worker.
        bool draining = false;
        std::map<TaskId, Run> runs;
        std::set<Epoch> fenced; ///< Epochs whose start the worker refuses.
        std::map<TaskId, Epoch> unreportedEnds; ///< Ended tasks that are reported after the next announcement.
    };
    /// Command on its way to a worker.
    struct Message {
        TimePoint sent;
        TimePoint due;
        WorkerId worker;
        std::variant<PlaceTask, StopTask, CheckpointTask> command;
    };

    std::map<WorkerId, FakeWorker> workers;
    std::map<JobId, Job> jobs; ///< Jobs that have not ended.
    std::map<TeamId, Team> teams;
    std::set<JobId> ended;
    std::set<JobId> cancelled;
    std::map<TaskId, Placement> placements;
    std::set<TaskId> finishedTasks;
    Epoch nextEpoch { 1 };
    TimePoint now = atMs(0);
    uint32_t lossPercent = 5; ///< Percentage of lost commands, lost answers of workers and refused placements.
    uint64_t placed = 0; ///< Number of placements so far.

    /// Returns a pseudo-random number below `bound`.
    uint32_t random(uint32_t bound) { return m_random() % bound; }

    void announce(const WorkerId& id)
    {
        auto& worker = workers.at(id);
        worker.connected = true;
        worker.announced = true;
        handle(WorkerAnnounced { worker.worker, worker.incarnation });
        for (const auto& [task, epoch] : std::exchange(worker.unreportedEnds, {}))
            reportEnded(task, epoch, TaskEnd::Stopped);
    }
    void restart(const WorkerId& id)
    {
        auto& worker = workers.at(id);
        worker.runs.clear();
        worker.fenced.clear();
        worker.unreportedEnds.clear();
        worker.incarnation = worker.incarnation.next();
        announce(id);
    }
    void disconnect(const WorkerId& id)
    {
        workers.at(id).connected = false;
        handle(WorkerLost { id });
    }
    void remove(const WorkerId& id)
    {
        workers.at(id).runs.clear();
        std::erase_if(m_messages, [&](const Message& message) { return message.worker == id; });
        workers.erase(id);
        handle(WorkerGone { id });
    }
    void drain(const WorkerId& id, bool draining)
    {
        workers.at(id).draining = draining;
        handle(WorkerDraining { id, draining });
    }
    void changeTeam(const Team& team)
    {
        teams[team.id] = team;
        handle(TeamChanged { team });
    }
    void submit(const Job& job)
    {
        jobs[job.id] = job;
        handle(JobSubmitted { job });
    }
    void cancel(const JobId& id)
    {
        cancelled.insert(id);
        handle(JobCancelled { id });
    }
    void report(const WorkerId& id)
    {
        WorkerReport event { id, {} };
        for (const auto& [task, run] : workers.at(id).runs)
            event.usage.push_back({ task, run.epoch, { { run.limit.cpu.value / 2 }, { 100 }, { 0 } } });
        handle(event);
    }
    /// Ends a random running task of the worker if the worker is connected.
    void endTask(const WorkerId& id, TaskEnd end)
    {
        auto& worker = workers.at(id);
        if (worker.runs.empty() || !worker.connected)
            return;
        auto it = std::next(worker.runs.begin(), random(static_cast<uint32_t>(worker.runs.size())));
        const auto [task, run] = *it;
        worker.runs.erase(it);
        reportEnded(task, run.epoch, end);
    }

    /// Replaces the engine by a new one that is restored from the replicated state, as after a leader change.
    void changeLeader()
    {
        newEngine();
        m_stopped.clear();
        for (const auto& [id, team] : teams)
            handle(TeamChanged { team });
        for (const auto& [id, worker] : workers) {
            if (!worker.announced)
                continue;
            handle(WorkerAnnounced { worker.worker, worker.incarnation });
            if (worker.draining)
                handle(WorkerDraining { id, true });
        }
        Restored restored { {}, { finishedTasks.begin(), finishedTasks.end() }, nextEpoch };
        for (const auto& [id, job] : std::map<JobId, Job>(jobs))
            handle(JobSubmitted { job, true });
        for (const auto& [task, placement] : placements)
            restored.placements.push_back(placement);
        handle(restored);
        for (const auto& id : std::set<JobId>(cancelled)) {
            if (jobs.contains(id))
                handle(JobCancelled { id });
        }
        for (const auto& [id, worker] : workers) {
            if (worker.announced && !worker.connected)
                handle(WorkerLost { id });
        }
    }

    /// Advances the time, delivers messages, renews or expires leases, runs a tick and checks the invariants.
    void step(Duration duration)
    {
        now = now + duration;
        deliverMessages();
        for (auto& [id, worker] : workers) {
            for (auto it = worker.runs.begin(); it != worker.runs.end();) {
                if (worker.connected && !m_stopped.contains(it->second.epoch))
                    it->second.leaseEnd = now + m_options.taskLease;
                if (it->second.leaseEnd > now) {
                    ++it;
                    continue;
                }
                worker.unreportedEnds[it->first] = it->second.epoch;
                it = worker.runs.erase(it);
            }
        }
        apply(m_engine->tick(now));
        checkNoTaskRunsTwice();
    }

    void handle(const Event& event) { apply(m_engine->handle(event, now)); }
    const Engine& engine() const { return *m_engine; }
    size_t running(const JobId& job) const
    {
        size_t count = 0;
        for (const auto& [id, worker] : workers) {
            for (const auto& [task, run] : worker.runs)
                count += jobOf(task) == job ? 1 : 0;
        }
        return count;
    }

private:
    void newEngine() { m_engine = std::make_unique<Engine>(m_options); }

    void reportEnded(const TaskId& task, Epoch epoch, TaskEnd end)
    {
        const auto it = placements.find(task);
        if (it != placements.end() && it->second.epoch == epoch) {
            placements.erase(it);
            const auto job = jobs.find(jobOf(task));
            if (end == TaskEnd::Finished && job != jobs.end() && job->second.kind != JobKind::Service)
                finishedTasks.insert(task);
        }
        handle(TaskEnded { task, epoch, end, "test" });
    }

    void deliverMessages()
    {
        std::vector<Message> due;
        for (auto it = m_messages.begin(); it != m_messages.end();) {
            if (it->due <= now) {
                due.push_back(*it);
                it = m_messages.erase(it);
            } else {
                ++it;
            }
        }
        for (const auto& message : due) {
            const auto it = workers.find(message.worker);
            if (it != workers.end() && it->second.connected)
                std::visit([&](const auto& command) { receive(it->second, command, message.sent); }, message.command);
        }
    }

    void receive(FakeWorker& worker, const PlaceTask& command, TimePoint sent)
    {
        const auto& placement = command.placement;
        if (worker.fenced.contains(placement.epoch) || placement.incarnation != worker.incarnation)
            return;
        worker.runs[placement.task] = { placement.epoch, placement.limit, sent + m_options.taskLease };
        if (random(100) >= lossPercent)
            handle(TaskStarted { placement.task, placement.epoch });
    }
    void receive(FakeWorker& worker, const StopTask& command, TimePoint)
    {
        worker.fenced.insert(command.epoch);
        const auto it = worker.runs.find(command.task);
        if (it != worker.runs.end() && it->second.epoch == command.epoch)
            worker.runs.erase(it);
        if (random(100) >= lossPercent)
            reportEnded(command.task, command.epoch, TaskEnd::Stopped);
        else
            worker.unreportedEnds[command.task] = command.epoch;
    }
    void receive(FakeWorker& worker, const CheckpointTask& command, TimePoint sent)
    {
        const auto it = worker.runs.find(command.task);
        if (it != worker.runs.end() && it->second.epoch == command.epoch) {
            handle(TaskCheckpointed { command.task, command.epoch, command.epoch.value });
            receive(worker, StopTask { command.task, command.worker, command.epoch, "" }, sent);
        }
    }

    void apply(const Actions& actions)
    {
        checkGangPlacements(actions);
        for (const auto& action : actions)
            std::visit([&](const auto& a) { execute(a); }, action);
    }
    template <typename Command> void send(const WorkerId& worker, const Command& command)
    {
        if (random(100) >= lossPercent)
            m_messages.push_back({ now, now + std::chrono::milliseconds(random(3'000)), worker, command });
    }
    void execute(const PlaceTask& action)
    {
        const auto& placement = action.placement;
        const auto job = jobOf(placement.task);
        ++placed;
        INFO("task " << placement.task.str() << " on " << placement.worker.str() << " at " << now.sinceStart.count());
        REQUIRE(jobs.contains(job)); // An ended job must not start again.
        REQUIRE_FALSE(cancelled.contains(job));
        REQUIRE_FALSE(finishedTasks.contains(placement.task));
        REQUIRE(placement.epoch >= nextEpoch); // An epoch must not be used twice.
        nextEpoch = placement.epoch.next();
        const auto worker = workers.find(placement.worker);
        REQUIRE(worker != workers.end());
        Resources total = placement.limit;
        for (const auto& [task, run] : worker->second.runs)
            total += run.limit;
        for (const auto& [id, other] : workers)
            REQUIRE_FALSE(other.runs.contains(placement.task));
        for (const auto& message : m_messages) {
            const auto* start = std::get_if<PlaceTask>(&message.command);
            if (!start)
                continue;
            if (start->placement.task == placement.task)
                REQUIRE(isFenced(*start));
            if (start->placement.worker == placement.worker && !isFenced(*start))
                total += start->placement.limit;
        }
        REQUIRE(fits(total, worker->second.worker.capacity));
        if (random(100) < lossPercent) {
            handle(PlacementRefused { placement.task, placement.epoch });
            return;
        }
        placements[placement.task] = placement;
        send(placement.worker, action);
    }
    /// Returns true if the worker is gone or will refuse the start.
    bool isFenced(const PlaceTask& start) const
    {
        const auto it = workers.find(start.placement.worker);
        return it == workers.end() || it->second.fenced.contains(start.placement.epoch)
            || it->second.incarnation != start.placement.incarnation;
    }
    void execute(const StopTask& action)
    {
        const auto it = workers.find(action.worker);
        if (it == workers.end())
            return;
        m_stopped.insert(action.epoch);
        send(action.worker, action);
    }
    void execute(const CheckpointTask& action) { send(action.worker, action); }
    void execute(const ThrottleTask&) { }
    void execute(const RefuseJob& action) { end(action.job); }
    void execute(const JobParked&) { }
    void execute(const JobDone& action) { end(action.job); }
    void execute(const WorkerQuarantined&) { }
    void end(const JobId& job)
    {
        CHECK(jobs.erase(job) == 1);
        ended.insert(job);
    }

    /// Checks that a gang is placed in one step with all of its unfinished tasks, and only while none of them runs.
    void checkGangPlacements(const Actions& actions)
    {
        std::map<JobId, std::set<TaskId>> gangs;
        for (const auto& place : actionsOf<PlaceTask>(actions)) {
            const auto job = jobs.find(jobOf(place.placement.task));
            if (job != jobs.end() && job->second.kind == JobKind::Gang)
                gangs[job->first].insert(place.placement.task);
        }
        for (const auto& [id, tasks] : gangs) {
            INFO("gang " << id.str());
            for (uint32_t i = 0; i < jobs.at(id).tasks; ++i) {
                const auto task = taskIdOf(id, i);
                REQUIRE(tasks.contains(task) != finishedTasks.contains(task));
            }
            REQUIRE(running(id) == 0);
        }
    }

    /// Checks that no task runs on two workers at the same time.
    void checkNoTaskRunsTwice()
    {
        std::set<TaskId> seen;
        for (const auto& [id, worker] : workers) {
            for (const auto& [task, run] : worker.runs) {
                INFO("task " << task.str() << " on " << id.str());
                REQUIRE(seen.insert(task).second);
            }
        }
    }

    EngineOptions m_options;
    std::unique_ptr<Engine> m_engine;
    std::vector<Message> m_messages;
    std::set<Epoch> m_stopped; ///< Epochs whose leases are not renewed any more.
    std::mt19937 m_random;
};

} // namespace turmericpier::decision::test
