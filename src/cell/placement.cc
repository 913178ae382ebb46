#include "cell/placement.h"

#include <algorithm>
#include <string_view>

namespace turmericpier::cell::detail {

namespace {
    // Costs are in units of one recent failure or of one empty worker. A task on a rack away from its data takes
    // several times as long, which is worse than running on a worker with some failures.
    constexpr double remoteDataCost = 10;
    // A task that has failed should not run on a second faulty worker, because its number of attempts is small.
    constexpr double noRecentSuccessCost = 5;
    // A task under which a worker has crashed may crash the next one, with all that runs there.
    constexpr double taskAtRiskCost = 0.5; // For each task beside a suspected one.
    constexpr double suspectNearbyCost = 5;
    // Lower than the cost of one additional worker for a step of several tasks.
    constexpr double fullnessWeight = 0.1;
    // Members of a gang on one worker, as far as the others have room. The members wait for each other for some
    // seconds, and the orders to one worker share a few connections.
    constexpr uint64_t gangMembersPerWorker = 256;

    // Tasks on one worker. The answer to a poll lists each of them, and a process reads only answers of a limited size.
    constexpr uint64_t maxTasksPerWorker = 20'000;

    uint64_t tasksOfStepOn(const PendingStep& pending, const Candidate& candidate)
    {
        const auto& placed = candidate.record->tasksOfStep;
        const auto found = placed.find(pending.key);
        const auto planned = pending.planned.find(candidate.record->worker.serial);
        return (found == placed.end() ? 0 : found->second) + (planned == pending.planned.end() ? 0 : planned->second);
    }

    const record::TaskT* findTask(const PendingStep& pending, uint32_t index)
    {
        return pending.tasks ? pending.tasks->tasks[index].get() : nullptr;
    }

    /// A worker with the number of members that it has capacity for.
    struct GangRoom {
        Candidate* candidate = nullptr;
        uint64_t capacity = 0;
        double cost = 0;
    };

    uint64_t roomOf(const std::vector<GangRoom>& rooms, uint64_t mostPerWorker)
    {
        uint64_t sum = 0;
        for (const auto& room : rooms)
            sum += std::min(room.capacity, mostPerWorker);
        return sum;
    }

    /// Keeps the workers of the first rack that has the capacity for all members, if there is one.
    void keepOneRack(std::vector<GangRoom>& rooms, uint64_t members)
    {
        std::map<std::string_view, uint64_t> racks;
        for (const auto& room : rooms)
            racks[room.candidate->record->worker.rack] += room.capacity;
        const auto found = std::ranges::find_if(racks, [&](const auto& rack) { return rack.second >= members; });
        if (found != racks.end())
            std::erase_if(rooms, [&](const auto& room) { return room.candidate->record->worker.rack != found->first; });
    }

    /// Fills the workers in the order of their costs. The last members go to the worker that suits them best.
    GangPlacement fill(const PendingStep& pending, const std::vector<GangRoom>& rooms, uint64_t mostPerWorker)
    {
        GangPlacement placement;
        uint64_t remaining = pending.step->count;
        for (auto it = rooms.begin(); remaining > 0; ++it) {
            const auto capacity = std::min(it->capacity, mostPerWorker);
            if (capacity < remaining) {
                placement.emplace_back(it->candidate, capacity);
                remaining -= capacity;
                continue;
            }
            const auto best = std::min_element(it, rooms.end(), [&](const GangRoom& a, const GangRoom& b) {
                const auto costFor = [&](const GangRoom& room) {
                    return std::pair(std::min(room.capacity, mostPerWorker) < remaining,
                        costOf(pending, *room.candidate, {}, remaining));
                };
                return costFor(a) < costFor(b);
            });
            placement.emplace_back(best->candidate, remaining);
            break;
        }
        return placement;
    }
} // namespace

TaskHistory historyOf(const PendingStep& pending, uint32_t index)
{
    const auto* task = findTask(pending, index);
    return task ? TaskHistory { task->failures > 0, task->suspicions > 0, task->failed_on } : TaskHistory {};
}

uint32_t lastRunOf(const PendingStep& pending, uint32_t index)
{
    const auto* task = findTask(pending, index);
    return task ? task->run : 0;
}

bool isCompatible(const PendingStep& pending, const Candidate& candidate)
{
    const auto& worker = candidate.record->worker;
    if (worker.service != pending.queue->service)
        return false;
    const auto& needs = pending.step->needs;
    return needs.empty() || std::ranges::find(worker.labels, needs) != worker.labels.end();
}

uint64_t capacityFor(const PendingStep& pending, const Candidate& candidate, uint64_t most)
{
    const auto& step = *pending.step;
    // The amount by which a filling task disturbs tasks with a latency target is not known in advance.
    if ((step.fills && candidate.hasLatencyTarget) || (step.target_ms > 0 && candidate.hasFillingTask)
        || !fits(occupancyOf(step), candidate.free))
        return 0;
    const auto tasks = candidate.record->placed.size() + candidate.plannedTasks;
    most = std::min(most, maxTasksPerWorker - std::min<uint64_t>(maxTasksPerWorker, tasks));
    if (step.max_per_worker > 0) {
        const auto present = tasksOfStepOn(pending, candidate);
        most = std::min<uint64_t>(most, step.max_per_worker - std::min<uint64_t>(step.max_per_worker, present));
    }
    return countThatFit(occupancyOf(step), candidate.free, most);
}

bool canStart(const PendingStep& pending, const Candidate& candidate)
{
    return candidate.startRoom > 0 && capacityFor(pending, candidate, 1) > 0;
}

double costOf(const PendingStep& pending, const Candidate& candidate, const TaskHistory& history, uint64_t count)
{
    const auto& worker = candidate.record->worker;
    const auto& step = *pending.step;
    double cost = candidate.penalty;
    if (history.failed && !candidate.recentlySuccessful)
        cost += noRecentSuccessCost;
    if (candidate.hasSuspectedTask)
        cost += suspectNearbyCost;
    if (history.suspected)
        cost += taskAtRiskCost * static_cast<double>(candidate.record->placed.size() + candidate.plannedTasks);
    if (!step.data_rack.empty() && step.data_rack != worker.rack)
        cost += remoteDataCost;
    auto capacity = countThatFit(occupancyOf(step), candidate.free, count);
    if (step.max_per_worker > 0)
        capacity = std::min<uint64_t>(capacity, step.max_per_worker);
    cost += 1 - static_cast<double>(capacity) / static_cast<double>(count);
    const auto cpu = std::max<double>(1, static_cast<double>(worker.cpu));
    return cost + fullnessWeight * static_cast<double>(candidate.free.cpu.value) / cpu;
}

Candidate* chooseCandidate(const PendingStep& pending, const TaskHistory& history, uint64_t count,
    const std::vector<Candidate*>& workers, bool forLater)
{
    Candidate* best = nullptr;
    double bestCost = 0;
    for (auto* candidate : workers) {
        const auto serial = candidate->record->worker.serial;
        if ((history.avoidedWorker != 0 && serial == history.avoidedWorker)
            || !(forLater ? capacityFor(pending, *candidate, 1) > 0 : canStart(pending, *candidate)))
            continue;
        const auto cost = costOf(pending, *candidate, history, count);
        if (!best || cost < bestCost) {
            best = candidate;
            bestCost = cost;
        }
    }
    return best;
}

void reserveCapacity(PendingStep& pending, Candidate& candidate, uint64_t count)
{
    const auto& step = *pending.step;
    candidate.free -= occupancyOf(step) * static_cast<int64_t>(count);
    candidate.hasLatencyTarget |= step.target_ms > 0;
    candidate.hasFillingTask |= step.fills;
    candidate.plannedTasks += static_cast<uint32_t>(count);
    if (step.max_per_worker > 0)
        pending.planned[candidate.record->worker.serial] += count;
}

GangPlacement placeGang(const PendingStep& pending, const std::vector<Candidate*>& workers)
{
    const uint64_t members = pending.step->count;
    std::vector<GangRoom> rooms;
    for (auto* candidate : workers) {
        if (const auto capacity = capacityFor(pending, *candidate, members); capacity > 0)
            rooms.push_back({ candidate, capacity, costOf(pending, *candidate, {}, members) });
    }
    if (roomOf(rooms, members) < members)
        return {};
    if (pending.step->same_rack)
        keepOneRack(rooms, members);
    std::ranges::stable_sort(rooms, {}, &GangRoom::cost);
    auto mostPerWorker = gangMembersPerWorker;
    while (roomOf(rooms, mostPerWorker) < members)
        mostPerWorker *= 2;
    return fill(pending, rooms, mostPerWorker);
}

} // namespace turmericpier::cell::detail
