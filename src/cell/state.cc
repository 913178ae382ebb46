#include "turmericpier/cell/state.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <utility>

namespace turmericpier::cell {

using record::EndKind;
using record::JobState;
using record::TaskState;

namespace {
    std::unique_ptr<record::OccurrenceT> newOccurrence(const record::JobT& job, uint32_t number)
    {
        auto occurrence = std::make_unique<record::OccurrenceT>();
        occurrence->number = number;
        for (const auto& step : job.steps) {
            auto tasks = std::make_unique<record::StepTasksT>();
            for (uint32_t i = 0; i < step->count; ++i)
                tasks->tasks.push_back(std::make_unique<record::TaskT>());
            occurrence->steps.push_back(std::move(tasks));
        }
        return occurrence;
    }

    record::OccurrenceT* findMutableOccurrence(record::JobT& job, uint32_t number)
    {
        return const_cast<record::OccurrenceT*>(findOccurrence(job, number));
    }

    bool precedes(const std::unique_ptr<record::OccurrenceT>& occurrence, uint32_t number)
    {
        return occurrence->number < number;
    }

    uint64_t countTasks(const record::JobT& job)
    {
        uint64_t tasks = 0;
        for (const auto& step : job.steps)
            tasks += step->count;
        return tasks * occurrenceCount(job);
    }

    /// Returns true if the checkpoint of a gang is kept at its first member only, because a copy for each member at the
    /// end of each member would take a time that grows with the square of their number.
    bool sharesCheckpoint(const record::StepT& step) { return step.gang && step.count > maxListedGang; }

    record::TaskT* taskIn(record::OccurrenceT* occurrence, uint32_t step, uint32_t index)
    {
        if (!occurrence || step >= occurrence->steps.size() || index >= occurrence->steps[step]->tasks.size())
            return nullptr;
        return occurrence->steps[step]->tasks[index].get();
    }

    // A string is in the state, in the snapshot that is being made, in the last one or two that were, and in the log.
    // Of the other fields these copies take far less than the state.
    constexpr size_t copiesOfStrings = 5;

    /// Returns the memory of the record without its strings, with the overhead of the allocator.
    size_t recordBytes(const record::JobT& job)
    {
        constexpr size_t jobBytes = 512;
        constexpr size_t stepBytes = 320;
        size_t bytes = jobBytes + job.steps.size() * stepBytes;
        for (const auto& step : job.steps)
            bytes += step->after.size() * sizeof(uint32_t);
        return bytes;
    }

    size_t stringBytes(const record::JobT& job)
    {
        size_t bytes = job.id.size() + job.queue.size() + job.tenant.size() + job.spec.size();
        for (const auto& step : job.steps)
            bytes += step->needs.size() + step->data_rack.size() + step->image.size();
        return bytes;
    }
} // namespace

std::string stepName(const TaskKey& task) { return absl::StrCat(task.job, ".", task.occurrence, ".", task.step); }

std::string taskName(const TaskKey& task) { return absl::StrCat(stepName(task), ".", task.index); }

std::string queueKey(std::string_view host, std::string_view prefix)
{
    std::string key(host);
    key += prefix;
    return key;
}

Resources capacityOf(const record::WorkerT& worker)
{
    return { MilliCpu { worker.cpu }, MemoryMib { worker.memory }, Accelerators { worker.accelerators } };
}

Resources occupancyOf(const record::StepT& step)
{
    return { MilliCpu { step.fills ? 0 : step.cpu }, MemoryMib { step.memory }, Accelerators { step.accelerators } };
}

const record::OccurrenceT* findOccurrence(const record::JobT& job, uint32_t number)
{
    const auto found = std::lower_bound(job.occurrences.begin(), job.occurrences.end(), number, precedes);
    return found != job.occurrences.end() && (*found)->number == number ? found->get() : nullptr;
}

uint32_t occurrenceCount(const record::JobT& job) { return std::max<uint32_t>(1, job.times); }

bool State::isReady(const record::JobT& job, uint32_t occurrence, uint32_t step) const
{
    const auto& after = job.steps[step]->after;
    if (after.empty())
        return true;
    const auto* found = findOccurrence(job, occurrence);
    return found
        && std::ranges::all_of(after, [&](uint32_t earlier) { return progressOf(*found->steps[earlier]).isDone(); });
}

size_t estimateRecordMemory(const record::JobT& job) { return recordBytes(job) + stringBytes(job); }

size_t estimateMemory(const record::JobT& job)
{
    constexpr size_t taskBytes = 144;
    constexpr size_t occurrenceBytes = 96;
    constexpr size_t stepTasksBytes = 224; // The tasks of a step in one occurrence, with their progress.
    return recordBytes(job) + copiesOfStrings * stringBytes(job) + countTasks(job) * taskBytes
        + occurrenceCount(job) * (occurrenceBytes + job.steps.size() * stepTasksBytes);
}

size_t estimateMemory(const record::WorkerT& worker)
{
    constexpr size_t workerBytes = 1'024; // With the indexes and the leader's session.
    size_t strings
        = worker.id.size() + worker.address.size() + worker.service.size() + worker.zone.size() + worker.rack.size();
    for (const auto& label : worker.labels)
        strings += sizeof(std::string) + label.size();
    return workerBytes + copiesOfStrings * strings;
}

void State::apply(const record::CommandT& command)
{
    m_timeMs = std::max(m_timeMs, command.time_ms);
    if (command.config)
        applyConfig(*command.config);
    for (const auto& job : command.submit)
        applySubmit(*job);
    for (const auto& id : command.cancel)
        applyCancel(id);
    for (const auto& end : command.ends)
        applyEnd(*end);
    for (const auto serial : command.gone)
        applyGone(serial);
    for (const auto& worker : command.workers)
        applyWorker(*worker);
    for (const auto& start : command.starts)
        applyStart(*start);
    for (const auto& id : command.forget)
        applyForget(id);
}

void State::applyConfig(const record::ConfigT& config)
{
    if (m_config && config.version <= m_config->version)
        return;
    m_config = std::make_unique<record::ConfigT>(config);
    for (auto& [key, queue] : m_queues)
        queue.active = false;
    for (const auto& queue : m_config->queues) {
        queue->active = true;
        m_queues[queueKey(queue->host, queue->prefix)] = *queue;
    }
    m_tenants.assign(m_config->tenants);
}

/// Stores a worker under its serial and its id, which no other worker has, and under its address.
void State::storeWorker(const record::WorkerT& worker, uint32_t serial)
{
    const auto [found, isNew] = m_workers.try_emplace(serial);
    auto& stored = found->second.worker;
    m_memory += estimateMemory(worker) - (isNew ? 0 : estimateMemory(stored));
    stored = worker;
    stored.serial = serial;
    m_workersById[worker.id] = serial;
    m_workersByAddress[worker.address].insert(serial);
}

void State::removeAddress(const record::WorkerT& worker)
{
    const auto found = m_workersByAddress.find(worker.address);
    found->second.erase(worker.serial);
    if (found->second.empty())
        m_workersByAddress.erase(found);
}

void State::applyWorker(const record::WorkerT& worker)
{
    const auto* known = findWorkerById(worker.id);
    if (known && known->worker.born_ms == worker.born_ms) {
        removeAddress(known->worker);
        return storeWorker(worker, known->worker.serial);
    }
    // A report of an earlier incarnation may arrive after a later one has registered under the same id or address.
    std::set<uint32_t> ended;
    if (known)
        ended.insert(known->worker.serial);
    if (const auto at = m_workersByAddress.find(worker.address); at != m_workersByAddress.end())
        ended.insert(at->second.begin(), at->second.end());
    if (std::ranges::any_of(
            ended, [&](uint32_t serial) { return m_workers.at(serial).worker.born_ms > worker.born_ms; }))
        return;
    for (const auto serial : ended)
        applyGone(serial);
    storeWorker(worker, m_nextSerial++);
}

void State::applyGone(uint32_t serial)
{
    const auto found = m_workers.find(serial);
    if (found == m_workers.end())
        return;
    const auto placed = found->second.placed;
    for (const auto& key : placed) {
        auto& job = *m_jobs.at(key.job);
        auto* task = taskIn(findMutableOccurrence(job, key.occurrence), key.step, key.index);
        release(job, key, *task);
        endTask(job, key, EndKind::Lapsed, "", serial);
    }
    removeAddress(found->second.worker);
    m_memory -= estimateMemory(found->second.worker);
    m_workersById.erase(found->second.worker.id);
    m_workers.erase(found);
}

void State::applySubmit(const record::JobT& job)
{
    if (m_jobs.contains(job.id))
        return;
    auto added = std::make_unique<record::JobT>(job);
    added->state = JobState::Open;
    added->occurrences.clear();
    added->ended_ms = 0;
    auto& stored = *added;
    m_memory += estimateMemory(stored);
    m_tenants.addJob(job.tenant);
    m_jobs.emplace(job.id, std::move(added));
    indexJob(stored);
}

void State::indexJob(record::JobT& job)
{
    auto& progress = m_jobProgress[&job];
    for (const auto& occurrence : job.occurrences) {
        for (const auto& step : occurrence->steps)
            progress.doneTasks += m_progress.try_emplace(step.get(), *step).first->second.done();
    }
    skipEndedOccurrences(job, progress);
    if (job.state != JobState::Open)
        return;
    m_openJobs[m_nextOrder] = &job;
    m_openJobOrder[job.id] = m_nextOrder++;
}

void State::applyCancel(const std::string& id)
{
    const auto found = m_jobs.find(id);
    if (found != m_jobs.end() && found->second->state == JobState::Open)
        closeJob(*found->second, JobState::Cancelled);
}

void State::closeJob(record::JobT& job, JobState state)
{
    job.state = state;
    job.ended_ms = m_timeMs;
    const auto found = m_openJobOrder.find(job.id);
    if (found == m_openJobOrder.end())
        return;
    m_openJobs.erase(found->second);
    m_openJobOrder.erase(found);
}

void State::place(const record::JobT& job, const TaskKey& key, const record::TaskT& task)
{
    const auto& step = *job.steps[key.step];
    auto& worker = m_workers.at(task.worker);
    worker.placed.insert(key);
    if (step.max_per_worker > 0)
        ++worker.tasksOfStep[stepOf(key)];
    worker.used += occupancyOf(step);
    worker.tasksWithTarget += step.target_ms > 0 ? 1 : 0;
    worker.fillingTasks += step.fills ? 1 : 0;
    worker.suspectedTasks += task.suspicions > 0 ? 1 : 0;
    m_tenants.addUsage(job.tenant, resourcesOf(step));
}

record::OccurrenceT& State::findOrCreateOccurrence(record::JobT& job, uint32_t number)
{
    const auto found = std::lower_bound(job.occurrences.begin(), job.occurrences.end(), number, precedes);
    if (found != job.occurrences.end() && (*found)->number == number)
        return **found;
    auto& added = **job.occurrences.insert(found, newOccurrence(job, number));
    for (const auto& step : added.steps)
        m_progress.try_emplace(step.get(), *step);
    return added;
}

void State::setTaskState(record::JobT& job, const TaskKey& key, record::TaskT& task, TaskState state)
{
    const auto& step = *findOccurrence(job, key.occurrence)->steps[key.step];
    const auto former = std::exchange(task.state, state);
    m_progress.at(&step).change(key.index, former, state);
    if (state == TaskState::Done && former != TaskState::Done)
        countDoneTask(job, key);
}

void State::countDoneTask(record::JobT& job, const TaskKey& key)
{
    auto& progress = m_jobProgress.at(&job);
    ++progress.doneTasks;
    if (key.occurrence == progress.firstOpen)
        skipEndedOccurrences(job, progress);
}

void State::skipEndedOccurrences(const record::JobT& job, JobProgress& progress) const
{
    const auto hasEnded = [&](uint32_t number) {
        const auto* occurrence = findOccurrence(job, number);
        return occurrence
            && std::ranges::all_of(occurrence->steps, [this](const auto& step) { return progressOf(*step).isDone(); });
    };
    while (hasEnded(progress.firstOpen))
        ++progress.firstOpen;
}

void State::applyStart(const record::StartT& start)
{
    const auto found = m_jobs.find(start.job);
    if (found == m_jobs.end() || found->second->state != JobState::Open || !m_workers.contains(start.worker))
        return;
    auto& job = *found->second;
    if (start.step >= job.steps.size())
        return;
    auto key = taskOf(start);
    const auto end = std::min<uint64_t>(uint64_t { start.index } + start.count, job.steps[start.step]->count);
    for (; key.index < end; ++key.index)
        startTask(job, key, start);
}

void State::startTask(record::JobT& job, const TaskKey& key, const record::StartT& start)
{
    auto* task = taskIn(&findOrCreateOccurrence(job, key.occurrence), key.step, key.index);
    if (!task || task->state != TaskState::Waiting || start.run <= task->run)
        return;
    setTaskState(job, key, *task, TaskState::Placed);
    task->run = start.run;
    task->worker = start.worker;
    job.started = true;
    place(job, key, *task);
}

void State::release(record::JobT& job, const TaskKey& key, record::TaskT& task)
{
    const auto& step = *job.steps[key.step];
    const auto worker = m_workers.find(task.worker);
    if (worker != m_workers.end() && worker->second.placed.erase(key) > 0) {
        worker->second.used -= occupancyOf(step);
        worker->second.tasksWithTarget -= step.target_ms > 0 ? 1 : 0;
        worker->second.fillingTasks -= step.fills ? 1 : 0;
        worker->second.suspectedTasks -= task.suspicions > 0 ? 1 : 0;
        if (step.max_per_worker > 0 && --worker->second.tasksOfStep[stepOf(key)] == 0)
            worker->second.tasksOfStep.erase(stepOf(key));
        m_tenants.removeUsage(job.tenant, resourcesOf(step));
    }
    task.worker = 0;
    setTaskState(job, key, task, TaskState::Waiting);
}

void State::applyEnd(const record::EndT& end)
{
    const auto found = m_jobs.find(end.job);
    if (found == m_jobs.end())
        return;
    auto& job = *found->second;
    auto* task = taskIn(findMutableOccurrence(job, end.occurrence), end.step, end.index);
    if (task && end.how == EndKind::Crashed && end.late)
        return countCrash(job, *task, end);
    if (!task || task->state != TaskState::Placed || task->run != end.run || task->worker != end.worker)
        return;
    const auto key = taskOf(end);
    release(job, key, *task);
    endTask(job, key, end.how, end.saved, end.worker);
    if (end.how == EndKind::Crashed)
        countCrash(job, *task, end);
}

/// Gives the job up after as many crashes of workers as the queue allows attempts, but at least two, if the task alone
/// is suspected of the last one, and after one more in any case. An innocent task that shares its workers with others
/// is rarely suspected that often. A run that may not have begun does not count.
void State::countCrash(record::JobT& job, record::TaskT& task, const record::EndT& end)
{
    constexpr uint32_t minAttempts = 2;
    if (task.suspicions++ == 0 && task.state == TaskState::Placed)
        ++m_workers.at(task.worker).suspectedTasks; // Late evidence; the task runs elsewhere by now.
    if (!end.certain)
        return;
    ++task.crashes;
    const auto* queue = findQueue(job.queue);
    const auto attempts = std::max(minAttempts, queue ? queue->attempts : 0) + (end.sole_suspect ? 0 : 1);
    if (job.state == JobState::Open && task.crashes >= attempts)
        closeJob(job, JobState::Failed);
}

void State::endTask(record::JobT& job, const TaskKey& key, EndKind how, const std::string& saved, uint32_t worker)
{
    const auto& step = *job.steps[key.step];
    auto& tasks = findMutableOccurrence(job, key.occurrence)->steps[key.step]->tasks;
    auto& task = *tasks[key.index];
    if (!saved.empty() && sharesCheckpoint(step)) {
        tasks.front()->saved = saved;
    } else if (!saved.empty()) {
        // The members of a gang resume from one checkpoint, and that of any member is valid.
        for (auto& member : tasks) {
            if (step.gang || member.get() == &task)
                member->saved = saved;
        }
    }
    if (how == EndKind::Done && !step.long_running) {
        auto member = key;
        for (member.index = 0; step.gang && member.index < tasks.size(); ++member.index) {
            if (tasks[member.index]->worker != 0)
                release(job, member, *tasks[member.index]);
            setTaskState(job, member, *tasks[member.index], TaskState::Done);
        }
        setTaskState(job, key, task, TaskState::Done);
        if (job.state == JobState::Open && m_jobProgress.at(&job).doneTasks == countTasks(job))
            closeJob(job, JobState::Done);
        return;
    }
    if (how != EndKind::Failed || step.long_running)
        return;
    task.failed_on = worker;
    // Several members of one run of a gang may fail, which counts as one failure of the gang.
    auto& counted = step.gang ? *tasks.front() : task;
    if (step.gang && std::exchange(counted.failed_run, task.run) == task.run)
        return;
    ++counted.failures;
    const auto* queue = findQueue(job.queue);
    if (job.state == JobState::Open && queue && counted.failures >= std::max<uint32_t>(1, queue->attempts))
        closeJob(job, JobState::Failed);
}

void State::applyForget(const std::string& id)
{
    const auto found = m_jobs.find(id);
    if (found == m_jobs.end() || found->second->state == JobState::Open)
        return;
    for (const auto& [serial, worker] : m_workers) {
        const auto first = worker.placed.lower_bound(TaskKey { id, 0, 0, 0 });
        if (first != worker.placed.end() && first->job == id)
            return;
    }
    m_memory -= estimateMemory(*found->second);
    m_tenants.removeJob(found->second->tenant);
    m_jobProgress.erase(found->second.get());
    for (const auto& occurrence : found->second->occurrences) {
        for (const auto& step : occurrence->steps)
            m_progress.erase(step.get());
    }
    m_jobs.erase(found);
}

const record::QueueT* State::matchQueue(std::string_view host, std::string_view path) const
{
    const record::QueueT* best = nullptr;
    for (const auto& [key, queue] : m_queues) {
        if (queue.active && queue.host == host && path.starts_with(queue.prefix)
            && (!best || queue.prefix.size() > best->prefix.size()))
            best = &queue;
    }
    return best;
}

const record::QueueT* State::findQueue(const std::string& key) const
{
    const auto found = m_queues.find(key);
    return found == m_queues.end() ? nullptr : &found->second;
}

const record::ServiceT* State::findService(const std::string& name) const
{
    if (!m_config)
        return nullptr;
    const auto found = std::ranges::find_if(m_config->services, [&](const auto& s) { return s->name == name; });
    return found == m_config->services.end() ? nullptr : found->get();
}

const record::JobT* State::findJob(const std::string& id) const
{
    const auto found = m_jobs.find(id);
    return found == m_jobs.end() ? nullptr : found->second.get();
}

const record::TaskT* State::findTask(const TaskKey& key) const
{
    const auto found = m_jobs.find(key.job);
    if (found == m_jobs.end())
        return nullptr;
    return taskIn(findMutableOccurrence(*found->second, key.occurrence), key.step, key.index);
}

const std::string& State::checkpointOf(const TaskKey& key) const
{
    const auto& job = *findJob(key.job);
    const auto& tasks = findOccurrence(job, key.occurrence)->steps[key.step]->tasks;
    return tasks[sharesCheckpoint(*job.steps[key.step]) ? 0 : key.index]->saved;
}

uint32_t State::waitingJobs(const std::string& queue) const
{
    return static_cast<uint32_t>(std::ranges::count_if(
        m_openJobs, [&](const auto& entry) { return entry.second->queue == queue && !entry.second->started; }));
}

const WorkerRecord* State::findWorker(uint32_t serial) const
{
    const auto found = m_workers.find(serial);
    return found == m_workers.end() ? nullptr : &found->second;
}

const WorkerRecord* State::findWorkerById(const std::string& id) const
{
    const auto found = m_workersById.find(id);
    return found == m_workersById.end() ? nullptr : findWorker(found->second);
}

const WorkerRecord* State::findWorkerAt(const std::string& address) const
{
    const auto found = m_workersByAddress.find(address);
    if (found == m_workersByAddress.end())
        return nullptr;
    const WorkerRecord* latest = nullptr;
    for (const auto serial : found->second) {
        const auto* worker = findWorker(serial);
        if (!latest || worker->worker.born_ms > latest->worker.born_ms)
            latest = worker;
    }
    return latest;
}

} // namespace turmericpier::cell
