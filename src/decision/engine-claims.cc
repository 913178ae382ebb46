#include "decision/engine-impl.h"

#include <algorithm>

/// Claims: capacity that is kept for a waiting job, and preemption to free it.
namespace turmericpier::decision {

namespace {

    constexpr size_t candidatesPerPlan = 16;
    constexpr size_t maxGangCandidates = 256;
    // Tasks of one job for which victims are stopped at the same time.
    constexpr uint32_t maxPartsPerClaim = 64;
    // Time until a job for which no victims were found is looked at again.
    constexpr Duration retry = std::chrono::seconds(1);
    constexpr Duration urgentRetry = std::chrono::milliseconds(100);
    // A claim whose victims have left but whose capacity was not enough is planned again after this long.
    constexpr Duration claimTimeout = std::chrono::seconds(45);

} // namespace

Claim& Engine::Impl::addClaim(JobIndex index)
{
    auto& job = tables.at(index);
    job.claim = nextClaim++;
    job.waitReason = WaitReason::WaitsForClaim;
    auto& claim = claims[job.claim];
    claim = { .job = index, .request = job.effective, .since = now };
    note(DecisionKind::Reserved, job, nullptr);
    claimsDirty = true;
    return claim;
}

void Engine::Impl::addPart(Claim& claim, WorkerIndex worker, uint32_t tasks)
{
    // The parts of a gang are judged together, so that a worker must have one part only.
    const auto same = std::find_if(
        claim.parts.begin(), claim.parts.end(), [&](const Claim::Part& part) { return part.worker == worker; });
    if (same != claim.parts.end() && tables.at(claim.job).kind == JobKind::Gang)
        same->tasks += tasks;
    else
        claim.parts.push_back({ worker, tasks });
    const auto amount = times(claim.request, tasks);
    tables.at(worker).reserved += amount;
    totalsOf(tables.at(claim.job).team).claimed += amount.unpack();
    refreshWorker(worker);
}

void Engine::Impl::unclaim(const Claim& claim, const Claim::Part& part)
{
    const auto amount = times(claim.request, part.tasks);
    tables.at(part.worker).reserved -= amount;
    totalsOf(tables.at(claim.job).team).claimed -= amount.unpack();
}

void Engine::Impl::dropClaim(uint32_t id)
{
    const auto it = claims.find(id);
    if (it == claims.end())
        return;
    const auto claim = std::move(it->second);
    claims.erase(it);
    reservations -= claim.reservation ? 1 : 0;
    for (const auto& part : claim.parts) {
        unclaim(claim, part);
        refreshWorker(part.worker);
    }
    if (tables.at(claim.job).claim == id)
        tables.at(claim.job).claim = 0;
    retryAll();
}

/// Called when a job found no room. Urgent jobs and those within their team's quota get victims; others that have
/// waited for long get a reservation.
void Engine::Impl::claimFor(JobIndex index, FairShare::Admission admission)
{
    auto& job = tables.at(index);
    const bool urgent = job.priority >= urgentPriority;
    if (job.claim != 0 || now < job.nextTry || this->index.size() == 0 || (plansLeft == 0 && !urgent))
        return;
    job.nextTry = now + (urgent ? urgentRetry : retry);
    plansLeft -= plansLeft > 0 ? 1 : 0;
    if (job.kind == JobKind::Gang)
        planGangVictims(index, admission == FairShare::Admission::Quota);
    else
        planVictims(index);
    if (job.claim == 0)
        reserve(index, admission);
}

TeamTotals& Engine::Impl::totalsOf(uint32_t team)
{
    if (teamTotals.size() <= team)
        teamTotals.resize(team + 1);
    return teamTotals[team];
}

FairShare::Admission Engine::Impl::admissionOf(const JobRecord& job, uint32_t count) const
{
    auto wanted = times(job.effective, count).unpack();
    if (job.team < teamTotals.size())
        wanted += teamTotals[job.team].claimed;
    return shares.admission(tables.teams[job.team], wanted);
}

RunningTask Engine::Impl::runningTaskOf(const TaskRecord& task) const
{
    const auto& job = tables.at(task.job);
    const auto sinceCheckpoint = task.checkpointAt > task.since ? now - task.checkpointAt : now - task.since;
    RunningTask out { tables.idOf(task), job.id, tables.teams[job.team], job.kind, job.priority, task.limit.unpack() };
    out.running = now - task.since;
    out.lostWork
        = job.kind == JobKind::Gang ? sinceCheckpoint * static_cast<int64_t>(job.tasks.size()) : sinceCheckpoint;
    out.canResume = task.checkpoint > 0 && task.state == TaskState::Running;
    out.stopping = task.stopping;
    out.preemptions = task.preemptions;
    out.maxPreemptions = policies[job.policy].policy.maxPreemptions;
    return out;
}

PreemptionCandidate Engine::Impl::candidateOf(WorkerIndex index) const
{
    const auto& worker = tables.at(index);
    PreemptionCandidate out { worker.id, worker.available().unpack(), worker.stopping.unpack() };
    out.tasks.reserve(worker.taskCount);
    for (auto task = worker.firstTask; task != TaskIndex::None; task = tables.at(task).next)
        out.tasks.push_back(runningTaskOf(tables.at(task)));
    return out;
}

/// Workers on which the request would fit without the tasks that might be preempted. The search goes on where the last
/// one ended, so that its cost does not depend on the number of workers while there are victims.
std::vector<PreemptionCandidate> Engine::Impl::candidatesFor(const PackedResources& request, size_t limit)
{
    std::vector<PreemptionCandidate> out;
    const auto slots = tables.workerSlots();
    for (uint32_t i = 0; i < slots && out.size() < limit; ++i) {
        const WorkerIndex index { (candidateCursor + i) % slots };
        const auto& worker = tables.at(index);
        if (!worker.takesWork() || !request.fitsInto(worker.available() + worker.stopping + worker.preemptible))
            continue;
        out.push_back(candidateOf(index));
        if (out.size() == limit)
            candidateCursor = (raw(index) + 1) % slots;
    }
    return out;
}

PreemptionOptions Engine::Impl::preemptionOptions() const
{
    PreemptionOptions out;
    out.spareReplicas = [this](const JobId& id) {
        const auto job = tables.findJob(id.str());
        return job == JobIndex::None ? 0 : spareReplicas(tables.at(job));
    };
    out.excess = [this](const TeamId& team) {
        const auto number = tables.teams.find(team);
        auto excess = shares.excess(team);
        if (number && *number < teamTotals.size())
            excess -= teamTotals[*number].stopping; // enough of it may be on its way out already
        return Resources { std::max(excess.cpu, MilliCpu {}), std::max(excess.memory, MemoryMib {}),
            std::max(excess.accelerators, Accelerators {}) };
    };
    return out;
}

void Engine::Impl::planVictims(JobIndex index)
{
    auto& job = tables.at(index);
    for (auto tasks = std::min(job.queuedTasks, maxPartsPerClaim); tasks > 0; --tasks) {
        const bool withinQuota = admissionOf(job, 1) == FairShare::Admission::Quota;
        const PreemptionRequest request { tables.teams[job.team], job.effective.unpack(), job.priority, withinQuota };
        const auto candidates = candidatesFor(job.effective, candidatesPerPlan);
        const auto plan = planPreemption(request, candidates, preemptionOptions());
        if (!plan)
            return;
        auto& claim = job.claim != 0 ? claims.at(job.claim) : addClaim(index);
        claim.preempting = true;
        carryOut(*plan, index);
        addPart(claim, tables.findWorker(plan->worker), 1);
    }
}

void Engine::Impl::planGangVictims(JobIndex index, bool withinQuota)
{
    auto& job = tables.at(index);
    const PreemptionRequest request { tables.teams[job.team], job.effective.unpack(), job.priority, withinQuota };
    const auto limit = std::clamp<size_t>(2 * size_t { job.queuedTasks }, candidatesPerPlan, maxGangCandidates);
    const auto candidates = candidatesFor(job.effective, limit);
    const auto plans = planGangPreemption(request, job.queuedTasks, candidates, preemptionOptions());
    if (plans.empty())
        return;
    auto& claim = addClaim(index);
    claim.preempting = true;
    for (const auto& plan : plans) {
        carryOut(plan, index);
        addPart(claim, tables.findWorker(plan.worker), 1);
    }
}

void Engine::Impl::carryOut(const PreemptionPlan& plan, JobIndex forJob)
{
    for (const auto& victim : plan.victims) {
        const auto task = tables.findTask(victim.task);
        if (task != TaskIndex::None && tables.at(task).holdsPlace)
            preempt(task, victim.checkpointFirst ? victim.checkpointTime : Duration { 0 }, forJob);
    }
}

void Engine::Impl::preempt(TaskIndex index, Duration checkpointTime, JobIndex forJob)
{
    auto& task = tables.at(index);
    if (task.stopping)
        return;
    const auto jobIndex = task.job;
    const auto& job = tables.at(jobIndex);
    History::Decision decision { .at = now,
        .job = job.order,
        .otherJob = tables.at(forJob).order,
        .task = task.index,
        .worker = tables.at(task.worker).id,
        .request = task.limit,
        .kind = DecisionKind::Preempted };
    history.add(std::move(decision));
    const auto reason = "preempted for job " + tables.at(forJob).id.str();
    if (job.kind != JobKind::Gang) {
        ++task.preemptions;
        requestStop(index, reason, checkpointTime);
        return;
    }
    tables.at(jobIndex).stopPending = true;
    for (const auto member : job.tasks) {
        if (!tables.at(member).holdsPlace)
            continue;
        ++tables.at(member).preemptions;
        requestStop(member, reason, tables.at(member).checkpoint > 0 ? checkpointTime : Duration { 0 });
    }
}

bool Engine::Impl::isReady(const Claim& claim, const Claim::Part& part, bool withoutBackfill) const
{
    const auto& worker = tables.at(part.worker);
    auto free = worker.capacity - worker.used;
    if (withoutBackfill)
        free += worker.backfill;
    return times(claim.request, part.tasks).fitsInto(free);
}

/// Places the jobs whose claimed capacity has become free.
void Engine::Impl::progressClaims()
{
    claimsDirty = false;
    std::vector<uint32_t> ids;
    for (const auto& [id, claim] : claims)
        ids.push_back(id);
    for (const auto id : ids) {
        const auto it = claims.find(id);
        if (it == claims.end())
            continue;
        if (budget == 0) {
            claimsDirty = true;
            return;
        }
        auto& claim = it->second;
        const auto& job = tables.at(claim.job);
        // The learned size may have changed since the capacity was claimed.
        const bool stale = (!claim.reservation && now > claim.since + claimTimeout) || job.effective != claim.request;
        if (job.queuedTasks == 0 || stale || progressClaim(claim))
            dropClaim(id);
    }
}

/// Returns true once nothing is left to wait for.
bool Engine::Impl::progressClaim(Claim& claim)
{
    auto& job = tables.at(claim.job);
    const auto place = [&](const Claim::Part& part) {
        unclaim(claim, part);
        for (uint32_t i = 0; i < part.tasks && job.queuedTasks > 0; ++i)
            placeOn(nextQueued(job), part.worker);
        refreshWorker(part.worker);
    };
    if (job.kind != JobKind::Gang) {
        std::erase_if(claim.parts, [&](const Claim::Part& part) {
            if (!isReady(claim, part, false))
                return false;
            place(part);
            return true;
        });
        if (claim.reservation)
            preemptForReservation(claim);
        return claim.parts.empty();
    }
    uint32_t covered = 0;
    bool ready = true;
    bool readyWithoutBackfill = true;
    for (const auto& part : claim.parts) {
        covered += part.tasks;
        ready = ready && isReady(claim, part, false);
        readyWithoutBackfill = readyWithoutBackfill && isReady(claim, part, true);
    }
    if (covered < job.queuedTasks)
        return true; // claimed for fewer tasks than the gang needs now
    if (ready) {
        const auto parts = std::exchange(claim.parts, {});
        for (const auto& part : parts)
            place(part);
        return true;
    }
    if (readyWithoutBackfill)
        stopBackfill(claim);
    else if (claim.reservation)
        preemptForReservation(claim);
    return false;
}

void Engine::Impl::placeOn(TaskIndex task, WorkerIndex worker)
{
    const Choice choice { .worker = worker, .candidates = 1 };
    take(task, choice);
    emitPlacement(task, choice);
}

} // namespace turmericpier::decision
