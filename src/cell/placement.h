#pragma once

#include "turmericpier/cell/planner.h"

#include <map>
#include <string>
#include <utility>
#include <vector>

/// Which workers may run the tasks of a step, and which of them are preferred.
namespace turmericpier::cell::detail {

/// A worker with the capacity that is still free in this round.
struct Candidate {
    const WorkerRecord* record = nullptr;
    Resources free;
    double penalty = 0;
    bool recentlySuccessful = false;
    bool hasLatencyTarget = false; ///< Runs a task with a bound on its tail latency.
    bool hasSuspectedTask = false; ///< Runs a task suspected of the crash of another worker.
    bool hasFillingTask = false; ///< Runs a filling task, which disturbs tasks with such a bound.
    uint32_t plannedTasks = 0; ///< Tasks for which capacity is reserved in this round.
    uint32_t startRoom = 0; ///< Starts that the worker may still get in this round.
};

/// The waiting tasks of one step.
struct PendingStep {
    const record::JobT* job = nullptr;
    const record::QueueT* queue = nullptr;
    const record::StepT* step = nullptr;
    const record::StepTasksT* tasks = nullptr; ///< Null if no task of the occurrence was placed yet.
    StepKey key;
    uint64_t order = 0;
    uint64_t waitingCount = 0;
    std::vector<uint32_t> waiting; ///< The first waiting tasks, as many as one plan may start.
    bool anyPlaced = false;
    bool anySuspected = false; ///< One of the tasks in `waiting` is suspected of a crash.
    size_t next = 0; ///< Position in `waiting` from which on tasks may be placed.
    std::map<uint32_t, uint64_t> planned; ///< Tasks planned by worker; only for a step with a limit per worker.
};

/// How earlier runs of a task affect its next placement.
struct TaskHistory {
    bool failed = false;
    bool suspected = false; ///< The task is suspected of the crash of a worker.
    uint32_t avoidedWorker = 0; ///< Serial of a worker that must not be chosen; 0 for none.

    bool isClean() const { return !failed && !suspected && avoidedWorker == 0; }
};

TaskHistory historyOf(const PendingStep& pending, uint32_t index);
/// Returns the number of the last run of a task; 0 if it has not run.
uint32_t lastRunOf(const PendingStep& pending, uint32_t index);

/// Returns true if the worker belongs to the service of the step's queue and has the label that the step needs.
bool isCompatible(const PendingStep& pending, const Candidate& candidate);
/// Returns how many tasks of the step the worker has capacity for, at most `most`.
uint64_t capacityFor(const PendingStep& pending, const Candidate& candidate, uint64_t most);
/// Returns true if the worker has capacity for a task of the step and may get a start in this round.
bool canStart(const PendingStep& pending, const Candidate& candidate);

/// Returns the cost of placing the next of `count` tasks on the worker; lower is better. Tasks that have failed prefer
/// workers with a recent success, and all tasks prefer workers near their data and without recent failures. The tasks
/// of a step share few workers, because a lost worker delays every job that it runs a task of. Among otherwise equal
/// workers the fullest is preferred, which keeps the others free for large tasks and gangs.
double costOf(const PendingStep& pending, const Candidate& candidate, const TaskHistory& history, uint64_t count);

/// Returns the best of the workers for the next of `count` tasks, or null. `forLater` also admits workers that may get
/// no more starts in this round.
Candidate* chooseCandidate(const PendingStep& pending, const TaskHistory& history, uint64_t count,
    const std::vector<Candidate*>& workers, bool forLater = false);

/// Takes the capacity for `count` tasks of the step.
void reserveCapacity(PendingStep& pending, Candidate& candidate, uint64_t count);

/// The members of a gang by worker.
using GangPlacement = std::vector<std::pair<Candidate*, uint64_t>>;

/// Returns a placement of all members of the gang, in one rack if the step asks for that and a rack has the capacity;
/// nothing if they do not fit. Takes a time that grows with the number of workers and not with that of the members.
GangPlacement placeGang(const PendingStep& pending, const std::vector<Candidate*>& workers);

} // namespace turmericpier::cell::detail
