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

/// Records of workers, jobs and tasks, addressed by small indexes. The index of a removed record is reused. Hash tables
/// are used for lookups only and never iterated, so that decisions do not depend on hash seeds.
namespace turmericpier::decision {

enum class WorkerIndex : uint32_t { None = 0xffffffff };
enum class JobIndex : uint32_t { None = 0xffffffff };
enum class TaskIndex : uint32_t { None = 0xffffffff };

template <typename Index> constexpr uint32_t raw(Index index) { return static_cast<uint32_t>(index); }

enum class TaskState : uint8_t {
    Waiting, ///< Queued, delayed by the restart pacer or in backoff.
    Placed, ///< Placed on a worker, but the start is not confirmed yet.
    Running,
    Ended,
};

struct TaskRecord {
    Epoch epoch;
    uint64_t checkpoint = 0;
    TimePoint since; ///< Time of the placement or, once the start is confirmed, of the confirmation.
    TimePoint checkpointAt; ///< Time of the last checkpoint; zero if there was none in this run.
    TimePoint reportedAt; ///< Time of the last usage report; zero if there was none in this run.
    PackedResources limit; ///< Resources allocated on the worker.
    int32_t usedCpu = 0; ///< Last reported usage in milli-CPU.
    int32_t usedMemory = 0; ///< Last reported usage in MiB.
    int32_t peakCpu = 0; ///< Highest reported usage in milli-CPU.
    int32_t peakMemory = 0; ///< Highest reported usage in MiB.
    int32_t memoryGrowth = 0; ///< Growth in MiB per second between the last two reports.
    int32_t throttledCpu = 0; ///< Reduced limit in milli-CPU; zero if the task is not throttled.
    JobIndex job = JobIndex::None;
    uint32_t index = 0; ///< Index of the task within its job.
    WorkerIndex worker = WorkerIndex::None;
    TaskIndex previous = TaskIndex::None; ///< Previous task in the list of tasks on the worker.
    TaskIndex next = TaskIndex::None; ///< Next task in the list of tasks on the worker.
    TaskState state = TaskState::Waiting;
    uint8_t failures = 0;
    uint8_t preemptions = 0;
    bool stopping : 1 = false; ///< A stop or checkpoint was requested.
    bool queued : 1 = false; ///< Counted in `JobRecord::queuedTasks`, unlike tasks that are paced or in backoff.
    bool backfill : 1 = false; ///< Runs on capacity that is claimed for another job.
    bool probe : 1 = false; ///< Runs as a probe on a quarantined worker.
    bool occupiesWorker : 1 = false; ///< Its limit is allocated on `worker`.
};

struct WorkerRecord {
    WorkerId id;
    uint32_t rack = 0;
    uint16_t dataCentre = 0;
    Incarnation incarnation;
    PackedResources capacity;
    PackedResources used; ///< Sum of the limits of all tasks that may run on the worker.
    PackedResources reserved; ///< Sum of the claims of jobs that wait for this worker.
    PackedResources backfill; ///< Part of `used` held by backfill tasks.
    PackedResources stopping; ///< Part of `used` held by tasks whose stop was requested.
    PackedResources preemptible; ///< Part of `used` held by tasks that might be preempted.
    PackedResources
        longLived; ///< Part of `used` held by services and urgent tasks, which are not expected to end soon.
    TaskIndex firstTask = TaskIndex::None;
    uint32_t taskCount = 0;
    TimePoint lostDeadline; ///< Time when the leases of all tasks of a lost worker have ended.
    float suspicion = 0; ///< Suspicion that the worker is faulty, as given by WorkerHealth.
    bool live = false; ///< The record is in use.
    bool announced = false;
    bool lost = false;
    bool draining = false;
    bool quarantined = false;
    bool probing = false; ///< A probe task is placed on the worker.

    PackedResources available() const { return capacity - used - reserved; }
    bool isSchedulable() const { return live && announced && !lost && !draining && !quarantined; }
};

/// Class of a job in the wait queue. Jobs with equal keys are tried in order of submission. A failed attempt counts for
/// the whole class until capacity is freed.
struct ClassKey {
    uint32_t inversePriority = 0;
    PackedResources request;
    uint64_t gang = 0; ///< Submission order of a gang, which forms a class of its own; zero for other jobs.

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
    uint32_t taskCount = 0; ///< Declared number of tasks. While a service is moved it may have more task records.
    uint32_t priority = 0;
    uint32_t minAvailable = 0;
    PackedResources request; ///< Declared resources per task.
    PackedResources effective; ///< Resources per task used for placement, learned from the family of the job.
    uint32_t declaredSeconds = 0; ///< Declared run time.
    uint64_t order = 0; ///< Unique number in order of submission.
    TimePoint waitingSince;
    /// Earliest time of the next attempt to place a gang or to plan preemption for the job. A gang is also tried in a
    /// full round.
    TimePoint retryAt;
    absl::InlinedVector<TaskIndex, 2> tasks;
    uint32_t queuedTasks = 0;
    uint32_t endedTasks = 0;
    uint32_t firstQueuedHint = 0; ///< Lower bound of the indexes of queued tasks.
    uint32_t claim = 0; ///< Id of the claim, or 0 if the job has none.
    JobKind kind = JobKind::Batch;
    WaitReason waitReason = WaitReason::None;
    bool live : 1 = false;
    bool ending : 1 = false; ///< The job was cancelled or failed, and none of its tasks is started again.
    bool everPlaced : 1 = false;
    bool everStarted : 1 = false;
    bool parked : 1 = false;
    bool inQueue : 1 = false;
    bool critical : 1 = false; ///< Waits in the queue of urgent jobs and of services below their minimum.
    bool planQueued : 1 = false; ///< Waits for preemption planning.
    bool moving : 1 = false; ///< The job is a service with replicas on draining workers.
    bool stopPending : 1 = false; ///< The job is a gang whose tasks must all stop before it is placed again.

    /// Returns the index of the wait queue: 0 for critical jobs, otherwise the team number plus one.
    uint32_t waitQueueNumber() const { return critical ? 0U : team + 1U; }
    ClassKey key() const
    {
        const auto rank = critical ? std::max(priority, urgentPriority) : priority;
        return { ~rank, effective, kind == JobKind::Gang ? order : 0 };
    }
};

/// Maps ids to small numbers, which are assigned in order of first use.
template <typename Tag> class InternTable {
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

/// Storage of all worker, job and task records with lookup by id.
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

    /// Allocates `limit` on the worker and adds the task to its list of tasks.
    void occupy(TaskIndex task, WorkerIndex worker, const PackedResources& limit);
    /// Releases the allocation and removes the task from the list of its worker.
    void vacate(TaskIndex task);

    InternTable<struct DataCentreTag> dataCentres;
    InternTable<struct RackTag> racks;
    InternTable<struct TeamTag> teams;
    InternTable<struct PolicyTag> policies;
    InternTable<struct FamilyTag> families;

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
    std::deque<JobRecord> m_jobs; ///< A deque, because growing a vector would need twice the memory while it copies.
    std::deque<TaskRecord> m_tasks;
    std::vector<uint32_t> m_freeWorkers;
    std::vector<uint32_t> m_freeJobs;
    std::vector<uint32_t> m_freeTasks;
    absl::flat_hash_map<WorkerId, uint32_t> m_workerIndex;
    absl::flat_hash_set<uint32_t, JobHash, JobEqual> m_jobIndex; ///< Looks up ids in `m_jobs` without copying them.
};

/// Returns true if tasks of the job may be preempted, which excludes urgent jobs.
inline bool canBePreempted(const JobRecord& job) { return job.priority < urgentPriority; }

/// Returns true if tasks of the job are not expected to end soon.
inline bool isLongLived(const JobRecord& job) { return job.kind == JobKind::Service || job.priority >= urgentPriority; }

} // namespace turmericpier::decision
