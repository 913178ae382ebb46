#include "decision/engine-impl.h"

#include <algorithm>

/// Reservations bound the waiting time of gangs and large tasks. Tasks that run on reserved workers continue until they
/// end. Reserved capacity that is free in the meantime is used by backfill tasks.
namespace turmericpier::decision {

namespace {

    // Waiting time after which a job may get a reservation.
    constexpr Duration reservationDelay = std::chrono::seconds(30);
    // Batch tasks that still run on reserved workers after this time are preempted. 120 s instead of 600 s stopped nine
    // times as many tasks in the archive scenario of decision-quality-bench without improving the packing.
    constexpr Duration reservationPreemptionDelay = std::chrono::seconds(600);
    // Planning a reservation examines all workers, so that its rate is limited.
    constexpr Duration reservationPlanInterval = std::chrono::seconds(1);
    // A single task gets a reservation only if it takes at least this share of one of the largest workers.
    constexpr double largeTaskShare = 0.25;
    constexpr uint32_t workersPerReservation = 25;
    constexpr uint32_t maxReservations = 8;

} // namespace

/// Returns true if the tasks fit into the resources that no team uses within its quota. Resources that are borrowed
/// now, also by the team itself, count as available because they become free as tasks end.
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
    return fits(owned + multiply(job.effective, count).unpack(), lendable);
}

void Engine::Impl::reserve(JobIndex index, FairShare::Admission admission)
{
    auto& job = tables.at(index);
    if (job.claim != 0 || now < nextReservation || now < job.waitingSince + reservationDelay)
        return;
    const auto allowed = std::clamp<uint32_t>(this->index.size() / workersPerReservation, 1, maxReservations);
    if (reservations >= allowed)
        return;
    if (job.kind != JobKind::Gang
        && std::none_of(maximalCapacities.begin(), maximalCapacities.end(),
            [&](const auto& c) { return dominantShare(job.effective, c) >= largeTaskShare; }))
        return;
    nextReservation = now + reservationPlanInterval;
    const auto needed = job.kind == JobKind::Gang ? job.queuedTasks : 1;
    if (admission == FairShare::Admission::Refused && !mayBorrowMore(job, needed))
        return;
    auto options = reservationOptions(job, needed);
    if (options.size() < needed)
        return;
    // Selects the options for which the least capacity has to become free. Options of the same worker have the
    // additional cost of each further task.
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

/// Returns all options to reserve capacity for one more task of the job, at most `needed` per worker.
std::vector<ReservationOption> Engine::Impl::reservationOptions(const JobRecord& job, uint32_t needed) const
{
    std::vector<ReservationOption> out;
    for (uint32_t i = 0; i < tables.workerSlots(); ++i) {
        const auto& worker = tables.at(WorkerIndex { i });
        if (!worker.isSchedulable())
            continue;
        const auto potential = worker.capacity - worker.reserved - worker.longLived;
        const auto tasks = countFitting(job.effective, potential, needed);
        double before = 0;
        for (uint32_t task = 1; task <= tasks; ++task) {
            const auto missing = std::max(0.0,
                dominantShare(multiply(job.effective, task) - worker.available() - worker.stopping, worker.capacity));
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

/// Preempts batch tasks of the same or lower priority that delay a reservation for too long.
void Engine::Impl::preemptForReservation(Claim& claim)
{
    if (claim.preempting || now < claim.since + reservationPreemptionDelay)
        return;
    claim.preempting = true;
    const auto& job = tables.at(claim.job);
    for (const auto& part : claim.parts) {
        if (isReady(claim, part, false))
            continue;
        auto candidate = candidateOf(part.worker);
        // The capacity held by the claim itself is available to its job.
        candidate.free += multiply(claim.request, part.tasks).unpack();
        const PreemptionRequest request { tables.teams[job.team], multiply(claim.request, part.tasks).unpack(),
            job.priority + 1, true };
        if (const auto plan = planPreemption(request, std::span(&candidate, 1), preemptionOptions()))
            executePlan(*plan, claim.job);
        else
            claim.preempting = false; // Tried again when the claim is next checked.
    }
}

} // namespace turmericpier::decision
