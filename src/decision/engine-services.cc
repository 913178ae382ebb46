#include "decision/engine-impl.h"

#include <algorithm>

/// Services: number of replicas, moves away from draining workers and the minimum of available replicas.
namespace turmericpier::decision {

namespace {

    // A replica on a draining worker whose replacement could not be placed for this time is stopped if enough other
    // replicas run, so that the drain can complete.
    constexpr Duration moveTimeout = std::chrono::seconds(30);

    struct Replicas {
        std::vector<TaskIndex> waiting;
        std::vector<TaskIndex> staying;
        std::vector<TaskIndex> draining; ///< Keep running until their replacements have started.
        uint32_t stayingStarted = 0;
    };

    Replicas classifyReplicas(const Tables& tables, const JobRecord& job)
    {
        Replicas out;
        for (const auto index : job.tasks) {
            const auto& task = tables.at(index);
            if (task.state == TaskState::Waiting)
                out.waiting.push_back(index);
            if (!task.occupiesWorker || task.stopping || tables.at(task.worker).lost)
                continue;
            if (tables.at(task.worker).draining) {
                out.draining.push_back(index);
            } else {
                out.staying.push_back(index);
                out.stayingStarted += task.state == TaskState::Running ? 1 : 0;
            }
        }
        return out;
    }

} // namespace

/// Adjusts the number of replicas to the declared one. A replica on a lost or draining worker is replaced by another
/// task of the service, so that the replacement can start while the old replica may still run.
void Engine::Impl::reconcileService(JobIndex index)
{
    auto& job = tables.at(index);
    if (job.ending)
        return;
    auto replicas = classifyReplicas(tables, job);
    const auto byEpoch = [this](TaskIndex a, TaskIndex b) { return tables.at(a).epoch < tables.at(b).epoch; };
    std::sort(replicas.staying.begin(), replicas.staying.end(), byEpoch);
    while (replicas.staying.size() > job.taskCount) {
        requestStop(replicas.staying.back(), "more replicas than declared");
        replicas.stayingStarted -= tables.at(replicas.staying.back()).state == TaskState::Running ? 1 : 0;
        replicas.staying.pop_back();
    }
    const auto need = job.taskCount - replicas.staying.size();
    while (replicas.waiting.size() > need) {
        const auto task = replicas.waiting.back();
        replicas.waiting.pop_back();
        if (!tables.at(task).queued)
            pacer.remove(tables.idOf(tables.at(task)));
        dequeueTask(task);
        markEnded(task);
    }
    const bool belowFloor = isBelowFloor(job);
    for (size_t i = 0; replicas.waiting.size() < need; ++i) {
        if (i == job.tasks.size()) {
            tables.addTask(index);
        } else if (tables.at(job.tasks[i]).state == TaskState::Ended) {
            tables.at(job.tasks[i]).state = TaskState::Waiting;
            --job.endedTasks;
        } else {
            continue;
        }
        const auto task = job.tasks[i];
        tables.at(task).checkpoint = 0;
        replicas.waiting.push_back(task);
        pacer.add({ tables.idOf(tables.at(task)), job.priority, belowFloor });
    }
    while (!replicas.draining.empty() && replicas.stayingStarted + replicas.draining.size() > job.taskCount) {
        requestStop(replicas.draining.back(), "a replacement runs on another worker");
        replicas.draining.pop_back();
    }
    job.moving = !replicas.draining.empty();
    if (job.moving)
        movingServices.emplace(job.order, index);
    else
        movingServices.erase({ job.order, index });
    if (job.inQueue)
        enqueueJob(index); // Moves the job to the other queue if the minimum of replicas was crossed.
}

uint32_t Engine::Impl::runningReplicas(const JobRecord& job) const
{
    return static_cast<uint32_t>(std::count_if(job.tasks.begin(), job.tasks.end(), [this](TaskIndex index) {
        const auto& task = tables.at(index);
        return task.state == TaskState::Running && !task.stopping && !tables.at(task.worker).lost;
    }));
}

uint32_t Engine::Impl::spareReplicas(const JobRecord& job) const
{
    const auto running = runningReplicas(job);
    return running > job.minAvailable ? running - job.minAvailable : 0;
}

bool Engine::Impl::isBelowFloor(const JobRecord& job) const
{
    return job.kind == JobKind::Service && job.minAvailable > 0 && runningReplicas(job) < job.minAvailable;
}

void Engine::Impl::stopStuckDrainingReplicas()
{
    const auto services = movingServices;
    for (const auto& [order, index] : services) {
        const auto& job = tables.at(index);
        if (job.queuedTasks == 0 || now < job.waitingSince + moveTimeout || spareReplicas(job) == 0)
            continue;
        const auto replicas = classifyReplicas(tables, job);
        if (!replicas.draining.empty())
            requestStop(
                replicas.draining.front(), "the worker is draining and no worker has capacity for a replacement");
    }
}

} // namespace turmericpier::decision
