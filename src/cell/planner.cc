#include "turmericpier/cell/planner.h"

#include <algorithm>
#include <set>
#include <string_view>
#include <tuple>

namespace turmericpier::cell {

using record::TaskState;

namespace {
    // Most workers of one call to the advisor. The latency objective of a job allows for one call on 30 workers a step.
    constexpr size_t adviceWorkers = 30;
    // Least workers of one call, so that a step with one task rarely needs a second call.
    constexpr size_t adviceWorkersMin = 8;
    // Costs are in units of one recent failure, or of one empty worker. On a rack away from its data a task takes
    // several times as long, which is worse than a worker with some failures.
    constexpr double farCost = 10;
    // A task that has failed before must not meet a second unsound worker, because its attempts are few.
    constexpr double unprovenCost = 5;
    // Below the cost of one worker more for a step of some tasks.
    constexpr double fullnessWeight = 0.1;
    constexpr size_t adviceWorkersPerTask = 2; // About a third to two thirds of the workers are fit.

    /// A worker with the room that is left in this round.
    struct Candidate {
        const WorkerRecord* record = nullptr;
        Resources free;
        double penalty = 0;
        bool proven = false;
        bool runsTarget = false; ///< Runs a task with a bound on its tail latency.
        bool runsFilling = false; ///< Runs a task that disturbs such tasks.
        std::vector<TaskKey> planned;
    };

    /// The waiting tasks of one step.
    struct StepWork {
        const record::JobT* job = nullptr;
        const record::QueueT* queue = nullptr;
        const record::StepT* step = nullptr;
        StepKey key;
        std::vector<uint32_t> waiting;
        bool anyPlaced = false;
        uint64_t order = 0;
    };

    bool holdsStep(const TaskKey& key, const StepKey& step)
    {
        return key.job == step.job && key.occurrence == step.occurrence && key.step == step.step;
    }

    uint32_t countOfStep(const Candidate& candidate, const StepKey& step)
    {
        const auto& placed = candidate.record->placed;
        uint32_t count = 0;
        for (auto it = placed.lower_bound(step); it != placed.end() && holdsStep(*it, step); ++it)
            ++count;
        for (const auto& key : candidate.planned)
            count += holdsStep(key, step) ? 1 : 0;
        return count;
    }

    class Round {
    public:
        explicit Round(const PlannerInput& input)
            : m_input(input)
        {
        }

        Plan run()
        {
            collect();
            // Most rounds follow an end or a heartbeat and find nothing that waits.
            if (m_work.empty())
                return std::move(m_plan);
            m_candidates.reserve(m_input.state.workers().size());
            for (const auto& [serial, worker] : m_input.state.workers())
                addCandidate(worker);
            std::ranges::sort(m_work, [](const StepWork& a, const StepWork& b) {
                return std::tie(a.queue->priority, a.order) < std::tie(b.queue->priority, b.order);
            });
            for (const auto& work : m_work) {
                if (m_plan.starts.size() >= m_input.maxStarts)
                    break;
                placeStep(work);
            }
            return std::move(m_plan);
        }

    private:
        void addCandidate(const WorkerRecord& worker)
        {
            const auto health = m_input.health(worker.worker.serial);
            if (!health.usable || worker.worker.draining)
                return;
            Candidate candidate { .record = &worker, .penalty = health.penalty, .proven = health.proven };
            candidate.free = Resources { MilliCpu { worker.worker.cpu }, MemoryMib { worker.worker.memory },
                Accelerators { worker.worker.accelerators } }
                - worker.used;
            candidate.runsTarget = worker.withTarget > 0;
            candidate.runsFilling = worker.filling > 0;
            m_candidates.push_back(std::move(candidate));
        }

        void collect()
        {
            for (const auto& [order, job] : m_input.state.openJobs()) {
                const auto* queue = m_input.state.findQueue(job->queue);
                if (!queue)
                    continue;
                for (uint32_t number = 0; number < occurrencesOf(*job); ++number) {
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
                StepWork work { &job, &queue, job.steps[i].get(), { job.id, number, i, 0 }, {}, false, order };
                for (uint32_t task = 0; task < work.step->count; ++task) {
                    const auto state = occurrence ? occurrence->steps[i]->tasks[task]->state : TaskState::Waiting;
                    if (state == TaskState::Waiting)
                        work.waiting.push_back(task);
                    work.anyPlaced |= state == TaskState::Placed;
                }
                if (!work.waiting.empty() && isReady(job, number, i))
                    m_work.push_back(std::move(work));
            }
        }

        static bool suits(const StepWork& work, const Candidate& candidate)
        {
            const auto& worker = candidate.record->worker;
            if (worker.service != work.queue->service)
                return false;
            const auto& needs = work.step->needs;
            return needs.empty() || std::ranges::find(worker.labels, needs) != worker.labels.end();
        }

        static bool hasRoom(const StepWork& work, const Candidate& candidate)
        {
            const auto& step = *work.step;
            if (!fits(occupancyOf(step), candidate.free))
                return false;
            // A filling task disturbs tasks with a target by an amount that is not known beforehand.
            if ((step.fills && candidate.runsTarget) || (step.target_ms > 0 && candidate.runsFilling))
                return false;
            return step.max_per_worker == 0 || countOfStep(candidate, work.key) < step.max_per_worker;
        }

        /// The workers that may run the step; with advice only those with a valid ticket, which are few.
        std::vector<Candidate*> eligible(const StepWork& work)
        {
            std::vector<Candidate*> found;
            const auto add = [&](Candidate& candidate) {
                if (suits(work, candidate))
                    found.push_back(&candidate);
            };
            if (!work.queue->advice) {
                std::ranges::for_each(m_candidates, add);
                return found;
            }
            for (const auto serial : m_input.tickets.fitWorkers(work.key, m_input.now)) {
                const auto it = std::ranges::lower_bound(m_candidates, serial, {},
                    [](const Candidate& candidate) { return candidate.record->worker.serial; });
                if (it != m_candidates.end() && it->record->worker.serial == serial)
                    add(*it);
            }
            return found;
        }

        /// How many tasks of the step the worker can take, up to `count`.
        static uint64_t roomFor(const StepWork& work, const Candidate& candidate, uint64_t count)
        {
            const auto need = occupancyOf(*work.step);
            auto room = count;
            const auto limit = [&room](auto free, auto each) {
                if (each.value > 0)
                    room = std::min<uint64_t>(room, std::max<int64_t>(0, free.value) / each.value);
            };
            limit(candidate.free.cpu, need.cpu);
            limit(candidate.free.memory, need.memory);
            limit(candidate.free.accelerators, need.accelerators);
            if (work.step->max_per_worker > 0)
                room = std::min<uint64_t>(room, work.step->max_per_worker);
            return room;
        }

        /// Lower is better. Tasks that have failed go to workers that are known to be sound. Tasks go near their data
        /// and to workers without recent failures. The `count` tasks of a step that are still to be placed share few
        /// workers, because a lost worker delays each job that it runs a task of. Among equal workers the fullest keeps
        /// the others free for large tasks and gangs.
        static double costOf(const StepWork& work, const Candidate& candidate, bool failedBefore, size_t count)
        {
            const auto& worker = candidate.record->worker;
            double cost = candidate.penalty;
            if (failedBefore && !candidate.proven)
                cost += unprovenCost;
            if (!work.step->data_rack.empty() && work.step->data_rack != worker.rack)
                cost += farCost;
            cost += 1 - static_cast<double>(roomFor(work, candidate, count)) / static_cast<double>(count);
            const double capacity = std::max<double>(1, static_cast<double>(worker.cpu));
            return cost + fullnessWeight * static_cast<double>(candidate.free.cpu.value) / capacity;
        }

        /// What earlier runs of a task mean for its next place.
        struct Past {
            bool failed = false;
            uint32_t avoid = 0; ///< Serial of a worker not to be chosen; 0 for none.
        };

        Past pastOf(const StepWork& work, uint32_t index) const
        {
            const auto* task = m_input.state.findTask({ work.key.job, work.key.occurrence, work.key.step, index });
            return task ? Past { task->failures > 0, task->failed_on } : Past {};
        }

        /// The best of the workers for the next of `count` tasks.
        static Candidate* choose(const StepWork& work, const Past& past, size_t count,
            const std::vector<Candidate*>& workers, const std::string* rack = nullptr)
        {
            Candidate* best = nullptr;
            double bestCost = 0;
            for (auto* candidate : workers) {
                const auto& worker = candidate->record->worker;
                if ((rack && worker.rack != *rack) || (past.avoid != 0 && worker.serial == past.avoid)
                    || !hasRoom(work, *candidate))
                    continue;
                const auto cost = costOf(work, *candidate, past.failed, count);
                if (!best || cost < bestCost) {
                    best = candidate;
                    bestCost = cost;
                }
            }
            return best;
        }

        void take(const StepWork& work, uint32_t index, Candidate& candidate)
        {
            candidate.free -= occupancyOf(*work.step);
            candidate.runsTarget |= work.step->target_ms > 0;
            candidate.runsFilling |= work.step->fills;
            candidate.planned.push_back({ work.key.job, work.key.occurrence, work.key.step, index });
        }

        void emit(const StepWork& work, uint32_t index, uint32_t run, const Candidate& candidate)
        {
            auto task = work.key;
            task.index = index;
            m_plan.starts.push_back(recordOf<record::StartT>(task, run, candidate.record->worker.serial));
        }

        uint32_t lastRun(const StepWork& work, uint32_t index) const
        {
            const auto* task = m_input.state.findTask({ work.key.job, work.key.occurrence, work.key.step, index });
            return task ? task->run : 0;
        }

        void placeStep(const StepWork& work)
        {
            if (work.step->gang) {
                if (!placeGang(work))
                    wantAdvice(work, 0);
            } else {
                placeTasks(work);
            }
        }

        void placeTasks(const StepWork& work)
        {
            const auto workers = eligible(work);
            std::vector<uint32_t> left;
            uint32_t avoided = 0;
            Candidate* last = nullptr; // Took the task before, and is taken again while it has room.
            for (size_t i = 0; i < work.waiting.size(); ++i) {
                const auto index = work.waiting[i];
                const auto past = pastOf(work, index);
                const bool isFresh = !past.failed && past.avoid == 0;
                if (left.empty()) {
                    if (!isFresh || !last || !hasRoom(work, *last))
                        last = choose(work, past, work.waiting.size() - i, workers);
                    if (last) {
                        place(work, index, *last);
                        last = isFresh ? last : nullptr;
                        continue;
                    }
                }
                // Only a worker that every task left avoids is not worth asking about.
                avoided = left.empty() || avoided == past.avoid ? past.avoid : 0;
                left.push_back(index);
            }
            if (left.empty() || wantAdvice(work, avoided))
                return;
            // No other worker is fit: a second run where the first has failed is better than none.
            for (const auto index : left) {
                auto* candidate = choose(work, { .failed = true }, 1, workers);
                if (!candidate)
                    return;
                place(work, index, *candidate);
            }
        }

        void place(const StepWork& work, uint32_t index, Candidate& candidate)
        {
            take(work, index, candidate);
            emit(work, index, lastRun(work, index) + 1, candidate);
        }

        /// Places all members or none; in one rack if that is asked for and any rack has the room.
        bool placeGang(const StepWork& work)
        {
            if (work.anyPlaced || work.waiting.size() != work.step->count)
                return true; // An earlier run has not ended everywhere.
            const auto workers = eligible(work);
            if (work.step->same_rack) {
                std::set<std::string_view> racks;
                for (const auto* candidate : workers)
                    racks.insert(candidate->record->worker.rack);
                for (const auto rack : racks) {
                    const std::string name(rack);
                    if (placeGangIn(work, workers, &name))
                        return true;
                }
            }
            return placeGangIn(work, workers, nullptr);
        }

        bool placeGangIn(const StepWork& work, const std::vector<Candidate*>& workers, const std::string* rack)
        {
            std::vector<std::pair<Candidate*, Candidate>> before; // In the order of the members.
            uint32_t run = 0;
            for (const auto index : work.waiting) {
                auto* candidate = choose(work, {}, work.waiting.size() - before.size(), workers, rack);
                if (!candidate) {
                    for (auto it = before.rbegin(); it != before.rend(); ++it)
                        *it->first = std::move(it->second);
                    return false;
                }
                before.emplace_back(candidate, *candidate);
                take(work, index, *candidate);
                run = std::max(run, lastRun(work, index));
            }
            for (size_t i = 0; i < before.size(); ++i)
                emit(work, work.waiting[i], run + 1, *before[i].first);
            return true;
        }

        /// Asks about workers that have room. Those known to be fit come first, as they only need a new ticket. Returns
        /// false if there is no worker to ask about.
        bool wantAdvice(const StepWork& work, uint32_t avoided)
        {
            if (!work.queue->advice)
                return false;
            if (m_input.isAsking(work.key))
                return true;
            std::vector<std::pair<double, uint32_t>> expired;
            std::vector<std::pair<double, uint32_t>> unknown;
            for (const auto& candidate : m_candidates) {
                if (!suits(work, candidate) || !hasRoom(work, candidate))
                    continue;
                const auto serial = candidate.record->worker.serial;
                if (avoided != 0 && serial == avoided)
                    continue;
                const auto fitness = m_input.tickets.fitnessOf(work.key, serial, m_input.now);
                if (fitness == Fitness::Expired)
                    expired.emplace_back(costOf(work, candidate, false, work.waiting.size()), serial);
                else if (fitness == Fitness::Unknown)
                    unknown.emplace_back(costOf(work, candidate, false, work.waiting.size()), serial);
            }
            std::ranges::sort(expired);
            std::ranges::sort(unknown);
            const auto wanted = std::clamp(adviceWorkersPerTask * work.waiting.size(), adviceWorkersMin, adviceWorkers);
            AdviceRequest request { .step = work.key };
            for (const auto* list : { &expired, &unknown }) {
                for (const auto& [cost, serial] : *list) {
                    if (request.workers.size() < wanted)
                        request.workers.push_back(serial);
                }
                if (request.workers.size() >= work.waiting.size() && !request.workers.empty())
                    break;
            }
            if (request.workers.empty())
                return false;
            const auto& advice = *work.queue->advice;
            request.expected
                = std::chrono::microseconds(advice.decide_us + uint64_t { advice.each_us } * request.workers.size());
            m_plan.advice.push_back(std::move(request));
            return true;
        }

        const PlannerInput& m_input;
        std::vector<Candidate> m_candidates;
        std::vector<StepWork> m_work;
        Plan m_plan;
    };
} // namespace

Plan plan(const PlannerInput& input) { return Round(input).run(); }

} // namespace turmericpier::cell
