#include "turmericpier/decision/preemption.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace turmericpier::decision {

namespace {

    using std::chrono::duration;

    // A task without a checkpoint starts from scratch and also repeats the work it did before it could have written
    // one.
    constexpr double noResumeFactor = 2;
    // Prefers victims that run on borrowed quota.
    constexpr double overQuotaFactor = 0.5;
    // Each step of 100 in priority (0 to 1,000) adds the unweighted cost once more.
    constexpr double priorityScale = 100;

    constexpr double unlimitedCost = std::numeric_limits<double>::infinity();

    bool isUrgent(const PreemptionRequest& request) { return request.priority >= urgentPriority; }

    double coveredFraction(int64_t need, int64_t limit)
    {
        return need <= 0 ? 0.0 : static_cast<double>(std::min(need, limit)) / static_cast<double>(need);
    }

    // Sum over the resources of the fraction of the need that the limit covers, from 0 to 3.
    double coverage(const Resources& need, const Resources& limit)
    {
        return coveredFraction(need.cpu.value, limit.cpu.value) + coveredFraction(need.memory.value, limit.memory.value)
            + coveredFraction(need.accelerators.value, limit.accelerators.value);
    }

    // Effect of the victims chosen so far on service floors, team excess and gangs. The lists are short enough for
    // linear search.
    struct PlannedStops {
        std::vector<std::pair<JobId, uint32_t>> replicas;
        std::vector<std::pair<TeamId, Resources>> teams;
        std::vector<JobId> gangs; ///< Gangs that are stopped as a whole, so that their further tasks cost nothing.

        void add(const RunningTask& task)
        {
            if (task.kind == JobKind::Service)
                ++findOrInsert(replicas, task.job);
            if (task.kind == JobKind::Gang && !stopsGangOf(task))
                gangs.push_back(task.job);
            findOrInsert(teams, task.team) += task.limit;
        }
        bool stopsGangOf(const RunningTask& task) const
        {
            return std::find(gangs.begin(), gangs.end(), task.job) != gangs.end();
        }

        template <typename Key, typename Value>
        static Value& findOrInsert(std::vector<std::pair<Key, Value>>& list, const Key& key)
        {
            auto it = std::find_if(list.begin(), list.end(), [&](const auto& item) { return item.first == key; });
            if (it == list.end())
                it = list.insert(list.end(), { key, Value {} });
            return it->second;
        }
        template <typename Key, typename Value>
        static Value findOrDefault(const std::vector<std::pair<Key, Value>>& list, const Key& key)
        {
            auto it = std::find_if(list.begin(), list.end(), [&](const auto& item) { return item.first == key; });
            return it == list.end() ? Value {} : it->second;
        }
    };

    // Chooses victims for one request.
    class Planner {
    public:
        Planner(const PreemptionRequest& request, const PreemptionOptions& options)
            : m_request(request)
            , m_options(options)
        {
        }

        /// Returns the cheapest plan found on the candidate if it costs less than `limit`.
        std::optional<PreemptionPlan> plan(
            const PreemptionCandidate& candidate, double limit, const PlannedStops& planned) const;
        /// Adds the victims of the plan to `planned`, and updates the candidate as if they were being stopped and the
        /// request were placed.
        void apply(const PreemptionPlan& plan, PreemptionCandidate& candidate, PlannedStops& planned) const;

    private:
        using Victims = std::vector<const RunningTask*>;

        Resources remainingExcess(const TeamId& team, const PlannedStops& planned) const
        {
            if (!m_options.excess)
                return {};
            return excessOver(m_options.excess(team), PlannedStops::findOrDefault(planned.teams, team));
        }
        bool isOverQuota(const TeamId& team, const PlannedStops& planned) const
        {
            return remainingExcess(team, planned) != Resources {};
        }

        bool isEligible(const RunningTask& task, const PlannedStops& planned) const;
        double cost(const RunningTask& task, const PlannedStops& planned) const
        {
            return planned.stopsGangOf(task) ? 0 : costOf(task, isOverQuota(task.team, planned), m_options);
        }
        /// Adds the task with the lowest cost per coverage until the need is covered. Returns an empty list if it
        /// cannot be covered.
        Victims chooseGreedily(const PreemptionCandidate& candidate, Resources need, PlannedStops planned) const;
        /// Returns the cheapest task that covers the need alone, or an empty list if there is none.
        Victims chooseSingle(
            const PreemptionCandidate& candidate, const Resources& need, const PlannedStops& planned) const;
        /// Removes victims without which the need is still covered, most expensive first.
        void removeRedundantVictims(Victims& victims, const Resources& need, const PlannedStops& planned) const;
        double totalCost(const Victims& victims, PlannedStops planned) const;

        const PreemptionRequest& m_request;
        const PreemptionOptions& m_options;
    };

    bool Planner::isEligible(const RunningTask& task, const PlannedStops& planned) const
    {
        if (task.stopping || task.preemptions >= task.maxPreemptions)
            return false;
        if (!isUrgent(m_request) && task.preemptions > 0 && task.running < m_options.minRunning)
            return false;
        if (task.kind == JobKind::Service) {
            const uint32_t spare = m_options.spareReplicas ? m_options.spareReplicas(task.job) : 0;
            if (spare <= PlannedStops::findOrDefault(planned.replicas, task.job))
                return false;
        }
        const bool overQuota = task.team != m_request.team && isOverQuota(task.team, planned);
        if (m_request.withinQuota && overQuota)
            return true;
        if (task.priority >= m_request.priority)
            return false;
        return m_request.withinQuota || isUrgent(m_request) || overQuota || task.team == m_request.team;
    }

    Planner::Victims Planner::chooseGreedily(
        const PreemptionCandidate& candidate, Resources need, PlannedStops planned) const
    {
        Victims victims;
        while (need != Resources {}) {
            const RunningTask* best = nullptr;
            double bestCostPerCoverage = unlimitedCost;
            for (const RunningTask& task : candidate.tasks) {
                const double covered = coverage(need, task.limit);
                if (covered <= 0 || std::find(victims.begin(), victims.end(), &task) != victims.end()
                    || !isEligible(task, planned))
                    continue;
                const double costPerCoverage = cost(task, planned) / covered;
                if (costPerCoverage < bestCostPerCoverage
                    || (costPerCoverage == bestCostPerCoverage && task.task < best->task)) {
                    best = &task;
                    bestCostPerCoverage = costPerCoverage;
                }
            }
            if (!best)
                return {};
            victims.push_back(best);
            planned.add(*best);
            need = excessOver(need, best->limit);
        }
        return victims;
    }

    Planner::Victims Planner::chooseSingle(
        const PreemptionCandidate& candidate, const Resources& need, const PlannedStops& planned) const
    {
        const RunningTask* best = nullptr;
        double bestCost = unlimitedCost;
        for (const RunningTask& task : candidate.tasks) {
            if (!fits(need, task.limit) || !isEligible(task, planned))
                continue;
            const double taskCost = cost(task, planned);
            if (taskCost < bestCost || (taskCost == bestCost && task.task < best->task)) {
                best = &task;
                bestCost = taskCost;
            }
        }
        return best ? Victims { best } : Victims {};
    }

    void Planner::removeRedundantVictims(Victims& victims, const Resources& need, const PlannedStops& planned) const
    {
        Victims byCost = victims;
        std::sort(byCost.begin(), byCost.end(), [&](const RunningTask* a, const RunningTask* b) {
            return std::pair(-cost(*a, planned), a->task) < std::pair(-cost(*b, planned), b->task);
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

    double Planner::totalCost(const Victims& victims, PlannedStops planned) const
    {
        double total = 0;
        for (const RunningTask* victim : victims) {
            total += cost(*victim, planned);
            planned.add(*victim);
        }
        return total;
    }

    std::optional<PreemptionPlan> Planner::plan(
        const PreemptionCandidate& candidate, double limit, const PlannedStops& planned) const
    {
        const Resources need = excessOver(m_request.request, candidate.free + candidate.releasing);
        if (need == Resources {})
            return limit > 0 ? std::optional(PreemptionPlan { candidate.worker, {}, 0 }) : std::nullopt;
        Victims victims = chooseGreedily(candidate, need, planned);
        if (victims.empty())
            return std::nullopt;
        removeRedundantVictims(victims, need, planned);
        double total = totalCost(victims, planned);
        if (Victims single = chooseSingle(candidate, need, planned); !single.empty()) {
            const double singleCost = totalCost(single, planned);
            if (singleCost <= total) {
                victims = std::move(single);
                total = singleCost;
            }
        }
        if (total >= limit || victims.size() > m_options.maxVictims)
            return std::nullopt;
        PreemptionPlan result { candidate.worker, {}, total };
        const Duration grace = isUrgent(m_request) ? m_options.urgentCheckpointTime : m_options.checkpointTime;
        PlannedStops plannedSoFar = planned;
        for (const RunningTask* victim : victims) {
            result.victims.push_back({ victim->task, candidate.worker, victim->canResume,
                victim->canResume ? grace : Duration { 0 }, cost(*victim, plannedSoFar) });
            plannedSoFar.add(*victim);
        }
        return result;
    }

    void Planner::apply(const PreemptionPlan& plan, PreemptionCandidate& candidate, PlannedStops& planned) const
    {
        for (const PreemptionVictim& victim : plan.victims) {
            auto it = std::find_if(candidate.tasks.begin(), candidate.tasks.end(),
                [&](const RunningTask& task) { return task.task == victim.task; });
            planned.add(*it);
            candidate.releasing += it->limit;
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
        auto plan = planner.plan(candidate, unlimitedCost, {});
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
    std::vector<PreemptionCandidate> remaining(candidates.begin(), candidates.end());
    std::vector<PreemptionPlan> plans;
    PlannedStops planned;
    while (plans.size() < count) {
        std::optional<PreemptionPlan> best;
        PreemptionCandidate* worker = nullptr;
        for (PreemptionCandidate& candidate : remaining) {
            if (auto plan = planner.plan(candidate, best ? best->cost : unlimitedCost, planned)) {
                best = std::move(plan);
                worker = &candidate;
            }
        }
        if (!best)
            return {};
        planner.apply(*best, *worker, planned);
        plans.push_back(std::move(*best));
    }
    return plans;
}

} // namespace turmericpier::decision
