#include "turmericpier/cell/planner.h"

#include "cell/placement.h"
#include "turmericpier/decision/fair-share.h"

#include <algorithm>
#include <deque>
#include <numeric>
#include <tuple>

namespace turmericpier::cell {

using detail::Candidate;
using detail::canStart;
using detail::chooseCandidate;
using detail::costOf;
using detail::historyOf;
using detail::isCompatible;
using detail::lastRunOf;
using detail::PendingStep;
using detail::reserveCapacity;
using detail::TaskHistory;
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
    constexpr size_t adviceWorkersPerTask = 2; // About a third to two thirds of the workers may run a step.
    // A step is wide if its waiting tasks would take more than this part of the starts of a plan. All wide steps
    // together take at most half of the starts while others wait.
    constexpr size_t wideStepDivisor = 4;
    constexpr size_t wideStepsDivisor = 2;
    constexpr size_t maxListedWaiting = 20; // Steps in the list for operators.

    /// Capacity that is kept for tasks of a wide step, which start later in this round or in one of the next.
    struct Reservation {
        PendingStep* pending = nullptr;
        Candidate* candidate = nullptr;
        uint64_t count = 0;
    };

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
            divideStarts();
            if (m_tenants.all().empty()) {
                for (auto& pending : m_pendingSteps)
                    placeStep(pending);
            } else {
                placeByTenants();
            }
            startReserved();
            return std::move(m_plan);
        }

    private:
        using PendingSteps = std::vector<PendingStep>;
        using DelayedTasks = std::vector<std::pair<uint32_t, TimePoint>>;

        bool isWide(const PendingStep& pending) const
        {
            return !pending.step->gang && pending.waitingCount > m_input.maxStarts / wideStepDivisor;
        }

        /// Divides the starts of the plan so that wide steps, of which each could take them all, leave some to others.
        void divideStarts()
        {
            const auto wide = static_cast<size_t>(
                std::ranges::count_if(m_pendingSteps, [this](const auto& p) { return isWide(p); }));
            m_wideStarts = m_input.maxStarts / wideStepsDivisor;
            m_startsPerWideStep
                = std::clamp<size_t>(m_wideStarts / std::max<size_t>(1, wide), 1, m_input.maxStarts / wideStepDivisor);
        }

        void placeByTenants()
        {
            prepareShares();
            for (auto first = m_pendingSteps.begin(); first != m_pendingSteps.end();) {
                const auto last = std::find_if(first, m_pendingSteps.end(),
                    [first](const PendingStep& pending) { return pending.queue->priority != first->queue->priority; });
                placeInShares(first, last);
                first = last;
            }
        }

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
                keepWithinCap(pending, m_shares.usage(*tenant));
                const auto planned = m_plannedTasks;
                placeStep(pending);
                m_shares.addUsage(*tenant, resourcesOf(*pending.step) * static_cast<int64_t>(m_plannedTasks - planned));
            }
        }

        /// Removes the waiting tasks that the tenant's cap does not allow for, all of them for a gang.
        void keepWithinCap(PendingStep& pending, const Resources& used)
        {
            const auto count = pending.waitingCount;
            auto allowed = m_tenants.tasksWithinCap(pending.job->tenant, used, resourcesOf(*pending.step), count);
            if (allowed == count)
                return;
            if (pending.step->gang)
                allowed = 0;
            pending.waitingCount = allowed;
            pending.waiting.resize(std::min<size_t>(pending.waiting.size(), allowed));
            leaveOut(pending, WaitReason::TenantCap, count - allowed);
            m_plan.waitingTenants.insert(pending.job->tenant);
        }

        void addCandidate(const WorkerRecord& worker)
        {
            const auto health = m_input.health(worker.worker.serial);
            if (!health.usable || worker.worker.draining)
                return;
            Candidate candidate { .record = &worker,
                .penalty = health.penalty,
                .recentlySuccessful = health.recentlySuccessful,
                .startRoom = health.startRoom };
            candidate.free = capacityOf(worker.worker) - worker.used;
            candidate.hasLatencyTarget = worker.tasksWithTarget > 0;
            candidate.hasFillingTask = worker.fillingTasks > 0;
            candidate.hasSuspectedTask = worker.suspectedTasks > 0;
            m_anyQueueIsFull |= candidate.startRoom == 0;
            m_candidates.push_back(candidate);
        }

        void collectPendingSteps()
        {
            for (const auto& [order, job] : m_input.state.openJobs()) {
                if (const auto* queue = m_input.state.findQueue(job->queue))
                    collectJob(*job, *queue, order);
            }
        }

        /// Collects the steps with waiting tasks. Of each step of a job with a schedule, the earliest occurrences with
        /// as many tasks as one plan may start are enough.
        void collectJob(const record::JobT& job, const record::QueueT& queue, uint64_t order)
        {
            std::vector<uint64_t> collected(job.steps.size());
            const auto occurrences = occurrenceCount(job);
            for (auto number = m_input.state.firstOpenOccurrence(job); number < occurrences; ++number) {
                if (!isDue(job, number))
                    break;
                if (std::ranges::all_of(collected, [this](uint64_t tasks) { return tasks >= m_input.maxStarts; }))
                    break;
                collectOccurrence(job, queue, number, order, collected);
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

        void collectOccurrence(const record::JobT& job, const record::QueueT& queue, uint32_t number, uint64_t order,
            std::vector<uint64_t>& collected)
        {
            const auto* occurrence = findOccurrence(job, number);
            for (uint32_t i = 0; i < job.steps.size(); ++i) {
                if (collected[i] >= m_input.maxStarts || !m_input.state.isReady(job, number, i))
                    continue;
                PendingStep pending { .job = &job, .queue = &queue, .step = job.steps[i].get() };
                pending.key = { job.id, number, i, 0 };
                pending.order = order;
                pending.waitingCount = pending.step->count;
                if (occurrence) {
                    pending.tasks = occurrence->steps[i].get();
                    const auto& progress = m_input.state.progressOf(*pending.tasks);
                    pending.waitingCount = progress.waiting();
                    pending.anyPlaced = progress.placed() > 0;
                    pending.waiting = progress.firstWaiting(m_input.maxStarts);
                } else {
                    pending.waiting.resize(std::min<size_t>(m_input.maxStarts, pending.waitingCount));
                    std::iota(pending.waiting.begin(), pending.waiting.end(), 0);
                }
                if (occurrence)
                    leaveOutDelayed(pending);
                if (pending.waitingCount == 0)
                    continue;
                pending.anySuspected = std::ranges::any_of(
                    pending.waiting, [&](uint32_t index) { return historyOf(pending, index).suspected; });
                collected[i] += pending.waitingCount;
                m_pendingSteps.push_back(std::move(pending));
            }
        }

        /// Leaves out the tasks that keep ending, until their delays have passed.
        void leaveOutDelayed(PendingStep& pending)
        {
            const auto delayed = m_input.delayedTasks ? m_input.delayedTasks(pending.key) : DelayedTasks {};
            if (delayed.empty())
                return;
            const auto next = std::ranges::min_element(delayed, {}, &DelayedTasks::value_type::second)->second;
            if (pending.step->gang) {
                leaveOutUntil(pending, WaitReason::RestartDelay, std::exchange(pending.waitingCount, 0), next);
                return;
            }
            leaveOutUntil(pending, WaitReason::RestartDelay, delayed.size(), next);
            pending.waitingCount -= delayed.size();
            std::set<uint32_t> left;
            for (const auto& [index, until] : delayed)
                left.insert(index);
            pending.waiting = m_input.state.progressOf(*pending.tasks).firstWaiting(m_input.maxStarts + left.size());
            std::erase_if(pending.waiting, [&](uint32_t index) { return left.contains(index); });
            pending.waiting.resize(std::min(pending.waiting.size(), m_input.maxStarts));
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

        void addStart(
            const PendingStep& pending, uint32_t index, uint32_t run, const Candidate& candidate, uint32_t count = 1)
        {
            auto task = pending.key;
            task.index = index;
            m_plan.starts.push_back(recordOf<record::StartT>(task, run, candidate.record->worker.serial));
            m_plan.starts.back().count = count;
        }

        void placeStep(PendingStep& pending)
        {
            if (pending.waitingCount == 0)
                return;
            if (m_startedTasks >= m_input.maxStarts)
                leaveOut(pending, WaitReason::PlanLimit, pending.waitingCount);
            else if (pending.step->gang)
                placeGang(pending);
            else
                placeTasks(pending);
        }

        /// Each task that is not placed goes through here, with the reason that ends as docs/design/waiting-tasks.md
        /// says.
        void leaveOut(const PendingStep& pending, WaitReason reason, uint64_t tasks)
        {
            if (tasks == 0)
                return;
            m_plan.unplaced.add(reason, tasks);
            if (m_plan.waiting.size() < maxListedWaiting)
                m_plan.waiting.push_back({ pending.key, reason, static_cast<uint32_t>(tasks) });
        }

        void leaveOutUntil(const PendingStep& pending, WaitReason reason, uint64_t tasks, TimePoint until)
        {
            m_plan.retryAt = m_plan.retryAt ? std::min(*m_plan.retryAt, until) : until;
            leaveOut(pending, reason, tasks);
        }

        /// Leaves out tasks that no worker can take now.
        void leaveOutForRoom(PendingStep& pending, uint64_t tasks, const std::vector<Candidate*>& workers)
        {
            // Only a worker with a full queue has capacity for a task and may not get its start.
            const bool isQueued = m_anyQueueIsFull && chooseCandidate(pending, {}, 1, workers, true);
            leaveOut(pending, isQueued ? WaitReason::OrdersQueued : WaitReason::NoRoom, tasks);
            const auto& tenant = pending.job->tenant;
            // A task that none of the workers can run does not wait for room.
            const auto mayRun = [&](const Candidate& candidate) { return isCompatible(pending, candidate); };
            if (tasks > 0 && !tenant.empty() && !m_plan.waitingTenants.contains(tenant)
                && (m_candidates.empty() || std::ranges::any_of(m_candidates, mayRun)))
                m_plan.waitingTenants.insert(tenant);
        }

        /// Returns how many tasks of the step may start before all other steps had their turn.
        size_t startLimitOf(const PendingStep& pending) const
        {
            const auto tasks = pending.waiting.size();
            return isWide(pending) ? std::min({ m_startsPerWideStep, m_wideStarts, tasks }) : tasks;
        }

        void placeTasks(PendingStep& pending)
        {
            const auto workers = eligibleCandidates(pending);
            const auto limit = startLimitOf(pending);
            std::vector<uint32_t> unplaced;
            uint32_t avoidedByAll = 0;
            Candidate* last = nullptr; // Worker of the previous task, reused while it has capacity.
            for (; pending.next < limit; ++pending.next) {
                const auto index = pending.waiting[pending.next];
                const auto history = historyOf(pending, index);
                if (unplaced.empty()) {
                    if (!history.isClean() || !last || last->hasSuspectedTask || !canStart(pending, *last))
                        last = chooseCandidate(pending, history, pending.waitingCount - pending.next, workers);
                    if (last) {
                        place(pending, index, *last);
                        last->hasSuspectedTask |= history.suspected;
                        last = history.isClean() ? last : nullptr;
                        continue;
                    }
                }
                // A worker is excluded from the question only if every unplaced task avoids it.
                avoidedByAll = unplaced.empty() || avoidedByAll == history.avoidedWorker ? history.avoidedWorker : 0;
                unplaced.push_back(index);
            }
            // Starts that the step does not use are left to the wide steps after it, which would wait for good behind
            // steps that no worker can run.
            if (isWide(pending))
                m_wideStarts -= limit - unplaced.size();
            const auto rest = pending.waitingCount - limit;
            if (unplaced.empty())
                return reserveRest(pending, rest, workers);
            if (requestAdvice(pending, avoidedByAll))
                return leaveOut(pending, WaitReason::Advice, unplaced.size() + rest);
            // No other worker may run the task: a second run on the worker where it failed is better than none.
            size_t placed = 0;
            while (placed < unplaced.size()) {
                auto* candidate = chooseCandidate(pending, { .failed = true }, 1, workers);
                if (!candidate)
                    break;
                place(pending, unplaced[placed++], *candidate);
            }
            if (isWide(pending))
                m_wideStarts -= placed;
            leaveOutForRoom(pending, unplaced.size() - placed + rest, workers);
        }

        /// Keeps capacity for tasks that follow in this round or the next, so that later steps do not take it.
        void reserveRest(PendingStep& pending, uint64_t rest, const std::vector<Candidate*>& workers)
        {
            leaveOut(pending, WaitReason::PlanLimit, rest);
            rest = std::min<uint64_t>(rest, m_input.maxStarts);
            while (rest > 0) {
                auto* candidate = chooseCandidate(pending, {}, rest, workers, true);
                if (!candidate)
                    return;
                const auto count = detail::capacityFor(pending, *candidate, rest);
                reserve(pending, *candidate, count);
                m_reservations.push_back({ &pending, candidate, count });
                rest -= count;
            }
        }

        /// Starts tasks of wide steps with the starts that all steps together have left.
        void startReserved()
        {
            for (const auto& [pending, candidate, count] : m_reservations) {
                for (uint64_t i = 0; i < count && m_startedTasks < m_input.maxStarts && candidate->startRoom > 0
                     && pending->next < pending->waiting.size();
                     ++i) {
                    // Other tasks need a worker of their own choice, which the next plan finds for them.
                    const auto index = pending->waiting[pending->next++];
                    if (!historyOf(*pending, index).isClean())
                        continue;
                    start(*pending, index, *candidate);
                    m_plan.unplaced.remove(WaitReason::PlanLimit, 1);
                }
            }
        }

        void reserve(PendingStep& pending, Candidate& candidate, uint64_t count)
        {
            reserveCapacity(pending, candidate, count);
            m_plannedTasks += count;
        }

        void start(const PendingStep& pending, uint32_t index, Candidate& candidate)
        {
            m_anyQueueIsFull |= --candidate.startRoom == 0;
            ++m_startedTasks;
            addStart(pending, index, lastRunOf(pending, index) + 1, candidate);
        }

        void place(PendingStep& pending, uint32_t index, Candidate& candidate)
        {
            reserve(pending, candidate, 1);
            start(pending, index, candidate);
        }

        void placeGang(PendingStep& pending)
        {
            const auto count = pending.step->count;
            if (pending.anyPlaced || pending.waitingCount != count)
                return leaveOut(pending, WaitReason::GangMembers, pending.waitingCount);
            if (const auto until = m_input.deferredUntil ? m_input.deferredUntil(pending.key) : std::nullopt)
                return leaveOutUntil(pending, WaitReason::GangDelay, count, *until);
            const auto placement = detail::placeGang(pending, eligibleCandidates(pending));
            if (placement.empty()) {
                if (requestAdvice(pending, 0))
                    return leaveOut(pending, WaitReason::Advice, count);
                return leaveOutForRoom(pending, count, {});
            }
            for (const auto& [candidate, members] : placement)
                reserve(pending, *candidate, members);
            const bool isLarge = count > maxListedGang;
            if (isLarge && (m_largeGangStarts || !m_input.mayStartLargeGang))
                return leaveOut(pending, WaitReason::GangOrders, count); // Its room is kept.
            m_largeGangStarts |= isLarge;
            // The orders of a large gang are sent after those of other tasks, so its starts do not count.
            m_startedTasks += isLarge ? 0 : count;
            addMembers(pending, placement);
        }

        void addMembers(const PendingStep& pending, const detail::GangPlacement& placement)
        {
            uint32_t run = 0;
            for (uint32_t index = 0; pending.tasks && index < pending.step->count; ++index)
                run = std::max(run, lastRunOf(pending, index));
            const uint32_t step = pending.step->count > maxListedGang ? pending.step->count : 1;
            uint32_t index = 0;
            for (const auto& [candidate, members] : placement) {
                const auto end = index + static_cast<uint32_t>(members);
                for (; index < end; index += std::min(step, end - index))
                    addStart(pending, index, run + 1, *candidate, std::min(step, end - index));
            }
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
                if (!isCompatible(pending, candidate) || !canStart(pending, candidate))
                    return;
                const auto serial = candidate.record->worker.serial;
                if (serial == avoidedByAll)
                    mayAskAvoided = true;
                else
                    list.emplace_back(costOf(pending, candidate, history, pending.waitingCount), serial);
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
                = std::clamp<uint64_t>(adviceWorkersPerTask * pending.waitingCount, minAdviceWorkers, maxAdviceWorkers);
            for (auto* list : { &expired, &unknown }) {
                const auto used = std::min<size_t>(wanted, list->size());
                std::ranges::partial_sort(*list, list->begin() + static_cast<std::ptrdiff_t>(used));
            }
            AdviceRequest request { .step = pending.key };
            for (const auto* list : { &expired, &unknown }) {
                for (const auto& [cost, serial] : *list) {
                    if (request.workers.size() < wanted)
                        request.workers.push_back(serial);
                }
                if (request.workers.size() >= pending.waitingCount && !request.workers.empty())
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
        std::vector<Reservation> m_reservations;
        size_t m_startsPerWideStep = 0;
        size_t m_wideStarts = 0; ///< Starts that are left for wide steps.
        size_t m_startedTasks = 0; ///< Starts in the plan without those of large gangs.
        uint64_t m_plannedTasks = 0; ///< Starts and reservations.
        bool m_anyQueueIsFull = false; ///< Some worker may get no more starts in this round.
        bool m_largeGangStarts = false; ///< The plan has the starts of a large gang.
        decision::FairShare m_shares; ///< Used only if there are tenants.
        Plan m_plan;
    };
} // namespace

Plan plan(const PlannerInput& input) { return PlanningRound(input).run(); }

} // namespace turmericpier::cell
