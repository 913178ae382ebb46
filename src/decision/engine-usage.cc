#include "decision/engine-impl.h"

#include <algorithm>

/// Usage reports: learning of task sizes, and relief of workers before they run out of resources.
namespace turmericpier::decision {

namespace {

    // Share of the capacity above which planRelief() is called. It applies its own, higher bounds.
    constexpr double reliefThreshold = 0.85;
    // Share of the processor capacity below which throttling is lifted.
    constexpr double throttleLiftThreshold = 0.75;

    int32_t growthPerSecond(int32_t before, int32_t after, Duration elapsed)
    {
        const auto seconds = std::chrono::duration<double>(elapsed).count();
        return seconds < 0.1 ? 0 : static_cast<int32_t>((after - before) / seconds);
    }

} // namespace

void Engine::Impl::on(const WorkerReport& event)
{
    const auto worker = tables.findWorker(event.worker);
    if (worker == WorkerIndex::None)
        return;
    for (const auto& usage : event.usage)
        recordUsage(worker, usage);
    relieve(worker);
}

void Engine::Impl::recordUsage(WorkerIndex worker, const TaskUsage& usage)
{
    const auto index = tables.findTask(usage.task);
    if (index == TaskIndex::None)
        return; // Reports may arrive after the end of a job.
    auto& task = tables.at(index);
    if (!task.occupiesWorker || task.epoch != usage.epoch || task.worker != worker) {
        // An older epoch of a task that was placed again must not keep running.
        if (usage.epoch < task.epoch)
            actions.push_back(StopTask { usage.task, tables.at(worker).id, usage.epoch, "the task was placed again" });
        return;
    }
    if (task.state == TaskState::Placed)
        on(TaskStarted { usage.task, usage.epoch });
    const PackedResources used(usage.usage);
    if (task.reportedAt > TimePoint {})
        task.memoryGrowth = growthPerSecond(task.usedMemory, used.memory, now - task.reportedAt);
    task.usedCpu = used.cpu;
    task.usedMemory = used.memory;
    task.peakCpu = std::max(task.peakCpu, used.cpu);
    task.peakMemory = std::max(task.peakMemory, used.memory);
    task.reportedAt = now;
    const auto& family = tables.families[tables.at(task.job).family];
    if (!family.empty())
        sizes.recordUsage(family.str(),
            { usage.task, PackedResources(task.peakCpu, task.peakMemory, task.limit.accelerators).unpack(),
                task.limit.unpack(), now - task.since, false, tables.at(task.job).request.unpack() });
}

void Engine::Impl::relieve(WorkerIndex index)
{
    const auto& worker = tables.at(index);
    int64_t cpu = 0;
    int64_t memory = 0;
    int64_t growing = 0;
    bool throttled = false;
    for (auto task = worker.firstTask; task != TaskIndex::None; task = tables.at(task).next) {
        const auto& record = tables.at(task);
        cpu += record.usedCpu;
        memory += record.usedMemory;
        growing += std::max(record.memoryGrowth, 0);
        throttled = throttled || record.throttledCpu > 0;
    }
    const ReliefOptions bounds;
    const auto projected = memory + growing * std::chrono::duration_cast<std::chrono::seconds>(bounds.horizon).count();
    if (projected <= reliefThreshold * worker.capacity.memory && cpu <= reliefThreshold * worker.capacity.cpu) {
        if (throttled && cpu <= throttleLiftThreshold * worker.capacity.cpu)
            liftThrottles(index);
        return;
    }
    std::vector<TaskLoad> loads;
    for (auto task = worker.firstTask; task != TaskIndex::None; task = tables.at(task).next)
        loads.push_back(loadOf(tables.at(task)));
    for (const auto& relief : planRelief(worker.capacity.unpack(), loads, bounds)) {
        const auto task = tables.findTask(relief.task);
        if (relief.kind == Relief::Kind::Throttle) {
            throttle(task, relief.cpu);
            continue;
        }
        // Counted as a preemption. Otherwise a task that needs more than any worker has would be moved forever.
        ++tables.at(task).preemptions;
        requestStop(
            task, relief.reason, tables.at(task).checkpoint > 0 ? preemptionOptions().checkpointTime : Duration { 0 });
    }
}

TaskLoad Engine::Impl::loadOf(const TaskRecord& task) const
{
    const auto& job = tables.at(task.job);
    TaskLoad out { tables.idOf(task), PackedResources(task.usedCpu, task.usedMemory, 0).unpack(), task.limit.unpack(),
        { task.memoryGrowth }, job.priority };
    out.canResume = task.checkpoint > 0;
    out.movable = !task.stopping && task.preemptions < policies[job.policy].policy.maxPreemptions
        && (job.kind != JobKind::Service || spareReplicas(job) > 0);
    return out;
}

void Engine::Impl::throttle(TaskIndex index, MilliCpu cpu)
{
    auto& task = tables.at(index);
    const PackedResources limit(static_cast<int32_t>(cpu.value), task.limit.memory, task.limit.accelerators);
    if (task.stopping || task.throttledCpu == limit.cpu)
        return;
    task.throttledCpu = limit.cpu;
    actions.push_back(ThrottleTask { tables.idOf(task), tables.at(task.worker).id, task.epoch, limit.unpack() });
}

void Engine::Impl::liftThrottles(WorkerIndex index)
{
    forEachTaskOn(index, [this](TaskIndex i) {
        auto& task = tables.at(i);
        if (task.throttledCpu == 0 || task.stopping)
            return;
        task.throttledCpu = 0;
        actions.push_back(
            ThrottleTask { tables.idOf(task), tables.at(task.worker).id, task.epoch, task.limit.unpack() });
    });
}

} // namespace turmericpier::decision
