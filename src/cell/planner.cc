#include "turmericpier/cell/planner.h"

#include "turmericpier/decision/fair-share.h"

#include <algorithm>
#include <deque>
#include <set>
#include <string_view>
#include <tuple>

namespace turmericpier::cell {

using record::TaskState;

namespace {
    // Most workers in one call to the advisor. The latency objective of a job allows for one call about 30 workers per
    // step.
    constexpr size_t maxAdviceWorkers = 30;
    // Least workers in one call, so that a step with one task rarely needs a second call.
    constexpr size_t minAdviceWorkers = 8;
    // Workers among which those to ask about are chosen, beginning at one that depends on the step. Steps that asked
    // about the same best workers of a large fleet would take each other's room and have to ask again.
    constexpr size_t maxUnknownCandidates = 128;
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
    constexpr size_t adviceWorkersPerTask = 2; // About a third to two thirds of the workers may run a step.

    /// A worker with the capacity that is still free in this round.
    struct Candidate {
        const WorkerRecord* record = nullptr;
        Resources free;
        double penalty = 0;
        bool recentlySuccessful = false;
        bool hasLatencyTarget = false; ///< Runs a task with a bound on its tail latency.
        bool hasSuspectedTask = false; ///< Runs a task suspected of the crash of another worker.
        bool hasFillingTask = false; ///< Runs a filling task, which disturbs tasks with such a bound.
        std::vector<TaskKey> planned;
    };

    /// The waiting tasks of one step.
    struct PendingStep {
        const record::JobT* job = nullptr;
        const record::QueueT* queue = nullptr;
        const record::StepT* step = nullptr;
        StepKey key;
        std::vector<uint32_t> waiting;
        bool anyPlaced = false;
        bool anySuspected = false; ///< One of the waiting tasks is suspected of a crash.
        uint64_t order = 0;
    };

    bool belongsTo(const TaskKey& key, const StepKey& step)
    {
        return key.job == step.job && key.occurrence == step.occurrence && key.step == step.step;
    }

    uint32_t countTasksOfStep(const Candidate& candidate, const StepKey& step)
    {
        const auto& placed = candidate.record->placed;
        uint32_t count = 0;
        for (auto it = placed.lower_bound(step); it != placed.end() && belongsTo(*it, step); ++it)
            ++count;
        for (const auto& key : candidate.planned)
            count += belongsTo(key, step) ? 1 : 0;
        return count;
    }

    class PlanningRound {
    public:
        explicit PlanningRound(const PlannerInput& input)
            : m_input(input)
            , m_tenants(input.state.tenants())
        {
        }

        Plan run()
        {
            collectPendingSteps();
            // Most rounds follow an end or a heartbeat and find no waiting task.
            if (m_pendingSteps.empty())
                return std::move(m_plan);
            m_candidates.reserve(m_input.state.workers().size());
            for (const auto& [serial, worker] : m_input.state.workers())
                addCandidate(worker);
            std::ranges::sort(m_pendingSteps, [](const PendingStep& a, const PendingStep& b) {
                return std::tie(a.queue->priority, a.order) < std::tie(b.queue->priority, b.order);
            });
            if (m_tenants.all().empty()) {
                for (auto& pending : m_pendingSteps)
                    placeStep(pending);
                return std::move(m_plan);
            }
            prepareShares();
            for (auto first = m_pendingSteps.begin(); first != m_pendingSteps.end();) {
                const auto last = std::find_if(first, m_pendingSteps.end(),
                    [first](const PendingStep& pending) { return pending.queue->priority != first->queue->priority; });
                placeInShares(first, last);
                first = last;
            }
            return std::move(m_plan);
        }

    private:
        using PendingSteps = std::vector<PendingStep>;

        /// Sets the quota of each tenant to its part of the capacity by weight. Jobs without a tenant count as one
        /// more tenant.
        void prepareShares()
        {
            constexpr double weightWithoutTenant = 1;
            Resources capacity;
            for (const auto& candidate : m_candidates)
                capacity += capacityOf(candidate.record->worker);
            double weights = weightWithoutTenant;
            for (const auto& [name, tenant] : m_tenants.all())
                weights += tenant.weight;
            const auto add = [&](const std::string& name, double weight) {
                const auto part = [&](int64_t amount) {
                    return static_cast<int64_t>(static_cast<double>(amount) * weight / weights);
                };
                const TeamId id(name);
                m_shares.setTeam({ id,
                    { MilliCpu { part(capacity.cpu.value) }, MemoryMib { part(capacity.memory.value) },
                        Accelerators { part(capacity.accelerators.value) } } });
                m_shares.addUsage(id, m_tenants.usage(name));
            };
            m_shares.setCapacity(capacity);
            add("", weightWithoutTenant);
            for (const auto& [name, tenant] : m_tenants.all())
                add(name, tenant.weight);
        }

        /// Places the steps of one priority: the next one is the earliest of the tenant that uses least relative to its
        /// weight.
        void placeInShares(PendingSteps::iterator first, PendingSteps::iterator last)
        {
            std::map<TeamId, std::deque<PendingStep*>> waiting;
            for (auto it = first; it != last; ++it)
                waiting[TeamId(it->job->tenant)].push_back(&*it);
            for (const auto& [tenant, steps] : waiting)
                m_shares.setWaiting(tenant, true);
            while (const auto tenant = m_shares.next()) {
                auto& steps = waiting.at(*tenant);
                auto& pending = *steps.front();
                steps.pop_front();
                m_shares.setWaiting(*tenant, !steps.empty());
                const auto placed = m_plan.starts.size();
                keepWithinCap(pending, m_shares.usage(*tenant));
                placeStep(pending);
                for (auto i = placed; i < m_plan.starts.size(); ++i)
                    m_shares.addUsage(*tenant, resourcesOf(*pending.step));
            }
        }

        /// Removes the waiting tasks that the tenant's cap does not allow for, all of them for a gang.
        void keepWithinCap(PendingStep& pending, const Resources& used)
        {
            const auto count = pending.waiting.size();
            auto allowed = m_tenants.tasksWithinCap(pending.job->tenant, used, resourcesOf(*pending.step), count);
            if (allowed == count)
                return;
            if (pending.step->gang)
                allowed = 0;
            pending.waiting.resize(allowed);
            m_plan.unplaced.overCap += static_cast<uint32_t>(count - allowed);
            m_plan.waitingTenants.insert(pending.job->tenant);
        }

        void addCandidate(const WorkerRecord& worker)
        {
            const auto health = m_input.health(worker.worker.serial);
            if (!health.usable || worker.worker.draining)
                return;
            Candidate candidate {
                .record = &worker, .penalty = health.penalty, .recentlySuccessful = health.recentlySuccessful
            };
            candidate.free = capacityOf(worker.worker) - worker.used;
            candidate.hasLatencyTarget = worker.tasksWithTarget > 0;
            candidate.hasFillingTask = worker.fillingTasks > 0;
            candidate.hasSuspectedTask = worker.suspectedTasks > 0;
            m_candidates.push_back(std::move(candidate));
        }

        void collectPendingSteps()
        {
            for (const auto& [order, job] : m_input.state.openJobs()) {
                const auto* queue = m_input.state.findQueue(job->queue);
                if (!queue)
                    continue;
                for (uint32_t number = 0; number < occurrenceCount(*job); ++number) {
                    if (!isDue(*job, number))
                        break;
                    collectOccurrence(*job, *queue, number, order);
                }
            }
        }

        bool isDue(const record::JobT& job, uint32_t number)
        {
            if (job.times == 0)
                return true;
            const auto due = job.first_due_ms + static_cast<int64_t>(number) * job.interval_ms;
            if (due <= m_input.wallMs)
                return true;
            m_plan.nextDueMs = m_plan.nextDueMs == 0 ? due : std::min(m_plan.nextDueMs, due);
            return false;
        }

        void collectOccurrence(const record::JobT& job, const record::QueueT& queue, uint32_t number, uint64_t order)
        {
            const auto* occurrence = findOccurrence(job, number);
            for (uint32_t i = 0; i < job.steps.size(); ++i) {
                PendingStep pending { &job, &queue, job.steps[i].get(), { job.id, number, i, 0 }, {}, false, false,
                    order };
                for (uint32_t task = 0; task < pending.step->count; ++task) {
                    const auto* record = occurrence ? occurrence->steps[i]->tasks[task].get() : nullptr;
                    const auto state = record ? record->state : TaskState::Waiting;
                    if (state == TaskState::Waiting)
                        pending.waiting.push_back(task);
                    pending.anySuspected |= state == TaskState::Waiting && record && record->suspicions > 0;
                    pending.anyPlaced |= state == TaskState::Placed;
                }
                if (!pending.waiting.empty() && isReady(job, number, i))
                    m_pendingSteps.push_back(std::move(pending));
            }
        }

        static bool isCompatible(const PendingStep& pending, const Candidate& candidate)
        {
            const auto& worker = candidate.record->worker;
            if (worker.service != pending.queue->service)
                return false;
            const auto& needs = pending.step->needs;
            return needs.empty() || std::ranges::find(worker.labels, needs) != worker.labels.end();
        }

        static bool hasCapacity(const PendingStep& pending, const Candidate& candidate)
        {
            const auto& step = *pending.step;
            if (!fits(occupancyOf(step), candidate.free))
                return false;
            // The amount by which a filling task disturbs tasks with a latency target is not known in advance.
            if ((step.fills && candidate.hasLatencyTarget) || (step.target_ms > 0 && candidate.hasFillingTask))
                return false;
            return step.max_per_worker == 0 || countTasksOfStep(candidate, pending.key) < step.max_per_worker;
        }

        /// Returns the workers that may run the step. With advice these are the few with a valid ticket.
        std::vector<Candidate*> eligibleCandidates(const PendingStep& pending)
        {
            std::vector<Candidate*> found;
            const auto add = [&](Candidate& candidate) {
                if (isCompatible(pending, candidate))
                    found.push_back(&candidate);
            };
            if (!pending.queue->advice) {
                std::ranges::for_each(m_candidates, add);
                return found;
            }
            for (const auto serial : m_input.tickets.fitWorkers(pending.key, m_input.now)) {
                if (auto* candidate = findCandidate(serial))
                    add(*candidate);
            }
            return found;
        }

        /// Returns null if the worker is not usable.
        Candidate* findCandidate(uint32_t serial)
        {
            const auto it = std::ranges::lower_bound(
                m_candidates, serial, {}, [](const Candidate& candidate) { return candidate.record->worker.serial; });
            return it != m_candidates.end() && it->record->worker.serial == serial ? &*it : nullptr;
        }

        /// Returns how many tasks of the step the worker can take, up to `count`.
        static uint64_t taskCapacity(const PendingStep& pending, const Candidate& candidate, uint64_t count)
        {
            auto capacity = countThatFit(occupancyOf(*pending.step), candidate.free, count);
            if (pending.step->max_per_worker > 0)
                capacity = std::min<uint64_t>(capacity, pending.step->max_per_worker);
            return capacity;
        }

        /// How earlier runs of a task affect its next placement.
        struct TaskHistory {
            bool failed = false;
            bool suspected = false; ///< The task is suspected of the crash of a worker.
            uint32_t avoidedWorker = 0; ///< Serial of a worker that must not be chosen; 0 for none.
        };

        /// Returns the cost of placing the next of `count` tasks on the worker; lower is better. Tasks that have failed
        /// prefer workers with a recent success, and all tasks prefer workers near their data and without recent
        /// failures. The tasks of a step share few workers, because a lost worker delays every job that it runs a task
        /// of. Among otherwise equal workers the fullest is preferred, which keeps the others free for large tasks and
        /// gangs.
        static double costOf(
            const PendingStep& pending, const Candidate& candidate, const TaskHistory& history, size_t count)
        {
            const auto& worker = candidate.record->worker;
            double cost = candidate.penalty;
            if (history.failed && !candidate.recentlySuccessful)
                cost += noRecentSuccessCost;
            if (candidate.hasSuspectedTask)
                cost += suspectNearbyCost;
            if (history.suspected)
                cost
                    += taskAtRiskCost * static_cast<double>(candidate.record->placed.size() + candidate.planned.size());
            if (!pending.step->data_rack.empty() && pending.step->data_rack != worker.rack)
                cost += remoteDataCost;
            cost += 1 - static_cast<double>(taskCapacity(pending, candidate, count)) / static_cast<double>(count);
            const double capacity = std::max<double>(1, static_cast<double>(worker.cpu));
            return cost + fullnessWeight * static_cast<double>(candidate.free.cpu.value) / capacity;
        }

        TaskHistory historyOf(const PendingStep& pending, uint32_t index) const
        {
            const auto* task
                = m_input.state.findTask({ pending.key.job, pending.key.occurrence, pending.key.step, index });
            return task ? TaskHistory { task->failures > 0, task->suspicions > 0, task->failed_on } : TaskHistory {};
        }

        /// Returns the best of the workers for the next of `count` tasks, or null.
        static Candidate* chooseCandidate(const PendingStep& pending, const TaskHistory& history, size_t count,
            const std::vector<Candidate*>& workers, const std::string* rack = nullptr)
        {
            Candidate* best = nullptr;
            double bestCost = 0;
            for (auto* candidate : workers) {
                const auto& worker = candidate->record->worker;
                if ((rack && worker.rack != *rack)
                    || (history.avoidedWorker != 0 && worker.serial == history.avoidedWorker)
                    || !hasCapacity(pending, *candidate))
                    continue;
                const auto cost = costOf(pending, *candidate, history, count);
                if (!best || cost < bestCost) {
                    best = candidate;
                    bestCost = cost;
                }
            }
            return best;
        }

        void reserveCapacity(const PendingStep& pending, uint32_t index, Candidate& candidate)
        {
            candidate.free -= occupancyOf(*pending.step);
            candidate.hasLatencyTarget |= pending.step->target_ms > 0;
            candidate.hasFillingTask |= pending.step->fills;
            candidate.planned.push_back({ pending.key.job, pending.key.occurrence, pending.key.step, index });
        }

        void addStart(const PendingStep& pending, uint32_t index, uint32_t run, const Candidate& candidate)
        {
            auto task = pending.key;
            task.index = index;
            m_plan.starts.push_back(recordOf<record::StartT>(task, run, candidate.record->worker.serial));
        }

        uint32_t lastRun(const PendingStep& pending, uint32_t index) const
        {
            const auto* task
                = m_input.state.findTask({ pending.key.job, pending.key.occurrence, pending.key.step, index });
            return task ? task->run : 0;
        }

        void placeStep(const PendingStep& pending)
        {
            if (pending.waiting.empty())
                return;
            if (m_plan.starts.size() >= m_input.maxStarts) {
                m_plan.unplaced.overLimit += static_cast<uint32_t>(pending.waiting.size());
            } else if (pending.step->gang) {
                if (!placeGang(pending))
                    countUnplaced(pending, pending.waiting.size(), requestAdvice(pending, 0));
            } else {
                placeTasks(pending);
            }
        }

        void countUnplaced(const PendingStep& pending, size_t tasks, bool awaitingAdvice)
        {
            auto& counter = awaitingAdvice ? m_plan.unplaced.awaitingAdvice : m_plan.unplaced.withoutWorker;
            counter += static_cast<uint32_t>(tasks);
            const auto& tenant = pending.job->tenant;
            // A task that none of the workers can run does not wait for room.
            const auto mayRun = [&](const Candidate& candidate) { return isCompatible(pending, candidate); };
            if (tasks > 0 && !awaitingAdvice && !tenant.empty() && !m_plan.waitingTenants.contains(tenant)
                && (m_candidates.empty() || std::ranges::any_of(m_candidates, mayRun)))
                m_plan.waitingTenants.insert(tenant);
        }

        void placeTasks(const PendingStep& pending)
        {
            const auto workers = eligibleCandidates(pending);
            std::vector<uint32_t> unplaced;
            uint32_t avoidedByAll = 0;
            Candidate* last = nullptr; // Worker of the previous task, reused while it has capacity.
            for (size_t i = 0; i < pending.waiting.size(); ++i) {
                const auto index = pending.waiting[i];
                const auto history = historyOf(pending, index);
                const bool hasNoFailure = !history.failed && !history.suspected && history.avoidedWorker == 0;
                if (unplaced.empty()) {
                    if (!hasNoFailure || !last || last->hasSuspectedTask || !hasCapacity(pending, *last))
                        last = chooseCandidate(pending, history, pending.waiting.size() - i, workers);
                    if (last) {
                        place(pending, index, *last);
                        last->hasSuspectedTask |= history.suspected;
                        last = hasNoFailure ? last : nullptr;
                        continue;
                    }
                }
                // A worker is excluded from the question only if every unplaced task avoids it.
                avoidedByAll = unplaced.empty() || avoidedByAll == history.avoidedWorker ? history.avoidedWorker : 0;
                unplaced.push_back(index);
            }
            if (unplaced.empty())
                return;
            if (requestAdvice(pending, avoidedByAll))
                return countUnplaced(pending, unplaced.size(), true);
            // No other worker may run the task: a second run on the worker where it failed is better than none.
            size_t placed = 0;
            while (placed < unplaced.size()) {
                auto* candidate = chooseCandidate(pending, { .failed = true }, 1, workers);
                if (!candidate)
                    break;
                place(pending, unplaced[placed++], *candidate);
            }
            countUnplaced(pending, unplaced.size() - placed, false);
        }

        void place(const PendingStep& pending, uint32_t index, Candidate& candidate)
        {
            reserveCapacity(pending, index, candidate);
            addStart(pending, index, lastRun(pending, index) + 1, candidate);
        }

        /// Places all members or none, in one rack if the step asks for that and a rack has the capacity.
        bool placeGang(const PendingStep& pending)
        {
            if (pending.anyPlaced || pending.waiting.size() != pending.step->count)
                return true; // Some member of an earlier run has not ended.
            const auto workers = eligibleCandidates(pending);
            if (pending.step->same_rack) {
                std::set<std::string_view> racks;
                for (const auto* candidate : workers)
                    racks.insert(candidate->record->worker.rack);
                for (const auto rack : racks) {
                    const std::string name(rack);
                    if (placeGangIn(pending, workers, &name))
                        return true;
                }
            }
            return placeGangIn(pending, workers, nullptr);
        }

        bool placeGangIn(const PendingStep& pending, const std::vector<Candidate*>& workers, const std::string* rack)
        {
            // Chosen workers with their former values, in the order of the members.
            std::vector<std::pair<Candidate*, Candidate>> reserved;
            uint32_t run = 0;
            for (const auto index : pending.waiting) {
                auto* candidate = chooseCandidate(pending, {}, pending.waiting.size() - reserved.size(), workers, rack);
                if (!candidate) {
                    for (auto it = reserved.rbegin(); it != reserved.rend(); ++it)
                        *it->first = std::move(it->second);
                    return false;
                }
                reserved.emplace_back(candidate, *candidate);
                reserveCapacity(pending, index, *candidate);
                run = std::max(run, lastRun(pending, index));
            }
            for (size_t i = 0; i < reserved.size(); ++i)
                addStart(pending, pending.waiting[i], run + 1, *reserved[i].first);
            return true;
        }

        /// Requests advice about workers with capacity. Those known to be fit come first, as they only need a new
        /// ticket. A worker that all tasks avoid comes last, if there is no other one to ask about. Returns false if
        /// there is no worker to ask about.
        bool requestAdvice(const PendingStep& pending, uint32_t avoidedByAll)
        {
            if (!pending.queue->advice)
                return false;
            if (m_input.isAdvicePending(pending.key))
                return true;
            std::vector<std::pair<double, uint32_t>> expired;
            std::vector<std::pair<double, uint32_t>> unknown;
            bool mayAskAvoided = false;
            const TaskHistory history { .suspected = pending.anySuspected };
            const auto consider = [&](const Candidate& candidate, std::vector<std::pair<double, uint32_t>>& list) {
                if (!isCompatible(pending, candidate) || !hasCapacity(pending, candidate))
                    return;
                const auto serial = candidate.record->worker.serial;
                if (serial == avoidedByAll)
                    mayAskAvoided = true;
                else
                    list.emplace_back(costOf(pending, candidate, history, pending.waiting.size()), serial);
            };
            const auto asked = m_input.tickets.askedWorkers(pending.key, m_input.now);
            for (const auto& [serial, fitness] : asked) {
                const auto* candidate = fitness == Fitness::Expired ? findCandidate(serial) : nullptr;
                if (candidate)
                    consider(*candidate, expired);
            }
            const auto first = m_candidates.empty() ? 0 : std::hash<std::string> {}(stepName(pending.key));
            for (size_t i = 0; i < m_candidates.size() && unknown.size() < maxUnknownCandidates; ++i) {
                const auto& candidate = m_candidates[(first + i) % m_candidates.size()];
                if (!std::ranges::binary_search(
                        asked, candidate.record->worker.serial, {}, &std::pair<uint32_t, Fitness>::first))
                    consider(candidate, unknown);
            }
            const auto wanted
                = std::clamp(adviceWorkersPerTask * pending.waiting.size(), minAdviceWorkers, maxAdviceWorkers);
            for (auto* list : { &expired, &unknown }) {
                const auto used = std::min(wanted, list->size());
                std::ranges::partial_sort(*list, list->begin() + static_cast<std::ptrdiff_t>(used));
            }
            AdviceRequest request { .step = pending.key };
            for (const auto* list : { &expired, &unknown }) {
                for (const auto& [cost, serial] : *list) {
                    if (request.workers.size() < wanted)
                        request.workers.push_back(serial);
                }
                if (request.workers.size() >= pending.waiting.size() && !request.workers.empty())
                    break;
            }
            if (request.workers.empty() && mayAskAvoided)
                request.workers.push_back(avoidedByAll);
            if (request.workers.empty())
                return false;
            const auto& advice = *pending.queue->advice;
            request.expectedDuration
                = std::chrono::microseconds(advice.decide_us + uint64_t { advice.each_us } * request.workers.size());
            m_plan.advice.push_back(std::move(request));
            return true;
        }

        const PlannerInput& m_input;
        const Tenants& m_tenants;
        std::vector<Candidate> m_candidates;
        PendingSteps m_pendingSteps;
        decision::FairShare m_shares; ///< Used only if there are tenants.
        Plan m_plan;
    };
} // namespace

Plan plan(const PlannerInput& input) { return PlanningRound(input).run(); }

} // namespace turmericpier::cell
