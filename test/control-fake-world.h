#pragma once

#include "control-fakes.h"

namespace turmericpier::control::fakes {

/// How long a deposed leader may still send commands that its successor would not send.
constexpr milliseconds deposedLeaderBound { 1'500 };

/// Simulates the control leader with its log, workers and entries. advance() moves the time forward by one tick of 50
/// ms and checks the invariants.
class Simulation {
public:
    explicit Simulation(uint64_t seed, size_t workerCount = 3)
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

    // Fault injection.
    void electLeader() { createLeader(state); }
    /// Separates the leader from its majority. It goes on for 2 s, during which entry e0 still talks to it; a new
    /// leader is elected after 1 s.
    void partitionLeader()
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
        entries[0].usesDeposedLeader = true;
        nextElection = now + milliseconds(1'000);
    }
    /// Stops the leader and loses its proposals in flight. A new leader starts from a snapshot after `span`.
    void killLeader(Duration span)
    {
        leader.reset();
        ++generation;
        std::erase_if(proposals, [](const auto& proposal) { return !proposal.command.has_operate(); });
        nextElection = now + span;
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
                entry.usesDeposedLeader = false;
        }
        if (!leader && now >= nextElection)
            electLeader();
        runWorkers();
        injectPendingFaults();
        for (auto& entry : entries)
            runEntry(entry);
        injectPendingFaults();
        if (deposed)
            deposed->tick(*deposedState, now);
        commit();
        injectPendingFaults();
        if (leader && leader->needsRebuild())
            killLeader(milliseconds(50));
        if (leader)
            leader->tick(state, now);
        injectPendingFaults();
        deliverCommands();
        checkInvariants();
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
    std::vector<std::function<void()>> pendingFaults; ///< Injected once no component is in the middle of a call.
    int loseCommands = 0, delayCommands = 0, loseReports = 0, repeatReports = 0, loseProposals = 0, loseReplies = 0,
        commitUnknown = 0;
    int starts = 0;

private:
    void injectPendingFaults()
    {
        for (const auto& fault : std::exchange(pendingFaults, {}))
            fault();
    }

    struct Proposal {
        log::ControlCommand command;
        std::function<void(absl::Status)> failed;
        uint64_t generation;
    };

    void createLeader(const ControlState& from)
    {
        ControlState restored;
        if (!restored.restore(from.snapshot()).ok() || restored.snapshot() != from.snapshot())
            errors.push_back("the restored state differs");
        state = restored;
        ++generation;
        LeaderHooks hooks;
        hooks.propose = [this, ownGeneration = generation](const log::ControlCommand& command, auto failed) {
            if (ownGeneration != generation)
                return; // The deposed leader has no majority.
            if (command.has_placements())
                onStep(Step::Place);
            proposals.push_back({ command, failed, ownGeneration });
        };
        hooks.push = [this, ownGeneration = generation](const InstanceId& id, const auto& commands) {
            for (auto& entry : entries) {
                if (entry.id != id || !entry.isAlive)
                    continue;
                for (const auto& [worker, list] : commands)
                    send(entry, worker.str(), list, ownGeneration == generation ? state : *deposedState);
            }
        };
        hooks.recordJob = [this](const JobRecord& job) { checkRecordedJob(job); };
        LeaderOptions options;
        options.term = Term { generation };
        leader = std::make_unique<Leader>(options, hooks, state, now);
    }
    void checkRecordedJob(const JobRecord& job)
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
            if (!leader) { // Operators resend their commands; other proposals are lost with their leader.
                if (proposal.command.has_operate())
                    proposals.push_back(proposal);
                continue;
            }
            const bool isOwn = proposal.failed && proposal.generation == generation;
            if (proposal.failed && !isOwn)
                continue;
            if (isOwn && loseProposals > 0 && loseProposals--) {
                proposal.failed(absl::UnavailableError("lost"));
                continue;
            }
            const auto before = state.configVersion();
            const Index index { ++logIndex };
            const auto result = state.apply(index, proposal.command.SerializeAsString());
            if (state.configVersion() < before)
                errors.push_back("the configuration version decreased");
            if (proposal.command.has_grants())
                trackGrants(proposal.command.grants());
            if (proposal.command.has_workers())
                onStep(Step::Announce);
            if (proposal.command.has_task_ends())
                onStep(Step::TaskEnd);
            if (proposal.command.has_placements())
                onStep(Step::Commit);
            injectPendingFaults();
            if (leader)
                leader->onApplied(state, index, proposal.command, result, now);
            if (leader && isOwn && commitUnknown > 0 && commitUnknown--)
                proposal.failed(absl::UnavailableError("result unknown"));
        }
    }
    void trackGrants(const log::GrantChanges& changes)
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
        const ControlState& view)
    {
        for (const auto& command : commands) {
            if (command.has_start()) {
                onStep(Step::Start);
                const auto job = view.jobs().find(jobIdOf(TaskId(command.start().task())));
                if (job == view.jobs().end() || job->second.isCancelled)
                    errors.push_back("a start was sent for the cancelled job of " + command.start().task());
                if (view.drained().count(WorkerId(worker)))
                    errors.push_back("a start was sent to the drained worker " + worker);
            }
            if (command.has_stop())
                onStep(Step::Stop);
            else if (command.has_fence())
                onStep(Step::Fence);
        }
        // A stream delivers commands in order, so the commands after a lost one are lost too.
        if (loseCommands > 0 && loseCommands--)
            return;
        TimePoint at = std::max(now, entry.pausedUntil);
        if (delayCommands > 0 && delayCommands--)
            at = at + milliseconds(3'000);
        for (const auto& command : commands)
            inFlightCommands.push_back({ at, worker, command, now });
    }
    void deliverCommands()
    {
        auto commands = std::exchange(inFlightCommands, {});
        for (auto& item : commands) {
            if (item.at > now)
                inFlightCommands.push_back(item);
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
                inFlightCommands.push_back({ worker.pausedUntil, id, command, sent });
                continue;
            }
            worker.advance(now);
            const auto job = command.has_start() ? jobIdOf(TaskId(command.start().task())).str() : "";
            if (!worker.handleCommand(command, now, runTimes[job]))
                continue;
            ++starts;
            startedJobs.insert(job);
            const auto& record = state.jobs().at(JobId(job));
            const auto drained = drainedAt.find(id);
            if (record.hasEnded)
                errors.push_back("a task of the ended job " + job + " was started");
            if (cancelledAt.count(job) && sent - cancelledAt[job] > deposedLeaderBound)
                errors.push_back("a task of the cancelled job " + job + " was started after the cancellation");
            if (drained != drainedAt.end() && sent - drained->second > deposedLeaderBound)
                errors.push_back("a task was started on the drained worker " + id);
        }
    }
    void runWorkers();
    void runEntry(FakeEntry& entry);
    void handleReply(FakeEntry& entry, const peer::wire::EntryHeartbeatReplyT& reply, const ControlState& view);
    void checkInvariants();

    struct InFlightCommand {
        TimePoint at;
        std::string worker;
        rpc::WorkerCommand command;
        TimePoint sent;
    };
    uint64_t generation = 0, logIndex = 0, operations = 0;
    TimePoint nextElection, deposedUntil;
    std::vector<Proposal> proposals;
    std::vector<InFlightCommand> inFlightCommands;
    std::map<std::string, TimePoint> cancelledAt, drainedAt;
    std::set<std::string> startedJobs;
    std::set<std::pair<std::string, std::string>> grantsSeen;
    std::map<std::pair<std::string, std::string>, uint32_t> grantSlots;
    std::map<std::string, std::set<std::string>> finished;
    std::map<std::string, std::pair<rpc::Outcome, std::string>> outcomes;
};

inline void Simulation::runWorkers()
{
    for (auto& worker : workers) {
        if (!worker.isAlive || worker.isPaused(now))
            continue;
        worker.advance(now);
        for (const auto& [id, task] : worker.tasks) {
            if (task.state == rpc::TASK_FINISHED)
                finished[jobIdOf(TaskId(id)).str()].insert(id);
        }
        if (now < worker.nextReport)
            continue;
        worker.nextReport = now + milliseconds(200);
        const auto isReachable = [&](size_t i) { return entries[i].isAlive && now >= entries[i].pausedUntil; };
        if (!isReachable(worker.entry))
            worker.entry = (worker.entry + 1) % entries.size();
        const auto report = worker.report(now);
        onStep(Step::Report);
        if (!isReachable(worker.entry) || (loseReports > 0 && loseReports--))
            continue;
        entries[worker.entry].reports[worker.facts.worker()] = report;
    }
}

inline void Simulation::runEntry(FakeEntry& entry)
{
    if (!entry.isAlive || now < entry.pausedUntil || now < entry.nextHeartbeat)
        return;
    entry.nextHeartbeat = now + milliseconds(200);
    auto* const to = entry.usesDeposedLeader && deposed ? deposed.get() : leader.get();
    if (!to)
        return;
    const auto& view = to == leader.get() ? state : *deposedState;
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
    const bool isRepeated = repeatReports > 0 && repeatReports--;
    if (!isRepeated)
        entry.reports.clear();
    peer::wire::EntryHeartbeatReplyT reply;
    to->handleHeartbeat(view, heartbeat, reply, now);
    const bool isStillLeader = to == leader.get();
    if (loseReplies > 0 && loseReplies--)
        return;
    handleReply(entry, reply, isStillLeader ? state : *deposedState);
    injectPendingFaults();
}

inline void Simulation::handleReply(
    FakeEntry& entry, const peer::wire::EntryHeartbeatReplyT& reply, const ControlState& view)
{
    if (reply.term < entry.term || reply.grants_version < entry.grantsVersion)
        return; // The reply is of a deposed leader.
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
        send(entry, worker, list, view);
}

inline void Simulation::checkInvariants()
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
