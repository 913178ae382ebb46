#include "turmericpier/decision/engine.h"

#include "decision/engine-impl.h"
#include "decision/score.h"

namespace turmericpier::decision {

namespace {

    // Jobs remembered by WorkerHealth take about 300 bytes each.
    constexpr size_t healthJobs = 8'192;
    constexpr size_t learnedFamilies = 2'048;
    // Bound the time spent on planning preemption, which takes about 100 us each.
    constexpr uint32_t plansPerPeriod = 1;
    constexpr Duration planPeriod = std::chrono::milliseconds(5);
    constexpr uint32_t urgentPlansPerTick = 64;
    // Work that is due once a second: probes, pacing, stuck moves, parked jobs.
    constexpr Duration slowPeriod = std::chrono::seconds(1);
    // A cell with few workers is paced as if it had this many, so that a handful of restarts is never delayed.
    constexpr uint32_t leastPacedWorkers = 32;

    WorkerHealthOptions healthOptions(const EngineOptions& options)
    {
        WorkerHealthOptions health;
        health.suspectWorkers = options.poisonWorkers;
        health.maxJobs = healthJobs;
        return health;
    }

} // namespace

Engine::Impl::Impl(EngineOptions engineOptions)
    : options(std::move(engineOptions))
    , pacer({})
    , health(healthOptions(options))
    , sizes({ .maxFamilies = learnedFamilies })
{
    pacer.setWorkers(leastPacedWorkers, {});
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

void Engine::Impl::capacityFreed()
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

void Engine::Impl::note(DecisionKind kind, const JobRecord& job, const TaskRecord* task, const Choice* choice)
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
        decision.free += job.effective; // the task has been counted already
    }
    history.add(std::move(decision));
}

void Engine::Impl::tick()
{
    fireTimers();
    endLostLeases();
    if (capacityChanged) {
        capacityChanged = false;
        shares.setCapacity(capacity);
    }
    if (now >= nextSecond) {
        nextSecond = now + slowPeriod;
        pacer.setWorkers(std::max(liveWorkers, leastPacedWorkers), now);
        findProbes();
        moveWithoutReplacement();
        recheckParked();
        // Reservations and preemption depend on how long tasks have waited or run.
        retryAll();
    }
    if (pacer.waiting() > 0) {
        for (const auto& id : pacer.take(now)) {
            if (const auto task = tables.findTask(id); task != TaskIndex::None)
                enqueueTask(task);
        }
    }
    budget = options.placementsPerTick;
    if (now >= nextPlans) {
        nextPlans = now + planPeriod;
        plansLeft = plansPerPeriod;
    }
    urgentPlansLeft = urgentPlansPerTick;
    teamsOverQuota.clear();
    if (claimsDirty)
        progressClaims();
    planQueued();
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
