#include "decision/engine-impl.h"

#include <algorithm>

/// Announcement, loss, draining and quarantine of workers.
namespace turmericpier::decision {

namespace {

    // With more freed workers than this, a full round is cheaper than a search for jobs that fit on them.
    constexpr size_t maxFreedWorkers = 32;

} // namespace

void Engine::Impl::refreshWorker(WorkerIndex index)
{
    auto& worker = tables.at(index);
    const bool placeable = worker.isSchedulable();
    if (placeable != this->index.contains(index)) {
        const auto amount = worker.capacity.unpack();
        if (placeable)
            capacity += amount;
        else
            capacity -= amount;
        schedulableWorkers += placeable ? 1 : -1;
        capacityChanged = true;
    }
    if (!placeable) {
        this->index.remove(index);
        return;
    }
    const auto available = worker.available();
    const bool more = !this->index.contains(index) || !available.fitsInto(this->index.freeOn(index));
    this->index.update(index, worker.dataCentre, available);
    if (!more || fullRound)
        return;
    dirty = true;
    if (freedWorkers.size() < maxFreedWorkers)
        freedWorkers.push_back(index);
    else
        retryAll();
}

void Engine::Impl::on(const WorkerAnnounced& event)
{
    auto index = tables.findWorker(event.worker.id);
    if (index == WorkerIndex::None) {
        index = tables.addWorker(event.worker.id);
        health.addWorker(event.worker.id);
    }
    auto& worker = tables.at(index);
    if (worker.announced && event.incarnation < worker.incarnation)
        return;
    const bool restarted = worker.announced && event.incarnation > worker.incarnation;
    // The worker is first removed from the index, so that the old capacity is subtracted from the total.
    worker.announced = false;
    refreshWorker(index);
    worker.announced = true;
    worker.lost = false;
    worker.incarnation = event.incarnation;
    worker.capacity = PackedResources(event.worker.capacity);
    const auto recount = [this, index](int change) {
        forEachTaskOn(index, [&](TaskIndex task) {
            if (tables.at(tables.at(task).job).kind == JobKind::Service)
                countReplica(tables.at(task), change);
        });
    };
    recount(-1);
    worker.dataCentre = static_cast<uint16_t>(tables.dataCentres.intern(event.worker.dataCentre));
    worker.rack = tables.racks.intern(event.worker.rack);
    recount(1);
    if (std::none_of(maximalCapacities.begin(), maximalCapacities.end(),
            [&](const auto& c) { return worker.capacity.fitsInto(c); })) {
        std::erase_if(maximalCapacities, [&](const auto& c) { return c.fitsInto(worker.capacity); });
        maximalCapacities.push_back(worker.capacity);
    }
    if (!firstWorkerAnnouncedAt)
        firstWorkerAnnouncedAt = now;
    if (restarted)
        restartWorker(index);
    stopTasksOverCapacity(index);
    refreshWorker(index);
    reconcileServicesOn(index);
    retryAll();
}

void Engine::Impl::restartWorker(WorkerIndex index)
{
    // The health record belongs to the previous process of the worker.
    auto& worker = tables.at(index);
    health.removeWorker(worker.id);
    health.addWorker(worker.id);
    worker.suspicion = 0;
    worker.probing = false;
    if (worker.quarantined) {
        worker.quarantined = false;
        actions.push_back(WorkerQuarantined { worker.id, false, "the worker was restarted" });
    }
    forEachTaskOn(index, [this](TaskIndex task) {
        // A start message that is still in flight could reach the new process, so that its epoch has to be fenced
        // first.
        if (tables.at(task).state == TaskState::Running)
            handleLostTask(task, Requeue::Paced);
        else
            requestStop(task, "the worker was restarted");
    });
}

/// Stops tasks, lowest priority first, until the rest fits into the capacity of the worker.
void Engine::Impl::stopTasksOverCapacity(WorkerIndex index)
{
    const auto& worker = tables.at(index);
    const auto excess = [&worker] { return !(worker.used - worker.stopping).fitsInto(worker.capacity); };
    if (!excess())
        return;
    dropClaimsOn(index);
    std::vector<TaskIndex> order;
    forEachTaskOn(index, [&](TaskIndex task) { order.push_back(task); });
    std::sort(order.begin(), order.end(), [this](TaskIndex a, TaskIndex b) {
        const auto rank = [this](TaskIndex t) {
            const auto& job = tables.at(tables.at(t).job);
            return std::tuple(job.priority, job.kind != JobKind::Batch, tables.at(t).epoch);
        };
        return rank(a) < rank(b);
    });
    for (const auto task : order) {
        if (!excess())
            break;
        requestStop(task, "the worker has less capacity than before");
    }
}

void Engine::Impl::on(const WorkerLost& event)
{
    const auto index = tables.findWorker(event.worker);
    if (index == WorkerIndex::None || tables.at(index).lost)
        return;
    auto& worker = tables.at(index);
    worker.lost = true;
    worker.lostDeadline = now + leaseWithSkewBound();
    lostLeases.emplace_back(worker.lostDeadline, index);
    dropClaimsOn(index);
    refreshWorker(index);
    reconcileServicesOn(index);
}

void Engine::Impl::expireLeasesOfLostWorkers()
{
    while (!lostLeases.empty() && lostLeases.front().first <= now) {
        const auto [deadline, index] = lostLeases.front();
        lostLeases.pop_front();
        const auto& worker = tables.at(index);
        if (!worker.live || !worker.lost || worker.lostDeadline != deadline)
            continue;
        forEachTaskOn(index, [this](TaskIndex task) { handleLostTask(task, Requeue::Paced); });
    }
    while (!orphans.empty() && orphans.front().until <= now) {
        const auto orphan = orphans.front();
        orphans.pop_front();
        tables.at(orphan.worker).reserved -= orphan.limit;
        refreshWorker(orphan.worker);
        markCapacityFreed();
    }
}

void Engine::Impl::on(const WorkerDraining& event)
{
    const auto index = tables.findWorker(event.worker);
    if (index == WorkerIndex::None || tables.at(index).draining == event.draining)
        return;
    tables.at(index).draining = event.draining;
    if (event.draining) {
        dropClaimsOn(index);
        // A batch task that writes checkpoints can be moved without losing work. Other batch tasks run to completion.
        forEachTaskOn(index, [this](TaskIndex task) {
            const auto& record = tables.at(task);
            if (tables.at(record.job).kind == JobKind::Batch && record.checkpoint > 0)
                requestStop(task, "the worker is draining", preemptionOptions().checkpointTime);
        });
    }
    refreshWorker(index);
    reconcileServicesOn(index);
    retryAll();
}

void Engine::Impl::on(const WorkerGone& event)
{
    const auto index = tables.findWorker(event.worker);
    if (index == WorkerIndex::None)
        return;
    dropClaimsOn(index);
    tables.at(index).announced = false;
    refreshWorker(index);
    forEachTaskOn(index, [this](TaskIndex task) { handleLostTask(task, Requeue::Paced); });
    health.removeWorker(event.worker);
    std::erase(probes, index);
    std::erase_if(lostLeases, [index](const auto& lease) { return lease.second == index; });
    std::erase_if(orphans, [index](const auto& orphan) { return orphan.worker == index; });
    absl::erase_if(failedOn, [index](auto& entry) {
        entry.second.erase(std::remove(entry.second.begin(), entry.second.end(), index), entry.second.end());
        return entry.second.empty();
    });
    tables.removeWorker(index);
    retryAll();
}

void Engine::Impl::reconcileServicesOn(WorkerIndex index)
{
    absl::btree_set<std::pair<uint64_t, JobIndex>> jobs;
    forEachTaskOn(index, [&](TaskIndex task) {
        const auto job = tables.at(task).job;
        if (tables.at(job).kind == JobKind::Service)
            jobs.emplace(tables.at(job).order, job);
    });
    for (const auto& [order, job] : jobs)
        reconcileService(job);
}

void Engine::Impl::dropClaimsOn(WorkerIndex index)
{
    if (tables.at(index).reserved == PackedResources {})
        return;
    std::vector<uint32_t> dropped;
    for (const auto& [id, claim] : claims) {
        if (std::any_of(claim.parts.begin(), claim.parts.end(), [&](const auto& p) { return p.worker == index; }))
            dropped.push_back(id);
    }
    for (const auto id : dropped)
        dropClaim(id);
}

void Engine::Impl::applyHealth(const std::vector<HealthChange>& changes)
{
    for (const auto& change : changes) {
        const auto index = tables.findWorker(change.worker);
        if (index == WorkerIndex::None)
            continue;
        tables.at(index).quarantined = change.quarantined;
        tables.at(index).probing = false;
        std::erase(probes, index);
        if (change.quarantined)
            dropClaimsOn(index);
        else
            retryAll();
        refreshWorker(index);
        actions.push_back(WorkerQuarantined { change.worker, change.quarantined, change.reason });
    }
}

void Engine::Impl::updateSuspicion(WorkerIndex index)
{
    auto& worker = tables.at(index);
    worker.suspicion = static_cast<float>(health.suspicion(worker.id, now));
}

void Engine::Impl::findProbes()
{
    probes.clear();
    if (health.quarantinedWorkers() == 0)
        return;
    for (uint32_t i = 0; i < tables.workerSlots(); ++i) {
        const auto& worker = tables.at(WorkerIndex { i });
        if (!worker.live || !worker.quarantined || worker.lost || worker.draining || worker.probing)
            continue;
        if (health.admission(worker.id, now) == WorkerHealth::Admission::Probe)
            probes.push_back(WorkerIndex { i });
    }
}

} // namespace turmericpier::decision
