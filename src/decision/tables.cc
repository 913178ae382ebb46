#include "decision/tables.h"

#include <charconv>

namespace turmericpier::decision {

TaskId taskIdOf(const JobId& job, uint32_t index)
{
    std::array<char, 10> digits;
    const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), index).ptr;
    std::string text;
    text.reserve(job.str().size() + 1 + (end - digits.data()));
    text.append(job.str()).append(1, '.').append(digits.data(), end);
    return TaskId(std::move(text));
}

Tables::Tables()
    : m_jobIndex(0, JobHash { &m_jobs }, JobEqual { &m_jobs })
{
}

WorkerIndex Tables::findWorker(const WorkerId& id) const
{
    const auto it = m_workerIndex.find(id);
    return it == m_workerIndex.end() ? WorkerIndex::None : WorkerIndex { it->second };
}

WorkerIndex Tables::addWorker(const WorkerId& id)
{
    auto index = static_cast<uint32_t>(m_workers.size());
    if (m_freeWorkers.empty()) {
        m_workers.emplace_back();
    } else {
        index = m_freeWorkers.back();
        m_freeWorkers.pop_back();
        m_workers[index] = {};
    }
    m_workers[index].id = id;
    m_workers[index].live = true;
    m_workerIndex[id] = index;
    return WorkerIndex { index };
}

void Tables::removeWorker(WorkerIndex worker)
{
    m_workerIndex.erase(at(worker).id);
    at(worker) = {};
    m_freeWorkers.push_back(raw(worker));
}

JobIndex Tables::findJob(std::string_view id) const
{
    const auto it = m_jobIndex.find(id);
    return it == m_jobIndex.end() ? JobIndex::None : JobIndex { *it };
}

JobIndex Tables::addJob(const JobId& id)
{
    auto index = static_cast<uint32_t>(m_jobs.size());
    if (m_freeJobs.empty()) {
        m_jobs.emplace_back();
    } else {
        index = m_freeJobs.back();
        m_freeJobs.pop_back();
    }
    m_jobs[index].id = id;
    m_jobs[index].live = true;
    m_jobIndex.insert(index);
    return JobIndex { index };
}

void Tables::removeJob(JobIndex job)
{
    for (const auto task : at(job).tasks) {
        at(task) = {};
        m_freeTasks.push_back(raw(task));
    }
    m_jobIndex.erase(raw(job));
    at(job) = {};
    m_freeJobs.push_back(raw(job));
}

TaskIndex Tables::addTask(JobIndex job)
{
    auto index = static_cast<uint32_t>(m_tasks.size());
    if (m_freeTasks.empty()) {
        m_tasks.emplace_back();
    } else {
        index = m_freeTasks.back();
        m_freeTasks.pop_back();
    }
    auto& task = m_tasks[index];
    task.job = job;
    task.index = static_cast<uint32_t>(at(job).tasks.size());
    at(job).tasks.push_back(TaskIndex { index });
    return TaskIndex { index };
}

TaskIndex Tables::findTask(const TaskId& id) const
{
    const std::string_view text = id.str();
    const auto dot = text.rfind('.');
    if (dot == std::string_view::npos)
        return TaskIndex::None;
    uint32_t index = 0;
    const auto [end, error] = std::from_chars(text.data() + dot + 1, text.data() + text.size(), index);
    if (error != std::errc() || end != text.data() + text.size())
        return TaskIndex::None;
    const auto job = findJob(text.substr(0, dot));
    if (job == JobIndex::None || index >= at(job).tasks.size())
        return TaskIndex::None;
    return at(job).tasks[index];
}

void Tables::occupy(TaskIndex index, WorkerIndex workerIndex, const PackedResources& limit)
{
    auto& task = at(index);
    auto& worker = at(workerIndex);
    task.limit = limit;
    task.worker = workerIndex;
    task.occupiesWorker = true;
    task.previous = TaskIndex::None;
    task.next = worker.firstTask;
    if (worker.firstTask != TaskIndex::None)
        at(worker.firstTask).previous = index;
    worker.firstTask = index;
    ++worker.taskCount;
    worker.used += limit;
    if (task.backfill)
        worker.backfill += limit;
    if (canBePreempted(at(task.job)))
        worker.preemptible += limit;
    if (isLongLived(at(task.job)))
        worker.longLived += limit;
}

void Tables::vacate(TaskIndex index)
{
    auto& task = at(index);
    auto& worker = at(task.worker);
    if (task.next != TaskIndex::None)
        at(task.next).previous = task.previous;
    if (task.previous != TaskIndex::None)
        at(task.previous).next = task.next;
    else
        worker.firstTask = task.next;
    --worker.taskCount;
    worker.used -= task.limit;
    if (task.backfill)
        worker.backfill -= task.limit;
    if (task.stopping)
        worker.stopping -= task.limit;
    else if (canBePreempted(at(task.job)))
        worker.preemptible -= task.limit;
    if (isLongLived(at(task.job)))
        worker.longLived -= task.limit;
    task.worker = WorkerIndex::None;
    task.previous = TaskIndex::None;
    task.next = TaskIndex::None;
    task.occupiesWorker = false;
    task.stopping = false;
    task.backfill = false;
    task.probe = false;
}

} // namespace turmericpier::decision
