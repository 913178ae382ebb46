#include "decision/engine-impl.h"

#include <algorithm>

/// Preemption: selects the jobs for which tasks are preempted, and the tasks.
namespace turmericpier::decision {

namespace {

    constexpr size_t candidatesPerPlan = 16;
    constexpr size_t maxGangCandidates = 256;
    // Examining the tasks of one worker takes about 1.5 us in a large cell.
    constexpr uint32_t workersPerSearch = 128;
    constexpr uint32_t workersPerUrgentSearch = 512;
    // Maximum number of tasks of one job for which victims are stopped at the same time.
    constexpr uint32_t maxTasksPerClaim = 64;
    // Time until planning is repeated for a job for which no victims were found.
    constexpr Duration planRetryInterval = std::chrono::seconds(1);
    constexpr Duration urgentPlanRetryInterval = std::chrono::milliseconds(100);
    constexpr size_t maxPlanQueue = 4'096;

} // namespace

/// Returns true if the job needs no further claim.
bool Engine::Impl::isCovered(const JobRecord& job) const
{
    if (job.claim == 0)
        return job.queuedTasks == 0;
    const auto& claim = claims.at(job.claim);
    if (claim.reservation || job.kind == JobKind::Gang)
        return true;
    uint32_t tasks = 0;
    for (const auto& part : claim.parts)
        tasks += part.tasks;
    return tasks >= std::min(job.queuedTasks, maxTasksPerClaim);
}

/// Claims capacity for a job that was not admitted or for which no worker had enough capacity. Urgent jobs and jobs
/// within the quota of their team may preempt other tasks; other jobs may preempt only tasks of lower priority of their
/// own team or of teams over quota. A job that has waited for long gets a reservation.
void Engine::Impl::claimFor(JobIndex index, FairShare::Admission admission)
{
    auto& job = tables.at(index);
    const bool urgent = job.priority >= urgentPriority;
    auto& plans = urgent ? urgentPlanBudget : planBudget;
    while (now >= job.retryAt && this->index.size() > 0 && !isCovered(job)) {
        if (plans == 0) {
            queueForPlanning(index);
            return;
        }
        --plans;
        const bool found = job.kind == JobKind::Gang ? planGangVictims(index, admission) : planVictims(index);
        if (!found)
            job.retryAt = now + (urgent ? urgentPlanRetryInterval : planRetryInterval);
    }
    if (job.claim == 0)
        reserve(index, admission);
}

/// Queues the job for preemption planning, which is limited per period.
void Engine::Impl::queueForPlanning(JobIndex index)
{
    auto& job = tables.at(index);
    if (job.priority >= urgentPriority) {
        dirty = true; // The next tick tries all urgent jobs again.
    } else if (!job.planQueued && planQueue.size() < maxPlanQueue) {
        job.planQueued = true;
        planQueue.emplace(~job.priority, job.order, index);
    }
}

void Engine::Impl::processPlanQueue()
{
    while (planBudget > 0 && !planQueue.empty()) {
        const auto [rank, order, index] = *planQueue.begin();
        planQueue.erase(planQueue.begin());
        auto& job = tables.at(index);
        if (!job.live || job.order != order)
            continue;
        job.planQueued = false;
        if (!job.inQueue)
            continue;
        claimFor(index, admissionOf(job, job.kind == JobKind::Gang ? job.queuedTasks : 1));
        // The round did not try the next job of the class, because this one was blocked.
        if (job.claim != 0 && isCovered(job)) {
            if (const auto following = queue(job.waitQueueNumber()).nextInClass(job.key(), { job.order, index }))
                queueForPlanning(following->job);
        }
    }
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

/// Applies the rules of planPreemption() to a task record. Used as a fast filter for workers, without building ids.
bool Engine::Impl::mayBePreempted(const TaskRecord& task, const JobRecord& by, bool withinQuota) const
{
    const auto& job = tables.at(task.job);
    const bool urgent = by.priority >= urgentPriority;
    if (task.stopping || task.preemptions >= policies[job.policy].policy.maxPreemptions)
        return false;
    if (!urgent && now - task.since < PreemptionOptions {}.minRunning)
        return false;
    if (job.kind == JobKind::Service && job.minAvailable >= job.taskCount)
        return false;
    const bool overQuota = job.team != by.team && teamsOverQuota[job.team];
    if (withinQuota && overQuota)
        return true;
    return job.priority < by.priority && (withinQuota || urgent || overQuota || job.team == by.team);
}

/// Returns workers on which the request would fit if all preemptible tasks were stopped. Each search continues where
/// the previous one ended and examines a bounded number of workers, so that its cost does not depend on the cell size.
std::vector<PreemptionCandidate> Engine::Impl::candidatesFor(const JobRecord& job, bool withinQuota, size_t limit)
{
    if (teamsOverQuota.size() != tables.teams.size()) { // Cleared by each tick.
        teamsOverQuota.resize(tables.teams.size());
        for (uint32_t i = 0; i < tables.teams.size(); ++i)
            teamsOverQuota[i] = shares.isOverQuota(tables.teams[i]);
    }
    std::vector<PreemptionCandidate> out;
    const auto slots = tables.workerSlots();
    const auto searched = std::min(slots, job.priority >= urgentPriority ? workersPerUrgentSearch : workersPerSearch);
    uint32_t i = 0;
    for (; i < searched && out.size() < limit; ++i) {
        const WorkerIndex index { (candidateCursor + i) % slots };
        const auto& worker = tables.at(index);
        auto possible = worker.available() + worker.stopping;
        if (!worker.isSchedulable() || !job.effective.fitsInto(possible + worker.preemptible))
            continue;
        for (auto task = worker.firstTask; task != TaskIndex::None; task = tables.at(task).next) {
            if (mayBePreempted(tables.at(task), job, withinQuota))
                possible += tables.at(task).limit;
        }
        if (job.effective.fitsInto(possible))
            out.push_back(candidateOf(index));
    }
    candidateCursor = slots > 0 ? (candidateCursor + i) % slots : 0;
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
        // Tasks that are being stopped already reduce the excess.
        const bool hasTotals = number && *number < teamTotals.size();
        return excessOver(shares.excess(team), hasTotals ? teamTotals[*number].stopping : Resources {});
    };
    return out;
}

/// Claims capacity for one more task of the job and preempts tasks for it. Returns false if no victims were found.
bool Engine::Impl::planVictims(JobIndex index)
{
    auto& job = tables.at(index);
    const auto admission = admissionOf(job, 1);
    const bool withinQuota = admission == FairShare::Admission::Quota;
    const PreemptionRequest request { tables.teams[job.team], job.effective.unpack(), job.priority, withinQuota };
    const auto candidates = candidatesFor(job, withinQuota, candidatesPerPlan);
    const auto plan = planPreemption(request, candidates, preemptionOptions());
    if (!plan || !victimsOffsetUsage(job, 1, admission, std::span(&*plan, 1)))
        return false;
    auto& claim = job.claim != 0 ? claims.at(job.claim) : addClaim(index);
    claim.preempting = true;
    claim.since = now;
    executePlan(*plan, index);
    addPart(claim, tables.findWorker(plan->worker), 1);
    return true;
}

/// Returns true if the job may use the preemption plans. A job that was refused by admission may only replace its
/// victims, so that usage does not grow.
bool Engine::Impl::victimsOffsetUsage(
    const JobRecord& job, uint32_t count, FairShare::Admission admission, std::span<const PreemptionPlan> plans) const
{
    if (admission != FairShare::Admission::Refused || job.priority >= urgentPriority)
        return true;
    Resources released;
    for (const auto& plan : plans) {
        for (const auto& victim : plan.victims)
            released += tables.at(tables.findTask(victim.task)).limit.unpack();
    }
    return fits(multiply(job.effective, count).unpack(), released);
}

bool Engine::Impl::planGangVictims(JobIndex index, FairShare::Admission admission)
{
    auto& job = tables.at(index);
    const bool withinQuota = admission == FairShare::Admission::Quota;
    const PreemptionRequest request { tables.teams[job.team], job.effective.unpack(), job.priority, withinQuota };
    const auto limit = std::clamp<size_t>(2 * size_t { job.queuedTasks }, candidatesPerPlan, maxGangCandidates);
    const auto candidates = candidatesFor(job, withinQuota, limit);
    const auto plans = planGangPreemption(request, job.queuedTasks, candidates, preemptionOptions());
    if (plans.empty() || !victimsOffsetUsage(job, job.queuedTasks, admission, plans))
        return false;
    auto& claim = addClaim(index);
    claim.preempting = true;
    for (const auto& plan : plans) {
        executePlan(plan, index);
        addPart(claim, tables.findWorker(plan.worker), 1);
    }
    return true;
}

void Engine::Impl::executePlan(const PreemptionPlan& plan, JobIndex forJob)
{
    for (const auto& victim : plan.victims) {
        const auto task = tables.findTask(victim.task);
        if (task != TaskIndex::None && tables.at(task).occupiesWorker)
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
        if (!tables.at(member).occupiesWorker)
            continue;
        ++tables.at(member).preemptions;
        requestStop(member, reason, tables.at(member).checkpoint > 0 ? checkpointTime : Duration { 0 });
    }
}

} // namespace turmericpier::decision
