#include "decision/engine-impl.h"

#include <algorithm>

/// Claims keep capacity for a waiting job until running tasks have released it.
namespace turmericpier::decision {

namespace {

    // A claim that has not become ready after this time is dropped, and its job is planned again.
    constexpr Duration claimTimeout = std::chrono::seconds(45);

} // namespace

Claim& Engine::Impl::addClaim(JobIndex index)
{
    auto& job = tables.at(index);
    job.claim = nextClaim++;
    job.waitReason = WaitReason::WaitsForClaim;
    auto& claim = claims[job.claim];
    claim = { .job = index, .request = job.effective, .since = now };
    recordDecision(DecisionKind::Reserved, job, nullptr);
    claimsDirty = true;
    return claim;
}

void Engine::Impl::addPart(Claim& claim, WorkerIndex worker, uint32_t tasks)
{
    // The parts of a gang are checked together, so that each worker must have only one part.
    const auto same = std::find_if(
        claim.parts.begin(), claim.parts.end(), [&](const Claim::Part& part) { return part.worker == worker; });
    if (same != claim.parts.end() && tables.at(claim.job).kind == JobKind::Gang)
        same->tasks += tasks;
    else
        claim.parts.push_back({ worker, tasks });
    const auto amount = multiply(claim.request, tasks);
    tables.at(worker).reserved += amount;
    totalsOf(tables.at(claim.job).team).claimed += amount.unpack();
    refreshWorker(worker);
}

void Engine::Impl::unreservePart(const Claim& claim, const Claim::Part& part)
{
    const auto amount = multiply(claim.request, part.tasks);
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
        unreservePart(claim, part);
        refreshWorker(part.worker);
    }
    if (tables.at(claim.job).claim == id)
        tables.at(claim.job).claim = 0;
    dirty = true; // refreshWorker() has recorded which workers have more capacity available.
}

TeamTotals& Engine::Impl::totalsOf(uint32_t team)
{
    if (teamTotals.size() <= team)
        teamTotals.resize(team + 1);
    return teamTotals[team];
}

FairShare::Admission Engine::Impl::admissionOf(const JobRecord& job, uint32_t count) const
{
    auto wanted = multiply(job.effective, count).unpack();
    if (job.team < teamTotals.size())
        wanted += teamTotals[job.team].claimed;
    return shares.admission(tables.teams[job.team], wanted);
}

bool Engine::Impl::isReady(const Claim& claim, const Claim::Part& part, bool withoutBackfill) const
{
    const auto& worker = tables.at(part.worker);
    auto free = worker.capacity - worker.used;
    if (withoutBackfill)
        free += worker.backfill;
    return multiply(claim.request, part.tasks).fitsInto(free);
}

/// Places the tasks whose claimed capacity has become free.
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
        if (placementBudget == 0) {
            claimsDirty = true;
            return;
        }
        auto& claim = it->second;
        const auto& job = tables.at(claim.job);
        // The learned task size may have changed since the capacity was claimed.
        const bool stale = (!claim.reservation && now > claim.since + claimTimeout) || job.effective != claim.request;
        if (job.queuedTasks == 0 || stale || progressClaim(claim))
            dropClaim(id);
    }
}

/// Returns true if the claim is complete or no longer useful and has to be dropped.
bool Engine::Impl::progressClaim(Claim& claim)
{
    auto& job = tables.at(claim.job);
    const auto place = [&](const Claim::Part& part) {
        unreservePart(claim, part);
        for (uint32_t i = 0; i < part.tasks && job.queuedTasks > 0; ++i)
            placeTaskOn(nextQueued(job), part.worker);
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
        return true; // The claim covers fewer tasks than the gang needs now.
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

void Engine::Impl::placeTaskOn(TaskIndex task, WorkerIndex worker)
{
    const Choice choice { .worker = worker, .candidates = 1 };
    allocate(task, choice);
    emitPlacement(task, choice);
}

} // namespace turmericpier::decision
