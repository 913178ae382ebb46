#pragma once

#include "cell_generated.h"
#include "turmericpier/base/units.h"

#include <absl/status/status.h>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

/// The replicated state of the cell: configuration, jobs, runs of tasks and lives of workers. Deterministic: every
/// replica that applies the same commands holds the same state.
///
///     cell::State state;
///     state.apply(command);
///     const auto* job = state.findJob("5c0e7a21d94b36f8");
namespace turmericpier::cell {

/// Names a task: one of the tasks of a step in one occurrence of a job.
struct TaskKey {
    std::string job;
    uint32_t occurrence = 0;
    uint32_t step = 0;
    uint32_t index = 0;

    friend bool operator==(const TaskKey&, const TaskKey&) = default;
    friend auto operator<=>(const TaskKey&, const TaskKey&) = default;
};

/// The task that a start or an end is about.
template <typename RunRecord> TaskKey taskOf(const RunRecord& run)
{
    return { run.job, run.occurrence, run.step, run.index };
}

/// The start or the end of a run; what only an end has is left to the caller.
template <typename RunRecord> RunRecord recordOf(const TaskKey& task, uint32_t run, uint32_t worker)
{
    RunRecord made;
    made.job = task.job;
    made.occurrence = task.occurrence;
    made.step = task.step;
    made.index = task.index;
    made.run = run;
    made.worker = worker;
    return made;
}

/// Name of the step, "JOB.OCCURRENCE.STEP", and of the task, "JOB.OCCURRENCE.STEP.INDEX".
std::string stepName(const TaskKey& task);
std::string taskName(const TaskKey& task);

/// A life of a worker with what stands on it.
struct WorkerRecord {
    record::WorkerT worker;
    std::set<TaskKey> placed; ///< Tasks whose run has been committed for this life and has not ended.
    Resources used; ///< By these tasks; the processors of tasks that fill are not counted.
    uint32_t tasksWithTarget = 0; ///< Of these tasks, those with a bound on their tail latency.
    uint32_t fillingTasks = 0; ///< Of these tasks, those that fill unused capacity.
};

/// Key of a queue: its host and the prefix of its paths.
std::string queueKey(std::string_view host, std::string_view prefix);

class State {
public:
    void apply(const record::CommandT& command);
    std::string snapshot() const;
    absl::Status restore(std::string_view data);

    const record::ConfigT* config() const { return m_config.get(); }
    /// The active queue with the longest prefix of `path`; null if there is none.
    const record::QueueT* matchQueue(std::string_view host, std::string_view path) const;
    /// Also finds queues that the configuration does not name any more.
    const record::QueueT* findQueue(const std::string& key) const;
    const record::ServiceT* findService(const std::string& name) const;

    const record::JobT* findJob(const std::string& id) const;
    const record::TaskT* findTask(const TaskKey& key) const;
    const std::map<std::string, std::unique_ptr<record::JobT>>& jobs() const { return m_jobs; }
    /// Jobs that have not ended, in the order in which they were accepted.
    const std::map<uint64_t, record::JobT*>& openJobs() const { return m_openJobs; }
    /// Accepted jobs of the queue of which no task has started.
    uint32_t waitingJobs(const std::string& queue) const;

    const std::map<uint32_t, WorkerRecord>& workers() const { return m_workers; }
    const WorkerRecord* findWorker(uint32_t serial) const;
    const WorkerRecord* findWorkerById(const std::string& id) const;
    /// The life at the address that started last; null if there is none.
    const WorkerRecord* findWorkerAt(const std::string& address) const;

private:
    void applyConfig(const record::ConfigT& config);
    void applyWorker(const record::WorkerT& worker);
    void applyGone(uint32_t serial);
    void applySubmit(const record::JobT& job);
    void applyCancel(const std::string& id);
    void applyStart(const record::StartT& start);
    void applyEnd(const record::EndT& end);
    void applyForget(const std::string& id);
    void release(const TaskKey& key, const record::StepT& step, record::TaskT& task);
    void endTask(record::JobT& job, const TaskKey& key, record::EndKind how, const std::string& saved, uint32_t worker);
    void closeJob(record::JobT& job, record::JobState state);
    bool allDone(const record::JobT& job) const;
    void indexJob(record::JobT& job);
    void place(const TaskKey& key, const record::StepT& step, uint32_t serial);

    std::unique_ptr<record::ConfigT> m_config;
    std::map<std::string, record::QueueT> m_queues; ///< By key; all that were ever named and still have jobs.
    std::map<std::string, std::unique_ptr<record::JobT>> m_jobs;
    std::map<uint64_t, record::JobT*> m_openJobs;
    std::map<std::string, uint64_t> m_openJobOrder; ///< Key of a job in `m_openJobs`.
    uint64_t m_nextOrder = 1;
    std::map<uint32_t, WorkerRecord> m_workers;
    uint32_t m_nextSerial = 1;
};

/// The capacity that a task of the step occupies on its worker.
Resources occupancyOf(const record::StepT& step);

/// The occurrence of a job, created when it is first needed; null if nothing of it has started.
const record::OccurrenceT* findOccurrence(const record::JobT& job, uint32_t number);

/// Number of occurrences of a job; 1 for a job without a schedule.
uint32_t occurrenceCount(const record::JobT& job);

/// True if all tasks of the steps that `step` comes after have ended well.
bool isReady(const record::JobT& job, uint32_t occurrence, uint32_t step);

} // namespace turmericpier::cell
