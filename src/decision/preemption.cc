#include "turmericpier/decision/preemption.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace turmericpier::decision {

namespace {

    using std::chrono::duration;

    // A task that starts afresh also repeats what it did before its last checkpoint could have been taken.
    constexpr double noResumeFactor = 2;
    // Borrowed quota is the first to go.
    constexpr double overQuotaFactor = 0.5;
    // Priorities run from 0 to 1,000: a difference of 100 weighs as much as losing the same work once more.
    constexpr double priorityScale = 100;

    constexpr double noCost = std::numeric_limits<double>::infinity();

    bool isUrgent(const PreemptionRequest& request) { return request.priority >= urgentPriority; }

    int64_t missing(int64_t request, int64_t free) { return std::max<int64_t>(0, request - free); }

    Resources missing(const Resources& request, const Resources& free)
    {
        return { MilliCpu { missing(request.cpu.value, free.cpu.value) },
            MemoryMib { missing(request.memory.value, free.memory.value) },
            Accelerators { missing(request.accelerators.value, free.accelerators.value) } };
    }

    double coveredShare(int64_t need, int64_t limit)
    {
        return need <= 0 ? 0.0 : static_cast<double>(std::min(need, limit)) / static_cast<double>(need);
    }

    // How much of the need the task's limit covers, from 0 to 3 (one for each dimension).
    double coverage(const Resources& need, const Resources& limit)
    {
        return coveredShare(need.cpu.value, limit.cpu.value) + coveredShare(need.memory.value, limit.memory.value)
            + coveredShare(need.accelerators.value, limit.accelerators.value);
    }

    // What the victims chosen so far take from floors and excess. Few entries, so that linear search is enough.
    struct Taken {
        std::vector<std::pair<JobId, uint32_t>> replicas;
        std::vector<std::pair<TeamId, Resources>> teams;
        std::vector<JobId> gangs; ///< Stopped as a whole, so that further tasks of them cost nothing.

        void add(const RunningTask& task)
        {
            if (task.kind == JobKind::Service)
                ++slot(replicas, task.job);
            if (task.kind == JobKind::Gang && !stops(task))
                gangs.push_back(task.job);
            slot(teams, task.team) += task.limit;
        }
        bool stops(const RunningTask& task) const
        {
            return std::find(gangs.begin(), gangs.end(), task.job) != gangs.end();
        }

        template <typename Key, typename Value>
        static Value& slot(std::vector<std::pair<Key, Value>>& list, const Key& key)
        {
            auto it = std::find_if(list.begin(), list.end(), [&](const auto& item) { return item.first == key; });
            if (it == list.end())
                it = list.insert(list.end(), { key, Value {} });
            return it->second;
        }
        template <typename Key, typename Value>
        static Value valueOf(const std::vector<std::pair<Key, Value>>& list, const Key& key)
        {
            auto it = std::find_if(list.begin(), list.end(), [&](const auto& item) { return item.first == key; });
            return it == list.end() ? Value {} : it->second;
        }
    };

    class Planner {
    public:
        Planner(const PreemptionRequest& request, const PreemptionOptions& options)
            : m_request(request)
            , m_options(options)
        {
        }

        /// The cheapest victims on the candidate that cost less than `limit`.
        std::optional<PreemptionPlan> plan(
            const PreemptionCandidate& candidate, double limit, const Taken& taken) const;
        /// Adds the victims of the plan to `taken`, and their resources, less the request, to the candidate.
        void apply(const PreemptionPlan& plan, PreemptionCandidate& candidate, Taken& taken) const;

    private:
        using Victims = std::vector<const RunningTask*>;

        Resources excessOf(const TeamId& team, const Taken& taken) const
        {
            if (!m_options.excess)
                return {};
            return missing(m_options.excess(team), Taken::valueOf(taken.teams, team));
        }
        bool isOverQuota(const TeamId& team, const Taken& taken) const { return excessOf(team, taken) != Resources {}; }

        bool eligible(const RunningTask& task, const Taken& taken) const;
        double cost(const RunningTask& task, const Taken& taken) const
        {
            return taken.stops(task) ? 0 : costOf(task, isOverQuota(task.team, taken), m_options);
        }
        /// Adds the task with the lowest cost for what it covers until the need is covered; empty if it cannot be.
        Victims chooseGreedily(const PreemptionCandidate& candidate, Resources need, Taken taken) const;
        Victims chooseSingle(const PreemptionCandidate& candidate, const Resources& need, const Taken& taken) const;
        /// Leaves out victims without which the need is still covered, most expensive first.
        void prune(Victims& victims, const Resources& need, const Taken& taken) const;
        double totalCost(const Victims& victims, Taken taken) const;

        const PreemptionRequest& m_request;
        const PreemptionOptions& m_options;
    };

    bool Planner::eligible(const RunningTask& task, const Taken& taken) const
    {
        if (task.stopping || task.preemptions >= task.maxPreemptions)
            return false;
        if (!isUrgent(m_request) && task.preemptions > 0 && task.running < m_options.minRunning)
            return false;
        if (task.kind == JobKind::Service) {
            const uint32_t spare = m_options.spareReplicas ? m_options.spareReplicas(task.job) : 0;
            if (spare <= Taken::valueOf(taken.replicas, task.job))
                return false;
        }
        const bool overQuota = task.team != m_request.team && isOverQuota(task.team, taken);
        if (m_request.withinQuota && overQuota)
            return true;
        if (task.priority >= m_request.priority)
            return false;
        return m_request.withinQuota || isUrgent(m_request) || overQuota || task.team == m_request.team;
    }

    Planner::Victims Planner::chooseGreedily(const PreemptionCandidate& candidate, Resources need, Taken taken) const
    {
        Victims victims;
        while (need != Resources {}) {
            const RunningTask* best = nullptr;
            double bestValue = noCost;
            for (const RunningTask& task : candidate.tasks) {
                const double covered = coverage(need, task.limit);
                if (covered <= 0 || std::find(victims.begin(), victims.end(), &task) != victims.end()
                    || !eligible(task, taken))
                    continue;
                const double value = cost(task, taken) / covered;
                if (value < bestValue || (value == bestValue && task.task < best->task)) {
                    best = &task;
                    bestValue = value;
                }
            }
            if (!best)
                return {};
            victims.push_back(best);
            taken.add(*best);
            need = missing(need, best->limit);
        }
        return victims;
    }

    Planner::Victims Planner::chooseSingle(
        const PreemptionCandidate& candidate, const Resources& need, const Taken& taken) const
    {
        const RunningTask* best = nullptr;
        double bestCost = noCost;
        for (const RunningTask& task : candidate.tasks) {
            if (!fits(need, task.limit) || !eligible(task, taken))
                continue;
            const double taskCost = cost(task, taken);
            if (taskCost < bestCost || (taskCost == bestCost && task.task < best->task)) {
                best = &task;
                bestCost = taskCost;
            }
        }
        return best ? Victims { best } : Victims {};
    }

    void Planner::prune(Victims& victims, const Resources& need, const Taken& taken) const
    {
        Victims byCost = victims;
        std::sort(byCost.begin(), byCost.end(), [&](const RunningTask* a, const RunningTask* b) {
            return std::pair(-cost(*a, taken), a->task) < std::pair(-cost(*b, taken), b->task);
        });
        Resources released;
        for (const RunningTask* victim : victims)
            released += victim->limit;
        for (const RunningTask* victim : byCost) {
            if (!fits(need, released - victim->limit))
                continue;
            released -= victim->limit;
            victims.erase(std::find(victims.begin(), victims.end(), victim));
        }
    }

    double Planner::totalCost(const Victims& victims, Taken taken) const
    {
        double total = 0;
        for (const RunningTask* victim : victims) {
            total += cost(*victim, taken);
            taken.add(*victim);
        }
        return total;
    }

    std::optional<PreemptionPlan> Planner::plan(
        const PreemptionCandidate& candidate, double limit, const Taken& taken) const
    {
        const Resources need = missing(m_request.request, candidate.free + candidate.incoming);
        if (need == Resources {})
            return limit > 0 ? std::optional(PreemptionPlan { candidate.worker, {}, 0 }) : std::nullopt;
        Victims victims = chooseGreedily(candidate, need, taken);
        if (victims.empty())
            return std::nullopt;
        prune(victims, need, taken);
        double total = totalCost(victims, taken);
        if (Victims single = chooseSingle(candidate, need, taken); !single.empty()) {
            const double singleCost = totalCost(single, taken);
            if (singleCost <= total) {
                victims = std::move(single);
                total = singleCost;
            }
        }
        if (total >= limit || victims.size() > m_options.maxVictims)
            return std::nullopt;
        PreemptionPlan result { candidate.worker, {}, total };
        const Duration grace = isUrgent(m_request) ? m_options.urgentCheckpointTime : m_options.checkpointTime;
        Taken counted = taken;
        for (const RunningTask* victim : victims) {
            result.victims.push_back({ victim->task, candidate.worker, victim->canResume,
                victim->canResume ? grace : Duration { 0 }, cost(*victim, counted) });
            counted.add(*victim);
        }
        return result;
    }

    void Planner::apply(const PreemptionPlan& plan, PreemptionCandidate& candidate, Taken& taken) const
    {
        for (const PreemptionVictim& victim : plan.victims) {
            auto it = std::find_if(candidate.tasks.begin(), candidate.tasks.end(),
                [&](const RunningTask& task) { return task.task == victim.task; });
            taken.add(*it);
            candidate.incoming += it->limit;
            candidate.tasks.erase(it);
        }
        candidate.free -= m_request.request;
    }

} // namespace

double costOf(const RunningTask& task, bool overQuota, const PreemptionOptions& options)
{
    double seconds = duration<double>(task.lostWork + options.restartCost).count();
    if (!task.canResume)
        seconds *= noResumeFactor;
    if (overQuota)
        seconds *= overQuotaFactor;
    return seconds * (1 + task.priority / priorityScale);
}

std::optional<PreemptionPlan> planPreemption(
    const PreemptionRequest& request, std::span<const PreemptionCandidate> candidates, const PreemptionOptions& options)
{
    const Planner planner(request, options);
    std::optional<PreemptionPlan> best;
    for (const PreemptionCandidate& candidate : candidates) {
        auto plan = planner.plan(candidate, noCost, {});
        if (plan
            && (!best || std::pair(plan->cost, plan->victims.size()) < std::pair(best->cost, best->victims.size())))
            best = std::move(plan);
    }
    return best;
}

std::vector<PreemptionPlan> planGangPreemption(const PreemptionRequest& request, uint32_t count,
    std::span<const PreemptionCandidate> candidates, const PreemptionOptions& options)
{
    const Planner planner(request, options);
    std::vector<PreemptionCandidate> left(candidates.begin(), candidates.end());
    std::vector<PreemptionPlan> plans;
    Taken taken;
    while (plans.size() < count) {
        std::optional<PreemptionPlan> best;
        PreemptionCandidate* worker = nullptr;
        for (PreemptionCandidate& candidate : left) {
            if (auto plan = planner.plan(candidate, best ? best->cost : noCost, taken)) {
                best = std::move(plan);
                worker = &candidate;
            }
        }
        if (!best)
            return {};
        planner.apply(*best, *worker, taken);
        plans.push_back(std::move(*best));
    }
    return plans;
}

} // namespace turmericpier::decision
