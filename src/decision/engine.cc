#include "turmericpier/decision/engine.h"

#include <boost/json.hpp>
#include <charconv>
#include <map>
#include <set>

namespace turmericpier::decision {

namespace {

    enum class State {
        Waiting,
        Placed,
        Running,
        Ended,
    };

    struct TaskRecord {
        State state = State::Waiting;
        WorkerId worker;
        Epoch epoch;
        uint64_t checkpoint = 0;
        uint32_t retries = 0;
        bool stopping = false;
        TimePoint stopDeadline;
    };

    struct JobRecord {
        Job job;
        uint64_t order = 0;
        std::vector<TaskRecord> tasks;
        bool cancelled = false;
        bool everStarted = false;
        bool everPlaced = false;
        std::string reason;
    };

    struct WorkerRecord {
        Worker worker;
        Incarnation incarnation;
        Resources used;
        std::set<std::pair<JobId, uint32_t>> tasks;
        bool draining = false;
        bool lost = false;
        TimePoint lostDeadline;
    };

    using TaskKey = std::pair<JobId, uint32_t>;

    std::optional<TaskKey> parseTaskId(const TaskId& id)
    {
        const auto& text = id.str();
        const auto dot = text.rfind('.');
        uint32_t index = 0;
        if (dot == std::string::npos)
            return std::nullopt;
        const auto [end, error] = std::from_chars(text.data() + dot + 1, text.data() + text.size(), index);
        if (error != std::errc() || end != text.data() + text.size())
            return std::nullopt;
        return TaskKey { JobId(text.substr(0, dot)), index };
    }

    std::string toText(const Resources& r)
    {
        return std::to_string(r.cpu.value) + " mCPU, " + std::to_string(r.memory.value) + " MiB, "
            + std::to_string(r.accelerators.value) + " accelerators";
    }

} // namespace

TaskId taskIdOf(const JobId& job, uint32_t index) { return TaskId(job.str() + "." + std::to_string(index)); }

struct Engine::Impl {
    EngineOptions options;
    std::map<JobId, JobRecord> jobs;
    std::map<WorkerId, WorkerRecord> workers;
    std::map<PolicyId, Policy> policies;
    std::map<TeamId, Team> teams;
    std::set<std::tuple<int64_t, uint64_t, JobId>> queue; ///< Priority (negated), order of submission, job.
    Epoch nextEpoch { 1 };
    uint64_t nextOrder = 0;
    Actions actions;

    Duration holdTime() const { return options.taskLease + options.clockSkewBound; }

    TaskRecord* find(const TaskId& id, Epoch epoch, TaskKey& key)
    {
        const auto parsed = parseTaskId(id);
        if (!parsed)
            return nullptr;
        key = *parsed;
        const auto it = jobs.find(key.first);
        if (it == jobs.end() || key.second >= it->second.tasks.size())
            return nullptr;
        auto& task = it->second.tasks[key.second];
        const bool holds = task.state == State::Placed || task.state == State::Running;
        return holds && task.epoch == epoch ? &task : nullptr;
    }

    void enqueue(const JobRecord& job) { queue.emplace(-int64_t { job.job.priority }, job.order, job.job.id); }

    void release(const TaskKey& key, TaskRecord& task)
    {
        const auto it = workers.find(task.worker);
        if (it != workers.end() && it->second.tasks.erase(key) > 0)
            it->second.used -= jobs.at(key.first).job.request;
        task.worker = {};
        task.stopping = false;
    }

    /// The task does not run any more: queue it again or end it.
    void ended(const TaskKey& key, TaskRecord& task, bool finished)
    {
        auto& job = jobs.at(key.first);
        release(key, task);
        if (finished || job.cancelled) {
            task.state = State::Ended;
        } else {
            task.state = State::Waiting;
            enqueue(job);
        }
        finishIfDone(job);
    }

    void finishIfDone(JobRecord& job)
    {
        for (const auto& task : job.tasks) {
            if (task.state != State::Ended)
                return;
        }
        const auto outcome = job.everStarted ? Outcome::Ran : job.everPlaced ? Outcome::Unknown : Outcome::NotRun;
        actions.push_back(JobDone { job.job.id, outcome, job.reason });
        queue.erase({ -int64_t { job.job.priority }, job.order, job.job.id });
        jobs.erase(JobId(job.job.id));
    }

    void endJob(JobRecord& job, std::string reason, TimePoint now)
    {
        job.cancelled = true;
        job.reason = std::move(reason);
        queue.erase({ -int64_t { job.job.priority }, job.order, job.job.id });
        for (uint32_t i = 0; i < job.tasks.size(); ++i) {
            auto& task = job.tasks[i];
            if (task.state == State::Waiting)
                task.state = State::Ended;
            else if (task.state != State::Ended)
                requestStop(taskIdOf(job.job.id, i), task, job.reason, now);
        }
        finishIfDone(job);
    }

    void requestStop(const TaskId& id, TaskRecord& task, const std::string& reason, TimePoint now)
    {
        if (task.stopping)
            return;
        task.stopping = true;
        task.stopDeadline = now + holdTime();
        actions.push_back(StopTask { id, task.worker, task.epoch, reason });
    }

    void releaseAll(WorkerRecord& worker)
    {
        const auto keys = worker.tasks;
        for (const auto& key : keys)
            ended(key, jobs.at(key.first).tasks[key.second], false);
    }

    void on(const WorkerAnnounced& event, TimePoint)
    {
        const auto it = workers.find(event.worker.id);
        if (it == workers.end()) {
            workers[event.worker.id] = { .worker = event.worker, .incarnation = event.incarnation };
            return;
        }
        if (event.incarnation < it->second.incarnation)
            return;
        it->second.worker = event.worker;
        it->second.lost = false;
        if (event.incarnation > it->second.incarnation) {
            it->second.incarnation = event.incarnation;
            releaseAll(it->second);
        }
    }

    void on(const WorkerReport&, TimePoint) { }

    void on(const WorkerLost& event, TimePoint now)
    {
        const auto it = workers.find(event.worker);
        if (it == workers.end() || it->second.lost)
            return;
        it->second.lost = true;
        it->second.lostDeadline = now + holdTime();
    }

    void on(const WorkerDraining& event, TimePoint)
    {
        if (const auto it = workers.find(event.worker); it != workers.end())
            it->second.draining = event.draining;
    }

    void on(const WorkerGone& event, TimePoint)
    {
        const auto it = workers.find(event.worker);
        if (it == workers.end())
            return;
        releaseAll(it->second);
        workers.erase(it);
    }

    void on(const JobSubmitted& event, TimePoint)
    {
        if (jobs.contains(event.job.id))
            return;
        if (!isValid(event.job.request) || event.job.tasks == 0) {
            actions.push_back(RefuseJob { event.job.id, "the job has no tasks or a negative request" });
            return;
        }
        bool possible = workers.empty();
        Resources largest;
        for (const auto& [id, worker] : workers) {
            possible = possible || fits(event.job.request, worker.worker.capacity);
            if (!fits(worker.worker.capacity, largest))
                largest = worker.worker.capacity;
        }
        if (!possible) {
            actions.push_back(RefuseJob { event.job.id,
                "each task requests " + toText(event.job.request) + "; the largest worker has " + toText(largest) });
            return;
        }
        if (workers.empty())
            actions.push_back(JobParked { event.job.id, "no worker has announced itself yet" });
        auto& job = jobs[event.job.id];
        job.job = event.job;
        job.order = nextOrder++;
        job.tasks.resize(event.job.tasks);
        enqueue(job);
    }

    void on(const JobCancelled& event, TimePoint now)
    {
        if (const auto it = jobs.find(event.job); it != jobs.end() && !it->second.cancelled)
            endJob(it->second, "cancelled", now);
    }

    void on(const PolicyChanged& event, TimePoint) { policies[event.policy.id] = event.policy; }
    void on(const TeamChanged& event, TimePoint) { teams[event.team.id] = event.team; }

    void on(const TaskStarted& event, TimePoint)
    {
        TaskKey key;
        if (auto* task = find(event.task, event.epoch, key)) {
            task->state = State::Running;
            jobs.at(key.first).everStarted = true;
        }
    }

    void on(const TaskEnded& event, TimePoint now)
    {
        TaskKey key;
        auto* task = find(event.task, event.epoch, key);
        if (!task)
            return;
        auto& job = jobs.at(key.first);
        if (event.end != TaskEnd::Stopped)
            job.everStarted = true;
        const auto policy = policies[job.job.policy];
        if (event.end == TaskEnd::Failed && !job.cancelled && ++task->retries > policy.maxRetries) {
            const auto id = job.job.id;
            const auto reason
                = "task " + event.task.str() + " failed " + std::to_string(task->retries) + " times: " + event.reason;
            release(key, *task);
            task->state = State::Ended;
            endJob(job, reason, now);
            return;
        }
        ended(key, *task, event.end == TaskEnd::Finished && job.job.kind != JobKind::Service);
    }

    void on(const TaskCheckpointed& event, TimePoint)
    {
        TaskKey key;
        if (auto* task = find(event.task, event.epoch, key))
            task->checkpoint = event.checkpoint;
    }

    void on(const PlacementRefused& event, TimePoint)
    {
        TaskKey key;
        if (auto* task = find(event.task, event.epoch, key))
            ended(key, *task, false);
    }

    void on(const Restored& event, TimePoint now)
    {
        nextEpoch = std::max(nextEpoch, event.nextEpoch);
        for (const auto& placement : event.placements)
            restorePlacement(placement, now);
        for (const auto& id : event.endedTasks) {
            const auto key = parseTaskId(id);
            const auto it = key ? jobs.find(key->first) : jobs.end();
            if (it == jobs.end() || key->second >= it->second.tasks.size())
                continue;
            release(*key, it->second.tasks[key->second]);
            it->second.tasks[key->second].state = State::Ended;
            it->second.everStarted = true;
            finishIfDone(it->second);
        }
    }

    void restorePlacement(const Placement& placement, TimePoint now)
    {
        const auto key = parseTaskId(placement.task);
        const auto it = key ? jobs.find(key->first) : jobs.end();
        if (it == jobs.end() || key->second >= it->second.tasks.size())
            return;
        auto& task = it->second.tasks[key->second];
        task.state = State::Placed;
        task.worker = placement.worker;
        task.epoch = placement.epoch;
        nextEpoch = std::max(nextEpoch, placement.epoch.next());
        it->second.everPlaced = true;
        auto& worker = workers[placement.worker];
        if (worker.worker.id.empty()) { // not announced to this leader: it may still run the task
            worker.worker.id = placement.worker;
            worker.lost = true;
            worker.lostDeadline = now + holdTime();
        }
        worker.tasks.insert(*key);
        worker.used += it->second.job.request;
    }

    bool placeTask(JobRecord& job, uint32_t index, std::vector<uint32_t>& placed)
    {
        for (auto& [id, worker] : workers) {
            if (worker.lost || worker.draining || !fits(job.job.request, worker.worker.capacity - worker.used))
                continue;
            auto& task = job.tasks[index];
            task.state = State::Placed;
            task.worker = id;
            worker.used += job.job.request;
            worker.tasks.emplace(job.job.id, index);
            placed.push_back(index);
            return true;
        }
        return false;
    }

    /// Places waiting tasks of the job; returns false if some still wait. A gang is placed completely or not at all.
    bool placeJob(JobRecord& job, uint32_t& budget)
    {
        std::vector<uint32_t> placed;
        bool complete = true;
        for (uint32_t i = 0; i < job.tasks.size() && complete; ++i) {
            if (job.tasks[i].state == State::Waiting)
                complete = (job.job.kind == JobKind::Gang || placed.size() < budget) && placeTask(job, i, placed);
        }
        if (!complete && job.job.kind == JobKind::Gang) {
            for (const auto index : placed) {
                release({ job.job.id, index }, job.tasks[index]);
                job.tasks[index].state = State::Waiting;
            }
            return false;
        }
        for (const auto index : placed) {
            auto& task = job.tasks[index];
            task.epoch = nextEpoch;
            nextEpoch = nextEpoch.next();
            job.everPlaced = true;
            actions.push_back(PlaceTask {
                { taskIdOf(job.job.id, index), task.worker, task.epoch, job.job.request }, task.checkpoint });
        }
        budget -= std::min<uint32_t>(budget, placed.size());
        return complete;
    }

    void endLeases(TimePoint now)
    {
        for (auto& [id, worker] : workers) {
            if (worker.lost && worker.lostDeadline <= now)
                releaseAll(worker);
        }
        std::vector<TaskKey> expired;
        for (const auto& [id, job] : jobs) {
            for (uint32_t i = 0; i < job.tasks.size(); ++i) {
                if (job.tasks[i].stopping && job.tasks[i].stopDeadline <= now)
                    expired.emplace_back(id, i);
            }
        }
        for (const auto& key : expired)
            ended(key, jobs.at(key.first).tasks[key.second], false);
    }

    void tick(TimePoint now)
    {
        endLeases(now);
        uint32_t budget = options.placementsPerTick;
        for (auto it = queue.begin(); it != queue.end() && budget > 0;) {
            const auto current = it++;
            if (placeJob(jobs.at(std::get<2>(*current)), budget))
                queue.erase(current);
        }
    }

    Actions takeActions() { return std::exchange(actions, {}); }
};

Engine::Engine(EngineOptions options)
    : m_impl(std::make_unique<Impl>())
{
    m_impl->options = std::move(options);
}

Engine::~Engine() = default;

Actions Engine::handle(const Event& event, TimePoint now)
{
    std::visit([&](const auto& e) { m_impl->on(e, now); }, event);
    return m_impl->takeActions();
}

Actions Engine::tick(TimePoint now)
{
    m_impl->tick(now);
    return m_impl->takeActions();
}

std::string Engine::explain(const JobId& job) const
{
    boost::json::object out { { "job", job.str() } };
    const auto it = m_impl->jobs.find(job);
    out["known"] = it != m_impl->jobs.end();
    if (it == m_impl->jobs.end())
        return boost::json::serialize(out);
    boost::json::array tasks;
    for (const auto& task : it->second.tasks)
        tasks.push_back(boost::json::object { { "waiting", task.state == State::Waiting },
            { "ended", task.state == State::Ended }, { "worker", task.worker.str() }, { "epoch", task.epoch.value } });
    out["request"] = toText(it->second.job.request);
    out["tasks"] = std::move(tasks);
    return boost::json::serialize(out);
}

std::string Engine::dump() const
{
    boost::json::array workers;
    for (const auto& [id, worker] : m_impl->workers)
        workers.push_back(boost::json::object { { "worker", id.str() }, { "lost", worker.lost },
            { "draining", worker.draining }, { "capacity", toText(worker.worker.capacity) },
            { "used", toText(worker.used) }, { "tasks", worker.tasks.size() } });
    return boost::json::serialize(boost::json::object {
        { "workers", std::move(workers) }, { "jobs", m_impl->jobs.size() }, { "waitingJobs", m_impl->queue.size() } });
}

} // namespace turmericpier::decision
