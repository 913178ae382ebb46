#include "decision/engine-impl.h"

#include <algorithm>

/// Reservations bound the wait of gangs and large tasks. A reservation covers the whole job, and other work keeps
/// running on the reserved workers until it ends; capacity that is free meanwhile is used by backfill.
namespace turmericpier::decision {

namespace {

    constexpr Duration reserveAfter = std::chrono::seconds(30);
    // Batch tasks that still run on reserved workers after this long are preempted. With 120 s, nine times as many
    // tasks were stopped as with 600 s (archive scenario of decision-quality-bench), and packing was no better.
    constexpr Duration preemptAfter = std::chrono::seconds(600);
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
    auto options = reservationOptions(job, needed);
    if (options.size() < needed)
        return;
    // Where the least has to become free; a worker takes further tasks at their additional cost.
    const auto byMissing = [](const ReservationOption& a, const ReservationOption& b) {
        return std::tuple(a.missing, a.task, a.worker) < std::tuple(b.missing, b.task, b.worker);
    };
    std::nth_element(options.begin(), options.begin() + needed - 1, options.end(), byMissing);
    options.resize(needed);
    std::sort(options.begin(), options.end(), byMissing);
    auto& claim = addClaim(index);
    claim.reservation = true;
    ++reservations;
    for (const auto& option : options)
        addPart(claim, option.worker, 1);
}

/// All ways to make room for one more task of the job.
std::vector<ReservationOption> Engine::Impl::reservationOptions(const JobRecord& job, uint32_t needed) const
{
    std::vector<ReservationOption> out;
    for (uint32_t i = 0; i < tables.workerSlots(); ++i) {
        const auto& worker = tables.at(WorkerIndex { i });
        if (!worker.takesWork())
            continue;
        const auto potential = worker.capacity - worker.reserved - worker.lasting;
        const auto tasks = timesFitting(job.effective, potential, needed);
        double before = 0;
        for (uint32_t task = 1; task <= tasks; ++task) {
            const auto missing = std::max(
                0.0, dominantShare(times(job.effective, task) - worker.available() - worker.stopping, worker.capacity));
            out.push_back({ missing - before, task, WorkerIndex { i } });
            before = missing;
        }
    }
    return out;
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
