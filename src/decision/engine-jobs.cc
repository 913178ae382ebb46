#include "decision/engine-impl.h"

#include <absl/strings/str_format.h>
#include <algorithm>

/// Submission, refusal, parking, queueing and completion of jobs.
namespace turmericpier::decision {

namespace {

    // A parked job that exceeds every worker is refused only after this time has passed since the first announcement of
    // a worker, because larger workers may announce themselves a little later after a start.
    constexpr Duration firstAnnouncementGracePeriod = std::chrono::seconds(60);
    constexpr uint32_t maxTasksPerJob = 1'000'000;

    PackedResources componentMaximum(const std::vector<PackedResources>& list)
    {
        PackedResources out;
        for (const auto& r : list) {
            out = { std::max(out.cpu, r.cpu), std::max(out.memory, r.memory),
                std::max(out.accelerators, r.accelerators) };
        }
        return out;
    }

} // namespace

std::string toText(const Resources& r)
{
    return absl::StrFormat(
        "%d mCPU, %d MiB memory, %d accelerators", r.cpu.value, r.memory.value, r.accelerators.value);
}

/// Describes why the request fits no worker. Names the exceeded resource and the worker with the most of it, or the
/// worker with the most processors if only the combination of resources is exceeded.
std::string Engine::Impl::largestWorkerText(const PackedResources& request) const
{
    const auto maximum = componentMaximum(maximalCapacities);
    std::string_view resource;
    int32_t PackedResources::*member = &PackedResources::cpu;
    if (request.cpu > maximum.cpu) {
        resource = "processors";
    } else if (request.memory > maximum.memory) {
        resource = "memory";
        member = &PackedResources::memory;
    } else if (request.accelerators > maximum.accelerators) {
        resource = "accelerators";
        member = &PackedResources::accelerators;
    } else {
        resource = "the combination of resources";
    }
    const auto worker = std::max_element(maximalCapacities.begin(), maximalCapacities.end(),
        [member](const auto& a, const auto& b) { return a.*member < b.*member; });
    return absl::StrFormat("a task requests %s; %s exceeds every worker; the largest has %s", toText(request.unpack()),
        resource, toText(worker->unpack()));
}

bool Engine::Impl::fitsAnyAnnounced(const PackedResources& request) const
{
    return std::any_of(
        maximalCapacities.begin(), maximalCapacities.end(), [&](const auto& c) { return request.fitsInto(c); });
}

bool Engine::Impl::refuseImpossible(const Job& job)
{
    std::string reason;
    const PackedResources request(job.request);
    if (!isValid(job.request) || job.request == Resources {})
        reason = "the request " + toText(job.request) + " is empty or negative";
    else if (job.tasks == 0 || job.tasks > maxTasksPerJob)
        reason = absl::StrFormat("the job has %d tasks; the allowed range is 1 to %d", job.tasks, maxTasksPerJob);
    else if (!maximalCapacities.empty() && !fitsAnyAnnounced(request))
        reason = largestWorkerText(request);
    if (reason.empty())
        return false;
    history.addEnded({ job.id, 0, true, Outcome::NotRun, reason });
    actions.push_back(RefuseJob { job.id, std::move(reason) });
    return true;
}

void Engine::Impl::on(const JobSubmitted& event)
{
    const auto& submitted = event.job;
    if (tables.findJob(submitted.id.str()) != JobIndex::None || (!event.accepted && refuseImpossible(submitted)))
        return;
    const auto index = tables.addJob(submitted.id);
    auto& job = tables.at(index);
    job.team = static_cast<uint16_t>(tables.teams.intern(submitted.team));
    job.policy = static_cast<uint16_t>(tables.policies.intern(submitted.policy));
    if (policies.size() <= job.policy || !policies[job.policy].score)
        on(PolicyChanged { Policy { .id = submitted.policy } }); // Default settings until the policy is received.
    job.family = tables.families.intern(Id<struct FamilyTag>(submitted.family));
    job.kind = submitted.kind;
    job.taskCount = submitted.tasks;
    job.priority = submitted.priority;
    job.minAvailable = std::min(submitted.minAvailable, submitted.tasks);
    job.request = PackedResources(submitted.request);
    job.declaredSeconds = static_cast<uint32_t>(
        std::clamp<int64_t>(submitted.declaredRunTime / std::chrono::seconds(1), 0, UINT32_MAX));
    job.order = nextOrder++;
    job.tasks.reserve(submitted.tasks);
    for (uint32_t i = 0; i < submitted.tasks; ++i)
        tables.addTask(index);
    for (const auto task : job.tasks)
        enqueueTask(task);
    if (!fitsAnyAnnounced(job.request))
        parkedJobs.emplace(job.order, index);
    if (maximalCapacities.empty() && !event.accepted)
        park(index, "no worker has announced itself yet", WaitReason::NoWorkers);
}

void Engine::Impl::park(JobIndex index, std::string reason, WaitReason why)
{
    auto& job = tables.at(index);
    job.waitReason = why;
    if (job.parked)
        return;
    job.parked = true;
    recordDecision(DecisionKind::Parked, job, nullptr);
    actions.push_back(JobParked { job.id, std::move(reason) });
}

void Engine::Impl::recheckParked()
{
    if (parkedJobs.empty() || !firstWorkerAnnouncedAt || now < *firstWorkerAnnouncedAt + firstAnnouncementGracePeriod)
        return;
    for (const auto& [order, index] : std::exchange(parkedJobs, {})) {
        const auto& request = tables.at(index).request;
        // Tasks that are not queued were placed before, so that a worker of sufficient size exists and may return.
        if (fitsAnyAnnounced(request) || tables.at(index).queuedTasks < tables.at(index).tasks.size())
            continue;
        endJob(index, largestWorkerText(request), true);
    }
}

void Engine::Impl::on(const JobCancelled& event)
{
    const auto index = tables.findJob(event.job.str());
    if (index != JobIndex::None && !tables.at(index).ending)
        endJob(index, "cancelled");
}

void Engine::Impl::endJob(JobIndex index, std::string reason, bool refused)
{
    auto& job = tables.at(index);
    job.ending = true;
    job.stopPending = false;
    dequeueJob(index);
    if (job.claim != 0)
        dropClaim(job.claim);
    for (const auto task : job.tasks) {
        if (tables.at(task).state == TaskState::Waiting) {
            if (!tables.at(task).queued && pacer.waiting() > 0)
                pacer.remove(tables.idOf(tables.at(task)));
            dequeueTask(task);
            markEnded(task);
        } else if (tables.at(task).occupiesWorker) {
            requestStop(task, reason);
        }
    }
    endReasons[index] = std::move(reason);
    finishIfDone(index, refused);
}

bool Engine::Impl::finishIfDone(JobIndex index, bool refused)
{
    auto& job = tables.at(index);
    if (job.endedTasks < job.tasks.size() || (job.kind == JobKind::Service && !job.ending))
        return false;
    std::string reason;
    if (const auto it = endReasons.find(index); it != endReasons.end()) {
        reason = std::move(it->second);
        endReasons.erase(it);
    }
    const auto outcome = job.everStarted ? Outcome::Ran : job.everPlaced ? Outcome::Unknown : Outcome::NotRun;
    history.addEnded({ job.id, job.order, refused, outcome, reason });
    if (refused)
        actions.push_back(RefuseJob { job.id, std::move(reason) });
    else
        actions.push_back(JobDone { job.id, outcome, std::move(reason) });
    dequeueJob(index);
    if (job.claim != 0)
        dropClaim(job.claim);
    parkedJobs.erase({ job.order, index });
    movingServices.erase({ job.order, index });
    health.jobEnded(job.id);
    if (!failedOn.empty()) {
        for (const auto task : job.tasks)
            failedOn.erase(task);
    }
    tables.removeJob(index);
    return true;
}

WaitQueue& Engine::Impl::queue(uint32_t number)
{
    if (queues.size() <= number)
        queues.resize(std::max<size_t>(number + 1, tables.teams.size() + 1));
    return queues[number];
}

void Engine::Impl::updateWaiting(uint32_t number)
{
    if (number > 0)
        shares.setWaiting(tables.teams[number - 1], !queue(number).empty());
}

PackedResources Engine::Impl::effectiveRequest(const JobRecord& job) const
{
    const auto& family = tables.families[job.family];
    if (family.empty())
        return job.request;
    const auto estimate = sizes.estimate(family.str(), job.request.unpack(), std::chrono::seconds(job.declaredSeconds));
    const PackedResources size(estimate.size);
    const bool placeable = std::any_of(
        maximalCapacities.begin(), maximalCapacities.end(), [&](const auto& c) { return size.fitsInto(c); });
    return placeable && isValid(estimate.size) ? size : job.request;
}

void Engine::Impl::enqueueTask(TaskIndex index)
{
    auto& task = tables.at(index);
    if (task.queued || task.state != TaskState::Waiting)
        return;
    auto& job = tables.at(task.job);
    task.queued = true;
    if (job.queuedTasks++ == 0) {
        job.waitingSince = now;
        job.firstQueuedHint = task.index;
    }
    job.firstQueuedHint = std::min(job.firstQueuedHint, task.index);
    dirty = true;
    if (!job.inQueue)
        enqueueJob(task.job);
}

void Engine::Impl::dequeueTask(TaskIndex index)
{
    auto& task = tables.at(index);
    if (!task.queued)
        return;
    task.queued = false;
    if (--tables.at(task.job).queuedTasks == 0)
        dequeueJob(task.job);
}

void Engine::Impl::enqueueJob(JobIndex index)
{
    auto& job = tables.at(index);
    const bool critical = job.priority >= urgentPriority || isBelowFloor(job);
    if (job.inQueue && job.critical == critical)
        return;
    dequeueJob(index);
    job.effective = effectiveRequest(job);
    job.inQueue = true;
    job.critical = critical;
    auto& target = queue(job.waitQueueNumber());
    const bool wasEmpty = target.empty();
    target.insert(job.key(), { job.order, index });
    if (wasEmpty)
        updateWaiting(job.waitQueueNumber());
    dirty = true;
}

void Engine::Impl::dequeueJob(JobIndex index)
{
    auto& job = tables.at(index);
    if (!job.inQueue)
        return;
    job.inQueue = false;
    queue(job.waitQueueNumber()).erase(job.key(), { job.order, index });
    if (queue(job.waitQueueNumber()).empty())
        updateWaiting(job.waitQueueNumber());
}

} // namespace turmericpier::decision
