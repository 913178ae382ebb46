#include "decision/engine-impl.h"

#include <algorithm>
#include <array>

/// Selects the next waiting task and the worker on which it is placed.
namespace turmericpier::decision {

namespace {

    constexpr size_t candidateLimit = 16;
    // Number of candidates for a replica whose best candidate shares a rack with another replica.
    constexpr size_t spreadCandidateLimit = 96;
    constexpr size_t backfillCandidateLimit = 16;
    // Maximum number of tasks of one job that are placed before the next team is selected.
    constexpr uint32_t tasksPerTurn = 8;
    // An attempt costs time for each task of the gang, so that it must not be repeated for each task that ends.
    constexpr Duration gangRetryInterval = std::chrono::milliseconds(100);
    // Maximum number of unplaceable requests that are remembered for the rest of a round.
    constexpr size_t maxUnplaceableRequests = 16;
    // Penalties: a suspect worker ranks below any healthy one, and a worker on which the task has failed ranks below a
    // suspect one.
    constexpr double suspicionWeight = 50;
    constexpr double failedHereWeight = 100;

    uint64_t replicaKey(JobIndex job, uint32_t place, bool rack)
    {
        return uint64_t { raw(job) } << 32 | uint64_t { rack } << 31 | place;
    }

} // namespace

void Engine::Impl::updateMaxFreedCapacity()
{
    maxFreedCapacity = {};
    for (const auto worker : freedWorkers) {
        if (!index.contains(worker))
            continue;
        const auto& free = index.freeOn(worker);
        maxFreedCapacity = { std::max(maxFreedCapacity.cpu, free.cpu), std::max(maxFreedCapacity.memory, free.memory),
            std::max(maxFreedCapacity.accelerators, free.accelerators) };
    }
}

/// Returns false if all classes of the queue were tried before and none fits into the capacity freed since then.
bool Engine::Impl::mayFitFreedCapacity(const WaitQueue& waiting) const
{
    return !waiting.empty()
        && (fullRound || waiting.hasUntriedClass() || waiting.minimumRequest().fitsInto(maxFreedCapacity));
}

/// Returns false if not even the smallest request of the team would be admitted.
bool Engine::Impl::isAdmitted(uint32_t number) const
{
    return shares.admission(tables.teams[number - 1], queues[number].minimumRequest().unpack())
        != FairShare::Admission::Refused;
}

/// Runs one round over the waiting jobs. Unless a full round was requested, only new classes and classes that fit into
/// freed capacity are tried, so that an event in a full cell does not cost time for each team and class.
void Engine::Impl::placeWaiting()
{
    dirty = false;
    retryRequested = false;
    unplaceableRequests.clear();
    queue(tables.teams.size()); // Grows the list of queues now, because rounds hold pointers into it.
    updateMaxFreedCapacity();
    WaitQueue::Round critical(queues[0], true, maxFreedCapacity);
    const bool complete = placeQueue(critical) && placeTeams();
    if (complete) {
        fullRound = retryRequested;
        freedWorkers.clear();
    }
    dirty = dirty || retryRequested || !complete;
}

/// Tries to place the job and advances the round. Returns true unless the job was blocked.
bool Engine::Impl::tryAndAdvance(WaitQueue::Round& round, JobIndex job)
{
    const auto attempt = tryJob(job);
    // Once capacity is claimed for a job, the next job of its class may get a claim as well.
    if (attempt == Attempt::Placed || (attempt == Attempt::Blocked && tables.at(job).claim != 0))
        round.next();
    else if (attempt == Attempt::Blocked)
        round.blockClass();
    if (attempt != Attempt::Blocked && !fullRound)
        updateMaxFreedCapacity();
    return attempt != Attempt::Blocked;
}

/// Tries the jobs of the queue in order. Returns false if the placement budget is exhausted.
bool Engine::Impl::placeQueue(WaitQueue::Round& round)
{
    while (const auto entry = round.current()) {
        if (placementBudget == 0)
            return false;
        tryAndAdvance(round, entry->job);
    }
    return true;
}

/// Tries the teams in fair-share order. Returns false if the placement budget is exhausted.
bool Engine::Impl::placeTeams()
{
    absl::flat_hash_map<uint32_t, WaitQueue::Round> rounds; // Never iterated.
    std::vector<uint32_t> exhausted;
    std::vector<uint32_t> possible;
    for (uint32_t number = 1; number < queues.size(); ++number) {
        if (mayFitFreedCapacity(queues[number]) && (fullRound || isAdmitted(number)))
            possible.push_back(number);
    }
    bool complete = true;
    while (!possible.empty()) {
        const auto team = shares.next();
        if (!team)
            break;
        const auto number = tables.teams.intern(*team) + 1;
        if (const auto it = std::find(possible.begin(), possible.end(), number); it != possible.end()) {
            auto& round = rounds.try_emplace(number, queues[number], fullRound, maxFreedCapacity).first->second;
            if (const auto entry = round.current()) {
                if (placementBudget == 0) {
                    complete = false;
                    break;
                }
                if (tryAndAdvance(round, entry->job)) {
                    if (!fullRound)
                        std::erase_if(possible, [this](uint32_t n) { return !mayFitFreedCapacity(queues[n]); });
                    continue;
                }
                if (fullRound || tables.at(entry->job).waitReason != WaitReason::OverQuota || isAdmitted(number))
                    continue;
            }
            possible.erase(it);
        }
        shares.setWaiting(*team, false); // Skips the team for the rest of the round.
        exhausted.push_back(number);
    }
    for (const auto number : exhausted)
        updateWaiting(number);
    return complete;
}

Engine::Impl::Attempt Engine::Impl::tryJob(JobIndex index)
{
    auto& job = tables.at(index);
    if (job.kind == JobKind::Gang)
        return tryGang(index);
    return tryTasks(index);
}

TaskIndex Engine::Impl::nextQueued(JobRecord& job) const
{
    while (!tables.at(job.tasks[job.firstQueuedHint]).queued)
        ++job.firstQueuedHint;
    return job.tasks[job.firstQueuedHint];
}

Engine::Impl::Attempt Engine::Impl::tryTasks(JobIndex index)
{
    auto& job = tables.at(index);
    const bool urgent = job.priority >= urgentPriority;
    for (uint32_t placed = 0; placed < tasksPerTurn && job.queuedTasks > 0; ++placed) {
        if (placementBudget == 0)
            return Attempt::BudgetExhausted;
        const auto admission = admissionOf(job, 1);
        if (!urgent && admission == FairShare::Admission::Refused) {
            recordBlockedJob(index, WaitReason::OverQuota);
            claimFor(index, admission);
            return Attempt::Blocked;
        }
        const auto task = nextQueued(job);
        Choice choice;
        if (!chooseWorker(job, task, choice)) {
            recordBlockedJob(index, WaitReason::NoCapacity);
            claimFor(index, admission);
            return Attempt::Blocked;
        }
        allocate(task, choice);
        emitPlacement(task, choice);
    }
    return job.queuedTasks == 0 ? Attempt::Placed : Attempt::MoreQueued;
}

Engine::Impl::Attempt Engine::Impl::tryGang(JobIndex index)
{
    auto& job = tables.at(index);
    const auto admission = admissionOf(job, job.queuedTasks);
    if (job.priority < urgentPriority && admission == FairShare::Admission::Refused) {
        recordBlockedJob(index, WaitReason::OverQuota);
        claimFor(index, admission);
        return Attempt::Blocked;
    }
    std::vector<TaskIndex> placed;
    bool done = false;
    if ((fullRound || now >= job.retryAt) && !isKnownUnplaceable(job.effective, job.queuedTasks)) {
        // A single data centre is preferred, because the tasks of a gang communicate with each other.
        for (uint16_t dc = 0; dc < this->index.dataCentres() && !done; ++dc)
            done = tryGangIn(index, dc, placed);
        done = done || tryGangIn(index, std::nullopt, placed);
        if (!done)
            recordUnplaceableRequest(job.effective, job.queuedTasks);
    }
    if (!done) {
        recordBlockedJob(index, WaitReason::NoCapacity);
        claimFor(index, admission);
        job.retryAt = std::max(job.retryAt, now + gangRetryInterval);
        return Attempt::Blocked;
    }
    for (const auto task : placed)
        emitPlacement(task, { tables.at(task).worker, 0, static_cast<uint32_t>(placed.size()) });
    return Attempt::Placed;
}

bool Engine::Impl::tryGangIn(JobIndex index, std::optional<uint16_t> dataCentre, std::vector<TaskIndex>& placed)
{
    auto& job = tables.at(index);
    const PackedResources free(dataCentre ? this->index.freeOf(*dataCentre) : this->index.free());
    uint32_t left = job.queuedTasks;
    if (countFitting(job.effective, free, left) < left)
        return false;
    std::vector<TaskIndex> waiting;
    for (const auto task : job.tasks) {
        if (tables.at(task).queued)
            waiting.push_back(task);
    }
    size_t position = 0;
    while (position < waiting.size()) {
        const auto order = policyOf(job).order;
        if (dataCentre)
            this->index.findIn(*dataCentre, job.effective, order, candidateLimit, searchResults);
        else
            this->index.find(job.effective, order, candidateLimit, searchResults);
        Choice choice;
        scoreCandidates(job, waiting[position], choice);
        if (choice.worker == WorkerIndex::None)
            break;
        const auto fitting = countFitting(
            job.effective, tables.at(choice.worker).available(), static_cast<uint32_t>(waiting.size() - position));
        for (uint32_t i = 0; i < fitting; ++i)
            allocate(waiting[position++], choice);
    }
    if (position == waiting.size()) {
        placed = std::move(waiting);
        return true;
    }
    for (size_t i = 0; i < position; ++i)
        undoAllocation(waiting[i]);
    return false;
}

void Engine::Impl::recordBlockedJob(JobIndex index, WaitReason reason)
{
    auto& job = tables.at(index);
    const auto former = std::exchange(job.waitReason, job.claim != 0 ? WaitReason::WaitsForClaim : reason);
    if (reason != WaitReason::NoCapacity || former == reason || job.parked || maximalCapacities.empty())
        return;
    // Checked when the job is first blocked for lack of capacity: it may fit none of the present workers.
    for (uint32_t i = 0; i < tables.workerSlots(); ++i) {
        const auto& worker = tables.at(WorkerIndex { i });
        if (worker.live && worker.announced && job.request.fitsInto(worker.capacity))
            return;
    }
    park(index, "a task requests " + toText(job.request.unpack()) + ", more than any present worker has",
        WaitReason::NoWorkerLargeEnough);
}

bool Engine::Impl::isKnownUnplaceable(const PackedResources& request, uint32_t count) const
{
    return std::any_of(unplaceableRequests.begin(), unplaceableRequests.end(),
        [&](const auto& failure) { return failure.first.fitsInto(request) && failure.second <= count; });
}

void Engine::Impl::recordUnplaceableRequest(const PackedResources& request, uint32_t count)
{
    std::erase_if(unplaceableRequests,
        [&](const auto& failure) { return request.fitsInto(failure.first) && count <= failure.second; });
    if (unplaceableRequests.size() < maxUnplaceableRequests)
        unplaceableRequests.emplace_back(request, count);
}

bool Engine::Impl::chooseWorker(const JobRecord& job, TaskIndex task, Choice& choice)
{
    if (chooseProbe(job, task, choice))
        return true;
    if (!isKnownUnplaceable(job.effective, 1)) {
        if (job.kind == JobKind::Service) {
            if (chooseSpread(job, task, choice))
                return true;
        } else {
            index.find(job.effective, policies[job.policy].order, candidateLimit, searchResults);
            scoreCandidates(job, task, choice);
            if (choice.worker != WorkerIndex::None)
                return true;
        }
        recordUnplaceableRequest(job.effective, 1);
    }
    return chooseBackfill(job, task, choice);
}

/// Chooses a worker in the data centre with the fewest replicas and, if possible, in a rack without any.
bool Engine::Impl::chooseSpread(const JobRecord& job, TaskIndex task, Choice& choice)
{
    const auto jobIndex = tables.at(task).job;
    std::vector<std::pair<uint32_t, uint16_t>> order;
    for (uint16_t dc = 0; dc < index.dataCentres(); ++dc) {
        if (index.sizeOf(dc) > 0)
            order.emplace_back(replicasIn(jobIndex, dc, false), dc);
    }
    std::sort(order.begin(), order.end());
    for (const auto& [count, dc] : order) {
        index.findIn(dc, job.effective, SearchOrder::BothEnds, candidateLimit, searchResults);
        scoreCandidates(job, task, choice);
        if (choice.worker == WorkerIndex::None)
            continue;
        if (replicasIn(jobIndex, tables.at(choice.worker).rack, true) > 0) {
            index.findIn(dc, job.effective, SearchOrder::BothEnds, spreadCandidateLimit, searchResults);
            scoreCandidates(job, task, choice);
        }
        return true;
    }
    return false;
}

/// Chooses a quarantined worker that is due for a probe. Only a batch task that has not failed yet is used as a probe.
bool Engine::Impl::chooseProbe(const JobRecord& job, TaskIndex task, Choice& choice)
{
    if (probes.empty() || job.kind != JobKind::Batch || job.priority >= urgentPriority || tables.at(task).failures > 0)
        return false;
    for (const auto worker : probes) {
        if (!job.effective.fitsInto(tables.at(worker).available()))
            continue;
        choice = { .worker = worker, .candidates = 1, .probe = true };
        return true;
    }
    return false;
}

/// Chooses a worker with reserved capacity that is still unused. Backfill tasks are stopped once the rest of the
/// reserved capacity is free. Declared run times are not taken into account.
bool Engine::Impl::chooseBackfill(const JobRecord& job, TaskIndex task, Choice& choice)
{
    if (reservations == 0 || job.kind != JobKind::Batch || job.priority >= urgentPriority || job.claim != 0
        || tables.at(task).preemptions >= policies[job.policy].policy.maxPreemptions)
        return false;
    size_t examined = 0;
    for (const auto& [id, claim] : claims) {
        if (!claim.reservation || claim.preempting || tables.at(claim.job).priority < job.priority)
            continue;
        for (size_t i = 0; i < claim.parts.size() && examined < backfillCandidateLimit; ++i, ++examined) {
            const auto worker = claim.parts[(i + backfillCursor) % claim.parts.size()].worker;
            const auto& record = tables.at(worker);
            if (!record.isSchedulable() || !job.effective.fitsInto(record.capacity - record.used))
                continue;
            backfillCursor += static_cast<uint32_t>(i);
            choice = { .worker = worker, .candidates = 1, .backfill = true };
            return true;
        }
    }
    backfillCursor += backfillCandidateLimit;
    return false;
}

/// Chooses the worker in `searchResults` with the highest score. Ties go to the lower worker id.
void Engine::Impl::scoreCandidates(const JobRecord& job, TaskIndex task, Choice& choice)
{
    const auto& score = policies[job.policy].score;
    const auto jobIndex = tables.at(task).job;
    const auto failed = failedOn.empty() ? failedOn.end() : failedOn.find(task);
    choice = { .candidates = static_cast<uint32_t>(searchResults.size()) };
    for (const auto index : searchResults) {
        const auto& worker = tables.at(index);
        ScoreInput input { job.effective.unpack(), worker.available().unpack(), worker.capacity.unpack() };
        if (job.kind == JobKind::Service) {
            input.sameJobInRack = replicasIn(jobIndex, worker.rack, true);
            input.sameJobInDataCentre = replicasIn(jobIndex, worker.dataCentre, false);
        }
        auto value = score(input) - suspicionWeight * worker.suspicion;
        if (failed != failedOn.end()
            && std::find(failed->second.begin(), failed->second.end(), index) != failed->second.end())
            value -= failedHereWeight;
        if (choice.worker == WorkerIndex::None || value > choice.score
            || (value == choice.score && worker.id < tables.at(choice.worker).id)) {
            choice.worker = index;
            choice.score = value;
        }
    }
}

/// Allocates capacity for the task. Until emitPlacement() is called, undoAllocation() reverts it.
void Engine::Impl::allocate(TaskIndex index, const Choice& choice)
{
    auto& task = tables.at(index);
    auto& job = tables.at(task.job);
    task.state = TaskState::Placed;
    task.backfill = choice.backfill;
    task.probe = choice.probe;
    tables.occupy(index, choice.worker, job.effective);
    refreshWorker(choice.worker);
}

void Engine::Impl::undoAllocation(TaskIndex index)
{
    const auto worker = tables.at(index).worker;
    tables.vacate(index);
    tables.at(index).state = TaskState::Waiting;
    // refreshWorker() would record freed capacity, but no more is available than before the attempt.
    this->index.update(worker, tables.at(worker).dataCentre, tables.at(worker).available());
}

void Engine::Impl::emitPlacement(TaskIndex index, const Choice& choice)
{
    auto& task = tables.at(index);
    auto& job = tables.at(task.job);
    task.epoch = nextEpoch;
    nextEpoch = nextEpoch.next();
    task.since = now;
    task.checkpointAt = {};
    task.reportedAt = {};
    task.usedCpu = task.usedMemory = task.peakCpu = task.peakMemory = task.memoryGrowth = 0;
    shares.addUsage(tables.teams[job.team], task.limit.unpack());
    if (job.kind == JobKind::Service)
        countReplica(task, 1);
    if (choice.probe) {
        tables.at(choice.worker).probing = true;
        health.probeStarted(tables.at(choice.worker).id);
        std::erase(probes, choice.worker);
    }
    const auto kind = choice.probe ? DecisionKind::Probed
        : choice.backfill          ? DecisionKind::Backfilled
                                   : DecisionKind::Placed;
    recordDecision(kind, job, &task, &choice);
    const auto& worker = tables.at(task.worker);
    actions.push_back(PlaceTask {
        { tables.idOf(task), worker.id, task.epoch, task.limit.unpack(), worker.incarnation }, task.checkpoint });
    timers.add(now + leaseWithSkewBound(), TimerKind::StartTimeout, index, task.epoch);
    placementBudget -= placementBudget > 0 ? 1 : 0;
    dequeueTask(index);
}

uint32_t Engine::Impl::replicasIn(JobIndex job, uint32_t place, bool rack) const
{
    const auto it = replicaCounts.find(replicaKey(job, place, rack));
    return it == replicaCounts.end() ? 0 : it->second;
}

void Engine::Impl::countReplica(const TaskRecord& task, int change)
{
    const auto& worker = tables.at(task.worker);
    for (const bool rack : { false, true }) {
        const auto key = replicaKey(task.job, rack ? worker.rack : worker.dataCentre, rack);
        auto& count = replicaCounts[key];
        count += change;
        if (count == 0)
            replicaCounts.erase(key);
    }
}

} // namespace turmericpier::decision
