#pragma once

#include "decision/packed-resources.h"
#include "turmericpier/decision/model.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <absl/container/inlined_vector.h>
#include <deque>
#include <optional>
#include <string_view>
#include <vector>

/// Records of workers, jobs and tasks, addressed by small indexes. Indexes are reused after a record is removed. Hash
/// tables only serve look-ups and are never iterated, so that decisions do not depend on hash seeds.
namespace turmericpier::decision {

enum class WorkerIndex : uint32_t { None = 0xffffffff };
enum class JobIndex : uint32_t { None = 0xffffffff };
enum class TaskIndex : uint32_t { None = 0xffffffff };

template <typename Index> constexpr uint32_t raw(Index index) { return static_cast<uint32_t>(index); }

enum class TaskState : uint8_t {
    Waiting, ///< Queued, paced or backing off.
    Placed, ///< Not yet known to have started.
    Running,
    Ended,
};

struct TaskRecord {
    Epoch epoch;
    uint64_t checkpoint = 0;
    TimePoint since; ///< Of the placement or, from TaskStarted on, of the start.
    TimePoint checkpointAt; ///< Zero if it has not checkpointed in this run.
    TimePoint reportedAt;
    PackedResources limit; ///< Taken on the worker.
    int32_t usedCpu = 0; ///< As last reported.
    int32_t usedMemory = 0;
    int32_t peakCpu = 0;
    int32_t peakMemory = 0;
    int32_t memoryGrowth = 0; ///< MiB per second between the last two reports.
    int32_t throttledCpu = 0; ///< Zero if not throttled.
    JobIndex job = JobIndex::None;
    uint32_t index = 0; ///< Within the job.
    WorkerIndex worker = WorkerIndex::None;
    TaskIndex previous = TaskIndex::None; ///< On the same worker.
    TaskIndex next = TaskIndex::None;
    TaskState state = TaskState::Waiting;
    uint8_t failures = 0;
    uint8_t preemptions = 0;
    bool stopping : 1 = false; ///< A stop or checkpoint was requested.
    bool queued : 1 = false; ///< Counted in the queue; otherwise it is paced or backs off.
    bool backfill : 1 = false; ///< Runs on capacity claimed for another job.
    bool probe : 1 = false; ///< Tries out a quarantined worker.
    bool holdsPlace : 1 = false; ///< Holds capacity on `worker`.
};

struct WorkerRecord {
    WorkerId id;
    uint32_t rack = 0;
    uint16_t dataCentre = 0;
    Incarnation incarnation;
    PackedResources capacity;
    PackedResources used; ///< Limits of all tasks that may run here.
    PackedResources reserved; ///< Claims of jobs that wait for this worker.
    PackedResources backfill; ///< Part of `used` that runs on claimed capacity.
    PackedResources stopping; ///< Part of `used` whose stop was requested.
    PackedResources preemptible; ///< Part of `used` of tasks that might be preempted.
    PackedResources lasting; ///< Part of `used` that is not expected to end: services and urgent tasks.
    TaskIndex firstTask = TaskIndex::None;
    uint32_t taskCount = 0;
    TimePoint lostDeadline;
    float suspicion = 0;
    bool live = false; ///< The record is in use.
    bool announced = false;
    bool lost = false;
    bool draining = false;
    bool quarantined = false;
    bool probing = false;

    PackedResources available() const { return capacity - used - reserved; }
    bool takesWork() const { return live && announced && !lost && !draining && !quarantined; }
};

/// Place of a job in the queue. Jobs with equal keys are tried in order of submission, and a failed attempt holds for
/// all of them until capacity is freed.
struct ClassKey {
    uint32_t inversePriority = 0;
    PackedResources request;
    uint64_t gang = 0; ///< A gang is a class of its own, by its order of submission.

    friend bool operator==(const ClassKey&, const ClassKey&) = default;
    friend auto operator<=>(const ClassKey&, const ClassKey&) = default;
};

enum class WaitReason : uint8_t {
    None,
    NoCapacity,
    OverQuota,
    NoWorkers,
    NoWorkerLargeEnough,
    WaitsForClaim,
    TickBudget,
};

struct JobRecord {
    JobId id;
    uint16_t team = 0;
    uint16_t policy = 0;
    uint32_t family = 0;
    uint32_t taskCount = 0; ///< As declared; a service that is moved may have more records.
    uint32_t priority = 0;
    uint32_t minAvailable = 0;
    PackedResources request; ///< As declared.
    PackedResources effective; ///< As learned for the family; tasks are placed by it.
    uint32_t declaredSeconds = 0;
    uint64_t order = 0; ///< Unique.
    TimePoint waitingSince;
    TimePoint nextTry; ///< Of a gang or of preemption for the job, if nothing but single tasks have ended.
    absl::InlinedVector<TaskIndex, 2> tasks;
    uint32_t queuedTasks = 0;
    uint32_t endedTasks = 0;
    uint32_t hint = 0; ///< No queued task has a lower index.
    uint32_t claim = 0; ///< Id of the claim, 0 without one.
    JobKind kind = JobKind::Batch;
    WaitReason waitReason = WaitReason::None;
    bool live : 1 = false;
    bool ending : 1 = false; ///< Cancelled or failed: no task starts any more.
    bool everPlaced : 1 = false;
    bool everStarted : 1 = false;
    bool parked : 1 = false;
    bool inQueue : 1 = false;
    bool critical : 1 = false; ///< Waits in the queue of urgent jobs and services below their floor.
    bool planQueued : 1 = false;
    bool moving : 1 = false; ///< A service with replicas on draining workers.
    bool stopPending : 1 = false; ///< A gang whose tasks all have to stop before it is placed again.

    uint32_t queue() const { return critical ? 0U : team + 1U; }
    ClassKey key() const
    {
        const auto rank = critical ? std::max(priority, urgentPriority) : priority;
        return { ~rank, effective, kind == JobKind::Gang ? order : 0 };
    }
};

/// Interned texts, numbered in order of appearance.
template <typename Tag> class Names {
public:
    uint32_t intern(const Id<Tag>& id)
    {
        const auto [it, added] = m_numbers.try_emplace(id, static_cast<uint32_t>(m_ids.size()));
        if (added)
            m_ids.push_back(id);
        return it->second;
    }
    std::optional<uint32_t> find(const Id<Tag>& id) const
    {
        const auto it = m_numbers.find(id);
        return it == m_numbers.end() ? std::nullopt : std::optional(it->second);
    }
    const Id<Tag>& operator[](uint32_t number) const { return m_ids[number]; }
    uint32_t size() const { return static_cast<uint32_t>(m_ids.size()); }

private:
    absl::flat_hash_map<Id<Tag>, uint32_t> m_numbers;
    std::deque<Id<Tag>> m_ids;
};

class Tables {
public:
    Tables();

    WorkerIndex findWorker(const WorkerId& id) const;
    WorkerIndex addWorker(const WorkerId& id);
    void removeWorker(WorkerIndex worker);

    JobIndex findJob(std::string_view id) const;
    JobIndex addJob(const JobId& id);
    /// Removes the job and its tasks.
    void removeJob(JobIndex job);

    TaskIndex addTask(JobIndex job);
    /// The task with this id, also if it is not placed; None if its job or index is unknown.
    TaskIndex findTask(const TaskId& id) const;
    TaskId idOf(const TaskRecord& task) const { return taskIdOf(at(task.job).id, task.index); }

    WorkerRecord& at(WorkerIndex i) { return m_workers[raw(i)]; }
    const WorkerRecord& at(WorkerIndex i) const { return m_workers[raw(i)]; }
    JobRecord& at(JobIndex i) { return m_jobs[raw(i)]; }
    const JobRecord& at(JobIndex i) const { return m_jobs[raw(i)]; }
    TaskRecord& at(TaskIndex i) { return m_tasks[raw(i)]; }
    const TaskRecord& at(TaskIndex i) const { return m_tasks[raw(i)]; }

    uint32_t workerSlots() const { return static_cast<uint32_t>(m_workers.size()); }
    uint32_t jobSlots() const { return static_cast<uint32_t>(m_jobs.size()); }
    size_t jobCount() const { return m_jobIndex.size(); }
    size_t taskCount() const { return m_tasks.size() - m_freeTasks.size(); }

    /// Counts the limit against the worker and links the task to it.
    void occupy(TaskIndex task, WorkerIndex worker, const PackedResources& limit);
    /// Undoes occupy().
    void vacate(TaskIndex task);

    Names<struct DataCentreTag> dataCentres;
    Names<struct RackTag> racks;
    Names<struct TeamTag> teams;
    Names<struct PolicyTag> policies;
    Names<struct FamilyTag> families;

private:
    struct JobHash {
        using is_transparent = void;
        const std::deque<JobRecord>* jobs;
        size_t operator()(std::string_view id) const { return absl::Hash<std::string_view> {}(id); }
        size_t operator()(uint32_t index) const { return (*this)((*jobs)[index].id.str()); }
    };
    struct JobEqual {
        using is_transparent = void;
        const std::deque<JobRecord>* jobs;
        bool operator()(uint32_t a, uint32_t b) const { return a == b; }
        bool operator()(uint32_t a, std::string_view b) const { return (*jobs)[a].id.str() == b; }
        bool operator()(std::string_view a, uint32_t b) const { return (*jobs)[b].id.str() == a; }
    };

    std::vector<WorkerRecord> m_workers;
    std::deque<JobRecord> m_jobs; ///< Grows without copying, which would need twice the memory for a moment.
    std::deque<TaskRecord> m_tasks;
    std::vector<uint32_t> m_freeWorkers;
    std::vector<uint32_t> m_freeJobs;
    std::vector<uint32_t> m_freeTasks;
    absl::flat_hash_map<WorkerId, uint32_t> m_workerIndex;
    absl::flat_hash_set<uint32_t, JobHash, JobEqual> m_jobIndex; ///< Without a second copy of the ids.
};

/// True if tasks of the job may be chosen for preemption at all.
inline bool canBePreempted(const JobRecord& job) { return job.priority < urgentPriority; }

/// True if tasks of the job are not expected to make room soon.
inline bool isLasting(const JobRecord& job) { return job.kind == JobKind::Service || job.priority >= urgentPriority; }

} // namespace turmericpier::decision
