#pragma once

#include "cell_generated.h"
#include "turmericpier/base/units.h"
#include "turmericpier/cell/step-progress.h"
#include "turmericpier/cell/tenants.h"

#include <absl/status/status.h>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

/// The replicated state of the cell: configuration, jobs, runs of tasks and incarnations of workers. It is
/// deterministic: replicas that apply the same commands hold the same state.
///
///     cell::State state;
///     state.apply(command);
///     const auto* job = state.findJob("5c0e7a21d94b36f8");
namespace turmericpier::cell {

/// Identifies one of the tasks of a step in one occurrence of a job.
struct TaskKey {
    std::string job;
    uint32_t occurrence = 0;
    uint32_t step = 0;
    uint32_t index = 0;

    friend bool operator==(const TaskKey&, const TaskKey&) = default;
    friend auto operator<=>(const TaskKey&, const TaskKey&) = default;
};

/// Identifies a step of one occurrence of a job; `index` of the key is 0.
using StepKey = TaskKey;

inline StepKey stepOf(const TaskKey& task) { return { task.job, task.occurrence, task.step, 0 }; }

/// Returns true if the task belongs to the step.
inline bool isTaskOf(const TaskKey& task, const StepKey& step)
{
    return task.job == step.job && task.occurrence == step.occurrence && task.step == step.step;
}

/// Returns the key of the task that a start or an end refers to.
template <typename RunRecord> TaskKey taskOf(const RunRecord& run)
{
    return { run.job, run.occurrence, run.step, run.index };
}

/// Sets the fields of a record that identify a run.
template <typename RunRecord> void setRun(RunRecord& record, const TaskKey& task, uint32_t run)
{
    record.job = task.job;
    record.occurrence = task.occurrence;
    record.step = task.step;
    record.index = task.index;
    record.run = run;
}

/// Returns a start or an end of a run. The fields that only an end has are left at their defaults.
template <typename RunRecord> RunRecord recordOf(const TaskKey& task, uint32_t run, uint32_t worker)
{
    RunRecord made;
    setRun(made, task, run);
    made.worker = worker;
    return made;
}

/// Return the name of the step, "JOB.OCCURRENCE.STEP", and of the task, "JOB.OCCURRENCE.STEP.INDEX".
std::string stepName(const TaskKey& task);
std::string taskName(const TaskKey& task);

/// An incarnation of a worker with the tasks that are placed on it.
struct WorkerRecord {
    record::WorkerT worker;
    std::set<TaskKey> placed; ///< Tasks with a run that is committed for this incarnation and has not ended.
    Resources used; ///< Resources that the placed tasks use, without the processors of filling tasks.
    uint32_t tasksWithTarget = 0; ///< Number of placed tasks with a bound on their tail latency.
    uint32_t suspectedTasks = 0; ///< Number of placed tasks that are suspected of the crash of another worker.
    uint32_t fillingTasks = 0; ///< Number of placed tasks that fill unused capacity.
    std::map<TaskKey, uint32_t> tasksOfStep; ///< Number of placed tasks of each step with a limit per worker.
};

/// Returns the key of a queue, which consists of its host and path prefix.
std::string queueKey(std::string_view host, std::string_view prefix);

/// Estimates the memory that the record of a job takes before it is in the state, where its tasks are added.
size_t estimateRecordMemory(const record::JobT& job);
/// Estimates the memory that a job with all its tasks, or a worker, takes in the state.
size_t estimateMemory(const record::JobT& job);
size_t estimateMemory(const record::WorkerT& worker);

/// Holds the replicated state; only apply() and restore() change it.
class State {
public:
    void apply(const record::CommandT& command);
    std::string snapshot() const;
    absl::Status restore(std::string_view data);

    /// Returns the estimated memory of all jobs and workers.
    size_t memory() const { return m_memory; }

    /// Returns the time of the cell in milliseconds. It advances with the commands by the steady clocks of the leaders,
    /// and stands still while there is none.
    uint64_t timeMs() const { return m_timeMs; }

    const Tenants& tenants() const { return m_tenants; }
    const record::ConfigT* config() const { return m_config.get(); }
    /// Returns the active queue with the longest prefix of `path`, or null.
    const record::QueueT* matchQueue(std::string_view host, std::string_view path) const;
    /// Also finds queues that the current configuration does not contain.
    const record::QueueT* findQueue(const std::string& key) const;
    const record::ServiceT* findService(const std::string& name) const;

    const record::JobT* findJob(const std::string& id) const;
    const record::TaskT* findTask(const TaskKey& key) const;
    /// Returns the checkpoint from which the next run of a task resumes; empty for none.
    const std::string& checkpointOf(const TaskKey& key) const;
    /// Returns the progress of a step of an occurrence that findOccurrence() returns.
    const StepProgress& progressOf(const record::StepTasksT& step) const { return m_progress.at(&step); }
    /// Returns the number of the first occurrence of an open job that has not ended.
    uint32_t firstOpenOccurrence(const record::JobT& job) const { return m_jobProgress.at(&job).firstOpen; }
    /// Returns true if all tasks of the steps that `step` depends on have succeeded.
    bool isReady(const record::JobT& job, uint32_t occurrence, uint32_t step) const;
    const std::map<std::string, std::unique_ptr<record::JobT>>& jobs() const { return m_jobs; }
    /// Jobs that have not ended, in the order in which they were accepted.
    const std::map<uint64_t, record::JobT*>& openJobs() const { return m_openJobs; }
    /// Returns the number of accepted jobs of the queue of which no task has started.
    uint32_t waitingJobs(const std::string& queue) const;

    const std::map<uint32_t, WorkerRecord>& workers() const { return m_workers; }
    const WorkerRecord* findWorker(uint32_t serial) const;
    const WorkerRecord* findWorkerById(const std::string& id) const;
    /// Returns the most recently started incarnation at the address, or null.
    const WorkerRecord* findWorkerAt(const std::string& address) const;

private:
    struct JobProgress {
        uint64_t doneTasks = 0;
        uint32_t firstOpen = 0; ///< All occurrences before this one have ended.
    };

    void applyConfig(const record::ConfigT& config);
    void applyWorker(const record::WorkerT& worker);
    void storeWorker(const record::WorkerT& worker, uint32_t serial);
    void removeAddress(const record::WorkerT& worker);
    void applyGone(uint32_t serial);
    void applySubmit(const record::JobT& job);
    void applyCancel(const std::string& id);
    void applyStart(const record::StartT& start);
    void applyEnd(const record::EndT& end);
    void applyForget(const std::string& id);
    void release(record::JobT& job, const TaskKey& key, record::TaskT& task);
    void endTask(record::JobT& job, const TaskKey& key, record::EndKind how, const std::string& saved, uint32_t worker);
    void countCrash(record::JobT& job, record::TaskT& task, const record::EndT& end);
    void closeJob(record::JobT& job, record::JobState state);
    void indexJob(record::JobT& job);
    record::OccurrenceT& findOrCreateOccurrence(record::JobT& job, uint32_t number);
    void setTaskState(record::JobT& job, const TaskKey& key, record::TaskT& task, record::TaskState state);
    void countDoneTask(record::JobT& job, const TaskKey& key);
    void skipEndedOccurrences(const record::JobT& job, JobProgress& progress) const;
    void startTask(record::JobT& job, const TaskKey& key, const record::StartT& start);
    void place(const record::JobT& job, const TaskKey& key, const record::TaskT& task);

    std::unique_ptr<record::ConfigT> m_config;
    std::map<std::string, record::QueueT> m_queues; ///< All queues that any configuration has contained, by key.
    Tenants m_tenants;
    std::map<std::string, std::unique_ptr<record::JobT>> m_jobs;
    std::map<uint64_t, record::JobT*> m_openJobs;
    std::map<std::string, uint64_t> m_openJobOrder; ///< Keys of `m_openJobs` by job id.
    uint64_t m_nextOrder = 1;
    std::map<uint32_t, WorkerRecord> m_workers;
    // Heartbeats of all workers look their sender up, so these keep the cost independent of the number of workers.
    std::unordered_map<std::string, uint32_t> m_workersById; ///< Serials of the workers by id.
    std::unordered_map<std::string, std::set<uint32_t>> m_workersByAddress; ///< Serials of the workers by address.
    uint32_t m_nextSerial = 1;
    size_t m_memory = 0;
    uint64_t m_timeMs = 0;
    std::unordered_map<const record::StepTasksT*, StepProgress> m_progress;
    std::unordered_map<const record::JobT*, JobProgress> m_jobProgress; ///< Of all jobs.
};

Resources capacityOf(const record::WorkerT& worker);

/// Returns the capacity that a task of the step occupies on its worker.
Resources occupancyOf(const record::StepT& step);

/// Returns the occurrence of a job in a state, which orders them by number, or null if nothing of it has started yet.
const record::OccurrenceT* findOccurrence(const record::JobT& job, uint32_t number);

/// Returns the number of occurrences of a job; 1 for a job without a schedule.
uint32_t occurrenceCount(const record::JobT& job);

/// Largest gang of which each task is recorded by itself. Replicas of earlier versions can read only such records.
inline constexpr uint32_t maxListedGang = 256;

} // namespace turmericpier::cell
