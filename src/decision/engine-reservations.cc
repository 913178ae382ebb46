#include "decision/engine-impl.h"

#include <algorithm>

/// Reservations bound the wait of gangs and large tasks. A reservation covers the whole job, and other work keeps
/// running on the reserved workers until it ends; capacity that is free meanwhile is used by backfill.
namespace turmericpier::decision {

namespace {

    constexpr Duration reserveAfter = std::chrono::seconds(30);
    // Batch tasks that still run on reserved workers after this long are preempted.
    constexpr Duration preemptAfter = std::chrono::seconds(120);
    // Planning looks at all workers, so that it is done rarely.
    constexpr Duration planPeriod = std::chrono::seconds(1);
    // A single task is worth a reservation if it takes this share of the largest worker.
    constexpr double largeShare = 0.25;
    constexpr uint32_t workersPerReservation = 25;
    constexpr uint32_t maxReservations = 8;

} // namespace

/// True if the tasks fit into what no team uses within its quota. What is borrowed now, also by the team itself,
/// becomes free as tasks end.
bool Engine::Impl::mayBorrowMore(const JobRecord& job, uint32_t count) const
{
    Resources owned;
    Resources quotas;
    for (uint32_t i = 0; i < tables.teams.size(); ++i) {
        const auto& team = tables.teams[i];
        owned += shares.usage(team) - shares.excess(team);
        quotas += shares.quota(team);
    }
    const Resources lendable { std::max(capacity.cpu, quotas.cpu), std::max(capacity.memory, quotas.memory),
        std::max(capacity.accelerators, quotas.accelerators) };
    return fits(owned + times(job.effective, count).unpack(), lendable);
}

void Engine::Impl::reserve(JobIndex index, FairShare::Admission admission)
{
    auto& job = tables.at(index);
    if (job.claim != 0 || now < nextReservation || now < job.waitingSince + reserveAfter)
        return;
    const auto allowed = std::clamp<uint32_t>(this->index.size() / workersPerReservation, 1, maxReservations);
    if (reservations >= allowed)
        return;
    if (job.kind != JobKind::Gang && std::none_of(largest.begin(), largest.end(), [&](const auto& c) {
            return dominantShare(job.effective, c) >= largeShare;
        }))
        return;
    nextReservation = now + planPeriod;
    const auto needed = job.kind == JobKind::Gang ? job.queuedTasks : 1;
    if (admission == FairShare::Admission::Refused && !mayBorrowMore(job, needed))
        return;
    struct Option {
        PackedResources free;
        uint32_t tasks;
        uint32_t tasksNow; ///< That fit already.
        WorkerIndex worker;
    };
    std::vector<Option> options;
    for (uint32_t i = 0; i < tables.workerSlots(); ++i) {
        const auto& worker = tables.at(WorkerIndex { i });
        if (!worker.takesWork())
            continue;
        const auto potential = worker.capacity - worker.reserved - worker.lasting;
        const auto tasks = timesFitting(job.effective, potential, job.queuedTasks);
        if (tasks > 0)
            options.push_back({ worker.available(), tasks,
                timesFitting(job.effective, worker.available(), job.queuedTasks), WorkerIndex { i } });
    }
    // Workers on which most is free already are complete soonest.
    std::sort(options.begin(), options.end(), [](const Option& a, const Option& b) {
        return std::tuple(b.tasksNow, b.free.cpu, a.worker) < std::tuple(a.tasksNow, a.free.cpu, b.worker);
    });
    uint64_t total = 0;
    for (const auto& option : options)
        total += option.tasks;
    if (total < needed)
        return;
    auto& claim = addClaim(index);
    claim.reservation = true;
    ++reservations;
    uint32_t left = needed;
    for (const auto& option : options) {
        if (left == 0)
            break;
        const auto tasks = std::min(option.tasks, left);
        addPart(claim, option.worker, tasks);
        left -= tasks;
    }
}

void Engine::Impl::stopBackfill(Claim& claim)
{
    if (claim.preempting)
        return;
    claim.preempting = true;
    for (const auto& part : claim.parts) {
        forEachTaskOn(part.worker, [&](TaskIndex task) {
            if (tables.at(task).backfill)
                preempt(task, tables.at(task).checkpoint > 0 ? preemptionOptions().checkpointTime : Duration { 0 },
                    claim.job);
        });
    }
}

/// Stops batch tasks of no higher priority that keep a reservation waiting for too long.
void Engine::Impl::preemptForReservation(Claim& claim)
{
    if (claim.preempting || now < claim.since + preemptAfter)
        return;
    claim.preempting = true;
    const auto& job = tables.at(claim.job);
    for (const auto& part : claim.parts) {
        if (isReady(claim, part, false))
            continue;
        auto candidate = candidateOf(part.worker);
        // The claim itself is not in the way.
        candidate.free += times(claim.request, part.tasks).unpack();
        const PreemptionRequest request { tables.teams[job.team], times(claim.request, part.tasks).unpack(),
            job.priority + 1, true };
        if (const auto plan = planPreemption(request, std::span(&candidate, 1), preemptionOptions()))
            carryOut(*plan, claim.job);
        else
            claim.preempting = false; // tried again when something changes
    }
}

} // namespace turmericpier::decision
