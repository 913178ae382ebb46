#include "decision/engine-impl.h"

#include <boost/json.hpp>

namespace turmericpier::decision {

namespace json = boost::json;

namespace {

    // Maximum length of the task and job lists, so that a dump of a large cell stays within the memory limit of the
    // process.
    constexpr size_t maxListed = 1'000;

    json::object toJson(const PackedResources& r)
    {
        return { { "milliCpu", r.cpu }, { "memoryMib", r.memory }, { "accelerators", r.accelerators } };
    }

    json::object toJson(const Resources& r)
    {
        return { { "milliCpu", r.cpu.value }, { "memoryMib", r.memory.value },
            { "accelerators", r.accelerators.value } };
    }

    std::string_view toString(TaskState state)
    {
        switch (state) {
        case TaskState::Waiting:
            return "waiting";
        case TaskState::Placed:
            return "placed";
        case TaskState::Running:
            return "running";
        case TaskState::Ended:
            break;
        }
        return "ended";
    }

    std::string_view toString(DecisionKind kind)
    {
        switch (kind) {
        case DecisionKind::Placed:
            return "placed";
        case DecisionKind::Backfilled:
            return "placed on capacity reserved for another job";
        case DecisionKind::Probed:
            return "placed to probe a quarantined worker";
        case DecisionKind::Preempted:
            return "preempted";
        case DecisionKind::Stopped:
            return "stop requested";
        case DecisionKind::Lost:
            return "lost with its worker or lease";
        case DecisionKind::Failed:
            return "failed";
        case DecisionKind::Refused:
            return "placement not committed";
        case DecisionKind::Reserved:
            return "capacity reserved";
        case DecisionKind::Parked:
            break;
        }
        return "parked";
    }

    std::string_view toString(JobKind kind)
    {
        switch (kind) {
        case JobKind::Batch:
            return "batch";
        case JobKind::Service:
            return "service";
        case JobKind::Gang:
            break;
        }
        return "gang";
    }

    std::string_view toString(WaitReason reason)
    {
        switch (reason) {
        case WaitReason::None:
            return "not tried yet";
        case WaitReason::NoCapacity:
            return "no worker has enough free capacity for the request";
        case WaitReason::OverQuota:
            return "the team is over its quota and no other team leaves quota idle";
        case WaitReason::NoWorkers:
            return "no worker has announced itself yet";
        case WaitReason::NoWorkerLargeEnough:
            return "the request exceeds every present worker";
        case WaitReason::WaitsForClaim:
            return "capacity is reserved but still used by running tasks";
        case WaitReason::TickBudget:
            break;
        }
        return "the tick reached its maximum number of placements";
    }

    double seconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

    json::object explainTask(const Tables& tables, const TaskRecord& task)
    {
        json::object out { { "index", task.index }, { "state", toString(task.state) } };
        if (task.occupiesWorker) {
            out["worker"] = tables.at(task.worker).id.str();
            out["epoch"] = task.epoch.value;
            out["limit"] = toJson(task.limit);
            out["stopping"] = task.stopping;
            out["workerLost"] = tables.at(task.worker).lost;
        }
        if (task.failures > 0)
            out["failures"] = task.failures;
        if (task.preemptions > 0)
            out["preemptions"] = task.preemptions;
        if (task.checkpoint > 0)
            out["checkpoint"] = task.checkpoint;
        return out;
    }

    json::object explainDecision(const Tables& tables, const History::Decision& decision)
    {
        json::object out { { "atSeconds", seconds(decision.at.sinceStart) }, { "what", toString(decision.kind) },
            { "task", decision.task }, { "request", toJson(decision.request) } };
        if (!decision.worker.empty())
            out["worker"] = decision.worker.str();
        if (decision.candidates > 0) {
            out["score"] = decision.score;
            out["workersCompared"] = decision.candidates;
            out["freeBefore"] = toJson(decision.free);
        }
        if (decision.otherJob == 0)
            return out;
        for (uint32_t i = 0; i < tables.jobSlots(); ++i) {
            const auto& other = tables.at(JobIndex { i });
            if (other.live && other.order == decision.otherJob)
                out["forJob"] = other.id.str();
        }
        return out;
    }

    /// Counts the workers that could run a waiting request now or when empty.
    json::object explainCapacity(const Tables& tables, const PackedResources& request)
    {
        uint64_t schedulable = 0;
        uint64_t largeEnough = 0;
        uint64_t workersWithRoom = 0;
        PackedResources largestFree;
        double largestShare = -1;
        for (uint32_t i = 0; i < tables.workerSlots(); ++i) {
            const auto& worker = tables.at(WorkerIndex { i });
            if (!worker.isSchedulable())
                continue;
            ++schedulable;
            largeEnough += request.fitsInto(worker.capacity) ? 1 : 0;
            workersWithRoom += request.fitsInto(worker.available()) ? 1 : 0;
            const auto share = dominantShare(worker.available(), worker.capacity);
            if (share > largestShare) {
                largestShare = share;
                largestFree = worker.available();
            }
        }
        return { { "workersTakingWork", schedulable }, { "workersLargeEnough", largeEnough },
            { "workersWithRoom", workersWithRoom }, { "largestFree", toJson(largestFree) } };
    }

    json::object explainWait(const Tables& tables, const FairShare& shares, const JobRecord& job, TimePoint now)
    {
        const auto& team = tables.teams[job.team];
        return { { "reason", toString(job.waitReason) }, { "tasks", job.queuedTasks },
            { "seconds", seconds(now - job.waitingSince) }, { "room", explainCapacity(tables, job.effective) },
            { "teamUsage", toJson(shares.usage(team)) }, { "teamQuota", toJson(shares.quota(team)) },
            { "teamDominantShare", shares.dominantShare(team) } };
    }

    json::object explainClaim(const Tables& tables, const Claim& claim)
    {
        json::array parts;
        for (const auto& part : claim.parts)
            parts.push_back(json::object { { "worker", tables.at(part.worker).id.str() }, { "tasks", part.tasks } });
        return { { "sinceSeconds", seconds(claim.since.sinceStart) }, { "waitsForTasksToEnd", claim.reservation },
            { "preempting", claim.preempting }, { "workers", std::move(parts) } };
    }

    json::object dumpWorker(const Tables& tables, const WorkerRecord& worker)
    {
        return { { "worker", worker.id.str() }, { "incarnation", worker.incarnation.value },
            { "dataCentre", tables.dataCentres.size() > 0 ? tables.dataCentres[worker.dataCentre].str() : "" },
            { "rack", tables.racks.size() > 0 ? tables.racks[worker.rack].str() : "" },
            { "announced", worker.announced }, { "lost", worker.lost }, { "draining", worker.draining },
            { "quarantined", worker.quarantined }, { "suspicion", worker.suspicion },
            { "capacity", toJson(worker.capacity) }, { "used", toJson(worker.used) },
            { "reserved", toJson(worker.reserved) }, { "stopping", toJson(worker.stopping) },
            { "tasks", worker.taskCount } };
    }

} // namespace

std::string Engine::Impl::explain(const JobId& id) const
{
    json::object out { { "job", id.str() } };
    const auto index = tables.findJob(id.str());
    json::array decisions;
    const auto addDecisions = [&](uint64_t order) {
        history.forEach(
            order, [&](const History::Decision& decision) { decisions.push_back(explainDecision(tables, decision)); });
        out["decisions"] = std::move(decisions);
    };
    if (index == JobIndex::None) {
        const auto* ended = history.findEnded(id);
        out["known"] = ended != nullptr;
        if (!ended)
            return json::serialize(out);
        out["state"] = ended->refused ? "refused" : "ended";
        out["outcome"] = turmericpier::toString(ended->outcome);
        out["reason"] = ended->reason;
        if (ended->order > 0)
            addDecisions(ended->order);
        return json::serialize(out);
    }
    const auto& job = tables.at(index);
    out["known"] = true;
    out["state"] = job.ending ? "ending" : job.queuedTasks > 0 ? "waiting" : "running";
    out["kind"] = toString(job.kind);
    out["team"] = tables.teams[job.team].str();
    out["priority"] = job.priority;
    out["request"] = toJson(job.request);
    out["requestUsed"] = toJson(job.effective == PackedResources {} ? job.request : job.effective);
    if (const auto it = endReasons.find(index); it != endReasons.end())
        out["reason"] = it->second;
    if (job.queuedTasks > 0)
        out["waits"] = explainWait(tables, shares, job, now);
    if (const auto it = claims.find(job.claim); it != claims.end())
        out["reserved"] = explainClaim(tables, it->second);
    json::array tasks;
    for (const auto task : job.tasks) {
        if (tasks.size() < maxListed)
            tasks.push_back(explainTask(tables, tables.at(task)));
    }
    out["tasks"] = std::move(tasks);
    addDecisions(job.order);
    return json::serialize(out);
}

std::string Engine::Impl::dump() const
{
    json::array workers;
    for (uint32_t i = 0; i < tables.workerSlots(); ++i) {
        if (const auto& worker = tables.at(WorkerIndex { i }); worker.live)
            workers.push_back(dumpWorker(tables, worker));
    }
    json::array jobs;
    for (uint32_t i = 0; i < tables.jobSlots() && jobs.size() < maxListed; ++i) {
        const auto& job = tables.at(JobIndex { i });
        if (job.live)
            jobs.push_back(json::object { { "job", job.id.str() }, { "kind", toString(job.kind) },
                { "team", tables.teams[job.team].str() }, { "priority", job.priority }, { "tasks", job.taskCount },
                { "queued", job.queuedTasks }, { "ended", job.endedTasks }, { "ending", job.ending },
                { "waits", toString(job.waitReason) } });
    }
    json::array teams;
    for (uint32_t i = 0; i < tables.teams.size(); ++i) {
        const auto& team = tables.teams[i];
        teams.push_back(json::object { { "team", team.str() }, { "quota", toJson(shares.quota(team)) },
            { "usage", toJson(shares.usage(team)) }, { "dominantShare", shares.dominantShare(team) },
            { "waitingJobs", i + 1 < queues.size() ? queues[i + 1].size() : 0 } });
    }
    json::array reserved;
    for (const auto& [claimId, claim] : claims) {
        auto item = explainClaim(tables, claim);
        item["job"] = tables.at(claim.job).id.str();
        reserved.push_back(std::move(item));
    }
    return json::serialize(json::object { { "atSeconds", seconds(now.sinceStart) }, { "nextEpoch", nextEpoch.value },
        { "workers", std::move(workers) }, { "jobCount", tables.jobCount() }, { "taskCount", tables.taskCount() },
        { "jobs", std::move(jobs) }, { "teams", std::move(teams) },
        { "criticalWaitingJobs", queues.empty() ? 0 : queues[0].size() }, { "reservations", std::move(reserved) },
        { "pacedRestarts", pacer.waiting() }, { "quarantinedWorkers", health.quarantinedWorkers() } });
}

} // namespace turmericpier::decision
