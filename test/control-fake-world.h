#pragma once

#include "control-fakes.h"

namespace turmericpier::control::fakes {

/// For so long a deposed leader may send commands that a newer leader would not send.
constexpr milliseconds deposedBound { 1'500 };

/// All parts together; advance() moves the time by one tick of 50 ms and checks the invariants.
class World {
public:
    explicit World(uint64_t seed, size_t workerCount = 3)
        : random(seed)
    {
        for (size_t i = 0; i < workerCount; ++i) {
            FakeWorker worker;
            worker.facts.set_worker("w" + std::to_string(i));
            worker.facts.set_incarnation(1);
            worker.facts.set_data_centre("d1");
            worker.facts.set_region("r1");
            worker.facts.set_rack("k" + std::to_string(i));
            worker.facts.mutable_capacity()->set_milli_cpu(2'000);
            worker.facts.mutable_capacity()->set_memory_mib(2'000);
            worker.facts.set_slots(4);
            worker.facts.set_connections(8);
            worker.facts.add_services("s");
            worker.entry = i % 2;
            workers.push_back(worker);
        }
        for (const auto* id : { "e0", "e1" }) {
            FakeEntry entry;
            entry.id = InstanceId(id);
            entries.push_back(entry);
        }
        electLeader();
    }

    // Faults.
    void electLeader() { makeLeader(state); }
    /// The former leader goes on without a majority for one election timeout, and entry e0 still talks to it.
    void cutOffLeader()
    {
        if (deposed || !leader)
            return;
        deposedState = std::make_unique<ControlState>();
        const auto status = deposedState->restore(state.snapshot());
        if (!status.ok())
            errors.push_back("snapshot cannot be restored");
        deposed = std::move(leader);
        deposedUntil = now + milliseconds(2'000);
        ++generation;
        entries[0].useOldLeader = true;
        leaderDue = now + milliseconds(1'000);
    }
    /// Without a leader for `span`; proposals on their way are lost. The next leader starts from a snapshot.
    void killLeader(Duration span)
    {
        leader.reset();
        ++generation;
        std::erase_if(proposals, [](const auto& proposal) { return !proposal.command.has_operate(); });
        leaderDue = now + span;
    }
    FakeWorker* workerWithTask()
    {
        for (auto& worker : workers) {
            if (worker.isAlive && !worker.tasks.empty())
                return &worker;
        }
        return &workers[0];
    }

    rpc::OperateRequest operate(rpc::OperateRequest request)
    {
        if (request.request_id().empty())
            request.set_request_id("o" + std::to_string(++operations));
        lastRequest = request;
        log::ControlCommand command;
        *command.mutable_operate() = request;
        proposals.push_back({ command, nullptr, generation });
        return request;
    }
    rpc::OperateRequest submit(const std::string& name, uint32_t tasks, int64_t cpu, Duration runTime)
    {
        rpc::OperateRequest request;
        auto& job = *request.mutable_submit_job();
        job.set_name(name);
        job.set_team("t");
        job.set_partner("p");
        job.set_tasks(tasks);
        job.mutable_request()->set_milli_cpu(cpu);
        job.mutable_request()->set_memory_mib(cpu);
        job.set_max_retries(20);
        runTimes[name] = runTime;
        return operate(request);
    }
    void cancel(const std::string& job)
    {
        rpc::OperateRequest request;
        request.set_cancel_job(job);
        operate(request);
    }

    void advance()
    {
        now = now + milliseconds(50);
        while (!timers.empty() && timers.begin()->first <= now) {
            const auto action = timers.begin()->second;
            timers.erase(timers.begin());
            action();
        }
        if (deposed && now >= deposedUntil) {
            deposed.reset();
            for (auto& entry : entries)
                entry.useOldLeader = false;
        }
        if (!leader && now >= leaderDue)
            electLeader();
        runWorkers();
        runDue();
        for (auto& entry : entries)
            runEntry(entry);
        runDue();
        if (deposed)
            deposed->tick(*deposedState, now);
        commit();
        runDue();
        if (leader && leader->needsRebuild())
            killLeader(milliseconds(50));
        if (leader)
            leader->tick(state, now);
        runDue();
        deliverLate();
        check();
    }
    bool allEnded() const
    {
        return std::all_of(
            state.jobs().begin(), state.jobs().end(), [](const auto& job) { return job.second.hasEnded; });
    }

    TimePoint now;
    std::mt19937_64 random;
    ControlState state;
    std::unique_ptr<Leader> leader, deposed;
    std::unique_ptr<ControlState> deposedState;
    std::vector<FakeWorker> workers;
    std::vector<FakeEntry> entries;
    std::vector<std::string> errors;
    std::map<std::string, Duration> runTimes;
    std::function<void(Step)> onStep = [](Step) {};
    rpc::OperateRequest lastRequest;
    std::multimap<TimePoint, std::function<void()>> timers;
    std::vector<std::function<void()>> due; ///< Faults, run when no part is in the middle of a call.
    int loseCommands = 0, lateCommands = 0, loseReports = 0, repeatReports = 0, loseProposals = 0, loseReplies = 0,
        commitUnknown = 0;
    int starts = 0;

private:
    void runDue()
    {
        for (const auto& fault : std::exchange(due, {}))
            fault();
    }

    struct Proposal {
        log::ControlCommand command;
        std::function<void(absl::Status)> failed;
        uint64_t generation;
    };

    void makeLeader(const ControlState& from)
    {
        ControlState restored;
        if (!restored.restore(from.snapshot()).ok() || restored.snapshot() != from.snapshot())
            errors.push_back("the restored state differs");
        state = restored;
        ++generation;
        LeaderHooks hooks;
        hooks.propose = [this, mine = generation](const log::ControlCommand& command, auto failed) {
            if (mine != generation)
                return; // The deposed leader has no majority.
            if (command.has_placements())
                onStep(Step::Place);
            proposals.push_back({ command, failed, mine });
        };
        hooks.push = [this, mine = generation](const InstanceId& id, const auto& commands) {
            for (auto& entry : entries) {
                if (entry.id != id || !entry.isAlive)
                    continue;
                for (const auto& [worker, list] : commands)
                    send(entry, worker.str(), list, mine == generation ? state : *deposedState);
            }
        };
        hooks.recordJob = [this](const JobRecord& job) { recorded(job); };
        LeaderOptions options;
        options.term = Term { generation };
        leader = std::make_unique<Leader>(options, hooks, state, now);
    }
    void recorded(const JobRecord& job)
    {
        const auto& name = job.job.name();
        const auto [it, isNew] = outcomes.emplace(name, std::pair(job.outcome, job.reason));
        if (it->second != std::pair(job.outcome, job.reason))
            errors.push_back("job " + name + " ended with two outcomes");
        if (isNew)
            onStep(Step::JobEnd);
        if (job.outcome == rpc::NOT_RUN && startedJobs.count(name))
            errors.push_back("job " + name + " ended NOT_RUN but ran");
        if (job.outcome == rpc::RAN && !startedJobs.count(name))
            errors.push_back("job " + name + " ended RAN but did not run");
        if (job.reason.empty() && finished[name].size() < job.job.tasks())
            errors.push_back("job " + name + " ended as done before all its tasks finished");
    }
    void commit()
    {
        auto batch = std::exchange(proposals, {});
        for (auto& proposal : batch) {
            if (!leader) { // An operator resends; the rest is lost with its leader.
                if (proposal.command.has_operate())
                    proposals.push_back(proposal);
                continue;
            }
            const bool own = proposal.failed && proposal.generation == generation;
            if (proposal.failed && !own)
                continue;
            if (own && loseProposals > 0 && loseProposals--) {
                proposal.failed(absl::UnavailableError("lost"));
                continue;
            }
            const auto before = state.configVersion();
            const Index index { ++logIndex };
            const auto result = state.apply(index, proposal.command.SerializeAsString());
            if (state.configVersion() < before)
                errors.push_back("the configuration version went back");
            if (proposal.command.has_grants())
                noteGrants(proposal.command.grants());
            if (proposal.command.has_workers())
                onStep(Step::Announce);
            if (proposal.command.has_task_ends())
                onStep(Step::TaskEnd);
            if (proposal.command.has_placements())
                onStep(Step::Commit);
            runDue();
            if (leader)
                leader->applied(state, index, proposal.command, result, now);
            if (leader && own && commitUnknown > 0 && commitUnknown--)
                proposal.failed(absl::UnavailableError("result unknown"));
        }
    }
    void noteGrants(const log::GrantChanges& changes)
    {
        for (const auto& grant : changes.grants()) {
            const bool isNew = grantsSeen.emplace(grant.worker(), grant.entry()).second;
            const auto slots = std::exchange(grantSlots[{ grant.worker(), grant.entry() }], grant.slots());
            if (isNew)
                onStep(Step::GrantNew);
            else if (grant.held_slots() == 0)
                onStep(Step::Release);
            else if (grant.slots() == slots)
                onStep(Step::Confirm);
            else
                onStep(grant.slots() > slots ? Step::Grow : Step::Shrink);
        }
    }
    void send(FakeEntry& entry, const std::string& worker, const std::vector<rpc::WorkerCommand>& commands,
        const ControlState& known)
    {
        for (const auto& command : commands) {
            if (command.has_start()) {
                onStep(Step::Start);
                const auto job = known.jobs().find(jobOf(TaskId(command.start().task())));
                if (job == known.jobs().end() || job->second.isCancelled)
                    errors.push_back("a start was sent for the cancelled job of " + command.start().task());
                if (known.drained().count(WorkerId(worker)))
                    errors.push_back("a start was sent to the drained worker " + worker);
            }
            if (command.has_stop())
                onStep(Step::Stop);
            else if (command.has_fence())
                onStep(Step::Fence);
        }
        // Streams keep the order, so that a lost command takes those after it along.
        if (loseCommands > 0 && loseCommands--)
            return;
        TimePoint at = std::max(now, entry.pausedUntil);
        if (lateCommands > 0 && lateCommands--)
            at = at + milliseconds(3'000);
        for (const auto& command : commands)
            late.push_back({ at, worker, command, now });
    }
    void deliverLate()
    {
        auto due = std::exchange(late, {});
        for (auto& item : due) {
            if (item.at > now)
                late.push_back(item);
            else
                deliver(item.worker, item.command, item.sent);
        }
    }
    void deliver(const std::string& id, const rpc::WorkerCommand& command, TimePoint sent)
    {
        for (auto& worker : workers) {
            if (worker.facts.worker() != id || !worker.isAlive)
                continue;
            if (worker.isPaused(now)) {
                late.push_back({ worker.pausedUntil, id, command, sent });
                continue;
            }
            worker.advance(now);
            const auto job = command.has_start() ? jobOf(TaskId(command.start().task())).str() : "";
            if (!worker.command(command, now, runTimes[job]))
                continue;
            ++starts;
            startedJobs.insert(job);
            const auto& record = state.jobs().at(JobId(job));
            const auto drained = drainedAt.find(id);
            if (record.hasEnded)
                errors.push_back("a task of the ended job " + job + " was started");
            if (cancelledAt.count(job) && sent - cancelledAt[job] > deposedBound)
                errors.push_back("a task of the cancelled job " + job + " was started later");
            if (drained != drainedAt.end() && sent - drained->second > deposedBound)
                errors.push_back("a task was started on the drained worker " + id);
        }
    }
    void runWorkers();
    void runEntry(FakeEntry& entry);
    void takeReply(FakeEntry& entry, const peer::wire::EntryHeartbeatReplyT& reply, const ControlState& known);
    void check();

    struct Late {
        TimePoint at;
        std::string worker;
        rpc::WorkerCommand command;
        TimePoint sent;
    };
    uint64_t generation = 0, logIndex = 0, operations = 0;
    TimePoint leaderDue, deposedUntil;
    std::vector<Proposal> proposals;
    std::vector<Late> late;
    std::map<std::string, TimePoint> cancelledAt, drainedAt;
    std::set<std::string> startedJobs;
    std::set<std::pair<std::string, std::string>> grantsSeen;
    std::map<std::pair<std::string, std::string>, uint32_t> grantSlots;
    std::map<std::string, std::set<std::string>> finished;
    std::map<std::string, std::pair<rpc::Outcome, std::string>> outcomes;
};

inline void World::runWorkers()
{
    for (auto& worker : workers) {
        if (!worker.isAlive || worker.isPaused(now))
            continue;
        worker.advance(now);
        for (const auto& [id, task] : worker.tasks) {
            if (task.state == rpc::TASK_FINISHED)
                finished[jobOf(TaskId(id)).str()].insert(id);
        }
        if (now < worker.nextReport)
            continue;
        worker.nextReport = now + milliseconds(200);
        const auto usable = [&](size_t i) { return entries[i].isAlive && now >= entries[i].pausedUntil; };
        if (!usable(worker.entry))
            worker.entry = (worker.entry + 1) % entries.size();
        const auto report = worker.report(now);
        onStep(Step::Report);
        if (!usable(worker.entry) || (loseReports > 0 && loseReports--))
            continue;
        entries[worker.entry].reports[worker.facts.worker()] = report;
    }
}

inline void World::runEntry(FakeEntry& entry)
{
    if (!entry.isAlive || now < entry.pausedUntil || now < entry.nextHeartbeat)
        return;
    entry.nextHeartbeat = now + milliseconds(200);
    auto* const to = entry.useOldLeader && deposed ? deposed.get() : leader.get();
    if (!to)
        return;
    const auto& known = to == leader.get() ? state : *deposedState;
    peer::wire::EntryHeartbeatT heartbeat;
    heartbeat.entry = entry.id.str();
    heartbeat.incarnation = entry.incarnation;
    heartbeat.data_centre = "d1";
    heartbeat.region = "r1";
    heartbeat.grants_version = entry.grantsVersion;
    heartbeat.state_version = entry.stateVersion;
    auto demand = std::make_unique<peer::wire::ServiceDemandT>();
    demand->service = "s";
    demand->waiting = entry.demand;
    heartbeat.demand.push_back(std::move(demand));
    for (const auto& [worker, held] : entry.held) {
        auto item = std::make_unique<peer::wire::HeldGrantT>();
        item->worker = worker;
        item->epoch = held.epoch;
        item->in_use = std::min<uint32_t>(held.slots, uint32_t(random() % 3));
        heartbeat.held.push_back(std::move(item));
    }
    for (const auto& [worker, report] : entry.reports) {
        auto blob = std::make_unique<peer::wire::WorkerBlobT>();
        blob->worker = worker;
        const auto bytes = report.SerializeAsString();
        blob->data.assign(bytes.begin(), bytes.end());
        heartbeat.reports.push_back(std::move(blob));
        heartbeat.streams.push_back(worker);
    }
    const bool repeat = repeatReports > 0 && repeatReports--;
    if (!repeat)
        entry.reports.clear();
    peer::wire::EntryHeartbeatReplyT reply;
    to->heartbeat(known, heartbeat, reply, now);
    const bool stillThere = to == leader.get();
    if (loseReplies > 0 && loseReplies--)
        return;
    takeReply(entry, reply, stillThere ? state : *deposedState);
    runDue();
}

inline void World::takeReply(FakeEntry& entry, const peer::wire::EntryHeartbeatReplyT& reply, const ControlState& known)
{
    if (reply.term < entry.term || reply.grants_version < entry.grantsVersion)
        return; // of a deposed leader
    entry.term = reply.term;
    if (reply.grants_version != entry.grantsVersion) {
        log::GrantChanges grants;
        grants.ParseFromArray(reply.grants.data(), static_cast<int>(reply.grants.size()));
        entry.held.clear();
        for (const auto& grant : grants.grants()) {
            const milliseconds lease(grant.lease_ms());
            entry.held[grant.worker()] = { grant.epoch(), grant.slots(), lease, now + lease };
        }
    } else if (reply.renewed) {
        for (auto& [worker, held] : entry.held)
            held.leaseEnd = now + held.lease;
    }
    entry.grantsVersion = reply.grants_version;
    entry.stateVersion = reply.state_version;
    std::map<std::string, std::vector<rpc::WorkerCommand>> commands;
    for (const auto& blob : reply.commands) {
        rpc::WorkerCommand command;
        command.ParseFromArray(blob->data.data(), static_cast<int>(blob->data.size()));
        commands[blob->worker].push_back(command);
    }
    for (const auto& [worker, list] : commands)
        send(entry, worker, list, known);
}

inline void World::check()
{
    std::map<std::string, std::string> runsOn;
    for (const auto& worker : workers) {
        int64_t cpu = 0, memory = 0;
        for (const auto& [id, task] : worker.tasks) {
            if (!worker.isAlive || task.state != rpc::TASK_RUNNING || now >= task.leaseEnd)
                continue;
            cpu += task.start.limit().milli_cpu();
            memory += task.start.limit().memory_mib();
            if (!runsOn.emplace(id, worker.facts.worker()).second)
                errors.push_back("task " + id + " runs on two workers");
        }
        if (cpu > worker.facts.capacity().milli_cpu() || memory > worker.facts.capacity().memory_mib())
            errors.push_back("worker " + worker.facts.worker() + " runs more than its capacity");
        uint32_t slots = 0;
        for (const auto& entry : entries) {
            const auto held = entry.held.find(worker.facts.worker());
            const auto fence = worker.fences.find(entry.id.str());
            if (entry.isAlive && held != entry.held.end() && now < held->second.leaseEnd
                && (fence == worker.fences.end() || held->second.epoch > fence->second))
                slots += held->second.slots;
        }
        if (slots > worker.facts.slots())
            errors.push_back("entries hold more slots than " + worker.facts.worker() + " has");
    }
    for (const auto& [id, job] : state.jobs()) {
        if (job.isCancelled)
            cancelledAt.emplace(id.str(), now);
    }
    std::erase_if(drainedAt, [&](const auto& item) { return !state.drained().count(WorkerId(item.first)); });
    for (const auto& worker : state.drained())
        drainedAt.emplace(worker.str(), now);
}

} // namespace turmericpier::control::fakes
