#include "control/convert.h"
#include "control/leader.h"
#include "turmericpier/base/log.h"

#include <algorithm>

/// The part of the leader that processes worker reports and builds worker commands.
namespace turmericpier::control {

namespace {
    bool factsDiffer(const rpc::WorkerReport& a, const rpc::WorkerReport& b)
    {
        return a.incarnation() != b.incarnation() || a.address() != b.address() || a.leaving() != b.leaving()
            || a.slots() != b.slots() || a.connections() != b.connections() || a.data_centre() != b.data_centre()
            || a.region() != b.region() || a.rack() != b.rack()
            || a.capacity().SerializeAsString() != b.capacity().SerializeAsString()
            || !std::equal(a.services().begin(), a.services().end(), b.services().begin(), b.services().end());
    }

    /// Returns the report without the fields that change from one report to the next.
    rpc::WorkerReport extractFacts(const rpc::WorkerReport& report)
    {
        auto facts = report;
        facts.clear_tasks();
        facts.clear_fenced();
        facts.clear_sequence();
        return facts;
    }

    bool hasEnded(rpc::TaskState state)
    {
        return state == rpc::TASK_FINISHED || state == rpc::TASK_FAILED || state == rpc::TASK_STOPPED;
    }
} // namespace

void Leader::handleReport(
    const ControlState& state, const InstanceId& entry, const rpc::WorkerReport& report, TimePoint now)
{
    const WorkerId id(report.worker());
    const auto facts = state.workers().find(id);
    if (facts == state.workers().end() || factsDiffer(facts->second, report)) {
        proposeFacts(state, report);
        return;
    }
    auto& info = m_workers[id];
    if (report.sequence() < info.sequence && report.incarnation() == info.incarnation)
        return;
    info.sequence = report.sequence();
    info.incarnation = report.incarnation();
    info.lastReport = now;
    info.entry = entry;
    if (info.isLost) {
        info.isLost = false;
        logState("control", "worker reports again", { { "worker", id.str() } });
        executeActions(m_engine.handle(
            decision::WorkerAnnounced { workerFromRpc(facts->second), Incarnation { report.incarnation() } }, now));
        if (facts->second.leaving() || state.drained().count(id))
            executeActions(m_engine.handle(decision::WorkerDraining { id, true }, now));
    }
    confirmFences(state, report);
    handleTaskReports(state, report, now);
}

void Leader::proposeFacts(const ControlState& state, const rpc::WorkerReport& report)
{
    const auto existing = state.workers().find(WorkerId(report.worker()));
    const WorkerId id(report.worker());
    if (id.empty() || m_factsProposed.count(id)
        || (existing != state.workers().end() && existing->second.incarnation() > report.incarnation()))
        return;
    m_factsProposed.insert(id);
    log::ControlCommand command;
    *command.mutable_workers()->add_workers() = extractFacts(report);
    m_hooks.propose(std::move(command), [this, id](const absl::Status&) { m_factsProposed.erase(id); });
}

void Leader::handleTaskReports(const ControlState& state, const rpc::WorkerReport& report, TimePoint now)
{
    auto& info = m_workers[WorkerId(report.worker())];
    info.running.clear();
    decision::WorkerReport usage { WorkerId(report.worker()), {} };
    log::ControlCommand command;
    for (const auto& task : report.tasks()) {
        const std::pair key { TaskId(task.task()), Epoch { task.epoch() } };
        const auto placement = state.placements().find(key.first);
        const bool isCurrent = placement != state.placements().end() && placement->second.epoch() == task.epoch();
        if (!hasEnded(task.state())) {
            info.running.insert(key);
            if (!isCurrent)
                continue;
            usage.usage.push_back({ key.first, key.second, fromRpc(task.usage()) });
            executeActions(m_engine.handle(decision::TaskStarted { key.first, key.second }, now));
            if (task.checkpoint() > 0)
                executeActions(
                    m_engine.handle(decision::TaskCheckpointed { key.first, key.second, task.checkpoint() }, now));
        } else if (isCurrent && m_endsProposed.insert(key).second) {
            auto& end = *command.mutable_task_ends()->add_ends();
            end.set_task(task.task());
            end.set_epoch(task.epoch());
            end.set_state(task.state());
            end.set_reason(task.message());
            end.set_checkpoint(task.checkpoint());
        }
    }
    executeActions(m_engine.handle(usage, now));
    if (command.task_ends().ends_size() > 0) {
        const auto ends = command.task_ends();
        m_hooks.propose(std::move(command), [this, ends](const absl::Status&) {
            for (const auto& end : ends.ends())
                m_endsProposed.erase({ TaskId(end.task()), Epoch { end.epoch() } });
        });
    }
}

std::vector<rpc::WorkerCommand> Leader::buildCommands(const ControlState& state, const rpc::WorkerReport& report) const
{
    std::vector<rpc::WorkerCommand> commands;
    const auto facts = state.workers().find(WorkerId(report.worker()));
    if (facts == state.workers().end() || facts->second.incarnation() != report.incarnation())
        return commands;
    rpc::WorkerCommand renew;
    renew.mutable_renew()->set_lease_ms(static_cast<uint32_t>(m_options.taskLease.count()));
    renew.mutable_renew()->set_sequence(report.sequence());
    std::set<std::pair<std::string, uint64_t>> reported;
    for (const auto& task : report.tasks()) {
        reported.emplace(task.task(), task.epoch());
        const auto placement = state.placements().find(TaskId(task.task()));
        const bool isCurrent = placement != state.placements().end() && placement->second.epoch() == task.epoch();
        if (hasEnded(task.state())) {
            if (!isCurrent) {
                auto& ended = *renew.mutable_renew()->add_ended();
                ended.set_task(task.task());
                ended.set_epoch(task.epoch());
            }
            continue;
        }
        const auto pending = m_pendingCommands.find({ TaskId(task.task()), Epoch { task.epoch() } });
        if (!isCurrent) {
            log::Placement former;
            former.set_task(task.task());
            former.set_epoch(task.epoch());
            commands.push_back(makeStopCommand(former));
        } else if (pending != m_pendingCommands.end()) {
            commands.push_back(pending->second);
        }
        // The lease of a task being stopped must end: the engine counts it from the last renewal before the stop.
        if (!isCurrent || (pending != m_pendingCommands.end() && !pending->second.has_throttle())) {
            auto& stopping = *renew.mutable_renew()->add_not_renewed();
            stopping.set_task(task.task());
            stopping.set_epoch(task.epoch());
        }
    }
    // A start command may have been lost, so it is resent; the worker ignores a start whose epoch it has seen. A task
    // that must no longer start is stopped instead: the worker then refuses its epoch and reports the end.
    for (const auto& task : state.tasksOn(WorkerId(report.worker()))) {
        const auto& placement = state.placements().at(task);
        if (!reported.count({ task.str(), placement.epoch() })
            && placement.worker_incarnation() == report.incarnation())
            commands.push_back(
                mayStart(state, placement) ? makeStartCommand(state, placement) : makeStopCommand(placement));
    }
    addFenceCommands(state, WorkerId(report.worker()), commands);
    commands.push_back(std::move(renew));
    return commands;
}

void Leader::addFenceCommands(
    const ControlState& state, const WorkerId& worker, std::vector<rpc::WorkerCommand>& commands) const
{
    for (auto it = state.grants().lower_bound({ worker, InstanceId() });
         it != state.grants().end() && it->first.first == worker; ++it) {
        const auto entry = m_entries.find(it->first.second);
        const bool isLive = entry != m_entries.end();
        if (isLive || it->second.slots() > 0 || it->second.held_slots() == 0)
            continue;
        rpc::WorkerCommand fence;
        fence.mutable_fence()->set_entry(it->second.entry());
        fence.mutable_fence()->set_epoch(it->second.epoch());
        commands.push_back(std::move(fence));
    }
}

void Leader::confirmFences(const ControlState& state, const rpc::WorkerReport& report)
{
    if (m_grantsProposed)
        return;
    std::vector<log::Grant> changes;
    for (const auto& fence : report.fenced()) {
        const auto grant = state.grants().find({ WorkerId(report.worker()), InstanceId(fence.entry()) });
        if (grant == state.grants().end() || grant->second.slots() > 0 || fence.epoch() < grant->second.epoch())
            continue;
        changes.push_back(grant->second);
        changes.back().set_held_slots(0);
        changes.back().set_held_connections(0);
    }
    proposeGrants(std::move(changes));
}

void Leader::markLostWorkers(const ControlState& state, TimePoint now)
{
    for (auto& [id, info] : m_workers) {
        if (info.isLost && !info.isAbandoned && now - info.lostAt >= m_options.taskLease)
            abandonTasks(state, id);
        if (info.isLost || now - info.lastReport < m_options.workerTimeout)
            continue;
        info.isLost = true;
        info.isAbandoned = false;
        info.lostAt = now;
        info.entry = InstanceId();
        logState("control", "worker is lost", { { "worker", id.str() } });
        executeActions(m_engine.handle(decision::WorkerLost { id }, now));
    }
}

void Leader::abandonTasks(const ControlState& state, const WorkerId& worker)
{
    m_workers[worker].isAbandoned = true;
    for (const auto& task : state.tasksOn(worker)) {
        const auto& placement = state.placements().at(task);
        m_pendingCommands[{ task, Epoch { placement.epoch() } }] = makeStopCommand(placement);
    }
}

rpc::WorkerCommand Leader::makeStopCommand(const log::Placement& placement) const
{
    rpc::WorkerCommand command;
    command.mutable_stop()->set_task(placement.task());
    command.mutable_stop()->set_epoch(placement.epoch());
    return command;
}

rpc::WorkerCommand Leader::makeStartCommand(const ControlState& state, const log::Placement& placement) const
{
    rpc::WorkerCommand command;
    auto& start = *command.mutable_start();
    start.set_task(placement.task());
    start.set_epoch(placement.epoch());
    *start.mutable_limit() = placement.limit();
    start.set_lease_ms(static_cast<uint32_t>(m_options.taskLease.count()));
    start.set_checkpoint(placement.checkpoint());
    start.set_worker_incarnation(placement.worker_incarnation());
    const auto worker = m_workers.find(WorkerId(placement.worker()));
    start.set_sequence(worker == m_workers.end() ? 0 : worker->second.sequence);
    const auto job = state.jobs().find(jobIdOf(TaskId(placement.task())));
    if (job != state.jobs().end())
        start.set_command(job->second.job.command());
    return command;
}

bool Leader::mayStart(const ControlState& state, const log::Placement& placement) const
{
    const TaskId task(placement.task());
    const auto job = state.jobs().find(jobIdOf(task));
    const auto pending = m_pendingCommands.find({ task, Epoch { placement.epoch() } });
    const bool isStopPending
        = pending != m_pendingCommands.end() && (pending->second.has_stop() || pending->second.has_checkpoint());
    return !isStopPending && job != state.jobs().end() && !job->second.isCancelled && !job->second.hasEnded
        && state.acceptsTasks(WorkerId(placement.worker()));
}

void Leader::onWorkersApplied(const ControlState& state, const log::WorkerFacts& facts, TimePoint now)
{
    for (const auto& fact : facts.workers()) {
        const WorkerId id(fact.worker());
        m_factsProposed.erase(id);
        const auto& existing = state.workers().at(id);
        auto& info = m_workers[id];
        if (info.incarnation != existing.incarnation())
            info.sequence = 0; // A restarted worker restarts the sequence numbers of its reports.
        info.incarnation = existing.incarnation();
        info.lastReport = now;
        info.isLost = false;
        executeActions(m_engine.handle(
            decision::WorkerAnnounced { workerFromRpc(existing), Incarnation { existing.incarnation() } }, now));
        info.isLeaving = existing.leaving();
        executeActions(m_engine.handle(decision::WorkerDraining { id, !state.acceptsTasks(id) }, now));
    }
}

bool Leader::isLost(const WorkerId& worker) const
{
    const auto found = m_workers.find(worker);
    return found == m_workers.end() || found->second.isLost;
}

} // namespace turmericpier::control
