#include "decision/engine-impl.h"

#include <absl/strings/str_format.h>
#include <algorithm>

/// Life cycle of a task from its placement to its end.
namespace turmericpier::decision {

namespace {

    // The backoff starts with the second failure of a task and doubles with each further one up to the maximum.
    constexpr Duration firstBackoff = std::chrono::seconds(1);
    constexpr Duration maxBackoff = std::chrono::seconds(60);
    // The earlier failures of a replica are forgotten if it has run for this time before it fails.
    constexpr Duration settledReplicaRunTime = std::chrono::minutes(10);
    // Suspicion of a worker on which only one job has failed and about which nothing else is known.
    constexpr float singleFailureSuspicion = 0.2F;
    // Time within which a usage report has to confirm a placement that was restored after a leader change.
    constexpr Duration restoredTimeout = std::chrono::minutes(10);

} // namespace

TaskIndex Engine::Impl::findPlaced(const TaskId& id, Epoch epoch) const
{
    const auto task = tables.findTask(id);
    if (task == TaskIndex::None || !tables.at(task).occupiesWorker || tables.at(task).epoch != epoch)
        return TaskIndex::None;
    return task;
}

void Engine::Impl::requestStop(TaskIndex index, const std::string& reason, Duration checkpointTime)
{
    auto& task = tables.at(index);
    if (task.stopping)
        return;
    task.stopping = true;
    auto& worker = tables.at(task.worker);
    worker.stopping += task.limit;
    totalsOf(tables.at(task.job).team).stopping += task.limit.unpack();
    if (canBePreempted(tables.at(task.job)))
        worker.preemptible -= task.limit;
    recordDecision(DecisionKind::Stopped, tables.at(task.job), &task);
    if (checkpointTime > Duration { 0 }) {
        actions.push_back(CheckpointTask { tables.idOf(task), worker.id, task.epoch });
        timers.add(now + checkpointTime, TimerKind::CheckpointTimeout, index, task.epoch);
        return;
    }
    sendStop(index, reason);
}

void Engine::Impl::sendStop(TaskIndex index, const std::string& reason)
{
    const auto& task = tables.at(index);
    actions.push_back(StopTask { tables.idOf(task), tables.at(task.worker).id, task.epoch, reason });
    // The lease is not renewed after a stop, so that the task ends with its lease even if the stop message is lost.
    timers.add(now + leaseWithSkewBound(), TimerKind::StopExpired, index, task.epoch);
}

/// Releases the capacity of a task that does not run any more.
void Engine::Impl::releaseTask(TaskIndex index)
{
    auto& task = tables.at(index);
    const auto worker = task.worker;
    if (task.probe) {
        tables.at(worker).probing = false;
        health.probeAborted(tables.at(worker).id, now);
    }
    if (tables.at(task.job).kind == JobKind::Service)
        countReplica(task, -1);
    const auto team = tables.at(task.job).team;
    shares.removeUsage(tables.teams[team], task.limit.unpack());
    if (task.stopping)
        totalsOf(team).stopping -= task.limit.unpack();
    tables.vacate(index);
    task.state = TaskState::Waiting;
    task.throttledCpu = 0;
    refreshWorker(worker);
    markCapacityFreed();
}

void Engine::Impl::markEnded(TaskIndex index)
{
    auto& task = tables.at(index);
    if (task.state == TaskState::Ended)
        return;
    task.state = TaskState::Ended;
    ++tables.at(task.job).endedTasks;
}

void Engine::Impl::handleLostTask(TaskIndex index, Requeue how)
{
    auto& task = tables.at(index);
    auto& job = tables.at(task.job);
    job.everPlaced = true;
    recordDecision(DecisionKind::Lost, job, &task);
    const auto jobIndex = task.job;
    releaseTask(index);
    if (job.ending) {
        markEnded(index);
        finishIfDone(jobIndex);
        return;
    }
    requeue(index, how);
}

void Engine::Impl::requeue(TaskIndex index, Requeue how)
{
    auto& task = tables.at(index);
    const auto jobIndex = task.job;
    auto& job = tables.at(jobIndex);
    if (job.kind == JobKind::Gang) {
        restartGang(jobIndex, "another task of the gang ended early");
        return;
    }
    if (job.kind == JobKind::Service && how != Requeue::Backoff) {
        markEnded(index); // The next replica can reuse the record.
        reconcileService(jobIndex);
        return;
    }
    if (how == Requeue::Paced) {
        pacer.add({ tables.idOf(task), job.priority, false });
        return;
    }
    if (how == Requeue::Backoff && task.failures > 1) {
        const auto doublings = std::min<uint32_t>(task.failures - 2U, 6);
        timers.add(now + std::min(firstBackoff * (1 << doublings), maxBackoff), TimerKind::Backoff, index, task.epoch);
        return;
    }
    enqueueTask(index);
}

void Engine::Impl::restartGang(JobIndex index, const std::string& reason)
{
    tables.at(index).stopPending = true;
    for (const auto task : tables.at(index).tasks) {
        dequeueTask(task); // Queued again together with the rest of the gang.
        if (tables.at(task).occupiesWorker)
            requestStop(task, reason);
    }
    requeueGang(index);
}

void Engine::Impl::requeueGang(JobIndex index)
{
    auto& job = tables.at(index);
    if (!job.stopPending
        || std::any_of(job.tasks.begin(), job.tasks.end(), [&](auto task) { return tables.at(task).occupiesWorker; }))
        return;
    job.stopPending = false;
    if (finishIfDone(index))
        return;
    for (const auto task : job.tasks)
        enqueueTask(task);
}

void Engine::Impl::on(const TaskStarted& event)
{
    const auto index = findPlaced(event.task, event.epoch);
    if (index == TaskIndex::None || tables.at(index).state != TaskState::Placed)
        return;
    auto& task = tables.at(index);
    task.state = TaskState::Running;
    task.since = now;
    auto& job = tables.at(task.job);
    job.everStarted = true;
    if (job.moving || (job.inQueue && job.critical && job.priority < urgentPriority))
        reconcileService(task.job);
}

void Engine::Impl::on(const TaskCheckpointed& event)
{
    const auto index = findPlaced(event.task, event.epoch);
    if (index == TaskIndex::None)
        return;
    tables.at(index).checkpoint = event.checkpoint;
    tables.at(index).checkpointAt = now;
}

void Engine::Impl::on(const PlacementRefused& event)
{
    const auto index = findPlaced(event.task, event.epoch);
    if (index == TaskIndex::None || tables.at(index).state != TaskState::Placed)
        return;
    const auto jobIndex = tables.at(index).job;
    recordDecision(DecisionKind::Refused, tables.at(jobIndex), &tables.at(index));
    releaseTask(index);
    if (tables.at(jobIndex).ending) {
        markEnded(index);
        finishIfDone(jobIndex);
        return;
    }
    requeue(index, Requeue::Immediately);
}

void Engine::Impl::on(const TaskEnded& event)
{
    const auto index = findPlaced(event.task, event.epoch);
    if (index == TaskIndex::None)
        return;
    auto& task = tables.at(index);
    const auto jobIndex = task.job;
    auto& job = tables.at(jobIndex);
    const auto worker = task.worker;
    const bool finished = event.end == TaskEnd::Finished;
    const bool failed = event.end == TaskEnd::Failed && !task.stopping;
    const bool probe = task.probe;
    job.everPlaced = true;
    job.everStarted = job.everStarted || event.end != TaskEnd::Stopped;
    const auto& family = tables.families[job.family];
    if (finished && !family.empty() && task.state == TaskState::Running) {
        sizes.recordRunTime(family.str(), now - task.since);
        if (task.peakMemory > 0)
            sizes.recordUsage(family.str(),
                { event.task, PackedResources(task.peakCpu, task.peakMemory, task.limit.accelerators).unpack(),
                    task.limit.unpack(), now - task.since, true, job.request.unpack() });
    }
    if (finished || failed) {
        task.probe = false; // Reported below as succeeded or failed; releaseTask() must not report an aborted probe.
        const auto id = tables.at(worker).id;
        const auto changes = finished ? health.taskSucceeded(id, job.id, now) : health.taskFailed(id, job.id, now);
        tables.at(worker).probing = tables.at(worker).probing && !probe;
        updateSuspicion(worker);
        applyHealth(changes);
    }
    if (failed)
        recordDecision(DecisionKind::Failed, job, &task);
    releaseTask(index);
    if (job.ending || (finished && job.kind != JobKind::Service)) {
        markEnded(index);
        if (job.kind == JobKind::Gang && !job.ending)
            requeueGang(jobIndex);
        if (tables.at(jobIndex).live)
            finishIfDone(jobIndex);
    } else if (failed && !probe) {
        handleFailedTask(index, worker, event.reason);
    } else {
        requeue(index, Requeue::Immediately);
    }
}

void Engine::Impl::handleFailedTask(TaskIndex index, WorkerIndex worker, const std::string& reason)
{
    auto& task = tables.at(index);
    const auto jobIndex = task.job;
    auto& job = tables.at(jobIndex);
    const bool settled = job.kind == JobKind::Service && now - task.since >= settledReplicaRunTime;
    if (settled) {
        task.failures = 0;
        failedOn.erase(index);
    }
    task.failures = static_cast<uint8_t>(std::min(task.failures + 1, 255));
    auto& workers = failedOn[index];
    if (std::find(workers.begin(), workers.end(), worker) == workers.end())
        workers.push_back(worker);
    // Workers on which other jobs fail as well are not counted, because their failures say nothing about this job.
    const auto distinct = std::count_if(workers.begin(), workers.end(),
        [&](WorkerIndex w) { return !tables.at(w).quarantined && tables.at(w).suspicion <= singleFailureSuspicion; });
    const auto limit = policyOf(job).policy.maxRetries;
    if (distinct >= options.poisonWorkers || health.isSuspect(job.id)) {
        endJob(jobIndex,
            absl::StrFormat("task %s failed on %d distinct workers: %s", tables.idOf(task).str(),
                std::max<size_t>(distinct, health.failedWorkers(job.id)), reason));
    } else if (job.kind != JobKind::Service && task.failures > limit) {
        endJob(jobIndex,
            absl::StrFormat("task %s failed %d times, with %d retries allowed: %s", tables.idOf(task).str(),
                task.failures, limit, reason));
    } else {
        requeue(index, Requeue::Backoff);
    }
}

void Engine::Impl::fireTimers()
{
    Timer timer;
    while (timers.pop(now, timer)) {
        auto& task = tables.at(timer.task);
        if (task.epoch != timer.epoch)
            continue;
        switch (timer.kind) {
        case TimerKind::StartTimeout:
        case TimerKind::RestoredTimeout:
            handleStartTimeout(timer.task);
            break;
        case TimerKind::CheckpointTimeout:
            if (task.occupiesWorker && task.stopping)
                sendStop(timer.task, "the checkpoint took too long");
            break;
        case TimerKind::StopExpired:
            if (task.occupiesWorker && task.stopping)
                handleLostTask(timer.task, Requeue::Immediately);
            break;
        case TimerKind::Backoff:
            if (task.state == TaskState::Waiting && !tables.at(task.job).ending)
                enqueueTask(timer.task);
            break;
        }
    }
}

/// Handles a start that was not confirmed in time. The start may still arrive, so that the epoch is fenced by a stop
/// before the task is placed again.
void Engine::Impl::handleStartTimeout(TaskIndex index)
{
    const auto& task = tables.at(index);
    if (!task.occupiesWorker || task.state != TaskState::Placed)
        return;
    if (tables.at(task.worker).lost) // Checked again later, because the worker may return.
        timers.add(now + leaseWithSkewBound(), TimerKind::StartTimeout, index, task.epoch);
    else
        requestStop(index, "the start was not confirmed");
}

void Engine::Impl::on(const Restored& event)
{
    nextEpoch = std::max(nextEpoch, event.nextEpoch);
    absl::btree_set<std::pair<uint64_t, JobIndex>> touched;
    for (const auto& id : event.endedTasks) {
        const auto index = tables.findTask(id);
        if (index == TaskIndex::None || tables.at(index).occupiesWorker)
            continue;
        const auto job = tables.at(index).job;
        dequeueTask(index);
        tables.at(job).everStarted = true;
        markEnded(index);
        touched.emplace(tables.at(job).order, job);
    }
    for (const auto& placement : event.placements) {
        restorePlacement(placement);
        if (const auto index = tables.findTask(placement.task); index != TaskIndex::None)
            touched.emplace(tables.at(tables.at(index).job).order, tables.at(index).job);
    }
    for (const auto& [order, index] : touched) {
        auto& job = tables.at(index);
        if (job.kind == JobKind::Service && !job.ending)
            reconcileService(index);
        else if (job.kind == JobKind::Gang && job.queuedTasks > 0
            && job.queuedTasks + job.endedTasks < job.tasks.size())
            restartGang(index, "part of the gang is not running");
        else
            finishIfDone(index);
    }
    retryAll();
}

/// Adds task records up to the given id and returns the task. A service whose replicas are moved has more tasks than
/// declared. Returns None if the id does not belong to a service or its index is out of bounds.
TaskIndex Engine::Impl::addReplicaRecord(const TaskId& id)
{
    const std::string_view text = id.str();
    const auto job = tables.findJob(text.substr(0, text.rfind('.')));
    if (job == JobIndex::None || tables.at(job).kind != JobKind::Service)
        return TaskIndex::None;
    // Each replica has at most one replacement at a time, which gives twice the declared number. Four times allows for
    // the loss of several workers in succession.
    while (tables.at(job).tasks.size() < 4 * size_t { tables.at(job).taskCount }) {
        const auto added = tables.addTask(job);
        markEnded(added);
        if (tables.idOf(tables.at(added)) == id)
            return added;
    }
    return TaskIndex::None;
}

void Engine::Impl::restorePlacement(const Placement& placement)
{
    nextEpoch = std::max(nextEpoch, placement.epoch.next());
    auto worker = tables.findWorker(placement.worker);
    if (worker == WorkerIndex::None) { // Not announced to this leader, but the task may still run there.
        worker = tables.addWorker(placement.worker);
        health.addWorker(placement.worker);
        tables.at(worker).lost = true;
        tables.at(worker).lostDeadline = now + leaseWithSkewBound();
        lostLeases.emplace_back(tables.at(worker).lostDeadline, worker);
    }
    const auto& record = tables.at(worker);
    if (record.announced && placement.incarnation != Incarnation {} && placement.incarnation < record.incarnation)
        return; // The worker was restarted after the placement; the task is lost and is already waiting.
    auto index = tables.findTask(placement.task);
    if (index == TaskIndex::None)
        index = addReplicaRecord(placement.task);
    if (index == TaskIndex::None) {
        const PackedResources limit(placement.limit);
        actions.push_back(StopTask { placement.task, placement.worker, placement.epoch, "the job is unknown" });
        orphans.push_back({ now + leaseWithSkewBound(), worker, limit });
        tables.at(worker).reserved += limit;
        refreshWorker(worker);
        return;
    }
    auto& task = tables.at(index);
    if (task.occupiesWorker)
        return;
    if (task.state == TaskState::Ended) {
        task.state = TaskState::Waiting;
        --tables.at(task.job).endedTasks;
    }
    dequeueTask(index);
    task.epoch = placement.epoch;
    task.state = TaskState::Placed;
    task.since = now;
    const auto limit = placement.limit == Resources {} ? tables.at(task.job).request : PackedResources(placement.limit);
    tables.occupy(index, worker, limit);
    shares.addUsage(tables.teams[tables.at(task.job).team], limit.unpack());
    if (tables.at(task.job).kind == JobKind::Service)
        countReplica(task, 1);
    refreshWorker(worker);
    timers.add(now + restoredTimeout, TimerKind::RestoredTimeout, index, task.epoch);
    if (tables.at(task.job).ending)
        requestStop(index, "the job has ended");
}

} // namespace turmericpier::decision
