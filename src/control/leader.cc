#include "control/leader.h"

#include "control/convert.h"
#include "peer/bytes.h"
#include "peer_generated.h"
#include "turmericpier/base/log.h"

#include <absl/strings/str_cat.h>
#include <boost/json.hpp>

namespace turmericpier::control {

namespace {
    using peer::toBytes;

    // The time to plan grants grows with the number of workers and entries, so planning does not run at every tick.
    constexpr Duration grantPlanInterval = std::chrono::milliseconds(50);

    decision::TaskEnd taskEndFromRpc(rpc::TaskState state)
    {
        switch (state) {
        case rpc::TASK_FINISHED:
            return decision::TaskEnd::Finished;
        case rpc::TASK_STOPPED:
            return decision::TaskEnd::Stopped;
        default:
            return decision::TaskEnd::Failed;
        }
    }

} // namespace

Leader::Leader(LeaderOptions options, LeaderHooks hooks, const ControlState& state, TimePoint now)
    : m_options(std::move(options))
    , m_startedAt(now)
    , m_hooks(std::move(hooks))
    , m_engine(m_options.engine)
    , m_grants(m_options.grants, state, now)
    , m_grantsApplied(state.grantsVersion())
{
    rebuildEngine(state, now);
    for (const auto& [id, job] : state.jobs()) {
        if (job.hasEnded && !job.isRecorded)
            m_hooks.recordJob(job);
    }
}

void Leader::rebuildEngine(const ControlState& state, TimePoint now)
{
    for (const auto& [id, team] : state.teams())
        executeActions(m_engine.handle(decision::TeamChanged { teamFromRpc(team) }, now));
    for (const auto& [id, policy] : state.policies())
        executeActions(m_engine.handle(decision::PolicyChanged { policyFromRpc(policy) }, now));
    for (const auto& [id, worker] : state.workers()) {
        m_workers[id] = { .incarnation = worker.incarnation(), .lastReport = now, .isLeaving = worker.leaving() };
        executeActions(m_engine.handle(
            decision::WorkerAnnounced { workerFromRpc(worker), Incarnation { worker.incarnation() } }, now));
        if (worker.leaving() || state.drained().count(id))
            executeActions(m_engine.handle(decision::WorkerDraining { id, true }, now));
    }
    std::map<Index, const JobRecord*> byArrival;
    decision::Restored restored;
    restored.nextEpoch = state.nextEpoch();
    for (const auto& [id, job] : state.jobs()) {
        m_knownJobs.insert(id);
        if (job.hasEnded)
            continue;
        byArrival[job.sequence] = &job;
        for (const auto& [task, end] : job.endedTasks)
            restored.endedTasks.push_back(task);
    }
    for (const auto& [index, job] : byArrival)
        executeActions(m_engine.handle(decision::JobSubmitted { jobFromRpc(job->job), true }, now));
    for (const auto& [task, placement] : state.placements()) {
        const auto job = state.jobs().find(jobIdOf(task));
        if (job != state.jobs().end() && !job->second.hasEnded)
            restored.placements.push_back(placementFromLog(placement));
    }
    executeActions(m_engine.handle(restored, now));
    for (const auto& [index, job] : byArrival) {
        if (job->isCancelled)
            executeActions(m_engine.handle(decision::JobCancelled { JobId(job->job.name()) }, now));
    }
    flush();
}

void Leader::executeActions(const decision::Actions& actions)
{
    for (const auto& action : actions)
        executeAction(action);
}

void Leader::executeAction(const decision::Action& action)
{
    if (const auto* place = std::get_if<decision::PlaceTask>(&action)) {
        auto& placement = *m_newPlacements.add_placements();
        placement.set_task(place->placement.task.str());
        placement.set_worker(place->placement.worker.str());
        placement.set_epoch(place->placement.epoch.value);
        *placement.mutable_limit() = toRpc(place->placement.limit);
        placement.set_checkpoint(place->checkpoint);
        placement.set_worker_incarnation(place->placement.incarnation.value);
    } else if (const auto* stop = std::get_if<decision::StopTask>(&action)) {
        auto& command = m_pendingCommands[{ stop->task, stop->epoch }];
        command.mutable_stop()->set_task(stop->task.str());
        command.mutable_stop()->set_epoch(stop->epoch.value);
    } else if (const auto* checkpoint = std::get_if<decision::CheckpointTask>(&action)) {
        auto& command = m_pendingCommands[{ checkpoint->task, checkpoint->epoch }];
        command.mutable_checkpoint()->set_task(checkpoint->task.str());
        command.mutable_checkpoint()->set_epoch(checkpoint->epoch.value);
    } else if (const auto* throttle = std::get_if<decision::ThrottleTask>(&action)) {
        auto& command = m_pendingCommands[{ throttle->task, throttle->epoch }];
        if (command.command_case() != rpc::WorkerCommand::kStop) {
            command.mutable_throttle()->set_task(throttle->task.str());
            command.mutable_throttle()->set_epoch(throttle->epoch.value);
            *command.mutable_throttle()->mutable_limit() = toRpc(throttle->limit);
        }
    } else if (const auto* refuse = std::get_if<decision::RefuseJob>(&action)) {
        auto& end = *m_newJobEnds.add_ends();
        end.set_job(refuse->job.str());
        end.set_outcome(rpc::NOT_RUN);
        end.set_reason(refuse->reason);
    } else if (const auto* done = std::get_if<decision::JobDone>(&action)) {
        auto& end = *m_newJobEnds.add_ends();
        end.set_job(done->job.str());
        end.set_outcome(toRpc(done->outcome));
        end.set_reason(done->reason);
    } else if (const auto* quarantine = std::get_if<decision::WorkerQuarantined>(&action)) {
        logState("control", quarantine->quarantined ? "worker quarantined" : "worker returned from quarantine",
            { { "worker", quarantine->worker.str() }, { "reason", quarantine->reason } });
    }
}

void Leader::flush()
{
    if (m_newPlacements.placements_size() > 0) {
        log::ControlCommand command;
        command.mutable_placements()->Swap(&m_newPlacements);
        m_newPlacements.Clear();
        for (const auto& placement : command.placements().placements())
            m_placementsProposed.emplace(TaskId(placement.task()), Epoch { placement.epoch() });
        m_hooks.propose(std::move(command), [this](const absl::Status&) { m_needsRebuild = true; });
    }
    if (m_newJobEnds.ends_size() > 0) {
        log::ControlCommand command;
        command.mutable_job_ends()->Swap(&m_newJobEnds);
        m_newJobEnds.Clear();
        m_hooks.propose(std::move(command), [this](const absl::Status&) { m_needsRebuild = true; });
    }
}

void Leader::onApplied(const ControlState& state, Index index, const log::ControlCommand& command,
    const std::string& result, TimePoint now)
{
    switch (command.command_case()) {
    case log::ControlCommand::kOperate:
        onOperateApplied(state, command.operate(), now);
        break;
    case log::ControlCommand::kPlacements:
        onPlacementsApplied(state, command.placements(), result, now);
        break;
    case log::ControlCommand::kTaskEnds:
        onTaskEndsApplied(command.task_ends(), now);
        break;
    case log::ControlCommand::kWorkers:
        onWorkersApplied(state, command.workers(), now);
        break;
    case log::ControlCommand::kGrants:
        m_grantsProposed = false;
        m_grantsApplied = index;
        break;
    case log::ControlCommand::kRecordedJobs:
        break;
    case log::ControlCommand::kJobEnds:
        for (const auto& end : command.job_ends().ends())
            m_hooks.recordJob(state.jobs().at(JobId(end.job())));
        break;
    case log::ControlCommand::COMMAND_NOT_SET:
        break;
    }
    flush();
}

void Leader::onOperateApplied(const ControlState& state, const rpc::OperateRequest& request, TimePoint now)
{
    // Values come from the state, not from the request: a resent command is answered with its stored reply and must not
    // restore old values in the engine.
    if (request.has_put_team()) {
        const auto team = state.teams().find(TeamId(request.put_team().name()));
        if (team != state.teams().end())
            executeActions(m_engine.handle(decision::TeamChanged { teamFromRpc(team->second) }, now));
    } else if (request.has_put_policy()) {
        const auto policy = state.policies().find(PolicyId(request.put_policy().name()));
        if (policy != state.policies().end())
            executeActions(m_engine.handle(decision::PolicyChanged { policyFromRpc(policy->second) }, now));
    } else if (request.has_submit_job()) {
        const auto job = state.jobs().find(JobId(request.submit_job().name()));
        if (job != state.jobs().end() && m_knownJobs.insert(job->first).second)
            executeActions(m_engine.handle(decision::JobSubmitted { jobFromRpc(job->second.job) }, now));
    } else if (request.command_case() == rpc::OperateRequest::kCancelJob) {
        const auto job = state.jobs().find(JobId(request.cancel_job()));
        if (job != state.jobs().end() && job->second.isCancelled && !job->second.hasEnded)
            executeActions(m_engine.handle(decision::JobCancelled { job->first }, now));
    } else if (request.command_case() == rpc::OperateRequest::kDrainWorker
        || request.command_case() == rpc::OperateRequest::kUndrainWorker) {
        const bool isDrain = request.command_case() == rpc::OperateRequest::kDrainWorker;
        const WorkerId worker(isDrain ? request.drain_worker() : request.undrain_worker());
        const auto known = state.workers().find(worker);
        const bool draining
            = state.drained().count(worker) || (known != state.workers().end() && known->second.leaving());
        executeActions(m_engine.handle(decision::WorkerDraining { worker, draining }, now));
    }
}

void Leader::onPlacementsApplied(
    const ControlState& state, const log::Placements& proposed, const std::string& result, TimePoint now)
{
    for (const auto& placement : proposed.placements()) {
        // A placement proposed by a former leader is unknown to the engine, which could place the task a second time.
        if (m_placementsProposed.erase({ TaskId(placement.task()), Epoch { placement.epoch() } }) == 0)
            m_needsRebuild = true;
    }
    if (m_needsRebuild)
        return;
    log::Placements accepted;
    accepted.ParseFromString(result);
    std::set<std::pair<std::string, uint64_t>> acceptedKeys;
    std::map<InstanceId, std::map<WorkerId, std::vector<rpc::WorkerCommand>>> starts;
    for (const auto& placement : accepted.placements()) {
        const TaskId task(placement.task());
        m_pendingCommands.erase(m_pendingCommands.lower_bound({ task, Epoch {} }),
            m_pendingCommands.lower_bound({ task, Epoch { placement.epoch() } }));
        acceptedKeys.emplace(placement.task(), placement.epoch());
        const auto worker = m_workers.find(WorkerId(placement.worker()));
        if (worker == m_workers.end() || worker->second.entry.empty() || !mayStart(state, placement))
            continue;
        starts[worker->second.entry][worker->first].push_back(makeStartCommand(state, placement));
    }
    for (const auto& placement : proposed.placements()) {
        if (!acceptedKeys.count({ placement.task(), placement.epoch() }))
            executeActions(m_engine.handle(
                decision::PlacementRefused { TaskId(placement.task()), Epoch { placement.epoch() } }, now));
    }
    for (auto& [entry, commands] : starts)
        m_hooks.push(entry, std::move(commands));
}

void Leader::onTaskEndsApplied(const log::TaskEnds& ends, TimePoint now)
{
    for (const auto& end : ends.ends()) {
        const std::pair key { TaskId(end.task()), Epoch { end.epoch() } };
        m_endsProposed.erase(key);
        m_pendingCommands.erase(key);
        executeActions(m_engine.handle(
            decision::TaskEnded { key.first, key.second, taskEndFromRpc(end.state()), end.reason() }, now));
    }
}

void Leader::handleHeartbeat(const ControlState& state, const peer::wire::EntryHeartbeatT& heartbeat,
    peer::wire::EntryHeartbeatReplyT& reply, TimePoint now)
{
    const InstanceId id(heartbeat.entry);
    auto& entry = m_entries[id];
    entry.id = id;
    entry.incarnation = heartbeat.incarnation;
    entry.dataCentre = DataCentreId(heartbeat.data_centre);
    entry.region = RegionId(heartbeat.region);
    entry.isDraining = heartbeat.draining;
    entry.configVersion = heartbeat.config_version;
    entry.lastHeartbeat = now;
    entry.demand.clear();
    for (const auto& demand : heartbeat.demand)
        entry.demand.push_back({ ServiceId(demand->service), demand->waiting, demand->running });
    entry.slotsInUse.clear();
    for (const auto& held : heartbeat.held)
        entry.slotsInUse[WorkerId(held->worker)] = held->in_use;
    entry.streams.clear();
    for (const auto& worker : heartbeat.streams)
        entry.streams.insert(WorkerId(worker));

    if (!m_grantsProposed)
        proposeGrants(m_grants.findConfirmedReductions(heartbeat, state, m_grantsApplied));
    for (const auto& blob : heartbeat.reports) {
        rpc::WorkerReport workerReport;
        if (!workerReport.ParseFromArray(blob->data.data(), static_cast<int>(blob->data.size())))
            continue;
        handleReport(state, id, workerReport, now);
        for (const auto& command : buildCommands(state, workerReport)) {
            auto sent = std::make_unique<peer::wire::WorkerBlobT>();
            sent->worker = workerReport.worker();
            sent->data = toBytes(command);
            reply.commands.push_back(std::move(sent));
        }
    }
    reply.term = m_options.term.value;
    reply.renewed = m_grants.renewLeases(id, state, now);
    reply.grants_version = state.grantsVersion().value;
    if (heartbeat.grants_version != reply.grants_version) {
        log::GrantChanges grants;
        for (const auto& [key, grant] : state.grants()) {
            if (key.second == id && grant.slots() > 0 && !m_grants.isExpiring(grant))
                *grants.add_grants() = grant;
        }
        reply.grants = toBytes(grants);
    }
    reply.state_version = state.sharedVersion().value;
    if (heartbeat.state_version != reply.state_version)
        fillSharedState(state, reply);
    flush();
}

void Leader::fillSharedState(const ControlState& state, peer::wire::EntryHeartbeatReplyT& reply) const
{
    log::ControlSnapshot shared;
    for (const auto& [id, service] : state.services())
        *shared.add_services() = service;
    for (const auto& [id, worker] : state.workers()) {
        if (worker.services_size() > 0)
            *shared.add_workers() = worker;
    }
    for (const auto& worker : state.drained())
        shared.add_drained(worker.str());
    shared.set_config_version(state.configVersion());
    shared.set_config(state.config());
    reply.state = toBytes(shared);
}

void Leader::proposeGrants(std::vector<log::Grant> changes)
{
    if (changes.empty() || m_grantsProposed)
        return;
    m_grantsProposed = true;
    log::ControlCommand command;
    for (auto& grant : changes)
        command.mutable_grants()->add_grants()->Swap(&grant);
    m_hooks.propose(std::move(command), [this](const absl::Status&) { m_grantsProposed = false; });
}

void Leader::tick(const ControlState& state, TimePoint now)
{
    for (auto it = m_entries.begin(); it != m_entries.end();) {
        if (now - it->second.lastHeartbeat > m_options.grants.entryTimeout) {
            logState("control", "entry is lost", { { "entry", it->first.str() } });
            it = m_entries.erase(it);
        } else {
            ++it;
        }
    }
    markLostWorkers(state, now);
    executeActions(m_engine.tick(now));
    // A new leader waits for heartbeats of the entries before it plans; otherwise it would treat the grants of all
    // entries as abandoned.
    const bool hasWaitedForEntries = now - m_startedAt > m_options.grants.entryTimeout || state.grants().empty();
    if (!m_grantsProposed && hasWaitedForEntries && now - m_grantsPlanned >= grantPlanInterval) {
        m_grantsPlanned = now;
        proposeGrants(m_grants.plan(state, m_entries, now));
    }
    flush();
}

std::string Leader::dump() const
{
    boost::json::object entries;
    for (const auto& [id, entry] : m_entries) {
        entries[id.str()] = boost::json::object { { "region", entry.region.str() },
            { "data_centre", entry.dataCentre.str() }, { "config_version", entry.configVersion },
            { "streams", entry.streams.size() }, { "draining", entry.isDraining } };
    }
    boost::json::object workers;
    for (const auto& [id, info] : m_workers) {
        workers[id.str()] = boost::json::object { { "lost", info.isLost }, { "leaving", info.isLeaving },
            { "entry", info.entry.str() }, { "running", info.running.size() }, { "sequence", info.sequence } };
    }
    boost::json::object result { { "term", m_options.term.value }, { "entries", std::move(entries) },
        { "workers", std::move(workers) } };
    boost::json::error_code error;
    auto engine = boost::json::parse(m_engine.dump(), error);
    result["engine"] = error ? boost::json::value(nullptr) : engine;
    return boost::json::serialize(result);
}

} // namespace turmericpier::control
