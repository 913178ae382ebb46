#include "turmericpier/decision/engine.h"

#include "decision/engine-impl.h"
#include "decision/score.h"

namespace turmericpier::decision {

namespace {

    // WorkerHealth keeps about 300 bytes for each job.
    constexpr size_t maxHealthJobs = 8'192;
    constexpr size_t maxLearnedFamilies = 2'048;
    // Planning preemption takes about 100 us for each job, so that the number of plans is limited.
    constexpr uint32_t plansPerPeriod = 1;
    constexpr Duration planBudgetPeriod = std::chrono::milliseconds(5);
    constexpr uint32_t urgentPlansPerTick = 64;
    // Interval of periodic work: probes, restart pacing, stuck moves of replicas and parked jobs.
    constexpr Duration periodicWorkInterval = std::chrono::seconds(1);
    // Lower bound of the number of workers given to the restart pacer, so that a few restarts in a small cell are not
    // delayed.
    constexpr uint32_t minPacedWorkers = 32;

    WorkerHealthOptions healthOptions(const EngineOptions& options)
    {
        WorkerHealthOptions health;
        health.suspectWorkers = options.poisonWorkers;
        health.maxJobs = maxHealthJobs;
        return health;
    }

} // namespace

Engine::Impl::Impl(EngineOptions engineOptions)
    : options(std::move(engineOptions))
    , pacer({})
    , health(healthOptions(options))
    , sizes({ .maxFamilies = maxLearnedFamilies })
{
    pacer.setWorkers(minPacedWorkers, {});
}

void Engine::Impl::on(const PolicyChanged& event)
{
    const auto number = tables.policies.intern(event.policy.id);
    if (policies.size() <= number)
        policies.resize(number + 1);
    auto& record = policies[number];
    record.policy = event.policy;
    record.score = options.scoreFor ? options.scoreFor(event.policy.score) : builtInScore(event.policy.score);
    if (options.scoreFor || event.policy.score == ScoreKind::Mixed)
        record.order = SearchOrder::BothEnds;
    else
        record.order = event.policy.score == ScoreKind::PackingFirst ? SearchOrder::LeastFree : SearchOrder::MostFree;
    retryAll();
}

void Engine::Impl::on(const TeamChanged& event)
{
    tables.teams.intern(event.team.id);
    shares.setTeam(event.team);
    retryAll();
}

void Engine::Impl::markCapacityFreed()
{
    dirty = true;
    claimsDirty = true;
}

void Engine::Impl::retryAll()
{
    dirty = true;
    claimsDirty = true;
    fullRound = true;
    retryRequested = true;
}

void Engine::Impl::recordDecision(DecisionKind kind, const JobRecord& job, const TaskRecord* task, const Choice* choice)
{
    History::Decision decision { .at = now, .job = job.order, .request = job.effective, .kind = kind };
    if (task) {
        decision.task = task->index;
        if (task->worker != WorkerIndex::None) {
            decision.worker = tables.at(task->worker).id;
            decision.free = tables.at(task->worker).capacity - tables.at(task->worker).used;
        }
    }
    if (choice) {
        decision.score = choice->score;
        decision.candidates = choice->candidates;
        decision.free += job.effective; // The task already counts as used.
    }
    history.add(std::move(decision));
}

void Engine::Impl::tick()
{
    fireTimers();
    expireLeasesOfLostWorkers();
    if (capacityChanged) {
        capacityChanged = false;
        shares.setCapacity(capacity);
    }
    if (now >= nextPeriodicWork) {
        nextPeriodicWork = now + periodicWorkInterval;
        pacer.setWorkers(std::max(schedulableWorkers, minPacedWorkers), now);
        findProbes();
        stopStuckDrainingReplicas();
        recheckParked();
        // Reservations and preemption depend on how long tasks have waited or run, so that all jobs are tried again.
        retryAll();
    }
    if (pacer.waiting() > 0) {
        for (const auto& id : pacer.take(now)) {
            if (const auto task = tables.findTask(id); task != TaskIndex::None)
                enqueueTask(task);
        }
    }
    placementBudget = options.placementsPerTick;
    if (now >= nextPlanBudgetReset) {
        nextPlanBudgetReset = now + planBudgetPeriod;
        planBudget = plansPerPeriod;
    }
    urgentPlanBudget = urgentPlansPerTick;
    teamsOverQuota.clear();
    if (claimsDirty)
        progressClaims();
    processPlanQueue();
    if (dirty)
        placeWaiting();
}

Engine::Engine(EngineOptions options)
    : m_impl(std::make_unique<Impl>(std::move(options)))
{
}

Engine::~Engine() = default;

Actions Engine::handle(const Event& event, TimePoint now)
{
    m_impl->now = now;
    std::visit([this](const auto& e) { m_impl->on(e); }, event);
    return std::exchange(m_impl->actions, {});
}

Actions Engine::tick(TimePoint now)
{
    m_impl->now = now;
    m_impl->tick();
    return std::exchange(m_impl->actions, {});
}

std::string Engine::explain(const JobId& job) const { return m_impl->explain(job); }

std::string Engine::dump() const { return m_impl->dump(); }

} // namespace turmericpier::decision
